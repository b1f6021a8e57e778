//! Load balancing: chooses a backend server for each request.

use crate::rank::score;

/// Load balancing policy.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum RoutePolicy {
    /// Rendezvous hashing of the prompt's prefix with bounded loads; for requests without a prefix, the less
    /// loaded of two random servers.
    #[default]
    PrefixBounded,
    /// The server with the fewest requests in flight.
    LeastInFlight,
    /// The server at position [`RouteQuery::draw`] modulo the number of servers.
    RoundRobin,
    /// Rendezvous hashing of the prompt's prefix, regardless of load.
    PrefixOnly,
}

/// State of one server that the choice depends on.
#[derive(Clone, Debug)]
pub struct ServerView {
    /// Hash of the server's address.
    pub hash: u64,
    /// Whether the server is in this VM's failure domain.
    pub local: bool,
    /// Whether the server is draining and gets no new requests.
    pub leaving: bool,
    /// Whether the server is ejected after recent failures.
    pub ejected: bool,
    /// Known requests in flight from all VMs.
    pub load: u32,
    /// Number of requests that the server runs concurrently without queueing.
    pub slots: u32,
}

/// Parameters of the choice for one request.
#[derive(Clone, Copy, Debug, Default)]
pub struct RouteQuery {
    /// Load balancing policy.
    pub policy: RoutePolicy,
    /// Hash of the prompt's prefix, if the request has one.
    pub prefix: Option<u64>,
    /// Whether requests with a prefix prefer this VM's failure domain as well.
    pub local_prefixes: bool,
    /// Random number that spreads requests over the servers.
    pub draw: u64,
}

/// Length of the prompt's prefix, in bytes. Requests with the same prefix prefer the same server.
pub const PREFIX_BYTES: usize = 256;

/// Bound of a server's load relative to the average; above it, its prefixes go to other servers.
const LOAD_BOUND: f64 = 1.25;

/// Minimum share of healthy servers for which ejected servers are excluded.
const MIN_HEALTHY_SHARE: f64 = 0.5;

/// Chooses a server; `excluded` holds the indices of servers tried before.
///
/// Servers of this VM's failure domain come first, those of other domains once the former are full. For
/// requests with a prefix this order applies only if the query demands it, since each failure domain would
/// then cache every prefix.
pub fn choose(servers: &[ServerView], excluded: &[usize], query: RouteQuery) -> Option<usize> {
    let eligible = eligible_servers(servers, excluded);
    let local: Vec<usize> = eligible
        .iter()
        .copied()
        .filter(|&index| servers[index].local)
        .collect();
    let has_free_slot = local
        .iter()
        .any(|&index| servers[index].load < servers[index].slots);
    let prefers_local = query.prefix.is_none() || query.local_prefixes;
    let candidates = if prefers_local && has_free_slot {
        local
    } else {
        eligible
    };
    choose_among(servers, &candidates, query)
}

/// Returns the servers that may get new requests: no draining servers, and ejected ones only if less than
/// [`MIN_HEALTHY_SHARE`] of the servers are healthy.
fn eligible_servers(servers: &[ServerView], excluded: &[usize]) -> Vec<usize> {
    let available: Vec<usize> = (0..servers.len())
        .filter(|&index| !servers[index].leaving)
        .collect();
    let healthy = available
        .iter()
        .filter(|&&index| !servers[index].ejected)
        .count();
    let excludes_ejected = healthy as f64 >= MIN_HEALTHY_SHARE * available.len() as f64;
    let is_excluded =
        |index: &usize| excluded.contains(index) || (excludes_ejected && servers[*index].ejected);
    available
        .into_iter()
        .filter(|index| !is_excluded(index))
        .collect()
}

fn choose_among(servers: &[ServerView], candidates: &[usize], query: RouteQuery) -> Option<usize> {
    if candidates.is_empty() {
        return None;
    }
    match (query.policy, query.prefix) {
        (RoutePolicy::RoundRobin, _) => Some(candidates[spread(query.draw, candidates.len())]),
        (RoutePolicy::PrefixOnly, Some(prefix)) => {
            rank_first(servers, candidates, prefix, u32::MAX)
        }
        (RoutePolicy::PrefixBounded, Some(prefix)) => {
            let bound = load_bound(servers, candidates);
            rank_first(servers, candidates, prefix, bound)
        }
        (RoutePolicy::PrefixBounded, None) => less_loaded_of_two(servers, candidates, query.draw),
        (RoutePolicy::LeastInFlight | RoutePolicy::PrefixOnly, _) => {
            least_loaded(servers, candidates, query.draw)
        }
    }
}

/// Returns the load below which a server takes requests with its prefixes once three quarters of its slots are
/// in use.
fn load_bound(servers: &[ServerView], candidates: &[usize]) -> u32 {
    let total: u32 = candidates.iter().map(|&index| servers[index].load).sum();
    let average = f64::from(total + 1) / candidates.len() as f64;
    (LOAD_BOUND * average).ceil() as u32
}

fn rank_first(
    servers: &[ServerView],
    candidates: &[usize],
    prefix: u64,
    bound: u32,
) -> Option<usize> {
    let fitting = candidates
        .iter()
        .copied()
        .filter(|&index| servers[index].load < bound.max(servers[index].slots * 3 / 4));
    fitting.max_by_key(|&index| score(prefix, servers[index].hash))
}

fn less_loaded_of_two(servers: &[ServerView], candidates: &[usize], draw: u64) -> Option<usize> {
    let first = candidates[spread(score(draw, 1), candidates.len())];
    let second = candidates[spread(score(draw, 2), candidates.len())];
    [first, second]
        .into_iter()
        .min_by_key(|&index| servers[index].load)
}

fn least_loaded(servers: &[ServerView], candidates: &[usize], draw: u64) -> Option<usize> {
    candidates
        .iter()
        .copied()
        .min_by_key(|&index| (servers[index].load, score(draw, servers[index].hash)))
}

fn spread(draw: u64, count: usize) -> usize {
    usize::try_from(draw % count as u64).unwrap_or(0)
}

/// Recent failures of one server and its ejection.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServerHealth {
    failures: u32,
    ejections: u32,
    ejected_until_ms: u64,
}

/// Number of consecutive failures after which a server is ejected.
const EJECTION_FAILURES: u32 = 3;

/// Duration of the first ejection, in milliseconds; each further one doubles it.
const EJECTION_MS: u64 = 1000;

/// Maximum number of doublings of an ejection's duration.
const MAX_EJECTION_DOUBLINGS: u32 = 5;

impl ServerHealth {
    /// Records a success, which resets the failures and ejections.
    pub fn record_success(&mut self) {
        *self = ServerHealth::default();
    }

    /// Records a failure at `now_ms` on the process's clock.
    pub fn record_failure(&mut self, now_ms: u64) {
        self.failures += 1;
        if self.failures < EJECTION_FAILURES {
            return;
        }
        self.failures = 0;
        self.ejected_until_ms =
            now_ms + (EJECTION_MS << self.ejections.min(MAX_EJECTION_DOUBLINGS));
        self.ejections += 1;
    }

    /// Returns whether the server is ejected at `now_ms`.
    pub fn is_ejected(&self, now_ms: u64) -> bool {
        now_ms < self.ejected_until_ms
    }
}
