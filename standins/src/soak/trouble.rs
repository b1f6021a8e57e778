//! Troubles on the links of VMs, and seeded plans of them.

use std::time::Duration;

use rand::{
    rngs::StdRng,
    RngExt,
    SeedableRng, //
};

use super::{
    fleet::DOMAINS,
    plan::{
        PlanTerms,
        SoakAction, //
    },
};
use crate::relay::RelayMode;

/// Makes the plan of troubles independent of the other actions of a seed.
const TROUBLE_SEED: u64 = 0x7206_b1e5;

/// Divisor of the number of VMs, and the largest distance at which a third of them are distinct.
const THIRD: usize = 3;

/// Time of a run after which no trouble begins, before the end of the load, in seconds.
const TAIL_S: f64 = 5.0;

/// Links that relays stand on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RelayScope {
    /// None.
    None,
    /// Those between VMs and the store.
    Store,
    /// Those, and those between VMs.
    All,
}

/// Some VMs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum VmGroup {
    /// One VM.
    One(usize),
    /// A third of the VMs, from one on, at a distance from each other.
    Third(usize, usize),
    /// All VMs but such a third.
    Rest(usize, usize),
    /// All VMs of a failure domain.
    Domain(usize),
    /// All VMs.
    All,
}

/// Direction in which a group is cut off from the other VMs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum CutDirection {
    /// Nothing passes.
    Both,
    /// Nothing reaches the group.
    ToGroup,
    /// Nothing of the group reaches the others.
    FromGroup,
}

/// What happens on the links of a group.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum TroubleKind {
    /// The store turns the group away.
    StoreCut(RelayMode),
    /// Open connections to the store go silent for good.
    StoreSilence,
    /// A share of the datagrams from and to the group is lost, and connections pass.
    DatagramLoss(f64),
    /// Connections of other VMs to the group are disturbed, and datagrams pass.
    PeerCut(RelayMode),
    /// The group is cut off from the other VMs.
    GroupCut(CutDirection),
    /// Open connections of other VMs to the group go silent for good.
    PeerSilence,
}

/// A trouble on the links of a group.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct LinkTrouble {
    /// What happens.
    pub(crate) kind: TroubleKind,
    /// Where it happens.
    pub(crate) group: VmGroup,
    /// Length; what lasts for good has none.
    pub(crate) lasts: Duration,
}

impl VmGroup {
    /// Returns the indexes of the group's VMs in a fleet of `count`.
    pub(crate) fn members(self, count: usize) -> Vec<usize> {
        match self {
            VmGroup::One(vm) => vec![vm],
            VmGroup::Third(first, distance) => (0..count.div_ceil(THIRD))
                .map(|number| (first + number * distance) % count)
                .collect(),
            VmGroup::Rest(first, distance) => {
                let third = VmGroup::Third(first, distance).members(count);
                (0..count).filter(|vm| !third.contains(vm)).collect()
            }
            VmGroup::Domain(domain) => (domain % DOMAINS..count).step_by(DOMAINS).collect(),
            VmGroup::All => (0..count).collect(),
        }
    }
}

impl LinkTrouble {
    /// Returns whether open connections go silent for good, which counts as a disturbance of all VMs.
    pub(crate) fn is_silence(&self) -> bool {
        matches!(
            self.kind,
            TroubleKind::StoreSilence | TroubleKind::PeerSilence
        )
    }
}

/// Returns troubles in series and overlapping, each with changes while it lasts and just after it ends.
pub(crate) fn make_troubles(terms: PlanTerms, scope: RelayScope) -> Vec<(Duration, SoakAction)> {
    if scope == RelayScope::None {
        return Vec::new();
    }
    let mut plan: Vec<(f64, SoakAction)> = Vec::new();
    let mut random = StdRng::seed_from_u64(terms.seed ^ TROUBLE_SEED);
    let last = terms.length.as_secs_f64() - TAIL_S;
    let mut at = random.random_range(0.5..3.0);
    // The first half of the servers leaves by the other actions.
    let mut server = terms.servers / 2;
    while at < last {
        let trouble = make_trouble(&mut random, terms.vms, scope);
        let lasts = trouble.lasts.as_secs_f64();
        plan.push((at, SoakAction::Trouble(trouble)));
        let during = at + random.random_range(0.05..0.95) * lasts.max(1.0);
        let after = at + lasts + random.random_range(0.0..0.5);
        for change in [during, after] {
            plan.push((change, SoakAction::AddRoutes(random.random_range(1..=3))));
        }
        for leave in [during, after] {
            let lasts = Duration::from_secs_f64(random.random_range(4.5..9.0));
            if server < terms.servers && random.random_bool(0.6) {
                plan.push((leave, make_leave(&mut random, server, lasts)));
                server += 1;
            }
        }
        // The next one overlaps with this one, follows at its end, or comes later.
        at += match random.random_bool(0.4) {
            true => random.random_range(0.2..3.0),
            false => lasts + random.random_range(0.0..4.0),
        };
    }
    let plan = plan.into_iter().filter(|entry| entry.0 < last);
    plan.map(|(at, action)| (Duration::from_secs_f64(at), action))
        .collect()
}

fn make_leave(random: &mut StdRng, server: usize, lasts: Duration) -> SoakAction {
    match random.random_range(0..3) {
        0 => SoakAction::Leave { server, lasts },
        1 => SoakAction::Remove { server, lasts },
        _ => SoakAction::Replace { server, lasts },
    }
}

fn make_trouble(random: &mut StdRng, vms: usize, scope: RelayScope) -> LinkTrouble {
    let vm = random.random_range(0..vms);
    let distance = random.random_range(1..=THIRD);
    let some = match random.random_range(0..4) {
        0 => VmGroup::One(vm),
        1 => VmGroup::Third(vm, distance),
        2 => VmGroup::Rest(vm, distance),
        _ => VmGroup::Domain(vm),
    };
    let mode = match random.random_range(0..3) {
        0 => RelayMode::Hold,
        1 => RelayMode::HoldResponses,
        _ => RelayMode::Close,
    };
    let direction = match random.random_range(0..3) {
        0 => CutDirection::Both,
        1 => CutDirection::ToGroup,
        _ => CutDirection::FromGroup,
    };
    let share = match random.random_bool(0.5) {
        true => 1.0,
        false => random.random_range(0.3..0.9),
    };
    let kinds = match scope {
        RelayScope::All => 12,
        _ => 7,
    };
    let (kind, group) = match random.random_range(0..kinds) {
        0..=4 => (TroubleKind::StoreCut(mode), some),
        5 => (TroubleKind::StoreSilence, some),
        6 => (TroubleKind::StoreSilence, VmGroup::All),
        7 | 8 => (TroubleKind::DatagramLoss(share), VmGroup::One(vm)),
        9 => (TroubleKind::PeerCut(mode), VmGroup::One(vm)),
        10 => (TroubleKind::GroupCut(direction), VmGroup::Domain(vm)),
        _ => (TroubleKind::PeerSilence, VmGroup::One(vm)),
    };
    let trouble = LinkTrouble {
        kind,
        group,
        lasts: Duration::ZERO,
    };
    let lasts = match trouble.is_silence() {
        true => Duration::ZERO,
        false => Duration::from_secs_f64(random.random_range(1.0..9.0)),
    };
    LinkTrouble { lasts, ..trouble }
}
