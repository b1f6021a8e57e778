//! Compares policies that enforce a rate over all VMs, by simulating the same arrivals with each of them
//! (`bench ways`). The share leases run the decision code of the `boragerill` crate.
//!
//! Every policy keeps the hard bound on the rate. They differ in the number of requests that they refuse
//! although a single token bucket for the whole fleet would grant them, and in the messages between VMs.

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

/// Simulated time of one step of the share leases.
const STEP_TIME: Duration = Duration::from_millis(10);

/// Steps between two heartbeats of a VM: 500 ms.
const HEARTBEAT_STEPS: u64 = 50;

/// Simulated time before the first request, in which the units are divided among the VMs.
const SETTLE_TIME: Duration = Duration::from_secs(60);

/// Simulated time in which requests arrive.
const RUN_TIME: Duration = Duration::from_secs(120);

/// Start and end of a partition, and start of the loss of a VM, from the first request on.
const FAULT_START: Duration = Duration::from_secs(40);
const FAULT_END: Duration = Duration::from_secs(60);

/// Time from the loss of a workspace's owner until another VM is elected in the platform, including the
/// time after which the platform permits the election.
const ELECTION_TIME: Duration = Duration::from_secs(10);

/// Fault in a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum RunFault {
    None,
    /// Two of the VMs are partitioned from the others.
    Partition,
    /// One VM is lost for good.
    VmLoss,
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

/// A token bucket with an exact clock.
#[derive(Clone, Copy, Debug)]
struct TokenBucket {
    tokens: f64,
    updated: Duration,
}

impl TokenBucket {
    /// Refills the bucket and takes a token, if there is one; returns whether there was.
    fn take(&mut self, rate: f64, burst: f64, now: Duration) -> bool {
        let refilled = rate * now.saturating_sub(self.updated).as_secs_f64();
        self.tokens = (self.tokens + refilled).min(burst);
        self.updated = self.updated.max(now);
        let granted = self.tokens >= 1.0;
        self.tokens -= if granted { 1.0 } else { 0.0 };
        granted
    }
}

/// Whether each request of a trace was granted, and the number of messages between VMs.
struct PolicyResult {
    granted: Vec<bool>,
    messages: u64,
}

/// Simulates all policies with and without faults, and prints the comparison.
pub(crate) fn compare() -> Result<(), String> {
    println!(
        "| workspaces | fault | policy | within rate | wrongly refused | fraction | messages/s per VM |"
    );
    println!("|---|---|---|---|---|---|---|");
    for (name, workspaces) in [
        ("8, few large, one at 5x", few_large()),
        ("5,000 small, one at 5x", many_small()),
    ] {
        let trace = draw_trace(&workspaces, 11);
        for fault in [RunFault::None, RunFault::Partition, RunFault::VmLoss] {
            let ideal = run_single_bucket(&workspaces, &trace);
            let policies: [(&str, PolicyResult); 3] = [
                (
                    "static division",
                    run_static_division(&workspaces, &trace, fault),
                ),
                (
                    "owner elected in the platform",
                    run_elected_owner(&workspaces, &trace, fault),
                ),
                ("share leases", run_share_leases(&workspaces, &trace, fault)),
            ];
            for (policy, result) in policies {
                let within = ideal.iter().filter(|&&granted| granted).count();
                let wrong = count_wrong_refusals(workspaces.len(), &trace, &ideal, &result.granted);
                let fraction = wrong as f64 / within.max(1) as f64;
                let messages = result.messages as f64 / RUN_TIME.as_secs_f64() / VMS as f64;
                println!("| {name} | {fault:?} | {policy} | {within} | {wrong} | {fraction:.4} | {messages:.1} |");
            }
        }
    }
    Ok(())
}

