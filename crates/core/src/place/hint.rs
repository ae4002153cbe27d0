use std::{fmt, str::FromStr};

use crate::endpoints::EndpointId;

/// Where a chat last ran: advice that its caller carries between requests.
///
/// A hint only reorders engines that the router would consider anyway, so a
/// forged one breaks no bound and reaches no other workspace.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlaceHint {
    /// The engine.
    pub engine: EndpointId,
    /// The engine's incarnation; a restarted engine has lost its cache.
    pub incarnation: u32,
}

impl fmt::Display for PlaceHint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:08x}.{:08x}", self.engine.0, self.incarnation)
    }
}

impl FromStr for PlaceHint {
    type Err = MalformedHint;

    fn from_str(text: &str) -> Result<PlaceHint, MalformedHint> {
        let (engine, incarnation) = text.split_once('.').ok_or(MalformedHint)?;
        let engine = u32::from_str_radix(engine, 16).map_err(|_| MalformedHint)?;
        let incarnation = u32::from_str_radix(incarnation, 16).map_err(|_| MalformedHint)?;
        Ok(PlaceHint { engine: EndpointId(engine), incarnation })
    }
}

/// The text is not a place hint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MalformedHint;
