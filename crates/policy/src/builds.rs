//! The builds of each service's endpoints.
//!
//! A process that has just started sees the endpoints that are listed now, and not those that
//! have left. It knows all builds that count only once it has read which ones were recorded in
//! the store, or after it has run for as long as a build counts.

use std::collections::{HashMap, HashSet};

use mimosaledge_core::{Millis, Name};

use crate::{build_id::BuildId, endpoint::Endpoint};

/// Time for which a build counts after its last endpoint has left, in milliseconds; longer
/// than a stream that it began can be resumed.
const RETENTION_MS: u64 = 60_000;

/// A build of one service.
#[derive(Debug)]
struct Build {
    name: Name,
    /// When its last endpoint has left, if it has.
    left: Option<Millis>,
}

impl Build {
    fn is_recent(&self, now: Millis) -> bool {
        self.left.is_none_or(|at| now.since(at) < RETENTION_MS)
    }
}

/// The builds that endpoints of each service have, or have had lately, by their keys.
#[derive(Debug, Default)]
pub struct Builds {
    by_service: HashMap<Name, HashMap<u64, Build>>,
    /// Services of which a record was read.
    recorded: HashSet<Name>,
    /// Whether there was nothing before this process.
    is_first: bool,
    /// When this process began to record builds.
    started: Option<Millis>,
}

impl Builds {
    /// Creates the set for a process; `is_first` says that no endpoint has served before.
    pub fn new(is_first: bool) -> Builds {
        Builds { is_first, ..Builds::default() }
    }

    /// Records all endpoints that are listed from now on.
    pub fn record<'a>(&mut self, listed: impl Iterator<Item = &'a Endpoint>, now: Millis) {
        self.started.get_or_insert(now);
        for builds in self.by_service.values_mut() {
            builds.retain(|_, it| it.is_recent(now));
            for build in builds.values_mut() {
                build.left.get_or_insert(now);
            }
        }
        for endpoint in listed {
            let builds = self.by_service.entry(endpoint.service.clone()).or_default();
            let build = Build { name: endpoint.build.clone(), left: None };
            builds.insert(endpoint.build_key(), build);
        }
        self.by_service.retain(|_, builds| !builds.is_empty());
    }

    /// Adds a build that was recorded in the store; if it is not listed, it counts as one whose
    /// last endpoint leaves now.
    pub fn remember(&mut self, id: &BuildId, now: Millis) {
        self.recorded.insert(id.service.clone());
        let builds = self.by_service.entry(id.service.clone()).or_default();
        let build = Build { name: id.build.clone(), left: Some(now) };
        builds.entry(id.key()).or_insert(build);
    }

    /// Returns whether all builds that a service has had lately are known.
    pub fn is_complete(&self, service: &str, now: Millis) -> bool {
        let has_run = |at: Millis| now.since(at) >= RETENTION_MS;
        self.is_first || self.recorded.contains(service) || self.started.is_some_and(has_run)
    }

    /// Returns the key of the only build that a service has had lately, or `None` if there
    /// are several or none, or may be others.
    pub fn only_build(&self, service: &str, now: Millis) -> Option<u64> {
        if !self.is_complete(service, now) {
            return None;
        }
        let builds = self.by_service.get(service)?;
        let mut recent = builds.iter().filter(|(_, it)| it.is_recent(now));
        let (key, _) = recent.next()?;
        recent.next().is_none().then_some(*key)
    }

    /// Returns the name of a build, if the service has it or has had it lately.
    pub fn name(&self, service: &str, key: u64) -> Option<&Name> {
        Some(&self.by_service.get(service)?.get(&key)?.name)
    }

    /// Returns the builds that count, of services of which all are known: a record of others
    /// would look as if there had been no more.
    pub fn recordable(&self, now: Millis) -> HashSet<BuildId> {
        let mut builds = self.recent(now);
        builds.retain(|it| self.is_complete(&it.service, now));
        builds
    }

    /// Returns the builds that count.
    pub fn recent(&self, now: Millis) -> HashSet<BuildId> {
        let mut recent = HashSet::new();
        for (service, builds) in &self.by_service {
            for build in builds.values().filter(|it| it.is_recent(now)) {
                recent.insert(BuildId { service: service.clone(), build: build.name.clone() });
            }
        }
        recent
    }
}
