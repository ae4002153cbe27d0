//! What one gateway knows of services that lack room: its own requests, and those that other
//! gateways have told of.

use std::{
    collections::{HashMap, HashSet},
    net::Ipv4Addr,
};

use mimosaledge_core::{Millis, Name, hash::hash32};
use mimosaledge_peer::{HeartbeatExtension, RequestUsage, ServiceUsage};
use mimosaledge_policy::{
    capacity::{Capacity, Occupancy, Rates, Times},
    fair_share::{FairShare, PRIORITIES, Usage},
    returns::UsualDeadlines,
    usage_table::{TIME_CONSTANT_MS, UsageTable},
};

/// Maximum number of services that a heartbeat tells of.
const MAX_SERVICES: usize = 4;
/// Maximum number of workspaces of a service that a heartbeat tells of.
pub(crate) const MAX_TOP: usize = 3;
/// Parts of one request in counts of completed ones.
const COUNT_PARTS: f64 = 16.0;
/// Count from which a workspace is told of.
const MIN_COUNT: f64 = 0.5;
/// Share of the slots of a service in use from which gateways tell each other of its requests.
const BUSY_SHARE: f64 = 0.5;
/// Age up to which what another gateway has told counts, in milliseconds.
const MAX_REPORT_AGE_MS: u64 = 3_000;
/// Time for which others are told of a service after it was last found to lack room, in
/// milliseconds.
const BUSY_MS: u64 = 3_000;
/// Age from which the shares are computed again, in milliseconds.
const MAX_SHARE_AGE_MS: u64 = 100;

/// What the gateways know together of the requests to one service.
#[derive(Debug, Clone, Default)]
pub(crate) struct Demand {
    pub(crate) share: FairShare,
    /// Requests that arrived, and that endpoints have completed lately.
    pub(crate) rates: Rates,
    /// Share of the requests that were refused before.
    pub(crate) returned: f64,
    /// Requests that have arrived lately, by priority.
    pub(crate) priorities: [f64; PRIORITIES],
    /// Number of gateways that this is from.
    pub(crate) gateways: usize,
    /// Greatest age of what another gateway has told, in milliseconds.
    pub(crate) age_ms: u64,
}

/// One service at one gateway.
#[derive(Debug, Default)]
struct ServiceState {
    usage: UsageTable,
    busy_until: Millis,
    demand: Demand,
    demand_at: Option<Millis>,
    capacity: Capacity,
    /// Share of the requests that there is room for, as last computed.
    share: f64,
    /// Requests that may be in flight, as last computed.
    limit: f64,
}

/// What another gateway has told last.
#[derive(Debug)]
struct Report {
    at: Millis,
    usages: Vec<ServiceUsage>,
}

/// Services that may lack room.
#[derive(Debug, Default)]
pub(crate) struct FairnessTable {
    services: HashMap<Name, ServiceState>,
    reports: HashMap<Ipv4Addr, Report>,
    pub(crate) usual_deadlines: UsualDeadlines,
}

impl FairnessTable {
    /// Records a request of the workspace with this hash to a service.
    pub(crate) fn record_request(
        &mut self,
        service: &Name,
        workspace: u32,
        priority: u8,
        is_admitted: bool,
        now: Millis,
    ) {
        let state = self.services.entry(service.clone()).or_default();
        state.usage.record(workspace, priority, is_admitted, now);
        if !is_admitted {
            state.busy_until = now + BUSY_MS;
        }
    }

    /// Records that a request to a service was refused before.
    pub(crate) fn record_return(&mut self, service: &Name, now: Millis) {
        self.services.entry(service.clone()).or_default().usage.record_return(now);
    }

    /// Returns whether a service has no room for all requests, as last computed.
    pub(crate) fn is_short_of_room(&self, service: &str, now: Millis) -> bool {
        let state = self.services.get(service).filter(|it| now < it.busy_until);
        state.is_some_and(|it| it.share < 1.0)
    }

    /// Records an answer of an endpoint with `slots` at which `load` requests were in flight.
    pub(crate) fn record_answer(
        &mut self,
        service: &Name,
        duration_ms: u64,
        load: f64,
        slots: u32,
        now: Millis,
    ) {
        let state = self.services.entry(service.clone()).or_default();
        state.capacity.record_answer(duration_ms, load, slots, now);
    }

    /// Returns the share of the requests of all gateways that a service has room for; notes how
    /// busy it is.
    pub(crate) fn admitted_share(
        &mut self,
        service: &Name,
        occupancy: Occupancy,
        times: Times,
        now: Millis,
    ) -> f64 {
        let rates = self.demand(service, now).rates;
        let state = self.services.entry(service.clone()).or_default();
        if occupancy.load >= occupancy.slots * BUSY_SHARE {
            state.busy_until = now + BUSY_MS;
        }
        state.share = state.capacity.admitted_share(occupancy, times, rates, now);
        state.limit = state.capacity.limit(occupancy, times).unwrap_or_default();
        state.share
    }

    /// Returns the requests that may be in flight at a service, as last computed.
    pub(crate) fn limit(&self, service: &str) -> f64 {
        self.services.get(service).map_or(0.0, |it| it.limit)
    }

