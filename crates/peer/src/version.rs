//! Versions of the protocol between gateways.

use std::fmt;

/// The version of the protocol that a gateway speaks; later ones are higher.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Version(u8);

impl Version {
    /// Datagrams without footer, and a heartbeat that has neither limits nor whether the
    /// gateway is cut off.
    pub const BEFORE_PERMITS: Version = Version(0);
    /// Datagrams without footer.
    pub const BEFORE_FOOTER: Version = Version(1);
    /// Datagrams with footer.
    pub const FOOTER: Version = Version(2);
    /// Heartbeats that name the services and builds that the sender reaches no endpoint of,
    /// hand-overs that name the build of a stream, and records of builds in the store.
    pub const REACH: Version = Version(3);
    /// Answers to queries for the origin of a stream that the sender does not know.
    pub const ORIGIN_DENIALS: Version = Version(4);
    /// Messages with the origins of several streams, with suspects that were waiting, and with
    /// what a gateway refuses.
    pub const ORIGIN_COPIES: Version = Version(5);
    /// Heartbeats, configurations and requests for permits with extensions, and messages on
    /// cold endpoints.
    pub const EXTENSIONS: Version = Version(6);
    /// The version of this build.
    pub const CURRENT: Version = Version::EXTENSIONS;

    /// Returns the version with the number `number`, which may be unknown to this build.
    pub(crate) fn from_number(number: u8) -> Version {
        Version(number)
    }

    /// Returns the number of the version.
    pub fn number(self) -> u8 {
        self.0
    }

    /// Returns whether a gateway of this version issues permits, and asks for them.
    pub fn has_permits(self) -> bool {
        self >= Version::BEFORE_FOOTER
    }

    /// Returns whether a gateway of this version accepts requests that another one hands
    /// over.
    pub fn accepts_handovers(self) -> bool {
        self >= Version::BEFORE_FOOTER
    }

    /// Returns whether a gateway of this version understands the build of a stream that is
    /// handed over, and records builds in the store.
    pub fn knows_builds(self) -> bool {
        self >= Version::REACH
    }

    /// Returns whether a gateway of this version understands that another one does not know
    /// the origin of a stream.
    pub fn knows_denials(self) -> bool {
        self >= Version::ORIGIN_DENIALS
    }
}

impl Default for Version {
    /// Returns the version of this build.
    fn default() -> Version {
        Version::CURRENT
    }
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
