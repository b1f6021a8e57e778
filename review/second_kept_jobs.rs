//! Clients submit many large batch jobs within all limits. The machines' stand-in ends a process that uses more than its
//! memory and starts it again.

use std::{
    path::Path,
    sync::{
        atomic::{AtomicBool, AtomicUsize, Ordering},
        Arc, Mutex,
    },
    thread::{self, sleep},
    time::{Duration, Instant},
};

use crate::{
    fleet::{
        batch_route, config, describe, job_call, stream_request, stream_route, submission, Fleet, Record, DCSC_SERVING,
        SERVICE, ZONES,
    },
    http::{call, Request},
    json::Json,
    machine::{broken_machines, Machine},
    server::{record_runs, Output, Server},
    store::Store,
    wire,
};

/// Items of a job, as on the sheet.
const ITEMS: usize = 10;

/// Largest body of the configuration, and that of the jobs without the disruption: the largest on the sheet.
const BODY_LIMIT: usize = 4_194_304;
const SHEET_BODY: usize = 290_000;

/// Jobs that are submitted, and clients that submit them.
const JOBS: usize = 150;
const CLIENTS: usize = 12;

/// Longest time for which jobs are submitted, and time after that.
const SUBMIT_TIME: Duration = Duration::from_secs(40);
const REST: Duration = Duration::from_secs(40);

pub fn run(folder: &Path, has_trouble: bool) -> bool {
    let record = Record::create(folder);
    let store = Store::start();
    let routes = vec![stream_route("alarm", false, 1), batch_route()];
    store.write("config", "main", config(7, routes));
    let output = |_: &_| Output { events: 10, pause: Duration::from_millis(5) };
    let servers: Vec<_> = (0..6)
        .map(|index| {
            let id = format!("i-{index}");
            Server::start((&id, ZONES[index % 3], SERVICE), &store, Duration::from_secs(5), output)
        })
        .collect();
    let fleet = Arc::new(Fleet::start(&store, &record, DCSC_SERVING, &ZONES));
    let stop = Arc::new(AtomicBool::new(false));
    let machines = Machine::watch_all(&fleet, DCSC_SERVING, &stop, &record);
    sleep(Duration::from_secs(1));

    let begin = Instant::now();
    let (next, accepted) = (Arc::new(AtomicUsize::new(0)), Arc::new(Mutex::new(Vec::new())));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (fleet, next, accepted, record) = (fleet.clone(), next.clone(), accepted.clone(), record.clone());
            thread::spawn(move || loop {
                let number = next.fetch_add(1, Ordering::SeqCst);
                if number >= JOBS || begin.elapsed() >= SUBMIT_TIME {
                    return;
                }
                let id = format!("7c41e09b52d6{number:04x}");
                let job = job(&id, if has_trouble { BODY_LIMIT } else { SHEET_BODY });
                for attempt in 0..20 {
                    let vm = &fleet.fronts[(client + attempt) % fleet.fronts.len()];
                    let response = call(vm.callers, &job, Duration::from_secs(4));
                    let (length, text) = (job.body.len(), describe(&response));
                    record.write(&format!("job {id}, {ITEMS} items in {length} bytes, at {}: {text}", vm.name));
                    if response.status == 202 {
                        accepted.lock().unwrap().push(id.clone());
                        break;
                    }
                    if begin.elapsed() >= SUBMIT_TIME {
                        return;
                    }
                    sleep(Duration::from_millis(500));
                }
            })
        })
        .collect();
    clients.into_iter().for_each(|client| client.join().expect("client"));
    let submitted = begin.elapsed().as_secs();
    let accepted = accepted.lock().unwrap().clone();
    let before: Vec<u64> = machines.iter().map(Machine::ends).collect();
    record.write(&format!(
        "{} jobs were accepted in {submitted} s; ends of processes so far: {before:?}",
        accepted.len()
    ));

    let rest = Instant::now();
    let (mut sent, mut cut) = (0, 0);
    while rest.elapsed() < REST {
        for vm in &fleet.fronts {
            let id = format!("9c41d07be2a3{sent:04x}");
            sent += 1;
            cut += usize::from(!call(vm.callers, &stream_request("alarm", &id), Duration::from_secs(5)).is_complete);
        }
        sleep(Duration::from_millis(300));
    }
    record.write(&format!("{cut} of {sent} ordinary streams got no complete answer in the {REST:?} after that"));
    let whole = accepted.iter().filter(|id| is_whole(&fleet, id)).count();
    record.write(&format!("{whole} of {} accepted jobs can be read whole at the end", accepted.len()));
    stop.store(true, Ordering::SeqCst);
    let after: Vec<u64> = machines.iter().map(Machine::ends).collect();
    machines.into_iter().for_each(|machine| machine.finish(&record));
    record.write(&format!("ends of processes by their memory: {before:?} while jobs were submitted, {after:?} in all"));
    let is_broken = broken_machines(&after);
    record_runs(&servers, &record);
    record.write(if is_broken { "Fault is broken" } else { "Fault held" });
    is_broken
}

/// Returns a submission whose items have equal bodies that make up `length` bytes.
fn job(id: &str, length: usize) -> Request {
    let mut job = submission(id, 1);
    let share = length / ITEMS - 300;
    let (tokens, body) = (wire::name("tokens"), "q83v".repeat(share / 4));
    let items = (0..ITEMS).map(|item| {
        format!(
            "{{\"id\":\"{id}{item:02x}\",\"path\":\"/batch/3/{item:04x}\",\"headers\":{{\"Model\":\"m\",\
             \"{tokens}\":\"540,400\"}},\"body\":\"{body}\",\"tokens\":940}}"
        )
    });
    let items: Vec<String> = items.collect();
    job.body = format!("{{\"items\":[{}]}}", items.join(",")).into_bytes();
    assert!(job.body.len() <= BODY_LIMIT, "body");
    job
}

/// Returns whether some machine lists all results of a job.
fn is_whole(fleet: &Fleet, id: &str) -> bool {
    fleet.fronts.iter().any(|vm| {
        let read = job_call("GET", &format!("/lots/{id}?after=0"));
        let page = call(vm.callers, &read, Duration::from_secs(2));
        page.status == 200 && Json::parse(&page.body).get("results").as_list().len() == ITEMS
    })
}
