//! The builds of each service's endpoints.

use std::collections::HashMap;

use mimosaledge_core::{Millis, Name};

use crate::endpoint::Endpoint;

/// Time for which a build counts after its last endpoint has left, in milliseconds; longer
/// than a stream that it began can be resumed.
const RETENTION_MS: u64 = 60_000;

/// The builds that endpoints of each service have, or have had lately.
#[derive(Debug, Default)]
pub struct Builds {
    /// Keys of the builds, with the time at which the last endpoint has left, if it has.
    by_service: HashMap<Name, HashMap<u64, Option<Millis>>>,
}

impl Builds {
    /// Records all endpoints that are listed from now on.
    pub fn record<'a>(&mut self, listed: impl Iterator<Item = &'a Endpoint>, now: Millis) {
        for builds in self.by_service.values_mut() {
            builds.retain(|_, left| is_recent(*left, now));
            for left in builds.values_mut() {
                left.get_or_insert(now);
            }
        }
        for endpoint in listed {
            let builds = self.by_service.entry(endpoint.service.clone()).or_default();
            builds.insert(endpoint.build_key(), None);
        }
        self.by_service.retain(|_, builds| !builds.is_empty());
    }

    /// Returns the only build that a service has had lately, or `None` if there are
    /// several or none.
    pub fn only_build(&self, service: &str, now: Millis) -> Option<u64> {
        let builds = self.by_service.get(service)?;
        let mut recent = builds.iter().filter(|(_, left)| is_recent(**left, now));
        let (build, _) = recent.next()?;
        recent.next().is_none().then_some(*build)
    }

    /// Returns whether a service has this build, or has had it lately.
    pub fn contains(&self, service: &str, build: u64) -> bool {
        self.by_service.get(service).is_some_and(|it| it.contains_key(&build))
    }
}

fn is_recent(left: Option<Millis>, now: Millis) -> bool {
    left.is_none_or(|at| now.since(at) < RETENTION_MS)
}
