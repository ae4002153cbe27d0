//! What stands in requests and answers, free of any platform's names.

use std::net::SocketAddrV4;

use hyper::{HeaderMap, http::request, http::response};
use mimosaledge_core::Name;

use crate::answer::Refusal;

/// A part of a prompt that engines cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// The part's identifier.
    pub id: u64,
    /// Its length in tokens.
    pub tokens: u32,
}

/// What a client's request says besides its path and body.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Ask {
    /// Identifies the client's attempt.
    pub attempt: Name,
    /// How long the client waits, in milliseconds.
    pub deadline_ms: Option<u64>,
    /// The API key.
    pub key: Option<Name>,
    /// The last event that the client has, of a stream to resume.
    pub last_event: Option<u64>,
    /// The prompt's parts, in order.
    pub prompt: Vec<PromptPart>,
}

/// What the gateway sets in a request that it sends to an endpoint.
#[derive(Debug, Clone, PartialEq)]
pub struct Forward {
    /// Time left for the answer, in milliseconds.
    pub deadline_ms: u64,
    /// The endpoint that must run it; any other refuses it.
    pub endpoint: Name,
    /// The workspace that sent the request.
    pub workspace: Option<Name>,
    /// Rank of the request; 0 is the most urgent.
    pub priority: Option<u8>,
    /// The last event received, of a stream to resume.
    pub last_event: Option<u64>,
    /// The engine from which to fetch what it has cached of the prompt.
    pub fetch_from: Option<SocketAddrV4>,
}

/// What an endpoint's answer says besides status and body.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Answer {
    /// The attempt that is answered, if named.
    pub attempt: Option<Name>,
    /// Whether the endpoint vouches for the answer.
    pub sealed: bool,
    /// Whether the endpoint states that the request did not run.
    pub not_run: bool,
    /// Whether the endpoint is not the one that was asked for.
    pub misdirected: bool,
    /// Requests running and waiting there, if told.
    pub load: Option<u32>,
    /// How long the connection may stay idle, in milliseconds, if told.
    pub idle_ms: Option<u64>,
    /// Whether the connection closes after the answer.
    pub closing: bool,
}

/// Translates between HTTP messages and the types above.
pub trait Dialect {
    /// Reads a client's request.
    fn decode_request(&self, head: &request::Parts) -> Ask;

    /// Makes the headers of a request to an endpoint from the client's.
    fn encode_forward(&self, client: &HeaderMap, forward: &Forward) -> HeaderMap;

    /// Reads an endpoint's answer.
    fn decode_answer(&self, head: &response::Parts) -> Answer;

    /// Makes the headers of an answer of the gateway's own.
    fn encode_refusal(&self, attempt: &str, refusal: &Refusal) -> HeaderMap;

    /// Answers a request to the directory; `addresses` yields what to use from
    /// a data centre.
    fn encode_directory(
        &self,
        head: &request::Parts,
        addresses: &dyn Fn(&str) -> Vec<SocketAddrV4>,
    ) -> (u16, Vec<u8>);

    /// Returns whether the request asks whether the gateway is ready.
    fn is_ready_check(&self, head: &request::Parts) -> bool;
}
