//! The builds of each service's endpoints.

use std::collections::HashMap;

use mimosaledge_core::{Millis, Name};

use crate::endpoint::Endpoint;

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
}

impl Builds {
    /// Records all endpoints that are listed from now on.
    pub fn record<'a>(&mut self, listed: impl Iterator<Item = &'a Endpoint>, now: Millis) {
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

    /// Returns the key of the only build that a service has had lately, or `None` if there
    /// are several or none.
    pub fn only_build(&self, service: &str, now: Millis) -> Option<u64> {
        let builds = self.by_service.get(service)?;
        let mut recent = builds.iter().filter(|(_, it)| it.is_recent(now));
        let (key, _) = recent.next()?;
        recent.next().is_none().then_some(*key)
    }

    /// Returns the name of a build, if the service has it or has had it lately.
    pub fn name(&self, service: &str, key: u64) -> Option<&Name> {
        Some(&self.by_service.get(service)?.get(&key)?.name)
    }
}
