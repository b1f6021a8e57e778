//! Routes, services and workspaces of one configuration version, indexed for look-ups on the request path.
//!
//! A [`Catalog`] is immutable; a new version of the configuration is a new catalog.

use std::{
    sync::Arc,
    time::Duration, //
};

use compact_str::CompactString;

use crate::{
    job_owner::CallerKey,
    keys::{
        hash_key,
        KeyHash, //
    },
    rank::{
        hash_name,
        score, //
    },
    residency::ResidencyRule,
    warmup::ServiceWarmup, //
};

/// Version of a configuration; a higher one replaces a lower one.
pub type CatalogVersion = u64;

/// Whether requests of a route may be retried, and the form of its responses.
#[derive(Clone, Debug, PartialEq)]
pub enum RouteKind {
    /// Complete responses; a request may run more than once.
    Idempotent,
    /// Complete responses; a request runs at most once.
    NonIdempotent,
    /// Responses are streams of events.
    Stream(StreamTerms),
    /// Batch jobs; the responses of their items are resumable streams.
    Batch(BatchTerms),
}

/// Properties of a route whose responses are streams.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StreamTerms {
    /// Whether an interrupted stream may be resumed on another backend server.
    pub resumable: bool,
    /// Maximum gap between two events of a response that counts as on time.
    pub max_event_gap: Duration,
    /// Time without an event after which callers abandon the stream; zero if they never do.
    pub event_timeout: Duration,
}

/// Properties of a route that accepts batch jobs.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct BatchTerms {
    /// Time from a job's first submission until its results are due.
    pub due_after: Duration,
    /// Time from a job's first submission after which its items may be abandoned.
    pub abandon_after: Duration,
    /// Maximum number of tokens in the unfinished items of one workspace; zero sets no limit.
    pub waiting_tokens: u64,
}

/// Route of callers' requests, selected by host and path prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct CatalogRoute {
    /// Name of the route.
    pub name: CompactString,
    /// Host name that the requests address.
    pub host: CompactString,
    /// Path prefix; starts and ends with a slash.
    pub prefix: CompactString,
    /// Whether requests may be retried, and the form of the responses.
    pub kind: RouteKind,
    /// Maximum time that a caller waits for its response.
    pub timeout: Option<Duration>,
    /// Latency target: a response within this time counts as on time.
    pub target: Duration,
    /// Maximum number of backend servers that one request may run on.
    pub attempts: u32,
    /// Priority when capacity is short; zero is served first.
    pub priority: u32,
    /// Whether callers without a key are served.
    pub open: bool,
    /// Services that share the route's requests, with their weights.
    pub services: Vec<(CompactString, u32)>,
    /// Regions that requests may be sent to, sorted; empty without a restriction.
    pub allowed_regions: Vec<CompactString>,
}

/// A service and the properties that all of its backend servers share.
#[derive(Clone, Debug, PartialEq)]
pub struct CatalogService {
    /// Name of the service.
    pub name: CompactString,
    /// Path of the servers' health check.
    pub health_path: CompactString,
    /// Maximum number of connections to one backend server, over all callers.
    pub connections: u32,
    /// Warm-up of servers that start; `None` if they are as fast at once.
    pub warmup: Option<ServiceWarmup>,
}

/// A workspace with its rate limit and keys.
#[derive(Clone, Debug, PartialEq)]
pub struct CatalogWorkspace {
    /// Name of the workspace.
    pub name: CompactString,
    /// Hash of the name.
    pub hash: u64,
    /// Requests per second over all VMs; zero sets no limit.
    pub rate: f64,
    /// Requests that may arrive at once, over all VMs together.
    pub burst: f64,
    /// Priority that overrides the route's.
    pub priority: Option<u32>,
    /// Hashes of the valid keys.
    pub keys: Vec<KeyHash>,
    /// Regions that requests may be sent to, sorted; empty without a restriction.
    pub allowed_regions: Vec<CompactString>,
}

