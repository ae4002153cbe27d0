use super::{ChatView, EngineView, Policy};
use crate::{endpoints::EndpointId, hash::rendezvous_score};

/// Prefers the engine that holds the chat's prefix, then rendezvous order.
///
/// It does not look at load: the engines' admission homes hold the bound, and
/// a refused chat moves on in an order that every router computes alike.
#[derive(Debug)]
pub struct Affine;

impl Policy for Affine {
    fn rank(&mut self, chat: &ChatView, engines: &[EngineView]) -> Vec<EndpointId> {
        let mut ranked: Vec<&EngineView> = engines.iter().collect();
        ranked.sort_by(|a, b| {
            let warm = |it: &EngineView| is_warm(chat, it);
            warm(b).cmp(&warm(a)).then(score(chat, b).total_cmp(&score(chat, a)))
        });
        ranked.into_iter().map(|it| it.id).collect()
    }

    fn uses_gates(&self) -> bool {
        true
    }
}

fn is_warm(chat: &ChatView, engine: &EngineView) -> bool {
    chat.hint.is_some_and(|hint| hint.engine == engine.id && hint.incarnation == engine.incarnation)
}

/// Scores `engine` for the chat by rendezvous hashing.
pub(super) fn score(chat: &ChatView, engine: &EngineView) -> f64 {
    rendezvous_score(chat.key, u64::from(engine.id.0), 1.0)
}
