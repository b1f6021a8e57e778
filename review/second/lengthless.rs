//! A machine is stopped while it forwards streams that have neither a length nor chunks.

use std::{
    path::Path,
    sync::{Arc, Mutex},
    thread::{self, sleep},
    time::{Duration, Instant},
};

use crate::{
    fleet::{config, describe, stream_request, stream_route, Fleet, Record, GRACE, RIEGO_EBRO, SERVICE, ZONES},
    http::{call, Response},
    server::{Framing, Output, Server},
    store::Store,
};

/// A stream of 2.5 s with pauses within the route's 300 ms, which ends with its connection.
const OUTPUT: Output = Output { events: 25, pause: Duration::from_millis(100), framing: Framing::Connection };

/// Time after which the servers close idle connections, as their answers state.
const IDLE: Duration = Duration::from_secs(2);

const REQUESTS: usize = 10;

pub fn run(folder: &Path, has_trouble: bool) -> bool {
    let record = Record::create(folder);
    let store = Store::start();
    store.write("config", "main", config(7, vec![stream_route("alarm", false, 1)]));
    let servers: Vec<_> = (0..4)
        .map(|index| {
            let id = format!("i-{index}");
            Server::start((&id, ZONES[index % 3], SERVICE), &store, IDLE, |_| OUTPUT)
        })
        .collect();
    let fleet = Fleet::start(&store, &record, RIEGO_EBRO, &ZONES);
    let vm = fleet.fronts[0].clone();
    sleep(Duration::from_secs(1));

    let answered: Arc<Mutex<Vec<(String, Response, Instant)>>> = Arc::default();
    let clients: Vec<_> = (0..REQUESTS)
        .map(|client| {
            let (answered, address) = (answered.clone(), vm.callers);
            sleep(Duration::from_millis(20));
            thread::spawn(move || {
                let id = format!("9c41d07be2a3{client:04x}");
                let response = call(address, &stream_request("alarm", &id), Duration::from_millis(5000));
                answered.lock().unwrap().push((id, response, Instant::now()));
            })
        })
        .collect();
    record.write(&format!("{REQUESTS} streams were asked for at {}", vm.name));
    sleep(Duration::from_millis(300));
    let stop = Instant::now();
    if has_trouble {
        vm.signal("TERM");
        record.write(&format!("SIGTERM to {}", vm.name));
    }
    clients.into_iter().for_each(|client| client.join().expect("client"));

    let runs: Vec<_> = servers.iter().flat_map(|server| server.runs.lock().unwrap().clone()).collect();
    let (mut cut, mut lost) = (0, 0);
    for (id, response, ended) in answered.lock().unwrap().iter() {
        let run = runs.iter().find(|run| run.id == *id);
        let is_written = run.is_some_and(|run| run.ended.is_some());
        let is_cut = is_written && !response.is_complete;
        cut += usize::from(is_cut);
        // The rule speaks of planned work.
        lost += usize::from(is_cut && has_trouble && *ended < stop + GRACE);
        record.write(&format!(
            "request {id}: ran at {}, whose output was {}; the client got {} of {} events: {}",
            run.map_or("no server", |run| run.server.as_str()),
            if is_written { "written whole and ended regularly" } else { "not written whole" },
            String::from_utf8_lossy(&response.body).matches("data: ").count(),
            OUTPUT.events,
            describe(&Response { body: Vec::new(), ..response.clone() }),
        ));
    }
    record.write(&format!(
        "{cut} of {REQUESTS} complete outputs reached their clients as broken off, {lost} around planned work"
    ));
    record.write(if lost > 0 { "LOST is broken" } else { "LOST held" });
    lost > 0
}
