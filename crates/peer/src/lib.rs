//! The protocol between gateways, whose builds may differ while a fleet is upgraded or
//! rolled back.
//!
//! Gateways send each other datagrams, each with one [`Message`], and fetch missing state
//! over TCP: a [`SyncRequest`] and a [`SyncResponse`]. All are encoded with postcard, which
//! names no fields, so the layout of each type is part of the protocol. The rules for
//! changes are in `docs/design/builds-side-by-side.md`:
//!
//! - The layout of an existing type does not change. New kinds of messages come last.
//! - A datagram ends with a footer of [`Version`] and checksum. A later version may put more
//!   bytes between message and footer; an older gateway ignores them.
//! - A gateway sends what only a later version understands to gateways of that version.
//!
//! | module | content |
//! |---|---|
//! | [`datagram`] | encoding and decoding of datagrams |
//! | `frame` | the footer |
//! | `version` | versions of the protocol |
//! | `message`, `heartbeat` | the messages in datagrams |
//! | `old_heartbeat` | the heartbeat of gateways that know no permits |
//! | [`sync`] | the messages over TCP |
//! | `change_batch`, `state_summary` | configuration and endpoint list in messages |
//! | `rejections` | which rejected datagrams are logged |
//! | `endpoint_limits`, `load_sample`, `outcomes`, `reports`, `request_count`, `heartbeat_extension` | parts of heartbeats |
//! | `service_usage` | what gateways tell of services that lack room |
//! | `slowness_sample` | how slow endpoints are just now |
//! | `warmup_sample` | how long endpoints stay cold |

mod change_batch;
pub mod datagram;
mod endpoint_limits;
mod error;
mod frame;
mod heartbeat;
mod heartbeat_extension;
mod load_sample;
mod message;
mod old_heartbeat;
mod outcomes;
mod rejections;
mod reports;
mod request_count;
mod service_usage;
mod slowness_sample;
mod state_summary;
pub mod sync;
mod version;
mod warmup_sample;

pub use crate::{
    change_batch::ChangeBatch,
    datagram::Datagram,
    endpoint_limits::{EndpointLimits, LimitSample},
    error::{Error, Result},
    heartbeat::Heartbeat,
    heartbeat_extension::{EvacuationSummary, HeartbeatExtension},
    load_sample::LoadSample,
    message::{Message, PermitRequest},
    outcomes::Outcomes,
    rejections::Rejections,
    reports::{CrashReport, Refusal, SuspectReport},
    request_count::RequestCount,
    service_usage::{RequestUsage, ServiceUsage},
    slowness_sample::{ResponseTimeSample, SlownessSample},
    state_summary::StateSummary,
    sync::{ListUpdate, SyncRequest, SyncResponse},
    version::Version,
    warmup_sample::WarmupSample,
};
