//! Shared state of the process.

use std::{
    sync::{
        atomic::{
            AtomicBool,
            AtomicUsize,
            Ordering, //
        },
        Arc,
        Mutex,
        OnceLock, //
    },
    time::{
        Duration,
        Instant,
        SystemTime,
        UNIX_EPOCH, //
    },
};

use boragerill::{
    cancellation::CancellationTable,
    catalog::CatalogWorkspace,
    connection_limit::ResourceLimits,
    job::JobManifest,
    member::{
        Incarnation,
        MemberInfo,
        MemberTable, //
    },
    platform::PlatformClient,
    rank::hash_name,
    rate_limiter::{
        FleetView,
        RateLimiter,
        RateTolerance,
        WorkspaceRate, //
    },
    residency::{
        RegionTable,
        ResidencyRule, //
    },
    settings::VmSettings,
    slot::SlotView,
    slot_wait::TimeoutTable,
    state_fetch::TransferTable,
    stop_window::{
        RunTimes,
        StopWindow, //
    },
    stream_version::VersionKey,
    sync::lock,
    timer::millis,
    wait_estimate::WaitEstimator,
    warmup::WarmupTolerance, //
};
use compact_str::{
    format_compact,
    CompactString, //
};
use log::info;
use metrics::counter;
use tokio::sync::watch;

use crate::{
    backends::{
        BackendRegistry,
        BackendState, //
    },
    byte_budget::ByteBudget,
    catalog_store::CatalogStore,
    cells::CellRegistry,
    evacuations::EvacuationRegistry,
    jobs::JobRegistry,
    links::PeerLinks,
    quarantine::QuarantineRegistry,
    read_cache::ReadCache,
    server_limits::LimitRegistry,
    server_load::LoadRegistry,
    state_fetch::FetchSources,
    stream_versions::StreamRegistry,
    wire::WireFormat, //
};

/// Time between the end of the process and the end of its grace period.
const SHUTDOWN_MARGIN: Duration = Duration::from_millis(300);

/// Shared state of the process.
pub(crate) struct FleetState {
    /// Settings of the process.
    pub(crate) settings: VmSettings,
    /// Names of headers and formats of objects on the wire.
    pub(crate) format: WireFormat,
    /// Client for the platform.
    pub(crate) platform: PlatformClient,
    /// Configuration in force.
    pub(crate) catalog: CatalogStore,
    /// VMs that have newer states than this one.
    pub(crate) fetches: FetchSources,
    /// Transfers of the configuration to other VMs.
    pub(crate) transfers: Mutex<TransferTable>,
    /// Backend servers in use.
    pub(crate) backends: Arc<BackendRegistry>,
    /// Evacuated failure domains.
    pub(crate) evacuations: EvacuationRegistry,
    /// Regions of this VM and of the failure domains.
    pub(crate) regions: RegionTable,
    /// Limits that backend servers state, and their warm-ups.
    pub(crate) limits: Arc<LimitRegistry>,
    /// Load of backend servers and cost of requests.
    pub(crate) load: LoadRegistry,
    /// Division of the fleet into cells.
    pub(crate) cells: CellRegistry,
    /// Other VMs.
    pub(crate) members: Arc<Mutex<MemberTable>>,
    /// Token buckets for the rates of workspaces.
    pub(crate) rate_limiter: Mutex<RateLimiter>,
    /// Time that callers wait for their requests, as observed.
    pub(crate) timeouts: TimeoutTable,
    /// Number of requests that wait for a slot and can still be served in time.
    pub(crate) on_time_waiting: AtomicUsize,
    /// Number of requests that wait for a slot and are overdue.
    pub(crate) overdue_waiting: AtomicUsize,
    /// Estimates when slots become free.
    pub(crate) wait_estimator: WaitEstimator,
    /// Prompts that crash backend servers.
    pub(crate) quarantine: Arc<QuarantineRegistry>,
    /// Connections to other VMs.
    pub(crate) links: PeerLinks,
    /// Batch jobs.
    pub(crate) jobs: JobRegistry,
    /// Jobs that their clients cancelled.
    pub(crate) cancellations: Mutex<CancellationTable>,
    /// Streams that callers may take up again.
    pub(crate) streams: StreamRegistry,
    /// Cache of jobs that other VMs run and this VM read from the store.
    pub(crate) read_cache: ReadCache,
    /// Limits of connections and memory.
    pub(crate) resources: ResourceLimits,
    /// Bytes that are held for callers.
    pub(crate) caller_bytes: Arc<ByteBudget>,
    /// Bytes of unfinished frames of other VMs.
    pub(crate) peer_bytes: Arc<ByteBudget>,
    /// Identifier of this process, made from the time of its start.
    pub(crate) incarnation: Incarnation,
    /// Start of this process.
    pub(crate) started: Instant,
    /// Hash of this VM's name.
    pub(crate) vm_hash: u64,
    /// VM and incarnation of this process; identifies the runner in stored results.
    pub(crate) runner: CompactString,
    seeds: Mutex<Vec<String>>,
    shutdown: watch::Sender<bool>,
    stop: OnceLock<StopWindow>, // From the start of the shutdown on.
    /// How long requests have run lately.
    pub(crate) run_times: Mutex<RunTimes>,
    ready: AtomicBool,
}

