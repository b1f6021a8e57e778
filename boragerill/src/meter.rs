//! Recorder for counters, gauges and histograms that renders them in Prometheus' text format.
//!
//! Replaces the usual Prometheus exporter, which spends up to 200 ms of processor time at every start on
//! calibrating a clock. On a small VM callers would wait for that time.

use std::{
    fmt::Write,
    sync::{
        atomic::{
            AtomicU64,
            Ordering, //
        },
        Arc,
        PoisonError,
        RwLock, //
    },
};

use metrics::{
    Counter,
    Gauge,
    Histogram,
    HistogramFn,
    Key,
    KeyName,
    Metadata,
    Recorder,
    SharedString,
    Unit, //
};

/// Upper bounds of the histogram buckets, in seconds; a further bucket counts larger values.
const BUCKET_BOUNDS_S: [f64; 14] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0, 5.0, 20.0,
];

/// Metrics of one type, sorted by key.
type MeterTable<T> = RwLock<Vec<(Key, Arc<T>)>>;

/// Histogram of durations in seconds with the buckets of [`BUCKET_BOUNDS_S`].
#[derive(Debug, Default)]
struct MeterHistogram {
    counts: [AtomicU64; BUCKET_BOUNDS_S.len() + 1],
    sum_us: AtomicU64,
}

impl HistogramFn for MeterHistogram {
    fn record(&self, value: f64) {
        let bucket = BUCKET_BOUNDS_S.partition_point(|bound| *bound < value);
        self.counts[bucket].fetch_add(1, Ordering::Relaxed);
        let micros = (value.max(0.0) * 1e6) as u64;
        self.sum_us.fetch_add(micros, Ordering::Relaxed);
    }
}

/// All metrics of a process.
#[derive(Debug, Default)]
struct MeterTables {
    counters: MeterTable<AtomicU64>,
    gauges: MeterTable<AtomicU64>, // Bit patterns of `f64` values.
    histograms: MeterTable<MeterHistogram>,
}

/// Recorder of metrics; clones share the recorded values.
#[derive(Clone, Debug, Default)]
pub struct MeterRecorder {
    tables: Arc<MeterTables>,
}

impl MeterRecorder {
    /// Installs this recorder as the global recorder of the process.
    ///
    /// # Errors
    ///
    /// Fails when a global recorder is already installed.
    pub fn install(&self) -> Result<(), metrics::SetRecorderError<MeterRecorder>> {
        metrics::set_global_recorder(self.clone())
    }

    /// Returns all metrics in Prometheus' text format.
    pub fn render(&self) -> String {
        let mut text = String::new();
        let integer = |value: &AtomicU64| value.load(Ordering::Relaxed).to_string();
        let float = |value: &AtomicU64| f64::from_bits(value.load(Ordering::Relaxed)).to_string();
        write_values(&mut text, "counter", &self.tables.counters, integer);
        write_values(&mut text, "gauge", &self.tables.gauges, float);
        let histograms = read(&self.tables.histograms);
        for (index, (key, histogram)) in histograms.iter().enumerate() {
            write_type(&mut text, "histogram", &histograms, index);
            write_histogram(&mut text, key, histogram);
        }
        text
    }
}

impl Recorder for MeterRecorder {
    fn describe_counter(&self, _: KeyName, _: Option<Unit>, _: SharedString) {}

    fn describe_gauge(&self, _: KeyName, _: Option<Unit>, _: SharedString) {}

    fn describe_histogram(&self, _: KeyName, _: Option<Unit>, _: SharedString) {}

    fn register_counter(&self, key: &Key, _: &Metadata<'_>) -> Counter {
        Counter::from_arc(find_or_insert(&self.tables.counters, key))
    }

    fn register_gauge(&self, key: &Key, _: &Metadata<'_>) -> Gauge {
        Gauge::from_arc(find_or_insert(&self.tables.gauges, key))
    }

    fn register_histogram(&self, key: &Key, _: &Metadata<'_>) -> Histogram {
        Histogram::from_arc(find_or_insert(&self.tables.histograms, key))
    }
}

/// Locks a table for reading, ignoring poisoning: a panic in another thread can't leave the numbers
/// invalid.
fn read<T>(table: &MeterTable<T>) -> std::sync::RwLockReadGuard<'_, Vec<(Key, Arc<T>)>> {
    table.read().unwrap_or_else(PoisonError::into_inner)
}

fn find_or_insert<T: Default>(table: &MeterTable<T>, key: &Key) -> Arc<T> {
    {
        let entries = read(table);
        if let Ok(index) = entries.binary_search_by(|entry| entry.0.cmp(key)) {
            return entries[index].1.clone();
        }
    }
    let mut entries = table.write().unwrap_or_else(PoisonError::into_inner);
    let index = match entries.binary_search_by(|entry| entry.0.cmp(key)) {
        Ok(index) => index,
        Err(index) => {
            entries.insert(index, (key.clone(), Arc::default()));
            index
        }
    };
    entries[index].1.clone()
}

fn write_values<T>(
    text: &mut String,
    kind: &str,
    table: &MeterTable<T>,
    value: impl Fn(&T) -> String,
) {
    let entries = read(table);
    for (index, (key, metric)) in entries.iter().enumerate() {
        write_type(text, kind, &entries, index);
        let _ = writeln!(
            text,
            "{}{} {}",
            key.name(),
            format_labels(key, None),
            value(metric)
        );
    }
}

/// Writes the `# TYPE` line before the first line of each metric.
fn write_type<T>(text: &mut String, kind: &str, entries: &[(Key, Arc<T>)], index: usize) {
    let name = entries[index].0.name();
    if index == 0 || entries[index - 1].0.name() != name {
        let _ = writeln!(text, "# TYPE {name} {kind}");
    }
}

fn write_histogram(text: &mut String, key: &Key, histogram: &MeterHistogram) {
    let name = key.name();
    let mut total = 0;
    for (index, count) in histogram.counts.iter().enumerate() {
        total += count.load(Ordering::Relaxed);
        let bound = BUCKET_BOUNDS_S.get(index);
        let bound = bound.map_or_else(|| "+Inf".to_owned(), ToString::to_string);
        let _ = writeln!(
            text,
            "{name}_bucket{} {total}",
            format_labels(key, Some(&bound))
        );
    }
    let sum = histogram.sum_us.load(Ordering::Relaxed) as f64 / 1e6;
    let _ = writeln!(text, "{name}_sum{} {sum}", format_labels(key, None));
    let _ = writeln!(text, "{name}_count{} {total}", format_labels(key, None));
}

/// Formats the labels of a metric in braces; `bound` is the upper bound of a histogram bucket.
fn format_labels(key: &Key, bound: Option<&str>) -> String {
    let labels = key.labels().map(|label| (label.key(), label.value()));
    let labels = labels.chain(bound.map(|bound| ("le", bound)));
    let texts: Vec<String> = labels
        .map(|(name, value)| format!("{name}=\"{}\"", escape(value)))
        .collect();
    match texts.is_empty() {
        true => String::new(),
        false => format!("{{{}}}", texts.join(",")),
    }
}

fn escape(value: &str) -> String {
    let value = value.replace('\\', "\\\\").replace('"', "\\\"");
    value.replace('\n', "\\n")
}
