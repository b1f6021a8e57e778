//! The configuration of callers' routes, services and workspaces, compiled for look-ups on a
//! request's path. One catalog is one version of the whole configuration and never changes.

use std::{
    sync::Arc,
    time::Duration, //
};

use compact_str::CompactString;

use crate::{
    keys::KeyHash,
    rank::{
        hash_name,
        score, //
    }, //
};

/// Version of a configuration; a higher one replaces a lower one.
pub type CatalogVersion = u64;

/// What may be repeated on a route, and how its answers arrive.
#[derive(Clone, Debug, PartialEq)]
pub enum RouteKind {
    /// Whole answers; a request may run more than once.
    Idempotent,
    /// Whole answers; a request runs once at most.
    Single,
    /// A stream of events.
    Stream(StreamTerms),
    /// Batch jobs, whose items are streams that may be resumed.
    Batch(BatchTerms),
}

/// Terms of a route whose answers are streams.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StreamTerms {
    /// Whether a broken stream may be resumed at another backend server.
    pub resumable: bool,
    /// Longest pause between events for which an answer is in time.
    pub longest_pause: Duration,
    /// Time without an event after which callers leave; zero when they don't.
    pub silence_limit: Duration,
}

/// Terms of a route that takes batch jobs.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct BatchTerms {
    /// Time from a job's first submission until its results are due.
    pub due: Duration,
    /// Time from a job's first submission after which items may be given up.
    pub abandon: Duration,
    /// Most tokens of one workspace's unfinished items; zero sets no limit.
    pub waiting_tokens: u64,
}

/// One route of callers' requests.
#[derive(Clone, Debug, PartialEq)]
pub struct CatalogRoute {
    /// Name of the route.
    pub name: CompactString,
    /// Host that requests name.
    pub host: CompactString,
    /// Beginning of the path; starts and ends with a slash.
    pub prefix: CompactString,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time that a caller is kept waiting.
    pub timeout: Option<Duration>,
    /// Time within which an answer is in time.
    pub target: Duration,
    /// Most backend servers that one request may run on.
    pub attempts: u32,
    /// Rank when capacity is short; zero goes first.
    pub priority: u32,
    /// Whether callers without a key are served.
    pub open: bool,
    /// Services and their weights.
    pub services: Vec<(CompactString, u32)>,
}

/// One service with its backend servers' common properties.
#[derive(Clone, Debug, PartialEq)]
pub struct CatalogService {
    /// Name of the service.
    pub name: CompactString,
    /// Path of the health check.
    pub health_path: CompactString,
    /// Most connections of all callers to one backend server.
    pub connections: u32,
}

/// One workspace with the rate that it pays for.
#[derive(Clone, Debug, PartialEq)]
pub struct CatalogWorkspace {
    /// Name of the workspace.
    pub name: CompactString,
    /// Hash of the name.
    pub hash: u64,
    /// Requests a second over all VMs; zero sets no limit.
    pub rate: f64,
    /// Requests at once over all VMs.
    pub burst: f64,
    /// Rank that goes before the route's.
    pub priority: Option<u32>,
    /// Hashes of the keys that work.
    pub keys: Vec<KeyHash>,
}

/// What callers may send and how long they may take.
#[derive(Clone, Debug, PartialEq)]
pub struct CallerLimits {
    /// Largest head of a request, in bytes.
    pub header_bytes: usize,
    /// Largest body of a request, in bytes.
    pub body_bytes: usize,
    /// Longest time for sending a request's head.
    pub header_timeout: Duration,
    /// Longest time that a connection may be idle.
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

/// Parts of which a catalog is built.
#[derive(Clone, Debug, Default)]
pub struct CatalogParts {
    /// Version of the configuration.
    pub version: CatalogVersion,
    /// Routes in any order.
    pub routes: Vec<CatalogRoute>,
    /// Services in any order.
    pub services: Vec<CatalogService>,
    /// Workspaces in any order; without any, no request needs a key.
    pub workspaces: Vec<CatalogWorkspace>,
    /// Limits for callers.
    pub limits: CallerLimits,
}

/// One version of the configuration, sorted for look-ups.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    version: CatalogVersion,
    routes: Vec<Arc<CatalogRoute>>,    // Sorted by host, then prefix.
    services: Vec<CatalogService>,     // Sorted by name.
    workspaces: Vec<CatalogWorkspace>, // Sorted by name.
    keys: Vec<(KeyHash, usize)>,       // Sorted by hash; index of the workspace.
    limits: CallerLimits,
}

