//! Chooses a backend server for each request.

use crate::rank::score;

/// How servers are chosen.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum RoutePolicy {
    /// Rendezvous on the prompt's prefix with bounded load, else the lesser of two.
    #[default]
    PrefixBounded,
    /// The server with the fewest requests in flight.
    LeastInFlight,
    /// Each server in turn.
    RoundRobin,
    /// Rendezvous on the prompt's prefix, whatever the load.
    PrefixOnly,
}

/// One server as the choice sees it.
#[derive(Clone, Debug)]
pub struct ServerView {
    /// Hash of the server's address.
    pub hash: u64,
    /// Whether the server is in the own failure domain.
    pub local: bool,
    /// Whether the server gets no new work.
    pub leaving: bool,
    /// Whether the server failed lately.
    pub ejected: bool,
    /// Requests in flight, of all VMs as far as known.
    pub load: u32,
    /// Requests that the server runs at once without queueing.
    pub slots: u32,
}

/// What a choice depends on besides the servers.
#[derive(Clone, Copy, Debug, Default)]
pub struct RouteQuery {
    /// How to choose.
    pub policy: RoutePolicy,
    /// Hash of the prompt's prefix, if the request has one.
    pub prefix: Option<u64>,
    /// Whether prefixes stay in the own failure domain as well.
    pub local_prefixes: bool,
    /// Any number that differs from request to request.
    pub draw: u64,
}

/// Bytes of the prompt whose hash makes requests share a server.
pub const PREFIX_BYTES: usize = 256;

/// Load that a server may have over the average before its prefixes go elsewhere.
const LOAD_BOUND: f64 = 1.25;

/// Share of the servers that stay in use however many fail.
const KEPT_SHARE: f64 = 0.5;

/// Chooses a server; `excluded` holds the indices already tried.
///
/// Servers of the own failure domain come first, those of others once the own ones are full; for
/// prefixes only if the query says so, since each domain would then cache every prefix.
pub fn choose(servers: &[ServerView], excluded: &[usize], query: RouteQuery) -> Option<usize> {
    let eligible = eligible_servers(servers, excluded);
    let local: Vec<usize> = eligible
        .iter()
        .copied()
        .filter(|&index| servers[index].local)
        .collect();
    let has_room = local
        .iter()
        .any(|&index| servers[index].load < servers[index].slots);
    let prefers_local = query.prefix.is_none() || query.local_prefixes;
    let candidates = if prefers_local && has_room {
        local
    } else {
        eligible
    };
    choose_among(servers, &candidates, query)
}

/// Returns the servers that may get new work: no leaving ones, and ejected ones only as far as
/// needed to keep a share of the servers in use.
fn eligible_servers(servers: &[ServerView], excluded: &[usize]) -> Vec<usize> {
    let staying: Vec<usize> = (0..servers.len())
        .filter(|&index| !servers[index].leaving)
        .collect();
    let healthy = staying
        .iter()
        .filter(|&&index| !servers[index].ejected)
        .count();
    let keeps_floor = healthy as f64 >= KEPT_SHARE * staying.len() as f64;
    let is_passed_over =
        |index: &usize| excluded.contains(index) || (keeps_floor && servers[*index].ejected);
    staying
        .into_iter()
        .filter(|index| !is_passed_over(index))
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
        (RoutePolicy::PrefixBounded, None) => lesser_of_two(servers, candidates, query.draw),
        (RoutePolicy::LeastInFlight | RoutePolicy::PrefixOnly, _) => {
            least_loaded(servers, candidates, query.draw)
        }
    }
}

/// Returns the load that a server must stay under to take a prefix once three quarters of its
/// slots are in use.
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

fn lesser_of_two(servers: &[ServerView], candidates: &[usize], draw: u64) -> Option<usize> {
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

/// Failures of one server and the pause that they earned it.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServerHealth {
    failures: u32,
    ejections: u32,
    ejected_until_ms: u64,
}

/// Failures in a row after which a server is ejected.
const FAILURE_LIMIT: u32 = 3;

/// First ejection, in milliseconds; each further one doubles.
const EJECTION_MS: u64 = 1000;

/// Most doublings of an ejection.
const EJECTION_DOUBLINGS: u32 = 5;

impl ServerHealth {
    /// Notes an answer.
    pub fn record_success(&mut self) {
        *self = ServerHealth::default();
    }

    /// Notes a failure at `now_ms` on the process's clock.
    pub fn record_failure(&mut self, now_ms: u64) {
        self.failures += 1;
        if self.failures < FAILURE_LIMIT {
            return;
        }
        self.failures = 0;
        self.ejected_until_ms = now_ms + (EJECTION_MS << self.ejections.min(EJECTION_DOUBLINGS));
        self.ejections += 1;
    }

    /// Returns whether the server is ejected at `now_ms`.
    pub fn is_ejected(&self, now_ms: u64) -> bool {
        now_ms < self.ejected_until_ms
    }
}
