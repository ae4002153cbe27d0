//! At-most-once execution of non-idempotent requests.
//!
//! An idempotency key names two routers by ID and incarnation: its *home*, the
//! only one that may run the request, and its *witness*. The home starts a key,
//! that is, runs its request, only after the witness has recorded a *note* of
//! it. A router that cannot reach the home asks the witness to *seal* the key:
//! if the witness has no note of the key, the home can no longer start it, and
//! reporting "not run" is correct.
//!
//! The order in which the witness receives the two requests decides: a note
//! prevents the seal, and a seal prevents the start. Correctness therefore needs
//! neither a quorum nor a shared store, and holds even if routers disagree about
//! membership.

mod home;
mod key;
mod witness;

pub use self::{
    home::{KeyHome, Step},
    key::{Answer, Key, KeyId, KeyPrefix, MalformedKey},
    witness::{KeyWitness, NoteReply, SealReply},
};