/// Size and time limits for callers' connections and requests.
#[derive(Clone, Debug, PartialEq)]
pub struct CallerLimits {
    /// Maximum size of a request head, in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Timeout for receiving a request head.
    pub header_timeout: Duration,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> CallerLimits {
        CallerLimits {
            header_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// Unsorted contents of a [`Catalog`].
#[derive(Clone, Debug, Default)]
pub struct CatalogParts {
    /// Version of the configuration.
    pub version: CatalogVersion,
    /// Routes in any order.
    pub routes: Vec<CatalogRoute>,
    /// Services in any order.
    pub services: Vec<CatalogService>,
    /// Workspaces in any order; if there are none, no request needs a key.
    pub workspaces: Vec<CatalogWorkspace>,
    /// Limits for callers.
    pub limits: CallerLimits,
}

/// One version of the configuration, with sorted tables for look-ups.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    version: CatalogVersion,
    routes: Vec<Arc<CatalogRoute>>,    // Sorted by host, then prefix.
    services: Vec<CatalogService>,     // Sorted by name.
    workspaces: Vec<CatalogWorkspace>, // Sorted by name.
    keys: Vec<(KeyHash, usize)>,       // Sorted by hash; the index refers to `workspaces`.
    limits: CallerLimits,
    is_restricted: bool, // Whether any route or workspace allows some regions only.
}

impl Catalog {
    /// Builds a catalog from its parts.
    pub fn new(parts: CatalogParts) -> Catalog {
        let mut restricted = parts.routes.iter().map(|route| &route.allowed_regions);
        let mut workspaces = parts.workspaces.iter().map(|entry| &entry.allowed_regions);
        let is_restricted = restricted.any(|regions| !regions.is_empty())
            || workspaces.any(|regions| !regions.is_empty());
        let mut catalog = Catalog {
            is_restricted,
            version: parts.version,
            routes: parts.routes.into_iter().map(Arc::new).collect(),
            services: parts.services,
            workspaces: parts.workspaces,
            keys: Vec::new(),
            limits: parts.limits,
        };
        catalog
            .routes
            .sort_by(|a, b| (&a.host, &a.prefix).cmp(&(&b.host, &b.prefix)));
        catalog.services.sort_by(|a, b| a.name.cmp(&b.name));
        catalog.workspaces.sort_by(|a, b| a.name.cmp(&b.name));
        let workspaces = catalog.workspaces.iter().enumerate();
        let keys =
            workspaces.flat_map(|(index, entry)| entry.keys.iter().map(move |key| (*key, index)));
        catalog.keys = keys.collect();
        catalog.keys.sort_unstable();
        catalog
    }

    /// Returns the version of the configuration.
    pub fn version(&self) -> CatalogVersion {
        self.version
    }

    /// Returns whether any route or workspace allows some regions only.
    pub fn is_restricted(&self) -> bool {
        self.is_restricted
    }

    /// Returns the rule for requests of a route with these allowed regions and a workspace.
    pub fn residency(
        &self,
        route: &[CompactString],
        workspace: Option<&CatalogWorkspace>,
    ) -> ResidencyRule {
        if !self.is_restricted {
            return ResidencyRule::default();
        }
        let workspace = workspace.map_or(&[][..], |entry| &entry.allowed_regions);
        ResidencyRule::new(route, workspace)
    }

    /// Returns the limits for callers.
    pub fn limits(&self) -> &CallerLimits {
        &self.limits
    }

    /// Returns all routes, sorted by host and prefix.
    pub fn routes(&self) -> &[Arc<CatalogRoute>] {
        &self.routes
    }

    /// Returns all services, sorted by name.
    pub fn services(&self) -> &[CatalogService] {
        &self.services
    }

    /// Returns all workspaces, sorted by name.
    pub fn workspaces(&self) -> &[CatalogWorkspace] {
        &self.workspaces
    }

    /// Returns whether requests on routes that aren't open need a key.
    pub fn needs_keys(&self) -> bool {
        !self.workspaces.is_empty()
    }

    /// Returns the route of `host` whose prefix is the longest match for `path`.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&Arc<CatalogRoute>> {
        let start = self
            .routes
            .partition_point(|route| route.host.as_str() < host);
        let same_host = self.routes[start..]
            .iter()
            .take_while(|route| route.host == host);
        same_host
            .filter(|route| path.starts_with(route.prefix.as_str()))
            .max_by_key(|route| route.prefix.len())
    }

    /// Returns the service with the given name.
    pub fn find_service(&self, name: &str) -> Option<&CatalogService> {
        let found = self
            .services
            .binary_search_by(|service| service.name.as_str().cmp(name));
        Some(&self.services[found.ok()?])
    }

    /// Returns the workspace with the given name.
    pub fn find_workspace(&self, name: &str) -> Option<&CatalogWorkspace> {
        let found = self
            .workspaces
            .binary_search_by(|entry| entry.name.as_str().cmp(name));
        Some(&self.workspaces[found.ok()?])
    }

    /// Returns what a caller's API key shows.
    pub fn caller_key(&self, key: Option<&str>) -> CallerKey<&CatalogWorkspace> {
        let Some(key) = key else {
            return CallerKey::Missing;
        };
        let found = self.find_key(&hash_key(key));
        found.map_or(CallerKey::Unknown, CallerKey::Of)
    }

    /// Returns whether a batch route is open to all.
    pub fn has_open_batch(&self) -> bool {
        let mut routes = self.routes.iter();
        routes.any(|route| route.open && matches!(route.kind, RouteKind::Batch(_)))
    }

    /// Returns the workspace of the valid key with this hash.
    pub fn find_key(&self, hash: &KeyHash) -> Option<&CatalogWorkspace> {
        let found = self.keys.binary_search_by(|entry| entry.0.cmp(hash));
        Some(&self.workspaces[self.keys[found.ok()?].1])
    }
}

impl CatalogRoute {
    /// Chooses a service by weight, deterministically for a request id.
    pub fn choose_service(&self, request_id: &str) -> Option<&CompactString> {
        if let [(name, _)] = self.services.as_slice() {
            return Some(name);
        }
        let total: u64 = self.services.iter().map(|entry| u64::from(entry.1)).sum();
        let mut position = score(hash_name(request_id), hash_name(&self.name)) % total.max(1);
        for (name, weight) in &self.services {
            match position.checked_sub(u64::from(*weight)) {
                Some(remaining) => position = remaining,
                None => return Some(name),
            }
        }
        self.services.first().map(|entry| &entry.0)
    }

    /// Returns the time without an event after which callers abandon a stream, or `Duration::MAX`.
    pub fn event_timeout(&self) -> Duration {
        match &self.kind {
            RouteKind::Stream(terms) if !terms.event_timeout.is_zero() => terms.event_timeout,
            _ => Duration::MAX,
        }
    }

    /// Returns whether a request may run more than once.
    pub fn is_repeatable(&self) -> bool {
        match &self.kind {
            RouteKind::Idempotent | RouteKind::Batch(_) => true,
            RouteKind::NonIdempotent => false,
            RouteKind::Stream(terms) => terms.resumable,
        }
    }
}
