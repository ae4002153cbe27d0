//! The identity of a build.

use mimosaledge_core::{Name, hash::hash64};

/// A version of the software of a service's endpoints.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct BuildId {
    /// The service.
    pub service: Name,
    /// Name of the build.
    pub build: Name,
}

impl BuildId {
    /// Returns the key of the build, the same at every gateway.
    pub fn key(&self) -> u64 {
        build_key(&self.service, &self.build)
    }
}

/// Returns the key of a build of a service.
pub(crate) fn build_key(service: &str, build: &str) -> u64 {
    hash64(format!("{service}\n{build}").as_bytes())
}
