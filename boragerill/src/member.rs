//! Membership of the fleet as one VM sees it, from heartbeats.

use std::time::{
    Duration,
    Instant, //
};

use compact_str::CompactString;

use crate::{
    heartbeat_pace::{
        heartbeat_timeout,
        usage_timeout, //
    },
    rank::{
        hash_name,
        score, //
    },
};

/// Time without a heartbeat after which a VM counts as unreachable, unless it states a longer period.
pub const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(600);

/// Time without a heartbeat after which a VM's usage of rates counts as unknown: buckets are no longer
/// refilled on behalf of the VM. Longer for VMs that state a longer period.
pub const USAGE_TIMEOUT: Duration = Duration::from_millis(350);

/// Time without a heartbeat after which a VM is removed from the fleet.
pub const MEMBER_EXPIRY: Duration = Duration::from_secs(60);

/// Time without heartbeats from other VMs that is attributed to this VM's own isolation, as long as it
/// reaches less than half of the fleet.
pub const ISOLATION_GRACE: Duration = Duration::from_millis(6500);

/// Sequence number below which a VM counts as started recently. A VM sends at least six messages a
/// second, so it passes this number within seven seconds.
const RECENT_START_SEQUENCE: u64 = 40;

/// Identifies one start of a VM's process; each start has another value.
pub type Incarnation = u64;

/// What a VM announces of itself in full heartbeats.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct MemberInfo {
    /// Name of the VM.
    pub vm: CompactString,
    /// IP number and port for heartbeats and calls.
    pub address: CompactString,
    /// Failure domain.
    pub domain: CompactString,
    /// Start of the VM's process.
    pub incarnation: Incarnation,
    /// Whether the VM is shutting down.
    pub leaving: bool,
    /// Whether the VM watches the store itself and has recently received a response from the store.
    pub follows: bool,
}

/// Another VM of the fleet.
#[derive(Clone, Debug)]
pub struct FleetMember {
    /// Last announced info.
    pub info: MemberInfo,
    /// Hash of the VM's name.
    pub hash: u64,
    /// When the last heartbeat arrived; none before the first.
    pub last_heartbeat: Option<Instant>,
    /// Start of the time in which the VM's present process has been reachable without interruption.
    pub since: Instant,
    /// Period of heartbeats that the VM stated in the last one; none if it sends them as within a cell.
    pub period: Option<Duration>,
    /// Number of cells that the VM last stated; zero if it hasn't stated any.
    pub cells: usize,
    sequence: u64,
    added: Instant,
    returned: Option<Instant>, // When it was last heard again after a silence of `ISOLATION_GRACE` or longer.
    vouched: Instant, // When some VM last received a message of the VM, as other VMs state.
    is_near: bool,    // Whether it belongs to this VM's cell.
    is_legacy: bool,  // Whether its build doesn't know cells.
}

/// Classification of a heartbeat by the state of its sender.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HeartbeatOutcome {
    /// Repeated or out of order, or not attributable to a known process; to be ignored.
    Stale,
    /// A heartbeat of a VM that was reachable already.
    Current,
    /// The first heartbeat of a VM or of its new process, or the first after a heartbeat timeout; with
    /// the time since the previous heartbeat.
    Returned(Duration),
}

/// Membership table of one VM: its own info and the other VMs of the fleet.
#[derive(Clone, Debug, Default)]
pub struct MemberTable {
    own: MemberInfo,
    members: Vec<FleetMember>, // Sorted by the hash of the name.
    removed: Option<Instant>,  // When a VM was last removed that hadn't announced its shutdown.
    is_divided: bool,          // Whether the fleet has several cells.
    generation: u64,           // Increases when the division into cells may change.
}

impl MemberTable {
    /// Makes a table of the VM with the info `own`.
    pub fn new(own: MemberInfo) -> MemberTable {
        MemberTable {
            own,
            ..MemberTable::default()
        }
    }

    /// Returns the info of this VM.
    pub fn own(&self) -> &MemberInfo {
        &self.own
    }

    /// Returns the info of this VM for changes.
    pub fn own_mut(&mut self) -> &mut MemberInfo {
        &mut self.own
    }

    /// Adds a VM that another source has named, before its first heartbeat; a known VM stays unchanged.
    pub fn add_member(&mut self, info: MemberInfo, now: Instant) {
        let hash = hash_name(&info.vm);
        if info.vm == self.own.vm || self.member(hash).is_some() {
            return;
        }
        let index = self.members.partition_point(|member| member.hash < hash);
        let member = FleetMember {
            info,
            hash,
            last_heartbeat: None,
            since: now,
            period: None,
            cells: 0,
            sequence: 0,
            added: now,
            returned: None,
            vouched: now,
            is_near: !self.is_divided,
            is_legacy: false,
        };
        self.members.insert(index, member);
        self.generation += 1;
    }

