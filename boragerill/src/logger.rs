//! Structured logs: one JSON object a line on standard output, bounded in volume and never blocking.
//!
//! Lines go through a bounded queue to a writer thread. When the queue is full, or a second's lines are
//! used up, further lines are dropped and counted; the count is written once lines go through again.

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

/// Lines that may wait for the writer.
const QUEUE_LINES: usize = 4096;

/// Lines of level `info` and below that are written in a second; warnings have as many again.
const LINES_PER_SECOND: u64 = 400;

/// Time for which the writer collects lines.
const WRITE_PERIOD: Duration = Duration::from_millis(20);

/// Bounds of the volume.
#[derive(Clone, Copy, Debug)]
pub struct LogLimits {
    /// Lines that may wait for the writer.
    pub queue: usize,
    /// Lines a second for each half of the levels.
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

/// Longest time that lines get to be written when the process ends.
const FLUSH_LIMIT: Duration = Duration::from_millis(200);

/// Lines that the writer has taken but not yet written, and those that still wait.
static UNWRITTEN: AtomicU64 = AtomicU64::new(0);

/// Lines written in the present second.
#[derive(Debug)]
struct LogWindow {
    since: Instant,
    info: u64,
    warn: u64,
}

/// Turns records into lines.
#[derive(Debug)]
pub struct LineLogger {
    lines: SyncSender<Vec<u8>>,
    window: Mutex<LogWindow>,
    dropped: AtomicU64,
    limits: LogLimits,
    level: LevelFilter,
}

impl LineLogger {
    /// Makes a logger and the queue of its lines.
    pub fn new(limits: LogLimits, level: LevelFilter) -> (LineLogger, Receiver<Vec<u8>>) {
        let (lines, queue) = sync_channel(limits.queue);
        let window = LogWindow {
            since: Instant::now(),
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

    /// Returns how many lines were dropped and not yet reported.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    fn admit(&self, level: Level) -> bool {
        let mut window = lock(&self.window);
        let now = Instant::now();
        if now >= window.since + Duration::from_secs(1) {
            *window = LogWindow {
                since: now,
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

    fn drop_line(&self) {
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
            self.drop_line();
            return;
        }
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        UNWRITTEN.fetch_add(1, Ordering::Relaxed);
        if self.lines.try_send(format_line(record, dropped)).is_err() {
            UNWRITTEN.fetch_sub(1, Ordering::Relaxed);
            self.dropped.fetch_add(dropped, Ordering::Relaxed);
            self.drop_line();
        }
    }

    fn flush(&self) {}
}

/// Writes the fields of a record.
struct FieldWriter<'a> {
    line: &'a mut Vec<u8>,
}

impl<'kvs> VisitSource<'kvs> for FieldWriter<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        self.line.push(b',');
        write_json(self.line, key.as_str());
        self.line.push(b':');
        let is_plain =
            value.to_u64().is_some() || value.to_i64().is_some() || value.to_bool().is_some();
        if is_plain {
            write_plain(self.line, &value);
        } else {
            write_json(self.line, &value.to_string());
        }
        Ok(())
    }
}

fn write_plain(line: &mut Vec<u8>, value: &Value<'_>) {
    // Writing into memory can't fail.
    let _ = write!(line, "{value}");
}

fn write_json(line: &mut Vec<u8>, text: &str) {
    // Writing into memory can't fail.
    let _ = serde_json::to_writer(line, text);
}

/// Writes a record as one JSON object: time in milliseconds since 1970, level, module, message, fields.
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
    // A field that can't be visited leaves the line without it.
    let _ = record
        .key_values()
        .visit(&mut FieldWriter { line: &mut line });
    if dropped > 0 {
        let _ = write!(line, ",\"lines_dropped\":{dropped}");
    }
    line.extend_from_slice(b"}\n");
    line
}

/// Writes lines until the logger is gone.
pub fn write_lines(queue: &Receiver<Vec<u8>>, output: &mut impl Write) {
    while let Ok(first) = queue.recv() {
        let mut lines = first;
        let mut count = 1;
        // Lines that come together are written together.
        std::thread::sleep(WRITE_PERIOD);
        while let Ok(more) = queue.try_recv() {
            lines.extend_from_slice(&more);
            count += 1;
        }
        // Nobody can be told that standard output is gone.
        let _ = output.write_all(&lines);
        let _ = output.flush();
        // Tests write lines that no logger of this process has counted.
        let _ = UNWRITTEN.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |lines| {
            Some(lines.saturating_sub(count))
        });
    }
}

/// Waits until the lines so far are written, but not for long.
pub fn flush() {
    let until = Instant::now() + FLUSH_LIMIT;
    while UNWRITTEN.load(Ordering::Relaxed) > 0 && Instant::now() < until {
        std::thread::sleep(Duration::from_millis(1));
    }
}

/// Installs the logger for standard output; the environment's `RUST_LOG` names the level.
pub fn install() {
    let named = std::env::var("RUST_LOG").ok();
    let level = named.and_then(|text| text.parse().ok());
    let level = level.unwrap_or(LevelFilter::Info);
    let (logger, queue) = LineLogger::new(LogLimits::default(), level);
    if log::set_boxed_logger(Box::new(logger)).is_err() {
        return;
    }
    log::set_max_level(level);
    std::thread::spawn(move || write_lines(&queue, &mut std::io::stdout()));
}
