//! Reference-counted names.

use std::sync::Arc;

/// Name of a workspace, chat, endpoint and the like; clones share the text.
pub type Name = Arc<str>;
