//! Rates and bursts over all VMs within a stated tolerance, from what VMs tell each other of their use.
//!
//! Each VM keeps the whole bucket of a workspace in its own view: it adds what the reachable part of the
//! fleet earns and takes off what it and the reachable VMs used. Parts of the fleet that can't hear each
//! other earn their own part only, so that together they never earn more than the rate. What is used
//! before the others have heard of it is paid back out of later earnings and stays within the tolerance.

use std::time::{
    Duration,
    Instant, //
};

use crate::member::Incarnation;

/// Rate and burst of a workspace.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AllowanceLimit {
    /// Hash of the workspace's name.
    pub workspace: u64,
    /// Requests a second over all VMs; zero sets no limit.
    pub rate: f64,
    /// Requests at once over all VMs.
    pub burst: f64,
}

/// What the deciding VM knows of the fleet.
#[derive(Clone, Copy, Debug)]
pub struct FleetShare {
    /// VMs that are heard, the own one included.
    pub heard: usize,
    /// VMs of the fleet, the own one included.
    pub size: usize,
}

impl FleetShare {
    fn fraction(self) -> f64 {
        if self.size == 0 {
            return 0.0;
        }
        (self.heard as f64 / self.size as f64).min(1.0)
    }
}

/// Use of one VM, as last reported.
#[derive(Clone, Copy, Debug)]
struct PeerCount {
    vm: u64,
    incarnation: Incarnation,
    used: u64,
}

/// The bucket of one workspace in the view of one VM.
#[derive(Clone, Debug)]
struct AllowanceBucket {
    limit: AllowanceLimit,
    level: f64, // Below zero while use that others reported late is paid back.
    updated: Instant,
    used: u64,
    changed: bool,
    peers: Vec<PeerCount>, // Sorted by VM.
}

/// The buckets of all workspaces.
#[derive(Clone, Debug)]
pub struct AllowanceTable {
    buckets: Vec<AllowanceBucket>, // Sorted by workspace.
    started: Instant,
    first: f64,
}

/// Time after a start in which workspaces are new to the process but not to the fleet.
const UNKNOWN_PAST: Duration = Duration::from_secs(6);

impl AllowanceTable {
    /// Makes an empty table. After a restart buckets begin with `first` requests, since the fleet may
    /// have used their bursts just before; on the first start of the fleet they begin full.
    pub fn new(first: Option<f64>, now: Instant) -> AllowanceTable {
        AllowanceTable {
            buckets: Vec::new(),
            started: now,
            first: first.unwrap_or(f64::INFINITY),
        }
    }

    /// Takes one request's allowance, or returns after which time there will be one.
    ///
    /// # Errors
    ///
    /// Returns the time after which the workspace has earned the next request.
    pub fn take(
        &mut self,
        limit: AllowanceLimit,
        share: FleetShare,
        now: Instant,
    ) -> Result<(), Duration> {
        if limit.rate <= 0.0 {
            return Ok(());
        }
        let index = self.bucket_index(limit, now);
        let bucket = &mut self.buckets[index];
        bucket.earn(limit, share, now);
        if bucket.level >= 1.0 {
            bucket.level -= 1.0;
            bucket.used += 1;
            bucket.changed = true;
            return Ok(());
        }
        let earned = limit.rate * share.fraction();
        let wait = Duration::try_from_secs_f64((1.0 - bucket.level) / earned.max(1e-3));
        Err(wait.unwrap_or(Duration::MAX))
    }

    /// Gives back the allowance of a request that didn't run.
    pub fn give_back(&mut self, workspace: u64) {
        if let Ok(index) = self.search(workspace) {
            let bucket = &mut self.buckets[index];
            bucket.level += 1.0;
            bucket.used = bucket.used.saturating_sub(1);
            bucket.changed = true;
        }
    }

    /// Takes over what another VM used since its start. After a silence `returned` is set: both sides
    /// then earned their own parts only, so what the VM used meanwhile isn't taken off once more.
    pub fn note_use(
        &mut self,
        vm: u64,
        incarnation: Incarnation,
        workspace: u64,
        used: u64,
        returned: bool,
    ) {
        let Ok(index) = self.search(workspace) else {
            return;
        };
        let bucket = &mut self.buckets[index];
        let count = PeerCount {
            vm,
            incarnation,
            used,
        };
        match bucket.peers.binary_search_by_key(&vm, |peer| peer.vm) {
            Ok(found) => {
                let known = bucket.peers[found];
                bucket.peers[found] = count;
                if !returned && known.incarnation == incarnation {
                    bucket.level -= used as f64 - known.used as f64;
                }
            }
            // What was used before this VM knew of the other is in no one's view.
            Err(found) => bucket.peers.insert(found, count),
        }
    }

    /// Returns the use of workspaces that has changed since the last call.
    pub fn take_changes(&mut self) -> Vec<(u64, u64)> {
        let changed = self.buckets.iter_mut().filter(|bucket| bucket.changed);
        changed
            .map(|bucket| {
                bucket.changed = false;
                (bucket.limit.workspace, bucket.used)
            })
            .collect()
    }

    /// Returns the use of all workspaces.
    pub fn uses(&self) -> Vec<(u64, u64)> {
        let used = self.buckets.iter().filter(|bucket| bucket.used > 0);
        used.map(|bucket| (bucket.limit.workspace, bucket.used))
            .collect()
    }

    /// Prepares buckets for the workspaces of a configuration, so that they earn from now on.
    pub fn prepare(&mut self, limits: &[AllowanceLimit], share: FleetShare, now: Instant) {
        for limit in limits.iter().filter(|limit| limit.rate > 0.0) {
            let index = self.bucket_index(*limit, now);
            self.buckets[index].earn(*limit, share, now);
        }
    }

    /// Earns for all workspaces at the present share, before the share changes.
    pub fn settle(&mut self, share: FleetShare, now: Instant) {
        for bucket in &mut self.buckets {
            bucket.earn(bucket.limit, share, now);
        }
    }

    fn bucket_index(&mut self, limit: AllowanceLimit, now: Instant) -> usize {
        match self.search(limit.workspace) {
            Ok(index) => index,
            Err(index) => {
                let is_known = now < self.started + UNKNOWN_PAST;
                let first = if is_known { self.first } else { f64::INFINITY };
                let bucket = AllowanceBucket {
                    limit,
                    level: limit.burst.min(first),
                    updated: now,
                    used: 0,
                    changed: false,
                    peers: Vec::new(),
                };
                self.buckets.insert(index, bucket);
                index
            }
        }
    }

    fn search(&self, workspace: u64) -> Result<usize, usize> {
        self.buckets
            .binary_search_by_key(&workspace, |bucket| bucket.limit.workspace)
    }
}

impl AllowanceBucket {
    fn earn(&mut self, limit: AllowanceLimit, share: FleetShare, now: Instant) {
        let time = now.saturating_duration_since(self.updated).as_secs_f64();
        let part = share.fraction();
        self.updated = self.updated.max(now);
        self.limit = limit;
        let most = (limit.burst * part).max(1.0);
        self.level = (self.level + time * limit.rate * part).min(most);
    }
}
