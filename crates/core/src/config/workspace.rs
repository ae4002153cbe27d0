/// A tenant of the fleet.
#[derive(Debug, Clone, PartialEq)]
pub struct Workspace {
    /// Share of an engine that the workspace may claim under contention,
    /// relative to the shares of the others.
    pub share: f64,
}
