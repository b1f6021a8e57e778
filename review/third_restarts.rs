//! Restarts of a zone's fronts by SIGTERM, and the streams that are cut off beside them.
//!
//! With two of three fronts restarted one after the other, streams whose requests arrive late in the time that a front has for
//! its shutdown are begun and then cut off. With one front restarted, and servers whose answers have no length and that close
//! idle connections after 2 s, complete streams are cut off at their end.

use std::{
    path::Path,
    sync::{
        atomic::{AtomicBool, Ordering},
        mpsc, Arc, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    fleet::{Deployment, Process, ServerPlan, KILL, TERM},
    http::{self, StreamRecord},
    server::unix_ms,
    Outcome,
};

/// What is restarted, and how the servers answer.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// Fronts that are restarted, one after the other.
    pub restarted: usize,
    /// Events of a stream, one each 100 ms.
    pub events: u64,
    /// Seconds after which servers close idle connections; 0 for never.
    pub idle_limit: u64,
}

/// Two fronts in turn, and streams of 4.5 s.
pub const IN_TURN: Plan = Plan {
    restarted: 2,
    events: 45,
    idle_limit: 0,
};

/// One front, and streams of 2.5 s that end with their connections.
pub const WITHOUT_LENGTH: Plan = Plan {
    restarted: 1,
    events: 25,
    idle_limit: 2,
};

/// Time between two restarts.
const GAP: Duration = Duration::from_millis(1300);

/// Time that a process has from SIGTERM to SIGKILL.
const GRACE: Duration = Duration::from_secs(8);

/// Time that clients wait for a stream, and the route's timeout.
const DEADLINE: Duration = Duration::from_secs(5);

/// Time between two requests of the clients.
const PERIOD: Duration = Duration::from_millis(90);

/// Last time after SIGTERM at which a request is sent that the rule excuses if its server is still at work late.
const EXCUSED: Duration = Duration::from_secs(3);

/// Lost requests from which the rule counts as broken here; the rule itself names no number.
const LOST: usize = 3;

/// A client's request and what came of it.
struct Sent {
    machine: usize,
    at: Instant,
    end: Instant,
    stream: StreamRecord,
}

pub fn run(folder: &Path, has_trouble: bool, plan: Plan) -> Outcome {
    let fronts = [
        ("front-a-1", "a", true),
        ("front-a-2", "a", true),
        ("front-a-3", "a", true),
        ("front-b-1", "b", true),
    ];
    let machines = [&fronts[..], &[("storage-b-1", "b", false)]].concat();
    let deployment = Arc::new(Deployment::new(folder, &machines));
    deployment.write_config(|_| {});
    let servers: Vec<ServerPlan> = (0..9)
        .map(|number| {
            let (zone, pause) = (["a", "b"][number % 2], Duration::from_millis(100));
            ServerPlan {
                idle_limit: plan.idle_limit,
                ..ServerPlan::new(number, zone, pause, plan.events)
            }
        })
        .collect();
    let _servers: Vec<Process> = servers
        .iter()
        .map(|server| deployment.start_server(server, "v1", Duration::ZERO))
        .collect();
    if !deployment.wait_registered(&servers) {
        return Outcome::NotRun;
    }
    let mut processes: Vec<Process> = (0..machines.len())
        .map(|index| deployment.start(index, true))
        .collect();
    if !deployment.wait_ready() {
        return Outcome::NotRun;
    }
    thread::sleep(Duration::from_secs(2));
    let entrance = Arc::new(Entrance::default());
    let stop = Arc::new(AtomicBool::new(false));
    let probing = entrance.clone().probe(&deployment, 0..3, &stop);
    let (results, sent) = mpsc::channel();
    let clients = {
        let (deployment, entrance, stop) = (deployment.clone(), entrance, stop.clone());
        thread::spawn(move || send_requests(&deployment, &entrance, &stop, &results))
    };
    thread::sleep(Duration::from_secs(3));
    let mut terminated = Vec::new();
    let begun = Instant::now();
    for index in 0..plan.restarted {
        thread::sleep((begun + GAP * index as u32).saturating_duration_since(Instant::now()));
        if has_trouble {
            deployment
                .record
                .add(format!("SIGTERM to {}", machines[index].0));
            processes[index].signal(TERM);
        }
        terminated.push(Instant::now());
    }
    for index in 0..plan.restarted {
        let has_ended = processes[index].wait(terminated[index] + GRACE);
        if has_trouble {
            if !has_ended {
                deployment
                    .record
                    .add(format!("SIGKILL to {}", machines[index].0));
                processes[index].signal(KILL);
            }
            processes[index].kill();
            deployment
                .record
                .add(format!("{} has ended", machines[index].0));
            processes[index] = deployment.start(index, false);
        }
    }
    let until = begun + GRACE + Duration::from_secs(2);
    thread::sleep(until.saturating_duration_since(Instant::now()));
    thread::sleep(Duration::from_secs(2));
    stop.store(true, Ordering::SeqCst);
    let _ = (clients.join(), probing.join());
    let sent: Vec<Sent> = sent.into_iter().collect();
    // Without a SIGTERM no work is planned, so that the rule says nothing.
    let planned = if has_trouble { &terminated[..] } else { &[] };
    judge(&deployment, &sent, planned, plan)
}

