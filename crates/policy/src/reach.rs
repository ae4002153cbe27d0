//! How many endpoints of a group a gateway reaches.

/// Numbers of endpoints.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Reach {
    /// Endpoints that accept requests.
    pub ready: usize,
    /// Those of them that the gateway reaches.
    pub reachable: usize,
}

impl Reach {
    /// Counts one more endpoint that accepts requests.
    pub fn add(&mut self, is_reachable: bool) {
        self.ready += 1;
        self.reachable += usize::from(is_reachable);
    }

    /// Returns whether the gateway reaches none of the endpoints.
    pub fn is_cut_off(self) -> bool {
        self.ready > 0 && self.reachable == 0
    }
}
