//! What gateways tell each other of cold endpoints, while it is under way.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
};

use mimosaledge_core::Millis;
use mimosaledge_peer::WarmupSample;
use tokio::sync::Notify;

use crate::endpoint_handle::EndpointHandle;

/// Time for which a sample of an endpoint that is not listed yet is kept, in milliseconds.
const RETENTION_MS: u64 = 3_000;
/// Maximum number of these samples.
const MAX_EARLY: usize = 512;

/// Endpoints that others are to be told of, and samples that came before their endpoints.
#[derive(Debug, Default)]
pub(crate) struct WarmupNews {
    /// Endpoints that this gateway has found to be back.
    found: RefCell<Vec<Rc<EndpointHandle>>>,
    /// Notified when there is one.
    pub(crate) added: Notify,
    /// Samples of endpoints that are not listed yet, and when each came.
    early: RefCell<HashMap<u32, (WarmupSample, Millis)>>,
    /// When this gateway last did not reach most endpoints of a service.
    cut_off_at: Cell<Option<Millis>>,
}

impl WarmupNews {
    /// Adds an endpoint that is back.
    pub(crate) fn add(&self, handle: Rc<EndpointHandle>) {
        self.found.borrow_mut().push(handle);
        self.added.notify_one();
    }

    /// Removes and returns the endpoints that are back.
    pub(crate) fn take_found(&self) -> Vec<Rc<EndpointHandle>> {
        self.found.take()
    }

    /// Keeps a sample until its endpoint is listed.
    pub(crate) fn keep(&self, sample: WarmupSample, now: Millis) {
        let mut early = self.early.borrow_mut();
        early.retain(|_, (_, at)| now.since(*at) < RETENTION_MS);
        if early.len() < MAX_EARLY {
            early.insert(sample.endpoint, (sample, now));
        }
    }

    /// Removes and returns the samples of endpoints for which `is_listed` returns true, with their
    /// times reduced by their age.
    pub(crate) fn take_listed(
        &self,
        is_listed: impl Fn(u32) -> bool,
        now: Millis,
    ) -> Vec<WarmupSample> {
        let mut early = self.early.borrow_mut();
        early.retain(|_, (_, at)| now.since(*at) < RETENTION_MS);
        let listed: Vec<u32> = early.keys().copied().filter(|it| is_listed(*it)).collect();
        let taken = listed.iter().filter_map(|it| early.remove(it));
        let to_current = |(sample, at): (WarmupSample, Millis)| {
            let age_ms = u32::try_from(now.since(at)).unwrap_or(u32::MAX);
            WarmupSample { left_ms: sample.left_ms.saturating_sub(age_ms), ..sample }
        };
        taken.map(to_current).collect()
    }

    /// Records that this gateway does not reach most endpoints of a service.
    pub(crate) fn mark_cut_off(&self, now: Millis) {
        self.cut_off_at.set(Some(now));
    }

    /// Returns the time since this gateway last did not reach most endpoints of a service, in
    /// milliseconds.
    pub(crate) fn connected_ms(&self, now: Millis) -> u64 {
        self.cut_off_at.get().map_or(u64::MAX, |it| now.since(it))
    }
}