/// Returns the number of requests that were refused in excess of those that a single bucket refuses,
/// summed over the workspaces.
///
/// It compares the counts by workspace rather than the requests one by one, since it doesn't matter which
/// requests of a workspace above its rate are refused.
fn count_wrong_refusals(
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

/// Eight workspaces, the second of which sends five times its rate.
fn few_large() -> Vec<TraceWorkspace> {
    let sizes = [(40.0, 40.0, 30.0), (40.0, 40.0, 200.0), (20.0, 20.0, 15.0)];
    let small = (2.0, 10.0, 1.2);
    let all = sizes.into_iter().chain(std::iter::repeat_n(small, 5));
    workspaces(all)
}

/// 5,000 workspaces, the first of which sends five times its rate.
fn many_small() -> Vec<TraceWorkspace> {
    let small = (0.1, 5.0, 0.02);
    workspaces(std::iter::once((10.0, 20.0, 50.0)).chain(std::iter::repeat_n(small, 4999)))
}

/// Creates workspaces from tuples of rate per second, burst, and mean arrivals per second.
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

/// Draws Poisson arrivals, each at a random VM, since the load balancer doesn't distinguish workspaces.
fn draw_trace(workspaces: &[TraceWorkspace], seed: u64) -> Vec<TraceRequest> {
    let mut draws = StdRng::seed_from_u64(seed);
    let mut trace = Vec::new();
    for (workspace, entry) in workspaces.iter().enumerate() {
        let mut due = 0.0;
        loop {
            due += -(1.0 - draws.random::<f64>()).ln() / entry.arrivals;
            if due >= RUN_TIME.as_secs_f64() {
                break;
            }
            let vm = draws.random_range(0..VMS);
            trace.push(TraceRequest {
                due: SETTLE_TIME + Duration::from_secs_f64(due),
                workspace,
                vm,
            });
        }
    }
    trace.sort_by_key(|request| request.due);
    trace
}

fn is_fault_active(now: Duration) -> bool {
    (SETTLE_TIME + FAULT_START..SETTLE_TIME + FAULT_END).contains(&now)
}

/// Returns whether a VM is on the smaller side of the partition, or lost.
fn is_affected(fault: RunFault, vm: usize, now: Duration) -> bool {
    match fault {
        RunFault::None => false,
        RunFault::Partition => vm < 2 && is_fault_active(now),
        RunFault::VmLoss => vm == 0 && now >= SETTLE_TIME + FAULT_START,
    }
}

/// Returns the VM that serves a request for `vm`: the load balancer sends no requests to a lost VM.
fn serving_vm(fault: RunFault, vm: usize, now: Duration) -> usize {
    if fault == RunFault::VmLoss && is_affected(fault, vm, now) {
        vm + 1
    } else {
        vm
    }
}

/// Creates a full bucket for each workspace, with a share of its burst.
fn buckets(workspaces: &[TraceWorkspace], share: f64) -> Vec<TokenBucket> {
    let full = |entry: &TraceWorkspace| TokenBucket {
        tokens: entry.limit.burst * share,
        updated: Duration::ZERO,
    };
    workspaces.iter().map(full).collect()
}

/// Simulates a single bucket per workspace for the whole fleet, the reference of the comparison.
fn run_single_bucket(workspaces: &[TraceWorkspace], trace: &[TraceRequest]) -> Vec<bool> {
    let mut buckets = buckets(workspaces, 1.0);
    let decision = |request: &TraceRequest| {
        let limit = &workspaces[request.workspace].limit;
        buckets[request.workspace].take(limit.rate, limit.burst, request.due)
    };
    trace.iter().map(decision).collect()
}

/// Simulates a static division: each VM has an eighth of every rate and burst.
fn run_static_division(
    workspaces: &[TraceWorkspace],
    trace: &[TraceRequest],
    fault: RunFault,
) -> PolicyResult {
    let share = 1.0 / VMS as f64;
    let mut all: Vec<Vec<TokenBucket>> = (0..VMS).map(|_| buckets(workspaces, share)).collect();
    let decision = |request: &TraceRequest| {
        let limit = &workspaces[request.workspace].limit;
        let vm = serving_vm(fault, request.vm, request.due);
        all[vm][request.workspace].take(limit.rate * share, limit.burst * share, request.due)
    };
    PolicyResult {
        granted: trace.iter().map(decision).collect(),
        messages: 0,
    }
}

/// Simulates one owner VM per workspace, elected in the platform. VMs that can't reach the owner refuse
/// all requests.
fn run_elected_owner(
    workspaces: &[TraceWorkspace],
    trace: &[TraceRequest],
    fault: RunFault,
) -> PolicyResult {
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
        let since_fault = now.saturating_sub(SETTLE_TIME + FAULT_START);
        if is_affected(fault, owner, now) && since_fault >= ELECTION_TIME {
            // The new owner starts with an empty bucket, since it doesn't know what the former one granted.
            owners[request.workspace] = first_owner(
                &workspaces[request.workspace],
                if fault == RunFault::Partition { 2 } else { 1 },
            );
            buckets[request.workspace] = TokenBucket {
                tokens: 0.0,
                updated: now,
            };
        }
        let owner = owners[request.workspace];
        let same_side = is_affected(fault, vm, now) == is_affected(fault, owner, now);
        let reachable = same_side && !(fault == RunFault::VmLoss && is_affected(fault, owner, now));
        messages += if owner == vm { 0 } else { 2 };
        granted.push(reachable && buckets[request.workspace].take(limit.rate, limit.burst, now));
    }
    PolicyResult { granted, messages }
}

