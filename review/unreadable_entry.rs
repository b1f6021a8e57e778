//! Another writer leaves an entry that can't be read among those of the servers, and all processes are killed.
//!
//! RECOVER: nothing is served any more.

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

const FRONTS: usize = 3;
const SERVERS: usize = 3;
const REQUESTS: usize = 40;

/// Bound `recovery_s`.
const RECOVERY_TIME: Duration = Duration::from_secs(12);

/// Entry whose text can't be read: half of a surrogate pair.
const UNREADABLE: &str = r#""\ud8c3""#;

/// Entry whose text can be read, but names no server.
const READABLE: &str = r#""other""#;

const WORK: Work = Work {
    slots: 8,
    events: 1,
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
    record.add(format!("{FRONTS} fronts are ready, {SERVERS} servers"));
    thread::sleep(Duration::from_secs(3));
    let before = send_requests(record, &fleet, "a");
    if before * 4 < REQUESTS {
        return Err(format!(
            "{before} of {REQUESTS} requests served before the fault"
        ));
    }
    let entry = if has_trouble { UNREADABLE } else { READABLE };
    store.write("servers", "i-other", entry);
    record.add(format!("another writer's entry among the servers: {entry}"));
    thread::sleep(Duration::from_secs(1));
    fleet.vms.iter_mut().for_each(|vm| vm.kill());
    record.add("all processes are killed");
    thread::sleep(Duration::from_millis(700));
    for vm in &mut fleet.vms {
        vm.start().map_err(|error| error.to_string())?;
    }
    let back = Instant::now();
    record.add("all processes are started again");
    thread::sleep(RECOVERY_TIME.saturating_sub(back.elapsed()) + Duration::from_millis(500));
    let after = send_requests(record, &fleet, "b");
    record.add(format!(
        "served {before} of {REQUESTS} before, {after} of {REQUESTS} after"
    ));
    Ok(after * 4 < REQUESTS)
}

/// Sends requests to all fronts in turn; returns how many are served.
fn send_requests(record: &mut Record, fleet: &Fleet, prefix: &str) -> usize {
    let mut served = 0;
    for index in 0..REQUESTS {
        let vm = &fleet.vms[index % FRONTS];
        let id = format!("{prefix}{index:015x}");
        let answer = client::call(vm.callers, ("POST", "/query/1"), &id, "question");
        let status = answer.as_ref().map_or(0, |answer| answer.status());
        let is_signed = answer.is_ok_and(|answer| answer.header(wire::name("signature")).is_some());
        served += usize::from(status == 200 && is_signed);
        record.add(format!("request {id} is sent to {}: {status}", vm.name));
        thread::sleep(Duration::from_millis(50));
    }
    served
}
