//! Methods of [`Gateway`] that keep the endpoint list and the state derived from it.

use mimosaledge_peer::{ChangeBatch, StateSummary};
use mimosaledge_policy::{
    Endpoint, Position,
    endpoints::{Change, Endpoints},
};

use crate::{evacuation, gateway::Gateway, reach, warmup};

/// Time without confirmation by the store or a peer after which the endpoint list may lack
/// endpoints that others know, in milliseconds.
const LIST_STALE_MS: u64 = 2_500;

impl Gateway {
    /// Returns whether the last read of the endpoint list succeeded.
    pub(crate) fn is_list_available(&self) -> bool {
        !self.endpoints.borrow().is_list_unavailable()
    }

    /// Returns whether the endpoint list was read lately, or is as new as that of every
    /// other live gateway.
    pub(crate) fn is_list_current(&self) -> bool {
        if self.list_age_ms() < LIST_STALE_MS {
            return true;
        }
        let peers = self.peers.borrow();
        peers.count_alive(self.now()) > 0
            && peers.find_newer(self.state_summary(), true, self.now()).is_none()
    }

    /// Returns whether this gateway reads the endpoint list from the store,
    /// rather than receiving it from its peers.
    pub(crate) fn is_list_reader(&self) -> bool {
        self.is_list_available() && self.is_reader()
    }

    /// Returns whether this gateway is one of those that confirm to the others what the
    /// store holds.
    pub(crate) fn is_reader(&self) -> bool {
        self.peers.borrow().is_reader(self.now())
    }

    /// Records a successful read of the endpoint list.
    pub(crate) fn mark_list_read(&self) {
        self.endpoints.borrow_mut().mark_list_available(self.list_age_ms(), self.now());
        self.list_confirmed.set(self.now());
    }

    /// Records that the endpoint list could not be read.
    pub(crate) fn mark_list_unavailable(&self) {
        self.endpoints.borrow_mut().mark_list_unavailable();
    }

    /// Applies changes of the endpoint list that were read from the store up to
    /// `position`, and deferred removals that are now due if the list ended there.
    pub(crate) fn apply_changes(
        &self,
        changes: Vec<Change>,
        position: Position,
        is_complete: bool,
    ) {
        let mut endpoints = self.endpoints.borrow_mut();
        let applied = endpoints.apply_read(changes, position, is_complete, self.now());
        self.publish_changes(&endpoints, applied, position);
    }

    /// Replaces the endpoint list with that of a store that was restored from an
    /// older copy, as of `position`.
    pub(crate) fn restore_from_store(&self, entries: Vec<Endpoint>, position: Position) {
        spdlog::warn!("endpoints: listed={} position={position} restored=true", entries.len());
        let mut endpoints = self.endpoints.borrow_mut();
        let applied = endpoints.restore(entries, self.now());
        endpoints.advance_to(position);
        self.publish_changes(&endpoints, applied, position);
    }

    /// Updates the state that follows the endpoint list after the changes
    /// `applied`, and keeps them to send them to peers.
    fn publish_changes(&self, endpoints: &Endpoints, applied: Vec<Change>, position: Position) {
        if applied.is_empty() {
            return;
        }
        for change in &applied {
            spdlog::info!("endpoints: {} position={position}", format_change(change));
        }
        let base_digest = self.list_digest.get();
        self.history.borrow_mut().record(base_digest, &applied);
        self.update_endpoint_table(endpoints);
        self.unsent_changes.borrow_mut().add(base_digest, self.list_digest.get(), applied);
    }

    /// Applies changes that a peer has read, if this gateway has the list that
    /// they are relative to and they lead to the peer's list.
    pub(crate) fn apply_batch(&self, batch: ChangeBatch, summary: &StateSummary) {
        if batch.base_digest != self.list_digest.get() || batch.changes.is_empty() {
            return;
        }
        if self.endpoints.borrow().digest_after(&batch.changes) != summary.digest {
            spdlog::warn!(
                "endpoints: changes={} position={} outdated=true source=peer",
                batch.changes.len(),
                summary.position
            );
            return;
        }
        self.apply_peer_changes(batch.changes, summary.position, "peer");
    }

    /// Applies changes from a peer, which must be relative to the current list.
    pub(crate) fn apply_peer_changes(
        &self,
        changes: Vec<Change>,
        position: Position,
        source: &str,
    ) {
        let mut endpoints = self.endpoints.borrow_mut();
        for change in &changes {
            spdlog::info!(
                "endpoints: {} position={position} source={source}",
                format_change(change)
            );
        }
        self.history.borrow_mut().record(self.list_digest.get(), &changes);
        endpoints.apply_from_peer(changes, self.now());
        self.update_endpoint_table(&endpoints);
    }

    /// Updates the digest and the endpoint table after a change of the list.
    fn update_endpoint_table(&self, endpoints: &Endpoints) {
        self.list_digest.set(endpoints.digest());
        self.endpoint_table.borrow_mut().update(
            endpoints.iter(),
            self.settings.address,
            self.clock,
        );
        let returned = evacuation::mark_endpoints(self);
        warmup::update_paces(self);
        warmup::mark_returned(self, returned.into_iter());
        warmup::apply_early_samples(self);
        self.builds.borrow_mut().record(endpoints.iter(), self.now());
        reach::start_probes(self);
    }

    /// Records that the endpoint list was current `age_ms` ago.
    pub(crate) fn confirm_list(&self, age_ms: u64) {
        self.list_confirmed.set(self.list_confirmed.get().max(self.now() - age_ms));
    }

    /// Returns the time since the endpoint list was last known to be current,
    /// in milliseconds.
    pub(crate) fn list_age_ms(&self) -> u64 {
        self.now().since(self.list_confirmed.get())
    }

    /// Replaces the endpoint list with the store's as of `position`.
    pub(crate) fn replace_from_store(&self, entries: Vec<Endpoint>, position: Position) {
        spdlog::info!("endpoints: listed={} position={position} source=store", entries.len());
        let mut endpoints = self.endpoints.borrow_mut();
        endpoints.replace(entries, self.now());
        self.history.borrow_mut().clear();
        endpoints.advance_to(position);
        self.update_endpoint_table(&endpoints);
    }

    /// Replaces the endpoint list with a peer's as of `position`.
    pub(crate) fn replace_from_peer(
        &self,
        entries: Vec<Endpoint>,
        position: Position,
        source: &str,
    ) {
        spdlog::info!("endpoints: listed={} position={position} source={source}", entries.len());
        let mut endpoints = self.endpoints.borrow_mut();
        endpoints.replace_from_peer(entries, position, self.now());
        self.history.borrow_mut().clear();
        self.update_endpoint_table(&endpoints);
    }
}

fn format_change(change: &Change) -> String {
    match change {
        Change::Upsert(it) => {
            format!(
                "id={} state={:?} service={} address={} build={} started_ms={:?}",
                it.id, it.state, it.service, it.address, it.build, it.started_ms
            )
        }
        Change::Remove(id) => format!("id={id} gone=true"),
    }
}
