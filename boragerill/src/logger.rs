//! Structured logging: JSON lines on standard output, with bounded volume and without blocking.
//!
//! Lines go through a bounded queue to a writer thread. When the queue is full or the limit of lines per
//! second is reached, further lines are dropped and counted. The next line that is written carries the
//! count of dropped lines.

use std::{
    io::Write,
    sync::{
        atomic::{
            AtomicU64,
            Ordering, //
        },
        mpsc::{
            sync_channel,
            Receiver,
            SyncSender, //
        },
        Mutex, //
    },
    time::{
        Duration,
        Instant,
        SystemTime,
        UNIX_EPOCH, //
    },
};

use log::{
    kv::{
        Error,
        Key,
        Value,
        VisitSource, //
    },
    Level,
    LevelFilter,
    Log,
    Metadata,
    Record, //
};
use metrics::counter;

use crate::sync::lock;

/// Capacity of the queue to the writer, in lines.
const QUEUE_LINES: usize = 4096;

/// Maximum number of lines per second at level `info` and below; warnings and errors have a separate
/// limit of the same size.
const LINES_PER_SECOND: u64 = 400;

/// Time for which the writer collects lines for one write.
const WRITE_PERIOD: Duration = Duration::from_millis(20);

/// Limits on the log volume.
#[derive(Clone, Copy, Debug)]
pub struct LogLimits {
    /// Capacity of the queue to the writer, in lines.
    pub queue: usize,
    /// Maximum number of lines per second, separately for `info` and below and for warnings and errors.
    pub per_second: u64,
}

impl Default for LogLimits {
    fn default() -> LogLimits {
        LogLimits {
            queue: QUEUE_LINES,
            per_second: LINES_PER_SECOND,
        }
    }
}

/// Maximum wait for unwritten lines when the process exits.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// Lines in the queue or collected by the writer, but not yet written.
static UNWRITTEN: AtomicU64 = AtomicU64::new(0);

/// Counts of lines in the current one-second window.
#[derive(Debug)]
struct LogWindow {
    started: Instant,
    info: u64,
    warn: u64,
}

/// Formats log records as JSON lines and queues them for the writer.
#[derive(Debug)]
pub struct LineLogger {
    lines: SyncSender<Vec<u8>>,
    window: Mutex<LogWindow>,
    dropped: AtomicU64,
    limits: LogLimits,
    level: LevelFilter,
}

impl LineLogger {
    /// Creates a logger and the receiving end of its queue, for [`write_lines`].
    pub fn new(limits: LogLimits, level: LevelFilter) -> (LineLogger, Receiver<Vec<u8>>) {
        let (lines, queue) = sync_channel(limits.queue);
        let window = LogWindow {
            started: Instant::now(),
            info: 0,
            warn: 0,
        };
        let logger = LineLogger {
            lines,
            window: Mutex::new(window),
            dropped: AtomicU64::new(0),
            limits,
            level,
        };
        (logger, queue)
    }

    /// Returns the number of dropped lines that no written line has reported yet.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    /// Counts a line in the current window and returns whether it is within the limit.
    fn admit(&self, level: Level) -> bool {
        let mut window = lock(&self.window);
        let now = Instant::now();
        if now >= window.started + Duration::from_secs(1) {
            *window = LogWindow {
                started: now,
                info: 0,
                warn: 0,
            };
        }
        let count = if level <= Level::Warn {
            &mut window.warn
        } else {
            &mut window.info
        };
        *count += 1;
        *count <= self.limits.per_second
    }

    fn record_drop(&self) {
        self.dropped.fetch_add(1, Ordering::Relaxed);
        counter!("log_lines_dropped_total").increment(1);
    }
}