/// Returns the owner of a workspace among the VMs from `least` on, by the hash of its name.
fn first_owner(workspace: &TraceWorkspace, least: usize) -> usize {
    let count = (VMS - least) as u64;
    least + usize::try_from(workspace.limit.hash % count).unwrap_or(0)
}

/// The members that hold share leases, with the simulated clock and network.
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

    /// Divides the units equally among the VMs from `first` on.
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

    /// Sends the leases of all members to each other, except across a partition or from a lost VM.
    fn heartbeat(&mut self, now: Duration) {
        for from in 0..VMS {
            if self.fault == RunFault::VmLoss && is_affected(self.fault, from, now) {
                continue;
            }
            let grants = self.states[from].tick(self.base + now);
            for (vm, grant) in grants {
                let Some(to) = self.names.iter().position(|name| *name == vm) else {
                    continue;
                };
                self.messages += 1;
                if is_affected(self.fault, from, now) == is_affected(self.fault, to, now) {
                    let name = self.names[from].clone();
                    self.states[to].receive_grant(&name, grant, self.base + now);
                }
            }
        }
    }

    /// Requests a token from the members that a VM reaches, in the order of their rank for the workspace.
    fn request_token(&mut self, limit: &RateLimit, vm: usize, now: Duration) -> bool {
        let hashes: Vec<u64> = self.names.iter().map(|name| hash_name(name)).collect();
        for owner in boragerill::rank::ranking(limit.hash, &hashes) {
            if is_affected(self.fault, owner, now) != is_affected(self.fault, vm, now) {
                continue;
            }
            self.messages += if owner == vm { 0 } else { 2 };
            let response = self.states[owner].take_tokens(limit, 1, self.base + now);
            match response.outcome() {
                Outcome::Granted => return true,
                Outcome::Refused if response.units > TOTAL_UNITS / 2 => return false,
                _ => {}
            }
        }
        false
    }
}

/// Simulates the share leases, step by step.
fn run_share_leases(
    workspaces: &[TraceWorkspace],
    trace: &[TraceRequest],
    fault: RunFault,
) -> PolicyResult {
    let mut members = ShareMembers::new(fault);
    let mut granted = Vec::with_capacity(trace.len());
    let mut steps = 0;
    let mut next = 0;
    let mut now = Duration::ZERO;
    while next < trace.len() {
        now += STEP_TIME;
        steps += 1;
        if steps % HEARTBEAT_STEPS == 0 {
            members.heartbeat(now);
        }
        // The roster without the lost VM follows three seconds after the loss.
        if fault == RunFault::VmLoss && now == SETTLE_TIME + FAULT_START + Duration::from_secs(3) {
            members.set_roster(2, 1, now);
        }
        if now == SETTLE_TIME {
            members.messages = 0;
        }
        while next < trace.len() && trace[next].due <= now {
            let request = trace[next];
            let vm = serving_vm(fault, request.vm, now);
            granted.push(members.request_token(&workspaces[request.workspace].limit, vm, now));
            next += 1;
        }
    }
    PolicyResult {
        granted,
        messages: members.messages,
    }
}
