//! Matching of replies from peers to the requests that wait for them.

use std::{cell::RefCell, collections::HashMap, hash::Hash, rc::Rc};

use tokio::sync::mpsc;

/// Requests to peers that wait for replies, by identifier.
#[derive(Debug)]
pub(crate) struct PendingRequests<K, V> {
    senders: Rc<RefCell<HashMap<K, mpsc::UnboundedSender<V>>>>,
}

/// Receives the replies to one request; dropping it unregisters the request.
#[derive(Debug)]
pub(crate) struct ReplyReceiver<K: Copy + Eq + Hash, V> {
    key: K,
    senders: Rc<RefCell<HashMap<K, mpsc::UnboundedSender<V>>>>,
    replies: mpsc::UnboundedReceiver<V>,
}

impl<K, V> Default for PendingRequests<K, V> {
    fn default() -> PendingRequests<K, V> {
        PendingRequests { senders: Rc::default() }
    }
}

impl<K: Copy + Eq + Hash, V> PendingRequests<K, V> {
    /// Registers a request and returns the receiver of its replies.
    pub(crate) fn register(&self, key: K) -> ReplyReceiver<K, V> {
        let (sender, replies) = mpsc::unbounded_channel();
        self.senders.borrow_mut().insert(key, sender);
        ReplyReceiver { key, senders: Rc::clone(&self.senders), replies }
    }

    /// Returns the number of registered requests.
    pub(crate) fn len(&self) -> usize {
        self.senders.borrow().len()
    }

    /// Delivers a reply; returns whether a request was waiting for it.
    pub(crate) fn deliver(&self, key: &K, reply: V) -> bool {
        match self.senders.borrow().get(key) {
            Some(sender) => sender.send(reply).is_ok(),
            None => false,
        }
    }
}

impl<K: Copy + Eq + Hash, V> ReplyReceiver<K, V> {
    /// Waits for the next reply.
    pub(crate) async fn next(&mut self) -> Option<V> {
        self.replies.recv().await
    }
}

impl<K: Copy + Eq + Hash, V> Drop for ReplyReceiver<K, V> {
    fn drop(&mut self) {
        self.senders.borrow_mut().remove(&self.key);
    }
}
