//! Compares ways to hold a rate over all VMs: the same arrivals, on decision code alone.
//!
//! Every way holds the hard bound; they differ in the requests they refuse although a single bucket
//! for the whole fleet would have let them pass, and in the messages they send.

use std::time::{
    Duration,
    Instant, //
};

use boragerill::{
    generated::messages::token_response::Outcome,
    kinds::{
        MemberSpec,
        RosterSpec, //
    },
    rank::hash_name,
    roster::{
        RosterView,
        TOTAL_UNITS, //
    },
    share::{
        RateLimit,
        ShareSettings,
        ShareState, //
    }, //
};
use compact_str::{
    format_compact,
    CompactString, //
};
use rand::{
    rngs::StdRng,
    RngExt,
    SeedableRng, //
};

const VMS: usize = 8;
const STEP: Duration = Duration::from_millis(10);
const HEARTBEAT_STEPS: u64 = 50;
const SETTLE: Duration = Duration::from_secs(60);
const RUN: Duration = Duration::from_secs(120);

/// When two of the VMs are cut off, or one is lost, within a run.
const FAULT_FROM: Duration = Duration::from_secs(40);
const FAULT_UNTIL: Duration = Duration::from_secs(60);

/// Time after which the platform lets another VM become owner, and the time that electing takes.
const ELECTION: Duration = Duration::from_secs(10);

/// What goes wrong in a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum RunFault {
    None,
    Cut,
    Loss,
}

/// A workspace of the trace.
#[derive(Clone, Debug)]
struct TraceWorkspace {
    limit: RateLimit,
    arrivals: f64,
}

/// A request of the trace.
#[derive(Clone, Copy, Debug)]
struct TraceRequest {
    due: Duration,
    workspace: usize,
    vm: usize,
}

/// A token bucket on one clock.
#[derive(Clone, Copy, Debug)]
struct PlainBucket {
    level: f64,
    updated: Duration,
}

impl PlainBucket {
    fn take(&mut self, rate: f64, burst: f64, now: Duration) -> bool {
        let earned = rate * now.saturating_sub(self.updated).as_secs_f64();
        self.level = (self.level + earned).min(burst);
        self.updated = self.updated.max(now);
        let granted = self.level >= 1.0;
        self.level -= if granted { 1.0 } else { 0.0 };
        granted
    }
}

/// Verdicts on each request of a trace, and the messages between VMs.
struct WayResult {
    granted: Vec<bool>,
    messages: u64,
}

/// Prints the comparison.
pub(crate) fn compare() -> Result<(), String> {
    println!(
        "| workspaces | fault | way | within rate | wrongly refused | share | messages/s a VM |"
    );
    println!("|---|---|---|---|---|---|---|");
    for (name, workspaces) in [
        ("8, few large, one at 5x", few_large()),
        ("5,000 small, one at 5x", many_small()),
    ] {
        let trace = draw_trace(&workspaces, 11);
        for fault in [RunFault::None, RunFault::Cut, RunFault::Loss] {
            let ideal = run_ideal(&workspaces, &trace);
            let ways: [(&str, WayResult); 3] = [
                ("static division", run_static(&workspaces, &trace, fault)),
                (
                    "owner elected in the platform",
                    run_elected(&workspaces, &trace, fault),
                ),
                ("share leases", run_shares(&workspaces, &trace, fault)),
            ];
            for (way, result) in ways {
                let within = ideal.iter().filter(|&&granted| granted).count();
                let wrong = count_wrong(workspaces.len(), &trace, &ideal, &result.granted);
                let share = wrong as f64 / within.max(1) as f64;
                let messages = result.messages as f64 / RUN.as_secs_f64() / VMS as f64;
                println!("| {name} | {fault:?} | {way} | {within} | {wrong} | {share:.4} | {messages:.1} |");
            }
        }
    }
    Ok(())
}

/// Returns how many requests fewer each workspace got than one bucket would have granted. Counts, not
/// single requests, since of a workspace above its rate it doesn't matter which are refused.
fn count_wrong(
    workspaces: usize,
    trace: &[TraceRequest],
    ideal: &[bool],
    granted: &[bool],
) -> usize {
    let mut counts = vec![(0_usize, 0_usize); workspaces];
    for ((request, &ideal), &granted) in trace.iter().zip(ideal).zip(granted) {
        counts[request.workspace].0 += usize::from(ideal);
        counts[request.workspace].1 += usize::from(granted);
    }
    counts
        .into_iter()
        .map(|(ideal, granted)| ideal.saturating_sub(granted))
        .sum()
}

fn few_large() -> Vec<TraceWorkspace> {
    let sizes = [(40.0, 40.0, 30.0), (40.0, 40.0, 200.0), (20.0, 20.0, 15.0)];
    let small = (2.0, 10.0, 1.2);
    let all = sizes.into_iter().chain(std::iter::repeat_n(small, 5));
    workspaces(all)
}

