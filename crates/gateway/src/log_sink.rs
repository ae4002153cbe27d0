//! The log on standard output.
//!
//! Lines collect in memory; the event loop hands them to a writer thread a few
//! times a second, so that logging costs no wake-up a line. What the writer
//! cannot take in time is dropped and counted.

use std::{
    fmt::Write as _,
    io::{self, Write},
    mem,
    sync::{
        Arc, Mutex,
        mpsc::{Receiver, SyncSender, TrySendError, sync_channel},
    },
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use spdlog::{
    Level, LevelFilter, Logger, Record,
    sink::{GetSinkProp, Sink, SinkProp},
};

/// Most bytes that wait in memory; further lines are dropped.
const BUFFER_BYTES: usize = 256 * 1024;
/// Longest wait for the writer thread at the end.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(200);
/// Batches that may wait for the writer.
const QUEUE_BATCHES: usize = 4;

/// Collects log lines and hands them to the writer thread.
pub(crate) struct LogSink {
    prop: SinkProp,
    batch: Mutex<Batch>,
    writer: Mutex<Option<SyncSender<String>>>,
    ended: Mutex<Receiver<()>>,
}

#[derive(Default)]
struct Batch {
    lines: String,
    dropped: u64,
}

impl LogSink {
    /// Makes the sink the program's log.
    pub(crate) fn install() -> eyre::Result<Arc<LogSink>> {
        let (writer, batches) = sync_channel::<String>(QUEUE_BATCHES);
        let (end, ended) = sync_channel(1);
        thread::Builder::new().name("log".into()).stack_size(64 * 1024).spawn(move || {
            let mut out = io::stdout();
            while let Ok(batch) = batches.recv() {
                // There is no other place to report that the log cannot be written.
                let _ = out.write_all(batch.as_bytes()).and_then(|()| out.flush());
            }
            let _ = end.send(());
        })?;
        let sink = Arc::new(LogSink {
            prop: SinkProp::default(),
            batch: Mutex::default(),
            writer: Mutex::new(Some(writer)),
            ended: Mutex::new(ended),
        });
        let logger =
            Logger::builder().sink(sink.clone()).level_filter(LevelFilter::All).build_arc()?;
        logger.set_level_filter(LevelFilter::MoreSevereEqual(Level::Info));
        spdlog::set_default_logger(logger);
        Ok(sink)
    }

    /// Hands the collected lines to the writer thread, if it has room.
    pub(crate) fn hand_over(&self) {
        let mut batch = self.batch.lock().unwrap_or_else(|it| it.into_inner());
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
    /// Writes out what has been collected, and waits for that a short while.
    pub(crate) fn close(&self) {
        self.hand_over();
        drop(self.writer.lock().unwrap_or_else(|it| it.into_inner()).take());
        // A reader that has stopped reading must not keep the process alive.
        let _ = self.ended.lock().unwrap_or_else(|it| it.into_inner()).recv_timeout(CLOSE_TIMEOUT);
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
        if batch.lines.len() >= BUFFER_BYTES {
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
        self.hand_over();
        Ok(())
    }
}

fn unix_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis()
}
