//! The requests of all VMs to a server that is warming up stay within the bound of its service, and use its rate, through
//! partitions, restarts, pauses and lost messages.

use std::time::{
    Duration,
    Instant, //
};

use boragerill::{
    member::{
        HEARTBEAT_TIMEOUT,
        USAGE_TIMEOUT, //
    },
    rank::score,
    rate_limiter::FleetView,
    send_tables::SendTables,
    server_limit::{
        ProcessKey,
        SendAdmission,
        SendClass,
        SendReport,
        SendTerms, //
    },
    warmup::{
        ListedProcess,
        ServiceWarmup,
        StatedWarmup,
        WarmupCause,
        WarmupGate,
        WarmupReport,
        WarmupTolerance, //
    }, //
};
use proptest::{
    prelude::*,
    test_runner::RngSeed, //
};
use proptest_state_machine::{
    prop_state_machine,
    ReferenceStateMachine,
    StateMachineTest, //
};

const SERVICE: u64 = 5;
const STEP: Duration = Duration::from_millis(5);
const STEPS_PER_S: u32 = 200;
const WINDOW: Duration = Duration::from_secs(1);

/// Warm-up of the service, as deployments configure it.
const WARMUP: ServiceWarmup = ServiceWarmup {
    time: Duration::from_secs(3),
    requests_per_s: 15.0,
};

/// Requests that a server that is warming up may get in a window.
const BOUND: usize = 27;

/// Interval between two attempts to connect to a server that is unreachable.
const PROBE_STEPS: u32 = 60;

/// Longest time from a change of an entry until all VMs know it, unless they are paused.
const LIST_STEPS: u32 = 10;

/// Most requests that wait at one VM.
const MAX_WAITING: u32 = 30;

/// Entry of a server in the store.
#[derive(Clone, Copy, Debug)]
struct ModelEntry {
    start: u64,
    revision: u64,
    warm_at: Instant,
}

/// Length of the periods of a quota of processor time.
const QUOTA_STEPS: u32 = 20;

/// A server of the model. While it is down, connections to it fail.
#[derive(Clone, Debug)]
struct ModelServer {
    up_at: Instant,
    warm_at: Instant,   // End of the warm-up.
    cold_from: Instant, // From when the bound is checked.
    entry: ModelEntry,
    is_registered: bool,    // Whether the present process has written its entry.
    written_at: u32,        // Step in which the entry was written.
    arrivals: Vec<Instant>, // While it is warming up.
}

/// One VM of the model.
struct ModelVm {
    tables: SendTables,
    incarnation: u64,
    last_heartbeats: Vec<Instant>, // By VM.
    frozen_until: Instant,
    unreachable: Vec<bool>, // By server.
    listed: Vec<u64>,       // Last revision of each server's entry that the VM knows.
    waiting: u32,
    inbox: Vec<ModelMessage>, // Received while the VM was paused.
}

/// A message between VMs.
#[derive(Clone)]
struct ModelMessage {
    from: usize,
    incarnation: u64,
    sent_at: Instant,
    reports: Vec<(ProcessKey, WarmupReport)>,
    sends: Vec<(ProcessKey, u64)>,
}

impl ModelServer {
    fn write_entry(&mut self, start: u64, step: u32) {
        self.entry = ModelEntry {
            start,
            revision: self.entry.revision + 1,
            warm_at: self.warm_at,
        };
        self.written_at = step;
    }
}

/// Simulated fleet, with messages that take one step unless a test states otherwise.
struct FleetModel {
    vms: Vec<ModelVm>,
    servers: Vec<ModelServer>,
    sides: (usize, usize), // VMs below the first index, between both, and from the second index on are partitioned.
    lossy_until: Instant,
    messages: Vec<ModelMessage>,
    gives_up: bool,     // Whether requests that no server admits at once go elsewhere.
    awake: u32,         // Steps of each QUOTA_STEPS in which a VM runs.
    transfer: Duration, // Time from a message's sending to its receipt.
    now: Instant,
    steps: u32,
    served: u64,
}

impl FleetModel {
    /// Returns a fleet that has known its servers for long.
    fn new(vms: usize, servers: usize) -> FleetModel {
        let now = Instant::now();
        let entry = ModelEntry {
            start: 1,
            revision: 1,
            warm_at: now,
        };
        let server = || ModelServer {
            entry,
            is_registered: true,
            up_at: now,
            warm_at: now,
            cold_from: now,
            written_at: 0,
            arrivals: Vec::new(),
        };
        let mut model = FleetModel {
            vms: Vec::new(),
            servers: (0..servers).map(|_| server()).collect(),
            sides: (0, 0),
            lossy_until: now,
            messages: Vec::new(),
            gives_up: false,
            awake: QUOTA_STEPS,
            transfer: STEP,
            now,
            steps: 0,
            served: 0,
        };
        model.vms = (0..vms).map(|_| model.new_vm(vms, 1)).collect();
        model.run(2 * STEPS_PER_S, |_, _| 0);
        model
    }

