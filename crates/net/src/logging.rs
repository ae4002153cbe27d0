//! Logging setup shared by all programs of the fleet.

use std::sync::Arc;

use serde::Deserialize;
use spdlog::{
    LevelFilter, Logger, ThreadPool,
    formatter::{PatternFormatter, pattern},
    sink::{AsyncPoolSink, OverflowPolicy, StdStream, StdStreamSink},
};

/// Capacity of the queue to the writer thread; when it is full, records are
/// dropped rather than blocking the event loop.
const MAX_QUEUED_RECORDS: usize = 16_384;

/// Minimum severity of log records that are written.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// Disables logging.
    Off,
    /// Failures that need operator action.
    Error,
    /// Failures that the fleet recovers from.
    Warn,
    /// State changes, and every routing and placement decision.
    #[default]
    Info,
    /// Details for development.
    Debug,
}

impl LogLevel {
    fn as_filter(self) -> LevelFilter {
        use spdlog::Level;
        match self {
            LogLevel::Off => LevelFilter::Off,
            LogLevel::Error => LevelFilter::MoreSevereEqual(Level::Error),
            LogLevel::Warn => LevelFilter::MoreSevereEqual(Level::Warn),
            LogLevel::Info => LevelFilter::MoreSevereEqual(Level::Info),
            LogLevel::Debug => LevelFilter::MoreSevereEqual(Level::Debug),
        }
    }
}

/// Installs a default logger that writes to standard error on a separate thread,
/// so that a slow reader never blocks the event loop.
///
/// # Errors
///
/// Returns an error if the writer thread cannot be started.
pub fn init(level: LogLevel) -> spdlog::Result<()> {
    let pattern = pattern!("{date} {time}.{millisecond} {^{level}} {payload}{eol}");
    let stderr = StdStreamSink::builder()
        .std_stream(StdStream::Stderr)
        .formatter(PatternFormatter::new(pattern))
        .build_arc()?;
    let pool =
        Arc::new(ThreadPool::builder().capacity(MAX_QUEUED_RECORDS.try_into().unwrap()).build()?);
    let sink = AsyncPoolSink::builder()
        .sink(stderr)
        .thread_pool(pool)
        .overflow_policy(OverflowPolicy::DropIncoming)
        .build_arc()?;
    let logger = Logger::builder().sink(sink).level_filter(level.as_filter()).build_arc()?;
    spdlog::set_default_logger(logger);
    Ok(())
}

/// Flushes queued records, which would otherwise be lost when the process exits.
pub fn flush() {
    spdlog::default_logger().flush();
}
