//! Report of a case: first the four measures that users judge the system by, then figures that explain them.

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
        RequestOutcome, //
    },
};

/// Results of one variant.
#[derive(Debug)]
pub(crate) struct VariantReport {
    name: String,
    outcomes: Vec<RequestOutcome>,
    elapsed: Duration,
    engine_requests: Vec<u64>,
    prefix_hits: u64,
    batch_items: u64,
    writes: u64,
}

impl VariantReport {
    pub(crate) fn new(
        variant: &CaseVariant,
        outcomes: Vec<RequestOutcome>,
        elapsed: Duration,
        before: &[Value],
        after: &[Value],
        writes: u64,
    ) -> VariantReport {
        let increase = |name: &str| -> Vec<u64> {
            let pairs = before.iter().zip(after);
            pairs
                .map(|(old, new)| new[name].as_u64().unwrap_or(0) - old[name].as_u64().unwrap_or(0))
                .collect()
        };
        let completed: u64 = increase("completed").iter().sum();
        let online = outcomes.iter().filter(|outcome| outcome.complete).count() as u64;
        VariantReport {
            name: variant.name.to_string(),
            engine_requests: increase("requests"),
            prefix_hits: increase("prefix_hits").iter().sum(),
            batch_items: completed.saturating_sub(online),
            outcomes,
            elapsed,
            writes,
        }
    }

    pub(crate) fn to_json(&self) -> Value {
        let first = self.latencies(|_| true, |outcome| outcome.first);
        json!({
            "variant": self.name,
            "requests": self.outcomes.len(),
            "complete": self.count(|outcome| outcome.complete),
            "first_ms": {"p50": ms(&first, 0.5), "p99": ms(&first, 0.99), "p999": ms(&first, 0.999)},
            "batch_items_per_second": self.batch_rate(),
            "prefix_hit_rate": self.hit_rate(),
        })
    }

    fn count(&self, predicate: impl Fn(&RequestOutcome) -> bool) -> usize {
        self.outcomes
            .iter()
            .filter(|outcome| predicate(outcome))
            .count()
    }

    /// Returns the latencies of the completed requests that match `predicate`, in microseconds.
    fn latencies(
        &self,
        predicate: impl Fn(&RequestOutcome) -> bool,
        latency: impl Fn(&RequestOutcome) -> Duration,
    ) -> Histogram<u64> {
        let mut values = histogram();
        for outcome in self
            .outcomes
            .iter()
            .filter(|outcome| outcome.complete && predicate(outcome))
        {
            values
                .saturating_record(u64::try_from(latency(outcome).as_micros()).unwrap_or(u64::MAX));
        }
        values
    }

    fn batch_rate(&self) -> f64 {
        self.batch_items as f64 / self.elapsed.as_secs_f64()
    }

    fn hit_rate(&self) -> f64 {
        self.prefix_hits as f64 / self.engine_requests.iter().sum::<u64>().max(1) as f64
    }

    /// Returns the number of requests of the busiest server, divided by the mean over all servers.
    fn imbalance(&self) -> f64 {
        let total: u64 = self.engine_requests.iter().sum();
        let most = self.engine_requests.iter().max().copied().unwrap_or(0);
        most as f64 * self.engine_requests.len() as f64 / total.max(1) as f64
    }

    /// Returns how many requests were rejected by the rate limit in excess of those that one token bucket
    /// with the workspace's rate and burst would have rejected for the same arrivals, summed over the
    /// workspaces.
    fn wrongful_refusals(&self, case: &BenchCase) -> usize {
        let workspaces = case.workspaces.iter().enumerate();
        let missing = workspaces.map(|(index, workspace)| {
            let mut tokens = workspace.burst;
            let mut last = Duration::ZERO;
            let (mut ideal, mut passed) = (0_usize, 0);
            for outcome in self
                .outcomes
                .iter()
                .filter(|outcome| outcome.workspace == index)
            {
                tokens = (tokens + workspace.rate * (outcome.due - last).as_secs_f64())
                    .min(workspace.burst);
                last = outcome.due;
                if tokens >= 1.0 {
                    tokens -= 1.0;
                    ideal += 1;
                }
                passed += usize::from(!outcome.reason.starts_with("rate_"));
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
        "\n## {} ({vms} VMs, {engines} engines of {} slots, {} s per variant)\n",
        case.name, case.slots, case.seconds
    );
    println!(
        "| variant | batch items/s | first token p50/p99/p99.9 ms | worst workspace p99 ms | lowest goodput | wrongful refusals \
         | requests | complete | prefix hits | imbalance | platform writes |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|");
    for report in reports {
        let first = report.latencies(|_| true, |outcome| outcome.first);
        let (worst, goodput) = worst_workspace(case, report);
        println!(
            "| {} | {:.1} | {:.1} / {:.1} / {:.1} | {worst:.1} | {goodput:.3} | {} | {} | {} | {:.3} | {:.2} | {} |",
            report.name,
            report.batch_rate(),
            ms(&first, 0.5),
            ms(&first, 0.99),
            ms(&first, 0.999),
            report.wrongful_refusals(case),
            report.outcomes.len(),
            report.count(|outcome| outcome.complete),
            report.hit_rate(),
            report.imbalance(),
            report.writes,
        );
    }
    println!("\n| variant | workspace | complete | first token p50 / p99 ms | complete response p50 / p99 ms |");
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

/// Prints the completed requests and latencies of each workspace.
fn print_workspaces(case: &BenchCase, report: &VariantReport) {
    for (index, workspace) in case.workspaces.iter().enumerate() {
        let first = report.latencies(
            |outcome| outcome.workspace == index,
            |outcome| outcome.first,
        );
        let total = report.latencies(
            |outcome| outcome.workspace == index,
            |outcome| outcome.total,
        );
        let sent = report.count(|outcome| outcome.workspace == index);
        let complete = report.count(|outcome| outcome.workspace == index && outcome.complete);
        println!(
            "| {} | {} | {complete} of {sent} | {:.1} / {:.1} | {:.1} / {:.1} |",
            report.name,
            workspace.name,
            ms(&first, 0.5),
            ms(&first, 0.99),
            ms(&total, 0.5),
            ms(&total, 0.99),
        );
    }
}

/// Returns the worst p99 of the time to first token, in milliseconds, and the lowest fraction of completed
/// requests, among the workspaces that send no more than their rate.
fn worst_workspace(case: &BenchCase, report: &VariantReport) -> (f64, f64) {
    let mut worst: f64 = 0.0;
    let mut goodput: f64 = 1.0;
    for (index, workspace) in case.workspaces.iter().enumerate() {
        if workspace.arrivals > workspace.rate {
            continue;
        }
        let first = report.latencies(
            |outcome| outcome.workspace == index,
            |outcome| outcome.first,
        );
        worst = worst.max(ms(&first, 0.99));
        let sent = report.count(|outcome| outcome.workspace == index).max(1);
        let complete = report.count(|outcome| outcome.workspace == index && outcome.complete);
        goodput = goodput.min(complete as f64 / sent as f64);
    }
    (worst, goodput)
}

/// Returns the statuses and reasons of incomplete requests with their counts, as text.
fn reasons(report: &VariantReport) -> String {
    let mut counts: Vec<(String, usize)> = Vec::new(); // Sorted by status and reason.
    for outcome in report.outcomes.iter().filter(|outcome| !outcome.complete) {
        let reason = format!("{} {}", outcome.status, outcome.reason);
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

/// Returns a quantile in milliseconds.
fn ms(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / 1000.0
}