    fn new_vm(&self, vms: usize, incarnation: u64) -> ModelVm {
        let tolerance = WarmupTolerance::default();
        let mut tables = SendTables::new(tolerance, self.now);
        tables.warmups.set_services([(SERVICE, WARMUP)]);
        tables.warmups.observe(self.list(), self.now);
        tables.apply_warmups(self.now);
        let never = self.now - USAGE_TIMEOUT;
        ModelVm {
            tables,
            incarnation,
            last_heartbeats: vec![never; vms],
            frozen_until: self.now,
            unreachable: vec![false; self.servers.len()],
            listed: self
                .servers
                .iter()
                .map(|server| server.entry.revision)
                .collect(),
            waiting: 0,
            inbox: Vec::new(),
        }
    }

    /// Returns the present list of servers.
    fn list(&self) -> Vec<ListedProcess> {
        let servers = self.servers.iter().enumerate();
        servers
            .map(|(key, server)| ListedProcess {
                process: (key as u32, server.entry.start),
                service: SERVICE,
                revision: server.entry.revision,
                stated: Some(StatedWarmup {
                    remaining: server.entry.warm_at.saturating_duration_since(self.now),
                    is_reported: false,
                }),
                received: self.now,
            })
            .collect()
    }

    /// Ends the process of a server; its next one is up after some steps, and warming up. The bound is checked from when
    /// all VMs know its entry: those that send nothing meanwhile don't notice the restart.
    fn restart_server(&mut self, server: usize, down_steps: u32) {
        let up_at = self.now + STEP * down_steps;
        let server = &mut self.servers[server];
        server.up_at = up_at;
        server.warm_at = up_at + WARMUP.time;
        server.cold_from = up_at + STEP * (LIST_STEPS + 2);
        server.is_registered = false;
        server.arrivals.clear();
    }

    /// Lets a running server become slow again.
    fn slow_down(&mut self, server: usize) {
        let server = &mut self.servers[server];
        if self.now < server.up_at || !server.is_registered {
            return;
        }
        server.warm_at = self.now + WARMUP.time;
        server.cold_from = self.now + STEP * (LIST_STEPS + 2);
        server.arrivals.clear();
        server.write_entry(server.entry.start, self.steps);
    }

    /// Lets a server state that it is warm.
    fn warm_up(&mut self, server: usize) {
        let server = &mut self.servers[server];
        if self.now < server.up_at || !server.is_registered {
            return;
        }
        server.warm_at = self.now;
        server.arrivals.clear();
        server.write_entry(server.entry.start, self.steps);
    }

    /// Lets the servers whose processes have started write their entries.
    fn register_servers(&mut self) {
        for server in &mut self.servers {
            if !server.is_registered && self.now >= server.up_at {
                server.is_registered = true;
                server.write_entry(server.entry.start + 1, self.steps);
            }
        }
    }

    fn reaches(&self, a: usize, b: usize) -> bool {
        let side = |vm: usize| usize::from(vm >= self.sides.0) + usize::from(vm >= self.sides.1);
        side(a) == side(b)
    }

    fn is_frozen(&self, vm: usize) -> bool {
        let phase = score(1, vm as u64) as u32 % QUOTA_STEPS;
        let is_throttled = (self.steps + phase) % QUOTA_STEPS >= self.awake;
        is_throttled || self.now < self.vms[vm].frozen_until
    }

    fn run(&mut self, steps: u32, arrivals: impl Fn(usize, u32) -> u32) {
        for _ in 0..steps {
            self.step(&arrivals);
        }
    }

    /// Delivers the messages of the last step and changed lists; the VMs then try to send the requests that wait and
    /// the ones that arrive, as `arrivals` states.
    fn step(&mut self, arrivals: impl Fn(usize, u32) -> u32) {
        self.now += STEP;
        self.steps += 1;
        self.register_servers();
        let (now, transfer) = (self.now, self.transfer);
        let arrived = |message: &ModelMessage| message.sent_at + transfer <= now;
        let sent = std::mem::take(&mut self.messages).into_iter();
        let (messages, in_transfer): (Vec<ModelMessage>, Vec<ModelMessage>) =
            sent.partition(arrived);
        self.messages = in_transfer;
        for vm in 0..self.vms.len() {
            let lossy = self.now < self.lossy_until;
            for message in &messages {
                let lost = lossy && (self.steps as usize + vm + message.from) % 3 == 0;
                if vm != message.from && self.reaches(vm, message.from) && !lost {
                    self.vms[vm].inbox.push(message.clone());
                }
            }
            if self.is_frozen(vm) {
                continue;
            }
            // A VM that goes on after a pause sends before it has read what it received meanwhile.
            self.record_activity(vm);
            self.vms[vm].waiting += arrivals(vm, self.steps);
            self.vms[vm].waiting = self.vms[vm].waiting.min(MAX_WAITING);
            self.probe(vm);
            self.send_waiting(vm);
            if self.gives_up {
                self.vms[vm].waiting = 0;
            }
            for message in std::mem::take(&mut self.vms[vm].inbox) {
                self.deliver(vm, &message);
            }
            self.fetch_list(vm);
        }
        for vm in 0..self.vms.len() {
            if !self.is_frozen(vm) {
                self.emit(vm);
            }
        }
    }

