//! Reports the four measures of the users first, then what explains them.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde_json::{
    json,
    Value, //
};

use crate::{
    case::{
        BenchCase,
        CaseVariant, //
    },
    load::{
        histogram,
        RequestEnd, //
    },
};

/// One variant's results.
#[derive(Debug)]
pub(crate) struct VariantReport {
    name: String,
    ends: Vec<RequestEnd>,
    elapsed: Duration,
    engine_requests: Vec<u64>,
    prefix_hits: u64,
    batch_items: u64,
    writes: u64,
}

impl VariantReport {
    pub(crate) fn new(
        variant: &CaseVariant,
        ends: Vec<RequestEnd>,
        elapsed: Duration,
        before: &[Value],
        after: &[Value],
        writes: u64,
    ) -> VariantReport {
        let rise = |name: &str| -> Vec<u64> {
            let pairs = before.iter().zip(after);
            pairs
                .map(|(old, new)| new[name].as_u64().unwrap_or(0) - old[name].as_u64().unwrap_or(0))
                .collect()
        };
        let completed: u64 = rise("completed").iter().sum();
        let online = ends.iter().filter(|end| end.complete).count() as u64;
        VariantReport {
            name: variant.name.to_string(),
            engine_requests: rise("requests"),
            prefix_hits: rise("prefix_hits").iter().sum(),
            batch_items: completed.saturating_sub(online),
            ends,
            elapsed,
            writes,
        }
    }

    pub(crate) fn to_json(&self) -> Value {
        let first = self.latencies(|_| true, |end| end.first);
        json!({
            "variant": self.name,
            "requests": self.ends.len(),
            "complete": self.count(|end| end.complete),
            "first_ms": {"p50": ms(&first, 0.5), "p99": ms(&first, 0.99), "p999": ms(&first, 0.999)},
            "batch_items_per_second": self.batch_rate(),
            "prefix_hit_rate": self.hit_rate(),
        })
    }

    fn count(&self, wanted: impl Fn(&RequestEnd) -> bool) -> usize {
        self.ends.iter().filter(|end| wanted(end)).count()
    }

    /// Returns the latencies of complete requests.
    fn latencies(
        &self,
        wanted: impl Fn(&RequestEnd) -> bool,
        latency: impl Fn(&RequestEnd) -> Duration,
    ) -> Histogram<u64> {
        let mut values = histogram();
        for end in self.ends.iter().filter(|end| end.complete && wanted(end)) {
            values.saturating_record(u64::try_from(latency(end).as_micros()).unwrap_or(u64::MAX));
        }
        values
    }

    fn batch_rate(&self) -> f64 {
        self.batch_items as f64 / self.elapsed.as_secs_f64()
    }

    fn hit_rate(&self) -> f64 {
        self.prefix_hits as f64 / self.engine_requests.iter().sum::<u64>().max(1) as f64
    }

    /// Returns the busiest server's requests over the average.
    fn imbalance(&self) -> f64 {
        let total: u64 = self.engine_requests.iter().sum();
        let most = self.engine_requests.iter().max().copied().unwrap_or(0);
        most as f64 * self.engine_requests.len() as f64 / total.max(1) as f64
    }

    /// Returns how many requests fewer got past the rate than a bucket with the workspace's rate and
    /// burst, filled by the same arrivals, would have let pass; summed over the workspaces.
    fn wrongful_refusals(&self, case: &BenchCase) -> usize {
        let workspaces = case.workspaces.iter().enumerate();
        let missing = workspaces.map(|(index, workspace)| {
            let mut level = workspace.burst;
            let mut last = Duration::ZERO;
            let (mut ideal, mut passed) = (0_usize, 0);
            for end in self.ends.iter().filter(|end| end.workspace == index) {
                level =
                    (level + workspace.rate * (end.due - last).as_secs_f64()).min(workspace.burst);
                last = end.due;
                if level >= 1.0 {
                    level -= 1.0;
                    ideal += 1;
                }
                passed += usize::from(!end.reason.starts_with("rate_"));
            }
            ideal.saturating_sub(passed)
        });
        missing.sum()
    }
}

