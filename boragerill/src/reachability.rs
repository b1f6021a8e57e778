//! Which failure domains can't be reached, told from single backend servers that can't.
//!
//! When the network cuts a failure domain off, each of its servers would cost a request a connection
//! attempt that times out. After a few of them the rest of the domain is passed over as well.

use std::time::{
    Duration,
    Instant, //
};

use compact_str::CompactString;

/// Servers of one failure domain that must be unreachable at the same time.
const UNREACHABLE_SERVERS: usize = 2;

/// Time within which they are found unreachable.
const NEAR_TIME: Duration = Duration::from_millis(1500);

/// Connection attempts of one failure domain.
#[derive(Clone, Debug)]
struct DomainReach {
    domain: CompactString,
    failed: Vec<(u32, Instant)>, // Sorted by the server's key.
    reached: Option<Instant>,
}

/// Connection attempts by failure domain.
#[derive(Clone, Debug, Default)]
pub struct ReachabilityTable {
    domains: Vec<DomainReach>, // Sorted by domain.
}

impl ReachabilityTable {
    /// Notes that a server can't be reached, and returns whether its whole failure domain seems to be
    /// cut off.
    pub fn record_unreachable(&mut self, domain: &str, server: u32, now: Instant) -> bool {
        let entry = self.entry(domain);
        entry
            .failed
            .retain(|&(key, noted)| key != server && now < noted + NEAR_TIME);
        let index = entry.failed.partition_point(|known| known.0 < server);
        entry.failed.insert(index, (server, now));
        let first = entry.failed.iter().map(|known| known.1).min();
        let reached_since = entry.reached.is_some_and(|time| Some(time) > first);
        entry.failed.len() >= UNREACHABLE_SERVERS && !reached_since
    }

    /// Notes that a server of a failure domain was reached.
    pub fn record_reachable(&mut self, domain: &str, server: u32, now: Instant) {
        let entry = self.entry(domain);
        entry.failed.retain(|known| known.0 != server);
        entry.reached = Some(now);
    }

    fn entry(&mut self, domain: &str) -> &mut DomainReach {
        let found = self
            .domains
            .binary_search_by(|entry| entry.domain.as_str().cmp(domain));
        let index = found.unwrap_or_else(|index| {
            let entry = DomainReach {
                domain: domain.into(),
                failed: Vec::new(),
                reached: None,
            };
            self.domains.insert(index, entry);
            index
        });
        &mut self.domains[index]
    }
}