    fn record_activity(&mut self, vm: usize) {
        let now = self.now;
        let tables = &mut self.vms[vm].tables;
        tables.gate.observe_fleet(2, true, now);
        if tables.record_activity(now) {
            tables.apply_warmups(now);
        }
    }

    /// Lets a VM fetch the list when entries have changed.
    fn fetch_list(&mut self, vm: usize) {
        let delay = (score(u64::from(self.steps / 40), vm as u64) % u64::from(LIST_STEPS)) as u32;
        let is_behind = self
            .servers
            .iter()
            .zip(&self.vms[vm].listed)
            .any(|(server, listed)| {
                server.entry.revision > *listed && self.steps >= server.written_at + delay
            });
        if !is_behind {
            return;
        }
        let (list, now) = (self.list(), self.now);
        let target = &mut self.vms[vm];
        target.listed = list.iter().map(|entry| entry.revision).collect();
        target.tables.warmups.observe(list, now);
        target.tables.apply_warmups(now);
    }

    fn deliver(&mut self, vm: usize, message: &ModelMessage) {
        let now = self.now;
        let target = &mut self.vms[vm];
        let last = target.last_heartbeats[message.from];
        let silence = now.saturating_duration_since(last);
        target.last_heartbeats[message.from] = now;
        target.tables.record_reports(
            message.reports.iter().map(|(process, report)| {
                let transfer = now - message.sent_at;
                let until = report.until + transfer;
                (*process, WarmupReport { until, ..*report })
            }),
            now,
        );
        target.tables.apply_warmups(now);
        let view = self.view(vm);
        for &(process, sent) in &message.sends {
            let report = SendReport {
                process,
                vm: message.from as u64,
                incarnation: message.incarnation,
                sent,
                unreported_for: (silence > HEARTBEAT_TIMEOUT).then_some(silence),
            };
            let limits = &mut self.vms[vm].tables.limits;
            limits.record_sends(report, view, now);
        }
    }

    fn view(&self, vm: usize) -> FleetView {
        let heartbeats = self.vms[vm].last_heartbeats.iter().enumerate();
        let reporting =
            heartbeats.filter(|(other, last)| *other == vm || self.now < **last + USAGE_TIMEOUT);
        FleetView {
            reporting: reporting.count(),
            size: self.vms.len(),
        }
    }

    fn terms(&self, vm: usize) -> SendTerms<impl Fn(u64) -> usize> {
        let now = self.now;
        let heartbeats = self.vms[vm].last_heartbeats.iter().enumerate();
        let reachable: Vec<u64> = heartbeats
            .filter(|(other, last)| *other == vm || now < **last + HEARTBEAT_TIMEOUT)
            .map(|(other, _)| other as u64)
            .collect();
        let view = self.view(vm);
        SendTerms {
            view,
            rank: move |number| {
                let own = score(number, vm as u64);
                let before = reachable
                    .iter()
                    .filter(|other| score(number, **other) > own);
                before.count()
            },
            sends_to_warming: self.vms[vm].tables.gate.is_open(view, now),
            running_since: self.vms[vm].tables.gate.running_since(),
            now,
        }
    }

    /// Lets a VM connect to the servers that were unreachable.
    fn probe(&mut self, vm: usize) {
        if (self.steps + vm as u32 * 7) % PROBE_STEPS != 0 {
            return;
        }
        let now = self.now;
        for index in 0..self.servers.len() {
            if self.vms[vm].unreachable[index] && now >= self.servers[index].up_at {
                let target = &mut self.vms[vm];
                let process = known_process(target, index);
                let cause = WarmupCause::Reconnected;
                target.tables.warmups.presume(process, None, cause, now);
                target.tables.apply_warmups(now);
                target.unreachable[index] = false;
            }
        }
    }

    /// Sends as many waiting requests of a VM as servers admit.
    fn send_waiting(&mut self, vm: usize) {
        if self.vms[vm].waiting == 0 {
            return;
        }
        let terms = self.terms(vm);
        let first = score(u64::from(self.steps), vm as u64) as usize;
        let count = self.servers.len();
        for index in (0..count).map(|offset| (first + offset) % count) {
            while self.vms[vm].waiting > 0 && !self.vms[vm].unreachable[index] {
                if !self.send_one(vm, index, &terms) {
                    break;
                }
            }
        }
    }

