//! Compares two policies over the same simulated days and seeds, from the journal entries that the users'
//! benchmark wrote of each run.

use std::{
    fs,
    path::Path, //
};

use serde::Deserialize;
use statrs::distribution::{
    ContinuousCDF,
    StudentsT, //
};

/// Confidence level of the two-sided intervals.
const CONFIDENCE: f64 = 0.95;

/// A journal entry: the runs of one call of the users' benchmark.
#[derive(Debug)]
#[derive(Deserialize)]
struct JournalEntry {
    #[serde(default)]
    site: String,
    #[serde(default)]
    days: Vec<SimulatedDay>,
}

/// The run of one simulated day.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
struct SimulatedDay {
    /// Worth of the day.
    #[serde(rename = "G")]
    worth: f64,
    name: String,
    #[serde(default)]
    seed: u64,
    #[serde(default)]
    rules: serde_json::Map<String, serde_json::Value>,
    #[serde(default)]
    cpu_s: f64,
    #[serde(default)]
    fault: Option<String>,
}

/// Identifies a run: site, day and seed.
type RunKey = (String, String, u64);

/// Mean of paired differences and its confidence interval.
#[derive(Clone, Copy, Debug)]
struct DifferenceMean {
    count: usize,
    mean: f64,
    half_width: f64, // Of the interval.
    worst: f64,
}

/// Prints the differences in worth from `base` to `other`, two directories of journal entries: by run, by
/// site and over all.
///
/// # Errors
///
/// Returns a message if a file can't be read, or if no run is in both directories.
pub(crate) fn compare(base: &str, other: &str) -> Result<(), String> {
    let base = read_runs(Path::new(base))?;
    let other = read_runs(Path::new(other))?;
    let mut differences: Vec<(&str, f64)> = Vec::new();
    println!("| run | before | after | difference | rules broken |");
    println!("|---|---|---|---|---|");
    for (key, before) in &base {
        let Ok(index) = other.binary_search_by(|run| run.0.cmp(key)) else {
            continue;
        };
        let after = &other[index].1;
        let difference = after.worth - before.worth;
        let broken: Vec<&str> = after.rules.keys().map(String::as_str).collect();
        let fault = after.fault.as_deref().unwrap_or_default();
        println!(
            "| {} {} {} | {:.3} | {:.3} | {difference:+.3} | {} {fault} |",
            key.0,
            key.1,
            key.2,
            before.worth,
            after.worth,
            broken.join(" ")
        );
        differences.push((&key.0, difference));
    }
    if differences.is_empty() {
        return Err("no run is in both directories".to_owned());
    }
    println!("\n| site | runs | mean difference | 95% interval | worst |");
    println!("|---|---|---|---|---|");
    // Runs are sorted by site.
    for runs in differences.chunk_by(|one, other| one.0 == other.0) {
        print_mean(runs[0].0, &mean_of(runs));
    }
    print_mean("all", &mean_of(&differences));
    println!(
        "\nprocessor time: {:.0} s before, {:.0} s after",
        processor_time(&base),
        processor_time(&other)
    );
    Ok(())
}

fn processor_time(runs: &[(RunKey, SimulatedDay)]) -> f64 {
    runs.iter().map(|run| run.1.cpu_s).sum()
}

fn print_mean(site: &str, mean: &DifferenceMean) {
    println!(
        "| {site} | {} | {:+.4} | {:+.4} to {:+.4} | {:+.3} |",
        mean.count,
        mean.mean,
        mean.mean - mean.half_width,
        mean.mean + mean.half_width,
        mean.worst
    );
}

/// Returns the mean of paired differences with its confidence interval, by Student's t distribution. The
/// interval of a single difference is NaN.
fn mean_of(differences: &[(&str, f64)]) -> DifferenceMean {
    let values = || differences.iter().map(|entry| entry.1);
    let count = differences.len();
    let mean = values().sum::<f64>() / count as f64;
    let worst = values().fold(f64::INFINITY, f64::min);
    let squares = values().map(|value| (value - mean).powi(2));
    let degrees_of_freedom = count as f64 - 1.0;
    let half_width = match StudentsT::new(0.0, 1.0, degrees_of_freedom) {
        Ok(students) => {
            let deviation = (squares.sum::<f64>() / degrees_of_freedom).sqrt();
            students.inverse_cdf((1.0 + CONFIDENCE) / 2.0) * deviation / (count as f64).sqrt()
        }
        Err(_) => f64::NAN,
    };
    DifferenceMean {
        count,
        mean,
        half_width,
        worst,
    }
}

/// Reads the runs in a directory of journal entries, sorted by site, day and seed.
fn read_runs(directory: &Path) -> Result<Vec<(RunKey, SimulatedDay)>, String> {
    let listed =
        fs::read_dir(directory).map_err(|error| format!("{}: {error}", directory.display()))?;
    let mut runs = Vec::new();
    for file in listed {
        let path = file.map_err(|error| error.to_string())?.path();
        if path.extension().is_none_or(|extension| extension != "json") {
            continue;
        }
        let failed = |cause: &dyn std::fmt::Display| format!("{}: {cause}", path.display());
        let text = fs::read_to_string(&path).map_err(|error| failed(&error))?;
        let entry: JournalEntry = serde_json::from_str(&text).map_err(|error| failed(&error))?;
        for day in entry.days {
            runs.push(((entry.site.clone(), day.name.clone(), day.seed), day));
        }
    }
    runs.sort_by(|one, other| one.0.cmp(&other.0));
    Ok(runs)
}
