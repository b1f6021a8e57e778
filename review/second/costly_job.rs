//! Clients submit batch jobs within all limits whose items have many short headers. The machines' stand-in ends a process
//! that uses more than its memory and starts it again.

use std::{
    path::Path,
    sync::{
        atomic::{AtomicBool, AtomicU64, Ordering},
        Arc,
    },
    thread::{self, sleep},
    time::{Duration, Instant},
};

use crate::{
    fleet::{
        batch_route, config, describe, stream_request, stream_route, submission, Fleet, Record, Vm, DCSC_SERVING,
        SERVICE, ZONES,
    },
    http::{call, Request},
    server::{Framing, Output, Server},
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

/// Delay after which an ended process is started again.
const RESTART_DELAY: Duration = Duration::from_millis(300);

/// Number of ends of one process, and of such machines, that break the rule.
const ENDS: u64 = 3;
const MACHINES: usize = 2;

pub fn run(folder: &Path, has_trouble: bool) -> bool {
    let record = Record::create(folder);
    let store = Store::start();
    let routes = vec![stream_route("alarm", false, 1), batch_route()];
    store.write("config", "main", config(7, routes));
    let output = |_: &_| Output { events: 10, pause: Duration::from_millis(20), framing: Framing::Chunks };
    let _servers: Vec<_> = (0..6)
        .map(|index| {
            let id = format!("i-{index}");
            Server::start((&id, ZONES[index % 3], SERVICE), &store, Duration::from_secs(5), output)
        })
        .collect();
    let fleet = Fleet::start(&store, &record, DCSC_SERVING, &ZONES);
    let stop = Arc::new(AtomicBool::new(false));
    let ends: Vec<Arc<AtomicU64>> = fleet.fronts.iter().map(|_| Arc::default()).collect();
    let machines = fleet.fronts.iter().zip(&ends).map(|(vm, ends)| {
        let (vm, ends, stop, record) = (vm.clone(), ends.clone(), stop.clone(), record.clone());
        thread::spawn(move || keep_within_memory(&vm, &ends, &stop, &record))
    });
    let machines: Vec<_> = machines.collect();
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
    machines.into_iter().for_each(|machine| machine.join().expect("machine"));

    record.write(&format!("{cut} of {sent} ordinary streams beside them got no complete answer"));
    for (vm, ends) in fleet.fronts.iter().zip(&ends) {
        let count = ends.load(Ordering::SeqCst);
        record.write(&format!("the process of {} ended {count} times by its memory", vm.name));
    }
    let many = ends.iter().filter(|ends| ends.load(Ordering::SeqCst) >= ENDS);
    let is_broken = many.count() >= MACHINES;
    record.write(if is_broken { "Fault is broken" } else { "Fault held" });
    is_broken
}

/// Ends a process that uses more than the memory of its machine, and starts it again after a short delay.
fn keep_within_memory(vm: &Vm, ends: &AtomicU64, stop: &AtomicBool, record: &Record) {
    let limit_kb = DCSC_SERVING.front_mb * 1024;
    let mut peak = 0;
    while !stop.load(Ordering::SeqCst) {
        let used = vm.resident_kb();
        peak = peak.max(used);
        if used > limit_kb || vm.has_ended() {
            record.write(&format!("{} uses {used} kB of {limit_kb} kB and is killed", vm.name));
            vm.kill();
            ends.fetch_add(1, Ordering::SeqCst);
            sleep(RESTART_DELAY);
            vm.start_again();
        }
        sleep(Duration::from_millis(2));
    }
    record.write(&format!("{} used {peak} kB of {limit_kb} kB at most", vm.name));
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
