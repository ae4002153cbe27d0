//! When an endpoint accepts requests, and how many: what it has said of itself, and which
//! permits can be expected.

use std::cell::Cell;

use mimosaledge_core::Millis;
use mimosaledge_peer::{EndpointLimits, LimitSample};
use mimosaledge_policy::permits::Claim;

use crate::{dialect::ResponseMetadata, endpoint_limits::ObservedLimits};

/// Time for which an endpoint gets no requests after another one has responded at its address,
/// in milliseconds; the endpoint list catches up meanwhile.
const MISDIRECTED_PAUSE_MS: u64 = 3_000;

/// Restrictions on requests to one incarnation of an endpoint.
#[derive(Debug, Default)]
pub(crate) struct Restrictions {
    /// Whether the endpoint has said that it is shutting down.
    is_leaving: Cell<bool>,
    /// Time before which the endpoint wants no requests.
    paused_until: Cell<Millis>,
    /// What the endpoint accepts from all gateways together.
    limits: Cell<ObservedLimits>,
    /// Time before which no permit for the endpoint can be expected.
    permits_from: Cell<Millis>,
    /// Time before which no permit can be expected to be left over.
    spare_from: Cell<Millis>,
}

impl Restrictions {
    /// Records what the endpoint `id` has said of itself in a response.
    pub(crate) fn record_notices(&self, id: &str, metadata: &ResponseMetadata, now: Millis) {
        if metadata.leaving && !self.is_leaving.replace(true) {
            spdlog::info!("health: endpoint={id} leaving=true");
        }
        if let Some(pause_ms) = metadata.pause_ms {
            spdlog::info!("health: endpoint={id} pause_ms={pause_ms}");
            self.paused_until.set(self.paused_until.get().max(now + pause_ms));
        }
    }

    /// Records that another endpoint has responded at the address of the endpoint `id`, which
    /// then gets no requests for a while: the list says whether it is gone.
    pub(crate) fn record_misdirection(&self, id: &str, now: Millis) {
        spdlog::info!("health: endpoint={id} misdirected=true pause_ms={MISDIRECTED_PAUSE_MS}");
        self.paused_until.set(self.paused_until.get().max(now + MISDIRECTED_PAUSE_MS));
    }

    /// Logs what still holds of the endpoint `id`, which is listed again after `absent_ms`, if
    /// anything does.
    pub(crate) fn log_return(&self, id: &str, absent_ms: u64, now: Millis) {
        let pause_ms = self.pause_ms(now);
        if pause_ms == 0 && !self.is_leaving() && !self.limits().needs_permit() {
            return;
        }
        spdlog::info!(
            "health: endpoint={id} returned=true absent_ms={absent_ms} pause_ms={pause_ms} \
             leaving={} rate_limit={:?}",
            self.is_leaving(),
            self.limits().rate
        );
    }

    /// Returns whether the endpoint has said that it is shutting down.
    pub(crate) fn is_leaving(&self) -> bool {
        self.is_leaving.get()
    }

    /// Returns the time for which the endpoint still wants no requests, in milliseconds.
    pub(crate) fn pause_ms(&self, now: Millis) -> u64 {
        self.paused_until.get().since(now)
    }

    /// Applies the limits that the endpoint `id` named at `at`; returns whether that changes
    /// them.
    pub(crate) fn observe_limits(
        &self,
        id: &str,
        limits: EndpointLimits,
        at: Millis,
        now: Millis,
    ) -> bool {
        let mut observed = self.limits.get();
        let has_changed = observed.observe(limits, at, now);
        self.limits.set(observed);
        if has_changed {
            self.permits_from.set(now);
            self.spare_from.set(now);
            let EndpointLimits { rate, max_refusals } = limits;
            spdlog::info!(
                "health: endpoint={id} rate_limit={rate:?} max_refusals={max_refusals:?}"
            );
        }
        has_changed
    }

    /// Returns what the endpoint accepts from all gateways together.
    pub(crate) fn limits(&self) -> EndpointLimits {
        self.limits.get().limits
    }

    /// Returns the limits of the endpoint `node` for other gateways.
    pub(crate) fn to_sample(&self, node: u64, now: Millis) -> LimitSample {
        self.limits.get().to_sample(node, now)
    }

    /// Returns the limits of the endpoint `node` for other gateways, if they have changed
    /// lately.
    pub(crate) fn changed_limits(&self, node: u64, now: Millis) -> Option<LimitSample> {
        self.limits.get().is_news(now).then(|| self.to_sample(node, now))
    }

    /// Records that no permit for `claim` can be expected before `time`.
    pub(crate) fn deny_permits_until(&self, claim: Claim, time: Millis) {
        self.permits_from(claim).set(time);
    }

    fn permits_from(&self, claim: Claim) -> &Cell<Millis> {
        match claim {
            Claim::Preferred => &self.permits_from,
            Claim::Spare => &self.spare_from,
        }
    }

    /// Returns the time until the endpoint may accept a request with `claim`, which may need a
    /// permit, in milliseconds.
    pub(crate) fn wait_ms(&self, claim: Claim, needs_permit: bool, now: Millis) -> u64 {
        if !needs_permit {
            return self.pause_ms(now);
        }
        self.pause_ms(now).max(self.permits_from(claim).get().since(now))
    }
}
