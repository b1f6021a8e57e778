//! Compares two policies over the same days and seeds, from what the users' bench wrote of each play.

use std::{
    fs,
    path::Path, //
};

use serde::Deserialize;
use statrs::distribution::{
    ContinuousCDF,
    StudentsT, //
};

/// Two-sided level of the intervals.
const LEVEL: f64 = 0.95;

/// One entry of the journal.
#[derive(Debug)]
#[derive(Deserialize)]
struct JournalEntry {
    #[serde(default)]
    site: String,
    #[serde(default)]
    days: Vec<PlayedDay>,
}

/// One day that was played.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
struct PlayedDay {
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

/// Identifies a play: site, day and seed.
type PlayKey = (String, String, u64);

/// Mean of differences with the bounds of its interval.
#[derive(Clone, Copy, Debug)]
struct DifferenceMean {
    count: usize,
    mean: f64,
    half_width: f64,
    worst: f64,
}

/// Prints the difference of `other` less `base`, by site and over all.
///
/// # Errors
///
/// Returns what can't be read, or that no play stands in both folders.
pub(crate) fn compare(base: &str, other: &str) -> Result<(), String> {
    let base = read_plays(Path::new(base))?;
    let other = read_plays(Path::new(other))?;
    let mut differences: Vec<(&str, f64)> = Vec::new();
    println!("| play | before | after | difference | rules broken |");
    println!("|---|---|---|---|---|");
    for (key, before) in &base {
        let Ok(index) = other.binary_search_by(|play| play.0.cmp(key)) else {
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
        return Err("no play stands in both folders".to_owned());
    }
    println!("\n| site | plays | mean difference | 95% interval | worst |");
    println!("|---|---|---|---|---|");
    // Plays are sorted by site.
    for plays in differences.chunk_by(|one, other| one.0 == other.0) {
        print_mean(plays[0].0, &mean_of(plays));
    }
    print_mean("all", &mean_of(&differences));
    println!(
        "\nprocessor time: {:.0} s before, {:.0} s after",
        processor_time(&base),
        processor_time(&other)
    );
    Ok(())
}

fn processor_time(plays: &[(PlayKey, PlayedDay)]) -> f64 {
    plays.iter().map(|play| play.1.cpu_s).sum()
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

/// Returns the mean of paired differences; a single one has no interval.
fn mean_of(differences: &[(&str, f64)]) -> DifferenceMean {
    let values = || differences.iter().map(|entry| entry.1);
    let count = differences.len();
    let mean = values().sum::<f64>() / count as f64;
    let worst = values().fold(f64::INFINITY, f64::min);
    let squares = values().map(|value| (value - mean).powi(2));
    let freedom = count as f64 - 1.0;
    let half_width = match StudentsT::new(0.0, 1.0, freedom) {
        Ok(students) => {
            let deviation = (squares.sum::<f64>() / freedom).sqrt();
            students.inverse_cdf((1.0 + LEVEL) / 2.0) * deviation / (count as f64).sqrt()
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

/// Returns the plays of a folder, sorted by site, day and seed.
fn read_plays(folder: &Path) -> Result<Vec<(PlayKey, PlayedDay)>, String> {
    let listed = fs::read_dir(folder).map_err(|error| format!("{}: {error}", folder.display()))?;
    let mut plays = Vec::new();
    for file in listed {
        let path = file.map_err(|error| error.to_string())?.path();
        if path.extension().is_none_or(|extension| extension != "json") {
            continue;
        }
        let failed = |cause: &dyn std::fmt::Display| format!("{}: {cause}", path.display());
        let text = fs::read_to_string(&path).map_err(|error| failed(&error))?;
        let entry: JournalEntry = serde_json::from_str(&text).map_err(|error| failed(&error))?;
        for day in entry.days {
            plays.push(((entry.site.clone(), day.name.clone(), day.seed), day));
        }
    }
    plays.sort_by(|one, other| one.0.cmp(&other.0));
    Ok(plays)
}