    /// Adds a VM that another VM lists, or extends the time for which it is kept. A message of the VM was received by some
    /// VM `age` ago; a VM that would have expired isn't added, so that lists don't keep VMs that are gone.
    pub fn add_listed(&mut self, info: MemberInfo, age: Duration, now: Instant) {
        if age >= MEMBER_EXPIRY {
            return;
        }
        let hash = hash_name(&info.vm);
        let vouched = now.checked_sub(age).unwrap_or(now);
        let is_known = self.member(hash).is_some();
        self.add_member(info, now);
        if let Ok(index) = self.search(hash) {
            let member = &mut self.members[index];
            member.vouched = match is_known {
                true => member.vouched.max(vouched),
                false => vouched,
            };
        }
    }

    /// Records the period of heartbeats that a VM states; returns whether it has just become a distant one.
    pub fn record_period(&mut self, hash: u64, period: Option<Duration>) -> bool {
        let Ok(index) = self.search(hash) else {
            return false;
        };
        let before = std::mem::replace(&mut self.members[index].period, period);
        before.is_none() && period.is_some()
    }

    /// Records the number of cells that a VM states in a full heartbeat, and whether its build knows cells.
    pub fn record_cells(&mut self, hash: u64, cells: Option<usize>, is_legacy: bool) {
        let Ok(index) = self.search(hash) else {
            return;
        };
        let member = &mut self.members[index];
        let cells = cells.unwrap_or(1);
        if (member.cells, member.is_legacy) != (cells, is_legacy) {
            (member.cells, member.is_legacy) = (cells, is_legacy);
            self.generation += 1;
        }
    }

    /// Sets which VMs belong to this VM's cell; `near` is sorted. VMs of builds that don't know cells use all servers and
    /// send to all VMs, so that they belong to each cell.
    pub fn set_cell(&mut self, is_divided: bool, near: &[u64]) {
        self.is_divided = is_divided;
        for member in &mut self.members {
            let is_listed = near.binary_search(&member.hash).is_ok();
            member.is_near = !is_divided || member.is_legacy || is_listed;
        }
    }

    /// Returns a number that increases when the division of the fleet into cells may change.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Returns a digest of the known VMs, this one included, that aren't shutting down.
    pub fn digest(&self) -> u64 {
        let active = self.members.iter().filter(|member| !member.info.leaving);
        let hashes = active.map(|member| member.hash);
        let own = match self.own.leaving {
            true => 0,
            false => hash_name(&self.own.vm),
        };
        hashes.fold(own, u64::wrapping_add)
    }

    /// Records a full heartbeat, which contains the sender's info.
    pub fn record_heartbeat(
        &mut self,
        info: MemberInfo,
        sequence: u64,
        now: Instant,
    ) -> HeartbeatOutcome {
        if info.vm == self.own.vm {
            return HeartbeatOutcome::Stale;
        }
        let hash = hash_name(&info.vm);
        self.add_member(info.clone(), now);
        let Ok(index) = self.search(hash) else {
            return HeartbeatOutcome::Stale;
        };
        let member = &mut self.members[index];
        let restarted = member.info.incarnation != info.incarnation;
        if !restarted && member.last_heartbeat.is_some() && member.sequence >= sequence {
            return HeartbeatOutcome::Stale;
        }
        member.info = info;
        member.record_message(sequence, restarted, now)
    }

    /// Records a short heartbeat, which contains no info; stale when the sender's process isn't known.
    pub fn record_update(
        &mut self,
        hash: u64,
        incarnation: Incarnation,
        sequence: u64,
        now: Instant,
    ) -> HeartbeatOutcome {
        let Ok(index) = self.search(hash) else {
            return HeartbeatOutcome::Stale;
        };
        let member = &mut self.members[index];
        let current = member.info.incarnation == incarnation
            && member.last_heartbeat.is_some()
            && member.sequence < sequence;
        if !current {
            return HeartbeatOutcome::Stale;
        }
        member.record_message(sequence, false, now)
    }

    /// Records whether another VM states that it watches the store.
    pub fn record_follows(&mut self, hash: u64, follows: bool) {
        if let Ok(index) = self.search(hash) {
            self.members[index].info.follows = follows;
        }
    }

    /// Returns another VM by the hash of its name.
    pub fn member(&self, hash: u64) -> Option<&FleetMember> {
        Some(&self.members[self.search(hash).ok()?])
    }

