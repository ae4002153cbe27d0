//! Prometheus metrics of a router.

use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
    Result, TextEncoder, process_collector::ProcessCollector,
};

/// Upper bounds of latency buckets, in seconds.
const LATENCY_BUCKETS: [f64; 10] = [0.0005, 0.001, 0.002, 0.005, 0.01, 0.05, 0.2, 1.0, 5.0, 20.0];

/// The metrics of one router.
pub(crate) struct Metrics {
    registry: Registry,
    /// Responses, by result code.
    pub(crate) answers: IntCounterVec,
    /// Time to the first byte of a response, by request class.
    pub(crate) first_byte: HistogramVec,
    /// Bytes of control traffic sent, by message kind.
    pub(crate) sent: IntCounterVec,
    /// Bytes of control traffic received, by message kind.
    pub(crate) received: IntCounterVec,
    /// Datagrams dropped because they could not be decoded.
    pub(crate) undecodable: IntCounter,
    /// Retries on another endpoint or connection.
    pub(crate) retries: IntCounter,
    /// Open requests.
    pub(crate) open: IntGauge,
    /// Log offset of the active head plus one; zero if there is none.
    pub(crate) head: IntGauge,
    /// CPU time used by the process, in milliseconds.
    cpu_ms: IntGauge,
}

/// Milliseconds per clock tick in `/proc/self/stat`.
const TICK_MS: i64 = 10;

impl Metrics {
    pub(crate) fn new() -> Result<Metrics> {
        let registry = Registry::new();
        let counters = |name: &str, help: &str, label: &str| {
            let counter = IntCounterVec::new(Opts::new(name, help), &[label])?;
            registry.register(Box::new(counter.clone()))?;
            Ok::<_, prometheus::Error>(counter)
        };
        let counter = |name: &str, help: &str| {
            let counter = IntCounter::new(name, help)?;
            registry.register(Box::new(counter.clone()))?;
            Ok::<_, prometheus::Error>(counter)
        };
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(name, help)?;
            registry.register(Box::new(gauge.clone()))?;
            Ok::<_, prometheus::Error>(gauge)
        };
        registry.register(Box::new(ProcessCollector::for_self()))?;
        let opts = HistogramOpts::new("mimosaledge_first_byte_seconds", "Time to the first byte")
            .buckets(LATENCY_BUCKETS.to_vec());
        let first_byte = HistogramVec::new(opts, &["class"])?;
        registry.register(Box::new(first_byte.clone()))?;
        Ok(Metrics {
            answers: counters("mimosaledge_answers_total", "Answers by result code", "code")?,
            first_byte,
            sent: counters("mimosaledge_control_sent_bytes", "Control bytes sent", "kind")?,
            received: counters(
                "mimosaledge_control_received_bytes",
                "Control bytes received",
                "kind",
            )?,
            undecodable: counter("mimosaledge_undecodable_total", "Datagrams dropped")?,
            retries: counter("mimosaledge_retries_total", "Requests retried")?,
            open: gauge("mimosaledge_open_requests", "Open requests")?,
            cpu_ms: gauge("mimosaledge_cpu_milliseconds", "Processor time used")?,
            head: gauge("mimosaledge_head", "Offset of the head in force plus one")?,
            registry,
        })
    }

    /// Encodes all metrics in the Prometheus text format.
    pub(crate) fn to_text(&self) -> Vec<u8> {
        // The CPU counter of `ProcessCollector` has a resolution of one second.
        self.cpu_ms.set(read_cpu_ms().unwrap_or(0));
        let mut text = Vec::new();
        // Writing to memory cannot fail.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        text
    }
}

/// Reads user and system time, the 14th and 15th fields of `/proc/self/stat`.
fn read_cpu_ms() -> Option<i64> {
    let line = std::fs::read_to_string("/proc/self/stat").ok()?;
    // The second field, the command name, may contain spaces and parentheses, and
    // ends at the last parenthesis.
    let mut fields = line.rsplit_once(')')?.1.split_whitespace().skip(11);
    let mut ticks = || fields.next()?.parse::<i64>().ok();
    Some((ticks()? + ticks()?) * TICK_MS)
}