/// Returns the address and port that other VMs reach a VM with these settings at.
pub(crate) fn advertised_address(settings: &VmSettings) -> CompactString {
    let address = match settings.advertised_address.as_str() {
        "" => &settings.address,
        advertised => advertised,
    };
    format_compact!("{address}:{}", settings.peer_port)
}

impl FleetState {
    /// Creates the state of a process that starts now.
    pub(crate) fn new(
        settings: VmSettings,
        format: WireFormat,
        platform: PlatformClient,
    ) -> FleetState {
        let now = Instant::now();
        let incarnation = wall_ms();
        let info = MemberInfo {
            vm: settings.vm.as_str().into(),
            address: advertised_address(&settings),
            domain: settings.domain.as_str().into(),
            incarnation,
            leaving: false,
            follows: false,
        };
        let first = (!settings.first_start).then_some(0.0);
        let tolerance = RateTolerance {
            window: Duration::from_secs_f64(settings.rate_window_s),
            overage: settings.rate_overage,
            slack: settings.rate_slack,
        };
        let members = Arc::new(Mutex::new(MemberTable::new(info)));
        let warmup_tolerance = WarmupTolerance {
            overage: settings.warmup_overage,
            slack: settings.warmup_slack,
        };
        let limits = Arc::new(LimitRegistry::new(members.clone(), warmup_tolerance));
        let resources = ResourceLimits::new(settings.memory_mb, settings.max_fds);
        FleetState {
            vm_hash: hash_name(&settings.vm),
            runner: format_compact!("{}.{incarnation}", settings.vm),
            format,
            platform,
            catalog: CatalogStore::default(),
            fetches: FetchSources::default(),
            transfers: Mutex::default(),
            regions: region_table(&settings),
            evacuations: EvacuationRegistry::new(settings.evacuations, now),
            cells: CellRegistry::default(),
            load: LoadRegistry::default(),
            backends: Arc::new(BackendRegistry::new(limits.clone())),
            limits,
            members,
            rate_limiter: Mutex::new(RateLimiter::new(first, tolerance, now)),
            timeouts: TimeoutTable::default(),
            on_time_waiting: AtomicUsize::new(0),
            overdue_waiting: AtomicUsize::new(0),
            wait_estimator: WaitEstimator::default(),
            quarantine: Arc::default(),
            links: PeerLinks::default(),
            jobs: JobRegistry::default(),
            cancellations: Mutex::default(),
            streams: StreamRegistry::default(),
            read_cache: ReadCache::default(),
            resources,
            caller_bytes: ByteBudget::new("callers", resources.caller_bytes),
            peer_bytes: ByteBudget::new("peers", resources.peer_bytes),
            incarnation,
            started: now,
            seeds: Mutex::new(settings.seeds.clone()),
            shutdown: watch::channel(false).0,
            stop: OnceLock::new(),
            run_times: Mutex::default(),
            ready: AtomicBool::new(false),
            settings,
        }
    }

    /// Returns the servers of a service in the own cell, of one version if it is given, and a view of the load, health, limit
    /// and expected speed of each. If none of them takes requests, a server of another cell is added.
    pub(crate) fn server_views(
        &self,
        service: &str,
        version: Option<VersionKey>,
        residency: &ResidencyRule,
        now: Instant,
    ) -> (Vec<Arc<BackendState>>, Vec<SlotView>) {
        let (servers, mut views) = self.limited_views(service, version, residency, now);
        self.load.apply(service, (&servers, &mut views), None, now);
        (servers, views)
    }

    /// Returns the servers of a service with views that lack estimates.
    pub(crate) fn limited_views(
        &self,
        service: &str,
        version: Option<VersionKey>,
        residency: &ResidencyRule,
        now: Instant,
    ) -> (Vec<Arc<BackendState>>, Vec<SlotView>) {
        let domain = &self.settings.domain;
        let (mut servers, mut views) = self.backends.views(service, version, domain, now);
        self.limits.apply(&servers, &mut views);
        if residency.is_restricted() {
            for (server, view) in servers.iter().zip(&mut views) {
                view.leaving |= !self.regions.admits_domain(residency, &server.server.domain);
            }
        }
        self.apply_evacuations(&servers, &mut views, now);
        if views.iter().all(|view| view.leaving) {
            let demand = (service, version, residency);
            self.add_fallback(demand, (&mut servers, &mut views), &[], now);
        }
        (servers, views)
    }

