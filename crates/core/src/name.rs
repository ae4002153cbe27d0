//! Shared immutable names.

use std::sync::Arc;

/// A workspace, chat, endpoint or preset name; cloning shares the text.
pub type Name = Arc<str>;
