//! How a gateway reads the versions of the configuration from the platform's log.
//!
//! Normally it waits for the record of the next version. When versions follow each other
//! quickly, it would read each of them in full, and so would all other gateways; so many
//! bytes delay whatever else is read from the store. A gateway therefore reads only the
//! newest version while several are due.

/// Size of a read, in KB, before the size of a version is known.
const INITIAL_READ_KB: usize = 1_024;
/// Size of a read in versions, so that one that has grown fits.
const READ_VERSIONS: usize = 2;
/// Minimum size of a read, in KB.
const MIN_READ_KB: usize = 64;
const KB: usize = 1_024;

/// The next call to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextRead {
    /// Waits for the record of the next version, and reads at most `max_kb`.
    Following {
        /// Maximum size of the response, in KB.
        max_kb: usize,
    },
    /// Reads the newest version alone.
    Newest,
}

/// What one call has returned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct VersionsRead {
    /// Number of versions.
    pub count: usize,
    /// The last of them; 0 if there is none.
    pub last: u64,
    /// Their size in bytes.
    pub bytes: usize,
    /// Whether the log ended with them.
    pub is_complete: bool,
}

/// The versions that one gateway has read from the store.
#[derive(Debug, Clone, Default)]
pub struct VersionFollower {
    /// The last version that was read.
    last: u64,
    /// Size of a version, in bytes; 0 if none was read.
    version_bytes: usize,
    /// Whether several versions were due at the last call.
    is_rapid: bool,
    /// The latest version known when the newest one was last read; the store may lack it.
    checked: u64,
}

impl VersionFollower {
    /// Records what the call `next_read` has returned, which was made when `known` was the
    /// latest version.
    pub fn record(&mut self, next_read: NextRead, read: VersionsRead, known: u64) {
        self.is_rapid = match next_read {
            NextRead::Following { .. } => read.count > 1 || !read.is_complete,
            NextRead::Newest => {
                self.checked = known;
                read.last > self.last
            }
        };
        if let Some(version_bytes) = read.bytes.checked_div(read.count) {
            self.last = read.last;
            self.version_bytes = version_bytes;
        }
    }

    /// Returns the next call; `known` is the latest version that this gateway or one of its
    /// peers has.
    pub fn next_read(&self, known: u64) -> NextRead {
        let is_behind = self.last > 0 && known > self.last.max(self.checked);
        if self.is_rapid || is_behind {
            return NextRead::Newest;
        }
        let max_kb = match self.version_bytes {
            0 => INITIAL_READ_KB,
            bytes => (READ_VERSIONS * bytes).div_ceil(KB).max(MIN_READ_KB),
        };
        NextRead::Following { max_kb }
    }
}
