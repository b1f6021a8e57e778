//! What all parts of the process share.

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

use arc_swap::ArcSwapOption;
use boragerill::{
    catalog::{
        Catalog,
        CatalogVersion,
        CatalogWorkspace, //
    },
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
    settings::VmSettings,
    slot_wait::TimeoutTable,
    sync::lock,
    timer::millis,
    wait_estimate::WaitEstimator, //
};
use bytes::Bytes;
use compact_str::{
    format_compact,
    CompactString, //
};
use log::info;
use metrics::gauge;
use tokio::sync::watch;

use crate::{
    backends::BackendRegistry,
    cancellations::CancellationRegistry,
    jobs::JobRegistry,
    links::PeerLinks,
    read_cache::ReadCache,
    wire::WireFormat, //
};

/// Share of the grace period in which a leaving VM still takes requests.
const OPEN_SHARE: f64 = 0.6;

/// The configuration in force.
#[derive(Debug)]
pub(crate) struct CatalogStore {
    current: ArcSwapOption<Catalog>,
    raw: ArcSwapOption<RawCatalog>,
    version: watch::Sender<CatalogVersion>,
    applying: Mutex<()>,
}

/// A configuration as the platform keeps it.
#[derive(Debug)]
pub(crate) struct RawCatalog {
    /// Version of the configuration.
    pub(crate) version: CatalogVersion,
    /// JSON text.
    pub(crate) spec: Bytes,
}

impl Default for CatalogStore {
    fn default() -> CatalogStore {
        CatalogStore {
            current: ArcSwapOption::empty(),
            raw: ArcSwapOption::empty(),
            version: watch::channel(0).0,
            applying: Mutex::new(()),
        }
    }
}

impl CatalogStore {
    /// Returns the configuration in force.
    pub(crate) fn load(&self) -> Option<Arc<Catalog>> {
        self.current.load_full()
    }

    /// Returns the configuration as the platform keeps it.
    pub(crate) fn raw(&self) -> Option<Arc<RawCatalog>> {
        self.raw.load_full()
    }

    /// Returns the version in force; zero when there is none.
    pub(crate) fn version(&self) -> CatalogVersion {
        *self.version.borrow()
    }

    /// Puts a configuration in force unless a newer one is, and returns whether it did.
    pub(crate) fn apply(&self, catalog: Catalog, spec: Bytes) -> bool {
        let _applying = lock(&self.applying);
        let version = catalog.version();
        if version <= self.version() {
            return false;
        }
        info!(version, routes = catalog.routes().len(); "configuration in force");
        gauge!("catalog_version").set(version as f64);
        self.raw.store(Some(Arc::new(RawCatalog { version, spec })));
        self.current.store(Some(Arc::new(catalog)));
        self.version.send_replace(version);
        true
    }
}

/// Shared state of the process.
pub(crate) struct FleetState {
    /// Settings of the process.
    pub(crate) settings: VmSettings,
    /// Names and formats on the wire.
    pub(crate) format: WireFormat,
    /// Client of the platform.
    pub(crate) platform: PlatformClient,
    /// Configuration in force.
    pub(crate) catalog: CatalogStore,
    /// Backend servers.
    pub(crate) backends: Arc<BackendRegistry>,
    /// Other VMs.
    pub(crate) members: Mutex<MemberTable>,
    /// Rates of workspaces.
    pub(crate) rate_limiter: Mutex<RateLimiter>,
    /// Time that callers give their requests.
    pub(crate) timeouts: TimeoutTable,
    /// Requests that could be served in time and wait for a place.
    pub(crate) on_time_waiting: AtomicUsize,
    /// Requests that can't be served in time any more and wait for a place.
    pub(crate) overdue_waiting: AtomicUsize,
    /// How soon places become free.
    pub(crate) wait_estimator: WaitEstimator,
    /// Connections to other VMs.
    pub(crate) links: PeerLinks,
    /// Batch jobs.
    pub(crate) jobs: JobRegistry,
    /// Jobs that their clients ended.
    pub(crate) cancellations: CancellationRegistry,
    /// Jobs of other VMs that were read here.
    pub(crate) read_cache: ReadCache,
    /// Start of this process.
    pub(crate) incarnation: Incarnation,
    /// Hash of this VM's name.
    pub(crate) vm_hash: u64,
    /// Name and start of this process, as stored results name it.
    pub(crate) runner: CompactString,
    seeds: Mutex<Vec<String>>,
    leaving: watch::Sender<bool>,
    closing: OnceLock<Instant>, // From when on requests would outlast the process.
    ready: AtomicBool,
}

