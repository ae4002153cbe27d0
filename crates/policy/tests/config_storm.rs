//! Versions of the configuration in quick succession, which all gateways read: how much
//! of the store's bandwidth that takes.

use mimosaledge_policy::version_follower::{NextRead, VersionFollower, VersionsRead};

/// Size of one version, in bytes.
const VERSION_BYTES: usize = 45_000;
/// Time for which a gateway waits after a version before it reads on, in milliseconds.
const PAUSE_MS: u64 = 700;

/// A store to which version `n` is written at `written_ms[n - 1]`.
struct Store {
    written_ms: Vec<u64>,
}

impl Store {
    fn newest(&self, now: u64) -> usize {
        self.written_ms.partition_point(|at| *at <= now)
    }
}

/// What one gateway has read.
#[derive(Debug, Default)]
struct Reader {
    follower: VersionFollower,
    version: usize,
    calls: usize,
    versions: usize,
}

impl Reader {
    /// Makes the call that is due at `now`, or, if that waits for a version, when it
    /// ends; returns the time of the next call, or `None` if it waits for ever.
    fn call(&mut self, store: &Store, now: u64, known: usize) -> Option<u64> {
        let next_read = self.follower.next_read(known.max(self.version) as u64);
        let (now, first) = match next_read {
            NextRead::Newest => (now, store.newest(now)),
            NextRead::Following { .. } => {
                let next = self.version + 1;
                (now.max(*store.written_ms.get(next - 1)?), next)
            }
        };
        let max_versions = match next_read {
            NextRead::Following { max_kb } => (max_kb * 1_024 / VERSION_BYTES).max(1),
            NextRead::Newest => 1,
        };
        let newest = store.newest(now);
        let last = newest.min(first + max_versions - 1);
        let count = last + 1 - first;
        let is_complete = last == newest;
        let bytes = count * VERSION_BYTES;
        let read = VersionsRead { count, last: last as u64, bytes, is_complete };
        self.follower.record(next_read, read, known.max(self.version) as u64);
        self.version = self.version.max(last);
        self.calls += 1;
        self.versions += count;
        Some(if is_complete { now + PAUSE_MS } else { now })
    }

    /// Reads until nothing is due before `end`.
    fn run(&mut self, store: &Store, end: u64) {
        let mut now = 0;
        while now < end {
            let Some(next) = self.call(store, now, 0) else { return };
            now = next;
        }
    }
}

#[test]
fn versions_in_quick_succession_are_not_all_read() {
    // 25 versions in 2 s.
    let store = Store { written_ms: (0..25).map(|it| 10_000 + it * 80).collect() };
    let mut reader = Reader::default();
    reader.run(&store, 30_000);
    assert_eq!(reader.version, 25, "the last version is not read");
    // At 295 gateways and 80 MB/s, all versions take the store over 4 s, in which nothing
    // else is read from it.
    assert!(reader.versions * 2 < 25, "{reader:?}");
}

#[test]
fn versions_far_apart_take_one_call_each() {
    let store = Store { written_ms: (1..=10).map(|it| it * 5_000).collect() };
    let mut reader = Reader::default();
    reader.run(&store, 60_000);
    assert_eq!((reader.version, reader.calls, reader.versions), (10, 10, 10));
}

#[test]
fn gateway_that_learns_versions_from_peers_skips_their_records() {
    let store = Store { written_ms: vec![0, 1, 2, 3, 4, 5, 6, 7] };
    let mut reader = Reader::default();
    reader.call(&store, 0, 0);
    reader.call(&store, PAUSE_MS, 8);
    assert_eq!((reader.version, reader.versions), (8, 2));
}

#[test]
fn version_that_the_store_lacks_is_not_asked_for_again_and_again() {
    let store = Store { written_ms: vec![0] };
    let mut reader = Reader::default();
    reader.call(&store, 0, 0);
    // A peer has version 9, but the store was restored from an older copy.
    assert!(reader.call(&store, PAUSE_MS, 9).is_some());
    assert_eq!(reader.call(&store, 2 * PAUSE_MS, 9), None, "no call that waits");
    assert_eq!(reader.calls, 2);
}
