//! The VMs of the fleet as one of them sees them, from heartbeats.

use std::time::{
    Duration,
    Instant, //
};

use compact_str::CompactString;

use crate::rank::{
    hash_name,
    score, //
};

/// Silence after which a VM counts as unreachable.
pub const SILENCE: Duration = Duration::from_millis(600);

/// Silence after which rates are no longer earned on a VM's behalf; what it uses isn't known meanwhile.
pub const EARNING_SILENCE: Duration = Duration::from_millis(350);

/// Silence after which a VM no longer counts as a part of the fleet.
pub const FORGET: Duration = Duration::from_secs(60);

/// Silence of others that doesn't count for a VM that hears less than half of the fleet.
pub const APART_SILENCE: Duration = Duration::from_millis(6500);

/// Messages that a VM sends within a few seconds of its start; it sends at least six a second.
const YOUNG_SEQUENCE: u64 = 40;

/// Start of a VM's process; differs from one start to the next.
pub type Incarnation = u64;

/// What a VM says of itself.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct MemberInfo {
    /// Name of the VM.
    pub vm: CompactString,
    /// IP number and port for heartbeats and calls.
    pub address: CompactString,
    /// Failure domain.
    pub domain: CompactString,
    /// Start of its process.
    pub incarnation: Incarnation,
    /// Whether it is shutting down.
    pub leaving: bool,
    /// Whether it follows the store by itself and has heard from it lately.
    pub follows: bool,
}

/// One other VM.
#[derive(Clone, Debug)]
pub struct FleetMember {
    /// What it says of itself.
    pub info: MemberInfo,
    /// Hash of its name.
    pub hash: u64,
    /// When it was last heard.
    pub last_heartbeat: Option<Instant>,
    /// Since when it has been heard without a silence.
    pub since: Instant,
    sequence: u64,
    known: Instant,
}

/// What a heartbeat tells about its sender.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HeartbeatOutcome {
    /// An older heartbeat, to be passed over.
    Stale,
    /// A further heartbeat.
    Current,
    /// The first heartbeat of a VM, of a new process of it, or after a silence of this length.
    Returned(Duration),
}

/// The other VMs.
#[derive(Clone, Debug, Default)]
pub struct MemberTable {
    own: MemberInfo,
    members: Vec<FleetMember>, // Sorted by the hash of the name.
}

impl MemberTable {
    /// Makes a table for the VM that `own` describes.
    pub fn new(own: MemberInfo) -> MemberTable {
        MemberTable {
            own,
            members: Vec::new(),
        }
    }

    /// Returns what the own VM says of itself.
    pub fn own(&self) -> &MemberInfo {
        &self.own
    }

    /// Changes what the own VM says of itself.
    pub fn own_mut(&mut self) -> &mut MemberInfo {
        &mut self.own
    }

    /// Adds a VM that others know, before it is heard.
    pub fn add_member(&mut self, info: MemberInfo, now: Instant) {
        let hash = hash_name(&info.vm);
        if info.vm == self.own.vm || self.find(hash).is_some() {
            return;
        }
        let index = self.members.partition_point(|member| member.hash < hash);
        let member = FleetMember {
            info,
            hash,
            last_heartbeat: None,
            since: now,
            sequence: 0,
            known: now,
        };
        self.members.insert(index, member);
    }