    /// Tries to send a request to a server, and returns whether the VM may try the next one there.
    fn send_one(
        &mut self,
        vm: usize,
        index: usize,
        terms: &SendTerms<impl Fn(u64) -> usize>,
    ) -> bool {
        let (now, server) = (self.now, &mut self.servers[index]);
        let target = &mut self.vms[vm];
        let process = known_process(target, index);
        let Some(token) = target.tables.take(process, SendClass::Online, terms) else {
            return false;
        };
        if now < server.up_at {
            target.tables.return_token(&token);
            target.unreachable[index] = true;
            return false;
        }
        target.waiting -= 1;
        self.served += 1;
        if now < server.warm_at {
            server.arrivals.push(now);
        }
        // Slots bound the requests to a warm server.
        token.taken.is_some()
    }

    /// Sends a VM's changes, and its complete state once a second.
    fn emit(&mut self, vm: usize) {
        let now = self.now;
        let full = (self.steps + vm as u32) % STEPS_PER_S == 0;
        let sender = &mut self.vms[vm];
        let (warmups, sends) = match full {
            true => (
                sender.tables.warmups.recent(now),
                sender.tables.limits.recent_sends(now),
            ),
            false => (
                sender.tables.warmups.take_new(now),
                sender.tables.limits.take_changes(),
            ),
        };
        let own = warmups.iter().map(|warmup| {
            let report = WarmupReport {
                until: warmup.until,
                revision: warmup.revision,
                is_own: true,
            };
            (warmup.process, report)
        });
        let used = sends.iter().filter_map(|(process, _)| {
            let warmup = sender.tables.warmups.warmup(*process, now)?;
            let report = WarmupReport {
                until: warmup.until,
                revision: warmup.revision,
                is_own: false,
            };
            Some((*process, report))
        });
        let reports: Vec<_> = own.chain(used).collect();
        let heartbeat = (self.steps + vm as u32) % 30 == 0;
        if heartbeat || full || !reports.is_empty() || !sends.is_empty() {
            self.messages.push(ModelMessage {
                from: vm,
                incarnation: sender.incarnation,
                sent_at: now,
                reports,
                sends,
            });
        }
    }

    /// Restarts a VM, which asks another one for its state.
    fn restart(&mut self, vm: usize) {
        let peer = (0..self.vms.len()).find(|&peer| peer != vm && self.reaches(peer, vm));
        let warmups = peer.map(|peer| self.vms[peer].tables.warmups.warmups(self.now));
        let incarnation = self.vms[vm].incarnation + 1;
        self.vms[vm] = self.new_vm(self.vms.len(), incarnation);
        let reports = warmups.into_iter().flatten().map(|warmup| {
            let report = WarmupReport {
                until: warmup.until,
                revision: warmup.revision,
                is_own: true,
            };
            (warmup.process, report)
        });
        let now = self.now;
        let tables = &mut self.vms[vm].tables;
        tables.record_reports(reports, now);
        tables.apply_warmups(now);
    }

    /// Returns the largest number of requests to a server in a window of its warm-up.
    fn busiest_window(&self, server: usize) -> usize {
        let server = &self.servers[server];
        let counted: Vec<Instant> = server
            .arrivals
            .iter()
            .copied()
            .filter(|at| *at >= server.cold_from)
            .collect();
        let window = |(index, start): (usize, &Instant)| {
            let end = *start + WINDOW;
            counted[index..].iter().filter(|at| **at < end).count()
        };
        counted.iter().enumerate().map(window).max().unwrap_or(0)
    }

    fn busiest(&self) -> usize {
        let servers = 0..self.servers.len();
        servers
            .map(|index| self.busiest_window(index))
            .max()
            .unwrap_or(0)
    }

    fn check(&self) {
        let busiest = self.busiest();
        assert!(busiest <= BOUND, "{busiest} requests in a window");
    }
}

/// Returns the process of a server that a VM knows from the list.
fn known_process(vm: &ModelVm, server: usize) -> ProcessKey {
    let key = server as u32;
    let known = (1..=vm.listed[server]).rev().map(|start| (key, start));
    let mut known = known.filter(|process| vm.tables.warmups.is_listed(*process));
    known.next().unwrap_or((key, 0))
}

/// Demand of a fleet whose VMs all have requests waiting.
fn saturated(_: usize, _: u32) -> u32 {
    3
}

/// Returns a fleet whose servers have just begun to warm up.
fn warming_fleet(vms: usize, servers: usize) -> FleetModel {
    let mut model = FleetModel::new(vms, servers);
    for server in 0..servers {
        model.restart_server(server, 1);
    }
    model
}