impl FleetState {
    /// Makes the state of a process that starts now.
    pub(crate) fn new(
        settings: VmSettings,
        format: WireFormat,
        platform: PlatformClient,
    ) -> FleetState {
        let now = Instant::now();
        let incarnation = wall_ms();
        let info = MemberInfo {
            vm: settings.vm.as_str().into(),
            address: format!("{}:{}", settings.address, settings.peer_port).into(),
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
        FleetState {
            vm_hash: hash_name(&settings.vm),
            runner: format_compact!("{}.{incarnation}", settings.vm),
            format,
            platform,
            catalog: CatalogStore::default(),
            backends: Arc::default(),
            members: Mutex::new(MemberTable::new(info)),
            rate_limiter: Mutex::new(RateLimiter::new(first, tolerance, now)),
            timeouts: TimeoutTable::default(),
            on_time_waiting: AtomicUsize::new(0),
            overdue_waiting: AtomicUsize::new(0),
            wait_estimator: WaitEstimator::default(),
            links: PeerLinks::default(),
            jobs: JobRegistry::default(),
            cancellations: CancellationRegistry::default(),
            read_cache: ReadCache::default(),
            incarnation,
            seeds: Mutex::new(settings.seeds.clone()),
            leaving: watch::channel(false).0,
            closing: OnceLock::new(),
            ready: AtomicBool::new(false),
            settings,
        }
    }

    /// Returns the part of the fleet that can be heard.
    pub(crate) fn fleet_view(&self, now: Instant) -> FleetView {
        let members = lock(&self.members);
        FleetView {
            reporting: members.reporting_size(now),
            size: members.fleet_size(),
        }
    }

    /// Returns the addresses of VMs to ask for the others.
    pub(crate) fn seeds(&self) -> Vec<String> {
        lock(&self.seeds).clone()
    }

    /// Replaces the addresses of VMs to ask for the others.
    pub(crate) fn set_seeds(&self, seeds: Vec<String>) {
        *lock(&self.seeds) = seeds;
    }

    /// Returns whether the process was told to stop.
    pub(crate) fn is_shutting_down(&self) -> bool {
        *self.leaving.borrow()
    }

    /// Returns whether a request that comes now would outlast the process.
    pub(crate) fn rejects_new_requests(&self) -> bool {
        let closing = self.closing.get();
        closing.is_some_and(|closing| Instant::now() >= *closing)
    }

    /// Notes that the process was told to stop.
    pub(crate) fn begin_shutdown(&self) {
        let grace = Duration::from_secs_f64(self.settings.grace_s);
        self.closing
            .get_or_init(|| Instant::now() + grace.mul_f64(OPEN_SHARE));
        lock(&self.members).own_mut().leaving = true;
        self.leaving.send_replace(true);
    }

    /// Waits until the process is told to stop.
    pub(crate) async fn wait_for_shutdown(&self) {
        let mut leaving = self.leaving.subscribe();
        // The sender lives as long as the state.
        let _ = leaving.wait_for(|leaving| *leaving).await;
    }

    /// Sets whether new connections are welcome.
    pub(crate) fn set_ready(&self, ready: bool) {
        if self.ready.swap(ready, Ordering::Relaxed) != ready {
            info!(ready; "readiness changed");
        }
    }

    /// Returns whether new connections are welcome.
    pub(crate) fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Relaxed) && !self.is_shutting_down()
    }
}

/// Returns what the allowance of a workspace needs.
pub(crate) fn workspace_rate(workspace: &CatalogWorkspace) -> WorkspaceRate {
    WorkspaceRate {
        workspace: workspace.hash,
        rate: workspace.rate,
        burst: workspace.burst,
    }
}

/// Returns the time of day in milliseconds since 1970; only to tell starts apart and to age jobs whose
/// runner is gone.
pub(crate) fn wall_ms() -> u64 {
    let age = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    millis(age)
}
