//! The VMs of a region and the units of every rate that each of them holds.
//!
//! The roster is one object of the platform, changed only by conditional update. Units move in two
//! ways: a member gives its own away after it has stopped using them, or those of a VM that the
//! platform lists no more are handed on.

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

/// Part of every workspace's rate and burst.
pub type Units = u32;

/// Units that all members of a roster hold together.
pub const TOTAL_UNITS: Units = 65_536;

/// One member as decisions need it.
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
    /// Makes a view of a declared roster.
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

    /// Returns the VM that feeds a backend server with batch, out of the `feeders`, which are sorted:
    /// one of the server's failure domain if there is any.
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

    /// Returns the units that a VM holds; none when it is no member.
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

/// Returns the roster with `joining` added or brought up to date; `None` when nothing changes.
///
/// The first member of all gets every unit; a later one starts with none.
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

/// Returns the roster without the VMs that `is_listed` denies, their units handed to the others.
pub fn plan_removal(spec: &RosterSpec, is_listed: impl Fn(&str) -> bool) -> Option<RosterSpec> {
    let (kept, gone): (Vec<_>, Vec<_>) = spec
        .members
        .iter()
        .cloned()
        .partition(|member| is_listed(&member.vm));
    if gone.is_empty() || kept.is_empty() {
        return None;
    }
    let freed = gone.iter().map(|member| member.units).sum();
    let mut plan = RosterSpec { members: kept };
    hand_out(&mut plan, freed, None);
    Some(plan)
}

/// Returns the units that `vm` holds above an equal share, when it is worth moving them.
pub fn surplus_units(spec: &RosterSpec, vm: &str) -> Option<Units> {
    let fair = TOTAL_UNITS / u32::try_from(spec.members.len().max(1)).unwrap_or(u32::MAX);
    let own = spec.members.iter().find(|member| member.vm == vm)?.units;
    let needed = spec
        .members
        .iter()
        .map(|member| fair.saturating_sub(member.units))
        .sum();
    let excess = own.saturating_sub(fair + 1).min(needed);
    (excess > fair / 8).then_some(excess)
}

/// Returns the roster in which `vm` has given `units` to the members that hold the fewest.
pub fn plan_transfer(spec: &RosterSpec, vm: &str, units: Units) -> Option<RosterSpec> {
    let mut plan = spec.clone();
    let giver = plan.members.iter_mut().find(|member| member.vm == vm)?;
    giver.units = giver.units.checked_sub(units)?;
    hand_out(&mut plan, units, Some(vm));
    Some(plan)
}

/// Raises members to an equal share, the poorest first, and gives what is left to the first.
fn hand_out(plan: &mut RosterSpec, mut units: Units, giver: Option<&str>) {
    let fair = TOTAL_UNITS / u32::try_from(plan.members.len().max(1)).unwrap_or(u32::MAX);
    let mut order: Vec<usize> = (0..plan.members.len()).collect();
    order.retain(|&index| giver != Some(plan.members[index].vm.as_str()));
    order.sort_by_key(|&index| plan.members[index].units);
    for &index in &order {
        let gift = fair.saturating_sub(plan.members[index].units).min(units);
        plan.members[index].units += gift;
        units -= gift;
    }
    if let Some(&index) = order.first() {
        plan.members[index].units += units;
    }
}