/// Answers a domain that returns at once while callers send four times as much as usual.
#[test]
fn domain_of_30_servers_returns_before_60_vms_with_four_times_the_demand() {
    // arrange
    let mut model = FleetModel::new(60, 30);
    let demand = |vm: usize, step: u32| u32::from((step as usize + vm) % 5 == 0);
    for server in 0..30 {
        model.restart_server(server, 400);
        // All VMs have noticed that the servers were down.
        model.servers[server].cold_from = model.servers[server].up_at;
    }

    // act
    model.run(400 + 3 * STEPS_PER_S, demand);

    // assert
    model.check();
    let arrivals: usize = model
        .servers
        .iter()
        .map(|server| server.arrivals.len())
        .sum();
    let used = arrivals as f64 / (30.0 * 3.0 * WARMUP.requests_per_s);
    assert!(used >= 0.8, "{used:.2} of the rate used");
}

/// Answers a domain that returns at once while VMs learn late of each other's requests, since they have little processor
/// time.
#[test]
fn bound_holds_while_reports_of_60_vms_with_requests_waiting_take_30_ms() {
    // arrange
    let mut model = FleetModel::new(60, 3);
    model.transfer = Duration::from_millis(30);
    for server in 0..3 {
        model.restart_server(server, 400);
    }

    // act
    model.run(400 + 3 * STEPS_PER_S, saturated);

    // assert
    model.check();
}

/// Answers a domain that returns at once, or demand that begins while buckets are full, when VMs have processor time for a
/// part of each 100 ms only.
#[test]
fn bound_holds_while_60_vms_with_requests_waiting_lack_processor_time() {
    for (awake, idle) in [
        (1, 0),
        (2, 0),
        (4, 0),
        (8, 0),
        (1, 100),
        (2, 100),
        (4, 100),
        (8, 100),
    ] {
        // arrange
        let mut model = FleetModel::new(60, 3);
        model.awake = awake;
        for server in 0..3 {
            model.restart_server(server, 200);
        }

        // act
        model.run(200 + idle, |_, _| u32::from(idle == 0));
        model.run(2 * STEPS_PER_S, saturated);

        // assert
        model.check();
    }
}

/// Answers requests that don't wait for the server, since others have room: each VM asks from time to time only.
#[test]
fn rate_is_used_by_requests_that_do_not_wait() {
    // arrange
    let mut model = warming_fleet(12, 1);
    model.gives_up = true;

    // act
    model.run(3 * STEPS_PER_S, |vm, step| {
        u32::from((step as usize + 3 * vm) % 8 == 0)
    });

    // assert
    model.check();
    let used = model.servers[0].arrivals.len() as f64 / (3.0 * WARMUP.requests_per_s);
    assert!(used >= 0.8, "{used:.2} of the rate used");
}

/// Answers demand at few VMs: the others' turns mustn't leave the rate unused.
#[test]
fn one_vm_of_60_uses_the_rate_alone() {
    // arrange
    let mut model = warming_fleet(60, 1);

    // act
    model.run(3 * STEPS_PER_S, |vm, _| u32::from(vm == 17));

    // assert
    model.check();
    let used = model.servers[0].arrivals.len() as f64 / (3.0 * WARMUP.requests_per_s);
    assert!(used >= 0.7, "{used:.2} of the rate used");
}

/// Answers a partition in two sides whose VMs all have requests waiting, with full buckets.
#[test]
fn two_sides_of_a_partition_stay_within_the_bound() {
    for first in [1, 4, 6, 9, 11] {
        // arrange
        let mut model = warming_fleet(12, 3);
        model.run(STEPS_PER_S / 2, |_, _| 0);

        // act
        model.sides = (first, first);
        model.run(2 * STEPS_PER_S, saturated);

        // assert
        model.check();
    }
}

/// Answers a partition in three sides whose VMs all have requests waiting, with full buckets.
#[test]
fn three_sides_of_a_partition_stay_within_the_bound() {
    for sides in [(4, 8), (5, 10), (6, 11), (1, 2), (3, 6)] {
        // arrange
        let mut model = warming_fleet(12, 3);
        model.run(STEPS_PER_S / 2, |_, _| 0);

        // act
        model.sides = sides;
        model.run(STEPS_PER_S, saturated);
        model.sides = (0, 0);
        model.run(STEPS_PER_S, saturated);

        // assert
        model.check();
    }
}

