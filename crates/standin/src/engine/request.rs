//! The engine's request and answer format.

use mimosaledge_core::hash::hash64;
use serde::{Deserialize, Serialize};

/// A request to generate tokens.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Generate {
    /// Name of the model.
    pub model: String,
    /// The prompt: identities and lengths in tokens of its segments, in order.
    pub segments: Vec<(u64, u32)>,
    /// Tokens to generate.
    pub output: u32,
}

/// One line of a streamed answer.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Frame {
    /// Identity of the request.
    pub id: String,
    /// Place of the token in the answer; the token count in the last line.
    pub n: u32,
    /// The token; absent in the last line.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub t: Option<String>,
    /// Checksum of the whole answer; in the last line only.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub sum: Option<String>,
    /// Prompt tokens served from the cache; in the last line only.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub cached: Option<u32>,
}

/// Returns token `n` of the answer to request `id`.
pub fn token(id: &str, n: u32) -> String {
    format!("{:08x}", hash64(format!("{id}/{n}").as_bytes()) as u32)
}

/// Returns the checksum of an answer of `count` tokens to request `id`.
pub fn checksum(id: &str, count: u32) -> String {
    let whole: String = (0..count).map(|n| token(id, n)).collect();
    format!("{:016x}", hash64(whole.as_bytes()))
}

/// Returns the identity of the segment that the answer to `id` adds to a chat.
pub fn output_segment(id: &str) -> u64 {
    hash64(id.as_bytes())
}
