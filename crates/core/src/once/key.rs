use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

use crate::{hash::hash128, members::RouterRef};

/// Version tag of the textual form.
const TAG: &str = "k1";

/// Identity of a key within its workspace.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct KeyId(pub u128);

/// The part of an idempotency key that the fleet gives out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct KeyPrefix {
    /// The router incarnation that alone may run the key.
    pub home: RouterRef,
    /// The router incarnation that must note the key first, if there was a
    /// second router when the prefix was made.
    pub witness: Option<RouterRef>,
    /// Place of the prefix in the order in which the home gave prefixes out.
    pub serial: u32,
}

impl fmt::Display for KeyPrefix {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let witness = self.witness.unwrap_or_default();
        write!(
            f,
            "{TAG}-{:x}-{:x}-{:x}-{:x}-{:x}",
            self.home.id, self.home.incarnation, witness.id, witness.incarnation, self.serial
        )
    }
}

impl FromStr for KeyPrefix {
    type Err = MalformedKey;

    fn from_str(text: &str) -> Result<KeyPrefix, MalformedKey> {
        let mut parts = text.split('-');
        if parts.next() != Some(TAG) {
            return Err(MalformedKey);
        }
        let mut number =
            || u64::from_str_radix(parts.next()?, 16).ok().filter(|_| text.len() < 128);
        let mut router = || {
            let id = u32::try_from(number()?).ok()?;
            Some(RouterRef { id, incarnation: number()? })
        };
        let home = router().ok_or(MalformedKey)?;
        let witness = router().ok_or(MalformedKey)?;
        let serial = number().and_then(|it| u32::try_from(it).ok()).ok_or(MalformedKey)?;
        if parts.next().is_some() {
            return Err(MalformedKey);
        }
        let witness = (witness != RouterRef::default()).then_some(witness);
        Ok(KeyPrefix { home, witness, serial })
    }
}

/// An idempotency key: a prefix, a dot, and a suffix of the caller's choice.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Key {
    /// The prefix.
    pub prefix: KeyPrefix,
    /// Identity of the whole key within its workspace.
    pub id: KeyId,
}

impl Key {
    /// Parses the key that a caller of `workspace` sent.
    ///
    /// # Errors
    ///
    /// Returns an error if the prefix was not made by the fleet or the suffix
    /// is empty.
    pub fn parse(workspace: &str, text: &str) -> Result<Key, MalformedKey> {
        let (prefix, suffix) = text.split_once('.').ok_or(MalformedKey)?;
        if suffix.is_empty() || suffix.len() > 200 {
            return Err(MalformedKey);
        }
        let prefix = prefix.parse()?;
        let id = KeyId(hash128(format!("{workspace}\0{text}").as_bytes()));
        Ok(Key { prefix, id })
    }
}

/// The text is not an idempotency key of this fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MalformedKey;

/// A whole answer that is kept for callers that ask again.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status of the endpoint's answer.
    pub status: u16,
    /// Body of the endpoint's answer; `None` if it was too long to keep.
    pub body: Option<Vec<u8>>,
}