/// Answers a restart of all VMs with a backlog of requests while servers warm up.
#[test]
fn vms_that_have_just_started_stay_within_the_bound() {
    // arrange
    let mut model = warming_fleet(60, 3);
    model.run(STEPS_PER_S / 4, saturated);

    // act
    for vm in 0..60 {
        model.restart(vm);
    }
    let before: usize = model
        .servers
        .iter()
        .map(|server| server.arrivals.len())
        .sum();
    model.run(STEPS_PER_S - 2, saturated);
    let held: usize = model
        .servers
        .iter()
        .map(|server| server.arrivals.len())
        .sum();
    model.run(STEPS_PER_S, saturated);

    // assert
    assert_eq!(
        held, before,
        "VMs send in the first second after their start"
    );
    model.check();
    let sent: usize = model
        .servers
        .iter()
        .map(|server| server.arrivals.len())
        .sum();
    assert!(sent > held, "VMs send nothing after their start");
}

/// Answers VMs that were paused with a backlog while servers restarted.
#[test]
fn vms_that_were_paused_stay_within_the_bound() {
    // arrange
    let mut model = FleetModel::new(60, 3);
    for vm in 0..33 {
        model.vms[vm].frozen_until = model.now + STEP * 600;
    }
    model.run(100, saturated);

    // act
    for server in 0..3 {
        model.restart_server(server, 300);
    }
    model.run(3 * STEPS_PER_S, saturated);

    // assert
    model.check();
}

/// Answers a server that is warm before its time.
#[test]
fn server_is_warm_as_soon_as_its_entry_says_so() {
    // arrange
    let mut model = warming_fleet(6, 1);
    model.run(STEPS_PER_S, saturated);
    let before = model.served;

    // act
    model.warm_up(0);
    model.run(STEPS_PER_S / 2, saturated);

    // assert
    let served = model.served - before;
    assert!(served > 200, "{served} requests in half a second");
}

/// Returns tables of a VM that has run for long, has its first list, and belongs to a fleet of two VMs.
fn running_tables(now: Instant) -> SendTables {
    let start = now - Duration::from_secs(60);
    let mut tables = SendTables::new(WarmupTolerance::default(), start);
    tables.warmups.set_services([(SERVICE, WARMUP)]);
    tables.warmups.observe([entry(1, 1, None, start)], start);
    tables.gate.record_activity(now);
    tables
}

fn entry(start: u64, revision: u64, remaining_ms: Option<u64>, now: Instant) -> ListedProcess {
    ListedProcess {
        process: (1, start),
        service: SERVICE,
        revision,
        stated: remaining_ms.map(|remaining| StatedWarmup {
            remaining: Duration::from_millis(remaining),
            is_reported: false,
        }),
        received: now,
    }
}

fn remaining_ms(tables: &SendTables, start: u64, now: Instant) -> Option<u128> {
    let warmup = tables.warmups.warmup((1, start), now)?;
    Some((warmup.until - now).as_millis())
}

#[test]
fn process_that_appears_is_warming_up_unless_its_entry_says_that_it_is_not() {
    // arrange
    let now = Instant::now();
    let mut tables = running_tables(now);

    // act
    let known = remaining_ms(&tables, 1, now);
    tables.warmups.observe([entry(2, 2, None, now)], now);
    let appeared = remaining_ms(&tables, 2, now);
    tables.warmups.observe([entry(3, 3, Some(1200), now)], now);
    let stated = remaining_ms(&tables, 3, now);
    tables.warmups.observe([entry(3, 4, Some(0), now)], now);
    let warm = remaining_ms(&tables, 3, now);

    // assert
    assert_eq!(
        [known, appeared, stated, warm],
        [None, Some(3000), Some(3000), None]
    );
}

#[test]
fn known_process_that_becomes_slow_again_is_warming_up_for_the_stated_time() {
    // arrange
    let now = Instant::now();
    let mut tables = running_tables(now);

    // act
    tables.warmups.observe([entry(1, 2, Some(1200), now)], now);

    // assert
    assert_eq!(remaining_ms(&tables, 1, now), Some(1200));
    assert_eq!(
        remaining_ms(&tables, 1, now + Duration::from_millis(1200)),
        None
    );
}

#[test]
fn entry_that_another_vm_reports_is_not_prolonged() {
    // arrange
    let now = Instant::now();
    let mut tables = running_tables(now);
    let mut reported = entry(2, 2, Some(700), now);
    reported.stated = reported.stated.map(|stated| StatedWarmup {
        is_reported: true,
        ..stated
    });

    // act
    tables.warmups.observe([reported], now);

    // assert
    assert_eq!(remaining_ms(&tables, 2, now), Some(700));
}

#[test]
fn only_a_later_entry_ends_the_warm_up_of_a_server_that_was_unreachable() {
    // arrange
    let now = Instant::now();
    let mut tables = running_tables(now);
    let cause = WarmupCause::Reconnected;

    // act
    tables.warmups.presume((1, 1), None, cause, now);
    tables.warmups.observe([entry(1, 1, Some(0), now)], now);
    let known_entry = remaining_ms(&tables, 1, now);
    tables.warmups.observe([entry(1, 2, Some(0), now)], now);
    let later_entry = remaining_ms(&tables, 1, now);

    // assert
    assert_eq!([known_entry, later_entry], [Some(3000), None]);
}

