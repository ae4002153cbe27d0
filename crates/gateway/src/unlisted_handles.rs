//! Incarnations of endpoints whose entries have left the list, and may return.

use std::{collections::HashMap, rc::Rc};

use mimosaledge_core::Millis;

use crate::endpoint_handle::EndpointHandle;

/// Time for which an incarnation is remembered after its entry has left the list, in
/// milliseconds.
const RETENTION_MS: u64 = 600_000;
/// Maximum number of incarnations that are remembered.
const MAX_HANDLES: usize = 2_048;

/// Handles that are not listed, with the time at which they left the list.
#[derive(Debug, Default)]
pub(crate) struct UnlistedHandles {
    handles: HashMap<u64, (Rc<EndpointHandle>, Millis)>,
}

impl UnlistedHandles {
    /// Adds a handle; the one that was added first makes room for it if necessary.
    pub(crate) fn add(&mut self, handle: Rc<EndpointHandle>, now: Millis) {
        if self.handles.len() >= MAX_HANDLES {
            let oldest = self.handles.iter().min_by_key(|(_, (_, left_at))| *left_at);
            if let Some(node) = oldest.map(|(node, _)| *node) {
                self.handles.remove(&node);
            }
        }
        self.handles.insert(handle.node(), (handle, now));
    }

    /// Removes and returns the handle of an incarnation that is listed again at `now`.
    pub(crate) fn take(&mut self, node: u64, now: Millis) -> Option<Rc<EndpointHandle>> {
        let (handle, left_at) = self.handles.remove(&node)?;
        handle.log_return(now.since(left_at));
        Some(handle)
    }

    /// Drops handles that left the list long ago and asked for no pause that still lasts.
    pub(crate) fn remove_expired(&mut self, now: Millis) {
        self.handles.retain(|_, (handle, left_at)| {
            now.since(*left_at) < RETENTION_MS || handle.pause_ms() > 0
        });
    }

    /// Iterates over the handles.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Rc<EndpointHandle>> {
        self.handles.values().map(|(handle, _)| handle)
    }
}
