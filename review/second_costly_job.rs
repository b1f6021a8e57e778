//! Clients submit batch jobs within all limits whose items have many short headers. The machines' stand-in ends a process
//! that uses more than its memory and starts it again.

use std::{
    path::Path,
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc,
    },
    thread::{self, sleep},
    time::{Duration, Instant},
};

use crate::{
    fleet::{
        batch_route, config, describe, stream_request, stream_route, submission, Fleet, Record, DCSC_SERVING, SERVICE,
        ZONES,
    },
    http::{call, Request},
    machine::{broken_machines, Machine},
    server::{record_runs, Output, Server},
    store::Store,
    wire,
};

/// Largest number of items of a job.
const ITEMS: usize = 200;

/// Largest body and largest head of the configuration.
const BODY_LIMIT: usize = 4_194_304;
const HEAD_LIMIT: usize = 16_384;

/// Jobs, and the time between two of them.
const JOBS: usize = 6;
const JOB_PERIOD: Duration = Duration::from_secs(5);

/// Client attempts of a job: the first one and one retry at another node.
const ATTEMPTS: usize = 2;

pub fn run(folder: &Path, has_trouble: bool) -> bool {
    let record = Record::create(folder);
    let store = Store::start();
    let routes = vec![stream_route("alarm", false, 1), batch_route()];
    store.write("config", "main", config(7, routes));
    let output = |_: &_| Output { events: 10, pause: Duration::from_millis(20) };
    let servers: Vec<_> = (0..6)
        .map(|index| {
            let id = format!("i-{index}");
            Server::start((&id, ZONES[index % 3], SERVICE), &store, Duration::from_secs(5), output)
        })
        .collect();
    let fleet = Fleet::start(&store, &record, DCSC_SERVING, &ZONES);
    let stop = Arc::new(AtomicBool::new(false));
    let machines = Machine::watch_all(&fleet, DCSC_SERVING, &stop, &record);
    sleep(Duration::from_secs(1));

    let begin = Instant::now();
    let (mut sent, mut cut) = (0, 0);
    for number in 0..JOBS {
        sleep((JOB_PERIOD * number as u32).saturating_sub(begin.elapsed()));
        let streams = send_streams(&fleet, number);
        for attempt in 0..ATTEMPTS {
            let vm = &fleet.fronts[(number + attempt) % fleet.fronts.len()];
            let job = job(number, has_trouble);
            let response = call(vm.callers, &job, Duration::from_secs(4));
            let (length, text) = (job.body.len(), describe(&response));
            record.write(&format!("job {number}, {ITEMS} items in {length} bytes, at {}: {text}", vm.name));
            if response.status == 202 {
                break;
            }
        }
        let answers = streams.into_iter().map(|stream| stream.join().expect("client"));
        let answers: Vec<bool> = answers.collect();
        sent += answers.len();
        cut += answers.iter().filter(|is_complete| !**is_complete).count();
    }
    sleep(Duration::from_secs(2));
    stop.store(true, Ordering::SeqCst);
    record.write(&format!("{cut} of {sent} ordinary streams beside them got no complete answer"));
    let ends: Vec<u64> = machines.iter().map(Machine::ends).collect();
    machines.into_iter().for_each(|machine| machine.finish(&record));
    let is_broken = broken_machines(&ends);
    record_runs(&servers, &record);
    record.write(if is_broken { "Fault is broken" } else { "Fault held" });
    is_broken
}

/// Sends an ordinary stream to each machine every 100 ms for 2 s; each reports whether its answer was complete.
fn send_streams(fleet: &Fleet, number: usize) -> Vec<thread::JoinHandle<bool>> {
    let clients = (0..20).flat_map(|round| fleet.fronts.iter().enumerate().map(move |(index, vm)| (round, index, vm)));
    let clients = clients.map(|(round, index, vm)| {
        let address = vm.callers;
        thread::spawn(move || {
            sleep(Duration::from_millis(100 * round));
            let id = format!("9c41d07b{number:02x}{index:02x}{round:04x}");
            call(address, &stream_request("alarm", &id), Duration::from_secs(5)).is_complete
        })
    });
    clients.collect()
}

/// Returns a submission of the largest number of items; with `has_trouble`, each with as many headers as fit into the
/// largest head and all together into the largest body, else with bodies of about the same size.
fn job(number: usize, has_trouble: bool) -> Request {
    let mut job = submission(&format!("7c41e09b52d6{number:04x}"), 1);
    let share = BODY_LIMIT / ITEMS - 300;
    let tokens = wire::name("tokens");
    let items: Vec<String> = (0..ITEMS)
        .map(|item| {
            let (headers, body) = match has_trouble {
                true => (short_headers(share), "q83v".to_owned()),
                false => (String::new(), "q83v".repeat(share / 4)),
            };
            format!(
                "{{\"id\":\"e5b2{number:04x}{item:08x}\",\"path\":\"/batch/3/{item:04x}\",\"headers\":{{\"Model\":\"m\",\
                 \"{tokens}\":\"12,10\"{headers}}},\"body\":\"{body}\",\"tokens\":22}}"
            )
        })
        .collect();
    job.body = format!("{{\"items\":[{}]}}", items.join(",")).into_bytes();
    assert!(job.body.len() <= BODY_LIMIT, "body");
    job
}

/// Returns headers of up to `share` bytes of JSON that fit into the largest head beside the others.
fn short_headers(share: usize) -> String {
    let mut headers = String::new();
    let mut head = 400;
    for index in 0.. {
        let header = format!(",\"x{index}\":\"1\"");
        head += format!("x{index}: 1\r\n").len();
        if headers.len() + header.len() > share || head > HEAD_LIMIT {
            break;
        }
        headers.push_str(&header);
    }
    headers
}
