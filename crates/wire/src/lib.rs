//! The wire protocol between routers, encoded with postcard.
//!
//! Each UDP datagram carries one [`Message`]. State transfers use TCP on the
//! same port: the requesting router connects and reads one length-prefixed
//! [`StateTransfer`].

mod codec;
mod message;

pub use crate::{
    codec::{Error, MAX_DATAGRAM_BYTES, Result, decode, encode},
    message::{
        CompactHeartbeat, CrashReport, EndpointStatus, EngineLoad, Gossip, Message, MessageKind,
        StateTransfer,
    },
};
