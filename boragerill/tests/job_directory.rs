//! Tests of the directory of jobs: every accepted job has a runner again, whichever VMs, messages and calls were lost.

use std::time::{
    Duration,
    Instant, //
};

use boragerill::{
    job_directory::{
        JobDirectory,
        JobRecord,
        JobRunner,
        TakeoverView,
        ANNOUNCE_DELAY,
        UNREPORTED_TIMEOUT, //
    },
    member::{
        MemberInfo,
        MemberTable, //
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

const VMS: usize = 4;

/// Period of heartbeats and of all other activity of the model.
const TICK: Duration = Duration::from_millis(150);

/// Ticks from one listing of the manifests to the next.
const LISTING_TICKS: u64 = 60;

/// Ticks after the last fault within which every open job has a runner: an interval of listings, and the wait for the
/// VM of the lowest rank.
const HEAL_TICKS: u64 = LISTING_TICKS + 80;

fn info(vm: usize, incarnation: u64) -> MemberInfo {
    MemberInfo {
        vm: format_compact!("vm-{vm}"),
        address: "10.0.0.1:7360".into(),
        domain: format_compact!("domain-{}", vm % 2),
        incarnation,
        ..MemberInfo::default()
    }
}

fn unreported(id: &str, now: Instant) -> JobRecord {
    JobRecord {
        id: id.into(),
        runner: None,
        submitted: now,
        waiting_tokens: 940,
        account: 7,
        closed: false,
        chunks: 0,
        abandoned: Vec::new(),
        refreshed: now,
    }
}

fn reported(id: &str, vm: usize, now: Instant) -> JobRecord {
    let runner = JobRunner {
        vm: hash_name(&info(vm, 1).vm),
        incarnation: 1,
    };
    JobRecord {
        runner: Some(runner),
        ..unreported(id, now)
    }
}

#[test]
fn unreported_job_is_announced_and_then_taken_over_again_and_again() {
    // arrange
    let now = Instant::now();
    let members = MemberTable::new(info(0, 1));
    let view = TakeoverView {
        members: &members,
        last_minority: None,
    };
    let mut directory = JobDirectory::default();
    directory.record_found(unreported("job-1", now));

    // act
    let early = directory.unreported(now + ANNOUNCE_DELAY / 2).count();
    let announced = directory.unreported(now + ANNOUNCE_DELAY).count();
    let due = now + UNREPORTED_TIMEOUT;
    let before = directory.orphans(view, due - TICK).len();
    let orphans = directory.orphans(view, due).len();
    directory.postpone_takeover("job-1", due);
    let postponed = directory.orphans(view, due + TICK).len();
    let again = directory.orphans(view, due + UNREPORTED_TIMEOUT).len();

    // assert
    assert_eq!((early, announced), (0, 1));
    assert_eq!((before, orphans, postponed, again), (0, 1, 0, 1));
}

#[test]
fn report_of_a_runner_ends_the_announcement() {
    // arrange
    let now = Instant::now();
    let mut directory = JobDirectory::default();
    directory.record_found(unreported("job-1", now));

    // act
    directory.record_report(reported("job-1", 1, now));
    directory.record_found(unreported("job-1", now));

    // assert
    assert_eq!(directory.unreported(now + ANNOUNCE_DELAY).count(), 0);
    assert!(directory
        .find("job-1")
        .is_some_and(|job| job.runner.is_some()));
}

// Guards against endless reads of the store: a job that this VM had finished was loaded again and again after the
// retention of its results, since the record of its lost runner stayed open.
#[test]
fn finished_job_of_a_lost_runner_is_not_taken_over_again() {
    // arrange
    let now = Instant::now();
    let members = MemberTable::new(info(0, 1));
    let view = TakeoverView {
        members: &members,
        last_minority: None,
    };
    let mut directory = JobDirectory::default();
    directory.record_report(reported("job-1", 1, now));

    // act
    let later = now + Duration::from_secs(120);
    let orphans = directory.orphans(view, later).len();
    directory.record_closed("job-1", later);
    directory.record_closed("job-2", later);

    // assert
    assert_eq!(orphans, 1);
    let end = later + Duration::from_secs(10);
    assert!(directory.orphans(view, end).is_empty());
    directory.record_found(unreported("job-2", end));
    assert!(directory
        .orphans(view, end + Duration::from_secs(10))
        .is_empty());
}

/// Events of the fleet.
#[derive(Clone, Debug)]
enum FleetEvent {
    /// A VM accepts a job.
    Submit { vm: usize },
    /// A VM accepts a job and is lost before its next heartbeat.
    SubmitAndKill { vm: usize },
    /// A VM stores a job, but the submission ends before the VM runs the job.
    SubmitOnly,
    /// The process of a VM is lost.
    Kill { vm: usize },
    /// The process of a VM starts, if it was lost.
    Start { vm: usize },
    /// All processes are lost and start again.
    RestartAll,
    /// A VM is partitioned from the others, or the partition ends.
    Partition { vm: usize, partitioned: bool },
    /// The store becomes available or unavailable.
    Store { available: bool },
    /// The next watch call loses its events.
    LoseWatch,
    /// Heartbeats of this tick are lost.
    LoseHeartbeats,
    /// Time passes.
    Wait { ticks: u64 },
}

struct FleetReference;

impl ReferenceStateMachine for FleetReference {
    type State = ();
    type Transition = FleetEvent;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions(_state: &()) -> BoxedStrategy<FleetEvent> {
        let vm = 0..VMS;
        prop_oneof![
            3 => vm.clone().prop_map(|vm| FleetEvent::Submit { vm }),
            2 => vm.clone().prop_map(|vm| FleetEvent::SubmitAndKill { vm }),
            1 => Just(FleetEvent::SubmitOnly),
            1 => vm.clone().prop_map(|vm| FleetEvent::Kill { vm }),
            2 => vm.clone().prop_map(|vm| FleetEvent::Start { vm }),
            1 => Just(FleetEvent::RestartAll),
            2 => (vm, any::<bool>())
                .prop_map(|(vm, partitioned)| FleetEvent::Partition { vm, partitioned }),
            2 => any::<bool>().prop_map(|available| FleetEvent::Store { available }),
            1 => Just(FleetEvent::LoseWatch),
            1 => Just(FleetEvent::LoseHeartbeats),
            4 => (1..30_u64).prop_map(|ticks| FleetEvent::Wait { ticks }),
        ]
        .boxed()
    }

    fn apply(_state: (), _event: &FleetEvent) {}
}

/// One VM of the model.
struct ModelVm {
    alive: bool,
    partitioned: bool,
    incarnation: u64,
    sequence: u64,
    members: MemberTable,
    directory: JobDirectory,
    jobs: Vec<CompactString>,
    last_minority: Option<Instant>,
    /// Number of manifests known, and the tick of the last listing.
    watched: Option<(usize, u64)>,
}

impl ModelVm {
    fn new(vm: usize, incarnation: u64) -> ModelVm {
        ModelVm {
            alive: true,
            partitioned: false,
            incarnation,
            sequence: 0,
            members: MemberTable::new(info(vm, incarnation)),
            directory: JobDirectory::default(),
            jobs: Vec::new(),
            last_minority: None,
            watched: None,
        }
    }
}

/// VMs and the store.
struct FleetModel {
    now: Instant,
    tick: u64,
    vms: Vec<ModelVm>,
    manifests: Vec<CompactString>, // In the order of their creation.
    available: bool,
    loses_watch: bool,
    loses_heartbeats: bool,
}

impl FleetModel {
    fn new() -> FleetModel {
        FleetModel {
            now: Instant::now(),
            tick: 0,
            vms: (0..VMS).map(|vm| ModelVm::new(vm, 1)).collect(),
            manifests: Vec::new(),
            available: true,
            loses_watch: false,
            loses_heartbeats: false,
        }
    }

    fn store_job(&mut self) -> Option<CompactString> {
        let id = format_compact!("job-{}", self.manifests.len());
        self.available.then(|| self.manifests.push(id.clone()))?;
        Some(id)
    }

    fn submit(&mut self, vm: usize) {
        if !self.vms[vm].alive {
            return;
        }
        if let Some(id) = self.store_job() {
            self.vms[vm].directory.record_own(&id);
            self.vms[vm].jobs.push(id);
        }
    }

    fn start(&mut self, vm: usize) {
        if !self.vms[vm].alive {
            let before = &self.vms[vm];
            let (incarnation, partitioned) = (before.incarnation + 1, before.partitioned);
            self.vms[vm] = ModelVm {
                partitioned,
                ..ModelVm::new(vm, incarnation)
            };
        }
    }

    fn run(&mut self, ticks: u64) {
        for _ in 0..ticks {
            self.now += TICK;
            self.tick += 1;
            self.send_heartbeats();
            for vm in 0..VMS {
                self.watch_jobs(vm);
            }
            for vm in 0..VMS {
                self.take_over(vm);
            }
        }
    }

    fn send_heartbeats(&mut self) {
        if std::mem::take(&mut self.loses_heartbeats) {
            return;
        }
        for from in 0..VMS {
            for to in 0..VMS {
                let is_connected = !self.vms[from].partitioned && !self.vms[to].partitioned;
                let is_alive = self.vms[from].alive && self.vms[to].alive;
                if from != to && is_alive && is_connected {
                    self.send_heartbeat(from, to);
                }
            }
            self.vms[from].sequence += 1;
        }
    }

    fn send_heartbeat(&mut self, from: usize, to: usize) {
        let now = self.now;
        let sender = &self.vms[from];
        let (incarnation, sequence) = (sender.incarnation, sender.sequence + 1);
        let jobs = sender.jobs.clone();
        let announced: Vec<JobRecord> = sender.directory.unreported(now).cloned().collect();
        let runner = JobRunner {
            vm: hash_name(&info(from, 1).vm),
            incarnation,
        };
        let receiver = &mut self.vms[to];
        let sender_info = info(from, incarnation);
        receiver
            .members
            .record_heartbeat(sender_info, sequence, now);
        for id in jobs {
            receiver.directory.record_report(JobRecord {
                runner: Some(runner),
                ..unreported(&id, now)
            });
        }
        for job in announced {
            if !receiver.jobs.contains(&job.id) {
                receiver.directory.record_unreported(JobRecord {
                    refreshed: now - ANNOUNCE_DELAY,
                    ..job
                });
            }
        }
    }

    /// Compares the manifests in the store with the directory of a VM, if the VM ranks first for that.
    fn watch_jobs(&mut self, vm: usize) {
        let (now, tick) = (self.now, self.tick);
        let watcher = &mut self.vms[vm];
        if !watcher.alive || watcher.members.own_rank(hash_name("watch"), now) > 0 {
            watcher.watched = None;
            return;
        }
        if !self.available {
            return;
        }
        let known = watcher
            .watched
            .filter(|watched| tick < watched.1 + LISTING_TICKS);
        let (first, listed) = known.unwrap_or((0, tick));
        watcher.watched = Some((self.manifests.len(), listed));
        if known.is_some() && std::mem::take(&mut self.loses_watch) {
            return;
        }
        for id in &self.manifests[first..] {
            if !watcher.jobs.contains(id) {
                watcher.directory.record_found(unreported(id, now));
            }
        }
    }

    fn take_over(&mut self, vm: usize) {
        let now = self.now;
        let taker = &mut self.vms[vm];
        if !taker.alive {
            return;
        }
        if !taker.members.reaches_half(now) {
            taker.last_minority = Some(now);
        }
        let view = TakeoverView {
            members: &taker.members,
            last_minority: taker.last_minority,
        };
        let mut orphans = taker.directory.orphans(view, now);
        orphans.retain(|job| !taker.jobs.contains(&job.id));
        for job in orphans {
            if !self.available {
                self.vms[vm].directory.postpone_takeover(&job.id, now);
                continue;
            }
            // The fence of the new runner stops an earlier one.
            for other in &mut self.vms {
                other.jobs.retain(|id| *id != job.id);
            }
            self.vms[vm].directory.record_own(&job.id);
            self.vms[vm].jobs.push(job.id);
        }
    }

    /// Ends all faults, and waits until every job has to have a runner.
    fn heal(&mut self) {
        self.available = true;
        for vm in 0..VMS {
            self.vms[vm].partitioned = false;
            self.start(vm);
        }
        self.run(HEAL_TICKS);
    }

    fn runners(&self, id: &str) -> usize {
        let alive = self.vms.iter().filter(|vm| vm.alive);
        alive
            .filter(|vm| vm.jobs.iter().any(|job| job == id))
            .count()
    }
}

struct FleetTest;

impl StateMachineTest for FleetTest {
    type SystemUnderTest = FleetModel;
    type Reference = FleetReference;

    fn init_test(_state: &()) -> FleetModel {
        let mut model = FleetModel::new();
        model.run(10);
        model
    }

    fn apply(mut model: FleetModel, _state: &(), event: FleetEvent) -> FleetModel {
        match event {
            FleetEvent::Submit { vm } => model.submit(vm),
            FleetEvent::SubmitAndKill { vm } => {
                model.submit(vm);
                model.vms[vm].alive = false;
            }
            FleetEvent::SubmitOnly => {
                model.store_job();
            }
            FleetEvent::Kill { vm } => model.vms[vm].alive = false,
            FleetEvent::Start { vm } => model.start(vm),
            FleetEvent::RestartAll => {
                for vm in 0..VMS {
                    model.vms[vm].alive = false;
                    model.start(vm);
                }
            }
            FleetEvent::Partition { vm, partitioned } => model.vms[vm].partitioned = partitioned,
            FleetEvent::Store { available } => model.available = available,
            FleetEvent::LoseWatch => model.loses_watch = true,
            FleetEvent::LoseHeartbeats => model.loses_heartbeats = true,
            FleetEvent::Wait { ticks } => model.run(ticks),
        }
        model
    }

    fn teardown(mut model: FleetModel, _state: ()) {
        model.heal();
        for id in &model.manifests {
            assert_eq!(model.runners(id), 1, "runners of {id}");
        }
    }
}

prop_state_machine! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(43),
        ..ProptestConfig::default()
    })]

    // Guards against LOST: a job whose VM was lost before its first heartbeat had no runner for good.
    #[test]
    fn every_accepted_job_has_a_runner_after_any_faults(sequential 1..40 => FleetTest);
}
