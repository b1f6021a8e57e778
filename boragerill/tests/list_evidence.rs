//! Lists of a job's results that several VMs hold: what one VM has listed, every VM lists, whichever VMs were cut off from
//! each other or stood still, and in whichever order they learn of the end, the new runner and its results.

use std::time::{
    Duration,
    Instant, //
};

use boragerill::{
    job::{
        JobOutcome,
        JobProgress,
        JobResult,
        ResultChunk, //
    },
    job_directory::{
        JobDirectory,
        JobRecord,
        JobRunner,
        OutdatedRunner,
        TakeoverView,
        CLAIM_HOLD_TIME,
        UNREPORTED_TIMEOUT, //
    },
    list_evidence::{
        ListEvidence,
        EVIDENCE_LIFETIME, //
    },
    member::{
        MemberInfo,
        MemberTable,
        HEARTBEAT_TIMEOUT,
        ISOLATION_GRACE,
        MEMBER_EXPIRY, //
    },
    rank::hash_name, //
};
use compact_str::{
    format_compact,
    CompactString, //
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

const VMS: usize = 5;

const ITEMS: usize = 6;

const JOB: &str = "job-1";

/// Period of heartbeats and of all other activity of the model.
const TICK: Duration = Duration::from_millis(150);

/// Time after which every VM must list what one VM has listed.
const SETTLE_TIME: Duration = Duration::from_secs(1);

/// Time after the last fault after which every VM is in touch.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// Ticks from one listing of the manifests to the next.
const LISTING_TICKS: u64 = 200;

/// Ticks after the start of a VM at which it lists the manifests.
const START_TICKS: u64 = 4;

/// Number of cases, since some orders of messages are rare.
const MIN_CASES: u32 = 2000;

/// Longest time for which a VM is cut off or stands still.
const MAX_FAULT_TICKS: u64 = 80;

fn info(vm: usize, incarnation: u64) -> MemberInfo {
    MemberInfo {
        vm: format_compact!("vm-{vm}"),
        address: "10.0.0.1:7360".into(),
        domain: format_compact!("domain-{}", vm % 3),
        incarnation,
        ..MemberInfo::default()
    }
}

fn vm_hash(vm: usize) -> u64 {
    hash_name(&info(vm, 1).vm)
}

fn item_id(item: usize) -> CompactString {
    format_compact!("item-{item}")
}

fn new_progress() -> JobProgress {
    let ids: Vec<CompactString> = (0..ITEMS).map(item_id).collect();
    JobProgress::new(ids.iter())
}

/// What a VM hears of the others.
#[derive(Clone)]
struct HeardFleet {
    members: MemberTable,
    now: Instant,
    sequence: u64,
}

impl HeardFleet {
    /// Returns a fleet of which the VM has just heard all others for the first time.
    fn new() -> HeardFleet {
        let mut fleet = HeardFleet {
            members: MemberTable::new(info(0, 1)),
            now: Instant::now(),
            sequence: 0,
        };
        fleet.hear(&[1, 2, 3, 4]);
        fleet
    }

    fn hear(&mut self, vms: &[usize]) {
        self.sequence += 1;
        for &vm in vms {
            let sender = info(vm, 1);
            self.members
                .record_heartbeat(sender, self.sequence, self.now);
        }
    }

    /// Lets time pass, in which the VM hears only the given ones.
    fn run(&mut self, time: Duration, vms: &[usize]) {
        let end = self.now + time;
        while self.now < end {
            self.now += TICK;
            self.hear(vms);
        }
    }

    fn is_sure(&self, evidence: ListEvidence) -> bool {
        evidence.holds(&self.members, self.now)
    }
}

// Guards against LOST: a VM that was cut off from the others, or stood still, went on serving its list as if nothing could
// have been added.
#[test]
fn list_needs_new_evidence_after_contact_with_half_of_the_fleet_was_lost() {
    // arrange
    let mut fleet = HeardFleet::new();
    let evidence = ListEvidence::new(fleet.now);

    // act
    fleet.run(HEARTBEAT_TIMEOUT - TICK, &[]);
    let in_touch = fleet.is_sure(evidence);
    fleet.run(TICK * 2, &[]);
    let silent = fleet.is_sure(evidence);
    let checked = ListEvidence::new(fleet.now);
    let recent = fleet.is_sure(checked);
    fleet.run(EVIDENCE_LIFETIME, &[]);
    let old = fleet.is_sure(checked);
    fleet.run(TICK, &[1, 2, 3, 4]);
    let returned = fleet.is_sure(evidence);
    let renewed = ListEvidence::new(fleet.now);
    fleet.run(EVIDENCE_LIFETIME * 2, &[1, 2, 3, 4]);
    let renewed = fleet.is_sure(renewed);

    // assert
    assert!(in_touch && recent && renewed);
    assert!(!silent && !old && !returned);
}

// Guards against a call to the store for each read: a VM that reaches most others knows of each takeover of its jobs.
#[test]
fn list_needs_no_new_evidence_while_a_minority_is_silent_or_restarts() {
    // arrange
    let mut fleet = HeardFleet::new();
    let evidence = ListEvidence::new(fleet.now);

    // act
    fleet.run(ISOLATION_GRACE - TICK * 2, &[1, 2, 3]);
    let silent = fleet.is_sure(evidence);
    fleet.members.record_heartbeat(info(4, 2), 1, fleet.now);
    let restarted = fleet.is_sure(evidence);

    // assert
    assert!(silent && restarted);
}

// Guards against LOST: a VM that is isolated for long takes jobs over although it reaches few others.
#[test]
fn list_needs_new_evidence_while_a_vm_is_silent_for_long_and_once_more_afterwards() {
    // arrange
    let mut fleet = HeardFleet::new();
    let evidence = ListEvidence::new(fleet.now);

    // act
    fleet.run(ISOLATION_GRACE, &[1, 2, 3]);
    let silent = fleet.is_sure(evidence);
    fleet.run(MEMBER_EXPIRY, &[1, 2, 3]);
    let mut shrunk = fleet.clone();
    shrunk.members.remove_expired(shrunk.now);
    fleet.run(TICK, &[1, 2, 3, 4]);
    let returned = fleet.is_sure(evidence);
    let removed = shrunk.is_sure(evidence);
    let renewed = [&mut fleet, &mut shrunk].map(|fleet| {
        let renewed = ListEvidence::new(fleet.now);
        fleet.run(EVIDENCE_LIFETIME * 2, &[1, 2, 3]);
        fleet.is_sure(renewed)
    });

    // assert
    assert!(!silent && !returned && !removed);
    assert_eq!(renewed, [true, true]);
}

#[test]
fn vm_that_announced_its_shutdown_is_not_missed() {
    // arrange
    let mut fleet = HeardFleet::new();
    let evidence = ListEvidence::new(fleet.now);
    let leaving = MemberInfo {
        leaving: true,
        ..info(4, 1)
    };
    fleet.members.record_heartbeat(leaving, 2, fleet.now);

    // act
    fleet.run(ISOLATION_GRACE + TICK, &[1, 2, 3]);
    fleet.members.remove_expired(fleet.now);

    // assert
    assert!(fleet.is_sure(evidence));
}

// Guards against LOST: a VM whose write was stored without a response went on serving its list without these results, while
// other VMs read them from the store.
#[test]
fn list_needs_new_evidence_while_the_outcome_of_a_write_is_unknown() {
    // arrange
    let mut fleet = HeardFleet::new();
    let all = [1, 2, 3, 4];
    let mut evidence = ListEvidence::new(fleet.now);
    fleet.run(EVIDENCE_LIFETIME, &all);

    // act
    evidence.begin_write(fleet.now);
    let begun = fleet.is_sure(evidence);
    fleet.run(EVIDENCE_LIFETIME, &all);
    let unanswered = fleet.is_sure(evidence);
    evidence.fail_write(true);
    evidence.begin_write(fleet.now);
    evidence.fail_write(false);
    let ambiguous = fleet.is_sure(evidence);
    evidence.end_write();
    let ended = fleet.is_sure(evidence);
    evidence.begin_write(fleet.now);
    evidence.fail_write(false);
    fleet.run(EVIDENCE_LIFETIME * 2, &all);
    let refused = fleet.is_sure(evidence);

    // assert
    assert!(begun && ended && refused);
    assert!(!unanswered && !ambiguous);
}

/// Events of the fleet.
#[derive(Clone, Debug)]
enum ListEvent {
    /// One of the VMs that have the job stores the result of one more item; the response to the write may be lost.
    Store { keeper: usize, answered: bool },
    /// A client reads the job at a VM.
    Read { vm: usize },
    /// Clients read the job at all VMs.
    ReadAll,
    /// A client ends the job at a VM, which stops the job whether it can store the end or not.
    End { vm: usize },
    /// A VM learns that the job was ended, if that is stored.
    LearnEnd { vm: usize },
    /// One of the VMs that have the job and another VM no longer hear each other.
    CutPair { keeper: usize, other: usize },
    /// All VMs hear each other again.
    HealPairs,
    /// A VM no longer hears another one, or does again.
    CutWay { from: usize, to: usize, cut: bool },
    /// A VM is cut off from all others, or no longer.
    CutVm { vm: usize, cut: bool },
    /// A VM is cut off from the store, or no longer.
    CutStore { vm: usize, cut: bool },
    /// A VM stands still for some ticks. What the others send it meanwhile arrives afterwards.
    Freeze { vm: usize, ticks: u64 },
    /// The process of a VM is lost.
    Kill { vm: usize },
    /// The process of a VM starts, if it was lost.
    Start { vm: usize },
    /// The heartbeats of one VM in the next tick carry no job.
    LoseReport { vm: usize },
    /// Time from the beginning of a takeover until its fence is stored.
    ClaimTime { ticks: u64 },
    /// Time passes.
    Wait { ticks: u64 },
}

struct ListReference;

impl ReferenceStateMachine for ListReference {
    type State = ();
    type Transition = ListEvent;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions(_state: &()) -> BoxedStrategy<ListEvent> {
        let vm = 0..VMS;
        let pair = (0..VMS, 1..VMS).prop_map(|(a, step)| (a, (a + step) % VMS));
        let cut = prop::bool::weighted(0.6);
        prop_oneof![
            6 => (0..VMS, prop::bool::weighted(0.85))
                .prop_map(|(keeper, answered)| ListEvent::Store { keeper, answered }),
            3 => vm.clone().prop_map(|vm| ListEvent::Read { vm }),
            8 => Just(ListEvent::ReadAll),
            1 => vm.clone().prop_map(|vm| ListEvent::End { vm }),
            3 => vm.clone().prop_map(|vm| ListEvent::LearnEnd { vm }),
            2 => (vm.clone(), vm.clone())
                .prop_map(|(keeper, other)| ListEvent::CutPair { keeper, other }),
            1 => Just(ListEvent::HealPairs),
            1 => (pair, cut)
                .prop_map(|((from, to), cut)| ListEvent::CutWay { from, to, cut }),
            2 => (vm.clone(), cut).prop_map(|(vm, cut)| ListEvent::CutVm { vm, cut }),
            1 => (vm.clone(), cut).prop_map(|(vm, cut)| ListEvent::CutStore { vm, cut }),
            1 => (vm.clone(), 1..MAX_FAULT_TICKS)
                .prop_map(|(vm, ticks)| ListEvent::Freeze { vm, ticks }),
            1 => vm.clone().prop_map(|vm| ListEvent::Kill { vm }),
            2 => vm.clone().prop_map(|vm| ListEvent::Start { vm }),
            1 => vm.prop_map(|vm| ListEvent::LoseReport { vm }),
            1 => (0..6_u64).prop_map(|ticks| ListEvent::ClaimTime { ticks }),
            10 => (1..30_u64).prop_map(|ticks| ListEvent::Wait { ticks }),
        ]
        .boxed()
    }

    fn apply(_state: (), _event: &ListEvent) {}
}

/// The job as one VM keeps it.
struct KeptJob {
    progress: JobProgress,
    evidence: ListEvidence,
}

impl KeptJob {
    /// Lists the results of a chunk that the VM wrote.
    fn list(&mut self, number: u32, chunk: &ResultChunk) {
        self.progress.adopt_chunk(number, chunk);
        self.evidence.end_write();
    }
}

/// What a heartbeat carries in the model.
#[derive(Clone)]
struct ModelHeartbeat {
    from: usize,
    incarnation: u64,
    sequence: u64,
    /// Chunks stored, and whether the job is closed, if the VM has the job.
    job: Option<(u32, bool)>,
}

/// A takeover that has read the job and stores its fence later.
struct PendingClaim {
    job: KeptJob,
    due: u64, // Tick.
}

/// One VM of the model.
struct ModelVm {
    alive: bool,
    incarnation: u64,
    sequence: u64,
    frozen_until: u64, // Tick.
    listing: u64,      // Tick of the first listing of the manifests.
    members: MemberTable,
    directory: JobDirectory,
    kept: Option<KeptJob>,
    claim: Option<PendingClaim>,
    knows_end: bool,
    last_minority: Option<Instant>,
    inbox: Vec<ModelHeartbeat>,
    loses_report: bool,
    cut_from_store: bool,
}

impl ModelVm {
    fn new(vm: usize, incarnation: u64, now: Instant) -> ModelVm {
        let mut members = MemberTable::new(info(vm, incarnation));
        for other in 0..VMS {
            members.add_member(info(other, 0), now);
        }
        ModelVm {
            alive: true,
            incarnation,
            sequence: 0,
            frozen_until: 0,
            listing: 0,
            members,
            directory: JobDirectory::default(),
            kept: None,
            claim: None,
            knows_end: false,
            last_minority: None,
            inbox: Vec::new(),
            loses_report: false,
            cut_from_store: false,
        }
    }
}

/// VMs, the links between them, and the objects of one job in the store.
struct ListModel {
    now: Instant,
    tick: u64,
    vms: Vec<ModelVm>,
    cut_ways: Vec<(usize, usize)>,
    isolated: Vec<usize>,
    chunks: Vec<ResultChunk>,
    is_ended: bool,
    claim_ticks: u64,
    /// Lengths of the lists that clients were given, and when.
    served: Vec<(Instant, usize)>,
}

impl ListModel {
    fn new() -> ListModel {
        let now = Instant::now();
        let mut model = ListModel {
            now,
            tick: 0,
            vms: (0..VMS).map(|vm| ModelVm::new(vm, 1, now)).collect(),
            cut_ways: Vec::new(),
            isolated: Vec::new(),
            chunks: Vec::new(),
            is_ended: false,
            claim_ticks: 0,
            served: Vec::new(),
        };
        model.run(3);
        model.vms[0].kept = Some(KeptJob {
            progress: new_progress(),
            evidence: ListEvidence::new(model.now),
        });
        model.run(10);
        model
    }

    /// Returns one of the VMs that have the job.
    fn keeper(&self, number: usize) -> Option<usize> {
        let keepers = (0..VMS).filter(|&vm| self.vms[vm].alive && self.vms[vm].kept.is_some());
        let keepers: Vec<usize> = keepers.collect();
        keepers.get(number % keepers.len().max(1)).copied()
    }

    fn runner_name(&self, vm: usize) -> CompactString {
        format_compact!("vm-{vm}.{}", self.vms[vm].incarnation)
    }

    fn is_running(&self, vm: usize) -> bool {
        self.vms[vm].alive && self.tick >= self.vms[vm].frozen_until
    }

    fn hears(&self, to: usize, from: usize) -> bool {
        !self.cut_ways.contains(&(from, to))
            && !self.isolated.contains(&from)
            && !self.isolated.contains(&to)
    }

    /// Returns whether requests between two VMs are answered.
    fn is_linked(&self, a: usize, b: usize) -> bool {
        self.is_running(a) && self.is_running(b) && self.hears(a, b) && self.hears(b, a)
    }

    fn reaches_store(&self, vm: usize) -> bool {
        self.is_running(vm) && !self.vms[vm].cut_from_store
    }

    fn run(&mut self, ticks: u64) {
        for _ in 0..ticks {
            self.now += TICK;
            self.tick += 1;
            self.send_heartbeats();
            for vm in 0..VMS {
                self.receive_heartbeats(vm);
            }
            for vm in 0..VMS {
                self.vms[vm].members.remove_expired(self.now);
                self.take_over(vm);
            }
        }
    }

    fn send_heartbeats(&mut self) {
        for from in (0..VMS)
            .filter(|&vm| self.is_running(vm))
            .collect::<Vec<_>>()
        {
            let sender = &mut self.vms[from];
            sender.sequence += 1;
            let kept = sender.kept.as_ref();
            let job = kept.map(|kept| (kept.progress.chunks(), kept.progress.is_closed()));
            let heartbeat = ModelHeartbeat {
                from,
                incarnation: sender.incarnation,
                sequence: sender.sequence,
                job: job.filter(|_| !sender.loses_report),
            };
            sender.loses_report = false;
            for to in 0..VMS {
                if to != from && self.vms[to].alive && self.hears(to, from) {
                    self.vms[to].inbox.push(heartbeat.clone());
                }
            }
        }
    }

    fn receive_heartbeats(&mut self, vm: usize) {
        if !self.is_running(vm) {
            return;
        }
        for heartbeat in std::mem::take(&mut self.vms[vm].inbox) {
            self.receive(vm, &heartbeat);
        }
    }

    fn receive(&mut self, vm: usize, heartbeat: &ModelHeartbeat) {
        let now = self.now;
        let receiver = &mut self.vms[vm];
        let sender = info(heartbeat.from, heartbeat.incarnation);
        let outcome = receiver
            .members
            .record_heartbeat(sender, heartbeat.sequence, now);
        let Some((chunks, closed)) = heartbeat.job else {
            return;
        };
        if outcome == boragerill::member::HeartbeatOutcome::Stale {
            return;
        }
        self.resolve_duplicate(vm, heartbeat.from, chunks);
        let report = JobRecord {
            id: JOB.into(),
            runner: Some(JobRunner {
                vm: vm_hash(heartbeat.from),
                incarnation: heartbeat.incarnation,
            }),
            submitted: now,
            waiting_tokens: 0,
            account: 7,
            closed,
            chunks,
            abandoned: Vec::new(),
            refreshed: now,
        };
        if let Some(outdated) = self.vms[vm].directory.record_report(report) {
            self.notify(vm, &outdated);
        }
    }

    fn resolve_duplicate(&mut self, vm: usize, other: usize, chunks: u32) {
        let is_preferred = vm_hash(other) > vm_hash(vm);
        let kept = self.vms[vm].kept.as_ref();
        if kept.is_some_and(|kept| kept.progress.yields_to(chunks, is_preferred)) {
            self.release(vm);
        }
    }

    fn release(&mut self, vm: usize) {
        let now = self.now;
        self.vms[vm].kept = None;
        self.vms[vm].directory.postpone_takeover(JOB, now);
    }

    /// Tells an outdated runner of the one that has stored more.
    fn notify(&mut self, vm: usize, outdated: &OutdatedRunner) {
        let find = |hash: u64| (0..VMS).find(|&vm| vm_hash(vm) == hash).expect("VM");
        let target = find(outdated.runner.vm);
        let current = outdated.current.runner.expect("runner");
        let is_reachable = self.vms[vm].members.reaches(outdated.runner.vm, self.now);
        if target != vm && is_reachable && self.is_linked(vm, target) {
            self.resolve_duplicate(target, find(current.vm), outdated.current.chunks);
            let until = self.now + CLAIM_HOLD_TIME;
            self.vms[target].directory.postpone_takeover(JOB, until);
        }
    }

    /// Begins or ends the takeover of the job by a VM.
    fn take_over(&mut self, vm: usize) {
        let now = self.now;
        if !self.is_running(vm) {
            return;
        }
        let taker = &mut self.vms[vm];
        if !taker.members.reaches_half(now) {
            taker.last_minority = Some(now);
        }
        if let Some(claim) = taker.claim.take() {
            match self.tick >= claim.due {
                true => self.store_fence(vm, claim.job),
                false => self.vms[vm].claim = Some(claim),
            }
            return;
        }
        let view = TakeoverView {
            members: &taker.members,
            last_minority: taker.last_minority,
        };
        let is_watcher = taker.members.own_rank(hash_name("watch"), now) == 0;
        let is_listing = self.tick == taker.listing || is_watcher && self.tick % LISTING_TICKS == 0;
        if is_listing && taker.kept.is_none() && !taker.knows_end {
            let refreshed = now - UNREPORTED_TIMEOUT;
            taker.directory.record_unreported(unreported(refreshed));
        }
        let is_orphan = !taker.directory.orphans(view, now).is_empty();
        if taker.kept.is_some() || taker.knows_end || !is_orphan {
            return;
        }
        if !self.reaches_store(vm) {
            self.vms[vm].directory.postpone_takeover(JOB, now);
            return;
        }
        if let Some(job) = self.load_job(vm) {
            let due = self.tick + self.claim_ticks;
            self.vms[vm].claim = Some(PendingClaim { job, due });
        }
    }

    fn load_job(&mut self, vm: usize) -> Option<KeptJob> {
        let mut progress = new_progress();
        for (number, chunk) in (0..).zip(&self.chunks) {
            progress.adopt_chunk(number, chunk);
        }
        if self.is_ended && !progress.is_complete() {
            let now = self.now;
            self.vms[vm].directory.record_closed(JOB, now);
            return None;
        }
        Some(KeptJob {
            progress,
            evidence: ListEvidence::new(self.now),
        })
    }

    fn store_fence(&mut self, vm: usize, mut job: KeptJob) {
        if self.vms[vm].kept.is_some() {
            return;
        }
        if job.progress.is_complete() {
            self.vms[vm].kept = Some(job);
            return;
        }
        let is_free = self.chunks.len() == usize::try_from(job.progress.chunks()).expect("small");
        if !self.reaches_store(vm) || !is_free {
            let now = self.now;
            self.vms[vm].directory.postpone_takeover(JOB, now);
            return;
        }
        let fence = ResultChunk {
            runner: self.runner_name(vm),
            results: Vec::new(),
        };
        let number = job.progress.chunks();
        job.progress.adopt_chunk(number, &fence);
        self.chunks.push(fence);
        if self.vms[vm].knows_end {
            job.progress.cancel();
        }
        self.vms[vm].directory.record_own(JOB);
        self.vms[vm].kept = Some(job);
    }

    /// Stores one more result, if this VM's next chunk is free; else finds out who stored that one.
    fn store_result(&mut self, vm: usize, is_answered: bool) {
        let runner = self.runner_name(vm);
        if !self.reaches_store(vm) {
            return;
        }
        let Some(kept) = &mut self.vms[vm].kept else {
            return;
        };
        let number = kept.progress.chunks();
        let position = usize::try_from(number).expect("small");
        if let Some(stored) = self.chunks.get(position) {
            match stored.runner == runner {
                true => kept.list(number, stored),
                false => self.release(vm),
            }
            return;
        }
        let listed = kept.progress.listed();
        let is_unlisted = |item: &usize| !listed.iter().any(|known| known.id == item_id(*item));
        let Some(item) = (0..ITEMS).find(is_unlisted) else {
            return;
        };
        let chunk = ResultChunk {
            runner,
            results: vec![JobResult {
                id: item_id(item),
                outcome: JobOutcome::Completed,
                text: "token 0".into(),
            }],
        };
        kept.evidence.begin_write(self.now);
        match is_answered {
            true => kept.list(number, &chunk),
            false => kept.evidence.fail_write(true),
        }
        self.chunks.push(chunk);
    }

    /// Returns the number of results that a VM lists from its own copy: `Err` if it can't be sure, `None` if it has no copy.
    fn kept_list(&mut self, vm: usize) -> Result<Option<usize>, ()> {
        let (now, runner) = (self.now, self.runner_name(vm));
        let reaches_store = self.reaches_store(vm);
        loop {
            let ModelVm { members, kept, .. } = &mut self.vms[vm];
            let Some(job) = kept else {
                return Ok(None);
            };
            if job.progress.is_complete() || job.evidence.holds(members, now) {
                return Ok(Some(job.progress.listed().len()));
            }
            if !reaches_store {
                return Err(());
            }
            let number = job.progress.chunks();
            match self.chunks.get(usize::try_from(number).expect("small")) {
                None => {
                    job.evidence.record(now);
                    return Ok(Some(job.progress.listed().len()));
                }
                Some(chunk) if chunk.runner == runner => job.list(number, chunk),
                Some(_) => self.release(vm),
            }
        }
    }

    /// Returns the number of results that a client gets at a VM; `None` if it is refused.
    fn read(&mut self, vm: usize) -> Option<usize> {
        if !self.is_running(vm) {
            return None;
        }
        if let Some(listed) = self.kept_list(vm).ok()? {
            return Some(listed);
        }
        let runner = self.vms[vm].directory.find(JOB)?.runner;
        let runner = runner.and_then(|runner| (0..VMS).find(|&vm| vm_hash(vm) == runner.vm));
        if let Some(other) = runner.filter(|&other| other != vm && self.is_linked(vm, other)) {
            if let Ok(Some(listed)) = self.kept_list(other) {
                return Some(listed);
            }
        }
        let stored = self.chunks.iter().map(|chunk| chunk.results.len()).sum();
        self.reaches_store(vm).then_some(stored)
    }

    /// Reads at a VM and checks that nothing is missing that was served long enough ago.
    fn check_read(&mut self, vm: usize) {
        let now = self.now;
        let Some(listed) = self.read(vm) else {
            return;
        };
        let settled = self
            .served
            .iter()
            .filter(|served| served.0 + SETTLE_TIME < now);
        let longest = settled.map(|served| served.1).max().unwrap_or_default();
        assert!(
            listed >= longest,
            "vm-{vm} lists {listed} results, {longest} were listed"
        );
        self.served.push((now, listed));
    }

    fn end(&mut self, vm: usize) {
        if !self.is_running(vm) {
            return;
        }
        self.is_ended |= self.reaches_store(vm);
        self.stop(vm);
    }

    fn stop(&mut self, vm: usize) {
        self.vms[vm].knows_end = true;
        if let Some(kept) = &mut self.vms[vm].kept {
            kept.progress.cancel();
        }
    }

    fn start(&mut self, vm: usize) {
        if !self.vms[vm].alive {
            let incarnation = self.vms[vm].incarnation + 1;
            let cut_from_store = self.vms[vm].cut_from_store;
            self.vms[vm] = ModelVm {
                cut_from_store,
                listing: self.tick + START_TICKS,
                ..ModelVm::new(vm, incarnation, self.now)
            };
        }
    }

    fn set_way(&mut self, from: usize, to: usize, cut: bool) {
        self.cut_ways.retain(|way| *way != (from, to));
        if cut {
            self.cut_ways.push((from, to));
        }
    }

    /// Ends all faults, and waits until all VMs are in touch.
    fn heal(&mut self) {
        self.cut_ways.clear();
        self.isolated.clear();
        for vm in 0..VMS {
            self.vms[vm].cut_from_store = false;
            self.vms[vm].frozen_until = 0;
            self.start(vm);
        }
        let until = self.now + CONTACT_TIME;
        while self.now < until {
            self.run(1);
        }
    }
}

fn unreported(now: Instant) -> JobRecord {
    JobRecord {
        id: JOB.into(),
        runner: None,
        submitted: now,
        waiting_tokens: 0,
        account: 7,
        closed: false,
        chunks: 0,
        abandoned: Vec::new(),
        refreshed: now,
    }
}

struct ListTest;

impl StateMachineTest for ListTest {
    type SystemUnderTest = ListModel;
    type Reference = ListReference;

    fn init_test(_state: &()) -> ListModel {
        ListModel::new()
    }

    fn apply(mut model: ListModel, _state: &(), event: ListEvent) -> ListModel {
        match event {
            ListEvent::Store { keeper, answered } => {
                if let Some(vm) = model.keeper(keeper) {
                    model.store_result(vm, answered);
                }
            }
            ListEvent::Read { vm } => model.check_read(vm),
            ListEvent::ReadAll => (0..VMS).for_each(|vm| model.check_read(vm)),
            ListEvent::End { vm } => model.end(vm),
            ListEvent::LearnEnd { vm } => {
                if model.is_ended && model.is_running(vm) {
                    model.stop(vm);
                }
            }
            ListEvent::CutPair { keeper, other } => {
                if let Some(vm) = model.keeper(keeper).filter(|&vm| vm != other) {
                    model.set_way(vm, other, true);
                    model.set_way(other, vm, true);
                }
            }
            ListEvent::HealPairs => model.cut_ways.clear(),
            ListEvent::CutWay { from, to, cut } => model.set_way(from, to, cut),
            ListEvent::CutVm { vm, cut } => {
                model.isolated.retain(|known| *known != vm);
                if cut {
                    model.isolated.push(vm);
                }
            }
            ListEvent::CutStore { vm, cut } => model.vms[vm].cut_from_store = cut,
            ListEvent::Freeze { vm, ticks } => model.vms[vm].frozen_until = model.tick + ticks,
            ListEvent::Kill { vm } => {
                model.vms[vm].alive = false;
                model.vms[vm].inbox.clear();
            }
            ListEvent::Start { vm } => model.start(vm),
            ListEvent::LoseReport { vm } => model.vms[vm].loses_report = true,
            ListEvent::ClaimTime { ticks } => model.claim_ticks = ticks,
            ListEvent::Wait { ticks } => model.run(ticks),
        }
        model
    }

    fn teardown(mut model: ListModel, _state: ()) {
        model.heal();
        (0..VMS).for_each(|vm| model.check_read(vm));
    }
}

prop_state_machine! {
    #![proptest_config(ProptestConfig {
        cases: ProptestConfig::default().cases.max(MIN_CASES),
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(67),
        ..ProptestConfig::default()
    })]

    // Guards against LOST: a VM that had been replaced as the runner of a job went on serving its shorter list of results.
    #[test]
    fn what_one_vm_has_listed_every_vm_lists(sequential 1..60 => ListTest);
}
