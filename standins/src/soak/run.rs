//! One run: starts store, servers, VMs and clients, carries the plan out, and checks the outcome.

use std::{
    io,
    net::SocketAddr,
    path::PathBuf,
    sync::{
        atomic::{
            AtomicBool,
            AtomicUsize,
            Ordering, //
        },
        Arc,
        Mutex, //
    },
    time::{
        Duration,
        Instant,
        SystemTime,
        UNIX_EPOCH, //
    },
};

use crate::standard_store::StandardStore;
use boragerill::sync::lock;
use nix::sys::signal::Signal;
use rand::RngExt;
use reqwest::Client;
use tokio::{
    task::JoinSet,
    time::{
        sleep,
        sleep_until, //
    },
};

use super::{
    clients::{
        SoakClients,
        StreamOutcome, //
    },
    config::{
        added_path,
        config,
        RESUMABLE_PATH,
        SINGLE_PATH,
        WARMUP_TIME, //
    },
    events::ServerRuns,
    fleet::{
        self,
        begin_fault,
        domain,
        SoakVm,
        VmFault, //
    },
    jobs::{
        is_item,
        JobClients, //
    },
    links::SoakLinks,
    load::SoakLoad,
    oracle::{
        ConfigChange,
        RuleBounds,
        RunRecord,
        ServerLeave,
        ServerWarmup, //
    },
    plan::{
        make_plan,
        PlanTerms,
        SoakAction, //
    },
    servers::{
        ServerArrival,
        ServerTerms,
        SoakServer, //
    },
    trouble::{
        LinkTrouble,
        RelayScope, //
    },
};

/// Number of VMs from which on the bounds of large deployments hold.
const LARGE_FLEET: usize = 60;

/// Longest wait for all VMs to be ready.
const READY_LIMIT: Duration = Duration::from_secs(30);

/// Time from the readiness of all VMs to the start of the load.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// Time in which a VM has to end after SIGTERM.
const GRACE_TIME: Duration = Duration::from_secs(8);

/// Time from the registration of a server to the leave of the server that it replaces.
const RELEASE_PAUSE: Duration = Duration::from_millis(500);

/// Time after the end of a server that sends nothing more until its entry expires.
const EXPIRY_TIME: Duration = Duration::from_millis(1500);

/// Downtime of a server that doesn't come back.
const FOREVER: Duration = Duration::from_secs(3600);

/// Period of a quota of processor time.
const QUOTA_PERIOD: Duration = Duration::from_millis(100);

/// Interval of the checks whether this process itself ran, which contains the store and the clients.
const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Length from which on a time in which this process didn't run counts as an outage of the store.
const MIN_STALL: Duration = Duration::from_millis(300);

/// Interval at which a server that is warming up writes its entry.
const ENTRY_INTERVAL: Duration = Duration::from_millis(1200);

/// Time from the last of these entries to the end of the warm-up.
const LAST_INTERVAL: Duration = Duration::from_millis(600);

/// Time from the end of the load to the end of the run.
const DRAIN_TIME: Duration = Duration::from_secs(3);

/// What a run consists of.
#[derive(Clone, Debug)]
pub struct SoakOptions {
    /// Program of a VM.
    pub program: PathBuf,
    /// Number of VMs.
    pub vms: usize,
    /// Number of servers.
    pub servers: usize,
    /// Length of the load.
    pub seconds: u64,
    /// Seed of the plan.
    pub seed: u64,
    /// Requests a second at each VM.
    pub rate: f64,
    /// Number of busy threads beside the fleet.
    pub busy: usize,
    /// Number of routes that the large change adds.
    pub routes: usize,
    /// Share of the time in which each VM's process runs, as under a quota of processor time.
    pub share: f64,
    /// Links that relays stand on, and that are disturbed.
    pub relays: RelayScope,
    /// What clients send, and how servers answer.
    pub load: SoakLoad,
    /// Folder that keeps settings and logs.
    pub keep: Option<PathBuf>,
}

impl Default for SoakOptions {
    fn default() -> SoakOptions {
        SoakOptions {
            program: PathBuf::new(),
            vms: 6,
            servers: 9,
            seconds: 25,
            seed: 1,
            rate: 4.0,
            busy: 0,
            routes: 1972,
            share: 1.0,
            relays: RelayScope::All,
            load: SoakLoad::default(),
            keep: None,
        }
    }
}

