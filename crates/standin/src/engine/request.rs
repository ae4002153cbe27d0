//! Request and response format of the engine.

use mimosaledge_core::hash::hash64;
use serde::{Deserialize, Serialize};

/// A request to generate tokens.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct GenerateRequest {
    /// Model name.
    pub model: String,
    /// Prompt segments in order, each with its ID and length in tokens.
    pub segments: Vec<(u64, u32)>,
    /// Number of tokens to generate.
    pub output: u32,
}

/// One line of a streamed response.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Frame {
    /// Request ID.
    pub id: String,
    /// Index of the token; in the last line, the number of tokens.
    pub n: u32,
    /// The token; absent in the last line.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub t: Option<String>,
    /// Checksum of all tokens of the response; in the last line only.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub sum: Option<String>,
    /// Prompt tokens served from the cache; in the last line only.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub cached: Option<u32>,
}

/// Returns token `n` of the response to request `id`.
pub fn token(id: &str, n: u32) -> String {
    format!("{:08x}", hash64(format!("{id}/{n}").as_bytes()) as u32)
}

/// Returns the checksum of a response of `count` tokens to request `id`.
pub fn checksum(id: &str, count: u32) -> String {
    let tokens: String = (0..count).map(|n| token(id, n)).collect();
    format!("{:016x}", hash64(tokens.as_bytes()))
}

/// Returns the ID of the segment that the response to request `id` adds to a chat.
pub fn output_segment(id: &str) -> u64 {
    hash64(id.as_bytes())
}
