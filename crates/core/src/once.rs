//! At-most-once execution of non-idempotent requests.
//!
//! An idempotency key names the one router incarnation that may run it, its
//! *home*, and a second one, its *witness*. The home starts a key only after
//! the witness has noted it. A router that cannot reach the home asks the
//! witness to *seal* the key: a key never noted is then closed for good, and
//! "not run" is the truth. Each of the two can only stop the other, so no vote
//! and no store is needed, and the rule holds however views of membership
//! differ.

mod home;
mod key;
mod witness;

pub use self::{
    home::{Home, Step},
    key::{Answer, Key, KeyId, KeyPrefix, MalformedKey},
    witness::{NoteReply, SealReply, Witness},
};