    /// Returns whether another VM is known and reachable.
    pub fn reaches(&self, hash: u64, now: Instant) -> bool {
        self.member(hash)
            .is_some_and(|member| member.is_reachable(now))
    }

    /// Returns all other VMs.
    pub fn members(&self) -> &[FleetMember] {
        &self.members
    }

    /// Returns the reachable other VMs.
    pub fn reachable(&self, now: Instant) -> impl Iterator<Item = &FleetMember> {
        self.members
            .iter()
            .filter(move |member| member.is_reachable(now))
    }

    /// Returns the number of VMs of the fleet that aren't shutting down, this VM included.
    pub fn fleet_size(&self) -> usize {
        let active = self.members.iter().filter(|member| !member.info.leaving);
        1 + active.count()
    }

    /// Returns the number of reachable VMs that aren't shutting down, this VM included.
    pub fn reachable_size(&self, now: Instant) -> usize {
        1 + self
            .reachable(now)
            .filter(|member| !member.info.leaving)
            .count()
    }

    /// Returns whether at least half of the fleet is reachable, this VM included.
    pub fn reaches_half(&self, now: Instant) -> bool {
        let domains = self.near_reports(HEARTBEAT_TIMEOUT, now);
        let active = self.members.iter().filter(|member| !member.info.leaving);
        let heard = active.filter(|member| {
            member.is_reachable(now) && member.is_heard(HEARTBEAT_TIMEOUT, &domains, now)
        });
        2 * (1 + heard.count()) >= self.fleet_size()
    }

    /// Returns whether this VM has been told of every takeover of its jobs since `since`. Whichever VM takes a job over either
    /// reaches half of the fleet, and thereby a VM that this one has heard ever since, or has been isolated for
    /// [`ISOLATION_GRACE`].
    pub fn has_kept_contact(&self, since: Instant, now: Instant) -> bool {
        let active = self.members.iter().filter(|member| !member.info.leaving);
        let heard = active.filter(|member| member.is_reachable(now) && member.since <= since);
        2 * (1 + heard.count()) > self.fleet_size() && !self.misses_isolated(since, now)
    }

    /// Returns whether a VM has been silent for [`ISOLATION_GRACE`], now or since `since`.
    fn misses_isolated(&self, since: Instant, now: Instant) -> bool {
        let mut active = self.members.iter().filter(|member| !member.info.leaving);
        self.removed.is_some_and(|removed| removed > since)
            || active.any(|member| {
                let heard = member.last_heartbeat.unwrap_or(member.added);
                now >= heard + ISOLATION_GRACE
                    || member.returned.is_some_and(|returned| returned > since)
            })
    }

    /// Returns the number of VMs whose usage of rates is known, this VM included.
    pub fn reporting_size(&self, now: Instant) -> usize {
        let domains = self.near_reports(USAGE_TIMEOUT, now);
        let active = self.members.iter().filter(|member| !member.info.leaving);
        let reporting = active.filter(|member| {
            let is_recent = |last| now < last + usage_timeout(member.period);
            member.last_heartbeat.is_some_and(is_recent)
                && member.is_heard(USAGE_TIMEOUT, &domains, now)
        });
        1 + reporting.count()
    }

    /// Returns the number of VMs of this VM's cell that aren't shutting down, this VM included.
    pub fn cell_size(&self) -> usize {
        let near = self.members.iter().filter(|member| member.is_near);
        1 + near.filter(|member| !member.info.leaving).count()
    }

    /// Returns the number of VMs of this VM's cell whose requests to servers are known, this VM included.
    pub fn cell_reporting_size(&self, now: Instant) -> usize {
        let near = self.members.iter().filter(|member| member.is_near);
        let reporting = near.filter(|member| {
            let is_recent = |last| now < last + usage_timeout(member.period);
            !member.info.leaving && member.last_heartbeat.is_some_and(is_recent)
        });
        1 + reporting.count()
    }

    /// Returns the number of reachable VMs of this VM's cell that aren't shutting down, this VM included.
    pub fn cell_reachable_size(&self, now: Instant) -> usize {
        let near = self.reachable(now).filter(|member| member.is_near);
        1 + near.filter(|member| !member.info.leaving).count()
    }