/// Looks for requests that the rule doesn't allow to be cut off.
fn judge(deployment: &Deployment, sent: &[Sent], terminated: &[Instant], plan: Plan) -> Outcome {
    let ran = deployment.record.server_lines();
    let has_run = |id: &str| ran.iter().any(|line| line.contains(&format!("runs {id} ")));
    let (mut lost, mut excused, mut complete) = (0, 0, 0);
    for request in sent {
        if request.stream.complete {
            complete += 1;
            continue;
        }
        let Some(&stopped) = terminated.get(request.machine) else {
            continue;
        };
        let is_planned =
            request.end >= stopped && request.at <= stopped + GRACE + Duration::from_secs(1);
        let is_cut = request.stream.status == 200 || request.stream.status == 0;
        if !is_planned || !is_cut || !has_run(&request.stream.id) {
            continue;
        }
        // At its deadline, or at its server in the last sixth of the time for the shutdown and sent early.
        let is_late = request.end >= request.at + DEADLINE - Duration::from_millis(100);
        let is_early = request.at <= stopped + EXCUSED && request.end >= stopped + GRACE * 5 / 6;
        let since = |time: Instant| time.saturating_duration_since(stopped).as_millis();
        let verdict = if is_late || is_early {
            "excused"
        } else {
            "lost"
        };
        deployment.record.add(format!(
            "{verdict}: {} sent {} ms after SIGTERM, cut off {} ms after it with {} of {} events: {}",
            request.stream.id,
            since(request.at),
            since(request.end),
            request.stream.events.len(),
            plan.events,
            request.stream.cause
        ));
        match is_late || is_early {
            true => excused += 1,
            false => lost += 1,
        }
    }
    let served = ran
        .iter()
        .filter(|line| line.contains(" complete "))
        .count();
    let refused = sent
        .iter()
        .filter(|request| request.stream.status >= 400)
        .count();
    deployment.record.add(format!(
        "{} requests: {complete} complete, {refused} refused, {served} completed by servers, {excused} cut off but excused, {lost} lost",
        sent.len()
    ));
    if sent.len() < 100 || served * 2 < sent.len() {
        return Outcome::NotRun;
    }
    match lost >= LOST {
        true => Outcome::Broken,
        false => Outcome::Held,
    }
}

/// The platform's choice of a front of a zone for new connections.
#[derive(Default)]
struct Entrance {
    misses: Mutex<Vec<u32>>, // In a row, by front.
}

impl Entrance {
    /// Asks the fronts once a second whether they are ready.
    fn probe(
        self: Arc<Self>,
        deployment: &Arc<Deployment>,
        fronts: std::ops::Range<usize>,
        stop: &Arc<AtomicBool>,
    ) -> thread::JoinHandle<()> {
        *self.misses.lock().unwrap() = vec![0; fronts.len()];
        let (deployment, stop) = (deployment.clone(), stop.clone());
        thread::spawn(move || {
            while !stop.load(Ordering::SeqCst) {
                let asked = Instant::now();
                for index in fronts.clone() {
                    let is_ready = deployment.is_ready(index);
                    let mut misses = self.misses.lock().unwrap();
                    misses[index] = if is_ready { 0 } else { misses[index] + 1 };
                    if misses[index] == 2 {
                        deployment.record.add(format!(
                            "{} is out of rotation",
                            deployment.machines[index].name
                        ));
                    }
                }
                thread::sleep(Duration::from_secs(1).saturating_sub(asked.elapsed()));
            }
        })
    }

    /// Returns the front for a new connection. If fewer than half of the zone's fronts are in rotation, all are used; if
    /// none is, the one of the other zone.
    fn choose(&self, number: u64) -> usize {
        let misses = self.misses.lock().unwrap();
        let all: Vec<usize> = (0..misses.len()).collect();
        let ready: Vec<usize> = all
            .iter()
            .copied()
            .filter(|&index| misses[index] < 2)
            .collect();
        let chosen = match ready.len() {
            0 => return all.len(),
            count if count * 2 < all.len() => &all,
            _ => &ready,
        };
        let hash = number.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 33;
        chosen[hash as usize % chosen.len()]
    }
}

fn send_requests(
    deployment: &Arc<Deployment>,
    entrance: &Entrance,
    stop: &AtomicBool,
    results: &mpsc::Sender<Sent>,
) {
    let mut next = Instant::now();
    let first = unix_ms();
    for number in 0.. {
        if stop.load(Ordering::SeqCst) {
            return;
        }
        let machine = entrance.choose(number);
        let (deployment, results) = (deployment.clone(), results.clone());
        thread::spawn(move || {
            let id = format!("{first:x}{number:06x}");
            let (at, address) = (
                Instant::now(),
                deployment.machines[machine].callers.expect("front"),
            );
            let name = &deployment.machines[machine].name;
            deployment
                .record
                .add(format!("client sends {id} to {name}"));
            let stream = http::read_stream(
                address,
                "/note/a",
                &id,
                "i9n73hh2b9wu3fexd9dn",
                &[],
                at + DEADLINE,
            );
            deployment.record.add(format!(
                "client got {id} from {name}: status {}, {} events, {}",
                stream.status,
                stream.events.len(),
                if stream.complete {
                    "complete"
                } else {
                    stream.cause.as_str()
                }
            ));
            let _ = results.send(Sent {
                machine,
                at,
                end: Instant::now(),
                stream,
            });
        });
        next += PERIOD;
        thread::sleep(next.saturating_duration_since(Instant::now()));
    }
}
