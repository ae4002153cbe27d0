//! How fast an endpoint is just now, as far as its responses show.

use std::cell::Cell;

use mimosaledge_core::Millis;
use mimosaledge_peer::{ResponseTimeSample, SlownessSample};
use mimosaledge_policy::{
    broken_responses::BrokenResponses,
    response_times::{ResponseSample, ResponseTimes},
    slowness::Slowness,
};

/// Age up to which other gateways are told how slow an endpoint is, and time for which they
/// are also told that it is no more, in milliseconds.
const MAX_SAMPLE_AGE_MS: u64 = 1_000;

/// How slow an endpoint said that it is.
#[derive(Debug, Clone, Copy)]
struct NamedSlowness {
    slowness: Slowness,
    at: Millis,
    /// Whether the endpoint told this gateway, not a peer.
    is_direct: bool,
}

/// Response times that no other gateway has been told of.
#[derive(Debug, Clone, Copy, Default)]
struct Untold {
    responses: ResponseSample,
    /// When the first of them came.
    since: Millis,
}

/// How slow one endpoint is, by what it says or by its response times.
#[derive(Debug, Default)]
pub(crate) struct Responsiveness {
    named: Cell<Option<NamedSlowness>>,
    /// When the endpoint last named another slowness than the usual one.
    last_slow: Cell<Option<Millis>>,
    times: Cell<ResponseTimes>,
    untold: Cell<Untold>,
    broken: Cell<BrokenResponses>,
}

impl Responsiveness {
    /// Records how slow the endpoint said to this gateway that it is.
    pub(crate) fn record_slowness(&self, slowness: Slowness, now: Millis) {
        self.set_named(NamedSlowness { slowness, at: now, is_direct: true });
    }

    /// Applies what the endpoint said to another gateway, if that is newer.
    pub(crate) fn apply_slowness(&self, sample: &SlownessSample, now: Millis) {
        let at = now - u64::from(sample.age_ms);
        if self.named.get().is_none_or(|known| known.at < at) {
            self.set_named(NamedSlowness { slowness: sample.slowness(), at, is_direct: false });
        }
    }

    fn set_named(&self, named: NamedSlowness) {
        if named.slowness != Slowness::USUAL {
            self.last_slow.set(Some(named.at));
        }
        self.named.set(Some(named));
    }

    /// Returns how slow the endpoint is expected to be by what it has said.
    pub(crate) fn slowness(&self, now: Millis) -> Slowness {
        let named = self.named.get();
        named.map(|it| it.slowness.aged(now.since(it.at))).unwrap_or_default()
    }

    /// Returns what the endpoint `node` has said to this gateway, if it is news to others.
    pub(crate) fn to_slowness_sample(&self, node: u64, now: Millis) -> Option<SlownessSample> {
        let named = self.named.get().filter(|it| it.is_direct)?;
        let age_ms = now.since(named.at);
        let was_slow = self.last_slow.get().is_some_and(|it| now.since(it) < MAX_SAMPLE_AGE_MS);
        let is_news = was_slow && age_ms < MAX_SAMPLE_AGE_MS;
        is_news.then(|| SlownessSample::new(node, named.slowness, age_ms))
    }

    /// Records that a response of the endpoint broke off or was not its own.
    pub(crate) fn record_broken(&self, now: Millis) {
        let mut broken = self.broken.get();
        broken.record(now);
        self.broken.set(broken);
    }

    /// Returns the broken responses that this gateway got.
    pub(crate) fn broken(&self) -> BrokenResponses {
        self.broken.get()
    }

    /// Records that the endpoint responded to this gateway after `duration_ms`.
    pub(crate) fn record_response(&self, duration_ms: u64, now: Millis) {
        let one = ResponseSample::of_one(duration_ms);
        self.add_times(one, 0, now);
        let mut untold = self.untold.get();
        if untold.responses.count == 0.0 {
            untold.since = now;
        }
        untold.responses = untold.responses + one;
        self.untold.set(untold);
    }

    /// Applies responses that other gateways got.
    pub(crate) fn apply_times(&self, sample: &ResponseTimeSample, now: Millis) {
        self.add_times(sample.to_responses(), sample.age_ms.into(), now);
    }

    fn add_times(&self, responses: ResponseSample, age_ms: u64, now: Millis) {
        let mut times = self.times.get();
        times.record(responses, age_ms, now);
        self.times.set(times);
    }

    /// Returns the recent response times.
    pub(crate) fn times(&self) -> ResponseTimes {
        self.times.get()
    }

    /// Returns the response times of the endpoint `node` that others have not been told of, and
    /// counts them as told.
    pub(crate) fn take_untold(&self, node: u64, now: Millis) -> Option<ResponseTimeSample> {
        let untold = self.untold.take();
        let age_ms = now.since(untold.since) / 2;
        let is_any = untold.responses.count > 0.0;
        is_any.then(|| ResponseTimeSample::new(node, untold.responses, age_ms))
    }
}