    /// Adds a random server of another cell that isn't one of `tried` and has no limit, if there is one.
    pub(crate) fn add_fallback(
        &self,
        (service, version, residency): (&str, Option<VersionKey>, &ResidencyRule),
        (servers, views): (&mut Vec<Arc<BackendState>>, &mut Vec<SlotView>),
        tried: &[u32],
        now: Instant,
    ) {
        let is_usable = |server: &BackendState| {
            !tried.contains(&server.key)
                && !self.limits.is_limited(server)
                && self.regions.admits_domain(residency, &server.server.domain)
        };
        let demand = (service, version);
        let domain = &self.settings.domain;
        if let Some((server, view)) = self.backends.fallback_view(demand, domain, is_usable, now) {
            counter!("servers_of_other_cells_considered_total").increment(1);
            servers.push(server);
            views.push(view);
            self.apply_evacuations(servers, views, now);
        }
    }

    /// Returns the regions that the items of a job may be sent to; `None` without a configuration, or if nothing states
    /// the regions of a route that was removed while any restriction is configured.
    pub(crate) fn job_residency(&self, manifest: &JobManifest) -> Option<ResidencyRule> {
        let catalog = self.catalog.load()?;
        if !catalog.is_restricted() {
            return Some(ResidencyRule::default());
        }
        let regions = match catalog.find_route(&manifest.host, &manifest.path) {
            Some(route) => &route.allowed_regions,
            // A job outlives its route.
            None => manifest.allowed_regions.as_ref()?,
        };
        let workspace = catalog.find_workspace(&manifest.workspace);
        Some(catalog.residency(regions, workspace))
    }

    /// Returns whether this VM may run a job, whose bodies it then holds.
    pub(crate) fn may_run_job(&self, manifest: &JobManifest) -> bool {
        let rule = self.job_residency(manifest);
        rule.is_some_and(|rule| !rule.is_restricted() || self.regions.admits_own(&rule))
    }

    /// Returns whether a job is known to be cancelled.
    pub(crate) fn is_cancelled(&self, job: &str) -> bool {
        lock(&self.cancellations).contains(job)
    }

    /// Returns how many VMs of the fleet report their usage of rates, out of all.
    pub(crate) fn fleet_view(&self, now: Instant) -> FleetView {
        let members = lock(&self.members);
        FleetView {
            reporting: members.reporting_size(now),
            size: members.fleet_size(),
        }
    }

    /// Returns the addresses of the VMs that this one joins the fleet through.
    pub(crate) fn seeds(&self) -> Vec<String> {
        lock(&self.seeds).clone()
    }

    /// Replaces the addresses of the VMs that this one joins the fleet through.
    pub(crate) fn set_seeds(&self, seeds: Vec<String>) {
        *lock(&self.seeds) = seeds;
    }

    /// Returns whether the process is shutting down.
    pub(crate) fn is_shutting_down(&self) -> bool {
        *self.shutdown.borrow()
    }

    /// Returns the time left to the process, if it is shutting down.
    pub(crate) fn stop_window(&self) -> Option<StopWindow> {
        self.stop.get().copied()
    }

    /// Starts the shutdown of the process.
    pub(crate) fn begin_shutdown(&self) {
        let grace = Duration::from_secs_f64(self.settings.grace_s);
        let begun = Instant::now();
        self.stop.get_or_init(|| StopWindow {
            begun,
            end: begun + grace.saturating_sub(SHUTDOWN_MARGIN),
        });
        lock(&self.members).own_mut().leaving = true;
        self.shutdown.send_replace(true);
    }

    /// Waits until the process is shutting down.
    pub(crate) async fn wait_for_shutdown(&self) {
        let mut shutdown = self.shutdown.subscribe();
        // An error would mean that the sender was dropped, but it lives as long as the state.
        let _ = shutdown.wait_for(|is_set| *is_set).await;
    }

    /// Sets whether the VM is ready for new connections.
    pub(crate) fn set_ready(&self, ready: bool) {
        if self.ready.swap(ready, Ordering::Relaxed) != ready {
            info!(ready; "readiness changed");
        }
    }

    /// Returns whether the VM is ready for new connections and not shutting down.
    pub(crate) fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Relaxed) && !self.is_shutting_down()
    }
}

fn region_table(settings: &VmSettings) -> RegionTable {
    let domains = settings.domain_regions.iter();
    let domains = domains.map(|(domain, region)| (domain.into(), region.into()));
    RegionTable::new(&settings.region, &settings.domain, domains.collect())
}

/// Returns the rate and burst of a workspace.
pub(crate) fn workspace_rate(workspace: &CatalogWorkspace) -> WorkspaceRate {
    WorkspaceRate {
        workspace: workspace.hash,
        rate: workspace.rate,
        burst: workspace.burst,
    }
}

/// Returns the time of day in milliseconds since 1970. Only for distinguishing incarnations and computing the age
/// of jobs whose runner is gone.
pub(crate) fn wall_ms() -> u64 {
    let age = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    millis(age)
}
