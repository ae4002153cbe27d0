//! Questions to peers that wait for their answers.

use std::{cell::RefCell, collections::HashMap, hash::Hash, rc::Rc};

use tokio::sync::mpsc;

/// Answers that are awaited, by the identity of the question.
#[derive(Debug)]
pub(crate) struct Pending<K, V> {
    waiting: Rc<RefCell<HashMap<K, mpsc::UnboundedSender<V>>>>,
}

/// A question that is awaited until it is dropped.
#[derive(Debug)]
pub(crate) struct Awaited<K: Copy + Eq + Hash, V> {
    key: K,
    waiting: Rc<RefCell<HashMap<K, mpsc::UnboundedSender<V>>>>,
    answers: mpsc::UnboundedReceiver<V>,
}

impl<K, V> Default for Pending<K, V> {
    fn default() -> Pending<K, V> {
        Pending { waiting: Rc::default() }
    }
}

impl<K: Copy + Eq + Hash, V> Pending<K, V> {
    /// Registers a question.
    pub(crate) fn register(&self, key: K) -> Awaited<K, V> {
        let (sender, answers) = mpsc::unbounded_channel();
        self.waiting.borrow_mut().insert(key, sender);
        Awaited { key, waiting: Rc::clone(&self.waiting), answers }
    }

    /// Returns the number of questions that are awaited.
    pub(crate) fn len(&self) -> usize {
        self.waiting.borrow().len()
    }

    /// Delivers an answer; returns whether anyone waits for it.
    pub(crate) fn deliver(&self, key: &K, answer: V) -> bool {
        match self.waiting.borrow().get(key) {
            Some(sender) => sender.send(answer).is_ok(),
            None => false,
        }
    }
}

impl<K: Copy + Eq + Hash, V> Awaited<K, V> {
    /// Waits for the next answer.
    pub(crate) async fn next(&mut self) -> Option<V> {
        self.answers.recv().await
    }
}

impl<K: Copy + Eq + Hash, V> Drop for Awaited<K, V> {
    fn drop(&mut self) {
        self.waiting.borrow_mut().remove(&self.key);
    }
}
