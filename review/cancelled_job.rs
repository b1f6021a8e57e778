//! A front stands still while clients end batch jobs that it runs.
//!
//! UNASKED: after it wakes, items of an ended job still run.

use std::{
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    client::{self, Record},
    fleet::{Fleet, Signal},
    server::{Arrival, Server, Work},
    store::Store,
    wire,
};

const FRONTS: usize = 5;
const SERVERS: usize = 2;
const ITEMS: usize = 25;

/// Jobs of a round, each of which is ended at another front.
const JOBS: usize = FRONTS - 1;

/// Rounds after which the case ends if the rule was kept.
const ROUNDS: usize = 3;

/// Time for which the front stands still, as in the site files.
const FREEZE: Duration = Duration::from_millis(3200);

/// Time from the start of the freeze to the ends of the jobs.
const END_AFTER: Duration = Duration::from_millis(800);

/// Bound `cancel_ms`.
const CANCEL_LIMIT: Duration = Duration::from_millis(3000);

/// Bound `contact_ms`.
const CONTACT_TIME: Duration = Duration::from_millis(3000);

/// Time after the freeze for which the servers are watched.
const WATCH: Duration = Duration::from_secs(9);

const WORK: Work = Work {
    slots: 4,
    events: 30,
    pause: Duration::from_millis(100),
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
        "{FRONTS} fronts are ready, {SERVERS} servers with 4 slots each"
    ));
    thread::sleep(Duration::from_secs(4));

    // A front that learns of ended jobs from other fronts rather than from a watch of its own.
    let watches = |name: &str| store.is_watching(name, "batch-ends");
    let mut late = 0;
    for round in 1..=ROUNDS {
        let runner = fleet.vms.iter().position(|vm| !watches(&vm.name));
        let runner = runner.ok_or("every front watches the store")?;
        late = play_round(record, has_trouble, (&fleet, runner, round), &arrivals)?;
        record.add(format!("{late} items of ended jobs ran too late"));
        if late > 0 {
            break;
        }
    }
    Ok(late > 0)
}

/// Has jobs run at one front, ends them while it stands still, and returns how many of their items ran too late.
fn play_round(
    record: &mut Record,
    has_trouble: bool,
    (fleet, runner, round): (&Fleet, usize, usize),
    arrivals: &Mutex<Vec<Arrival>>,
) -> Result<usize, String> {
    let name = &fleet.vms[runner].name;
    let jobs: Vec<String> = (0..JOBS)
        .map(|index| format!("7c41e09b52d6a{round:x}{index:02x}"))
        .collect();
    for job in &jobs {
        let body = client::submission(&client::item_ids(job, ITEMS));
        let path = format!("/lot/{job}");
        let answer = client::call(fleet.vms[runner].callers, ("POST", &path), job, &body);
        let status = answer.map_or(0, |answer| answer.status());
        record.add(format!(
            "batch job {job} ({ITEMS} items) is sent to {name}: {status}"
        ));
        if status != 202 {
            return Err("a job wasn't accepted".to_owned());
        }
    }
    thread::sleep(Duration::from_millis(1500));

    let frozen = Instant::now();
    if has_trouble {
        fleet.vms[runner].signal(Signal::Stop);
        record.add(format!("{name} stands still"));
    }
    thread::sleep(END_AFTER);
    let others = fleet.vms.iter().filter(|vm| vm.name != *name);
    let mut ended = Vec::new();
    for (job, vm) in jobs.iter().zip(others) {
        let target = format!("/lots/{job}");
        let answer = client::call(vm.callers, ("DELETE", &target), "", "");
        let status = answer.map_or(0, |answer| answer.status());
        record.add(format!("batch job {job} is ended at {}: {status}", vm.name));
        if status != 200 {
            return Err("an end wasn't acknowledged".to_owned());
        }
        ended.push((job, Instant::now()));
    }
    thread::sleep(FREEZE.saturating_sub(frozen.elapsed()));
    if has_trouble {
        fleet.vms[runner].signal(Signal::Continue);
        record.add(format!("{name} wakes"));
    }
    let woken = Instant::now();
    thread::sleep(WATCH);

    let mut late = 0;
    for arrival in arrivals.lock().unwrap().iter() {
        let job = ended.iter().find(|(job, _)| arrival.id.starts_with(*job));
        let Some((_, acknowledged)) = job else {
            continue; // Of an earlier round.
        };
        let is_late =
            arrival.at > *acknowledged + CANCEL_LIMIT && arrival.at > woken + CONTACT_TIME;
        late += usize::from(is_late);
        let note = if is_late { ", too late" } else { "" };
        record.add_at(
            arrival.at,
            format!("{} runs item {}{note}", arrival.server, arrival.id),
        );
    }
    Ok(late)
}
