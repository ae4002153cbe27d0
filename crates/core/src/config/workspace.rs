/// Settings of a workspace, which is a tenant of the fleet.
#[derive(Debug, Clone, PartialEq)]
pub struct Workspace {
    /// Weight for fair sharing of an engine under contention, relative to the
    /// weights of other workspaces.
    pub share: f64,
}
