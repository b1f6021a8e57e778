//! Servers that break a few of their answers off. One that ends before its first event is no output of an item.

use std::{
    path::Path,
    thread,
    time::{Duration, Instant},
};

use crate::{
    fleet::{Deployment, Process, ServerPlan},
    jobs,
    json::Json,
    Outcome,
};

/// Servers, and how many of them break answers off.
const SERVERS: usize = 6;
const FAULTY: usize = 3;

/// Such a server breaks each so many-th answer off.
const TRUNCATES: usize = 50;

/// Jobs, and items of each.
const JOBS: usize = 10;
const ITEMS: usize = 60;

/// Events of an item.
const EVENTS: u64 = 20;

/// Time for which results are read.
const FINISHED: Duration = Duration::from_secs(40);

pub fn run(folder: &Path, has_trouble: bool) -> Outcome {
    let machines = [
        ("front-a-1", "a", true),
        ("front-b-1", "b", true),
        ("front-c-1", "c", true),
        ("storage-a-1", "a", false),
    ];
    let deployment = Deployment::new(folder, &machines);
    deployment.write_config(|_| {});
    let zones = ["a", "b", "c"];
    let plan = |number: usize| ServerPlan {
        truncates: if has_trouble && number < FAULTY {
            TRUNCATES
        } else {
            0
        },
        ..ServerPlan::new(number, zones[number % 3], Duration::from_millis(20), EVENTS)
    };
    let servers: Vec<ServerPlan> = (0..SERVERS).map(plan).collect();
    let _servers: Vec<Process> = servers
        .iter()
        .map(|server| deployment.start_server(server, "v1", Duration::ZERO))
        .collect();
    if !deployment.wait_registered(&servers) {
        return Outcome::NotRun;
    }
    let _processes: Vec<Process> = (0..machines.len())
        .map(|index| deployment.start(index, true))
        .collect();
    if !deployment.wait_ready() {
        return Outcome::NotRun;
    }
    thread::sleep(Duration::from_secs(2));
    let ids: Vec<String> = (0..JOBS)
        .map(|index| format!("7c41e09b52{index:02x}a3f8"))
        .collect();
    for (index, id) in ids.iter().enumerate() {
        if jobs::submit(&deployment, index % 3, ("/lot/", id), ITEMS) != Some(202) {
            return Outcome::NotRun;
        }
    }
    judge(&deployment, &ids)
}

/// Reads all results and compares the completed ones with the output of a whole run.
fn judge(deployment: &Deployment, ids: &[String]) -> Outcome {
    let lines: Vec<String> = (0..EVENTS)
        .map(|event| format!("v1 event {event}"))
        .collect();
    let whole = lines.join("\n");
    let until = Instant::now() + FINISHED;
    let (mut listed, mut wrong) = (0, 0);
    for (index, id) in ids.iter().enumerate() {
        let mut results: Vec<Json> = Vec::new();
        while results.len() < ITEMS && Instant::now() < until {
            match jobs::read(deployment, (index + 1) % 3, id, results.len()) {
                Some((200, more)) => results.extend(more),
                _ => thread::sleep(Duration::from_millis(300)),
            }
        }
        listed += results.len();
        for result in &results {
            if result.get("state").text() == "completed" && result.get("text").text() != whole {
                wrong += 1;
                let (item, text) = (result.get("id").text(), result.get("text").text());
                deployment.record.add(format!(
                    "wrong: item {item} of job {id} is completed with the text {text:?}"
                ));
            }
        }
    }
    let broken = deployment
        .record
        .server_lines()
        .iter()
        .filter(|line| line.contains("breaks its answer"))
        .count();
    deployment.record.add(format!("{listed} of {} items listed, {broken} answers broken off, {wrong} completed without their whole output", ids.len() * ITEMS));
    match wrong {
        0 if listed < ids.len() * ITEMS => Outcome::NotRun,
        0 => Outcome::Held,
        _ => Outcome::Broken,
    }
}