impl SoakOptions {
    /// Returns options of a load that rises and falls: more VMs, at which crests need nearly all slots of the servers.
    pub fn stepped() -> SoakOptions {
        SoakOptions {
            vms: 8,
            rate: 6.0,
            load: SoakLoad::stepped(),
            ..SoakOptions::default()
        }
    }

    /// Returns options of a load at servers that are slow after their start: enough requests to exceed their rate.
    pub fn warming() -> SoakOptions {
        SoakOptions {
            servers: 6,
            rate: 25.0,
            routes: 300,
            load: SoakLoad::warming(),
            ..SoakOptions::default()
        }
    }
}

/// Everything that runs.
struct SoakRun {
    store: StandardStore,
    servers: Mutex<Vec<Arc<SoakServer>>>,
    terms: ServerTerms,
    vms: Mutex<Vec<SoakVm>>,
    clients: SoakClients,
    configs: Mutex<Vec<ConfigChange>>,
    leaves: Mutex<Vec<(usize, Instant)>>, // Servers that leave, and when that was acknowledged.
    outages: Mutex<Vec<VmFault>>,         // Outages of the store, and connections that went silent.
    stalls: Mutex<Vec<VmFault>>,          // Times in which this process didn't run.
    links: SoakLinks,
    troubles: Mutex<Vec<(Instant, LinkTrouble)>>, // Those that have begun.
    jobs: JobClients,
    added: AtomicUsize, // Added routes of the newest configuration.
}

/// Runs a soak, prints what was seen, and returns whether all rules were kept.
///
/// # Errors
///
/// Returns the error of a file or process, or one if a VM isn't ready in time.
pub async fn run_soak(options: SoakOptions) -> io::Result<bool> {
    let folder = options.keep.clone().unwrap_or_else(|| {
        std::env::temp_dir().join(format!("boragerill-soak-{}", std::process::id()))
    });
    std::fs::create_dir_all(&folder)?;
    let run = Arc::new(start(&options, &folder).await?);
    let busy = start_busy_threads(options.busy);
    let begin = Instant::now();
    let end = begin + Duration::from_secs(options.seconds);
    let mut tasks = JoinSet::new();
    tasks.spawn(submit_jobs(run.clone(), end));
    tasks.spawn(record_stalls(run.clone(), end));
    for vm in 0..options.vms {
        tasks.spawn(throttle(run.clone(), vm, options.share, end));
        tasks.spawn(send_load(run.clone(), vm, options.rate, (begin, end)));
        tasks.spawn(send_probes(run.clone(), vm, end));
    }
    let plan = make_plan(PlanTerms {
        vms: options.vms,
        servers: options.servers,
        length: Duration::from_secs(options.seconds),
        routes: options.routes,
        relays: options.relays,
        has_releases: options.load.has_releases,
        in_place: options.load.in_place,
        crashes_domain: options.load.warms_up,
        seed: options.seed,
    });
    for (at, action) in plan {
        let run = run.clone();
        tasks.spawn(async move {
            sleep_until((begin + at).into()).await;
            run.carry_out(action).await;
        });
    }
    while tasks.join_next().await.is_some() {}
    sleep(DRAIN_TIME).await;
    busy.store(true, Ordering::Relaxed);
    let kept = run.report(begin, options.vms);
    if options.keep.is_none() {
        std::fs::remove_dir_all(&folder)?;
    }
    Ok(kept)
}

/// Starts store, servers and VMs, and waits until the VMs are ready.
async fn start(options: &SoakOptions, folder: &std::path::Path) -> io::Result<SoakRun> {
    let store = StandardStore::start().await;
    store.write("config", "main", config(1, 0, options.load.warms_up));
    let load = Arc::new(options.load.clone());
    let terms = ServerTerms {
        load: load.clone(),
        seed: options.seed,
        runs: ServerRuns::default(),
    };
    let mut servers = Vec::new();
    for index in 0..options.servers {
        let id = format!("i-{index:03}");
        let server = SoakServer::start(id, "v1", domain(index), &terms).await;
        store.write("servers", &server.id, server.entry("ready", 1));
        servers.push(Arc::new(server));
    }
    let addresses = fleet::peer_addresses(options.vms, options.relays);
    let links = SoakLinks::start(options.relays, store.address(), &addresses, options.seed).await?;
    let vms = fleet::start(
        &options.program,
        (store.address(), &links),
        &addresses,
        folder,
    )?;
    let callers: Vec<SocketAddr> = vms.iter().map(|vm| vm.callers).collect();
    let ready: Vec<_> = vms.iter().map(|vm| vm.ready).collect();
    let client = Client::builder().no_proxy().timeout(Duration::from_secs(1));
    let client = client.build().map_err(io::Error::other)?;
    if !fleet::wait_ready(&client, &ready, READY_LIMIT).await {
        return Err(io::Error::other("a VM isn't ready in time"));
    }
    sleep(SETTLE_TIME).await;
    Ok(SoakRun {
        store,
        servers: Mutex::new(servers),
        vms: Mutex::new(vms),
        clients: SoakClients::new(callers.clone(), load.clone(), terms.runs.clone()),
        configs: Mutex::new(vec![ConfigChange {
            version: 1,
            acknowledged: Instant::now(),
            added: 0,
        }]),
        leaves: Mutex::default(),
        outages: Mutex::default(),
        stalls: Mutex::default(),
        links,
        troubles: Mutex::default(),
        jobs: JobClients::new(callers, load, terms.runs.clone()),
        terms,
        added: AtomicUsize::new(0),
    })
}

