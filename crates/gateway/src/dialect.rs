//! Metadata of requests and responses, independent of a platform's header
//! names.

use std::net::SocketAddrV4;

use hyper::{HeaderMap, header::HeaderName, http::request, http::response};
use mimosaledge_core::Name;

use crate::error_response::ErrorResponse;

/// A part of a prompt; engines cache the result of processing it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// The part's identifier.
    pub id: u64,
    /// The part's length in tokens.
    pub tokens: u32,
}

/// Metadata of a client's request, decoded from its head.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RequestMetadata {
    /// Identifier of the client's attempt; may be empty.
    pub attempt_id: Name,
    /// Time for which the client waits, in milliseconds.
    pub deadline_ms: Option<u64>,
    /// The API key.
    pub api_key: Option<Name>,
    /// Number of the last event that the client received, if the request
    /// resumes a stream.
    pub last_event: Option<u64>,
    /// Identifier of the client's attempt that received the first event of the stream
    /// that the request resumes.
    pub resumed_attempt: Option<Name>,
    /// The prompt's parts, in order.
    pub prompt: Vec<PromptPart>,
    /// Maximum number of tokens to generate.
    pub max_tokens: Option<u32>,
    /// Whether the request may only run with one version of the weights.
    pub names_version: bool,
}

/// Metadata that the gateway sets in a request to an endpoint.
#[derive(Debug, Clone, PartialEq)]
pub struct ForwardMetadata {
    /// Time left for the response, in milliseconds.
    pub deadline_ms: u64,
    /// Identifier of the intended endpoint; any other one refuses the request.
    pub endpoint: Name,
    /// The workspace that sent the request.
    pub workspace: Option<Name>,
    /// Priority of the request; 0 is the most urgent.
    pub priority: Option<u8>,
    /// Number of the last event received, if the request resumes a stream.
    pub last_event: Option<u64>,
    /// Address of the engine from which to fetch the cached prompt prefix.
    pub fetch_from: Option<SocketAddrV4>,
}

/// Metadata of an endpoint's response, decoded from its head.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ResponseMetadata {
    /// Identifier of the attempt that the response belongs to, if present.
    pub attempt_id: Option<Name>,
    /// Whether the response carries the seal that endpoints set; a successful
    /// response without it is treated as failed.
    pub sealed: bool,
    /// Whether the endpoint states that the request did not run.
    pub not_run: bool,
    /// Whether the endpoint rejects the request since it is not for it: another endpoint was
    /// intended, or another version of its weights.
    pub misdirected: bool,
    /// Identifier of the endpoint that responds, if it is given.
    pub endpoint: Option<Name>,
    /// Number of requests running and waiting at the endpoint, if reported.
    pub load: Option<u32>,
    /// Time that work takes at the endpoint just now, relative to the usual time, if reported.
    pub slowness: Option<f64>,
    /// Time for which the endpoint keeps an idle connection open, in
    /// milliseconds, if reported.
    pub idle_timeout_ms: Option<u64>,
    /// Whether the endpoint closes the connection after the response.
    pub closing: bool,
    /// Whether the endpoint states that it is shutting down.
    pub leaving: bool,
    /// Time for which the endpoint asks for no more requests, in milliseconds, if it
    /// refused this one.
    pub pause_ms: Option<u64>,
    /// Requests per second that the endpoint accepts from all gateways together, if it
    /// limits them.
    pub rate_limit: Option<f64>,
    /// Requests that the endpoint can refuse in a second before it crashes, if it is brittle.
    pub max_refusals: Option<u32>,
}

/// What a client asks the directory for.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct DirectoryQuery {
    /// The host that the client will send requests to.
    pub host: Name,
    /// Region of the client; empty if it names none.
    pub region: Name,
    /// Data centre of the client; empty if it names none.
    pub data_centre: Name,
}

/// Translates between a platform's HTTP messages and metadata types.
pub trait Dialect {
    /// Decodes the head of a client's request.
    fn decode_request(&self, head: &request::Parts) -> RequestMetadata;

    /// Builds the headers of a request to an endpoint from the client's headers, without those
    /// of its connection.
    fn encode_forward(&self, client: HeaderMap, forward: &ForwardMetadata) -> HeaderMap;

    /// Returns whether a header is meant for the final recipient of a message, so that a
    /// `Connection` header cannot remove it on the way.
    fn is_end_to_end(&self, name: &HeaderName) -> bool;

    /// Decodes the head of an endpoint's response.
    fn decode_response(&self, head: &response::Parts) -> ResponseMetadata;

    /// Builds the headers of an error response generated by the gateway.
    fn encode_error(&self, attempt_id: &str, error: &ErrorResponse) -> HeaderMap;

    /// Returns the status and body for a directory request.
    ///
    /// `addresses` returns the gateways that the client should use.
    fn encode_directory(
        &self,
        head: &request::Parts,
        addresses: &dyn Fn(&DirectoryQuery) -> Vec<SocketAddrV4>,
    ) -> (u16, Vec<u8>);

    /// Returns whether the request is a readiness check.
    fn is_ready_check(&self, head: &request::Parts) -> bool;
}