    /// Returns how many VMs of each failure domain send heartbeats as within a cell, and how many of them were heard within
    /// `timeout`. VMs that have been silent for longer than any distant VM may be are gone and show nothing.
    fn near_reports(&self, timeout: Duration, now: Instant) -> Vec<DomainReports<'_>> {
        let mut domains: Vec<DomainReports<'_>> = Vec::new();
        if self.members.iter().all(|member| member.period.is_none()) {
            return domains;
        }
        let longest = self.members.iter().filter_map(|member| member.period).max();
        for member in &self.members {
            let Some(last) = member.last_heartbeat.filter(|_| member.period.is_none()) else {
                continue;
            };
            if member.info.leaving || now >= last + heartbeat_timeout(longest) {
                continue;
            }
            let domain = member.info.domain.as_str();
            let index = match domains.iter().position(|known| known.domain == domain) {
                Some(index) => index,
                None => {
                    domains.push(DomainReports {
                        domain,
                        heard: 0,
                        reporting: 0,
                    });
                    domains.len() - 1
                }
            };
            domains[index].heard += 1;
            domains[index].reporting += usize::from(now < last + timeout);
        }
        domains
    }

    /// Returns whether all reachable VMs have started recently and form a majority of the fleet.
    pub fn is_fleet_restarted(&self, now: Instant) -> bool {
        let started_recently = |member: &FleetMember| member.sequence < RECENT_START_SEQUENCE;
        self.reachable(now).all(started_recently)
            && 2 * self.reachable_size(now) > self.fleet_size()
    }

    /// Removes VMs that have been unreachable for `MEMBER_EXPIRY`, and unreachable ones that were shutting
    /// down. Returns their hashes.
    pub fn remove_expired(&mut self, now: Instant) -> Vec<u64> {
        let is_expired = |member: &FleetMember| {
            let heard = member.last_heartbeat.unwrap_or(member.added);
            // A VM that leaves soon sends nothing any more, whatever other VMs have received of it.
            let since = match member.info.leaving {
                true => heard,
                false => heard.max(member.vouched),
            };
            let limit = if member.info.leaving {
                heartbeat_timeout(member.period)
            } else {
                MEMBER_EXPIRY
            };
            now >= since + limit
        };
        let expired = self.members.iter().filter(|member| is_expired(member));
        let expired: Vec<&FleetMember> = expired.collect();
        if expired.iter().any(|member| !member.info.leaving) {
            self.removed = Some(now);
        }
        let expired: Vec<u64> = expired.iter().map(|member| member.hash).collect();
        self.members.retain(|member| !is_expired(member));
        self.generation += u64::from(!expired.is_empty());
        expired
    }

    /// Returns this VM's rank for a task among the reachable VMs that aren't shutting down; zero is the
    /// first. `task` is the hash of the task's name.
    pub fn own_rank(&self, task: u64, now: Instant) -> usize {
        let own = score(task, hash_name(&self.own.vm));
        self.reachable(now)
            .filter(|member| !member.info.leaving && score(task, member.hash) > own)
            .count()
    }

    /// Returns this VM's rank for a task among all known VMs, reachable or not.
    pub fn own_known_rank(&self, task: u64) -> usize {
        let own = score(task, hash_name(&self.own.vm));
        let before = self.members.iter();
        before
            .filter(|member| score(task, member.hash) > own)
            .count()
    }

    /// Returns this VM's rank for a task among the reachable VMs of its cell that aren't shutting down.
    pub fn own_cell_rank(&self, task: u64, now: Instant) -> usize {
        let own = score(task, hash_name(&self.own.vm));
        self.reachable(now)
            .filter(|member| member.is_near && !member.info.leaving)
            .filter(|member| score(task, member.hash) > own)
            .count()
    }

    /// Returns whether another VM belongs to this VM's failure domain.
    pub fn is_local(&self, vm: u64) -> bool {
        self.member(vm)
            .is_some_and(|member| member.info.domain == self.own.domain)
    }

    /// Returns this VM's rank for a task among the reachable VMs of its failure domain that aren't shutting down.
    pub fn own_domain_rank(&self, task: u64, now: Instant) -> usize {
        let own = score(task, hash_name(&self.own.vm));
        self.reachable(now)
            .filter(|member| member.info.domain == self.own.domain && !member.info.leaving)
            .filter(|member| score(task, member.hash) > own)
            .count()
    }

    /// Returns the VM that ranks first for a task among this VM and the reachable VMs that aren't
    /// shutting down; `None` when this VM ranks first.
    pub fn first_ranked(&self, task: u64, now: Instant) -> Option<u64> {
        let own = score(task, hash_name(&self.own.vm));
        let active = self.reachable(now).filter(|member| !member.info.leaving);
        let first = active.max_by_key(|member| score(task, member.hash))?;
        (score(task, first.hash) > own).then_some(first.hash)
    }

    /// Returns how many reachable VMs that watch the store rank before this VM for a task.
    pub fn watchers_before(&self, task: u64, now: Instant) -> usize {
        self.selected_watchers_before(task, |_| true, now)
    }

    /// Returns how many of the reachable VMs that watch the store, and that `is_selected` admits by the hash of their
    /// names, rank before this VM for a task.
    pub fn selected_watchers_before(
        &self,
        task: u64,
        is_selected: impl Fn(u64) -> bool,
        now: Instant,
    ) -> usize {
        let own = score(task, hash_name(&self.own.vm));
        let watchers = self
            .reachable(now)
            .filter(|member| member.info.follows && !member.info.leaving);
        watchers
            .filter(|member| score(task, member.hash) > own && is_selected(member.hash))
            .count()
    }

    /// Returns whether a VM and all others of its failure domain have been silent for `HEARTBEAT_TIMEOUT`. False for this VM's own
    /// failure domain and for a domain of one VM.
    pub fn is_domain_unreachable(&self, vm: u64, now: Instant) -> bool {
        let Some(member) = self.member(vm) else {
            return false;
        };
        let domain = &member.info.domain;
        let mut neighbours = self
            .members
            .iter()
            .filter(|other| other.info.domain == *domain && !other.info.leaving);
        *domain != self.own.domain
            && neighbours.clone().count() > 1
            && neighbours.all(|other| {
                let last = other.last_heartbeat;
                last.is_none_or(|last| now >= last + HEARTBEAT_TIMEOUT)
            })
    }

    fn search(&self, hash: u64) -> Result<usize, usize> {
        self.members
            .binary_search_by_key(&hash, |member| member.hash)
    }
}