fn many_small() -> Vec<TraceWorkspace> {
    let small = (0.1, 5.0, 0.02);
    workspaces(std::iter::once((10.0, 20.0, 50.0)).chain(std::iter::repeat_n(small, 4999)))
}

/// Makes workspaces of (rate, burst, arrivals).
fn workspaces(sizes: impl Iterator<Item = (f64, f64, f64)>) -> Vec<TraceWorkspace> {
    let make = |(index, (rate, burst, arrivals))| {
        let hash = hash_name(&format!("workspace-{index}"));
        TraceWorkspace {
            limit: RateLimit {
                hash,
                rate,
                burst,
                created: 0,
            },
            arrivals,
        }
    };
    sizes.enumerate().map(make).collect()
}

/// Draws Poisson arrivals, each at any of the VMs: the balancer knows no workspaces.
fn draw_trace(workspaces: &[TraceWorkspace], seed: u64) -> Vec<TraceRequest> {
    let mut draws = StdRng::seed_from_u64(seed);
    let mut trace = Vec::new();
    for (workspace, entry) in workspaces.iter().enumerate() {
        let mut due = 0.0;
        loop {
            due += -(1.0 - draws.random::<f64>()).ln() / entry.arrivals;
            if due >= RUN.as_secs_f64() {
                break;
            }
            let vm = draws.random_range(0..VMS);
            trace.push(TraceRequest {
                due: SETTLE + Duration::from_secs_f64(due),
                workspace,
                vm,
            });
        }
    }
    trace.sort_by_key(|request| request.due);
    trace
}

fn in_fault(now: Duration) -> bool {
    (SETTLE + FAULT_FROM..SETTLE + FAULT_UNTIL).contains(&now)
}

/// Returns whether a VM is on the smaller side of the cut, or lost.
fn is_hit(fault: RunFault, vm: usize, now: Duration) -> bool {
    match fault {
        RunFault::None => false,
        RunFault::Cut => vm < 2 && in_fault(now),
        RunFault::Loss => vm == 0 && now >= SETTLE + FAULT_FROM,
    }
}

/// The balancer sends no requests to a VM that is lost.
fn serving_vm(fault: RunFault, vm: usize, now: Duration) -> usize {
    if fault == RunFault::Loss && is_hit(fault, vm, now) {
        vm + 1
    } else {
        vm
    }
}

fn buckets(workspaces: &[TraceWorkspace], share: f64) -> Vec<PlainBucket> {
    let full = |entry: &TraceWorkspace| PlainBucket {
        level: entry.limit.burst * share,
        updated: Duration::ZERO,
    };
    workspaces.iter().map(full).collect()
}

/// One bucket for the whole fleet.
fn run_ideal(workspaces: &[TraceWorkspace], trace: &[TraceRequest]) -> Vec<bool> {
    let mut buckets = buckets(workspaces, 1.0);
    let verdict = |request: &TraceRequest| {
        let limit = &workspaces[request.workspace].limit;
        buckets[request.workspace].take(limit.rate, limit.burst, request.due)
    };
    trace.iter().map(verdict).collect()
}

/// Each VM has an eighth of every rate and burst for itself.
fn run_static(workspaces: &[TraceWorkspace], trace: &[TraceRequest], fault: RunFault) -> WayResult {
    let share = 1.0 / VMS as f64;
    let mut all: Vec<Vec<PlainBucket>> = (0..VMS).map(|_| buckets(workspaces, share)).collect();
    let verdict = |request: &TraceRequest| {
        let limit = &workspaces[request.workspace].limit;
        let vm = serving_vm(fault, request.vm, request.due);
        all[vm][request.workspace].take(limit.rate * share, limit.burst * share, request.due)
    };
    WayResult {
        granted: trace.iter().map(verdict).collect(),
        messages: 0,
    }
}

/// One owner for each workspace, elected in the platform; those cut off from it can't serve.
fn run_elected(
    workspaces: &[TraceWorkspace],
    trace: &[TraceRequest],
    fault: RunFault,
) -> WayResult {
    let mut buckets = buckets(workspaces, 1.0);
    let mut messages = 0;
    let mut owners: Vec<usize> = workspaces
        .iter()
        .map(|entry| first_owner(entry, 0))
        .collect();
    let mut granted = Vec::with_capacity(trace.len());
    for request in trace {
        let now = request.due;
        let limit = &workspaces[request.workspace].limit;
        let vm = serving_vm(fault, request.vm, now);
        let owner = owners[request.workspace];
        let since_fault = now.saturating_sub(SETTLE + FAULT_FROM);
        if is_hit(fault, owner, now) && since_fault >= ELECTION {
            // The new owner starts empty: it can't know what the old one granted.
            owners[request.workspace] = first_owner(
                &workspaces[request.workspace],
                if fault == RunFault::Cut { 2 } else { 1 },
            );
            buckets[request.workspace] = PlainBucket {
                level: 0.0,
                updated: now,
            };
        }
        let owner = owners[request.workspace];
        let same_side = is_hit(fault, vm, now) == is_hit(fault, owner, now);
        let reachable = same_side && !(fault == RunFault::Loss && is_hit(fault, owner, now));
        messages += if owner == vm { 0 } else { 2 };
        granted.push(reachable && buckets[request.workspace].take(limit.rate, limit.burst, now));
    }
    WayResult { granted, messages }
}

