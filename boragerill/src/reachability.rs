//! Infers network partitions of failure domains from failed connections to single backend servers.
//!
//! When a failure domain is partitioned, a request to any of its servers costs a connection attempt that times
//! out. After a few such attempts, the remaining servers of the domain are ejected as well.

use std::time::{
    Duration,
    Instant, //
};

use compact_str::CompactString;

/// Number of unreachable servers from which a failure domain counts as partitioned.
const PARTITION_SERVERS: usize = 2;

/// Time within which the connections to these servers must have failed.
const PARTITION_WINDOW: Duration = Duration::from_millis(1500);

/// Connection attempts to the servers of one failure domain.
#[derive(Clone, Debug)]
struct DomainConnections {
    domain: CompactString,
    failures: Vec<(u32, Instant)>, // Last failure of each server; sorted by the server's key.
    last_success: Option<Instant>,
}

/// Connection attempts by failure domain.
#[derive(Clone, Debug, Default)]
pub struct ReachabilityTable {
    domains: Vec<DomainConnections>, // Sorted by domain.
}

impl ReachabilityTable {
    /// Records a failed connection to a server, and returns whether its whole failure domain seems to be
    /// partitioned.
    pub fn record_unreachable(&mut self, domain: &str, server: u32, now: Instant) -> bool {
        let entry = self.entry(domain);
        entry
            .failures
            .retain(|&(key, failed)| key != server && now < failed + PARTITION_WINDOW);
        let index = entry.failures.partition_point(|known| known.0 < server);
        entry.failures.insert(index, (server, now));
        let first = entry.failures.iter().map(|known| known.1).min();
        let succeeded_since = entry.last_success.is_some_and(|time| Some(time) > first);
        entry.failures.len() >= PARTITION_SERVERS && !succeeded_since
    }

    /// Records a successful connection to a server of a failure domain.
    pub fn record_reachable(&mut self, domain: &str, server: u32, now: Instant) {
        let entry = self.entry(domain);
        entry.failures.retain(|known| known.0 != server);
        entry.last_success = Some(now);
    }

    fn entry(&mut self, domain: &str) -> &mut DomainConnections {
        let found = self
            .domains
            .binary_search_by(|entry| entry.domain.as_str().cmp(domain));
        let index = found.unwrap_or_else(|index| {
            let entry = DomainConnections {
                domain: domain.into(),
                failures: Vec::new(),
                last_success: None,
            };
            self.domains.insert(index, entry);
            index
        });
        &mut self.domains[index]
    }
}