impl FleetMember {
    /// Records a message, and returns whether the VM was unreachable before it.
    fn record_message(&mut self, sequence: u64, restarted: bool, now: Instant) -> HeartbeatOutcome {
        let before = self.last_heartbeat.unwrap_or(self.added);
        let silence = now.saturating_duration_since(before);
        let timeout = heartbeat_timeout(self.period);
        let was_unreachable = self.last_heartbeat.is_none() || silence >= timeout;
        self.sequence = sequence;
        self.last_heartbeat = Some(now);
        if silence >= ISOLATION_GRACE {
            self.returned = Some(now);
        }
        if !restarted && !was_unreachable {
            return HeartbeatOutcome::Current;
        }
        self.since = now;
        HeartbeatOutcome::Returned(silence)
    }

    /// Returns whether the last heartbeat arrived within `HEARTBEAT_TIMEOUT`, or the time that follows from the VM's
    /// period.
    pub fn is_reachable(&self, now: Instant) -> bool {
        self.last_heartbeat
            .is_some_and(|last| now < last + heartbeat_timeout(self.period))
    }

    /// Returns whether the VM belongs to this VM's cell.
    pub fn is_near(&self) -> bool {
        self.is_near
    }

    /// Returns the time since some VM was last known to have received a message of this one.
    pub fn heard_age(&self, now: Instant) -> Duration {
        let heard = self
            .last_heartbeat
            .map_or(self.vouched, |last| last.max(self.vouched));
        now.saturating_duration_since(heard)
    }

    /// Returns whether the VM was heard within `timeout`, or isn't likely to be cut off. The heartbeats of a distant VM are
    /// too far apart to notice a cut in time; it is taken to be cut off when half of the near VMs of its failure domain are.
    fn is_heard(&self, timeout: Duration, domains: &[DomainReports<'_>], now: Instant) -> bool {
        let Some(last) = self.last_heartbeat else {
            return false;
        };
        let mut domains = domains.iter();
        now < last + timeout
            || domains
                .any(|known| known.domain == self.info.domain && 2 * known.reporting > known.heard)
    }
}

/// VMs of a failure domain that send heartbeats as within a cell.
#[derive(Clone, Copy, Debug)]
struct DomainReports<'a> {
    domain: &'a str,
    heard: usize,     // VMs that were heard not long ago.
    reporting: usize, // Of these, VMs that were heard within the timeout.
}

/// Returns the part of `silence`, the time since another VM's last heartbeat, that counts towards a takeover
/// of the other VM's tasks. `since_isolated` is the time since this VM last reached less than half of the
/// fleet: this VM was partitioned off itself then, and soon receives heartbeats of the others again. While
/// this VM is isolated, it leaves the tasks to VMs that reach more of the fleet, for up to `ISOLATION_GRACE`.
pub fn effective_silence(silence: Duration, since_isolated: Duration) -> Duration {
    let beyond = silence.saturating_sub(ISOLATION_GRACE);
    silence.min(since_isolated.max(beyond))
}