impl Catalog {
    /// Sorts the parts.
    pub fn new(parts: CatalogParts) -> Catalog {
        let mut catalog = Catalog {
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

    /// Returns the version.
    pub fn version(&self) -> CatalogVersion {
        self.version
    }

    /// Returns the limits for callers.
    pub fn limits(&self) -> &CallerLimits {
        &self.limits
    }

    /// Returns all routes.
    pub fn routes(&self) -> &[Arc<CatalogRoute>] {
        &self.routes
    }

    /// Returns all services.
    pub fn services(&self) -> &[CatalogService] {
        &self.services
    }

    /// Returns all workspaces.
    pub fn workspaces(&self) -> &[CatalogWorkspace] {
        &self.workspaces
    }

    /// Returns whether requests need a key on routes that aren't open.
    pub fn needs_keys(&self) -> bool {
        !self.workspaces.is_empty()
    }

    /// Returns the route of `host` with the longest prefix of `path`.
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

    /// Returns whether any route of `host` exists.
    pub fn has_host(&self, host: &str) -> bool {
        let found = self
            .routes
            .binary_search_by(|route| route.host.as_str().cmp(host));
        found.is_ok()
    }

    /// Returns a service by name.
    pub fn find_service(&self, name: &str) -> Option<&CatalogService> {
        let found = self
            .services
            .binary_search_by(|service| service.name.as_str().cmp(name));
        Some(&self.services[found.ok()?])
    }

    /// Returns a workspace by name.
    pub fn find_workspace(&self, name: &str) -> Option<&CatalogWorkspace> {
        let found = self
            .workspaces
            .binary_search_by(|entry| entry.name.as_str().cmp(name));
        Some(&self.workspaces[found.ok()?])
    }

    /// Returns the workspace of a key that works.
    pub fn find_key(&self, hash: &KeyHash) -> Option<&CatalogWorkspace> {
        let found = self.keys.binary_search_by(|entry| entry.0.cmp(hash));
        Some(&self.workspaces[self.keys[found.ok()?].1])
    }
}

impl CatalogRoute {
    /// Chooses a service by weight; the same request always gets the same one.
    pub fn choose_service(&self, request_id: &str) -> Option<&CompactString> {
        if let [(name, _)] = self.services.as_slice() {
            return Some(name);
        }
        let total: u64 = self.services.iter().map(|entry| u64::from(entry.1)).sum();
        let mut draw = score(hash_name(request_id), hash_name(&self.name)) % total.max(1);
        for (name, weight) in &self.services {
            match draw.checked_sub(u64::from(*weight)) {
                Some(rest) => draw = rest,
                None => return Some(name),
            }
        }
        self.services.first().map(|entry| &entry.0)
    }

    /// Returns the time without an event after which callers leave.
    pub fn silence_limit(&self) -> Duration {
        match &self.kind {
            RouteKind::Stream(terms) if !terms.silence_limit.is_zero() => terms.silence_limit,
            _ => Duration::MAX,
        }
    }

    /// Returns whether a request may run at more than one backend server.
    pub fn is_repeatable(&self) -> bool {
        match &self.kind {
            RouteKind::Idempotent | RouteKind::Batch(_) => true,
            RouteKind::Single => false,
            RouteKind::Stream(terms) => terms.resumable,
        }
    }
}