    /// Records a request to a service that an endpoint has completed.
    pub(crate) fn record_completion(&mut self, service: &Name, now: Millis) {
        self.services.entry(service.clone()).or_default().usage.record_completion(now);
    }

    /// Returns what all gateways know of the requests to a service.
    pub(crate) fn demand(&mut self, service: &Name, now: Millis) -> &Demand {
        let state = self.services.entry(service.clone()).or_default();
        if state.demand_at.is_none_or(|it| now.since(it) >= MAX_SHARE_AGE_MS) {
            let is_recent = |it: &&Report| now.since(it.at) < MAX_REPORT_AGE_MS;
            let reports = self.reports.values().filter(is_recent);
            state.demand = sum_up(service, &state.usage, reports, now);
            state.demand_at = Some(now);
        }
        &state.demand
    }

    /// Applies what another gateway has told.
    pub(crate) fn apply(&mut self, from: Ipv4Addr, told: &HeartbeatExtension, now: Millis) {
        match told.usages.is_empty() {
            true => self.reports.remove(&from),
            false => self.reports.insert(from, Report { at: now, usages: told.usages.clone() }),
        };
    }

    /// Returns the requests to the services that lack room, for the other gateways.
    pub(crate) fn usages(&self, now: Millis) -> Vec<ServiceUsage> {
        let busy = self.services.iter().filter(|(_, it)| now < it.busy_until);
        busy.take(MAX_SERVICES).map(|(service, it)| to_usage(service, &it.usage, now)).collect()
    }

    /// Returns the services that lack room, each with the requests of the workspaces that send
    /// most, most first.
    pub(crate) fn top(&self, now: Millis) -> Vec<(Name, Vec<f64>)> {
        let busy = self.services.iter().filter(|(_, it)| now < it.busy_until);
        let requests =
            |it: &UsageTable| it.top(MAX_TOP, now).into_iter().map(|(_, it)| it.arrived).collect();
        busy.map(|(service, it)| (service.clone(), requests(&it.usage))).collect()
    }

    /// Drops what is out of date.
    pub(crate) fn remove_old(&mut self, now: Millis) {
        self.reports.retain(|_, it| now.since(it.at) < MAX_REPORT_AGE_MS);
        self.services.values_mut().for_each(|it| it.usage.remove_idle(now));
    }
}

fn to_usage(service: &str, usage: &UsageTable, now: Millis) -> ServiceUsage {
    let total = usage.total(now);
    let to_part = |it: f64| (it / total.arrived.max(f64::MIN_POSITIVE) * 255.0) as u8;
    let top = usage.top(MAX_TOP, now).into_iter().filter(|(_, it)| it.arrived >= MIN_COUNT);
    ServiceUsage {
        service: hash32(service.as_bytes()),
        total: RequestUsage::new(total.arrived, total.admitted),
        completed: (usage.completed(now) * COUNT_PARTS).round() as u16,
        returned: to_part(usage.returned(now)),
        priorities: usage.priorities(now).map(to_part),
        workspaces: top
            .map(|(workspace, it)| (workspace, RequestUsage::new(it.arrived, it.admitted)))
            .collect(),
    }
}

/// Adds up the requests to a service at this gateway and those that others have told of.
fn sum_up<'a>(
    service: &str,
    own: &UsageTable,
    reports: impl Iterator<Item = &'a Report>,
    now: Millis,
) -> Demand {
    let hash = hash32(service.as_bytes());
    let to_usage = |it: &RequestUsage| Usage { arrived: it.arrived(), admitted: it.admitted() };
    let mut total = own.total(now);
    let (mut completed, mut returned) = (own.completed(now), own.returned(now));
    let mut priorities = own.priorities(now);
    let mut known: HashMap<u32, Usage> = own.top(MAX_TOP, now).into_iter().collect();
    let (mut gateways, mut age_ms) = (1, 0);
    for report in reports {
        let Some(told) = report.usages.iter().find(|it| it.service == hash) else { continue };
        gateways += 1;
        age_ms = age_ms.max(now.since(report.at));
        total += to_usage(&told.total);
        completed += f64::from(told.completed) / COUNT_PARTS;
        returned += told.total.arrived() * f64::from(told.returned) / 255.0;
        for (sum, part) in priorities.iter_mut().zip(told.priorities) {
            *sum += told.total.arrived() * f64::from(part) / 255.0;
        }
        for (workspace, usage) in &told.workspaces {
            *known.entry(*workspace).or_default() += to_usage(usage);
        }
    }
    let seen: HashSet<u32> = own.workspaces(now).map(|(workspace, _)| workspace).collect();
    let others = seen.iter().filter(|it| !known.contains_key(it)).count();
    Demand {
        rates: Rates {
            arrivals_per_ms: total.arrived / TIME_CONSTANT_MS,
            completions_per_ms: completed / TIME_CONSTANT_MS,
        },
        returned: returned / total.arrived.max(f64::MIN_POSITIVE),
        share: FairShare::new(total, known, others),
        priorities,
        gateways,
        age_ms,
    }
}