#[test]
fn warm_up_that_only_another_vm_knows_counts_the_same() {
    // arrange
    let now = Instant::now();
    let mut tables = running_tables(now);
    let report = WarmupReport {
        until: now + Duration::from_millis(900),
        revision: 1,
        is_own: false,
    };

    // act
    tables.record_reports([((1, 1), report)], now);
    let begun = tables.apply_warmups(now).len();
    let first = remaining_ms(&tables, 1, now);
    let again = WarmupReport {
        until: now + Duration::from_millis(950),
        ..report
    };
    tables.record_reports([((1, 1), again)], now);
    let repeated = remaining_ms(&tables, 1, now);
    let own = WarmupReport {
        is_own: true,
        ..again
    };
    tables.record_reports([((1, 1), own)], now);

    // assert
    assert_eq!(begun, 1);
    assert_eq!([first, repeated], [Some(900), Some(900)]);
    assert_eq!(remaining_ms(&tables, 1, now), Some(950));
}

#[test]
fn without_a_configured_rate_no_process_is_warming_up() {
    // arrange
    let now = Instant::now();
    let mut tables = SendTables::new(WarmupTolerance::default(), now);

    // act
    tables.warmups.observe([], now);
    tables.warmups.observe([entry(1, 1, Some(3000), now)], now);
    tables
        .warmups
        .presume((1, 1), None, WarmupCause::Reconnected, now);
    let begun = tables.apply_warmups(now);

    // assert
    assert!(begun.is_empty());
    assert!(tables.is_off());
}

/// Guards against a VM that spends the rate of a fleet that it hasn't met yet.
#[test]
fn vm_without_others_sends_only_once_it_has_known_for_two_seconds_that_it_is_alone() {
    // arrange
    let start = Instant::now();
    let at = |millis| start + Duration::from_millis(millis);
    let view = |size| FleetView { reporting: 1, size };
    let mut gate = WarmupGate::new(start);

    // act
    gate.observe_fleet(1, false, at(5000));
    let unread_list = gate.is_open(view(1), at(9000));
    gate.observe_fleet(1, true, at(9000));
    gate.observe_fleet(1, true, at(10_000));
    let soon = gate.is_open(view(1), at(10_999));
    let later = gate.is_open(view(1), at(11_000));
    gate.observe_fleet(2, true, at(12_000));
    gate.observe_fleet(1, true, at(13_000));
    let alone_again = gate.is_open(view(1), at(14_000));
    let with_others = [at(999), at(1000)].map(|now| gate.is_open(view(2), now));

    // assert
    assert_eq!(
        [unread_list, soon, later, alone_again],
        [false, false, true, false]
    );
    assert_eq!(with_others, [false, true]);
}

/// Interval at which a request that waits asks for a token.
const WAIT_INTERVAL: Duration = Duration::from_millis(10);

/// Returns the admission of a VM that has waited for some time, by a bucket that has been refilled for long, in a fleet of 100 VMs.
fn admission(reporting: usize, sends_to_warming: bool) -> SendAdmission {
    let now = Instant::now();
    let mut tables = running_tables(now);
    tables
        .warmups
        .presume((1, 1), None, WarmupCause::Reconnected, now);
    tables.apply_warmups(now);
    let running_since = now;
    let terms = |now| SendTerms {
        view: FleetView {
            reporting,
            size: 100,
        },
        rank: |_| 0,
        sends_to_warming,
        running_since,
        now,
    };
    let full = now + Duration::from_secs(2);
    let asked = (0..10).map(|step| full + WAIT_INTERVAL * step);
    let admissions = asked.map(|at| tables.limits.admission((1, 1), &terms(at)));
    admissions.last().expect("admission")
}

#[test]
fn vm_that_reaches_too_small_a_part_of_the_fleet_sends_nothing() {
    // arrange
    let parts = [100, 42, 41, 1];

    // act
    let admissions = parts.map(|reporting| admission(reporting, true));

    // assert
    let (all, nothing) = (SendAdmission::All, SendAdmission::Nothing);
    assert_eq!(admissions, [all, all, nothing, nothing]);
    assert_eq!(admission(100, false), nothing);
}

