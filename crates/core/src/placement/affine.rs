use super::{ChatView, EngineView, Policy};
use crate::{endpoints::EndpointId, hash::rendezvous_score};

/// Ranks first the engine that the hint says has the chat's prompt prefix
/// cached, then the others by rendezvous hashing.
///
/// It ignores load: the admission homes enforce the load bound, and a chat that
/// an engine rejects moves on in the same order on every router.
#[derive(Debug)]
pub struct Affine;

impl Policy for Affine {
    fn rank(&mut self, chat: &ChatView, engines: &[EngineView]) -> Vec<EndpointId> {
        let mut ranked: Vec<&EngineView> = engines.iter().collect();
        ranked.sort_by(|a, b| {
            let hinted = |it: &EngineView| matches_hint(chat, it);
            hinted(b).cmp(&hinted(a)).then(hash_score(chat, b).total_cmp(&hash_score(chat, a)))
        });
        ranked.into_iter().map(|it| it.id).collect()
    }

    fn uses_admission(&self) -> bool {
        true
    }
}

fn matches_hint(chat: &ChatView, engine: &EngineView) -> bool {
    chat.hint.is_some_and(|hint| hint.engine == engine.id && hint.incarnation == engine.incarnation)
}

/// Returns the rendezvous hashing score of `engine` for the chat.
pub(super) fn hash_score(chat: &ChatView, engine: &EngineView) -> f64 {
    rendezvous_score(chat.key, u64::from(engine.id.0), 1.0)
}