/// Starts threads that use a core each until the returned flag is set.
fn start_busy_threads(count: usize) -> Arc<AtomicBool> {
    let done: Arc<AtomicBool> = Arc::default();
    for _ in 0..count {
        let done = done.clone();
        std::thread::spawn(move || {
            let mut value = 1_u64;
            while !done.load(Ordering::Relaxed) {
                value = std::hint::black_box(value.wrapping_mul(6_364_136_223_846_793_005) + 1);
            }
        });
    }
    done
}

/// Lets a VM's process run for a share of each [`QUOTA_PERIOD`] only, until `end`.
async fn throttle(run: Arc<SoakRun>, vm: usize, share: f64, end: Instant) {
    if share >= 1.0 {
        return;
    }
    let phase: f64 = rand::rng().random();
    sleep(QUOTA_PERIOD.mul_f64(phase)).await;
    while Instant::now() < end {
        // A VM that is frozen or down by the plan isn't touched.
        let is_running = run.with_vm(vm, |vm| vm.signal_undisturbed(Signal::SIGSTOP));
        sleep(QUOTA_PERIOD.mul_f64(1.0 - share)).await;
        if is_running {
            run.with_vm(vm, |vm| vm.signal_undisturbed(Signal::SIGCONT));
        }
        sleep(QUOTA_PERIOD.mul_f64(share)).await;
    }
    run.with_vm(vm, |vm| vm.signal(Signal::SIGCONT));
}

/// Records until `end` when this process didn't run: the store stood still meanwhile, and so did VMs under a quota.
async fn record_stalls(run: Arc<SoakRun>, end: Instant) {
    while Instant::now() < end {
        let from = Instant::now();
        sleep(STALL_CHECK_INTERVAL).await;
        if from.elapsed() >= MIN_STALL {
            let to = Some(Instant::now());
            lock(&run.stalls).push(VmFault { from, to });
        }
    }
}

/// Sends streams to a VM at a rate, which rises and falls by the load, until `end`, each by a task of its own.
async fn send_load(run: Arc<SoakRun>, vm: usize, rate: f64, (begin, end): (Instant, Instant)) {
    let load = run.terms.load.clone();
    let mut sending = JoinSet::new();
    while Instant::now() < end {
        let pause = rand::rng().random_range(0.4..1.6) / (rate * load.factor_at(begin.elapsed()));
        sleep(Duration::from_secs_f64(pause)).await;
        let is_resumable = rand::rng().random_bool(load.resumable_share);
        let path = if is_resumable {
            RESUMABLE_PATH
        } else {
            SINGLE_PATH
        };
        let run = run.clone();
        sending.spawn(async move { run.clients.send(vm, path, is_resumable).await });
    }
    while sending.join_next().await.is_some() {}
}

/// Submits jobs to VMs in turn until `end`, cancels some of them, and reads the others until they are complete.
async fn submit_jobs(run: Arc<SoakRun>, end: Instant) {
    let mut jobs = JoinSet::new();
    for number in 0.. {
        sleep(run.terms.load.job_interval).await;
        if Instant::now() >= end {
            break;
        }
        let run = run.clone();
        jobs.spawn(async move { run.jobs.run_job(number).await });
    }
    while jobs.join_next().await.is_some() {}
}

/// Sends requests on the newest route to a VM periodically until `end`.
async fn send_probes(run: Arc<SoakRun>, vm: usize, end: Instant) {
    let mut sending = JoinSet::new();
    while Instant::now() < end {
        sleep(run.terms.load.probe_interval).await;
        let added = run.added.load(Ordering::Relaxed);
        if added > 0 {
            let run = run.clone();
            sending.spawn(async move {
                run.clients.send(vm, &added_path(added - 1), false).await;
            });
        }
    }
    while sending.join_next().await.is_some() {}
}