    /// Notes a heartbeat with the sender's whole info.
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
        member.hear(sequence, restarted, now)
    }

    /// Notes a short message of a VM's process; one of a process that isn't known is passed over.
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
        member.hear(sequence, false, now)
    }

    /// Returns another VM by the hash of its name.
    pub fn find(&self, hash: u64) -> Option<&FleetMember> {
        Some(&self.members[self.search(hash).ok()?])
    }

    /// Returns all other VMs.
    pub fn members(&self) -> &[FleetMember] {
        &self.members
    }

    /// Returns the other VMs that were heard lately.
    pub fn reachable(&self, now: Instant) -> impl Iterator<Item = &FleetMember> {
        self.members
            .iter()
            .filter(move |member| member.is_reachable(now))
    }

    /// Returns the number of VMs of the fleet, the own one included.
    pub fn fleet_size(&self) -> usize {
        let staying = self.members.iter().filter(|member| !member.info.leaving);
        1 + staying.count()
    }

    /// Returns the number of VMs that were heard lately, the own one included.
    pub fn reachable_size(&self, now: Instant) -> usize {
        1 + self
            .reachable(now)
            .filter(|member| !member.info.leaving)
            .count()
    }

    /// Returns whether at least half of the fleet was heard lately, the own VM included.
    pub fn reaches_half(&self, now: Instant) -> bool {
        2 * self.reachable_size(now) >= self.fleet_size()
    }

    /// Returns the number of VMs, the own one included, whose use of rates is known.
    pub fn reporting_size(&self, now: Instant) -> usize {
        let known = self.members.iter().filter(|member| {
            let heard = member
                .last_heartbeat
                .is_some_and(|heard| now < heard + EARNING_SILENCE);
            heard && !member.info.leaving
        });
        1 + known.count()
    }

    /// Returns whether all VMs that are heard have started lately, and they are most of the fleet.
    pub fn is_fleet_restarted(&self, now: Instant) -> bool {
        let young = |member: &FleetMember| member.sequence < YOUNG_SEQUENCE;
        self.reachable(now).all(young) && 2 * self.reachable_size(now) > self.fleet_size()
    }

    /// Drops VMs that have been silent for long, and those that left.
    pub fn remove_expired(&mut self, now: Instant) -> Vec<u64> {
        let is_gone = |member: &FleetMember| {
            let since = member.last_heartbeat.unwrap_or(member.known);
            let limit = if member.info.leaving { SILENCE } else { FORGET };
            now >= since + limit
        };
        let gone = self.members.iter().filter(|member| is_gone(member));
        let gone: Vec<u64> = gone.map(|member| member.hash).collect();
        self.members.retain(|member| !is_gone(member));
        gone
    }

    /// Returns the rank of the own VM for a duty among the reachable VMs that don't leave: zero goes
    /// first.
    pub fn own_rank(&self, duty: u64, now: Instant) -> usize {
        let own = score(duty, hash_name(&self.own.vm));
        self.reachable(now)
            .filter(|member| !member.info.leaving && score(duty, member.hash) > own)
            .count()
    }

    /// Returns the VM that ranks first for a duty among the own and the reachable ones that don't leave;
    /// nothing when it is the own one.
    pub fn first_ranked(&self, duty: u64, now: Instant) -> Option<u64> {
        let own = score(duty, hash_name(&self.own.vm));
        let staying = self.reachable(now).filter(|member| !member.info.leaving);
        let first = staying.max_by_key(|member| score(duty, member.hash))?;
        (score(duty, first.hash) > own).then_some(first.hash)
    }

    /// Returns how many reachable VMs that follow the store rank before the own one for a duty.
    pub fn watchers_before(&self, duty: u64, now: Instant) -> usize {
        let own = score(duty, hash_name(&self.own.vm));
        let following = self
            .reachable(now)
            .filter(|member| member.info.follows && !member.info.leaving);
        following
            .filter(|member| score(duty, member.hash) > own)
            .count()
    }

    /// Returns whether a VM and all others of its failure domain are silent, and there are others.
    pub fn is_domain_unreachable(&self, vm: u64, now: Instant) -> bool {
        let Some(member) = self.find(vm) else {
            return false;
        };
        let domain = &member.info.domain;
        let mut neighbours = self
            .members
            .iter()
            .filter(|other| other.info.domain == *domain && !other.info.leaving);
        *domain != self.own.domain
            && neighbours.clone().count() > 1
            && neighbours.all(|other| !other.is_reachable(now))
    }

    fn search(&self, hash: u64) -> Result<usize, usize> {
        self.members
            .binary_search_by_key(&hash, |member| member.hash)
    }
}

impl FleetMember {
    /// Notes a message, and returns whether the VM was silent before.
    fn hear(&mut self, sequence: u64, restarted: bool, now: Instant) -> HeartbeatOutcome {
        let before = self.last_heartbeat.unwrap_or(self.known);
        let silence = now.saturating_duration_since(before);
        let silent = self.last_heartbeat.is_none() || silence >= SILENCE;
        self.sequence = sequence;
        self.last_heartbeat = Some(now);
        if !restarted && !silent {
            return HeartbeatOutcome::Current;
        }
        self.since = now;
        HeartbeatOutcome::Returned(silence)
    }

    /// Returns whether the VM was heard lately.
    pub fn is_reachable(&self, now: Instant) -> bool {
        self.last_heartbeat
            .is_some_and(|heard| now < heard + SILENCE)
    }
}

/// Returns which part of the silence of another VM counts for one that heard less than half of the fleet
/// `since_apart` ago: it was cut off itself, and the others are heard again before long. While it still is,
/// it leaves their duties to those that hear more.
pub fn effective_silence(silence: Duration, since_apart: Duration) -> Duration {
    let beyond = silence.saturating_sub(APART_SILENCE);
    silence.min(since_apart.max(beyond))
}