impl Log for LineLogger {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        metadata.level() <= self.level
    }

    fn log(&self, record: &Record<'_>) {
        if !self.enabled(record.metadata()) {
            return;
        }
        if !self.admit(record.level()) {
            self.record_drop();
            return;
        }
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        UNWRITTEN.fetch_add(1, Ordering::Relaxed);
        if self.lines.try_send(format_line(record, dropped)).is_err() {
            UNWRITTEN.fetch_sub(1, Ordering::Relaxed);
            self.dropped.fetch_add(dropped, Ordering::Relaxed);
            self.record_drop();
        }
    }

    fn flush(&self) {}
}

/// Appends the fields of a record to its line.
struct FieldWriter<'a> {
    line: &'a mut Vec<u8>,
}

impl<'kvs> VisitSource<'kvs> for FieldWriter<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        self.line.push(b',');
        write_json(self.line, key.as_str());
        self.line.push(b':');
        let is_unquoted =
            value.to_u64().is_some() || value.to_i64().is_some() || value.to_bool().is_some();
        if is_unquoted {
            write_unquoted(self.line, &value);
        } else {
            write_json(self.line, &value.to_string());
        }
        Ok(())
    }
}

fn write_unquoted(line: &mut Vec<u8>, value: &Value<'_>) {
    // Writing to memory doesn't fail.
    let _ = write!(line, "{value}");
}

fn write_json(line: &mut Vec<u8>, text: &str) {
    // Writing to memory doesn't fail.
    let _ = serde_json::to_writer(line, text);
}

/// Formats a record as one JSON object: Unix time in milliseconds, level, module, event, fields.
fn format_line(record: &Record<'_>, dropped: u64) -> Vec<u8> {
    let time = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let module = record.target().rsplit("::").next().unwrap_or_default();
    let mut line = Vec::with_capacity(256);
    let _ = write!(
        line,
        "{{\"ms\":{},\"level\":\"{}\"",
        time.as_millis(),
        record.level()
    );
    line.extend_from_slice(b",\"module\":");
    write_json(&mut line, module);
    line.extend_from_slice(b",\"event\":");
    match record.args().as_str() {
        Some(text) => write_json(&mut line, text),
        None => write_json(&mut line, &record.args().to_string()),
    }
    // Fields that can't be visited are omitted.
    let _ = record
        .key_values()
        .visit(&mut FieldWriter { line: &mut line });
    if dropped > 0 {
        let _ = write!(line, ",\"lines_dropped\":{dropped}");
    }
    line.extend_from_slice(b"}\n");
    line
}

/// Writes queued lines to `output` until the logger is dropped.
pub fn write_lines(queue: &Receiver<Vec<u8>>, output: &mut impl Write) {
    while let Ok(first) = queue.recv() {
        let mut lines = first;
        let mut count = 1;
        // Collects further lines for the same write.
        std::thread::sleep(WRITE_PERIOD);
        while let Ok(more) = queue.try_recv() {
            lines.extend_from_slice(&more);
            count += 1;
        }
        // If standard output fails, there is nowhere to report the error.
        let _ = output.write_all(&lines);
        let _ = output.flush();
        // Saturates because tests may write lines that weren't counted in this process.
        let _ = UNWRITTEN.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |unwritten| {
            Some(unwritten.saturating_sub(count))
        });
    }
}

/// Waits until all queued lines are written, for at most `FLUSH_TIMEOUT`.
pub fn flush() {
    let deadline = Instant::now() + FLUSH_TIMEOUT;
    while UNWRITTEN.load(Ordering::Relaxed) > 0 && Instant::now() < deadline {
        std::thread::sleep(Duration::from_millis(1));
    }
}

/// Installs the logger for standard output; `RUST_LOG` sets the level, `info` by default.
pub fn install() {
    let level_name = std::env::var("RUST_LOG").ok();
    let level = level_name.and_then(|text| text.parse().ok());
    let level = level.unwrap_or(LevelFilter::Info);
    let (logger, queue) = LineLogger::new(LogLimits::default(), level);
    if log::set_boxed_logger(Box::new(logger)).is_err() {
        return;
    }
    log::set_max_level(level);
    std::thread::spawn(move || write_lines(&queue, &mut std::io::stdout()));
}
