//! Admission of work to one engine within its load bound.
//!
//! One router at a time is the admission home of an engine. It counts every
//! request that it lets in, so the bound holds whatever lag the engine's load
//! reports have and however many routers decide at once.

mod ask;
#[expect(clippy::module_inception, reason = "the file is named for its type")]
mod gate;
mod waiters;

pub use self::{
    ask::{Ask, AskId, Limits, Verdict},
    gate::Gate,
};
