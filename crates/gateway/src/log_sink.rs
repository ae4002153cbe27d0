//! Log output to standard output.
//!
//! Lines are buffered in memory; the event loop passes them to a writer thread
//! a few times per second, so that logging does not wake a thread for each
//! line. Lines that do not fit the buffer are dropped and counted.

use std::{
    fmt::Write as _,
    io::{self, ErrorKind, Write},
    mem,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, SyncSender, TrySendError, sync_channel},
    },
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use spdlog::{
    Level, LevelFilter, Logger, Record,
    sink::{GetSinkProp, Sink, SinkProp},
};

/// Size of the buffer above which further lines are dropped, in bytes.
const MAX_BUFFERED_BYTES: usize = 256 * 1024;
/// Maximum time to wait for the writer thread on close.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(200);
/// Delay after which lines are written again that the output did not take.
const WRITE_RETRY_DELAY: Duration = Duration::from_millis(5);
/// Maximum number of batches queued for the writer thread.
const MAX_QUEUED_BATCHES: usize = 4;

/// Buffers log lines and passes them to the writer thread.
pub(crate) struct LogSink {
    prop: SinkProp,
    batch: Mutex<Batch>,
    /// Lines that the writer thread could not write, and that were not reported yet.
    unwritten: Arc<AtomicU64>,
    /// The writer thread's queue, or `None` after close.
    writer: Mutex<Option<SyncSender<String>>>,
    /// Receives a message when the writer thread exits.
    exited: Mutex<Receiver<()>>,
}

#[derive(Default)]
struct Batch {
    lines: String,
    dropped: u64,
}

impl LogSink {
    /// Starts the writer thread and installs the sink as the default logger.
    pub(crate) fn install() -> eyre::Result<Arc<LogSink>> {
        let (writer, batches) = sync_channel::<String>(MAX_QUEUED_BATCHES);
        let (exit, exited) = sync_channel(1);
        let unwritten = Arc::new(AtomicU64::new(0));
        let lost = unwritten.clone();
        thread::Builder::new().name("log".into()).stack_size(64 * 1024).spawn(move || {
            let mut out = io::stdout().lock();
            while let Ok(batch) = batches.recv() {
                lost.fetch_add(write_batch(&mut out, &batch), Ordering::Relaxed);
            }
            let _ = exit.send(());
        })?;
        let sink = Arc::new(LogSink {
            prop: SinkProp::default(),
            batch: Mutex::default(),
            unwritten,
            writer: Mutex::new(Some(writer)),
            exited: Mutex::new(exited),
        });
        let logger =
            Logger::builder().sink(sink.clone()).level_filter(LevelFilter::All).build_arc()?;
        logger.set_level_filter(LevelFilter::MoreSevereEqual(Level::Info));
        spdlog::set_default_logger(logger);
        Ok(sink)
    }

    /// Passes the buffered lines to the writer thread, if its queue has room.
    pub(crate) fn send_batch(&self) {
        let mut batch = self.batch.lock().unwrap_or_else(|it| it.into_inner());
        batch.dropped += self.unwritten.swap(0, Ordering::Relaxed);
        if batch.dropped > 0 {
            let dropped = mem::take(&mut batch.dropped);
            let _ = writeln!(batch.lines, "{} warn log: lines_dropped={dropped}", unix_ms());
        }
        if batch.lines.is_empty() {
            return;
        }
        let writer = self.writer.lock().unwrap_or_else(|it| it.into_inner());
        let Some(writer) = writer.as_ref() else { return };
        match writer.try_send(mem::take(&mut batch.lines)) {
            Ok(()) | Err(TrySendError::Disconnected(_)) => {}
            Err(TrySendError::Full(lines)) => batch.lines = lines,
        }
    }
}

impl LogSink {
    /// Sends the buffered lines to the writer thread, and waits for it up to
    /// [`CLOSE_TIMEOUT`].
    pub(crate) fn close(&self) {
        self.send_batch();
        drop(self.writer.lock().unwrap_or_else(|it| it.into_inner()).take());
        // The writer thread blocks while nothing reads standard output, which
        // must not keep the process alive.
        let _ = self.exited.lock().unwrap_or_else(|it| it.into_inner()).recv_timeout(CLOSE_TIMEOUT);
    }
}

impl GetSinkProp for LogSink {
    fn prop(&self) -> &SinkProp {
        &self.prop
    }
}

impl Sink for LogSink {
    fn log(&self, record: &Record) -> spdlog::Result<()> {
        let mut batch = self.batch.lock().unwrap_or_else(|it| it.into_inner());
        if batch.lines.len() >= MAX_BUFFERED_BYTES {
            batch.dropped += 1;
            return Ok(());
        }
        let level = match record.level() {
            Level::Critical | Level::Error => "error",
            Level::Warn => "warn",
            Level::Info => "info",
            Level::Debug | Level::Trace => "debug",
        };
        let _ = writeln!(batch.lines, "{} {level} {}", unix_ms(), record.payload());
        Ok(())
    }

    fn flush(&self) -> spdlog::Result<()> {
        self.send_batch();
        Ok(())
    }
}

/// Writes lines, and waits while the output takes no more; returns the number of lines that
/// were not written whole.
///
/// Standard output may be a pipe that does not block, which then takes a part of the lines.
fn write_batch(out: &mut impl Write, lines: &str) -> u64 {
    let mut rest = lines.as_bytes();
    while !rest.is_empty() {
        match out.write(rest) {
            Ok(0) => break,
            Ok(written) => rest = &rest[written..],
            Err(err) if err.kind() == ErrorKind::Interrupted => {}
            Err(err) if err.kind() == ErrorKind::WouldBlock => thread::sleep(WRITE_RETRY_DELAY),
            Err(_) => break,
        }
    }
    // What is left in the buffer is written with the next lines.
    let _ = out.flush();
    rest.iter().filter(|it| **it == b'\n').count() as u64
}

fn unix_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis()
}
