//! Roster of a region: its VMs and the units of every rate that each of them holds.
//!
//! The roster is one object of the platform, changed only by conditional updates. Units are transferred
//! in two cases: a member transfers units after it has stopped using them, and the units of a VM that the
//! platform doesn't list any more are distributed among the other members.

use compact_str::CompactString;

use crate::{
    config::Version,
    generated::kinds::{
        MemberSpec,
        RosterSpec, //
    },
    rank::{
        first_ranked,
        hash_name, //
    }, //
};

/// Share of every workspace's rate and burst, in units of 1 / `TOTAL_UNITS`.
pub type Units = u32;

/// Units that all members of a roster hold together.
pub const TOTAL_UNITS: Units = 65_536;

/// Consecutive listings from which a VM must be absent before it is removed from the roster.
const MIN_ABSENCES: u32 = 2;

/// One member of the roster.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RosterMember {
    /// Name of the VM.
    pub vm: CompactString,
    /// Failure domain of the VM.
    pub domain: CompactString,
    /// Address of its control process.
    pub control: CompactString,
    /// Units that the member holds.
    pub units: Units,
}

/// One version of the roster, with the members' hashes for ranking.
#[derive(Clone, Debug, Default)]
pub struct RosterView {
    version: Version,
    members: Vec<RosterMember>, // Sorted by VM.
    hashes: Vec<u64>,
}

impl RosterView {
    /// Makes the view of a declared roster.
    pub fn new(version: Version, spec: &RosterSpec) -> RosterView {
        let mut members: Vec<RosterMember> = spec.members.iter().map(member_of).collect();
        members.sort_by(|a, b| a.vm.cmp(&b.vm));
        let hashes = members.iter().map(|member| hash_name(&member.vm)).collect();
        RosterView {
            version,
            members,
            hashes,
        }
    }

    /// Returns the platform version of the roster.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Returns the members, sorted by VM.
    pub fn members(&self) -> &[RosterMember] {
        &self.members
    }

    /// Returns the hashes by which members are ranked.
    pub fn hashes(&self) -> &[u64] {
        &self.hashes
    }

    /// Returns the index of a VM.
    pub fn position(&self, vm: &str) -> Option<usize> {
        self.members
            .binary_search_by(|member| member.vm.as_str().cmp(vm))
            .ok()
    }

    /// Returns the VM among the sorted `feeders` that sends batch items to a backend server, preferably one
    /// in the server's failure domain.
    pub fn feeder_of(
        &self,
        address: &str,
        domain: &str,
        feeders: &[CompactString],
    ) -> Option<&CompactString> {
        let hash = hash_name(address);
        let feeds = |index: usize| feeders.binary_search(&self.members[index].vm).is_ok();
        let local = first_ranked(hash, &self.hashes, |index| {
            feeds(index) && self.members[index].domain == domain
        });
        let index = local.or_else(|| first_ranked(hash, &self.hashes, feeds))?;
        Some(&self.members[index].vm)
    }

    /// Returns the units that a VM holds; zero for a VM that is no member.
    pub fn units_of(&self, vm: &str) -> Units {
        self.position(vm)
            .map_or(0, |index| self.members[index].units)
    }
}

fn member_of(spec: &MemberSpec) -> RosterMember {
    RosterMember {
        vm: spec.vm.as_str().into(),
        domain: spec.domain.as_str().into(),
        control: spec.control.as_str().into(),
        units: spec.units,
    }
}

/// Counts the consecutive listings from which each member of the roster was absent.
#[derive(Debug, Default)]
pub struct AbsenceCounter {
    entries: Vec<(CompactString, u32)>, // Sorted by VM.
    recorded: bool,                     // Whether the current listing has been counted.
}

impl AbsenceCounter {
    /// Starts a listing, whose absences are counted once.
    pub fn start_listing(&mut self) {
        self.recorded = false;
    }

    /// Records the current listing, unless it is recorded already, and returns the members that were absent from
    /// at least `MIN_ABSENCES` + `extra_absences` consecutive listings.
    pub fn record_listing(
        &mut self,
        roster: &RosterSpec,
        is_listed: impl Fn(&str) -> bool,
        extra_absences: u32,
    ) -> Vec<CompactString> {
        self.count_absences(roster, is_listed);
        let gone = self
            .entries
            .iter()
            .filter(|entry| entry.1 >= MIN_ABSENCES + extra_absences);
        gone.map(|entry| entry.0.clone()).collect()
    }

