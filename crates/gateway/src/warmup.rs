//! Finds out which endpoints are cold, and tells the other gateways.

use std::{net::Ipv4Addr, rc::Rc};

use mimosaledge_core::Name;
use mimosaledge_peer::{Message, Version, WarmupSample};
use mimosaledge_policy::{EndpointGroup, slow_start::Pace};

use crate::{datagrams, endpoint_handle::EndpointHandle, gateway::Gateway, store::EntryWarmup};

/// Maximum number of endpoints in one datagram.
const MAX_SAMPLES: usize = 128;
/// Time for which a gateway must have reached most endpoints for it to conclude that one which is
/// back was gone, rather than the link to it, in milliseconds.
const MIN_CONNECTED_MS: u64 = 3_000;

/// Sets how the listed endpoints start under the active configuration.
pub(crate) fn update_paces(gateway: &Gateway) {
    let routes = gateway.routes.borrow();
    for handle in gateway.endpoint_table.borrow().handles() {
        let pace = routes.slow_start(&handle.endpoint.borrow().service).map(Pace::from);
        handle.set_pace(pace);
    }
}

/// Counts endpoints as cold that get requests again after a time without any, for as long as their
/// service says. All gateways do so at the same time, so that none is told.
pub(crate) fn mark_returned(gateway: &Gateway, handles: impl Iterator<Item = Rc<EndpointHandle>>) {
    let now = gateway.now();
    for handle in handles {
        if handle.update_warmup(|it| it.doubt(now)) {
            log_cold(&handle, "returned");
        }
    }
}

/// Applies what entries in the list say, which were written after the last read of the list if
/// `is_continued`; tells the other gateways what they cannot know yet.
pub(crate) fn apply_entries(gateway: &Gateway, entries: &[EntryWarmup], is_continued: bool) {
    let written_after = gateway.list_read.get().filter(|_| is_continued);
    let mut news = Vec::new();
    for entry in entries {
        let Some(handle) = find_incarnation(gateway, entry) else { continue };
        let (was_cold, now) = (handle.is_cold(), handle.now());
        let is_news = handle.update_warmup(|it| it.apply_entry(entry.left_ms, written_after, now));
        if is_news {
            log_cold(&handle, "entry");
        }
        if is_news || (was_cold && !handle.is_cold()) {
            news.push(to_sample(&handle));
        }
    }
    if is_continued {
        tell_all(gateway, news);
    }
}

/// Returns the listed incarnation that an entry is of.
fn find_incarnation(gateway: &Gateway, entry: &EntryWarmup) -> Option<Rc<EndpointHandle>> {
    let endpoints = gateway.endpoints.borrow();
    let endpoint = endpoints.get(&entry.id).filter(|it| it.started_ms == entry.started_ms)?;
    gateway.endpoint_table.borrow().find_listed(endpoint)
}

/// Applies what another gateway has told.
pub(crate) fn apply_samples(gateway: &Gateway, samples: &[WarmupSample]) {
    let now = gateway.now();
    let table = gateway.endpoint_table.borrow();
    for sample in samples {
        match table.find_short(sample.endpoint) {
            Some(handle) => apply_sample(handle, sample.left_ms),
            None => gateway.warmup_news.keep(*sample, now),
        }
    }
}

/// Applies that another gateway knows an endpoint to stay cold for `left_ms`.
pub(crate) fn apply_sample(handle: &EndpointHandle, left_ms: u32) {
    if handle.update_warmup(|it| it.apply_sample(left_ms.into(), handle.now())) {
        log_cold(handle, "told");
    }
}

/// Applies samples that came before their endpoints were listed.
pub(crate) fn apply_early_samples(gateway: &Gateway) {
    let table = gateway.endpoint_table.borrow();
    let is_listed = |it| table.find_short(it).is_some();
    let samples = gateway.warmup_news.take_listed(is_listed, gateway.now());
    for sample in &samples {
        if let Some(handle) = table.find_short(sample.endpoint) {
            apply_sample(handle, sample.left_ms);
        }
    }
}

/// Counts endpoints that were lost and are back as cold, and tells the other gateways, until the
/// gateway exits.
pub(crate) async fn run(gateway: Rc<Gateway>) {
    loop {
        gateway.warmup_news.added.notified().await;
        let is_connected = gateway.warmup_news.connected_ms(gateway.now()) >= MIN_CONNECTED_MS;
        let mut news = Vec::new();
        for handle in gateway.warmup_news.take_found() {
            let now = handle.now();
            if !is_connected && handle.update_warmup(|it| it.doubt(now)) {
                log_cold(&handle, "link");
            } else if is_connected && handle.update_warmup(|it| it.find(now)) {
                log_cold(&handle, "found");
                news.push(to_sample(&handle));
            }
        }
        tell_all(&gateway, news);
    }
}

/// Records whether this gateway reaches most endpoints, and how many are cold.
pub(crate) fn run_maintenance(gateway: &Gateway) {
    let table = gateway.endpoint_table.borrow();
    let reach = |it: &Name| table.reach_of(&EndpointGroup::of_service(it.clone()));
    if table.services().any(|it| reach(it).is_minority()) {
        gateway.warmup_news.mark_cut_off(gateway.now());
    }
    gateway.metrics.set_cold_endpoints(table.handles().filter(|it| it.is_cold()).count());
}

/// Returns the endpoints that this gateway knows to be cold, for a heartbeat with at most `count`.
pub(crate) fn own_news(gateway: &Gateway, count: usize) -> Vec<WarmupSample> {
    let table = gateway.endpoint_table.borrow();
    let left_ms = |it: &Rc<EndpointHandle>| it.warmup().own_left_ms(it.now());
    let known = table.handles().filter(|it| left_ms(it) > 0).take(count);
    known.map(|it| sample_of(it, left_ms(it))).collect()
}

/// Sends the cold endpoints to a gateway that has joined or become ready.
pub(crate) fn send_cold(gateway: &Gateway, to: Ipv4Addr) {
    let table = gateway.endpoint_table.borrow();
    let cold = table.handles().filter(|it| it.is_cold());
    let samples: Vec<WarmupSample> = cold.map(|it| to_sample(it)).collect();
    send(gateway, &samples, &[to]);
}

fn tell_all(gateway: &Gateway, samples: Vec<WarmupSample>) {
    if samples.is_empty() {
        return;
    }
    let recipients = gateway.peers.borrow().urgent_recipients(gateway.now());
    send(gateway, &samples, &recipients);
}

fn send(gateway: &Gateway, samples: &[WarmupSample], to: &[Ipv4Addr]) {
    let to = gateway.peers.borrow().speaking(Version::EXTENSIONS, to);
    for batch in samples.chunks(MAX_SAMPLES) {
        datagrams::send_now(gateway, Message::Warmups(batch.to_vec()), &to);
    }
}

fn to_sample(handle: &EndpointHandle) -> WarmupSample {
    sample_of(handle, handle.warmup().left_ms(handle.now()))
}

fn sample_of(handle: &EndpointHandle, left_ms: u64) -> WarmupSample {
    let left_ms = u32::try_from(left_ms).unwrap_or(u32::MAX);
    WarmupSample { endpoint: handle.node() as u32, left_ms }
}

fn log_cold(handle: &EndpointHandle, cause: &str) {
    let warmup = handle.warmup();
    let now = handle.now();
    spdlog::info!(
        "warmup: endpoint={} cold_ms={} rate={:.1} cause={cause}",
        handle.id(),
        warmup.left_ms(now),
        warmup.rate(now).unwrap_or_default()
    );
}
