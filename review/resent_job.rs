//! Connections break while clients submit batch jobs, which arrive again at another front; then the store is down.
//!
//! LOST: jobs that were accepted at the second try never run.

use std::{
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    client::{self, Record},
    fleet::Fleet,
    server::{Arrival, Server, Work},
    store::Store,
    wire,
};

const FRONTS: usize = 4;
const SERVERS: usize = 3;
const ITEMS: usize = 10;
const JOBS: usize = 16;

/// Times from a submission to the break of its connection; the store's answers take some milliseconds.
const FIRST_BREAK: Duration = Duration::from_millis(3);
const BREAK_STEP: Duration = Duration::from_micros(500);

/// Time from the last acceptance to the outage, and the length of the outage.
const DOWN_AFTER: Duration = Duration::from_millis(500);
const DOWN_TIME: Duration = Duration::from_millis(4500);

/// Time for which a job may wait, as the configuration allows, with a margin of 8 s.
const WAIT: Duration = Duration::from_secs(44);

/// Time without a run after which no server can have an item any more.
const CALM: Duration = Duration::from_secs(5);

const WORK: Work = Work {
    slots: 8,
    events: 20,
    pause: Duration::from_millis(20),
};

/// Runs the case.
pub fn run(record: &mut Record, has_trouble: bool) -> Result<bool, String> {
    let arrivals: Arc<Mutex<Vec<Arrival>>> = Arc::default();
    let store = Store::new();
    store.write("config", "main", wire::CONFIG);
    for index in 0..SERVERS {
        let id = format!("i-{index}");
        let server = Server::start(&id, WORK, arrivals.clone());
        store.write(
            "servers",
            &id,
            &server.entry(&format!("zone-{}", index + 1)),
        );
    }
    let fleet = Fleet::start(&store, FRONTS)?;
    record.add(format!(
        "{FRONTS} fronts are ready, {SERVERS} servers with 8 slots each"
    ));
    thread::sleep(Duration::from_secs(4));

    let jobs: Vec<String> = (0..JOBS)
        .map(|index| format!("7c41e09b52d6a{index:03x}"))
        .collect();
    let mut wait = FIRST_BREAK;
    for job in &jobs {
        let body = client::submission(&client::item_ids(job, ITEMS));
        let path = format!("/lot/{job}");
        if has_trouble {
            let sent = client::call_broken(fleet.vms[0].callers, ("POST", &path), job, &body, wait);
            sent.map_err(|error| error.to_string())?;
            record.add(format!(
                "batch job {job} is sent to front-1; the connection breaks after {wait:?}"
            ));
            wait += BREAK_STEP;
        }
        let answer = client::call(fleet.vms[1].callers, ("POST", &path), job, &body);
        let status = answer.map_or(0, |answer| answer.status());
        record.add(format!(
            "batch job {job} ({ITEMS} items) is sent to front-2: {status}"
        ));
        if status != 202 {
            return Err("a job wasn't accepted".to_owned());
        }
    }
    let accepted = Instant::now();
    if has_trouble {
        thread::sleep(DOWN_AFTER);
        store.set_down(true);
        record.add("the store is down");
        thread::sleep(DOWN_TIME);
        store.set_down(false);
        record.add("the store is back");
    }

    let mut unlisted = jobs.clone();
    while accepted.elapsed() < WAIT && !unlisted.is_empty() {
        thread::sleep(Duration::from_millis(500));
        unlisted.retain(|job| {
            client::read_results(fleet.vms[2].callers, job)
                .results
                .len()
                < ITEMS
        });
    }
    let arrivals = arrivals.lock().unwrap();
    for job in &unlisted {
        let page = client::read_results(fleet.vms[3].callers, job);
        let runs = arrivals
            .iter()
            .filter(|arrival| arrival.id.starts_with(job.as_str()))
            .count();
        record.add(format!(
            "front-4 answers {} and lists {} of {} results of {job} {:.1} s after its 202; {runs} of its items ran",
            page.status,
            page.results.len(),
            page.total,
            accepted.elapsed().as_secs_f64(),
        ));
    }
    record.add(format!("{} of {JOBS} jobs are left lying", unlisted.len()));
    let is_calm = arrivals.iter().all(|arrival| arrival.at.elapsed() > CALM);
    Ok(is_calm && !unlisted.is_empty())
}
