//! Messages between the processes of the fleet, encoded with postcard.
//!
//! Datagrams carry one [`Message`] each. Head transfers use TCP on the same
//! port: the asker connects and reads one length-prefixed
//! [`Transfer`].

mod codec;
mod message;

pub use crate::{
    codec::{Error, MAX_DATAGRAM_BYTES, Result, decode, encode},
    message::{Beat, Blame, Gossip, Load, Message, MessageKind, Statement, Transfer},
};
