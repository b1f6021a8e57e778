//! A server crashes and starts again under its id, with another version of its software. Shortly after, before its entry in
//! the store tells, a server of the first version crashes, and its streams go on.

use std::{
    path::Path,
    sync::{
        atomic::{AtomicBool, Ordering},
        mpsc, Arc,
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    fleet::{Deployment, Process, ServerPlan},
    http::{self, wire, StreamRecord},
    server::{unix_ms, HEARTBEAT},
    Outcome,
};

/// Servers; one of them crashes at a time.
const SERVERS: usize = 8;

/// Servers that crash, of one zone, whose requests go to servers of their zone first.
const FIRST: usize = 0;
const SECOND: usize = 3;

/// Time until a server that crashed runs again.
const DOWN: Duration = Duration::from_millis(200);

/// Time from the first crash to the second one.
const BETWEEN: Duration = Duration::from_millis(1200);

/// Time between the requests of the clients, and for which a client waits.
const PERIOD: Duration = Duration::from_millis(85);
const DEADLINE: Duration = Duration::from_secs(5);

/// Streams with events of two versions up to which the rule holds.
const ALLOWED: usize = 2;

pub fn run(folder: &Path, has_trouble: bool) -> Outcome {
    let machines = [
        ("front-a-1", "a", true),
        ("front-b-1", "b", true),
        ("front-c-1", "c", true),
        ("storage-a-1", "a", false),
    ];
    let deployment = Arc::new(Deployment::new(folder, &machines));
    deployment.write_config(|_| {});
    let zones = ["a", "b", "c"];
    let servers: Vec<ServerPlan> = (0..SERVERS)
        .map(|number| ServerPlan::new(number, zones[number % 3], Duration::from_millis(100), 44))
        .collect();
    let mut running: Vec<Process> = servers
        .iter()
        .map(|server| deployment.start_server(server, "v1", Duration::ZERO))
        .collect();
    if !deployment.wait_registered(&servers) {
        return Outcome::NotRun;
    }
    let _processes: Vec<Process> = (0..machines.len())
        .map(|index| deployment.start(index, true))
        .collect();
    if !deployment.wait_ready() {
        return Outcome::NotRun;
    }
    thread::sleep(Duration::from_secs(2));
    let stop = Arc::new(AtomicBool::new(false));
    let (results, streams) = mpsc::channel();
    let clients = {
        let (deployment, stop) = (deployment.clone(), stop.clone());
        thread::spawn(move || send_requests(&deployment, &stop, &results))
    };
    thread::sleep(Duration::from_secs(8));
    if has_trouble {
        deployment
            .record
            .add(format!("{} crashes", servers[FIRST].id));
        running[FIRST].kill();
        let crashed = Instant::now();
        thread::sleep(DOWN);
        // It writes its entry with its first heartbeat.
        running[FIRST] = deployment.start_server(&servers[FIRST], "v2", HEARTBEAT);
        thread::sleep(BETWEEN.saturating_sub(crashed.elapsed()));
        deployment
            .record
            .add(format!("{} crashes", servers[SECOND].id));
        running[SECOND].kill();
        thread::sleep(DOWN);
        running[SECOND] = deployment.start_server(&servers[SECOND], "v1", HEARTBEAT);
    }
    thread::sleep(Duration::from_secs(7));
    stop.store(true, Ordering::SeqCst);
    let _ = clients.join();
    judge(&deployment, &streams.into_iter().collect::<Vec<_>>())
}

fn judge(deployment: &Deployment, streams: &[Vec<StreamRecord>]) -> Outcome {
    let (mut mixed, mut complete) = (0, 0);
    for tries in streams {
        let events = tries.iter().flat_map(|stream| &stream.events);
        let mut versions: Vec<&str> = events
            .filter_map(|event| event.1.split(' ').next())
            .collect();
        let all = versions.clone();
        versions.sort_unstable();
        versions.dedup();
        complete += usize::from(tries.last().is_some_and(|stream| stream.complete));
        if versions.len() > 1 {
            mixed += 1;
            let change = all
                .windows(2)
                .position(|pair| pair[0] != pair[1])
                .unwrap_or(0);
            let ids: Vec<&str> = tries.iter().map(|stream| stream.id.as_str()).collect();
            deployment.record.add(format!(
                "mixed: the stream {} has events of {versions:?}, the second from event {}",
                ids.join(", "),
                change + 1
            ));
        }
    }
    deployment.record.add(format!(
        "{} streams: {complete} complete, {mixed} with events of two versions",
        streams.len()
    ));
    if streams.len() < 80 || complete * 2 < streams.len() {
        return Outcome::NotRun;
    }
    match mixed > ALLOWED {
        true => Outcome::Broken,
        false => Outcome::Held,
    }
}

fn send_requests(
    deployment: &Arc<Deployment>,
    stop: &AtomicBool,
    results: &mpsc::Sender<Vec<StreamRecord>>,
) {
    let mut next = Instant::now();
    let first = unix_ms();
    for number in 0..u64::MAX {
        if stop.load(Ordering::SeqCst) {
            return;
        }
        let (deployment, results) = (deployment.clone(), results.clone());
        thread::spawn(move || {
            let _ = results.send(send(&deployment, number, &format!("{first:x}{number:06x}")));
        });
        next += PERIOD;
        thread::sleep(next.saturating_duration_since(Instant::now()));
    }
}

/// Sends a request, and takes its stream up once more if it breaks off, at another front.
fn send(deployment: &Deployment, number: u64, id: &str) -> Vec<StreamRecord> {
    let until = Instant::now() + DEADLINE;
    let mut tries: Vec<StreamRecord> = Vec::new();
    for attempt in 0..2 {
        let machine = &deployment.machines[(number + attempt) as usize % 3];
        let id = format!("{id}{attempt:02x}");
        let last = tries
            .iter()
            .flat_map(|stream| &stream.events)
            .next_back()
            .map(|event| event.0.to_string());
        let begun = tries
            .first()
            .map(|stream| stream.id.clone())
            .unwrap_or_default();
        let more: Vec<(&str, &str)> = match &last {
            Some(last) => vec![
                ("Last-Event-Id", last.as_str()),
                (wire("taken-up"), begun.as_str()),
            ],
            None => Vec::new(),
        };
        deployment.record.add(format!(
            "client sends {id} to {} after {last:?}",
            machine.name
        ));
        let stream = http::read_stream(
            machine.callers.expect("front"),
            "/price/a",
            &id,
            "i9n73hh2b9wu3fexd9dn",
            &more,
            until,
        );
        deployment.record.add(format!(
            "client got {id} from {}: status {}, {} events, {}",
            machine.name,
            stream.status,
            stream.events.len(),
            if stream.complete {
                "complete"
            } else {
                stream.cause.as_str()
            }
        ));
        let is_over = stream.complete || Instant::now() >= until;
        tries.push(stream);
        if is_over {
            break;
        }
    }
    tries
}
