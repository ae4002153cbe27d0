//! How many endpoints of a group a gateway reaches.

/// Numbers of endpoints.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Reach {
    /// Endpoints that accept requests.
    pub ready: usize,
    /// Those of them that the gateway reaches, as far as it knows.
    pub reachable: usize,
    /// Those of them that it has reached before.
    pub proven: usize,
}

impl Reach {
    /// Counts one more endpoint that accepts requests.
    pub fn add(&mut self, is_reachable: bool, was_reached: bool) {
        self.ready += 1;
        self.reachable += usize::from(is_reachable);
        self.proven += usize::from(is_reachable && was_reached);
    }

    /// Returns whether the gateway reaches none of the endpoints.
    pub fn is_cut_off(self) -> bool {
        self.ready > 0 && self.reachable == 0
    }

    /// Returns whether the gateway reaches less than half of the endpoints.
    pub fn is_minority(self) -> bool {
        self.reachable * 2 < self.ready
    }

    /// Returns whether the gateway cannot say that it reaches any of the endpoints: a process
    /// that has just started knows only that they are listed.
    pub fn is_unproven(self) -> bool {
        self.ready > 0 && self.proven == 0
    }
}
