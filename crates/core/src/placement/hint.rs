use std::{fmt, str::FromStr};

use crate::endpoints::EndpointId;

/// The engine that ran a chat's previous request, which the client sends
/// back with the next one.
///
/// A hint only changes the order of engines that the router would try anyway, so
/// a forged one can neither exceed a load bound nor give access to another
/// workspace.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlacementHint {
    /// The engine.
    pub engine: EndpointId,
    /// The engine's incarnation; a restart clears the engine's prompt cache.
    pub incarnation: u32,
}

impl fmt::Display for PlacementHint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:08x}.{:08x}", self.engine.0, self.incarnation)
    }
}

impl FromStr for PlacementHint {
    type Err = MalformedHint;

    fn from_str(text: &str) -> Result<PlacementHint, MalformedHint> {
        let (engine, incarnation) = text.split_once('.').ok_or(MalformedHint)?;
        let engine = u32::from_str_radix(engine, 16).map_err(|_| MalformedHint)?;
        let incarnation = u32::from_str_radix(incarnation, 16).map_err(|_| MalformedHint)?;
        Ok(PlacementHint { engine: EndpointId(engine), incarnation })
    }
}

/// Error returned if a text is not a well-formed placement hint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MalformedHint;
