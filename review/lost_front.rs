//! A front is lost for good right after it has accepted a batch job.
//!
//! LOST: no other machine ever runs the job.

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

/// Time for which the job may wait, as the configuration allows, with a margin of 8 s. It is also longer than
/// `finish_s`.
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
    let mut fleet = Fleet::start(&store, FRONTS)?;
    record.add(format!(
        "{FRONTS} fronts are ready, {SERVERS} servers with 8 slots each"
    ));
    thread::sleep(Duration::from_secs(4));

    let job = "7c41e09b52d6a3f8";
    let body = client::submission(&client::item_ids(job, ITEMS));
    let sent = Instant::now();
    let answer = client::call(
        fleet.vms[0].callers,
        ("POST", &format!("/lot/{job}")),
        job,
        &body,
    );
    let accepted = Instant::now();
    if has_trouble {
        fleet.vms[0].kill();
        record.add("front-1 is killed and never comes back");
    }
    let status = answer.map_or(0, |answer| answer.status());
    record.add_at(
        sent,
        format!("batch job {job} ({ITEMS} items) is sent to front-1"),
    );
    record.add_at(accepted, format!("the client gets {status}"));
    if status != 202 {
        return Err("the job wasn't accepted".to_owned());
    }

    let mut listed = 0;
    while accepted.elapsed() < WAIT && listed < ITEMS {
        thread::sleep(Duration::from_millis(500));
        let page = client::read_results(fleet.vms[1].callers, job);
        if page.status == 200 && page.results.len() != listed {
            listed = page.results.len();
            record.add(format!("front-2 lists {listed} of {} results", page.total));
        }
    }
    let page = client::read_results(fleet.vms[2].callers, job);
    record.add(format!(
        "front-3 answers {} and lists {} of {} results {:.1} s after the 202",
        page.status,
        page.results.len(),
        page.total,
        accepted.elapsed().as_secs_f64(),
    ));
    let arrivals = arrivals.lock().unwrap();
    for arrival in arrivals.iter() {
        record.add_at(
            arrival.at,
            format!("{} runs item {}", arrival.server, arrival.id),
        );
    }
    record.add(format!(
        "the servers ran {} items since the start",
        arrivals.len()
    ));
    let is_calm = arrivals.iter().all(|arrival| arrival.at.elapsed() > CALM);
    Ok(is_calm && page.results.len() < ITEMS)
}
