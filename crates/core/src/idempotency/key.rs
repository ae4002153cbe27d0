use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

use crate::{hash::hash128, members::RouterRef};

/// First field of a prefix in text form.
const FORMAT_VERSION: &str = "k1";

/// Hash of a workspace name and an idempotency key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct KeyId(pub u128);

/// The part of an idempotency key that a router issues.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct KeyPrefix {
    /// The only router incarnation that may run the request.
    pub home: RouterRef,
    /// The router incarnation that must record a note of the key before it
    /// starts; `None` if the prefix was issued while there was only one router.
    pub witness: Option<RouterRef>,
    /// Sequence number of the prefix among those issued by the home.
    pub serial: u32,
}

impl fmt::Display for KeyPrefix {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let witness = self.witness.unwrap_or_default();
        write!(
            f,
            "{FORMAT_VERSION}-{:x}-{:x}-{:x}-{:x}-{:x}",
            self.home.id, self.home.incarnation, witness.id, witness.incarnation, self.serial
        )
    }
}

impl FromStr for KeyPrefix {
    type Err = MalformedKey;

    fn from_str(text: &str) -> Result<KeyPrefix, MalformedKey> {
        let mut parts = text.split('-');
        if parts.next() != Some(FORMAT_VERSION) {
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

/// An idempotency key: an issued prefix, a dot, and a suffix chosen by the
/// client.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Key {
    /// The issued prefix.
    pub prefix: KeyPrefix,
    /// Hash of the workspace name and the whole key.
    pub id: KeyId,
}

impl Key {
    /// Parses the key that a client of `workspace` sent.
    ///
    /// # Errors
    ///
    /// Returns an error if the prefix is malformed or the suffix is empty or
    /// longer than 200 bytes.
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

/// Error returned if a text is not a well-formed idempotency key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MalformedKey;

/// An endpoint's complete response, stored for repeated requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status of the endpoint's response.
    pub status: u16,
    /// Body of the endpoint's response; `None` if it was too large to store.
    pub body: Option<Vec<u8>>,
}