/// Answers VMs that become unreachable: what accrued on their behalf may have been used by them.
#[test]
fn tokens_that_accrued_for_lost_vms_are_taken_back() {
    // arrange
    let now = Instant::now();
    let mut tables = running_tables(now);
    tables
        .warmups
        .presume((1, 1), None, WarmupCause::Reconnected, now);
    tables.apply_warmups(now);
    let full = now + Duration::from_secs(1);
    let terms = |reporting, step| SendTerms {
        view: FleetView {
            reporting,
            size: 100,
        },
        rank: |_| 0,
        sends_to_warming: true,
        running_since: now,
        now: full + WAIT_INTERVAL * step,
    };
    let mut admission = |reporting, step| {
        let terms = terms(reporting, step);
        tables.limits.admission((1, 1), &terms)
    };

    // act
    let before = (0..10).map(|step| admission(100, step)).last();
    let after = (10..20).map(|step| admission(60, step)).last();
    let later = (20..50).map(|step| admission(60, step)).last();

    // assert
    assert_eq!(before, Some(SendAdmission::All));
    assert_eq!(after, Some(SendAdmission::Nothing));
    assert_eq!(later, Some(SendAdmission::All));
}

/// Event in the simulated fleet.
#[derive(Clone, Debug)]
enum WarmupEvent {
    /// Requests arrive at the VMs with an index of at least `first`, for some steps.
    Load { first: usize, steps: u32 },
    /// No requests arrive for some steps.
    Idle { steps: u32 },
    /// The fleet is partitioned in up to three sides.
    Partition { sides: (usize, usize) },
    /// The partition ends.
    Heal,
    /// A third of the messages is lost for some steps.
    Lose { steps: u32 },
    /// One process restarts.
    Restart { vm: usize },
    /// All processes restart.
    RestartAll,
    /// One process stands still for some steps.
    Freeze { vm: usize, steps: u32 },
    /// A server restarts.
    RestartServer { server: usize, steps: u32 },
    /// A server becomes slow again.
    SlowDown { server: usize },
    /// A server is warm.
    WarmUp { server: usize },
}

const VMS: usize = 8;
const SERVERS: usize = 2;

/// Reference without state: the test checks only the bound.
#[derive(Clone, Debug)]
struct WarmupReference;

impl ReferenceStateMachine for WarmupReference {
    type State = ();
    type Transition = WarmupEvent;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<WarmupEvent> {
        use WarmupEvent::*;
        prop_oneof![
            6 => (0..VMS, 1..400_u32).prop_map(|(first, steps)| Load { first, steps }),
            2 => (1..200_u32).prop_map(|steps| Idle { steps }),
            2 => (0..VMS, 0..VMS).prop_map(|(a, b)| Partition { sides: (a.min(b), a.max(b)) }),
            2 => Just(Heal),
            1 => (1..200_u32).prop_map(|steps| Lose { steps }),
            1 => (0..VMS).prop_map(|vm| Restart { vm }),
            1 => Just(RestartAll),
            1 => (0..VMS, 10..400_u32).prop_map(|(vm, steps)| Freeze { vm, steps }),
            2 => (0..SERVERS, 1..300_u32)
                .prop_map(|(server, steps)| RestartServer { server, steps }),
            1 => (0..SERVERS).prop_map(|server| SlowDown { server }),
            1 => (0..SERVERS).prop_map(|server| WarmUp { server }),
        ]
        .boxed()
    }

    fn apply((): (), _: &WarmupEvent) {}
}

struct WarmupTest;

impl StateMachineTest for WarmupTest {
    type SystemUnderTest = FleetModel;
    type Reference = WarmupReference;

    fn init_test((): &()) -> FleetModel {
        FleetModel::new(VMS, SERVERS)
    }

    fn apply(mut model: FleetModel, (): &(), event: WarmupEvent) -> FleetModel {
        match event {
            WarmupEvent::Load { first, steps } => {
                model.run(steps, |vm, _| 2 * u32::from(vm >= first));
            }
            WarmupEvent::Idle { steps } => model.run(steps, |_, _| 0),
            WarmupEvent::Partition { sides } => model.sides = sides,
            WarmupEvent::Heal => model.sides = (0, 0),
            WarmupEvent::Lose { steps } => model.lossy_until = model.now + STEP * steps,
            WarmupEvent::Restart { vm } => model.restart(vm),
            WarmupEvent::RestartAll => (0..VMS).for_each(|vm| model.restart(vm)),
            WarmupEvent::Freeze { vm, steps } => {
                model.vms[vm].frozen_until = model.now + STEP * steps;
            }
            WarmupEvent::RestartServer { server, steps } => model.restart_server(server, steps),
            WarmupEvent::SlowDown { server } => model.slow_down(server),
            WarmupEvent::WarmUp { server } => model.warm_up(server),
        }
        model.check();
        model
    }
}

prop_state_machine! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(41),
        cases: 64,
        max_shrink_iters: 200,
        ..ProptestConfig::default()
    })]
    #[test]
    fn requests_to_warming_servers_stay_within_the_bound_through_faults(
        sequential 1..30 => WarmupTest
    );
}