fn first_owner(workspace: &TraceWorkspace, least: usize) -> usize {
    let count = (VMS - least) as u64;
    least + usize::try_from(workspace.limit.hash % count).unwrap_or(0)
}

/// The members of the share leases and their clock.
struct ShareMembers {
    states: Vec<ShareState>,
    names: Vec<CompactString>,
    base: Instant,
    fault: RunFault,
    messages: u64,
}

impl ShareMembers {
    fn new(fault: RunFault) -> ShareMembers {
        let base = Instant::now();
        let names: Vec<CompactString> = (0..VMS).map(|vm| format_compact!("vm-{vm}")).collect();
        let start = |(index, name): (usize, &CompactString)| {
            ShareState::new(ShareSettings::default(), name, 1 + index as u64, base)
        };
        let states = names.iter().enumerate().map(start).collect();
        let mut members = ShareMembers {
            states,
            names,
            base,
            fault,
            messages: 0,
        };
        members.set_roster(1, 0, Duration::ZERO);
        members
    }

    /// Shares the units out equally among the VMs from `first` on.
    fn set_roster(&mut self, version: u64, first: usize, now: Duration) {
        let count = u32::try_from(VMS - first).unwrap_or(1);
        let member = |(index, vm): (usize, &CompactString)| MemberSpec {
            vm: vm.to_string(),
            domain: "a".to_owned(),
            control: String::new(),
            incarnation: 1,
            units: TOTAL_UNITS / count
                + if index == first {
                    TOTAL_UNITS % count
                } else {
                    0
                },
        };
        let members = self
            .names
            .iter()
            .enumerate()
            .skip(first)
            .map(member)
            .collect();
        let view = RosterView::new(version, &RosterSpec { members });
        for state in &mut self.states {
            state.update_roster(view.clone(), self.base + now);
        }
    }

    fn heartbeat(&mut self, now: Duration) {
        for from in 0..VMS {
            if self.fault == RunFault::Loss && is_hit(self.fault, from, now) {
                continue;
            }
            let lends = self.states[from].tick(self.base + now);
            for (vm, lend) in lends {
                let Some(to) = self.names.iter().position(|name| *name == vm) else {
                    continue;
                };
                self.messages += 1;
                if is_hit(self.fault, from, now) == is_hit(self.fault, to, now) {
                    let name = self.names[from].clone();
                    self.states[to].receive_lend(&name, lend, self.base + now);
                }
            }
        }
    }

    /// Asks the members that a VM reaches, the first ranked one first.
    fn ask(&mut self, limit: &RateLimit, vm: usize, now: Duration) -> bool {
        let hashes: Vec<u64> = self.names.iter().map(|name| hash_name(name)).collect();
        for owner in boragerill::rank::ranking(limit.hash, &hashes) {
            if is_hit(self.fault, owner, now) != is_hit(self.fault, vm, now) {
                continue;
            }
            self.messages += if owner == vm { 0 } else { 2 };
            let answer = self.states[owner].ask(limit, 1, self.base + now);
            match answer.outcome() {
                Outcome::Granted => return true,
                Outcome::Refused if answer.units > TOTAL_UNITS / 2 => return false,
                _ => {}
            }
        }
        false
    }
}

fn run_shares(workspaces: &[TraceWorkspace], trace: &[TraceRequest], fault: RunFault) -> WayResult {
    let mut members = ShareMembers::new(fault);
    let mut granted = Vec::with_capacity(trace.len());
    let mut steps = 0;
    let mut next = 0;
    let mut now = Duration::ZERO;
    while next < trace.len() {
        now += STEP;
        steps += 1;
        if steps % HEARTBEAT_STEPS == 0 {
            members.heartbeat(now);
        }
        // The platform's list shows the loss three seconds later.
        if fault == RunFault::Loss && now == SETTLE + FAULT_FROM + Duration::from_secs(3) {
            members.set_roster(2, 1, now);
        }
        if now == SETTLE {
            members.messages = 0;
        }
        while next < trace.len() && trace[next].due <= now {
            let request = trace[next];
            let vm = serving_vm(fault, request.vm, now);
            granted.push(members.ask(&workspaces[request.workspace].limit, vm, now));
            next += 1;
        }
    }
    WayResult {
        granted,
        messages: members.messages,
    }
}
