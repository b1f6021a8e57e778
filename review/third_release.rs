//! Two releases replace eight of nine servers by a newer version of their software, while the items of batch jobs run.

use std::{
    collections::HashMap,
    path::Path,
    thread,
    time::{Duration, Instant},
};

use crate::{
    fleet::{Deployment, Process, ServerPlan},
    jobs,
    server::{unix_ms, SLOTS},
    Outcome,
};

/// Servers, and how many of them each release replaces.
const SERVERS: usize = 9;
const REPLACED: usize = 4;
const RELEASES: usize = 2;

/// Time between two replacements.
const GAP: Duration = Duration::from_millis(1000);

/// Jobs and their items, which take all slots of the service.
const JOBS: usize = 6;
const ITEMS: usize = 12;

/// Events of an item, one each 100 ms.
const EVENTS: u64 = 250;

/// Time from the submission to the end of traffic, and the time that jobs have after it (`finish_s`).
const TRAFFIC: Duration = Duration::from_secs(16);
const FINISH: Duration = Duration::from_secs(18);

/// Time before the end in which no server had an item of a job, and that in which no item was finished, in milliseconds.
const CALM_MS: u64 = 5000;
const UNFINISHED_MS: u64 = 3000;

pub fn run(folder: &Path, has_trouble: bool) -> Outcome {
    let machines = [
        ("front-a-1", "a", true),
        ("front-b-1", "b", true),
        ("front-c-1", "c", true),
        ("storage-a-1", "a", false),
    ];
    let deployment = Deployment::new(folder, &machines);
    deployment.write_config(|_| {});
    let plan = |number: usize| {
        let (zone, pause) = (["a", "b", "c"][number % 3], Duration::from_millis(100));
        ServerPlan::new(number, zone, pause, EVENTS)
    };
    let servers: Vec<ServerPlan> = (0..SERVERS).map(plan).collect();
    let start =
        |server: &ServerPlan, version| deployment.start_server(server, version, Duration::ZERO);
    let mut running: Vec<Process> = servers.iter().map(|server| start(server, "v1")).collect();
    if !deployment.wait_registered(&servers) {
        return Outcome::NotRun;
    }
    let starting = (0..machines.len()).map(|index| deployment.start(index, true));
    let _processes: Vec<Process> = starting.collect();
    if !deployment.wait_ready() {
        return Outcome::NotRun;
    }
    thread::sleep(Duration::from_secs(2));
    let ids: Vec<String> = (0..JOBS)
        .map(|index| format!("7c41e09b52{index:02x}a3f8"))
        .collect();
    let begun = Instant::now();
    for (index, id) in ids.iter().enumerate() {
        if jobs::submit(&deployment, index % 3, ("/lot/", id), ITEMS) != Some(202) {
            return Outcome::NotRun;
        }
    }
    thread::sleep(Duration::from_secs(3));
    let mut newer: Vec<Process> = Vec::new();
    for number in 0..(RELEASES * REPLACED) * usize::from(has_trouble) {
        newer.push(start(&plan(0x100 + number), "v2"));
        thread::sleep(Duration::from_millis(300));
        deployment
            .record
            .add(format!("{} is to leave", servers[number].id));
        running[number].drain();
        thread::sleep(GAP - Duration::from_millis(300));
    }
    thread::sleep((TRAFFIC + FINISH).saturating_sub(begun.elapsed()));
    judge(&deployment, &ids, unix_ms())
}

/// Looks for jobs with items that are neither listed nor run, at the time `end`.
fn judge(deployment: &Deployment, ids: &[String], end: u64) -> Outcome {
    let lines = deployment.record.server_lines();
    let runs = read_runs(&lines);
    let overlaps = |run: &Run| run.begun <= end && run.ended >= end - CALM_MS;
    let is_finished =
        |run: &Run| run.is_complete && run.ended + UNFINISHED_MS >= end && run.ended <= end;
    let busiest = runs.iter().filter(|run| overlaps(run)).count();
    let finished = runs.iter().filter(|run| is_finished(run)).count();
    let (mut lost, mut unlisted) = (0, 0);
    for (index, id) in ids.iter().enumerate() {
        let Some((200, results)) = jobs::read(deployment, (index + 1) % 3, id, 0) else {
            return Outcome::NotRun;
        };
        let missing = ITEMS - results.len();
        let had = runs
            .iter()
            .filter(|run| overlaps(run) && run.item.starts_with(&id[..12]));
        let had = had.count();
        unlisted += missing;
        deployment.record.add(format!("job {id}: {missing} of {ITEMS} items aren't listed; servers had {had} of its items in the last 5 s"));
        if missing > 0 && had == 0 {
            lost += missing;
        }
    }
    let is_half_empty = busiest * 2 < SERVERS * SLOTS;
    deployment.record.add(format!(
        "{unlisted} of {} items unlisted; {busiest} items at servers of {} slots in the last 5 s, {finished} finished in the last 3 s; {lost} items of jobs of which no server had one",
        ids.len() * ITEMS,
        SERVERS * SLOTS
    ));
    match lost > 0 && is_half_empty && finished == 0 {
        true => Outcome::Broken,
        false => Outcome::Held,
    }
}

/// A run of an item at a server.
struct Run {
    item: String,
    begun: u64,
    ended: u64, // Far in the future while it goes on.
    is_complete: bool,
}

/// Reads the runs from what the servers have printed.
fn read_runs(lines: &[String]) -> Vec<Run> {
    let mut runs: Vec<Run> = Vec::new();
    let mut open: HashMap<(String, String), usize> = HashMap::new(); // By server and item.
    for line in lines {
        let words: Vec<&str> = line.split(' ').collect();
        let [time, server, _, event, item, ..] = words.as_slice() else {
            continue;
        };
        let time: u64 = time.parse().unwrap_or(0);
        let key = (server.to_string(), item.to_string());
        match *event {
            "runs" => {
                open.insert(key, runs.len());
                let item = item.to_string();
                runs.push(Run {
                    item,
                    begun: time,
                    ended: u64::MAX / 2,
                    is_complete: false,
                });
            }
            "complete" | "left" => {
                if let Some(index) = open.remove(&key) {
                    runs[index].ended = time;
                    runs[index].is_complete = *event == "complete";
                }
            }
            _ => {}
        }
    }
    runs
}