impl SoakRun {
    async fn carry_out(&self, action: SoakAction) {
        match action {
            SoakAction::AddRoutes(count) => self.add_routes(count),
            SoakAction::Leave { server, lasts } => self.leave(server, lasts).await,
            SoakAction::Replace { server, lasts } => {
                let old = self.server(server);
                let id = format!("{}-new", old.id);
                self.replace(server, (id, "v2"), domain(server), lasts)
                    .await;
            }
            SoakAction::Upgrade {
                server,
                release,
                is_in_place,
                lasts,
            } => {
                let id = format!("i-{server:03}-r{release}");
                let version = format!("v{release}");
                let old = self.newest_at(server);
                match is_in_place {
                    true => self.replace_in_place(old, (id, &version)).await,
                    false => {
                        self.replace(old, (id, &version), domain(server), lasts)
                            .await;
                    }
                }
            }
            SoakAction::CrashNewest { server, lasts } => {
                self.server(self.newest_at(server)).crash(lasts);
            }
            SoakAction::Remove { server, lasts } => {
                let leaving = self.server(server);
                self.store.remove("servers", &leaving.id);
                lock(&self.leaves).push((server, Instant::now()));
                sleep(lasts).await;
                leaving.crash(FOREVER);
            }
            SoakAction::Crash { server, lasts } => {
                self.server(server).crash(lasts);
                if self.terms.load.warms_up {
                    sleep(lasts).await;
                    self.warm_up(server).await;
                }
            }
            SoakAction::StoreOutage { lasts } => {
                let outage = begin_fault(&mut lock(&self.outages));
                self.store
                    .set_faults(|faults| faults.error_status = Some(503));
                sleep(lasts).await;
                self.store.set_faults(|faults| faults.error_status = None);
                lock(&self.outages)[outage].to = Some(Instant::now());
            }
            SoakAction::Trouble(trouble) => self.disturb_links(trouble).await,
            SoakAction::CutWatches { after } => self
                .store
                .set_faults(|faults| faults.watch_cut_after = Some(after)),
            SoakAction::Stop { vm, lasts } => self.stop(vm, lasts).await,
            SoakAction::Kill { vm, lasts } => {
                self.with_vm(vm, |vm| {
                    vm.begin_fault();
                    vm.kill();
                });
                sleep(lasts).await;
                self.restart(vm);
            }
            SoakAction::Freeze { vm, lasts } => {
                self.with_vm(vm, |vm| {
                    vm.begin_fault();
                    vm.signal(Signal::SIGSTOP);
                });
                sleep(lasts).await;
                self.with_vm(vm, |vm| {
                    vm.signal(Signal::SIGCONT);
                    vm.end_fault();
                });
            }
        }
    }

    /// Lets a server that has started again write its entry, as servers do, until it is warm.
    async fn warm_up(&self, server: usize) {
        let started = self.server(server);
        started.begin_warmup();
        for (sequence, pause) in [(2, ENTRY_INTERVAL), (3, ENTRY_INTERVAL), (4, LAST_INTERVAL)] {
            if !self.write_ready(server, sequence) {
                return;
            }
            sleep(pause).await;
        }
        self.write_ready(server, 5);
    }

    /// Writes the entry of a server that doesn't leave; returns false if it does.
    fn write_ready(&self, server: usize, sequence: u64) -> bool {
        let leaves = lock(&self.leaves);
        if leaves.iter().any(|leave| leave.0 == server) {
            return false;
        }
        let entry = self.server(server).entry("ready", sequence);
        self.store.write("servers", &self.server(server).id, entry);
        true
    }

    /// Returns the servers that were warming up, with the begins of their warm-ups and what they received.
    fn warmups(&self) -> Vec<ServerWarmup> {
        let servers = lock(&self.servers);
        let warmups = servers.iter().flat_map(|server| {
            let begins = lock(&server.warmups).clone();
            let arrivals = lock(&server.arrivals).clone();
            begins.into_iter().map(move |begun| ServerWarmup {
                server: server.id.clone(),
                begun,
                arrivals: arrivals.iter().map(|arrival| arrival.at).collect(),
            })
        });
        warmups.collect()
    }

