//! Counters, gauges and histograms of a process, and their text for Prometheus.
//!
//! A recorder of our own: the usual exporter calibrates a clock for up to 200 ms of processor time at
//! every start, which a small VM spends while callers wait.

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

/// Upper bounds of the buckets of histograms, in seconds; one more bucket holds what is above.
const BOUNDS_S: [f64; 14] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0, 5.0, 20.0,
];

/// One kind of metric, sorted by key.
type MeterTable<T> = RwLock<Vec<(Key, Arc<T>)>>;

/// Counts observations by size.
#[derive(Debug, Default)]
struct MeterHistogram {
    counts: [AtomicU64; BOUNDS_S.len() + 1],
    sum_us: AtomicU64,
}

impl HistogramFn for MeterHistogram {
    fn record(&self, value: f64) {
        let bucket = BOUNDS_S.partition_point(|bound| *bound < value);
        self.counts[bucket].fetch_add(1, Ordering::Relaxed);
        let micros = (value.max(0.0) * 1e6) as u64;
        self.sum_us.fetch_add(micros, Ordering::Relaxed);
    }
}

/// All metrics of a process.
#[derive(Debug, Default)]
struct MeterTables {
    counters: MeterTable<AtomicU64>,
    gauges: MeterTable<AtomicU64>, // Bits of floating-point numbers.
    histograms: MeterTable<MeterHistogram>,
}

/// Records metrics; clones share what was recorded.
#[derive(Clone, Debug, Default)]
pub struct MeterRecorder {
    tables: Arc<MeterTables>,
}

impl MeterRecorder {
    /// Makes this recorder the one of the process.
    ///
    /// # Errors
    ///
    /// Fails when the process has one already.
    pub fn install(&self) -> Result<(), metrics::SetRecorderError<MeterRecorder>> {
        metrics::set_global_recorder(self.clone())
    }

    /// Returns everything recorded so far in Prometheus' text format.
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

/// Metrics are plain numbers, so a panic elsewhere leaves them usable.
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
            labels(key, None),
            value(metric)
        );
    }
}

/// Writes the kind of a metric before its first line.
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
        let bound = BOUNDS_S.get(index);
        let bound = bound.map_or_else(|| "+Inf".to_owned(), ToString::to_string);
        let _ = writeln!(text, "{name}_bucket{} {total}", labels(key, Some(&bound)));
    }
    let sum = histogram.sum_us.load(Ordering::Relaxed) as f64 / 1e6;
    let _ = writeln!(text, "{name}_sum{} {sum}", labels(key, None));
    let _ = writeln!(text, "{name}_count{} {total}", labels(key, None));
}

/// Returns the labels of a metric in braces, with the bound of a bucket if there is one.
fn labels(key: &Key, bound: Option<&str>) -> String {
    let own = key.labels().map(|label| (label.key(), label.value()));
    let all = own.chain(bound.map(|bound| ("le", bound)));
    let texts: Vec<String> = all
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
