//! A simulated fleet for tests of the policies.

pub(crate) mod engine;
pub(crate) mod fleet;