    /// Disturbs links for the length of a trouble.
    async fn disturb_links(&self, trouble: LinkTrouble) {
        let count = lock(&self.vms).len();
        let number = {
            let mut troubles = lock(&self.troubles);
            troubles.push((Instant::now(), trouble));
            troubles.len()
        };
        let group = trouble.group.members(count);
        if trouble.is_silence() {
            let mut outages = lock(&self.outages);
            let outage = begin_fault(&mut outages);
            self.links.begin(number, trouble, (&group, count));
            outages[outage].to = Some(Instant::now());
            return;
        }
        let begin = |&vm: &usize| self.with_vm(vm, |vm| begin_fault(&mut vm.link_faults));
        let faults: Vec<usize> = group.iter().map(begin).collect();
        let losses = self.links.begin(number, trouble, (&group, count));
        sleep(trouble.lasts).await;
        self.links.end(number, &losses);
        for (&vm, fault) in group.iter().zip(faults) {
            self.with_vm(vm, |vm| vm.link_faults[fault].to = Some(Instant::now()));
        }
    }

    /// Prints the troubles on links and the stalls of this process, with their times since the start.
    fn print_troubles(&self, start: Instant, vm_count: usize) {
        for (at, trouble) in lock(&self.troubles).iter() {
            let LinkTrouble { kind, group, lasts } = trouble;
            let members = group.members(vm_count);
            let (at, lasts) = ((*at - start).as_secs_f64(), lasts.as_secs_f64());
            println!("{at:.3} for {lasts:.3} s: {kind:?}, {group:?} {members:?}");
        }
        for stall in lock(&self.stalls).iter() {
            let lasts = stall.to.unwrap_or(stall.from) - stall.from;
            let at = (stall.from - start).as_secs_f64();
            println!(
                "{at:.3} for {:.3} s: the rig didn't run",
                lasts.as_secs_f64()
            );
        }
    }

    fn server(&self, index: usize) -> Arc<SoakServer> {
        lock(&self.servers)[index].clone()
    }

    /// Returns the index of the newest server whose id is that of a place, or begins with it.
    fn newest_at(&self, place: usize) -> usize {
        let prefix = format!("i-{place:03}");
        let servers = lock(&self.servers);
        let newest = servers
            .iter()
            .rposition(|server| server.id.starts_with(&prefix));
        newest.unwrap_or(place)
    }

    /// Registers a new server with an id and a version, and lets another one leave a little later.
    async fn replace(
        &self,
        server: usize,
        (id, version): (String, &str),
        domain: String,
        lasts: Duration,
    ) {
        let new = SoakServer::start(id, version, domain, &self.terms).await;
        self.store.write("servers", &new.id, new.entry("ready", 1));
        lock(&self.servers).push(Arc::new(new));
        sleep(RELEASE_PAUSE).await;
        self.leave(server, lasts).await;
    }

    /// Lets a server crash and a new one with an id and a version have its address at once. The entry of the old one
    /// expires later.
    async fn replace_in_place(&self, server: usize, (id, version): (String, &str)) {
        let old = self.server(server);
        let new = old.succeed(id, version, &self.terms);
        self.store.write("servers", &new.id, new.entry("ready", 1));
        lock(&self.servers).push(Arc::new(new));
        sleep(EXPIRY_TIME).await;
        self.store.remove("servers", &old.id);
    }

    /// Lets a server announce in its entry that it leaves, and ends it `lasts` later.
    async fn leave(&self, server: usize, lasts: Duration) {
        let leaving = self.server(server);
        self.store
            .write("servers", &leaving.id, leaving.entry("draining", 2));
        lock(&self.leaves).push((server, Instant::now()));
        sleep(lasts).await;
        self.store.remove("servers", &leaving.id);
        leaving.crash(FOREVER);
    }

    fn add_routes(&self, count: usize) {
        let mut configs = lock(&self.configs);
        let last = configs.last().copied();
        let (version, added) = last.map_or((1, 0), |last| (last.version, last.added));
        // Versions increase in uneven steps.
        let (version, added) = (version + 1 + version % 3, added + count);
        self.store.write(
            "config",
            "main",
            config(version, added, self.terms.load.warms_up),
        );
        configs.push(ConfigChange {
            version,
            acknowledged: Instant::now(),
            added,
        });
        self.added.store(added, Ordering::Relaxed);
    }

    async fn stop(&self, vm: usize, lasts: Duration) {
        self.with_vm(vm, |vm| {
            vm.begin_fault();
            vm.signal(Signal::SIGTERM);
        });
        let until = Instant::now() + GRACE_TIME;
        while Instant::now() < until && !self.with_vm(vm, |vm| vm.is_gone()) {
            sleep(Duration::from_millis(50)).await;
        }
        self.with_vm(vm, SoakVm::kill);
        sleep(lasts).await;
        self.restart(vm);
    }

