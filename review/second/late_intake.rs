//! Machines are stopped and started in turn while clients send streams of 4.5 s.

use std::{
    path::Path,
    sync::{Arc, Mutex},
    thread::{self, sleep},
    time::{Duration, Instant},
};

use crate::{
    fleet::{config, describe, stream_request, stream_route, Fleet, Record, Vm, GRACE, RIEGO_EBRO, SERVICE, ZONES},
    http::{call, Response},
    ingress::Ingress,
    server::{Output, Server},
    store::Store,
};

/// Three front machines in the clients' zone, one in each other zone.
const FRONTS: [&str; 5] = [ZONES[0], ZONES[0], ZONES[0], ZONES[1], ZONES[2]];

/// A stream of 4.5 s, which is within the 5 s of its route and its clients, with pauses within the route's 300 ms.
const OUTPUT: Output = Output { events: 45, pause: Duration::from_millis(100) };

/// Time between two requests of the zone's clients.
const REQUEST_PERIOD: Duration = Duration::from_millis(100);

/// Time between the stops of two machines, as `roll_term` has it on the small deployments.
const GAP: Duration = Duration::from_secs(2);

/// Time for which requests are sent.
const TRAFFIC: Duration = Duration::from_secs(16);

/// When the first machine is stopped.
const FIRST_STOP: Duration = Duration::from_secs(5);

struct Sent {
    id: String,
    vm: String,
    at: Instant,
    ended: Instant,
    response: Response,
}

pub fn run(folder: &Path, has_trouble: bool) -> bool {
    let record = Record::create(folder);
    let store = Store::start();
    store.write("config", "main", config(7, vec![stream_route("alarm", false, 1)]));
    let servers: Vec<_> = (0..9)
        .map(|index| {
            let id = format!("i-{index}");
            Server::start((&id, ZONES[index % 3], SERVICE), &store, Duration::from_secs(5), |_| OUTPUT)
        })
        .collect();
    let fleet = Fleet::start(&store, &record, RIEGO_EBRO, &FRONTS);
    let ingress = Ingress::start(fleet.fronts[..3].to_vec(), fleet.fronts[3..].to_vec(), record.clone());
    let stops: Arc<Mutex<Vec<(String, Instant)>>> = Arc::default();
    let begin = Instant::now();
    let rolling: Vec<_> = (0..3)
        .filter(|_| has_trouble)
        .map(|index: u32| {
            let (vm, record, stops) = (fleet.fronts[index as usize].clone(), record.clone(), stops.clone());
            thread::spawn(move || {
                sleep((FIRST_STOP + GAP * index).saturating_sub(begin.elapsed()));
                stop_and_start(&vm, &record, &stops);
            })
        })
        .collect();

    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let mut clients = Vec::new();
    for client in 0.. {
        let due = REQUEST_PERIOD * client;
        if due >= TRAFFIC {
            break;
        }
        sleep(due.saturating_sub(begin.elapsed()));
        let (ingress, sent) = (ingress.clone(), sent.clone());
        clients.push(thread::spawn(move || {
            let (vm, id) = (ingress.select(client as usize), format!("9c41d07be2a3{client:04x}"));
            let at = Instant::now();
            let response = call(vm.callers, &stream_request("alarm", &id), Duration::from_millis(5000));
            let ended = Instant::now();
            sent.lock().unwrap().push(Sent { id, vm: vm.name.clone(), at, ended, response });
        }));
    }
    clients.into_iter().chain(rolling).for_each(|running| running.join().expect("thread"));
    sleep(Duration::from_millis(300));

    let mut sent = std::mem::take(&mut *sent.lock().unwrap());
    sent.sort_by_key(|sent| sent.at);
    let runs: Vec<_> = servers.iter().flat_map(|server| server.runs.lock().unwrap().clone()).collect();
    let stops = stops.lock().unwrap().clone();
    let mut lost = 0;
    for sent in &sent {
        let run = runs.iter().find(|run| run.id == sent.id);
        let stop = stops.iter().find(|stop| stop.0 == sent.vm).map(|stop| stop.1);
        let since_stop = stop.and_then(|stop| sent.at.checked_duration_since(stop));
        let is_lost = run.is_some() && is_cut(sent) && is_counted(sent, stop);
        lost += usize::from(is_lost);
        record.write(&format!(
            "request {} sent at {:.3} to {}{}; ran at {}; after {:.3} s: {}{}",
            sent.id,
            (sent.at - record.start).as_secs_f64(),
            sent.vm,
            since_stop.map_or(String::new(), |time| format!(", {:.3} s after its SIGTERM", time.as_secs_f64())),
            run.map_or("no server".to_owned(), |run| run.server.clone()),
            (sent.ended - sent.at).as_secs_f64(),
            describe(&Response { body: Vec::new(), ..sent.response.clone() }),
            if is_lost { "  <- LOST" } else { "" },
        ));
    }
    record.write(&format!("{} requests, {lost} lost", sent.len()));
    record.write(if lost > 0 { "LOST is broken" } else { "LOST held" });
    lost > 0
}

/// Returns whether the connection ended without a complete answer before the client's deadline, 5 s.
fn is_cut(sent: &Sent) -> bool {
    let deadline = Duration::from_millis(4950);
    !sent.response.is_complete && sent.ended - sent.at < deadline
}

/// Returns whether the rule counts a cut request of a machine that was stopped: it was still open when SIGTERM came, or
/// was sent up to 1 s after the grace time, and isn't one that was sent no later than 3 s after SIGTERM and cut while its
/// server was still at work in the last sixth of the grace time. Without a stop, each cut counts.
fn is_counted(sent: &Sent, stop: Option<Instant>) -> bool {
    let Some(stop) = stop else {
        return true;
    };
    let is_around = sent.ended >= stop && sent.at <= stop + GRACE + Duration::from_secs(1);
    let is_excused = sent.at <= stop + Duration::from_secs(3) && sent.ended >= stop + GRACE * 5 / 6;
    is_around && !is_excused
}

/// Stops a machine's process by SIGTERM, kills it after the grace time if it still runs, and starts it again.
fn stop_and_start(vm: &Vm, record: &Record, stops: &Mutex<Vec<(String, Instant)>>) {
    let stop = Instant::now();
    stops.lock().unwrap().push((vm.name.clone(), stop));
    vm.signal("TERM");
    record.write(&format!("SIGTERM to {}", vm.name));
    while !vm.has_ended() {
        if stop.elapsed() >= GRACE {
            record.write(&format!("SIGKILL to {}", vm.name));
            vm.kill();
        }
        sleep(Duration::from_millis(5));
    }
    record.write(&format!("{} ended {:.3} s after SIGTERM", vm.name, stop.elapsed().as_secs_f64()));
    sleep(Duration::from_millis(300));
    vm.start_again();
    record.write(&format!("{} is started again", vm.name));
}