/// Prints the results as Markdown.
pub(crate) fn print_report(case: &BenchCase, reports: &[VariantReport]) {
    let (vms, engines) = (case.vms.len(), case.engines.len());
    println!(
        "\n## {} ({vms} VMs, {engines} engines of {} slots, {} s a variant)\n",
        case.name, case.slots, case.seconds
    );
    println!(
        "| variant | batch items/s | first token p50/p99/p99.9 ms | worst workspace p99 ms | its goodput | wrongful refusals \
         | requests | complete | prefix hits | imbalance | platform writes |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|");
    for report in reports {
        let first = report.latencies(|_| true, |end| end.first);
        let (worst, goodput) = worst_workspace(case, report);
        println!(
            "| {} | {:.1} | {:.1} / {:.1} / {:.1} | {worst:.1} | {goodput:.3} | {} | {} | {} | {:.3} | {:.2} | {} |",
            report.name,
            report.batch_rate(),
            ms(&first, 0.5),
            ms(&first, 0.99),
            ms(&first, 0.999),
            report.wrongful_refusals(case),
            report.ends.len(),
            report.count(|end| end.complete),
            report.hit_rate(),
            report.imbalance(),
            report.writes,
        );
    }
    println!("\n| variant | workspace | complete | first token p50 / p99 ms | whole answer p50 / p99 ms |");
    println!("|---|---|---|---|---|");
    for report in reports {
        print_workspaces(case, report);
    }
    for report in reports {
        println!(
            "\n{}: reasons of incomplete requests: {}",
            report.name,
            reasons(report)
        );
    }
}

/// Prints how each workspace fared.
fn print_workspaces(case: &BenchCase, report: &VariantReport) {
    for (index, workspace) in case.workspaces.iter().enumerate() {
        let first = report.latencies(|end| end.workspace == index, |end| end.first);
        let whole = report.latencies(|end| end.workspace == index, |end| end.whole);
        let sent = report.count(|end| end.workspace == index);
        let complete = report.count(|end| end.workspace == index && end.complete);
        println!(
            "| {} | {} | {complete} of {sent} | {:.1} / {:.1} | {:.1} / {:.1} |",
            report.name,
            workspace.name,
            ms(&first, 0.5),
            ms(&first, 0.99),
            ms(&whole, 0.5),
            ms(&whole, 0.99),
        );
    }
}

/// Returns the worst p99 of the first token among the workspaces within their rate, and the least
/// share of their requests that were answered.
fn worst_workspace(case: &BenchCase, report: &VariantReport) -> (f64, f64) {
    let mut worst: f64 = 0.0;
    let mut goodput: f64 = 1.0;
    for (index, workspace) in case.workspaces.iter().enumerate() {
        if workspace.arrivals > workspace.rate {
            continue;
        }
        let first = report.latencies(|end| end.workspace == index, |end| end.first);
        worst = worst.max(ms(&first, 0.99));
        let sent = report.count(|end| end.workspace == index).max(1);
        let complete = report.count(|end| end.workspace == index && end.complete);
        goodput = goodput.min(complete as f64 / sent as f64);
    }
    (worst, goodput)
}

fn reasons(report: &VariantReport) -> String {
    let mut counts: Vec<(String, usize)> = Vec::new(); // Sorted by reason.
    for end in report.ends.iter().filter(|end| !end.complete) {
        let reason = format!("{} {}", end.status, end.reason);
        match counts.binary_search_by(|entry| entry.0.cmp(&reason)) {
            Ok(index) => counts[index].1 += 1,
            Err(index) => counts.insert(index, (reason, 1)),
        }
    }
    let texts: Vec<String> = counts
        .iter()
        .map(|(reason, count)| format!("{reason} x {count}"))
        .collect();
    if texts.is_empty() {
        "none".to_owned()
    } else {
        texts.join(", ")
    }
}

fn ms(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / 1000.0
}