    fn restart(&self, vm: usize) {
        self.with_vm(vm, |vm| {
            if let Err(error) = vm.restart() {
                eprintln!("starting a VM failed: {error}");
            }
            vm.end_fault();
        });
    }

    fn with_vm<T>(&self, vm: usize, change: impl FnOnce(&mut SoakVm) -> T) -> T {
        change(&mut lock(&self.vms)[vm])
    }

    /// Returns the requests of items that reached any server.
    fn item_arrivals(&self) -> Vec<ServerArrival> {
        let servers = lock(&self.servers);
        let arrivals = servers.iter().flat_map(|server| {
            let arrivals = lock(&server.arrivals);
            let items = arrivals.iter().filter(|arrival| is_item(&arrival.request));
            items.cloned().collect::<Vec<_>>()
        });
        arrivals.collect()
    }

    /// Checks and prints what was seen; returns whether all rules were kept.
    fn report(&self, start: Instant, vm_count: usize) -> bool {
        let mut vms = lock(&self.vms);
        let ended: Vec<usize> = (0..vm_count).filter(|&vm| vms[vm].has_ended()).collect();
        let requests = self.clients.records();
        let configs = lock(&self.configs);
        let leaves = lock(&self.leaves);
        let leaves: Vec<ServerLeave> = leaves
            .iter()
            .map(|&(server, acknowledged)| ServerLeave {
                server: self.server(server).id.clone(),
                acknowledged,
                arrivals: lock(&self.server(server).arrivals).clone(),
            })
            .collect();
        let outages: Vec<VmFault> = [&self.outages, &self.stalls]
            .iter()
            .flat_map(|faults| lock(faults).clone())
            .collect();
        let record = RunRecord {
            start,
            bounds: bounds(vm_count),
            vms: &vms,
            requests: &requests,
            configs: &configs,
            leaves: &leaves,
            outages: &outages,
            jobs: &self.jobs.records(),
            arrivals: &self.item_arrivals(),
            runs: &self.terms.runs,
            warmups: &self.warmups(),
        };
        let complete = requests
            .iter()
            .filter(|request| request.outcome == StreamOutcome::Complete);
        let ago = start.elapsed().as_millis();
        let now = SystemTime::now().duration_since(UNIX_EPOCH);
        let now = now.unwrap_or_default().as_millis();
        println!("start at {} ms of the time of day", now - ago);
        self.print_troubles(start, vm_count);
        println!(
            "{} requests, {} complete, {} jobs, {} configurations, {} leaving servers",
            requests.len(),
            complete.count(),
            record.jobs.len(),
            configs.len(),
            leaves.len()
        );
        let (items, streams): (Vec<_>, Vec<_>) = self
            .terms
            .runs
            .of("")
            .into_iter()
            .map(|run| run.1)
            .partition(|run| is_item(&run.request));
        for (name, runs) in [("streams", streams), ("items", items)] {
            let resumed = runs.iter().filter(|run| run.after.is_some()).count();
            let unframed = runs.iter().filter(|run| !run.is_framed).count();
            let malformed = runs.iter().filter(|run| run.fault.is_some()).count();
            println!(
                "{} runs of {name}, {resumed} after an event, {unframed} unframed, {malformed} malformed",
                runs.len()
            );
        }
        if !record.warmups.is_empty() {
            let busiest = record.warmups.iter().map(ServerWarmup::busiest_window);
            let busiest = busiest.max().unwrap_or(0);
            let count = record.warmups.len();
            let sent: usize = record
                .warmups
                .iter()
                .map(|warmup| warmup.requests().len())
                .sum();
            let mean = sent as f64 / (count as f64 * WARMUP_TIME.as_secs_f64());
            println!(
                "{count} warm-ups, {mean:.1} requests a second, at most {busiest} in a second"
            );
        }
        for vm in &ended {
            println!("front-{vm:02} ended by itself");
        }
        record.check().print() && ended.is_empty()
    }
}

fn bounds(vms: usize) -> RuleBounds {
    let (bound, contact) = match vms < LARGE_FLEET {
        true => (2000, 3000),
        false => (3000, 4000),
    };
    RuleBounds {
        config: Duration::from_millis(bound),
        drain: Duration::from_millis(bound),
        contact: Duration::from_millis(contact),
    }
}