    fn count_absences(&mut self, roster: &RosterSpec, is_listed: impl Fn(&str) -> bool) {
        // A retry after a conflict uses the same listing.
        if std::mem::replace(&mut self.recorded, true) {
            return;
        }
        let absent = roster
            .members
            .iter()
            .filter(|member| !is_listed(&member.vm));
        let mut entries: Vec<(CompactString, u32)> = absent
            .map(|member| {
                let known = self.entries.iter().find(|entry| entry.0 == member.vm);
                (
                    member.vm.as_str().into(),
                    known.map_or(0, |entry| entry.1) + 1,
                )
            })
            .collect();
        entries.sort();
        self.entries = entries;
    }
}

/// Returns the roster with `joining` added or updated; `None` when nothing changes.
///
/// The first member of a roster gets all units; later members start without units.
pub fn plan_join(spec: &RosterSpec, joining: &MemberSpec) -> Option<RosterSpec> {
    let mut plan = spec.clone();
    let Some(known) = plan
        .members
        .iter_mut()
        .find(|member| member.vm == joining.vm)
    else {
        let units = if plan.members.is_empty() {
            TOTAL_UNITS
        } else {
            0
        };
        plan.members.push(MemberSpec {
            units,
            ..joining.clone()
        });
        return Some(plan);
    };
    let current = (&known.control, &known.domain, known.incarnation);
    if current == (&joining.control, &joining.domain, joining.incarnation) {
        return None;
    }
    let units = known.units;
    *known = MemberSpec {
        units,
        ..joining.clone()
    };
    Some(plan)
}

/// Returns the roster without the VMs that `is_listed` rejects, their units distributed among the others;
/// `None` when no member or every member would be removed.
pub fn plan_removal(spec: &RosterSpec, is_listed: impl Fn(&str) -> bool) -> Option<RosterSpec> {
    let (kept, removed): (Vec<_>, Vec<_>) = spec
        .members
        .iter()
        .cloned()
        .partition(|member| is_listed(&member.vm));
    if removed.is_empty() || kept.is_empty() {
        return None;
    }
    let freed = removed.iter().map(|member| member.units).sum();
    let mut plan = RosterSpec { members: kept };
    distribute(&mut plan, freed, None);
    Some(plan)
}

/// Returns the units of `vm` above an equal share that other members lack; `None` when they are at most an
/// eighth of an equal share, too few to be worth a transfer.
pub fn surplus_units(spec: &RosterSpec, vm: &str) -> Option<Units> {
    let equal_share = TOTAL_UNITS / u32::try_from(spec.members.len().max(1)).unwrap_or(u32::MAX);
    let own = spec.members.iter().find(|member| member.vm == vm)?.units;
    let needed = spec
        .members
        .iter()
        .map(|member| equal_share.saturating_sub(member.units))
        .sum();
    let surplus = own.saturating_sub(equal_share + 1).min(needed);
    (surplus > equal_share / 8).then_some(surplus)
}

/// Returns the roster after `vm` has transferred `units` to the members that hold the fewest; `None` when
/// `vm` is no member or holds fewer units.
pub fn plan_transfer(spec: &RosterSpec, vm: &str, units: Units) -> Option<RosterSpec> {
    let mut plan = spec.clone();
    let donor = plan.members.iter_mut().find(|member| member.vm == vm)?;
    donor.units = donor.units.checked_sub(units)?;
    distribute(&mut plan, units, Some(vm));
    Some(plan)
}

/// Raises members to an equal share, those with the fewest units first. The member that had the fewest also
/// gets the remaining units. The donor gets none.
fn distribute(plan: &mut RosterSpec, mut units: Units, donor: Option<&str>) {
    let equal_share = TOTAL_UNITS / u32::try_from(plan.members.len().max(1)).unwrap_or(u32::MAX);
    let mut order: Vec<usize> = (0..plan.members.len()).collect();
    order.retain(|&index| donor != Some(plan.members[index].vm.as_str()));
    order.sort_by_key(|&index| plan.members[index].units);
    for &index in &order {
        let added = equal_share
            .saturating_sub(plan.members[index].units)
            .min(units);
        plan.members[index].units += added;
        units -= added;
    }
    if let Some(&index) = order.first() {
        plan.members[index].units += units;
    }
}
