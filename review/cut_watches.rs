//! The platform's store cuts off watches that wait for long, and the entry of a server is removed.
//!
//! DRAIN: fronts go on sending requests to the server, until it ends in the middle of their answers.

use std::{
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex,
    },
    thread::{self, JoinHandle},
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
const SERVERS: usize = 6;

/// Clients of each front.
const CLIENTS: usize = 3;

/// Time after which a watch that waits is cut off.
const CUT_AFTER: Duration = Duration::from_secs(8);

/// Age of the oldest watch at which the entry of the server is removed: longer than `contact_ms` after the last cut.
const REMOVE_AT: Duration = Duration::from_millis(7000);

/// Longest wait for a watch of that age.
const WATCH_LIMIT: Duration = Duration::from_secs(40);

/// Bound `drain_ms`.
const DRAIN_LIMIT: Duration = Duration::from_millis(2000);

/// Bound `contact_ms`.
const CONTACT_TIME: Duration = Duration::from_millis(3000);

/// Time for which the server goes on serving after its entry was removed.
const SERVE_ON: Duration = Duration::from_secs(7);

/// Pause of each client between two requests.
const CLIENT_PAUSE: Duration = Duration::from_millis(50);

const WORK: Work = Work {
    slots: 8,
    events: 10,
    pause: Duration::from_millis(30),
};

/// A request that got no complete answer: its id, when, and what the client saw.
type BrokenAnswer = (String, Instant, String);

/// Runs the case.
pub fn run(record: &mut Record, has_trouble: bool) -> Result<bool, String> {
    let arrivals: Arc<Mutex<Vec<Arrival>>> = Arc::default();
    let store = Store::new();
    store.write("config", "main", wire::CONFIG);
    if has_trouble {
        store.cut_watches(CUT_AFTER);
    }
    let servers: Vec<Arc<Server>> = (0..SERVERS)
        .map(|index| Server::start(&format!("i-{index}"), WORK, arrivals.clone()))
        .collect();
    // All in one zone, so that no front prefers some of them.
    for server in &servers {
        store.write("servers", &server.id, &server.entry("zone-1"));
    }
    let fleet = Fleet::start(&store, FRONTS)?;
    record.add(format!("{FRONTS} fronts are ready, {SERVERS} servers"));
    let stopped = Arc::new(AtomicBool::new(false));
    let clients = start_clients(&fleet, &stopped);
    thread::sleep(Duration::from_secs(10));
    let start = Instant::now();
    while store.longest_watch("batch-ends") < REMOVE_AT {
        if start.elapsed() > WATCH_LIMIT {
            return Err("no watch waits for long".to_owned());
        }
        thread::sleep(Duration::from_millis(20));
    }
    let leaving = &servers[0];
    store.remove("servers", &leaving.id);
    let removed = Instant::now();
    record.add_at(
        removed,
        format!(
            "the entry of {} is removed, the server goes on serving",
            leaving.id
        ),
    );
    thread::sleep(SERVE_ON);
    leaving.end();
    record.add(format!("{} ends", leaving.id));
    thread::sleep(Duration::from_secs(1));
    stopped.store(true, Ordering::Relaxed);

    let cuts = store.cuts();
    for cut in &cuts {
        record.add_at(*cut, "the store cuts off a watch");
    }
    let is_calm = |at: Instant| {
        cuts.iter()
            .all(|cut| *cut > at || at.duration_since(*cut) > CONTACT_TIME)
    };
    if !is_calm(removed) {
        return Err("the entry was removed too soon after a cut".to_owned());
    }
    let mut late = 0;
    let arrivals = arrivals.lock().unwrap();
    let after = |arrival: &&Arrival| arrival.server == leaving.id && arrival.at > removed;
    for arrival in arrivals.iter().filter(after) {
        let is_late = arrival.at > removed + DRAIN_LIMIT && is_calm(arrival.at);
        late += usize::from(is_late);
        let note = if is_late { ", too late" } else { "" };
        record.add_at(
            arrival.at,
            format!("request {} reaches {}{note}", arrival.id, arrival.server),
        );
    }
    for client in clients {
        for (id, at, seen) in client.join().unwrap_or_default() {
            record.add_at(at, format!("request {id} has no complete answer: {seen}"));
        }
    }
    record.add(format!(
        "{late} requests reached {} too late, with the store calm",
        leaving.id
    ));
    Ok(late > 0)
}

/// Starts the clients of each front, each of which sends requests one after the other.
fn start_clients(fleet: &Fleet, stopped: &Arc<AtomicBool>) -> Vec<JoinHandle<Vec<BrokenAnswer>>> {
    let vms = fleet.vms.iter().enumerate();
    let vms = vms
        .flat_map(|vm| std::iter::repeat_n(vm, CLIENTS))
        .enumerate();
    let clients = vms.map(|(client, (index, vm))| {
        let (callers, stopped) = (vm.callers, stopped.clone());
        thread::spawn(move || {
            let mut broken = Vec::new();
            for number in 0.. {
                if stopped.load(Ordering::Relaxed) {
                    break;
                }
                let id = format!("{:02x}{client:02x}{number:012x}", index + 1);
                let answer = client::call(callers, ("POST", "/stream/1"), &id, "question");
                let seen = match answer {
                    Ok(answer) if answer.status() == 200 => String::new(),
                    Ok(answer) => format!("status {}", answer.status()),
                    Err(error) => error.to_string(),
                };
                if !seen.is_empty() {
                    broken.push((id, Instant::now(), seen));
                }
                thread::sleep(CLIENT_PAUSE);
            }
            broken
        })
    });
    clients.collect()
}
