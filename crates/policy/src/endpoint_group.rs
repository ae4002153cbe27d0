//! The endpoints of a service, or of one of its builds.

use mimosaledge_core::{Name, hash::hash64};

/// The endpoints that may serve a request: those of a service, or of one build of it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointGroup {
    /// The service.
    pub service: Name,
    /// Key of the build, if only that may serve the request.
    pub build: Option<u64>,
}

impl EndpointGroup {
    /// Returns the group of all endpoints of a service.
    pub fn of_service(service: Name) -> EndpointGroup {
        EndpointGroup { service, build: None }
    }

    /// Returns the service of a group that is not limited to one build.
    pub fn into_service(self) -> Option<Name> {
        self.build.is_none().then_some(self.service)
    }

    /// Returns the number by which gateways name the group to each other.
    pub fn number(&self) -> u32 {
        let hash = self.build.unwrap_or_else(|| hash64(self.service.as_bytes()));
        hash as u32
    }
}
