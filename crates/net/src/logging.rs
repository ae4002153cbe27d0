//! Set-up of the log that every program of the fleet writes.

use std::sync::Arc;

use serde::Deserialize;
use spdlog::{
    LevelFilter, Logger, ThreadPool,
    formatter::{PatternFormatter, pattern},
    sink::{AsyncPoolSink, OverflowPolicy, StdStream, StdStreamSink},
};

/// Records that may wait for the writer; more are dropped, never blocked on.
const QUEUE_RECORDS: usize = 16_384;

/// Least severe level that is written.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// Nothing.
    Off,
    /// Failures that need an operator.
    Error,
    /// Failures that the fleet copes with.
    Warn,
    /// Changes of state, and every routing and placement decision.
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

/// Sends the log to standard error through a writer thread, so that a slow
/// reader never blocks the event loop.
///
/// # Errors
///
/// Returns an error if the writer thread cannot be started.
pub fn init(level: LogLevel) -> spdlog::Result<()> {
    let line = pattern!("{date} {time}.{millisecond} {^{level}} {payload}{eol}");
    let stderr = StdStreamSink::builder()
        .std_stream(StdStream::Stderr)
        .formatter(PatternFormatter::new(line))
        .build_arc()?;
    let pool = Arc::new(ThreadPool::builder().capacity(QUEUE_RECORDS.try_into().unwrap()).build()?);
    let sink = AsyncPoolSink::builder()
        .sink(stderr)
        .thread_pool(pool)
        .overflow_policy(OverflowPolicy::DropIncoming)
        .build_arc()?;
    let logger = Logger::builder().sink(sink).level_filter(level.as_filter()).build_arc()?;
    spdlog::set_default_logger(logger);
    Ok(())
}

/// Writes out what is still queued; call it once before the process exits.
pub fn flush() {
    spdlog::default_logger().flush();
}
