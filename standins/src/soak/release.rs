//! Seeded plans of releases: all servers are replaced by newer versions, in waves, while VMs restart.

use std::{
    ops::RangeInclusive,
    time::Duration, //
};

use rand::{
    rngs::StdRng,
    RngExt,
    SeedableRng, //
};

use super::{
    plan::{
        PlanTerms,
        SoakAction, //
    },
    trouble::{
        LinkTrouble,
        RelayScope,
        TroubleKind,
        VmGroup, //
    },
};
use crate::relay::RelayMode;

/// Makes these plans independent of the others of a seed.
const RELEASE_SEED: u64 = 0x51ab_90d3;

/// Makes the cuts beside releases independent of the rest of a plan.
const CUT_SEED: u64 = 0x3c07_66d9;

/// Makes the choice of servers that are replaced at their address independent of the rest of a plan.
const PLACE_SEED: u64 = 0x6d12_fe85;

/// Versions that replace all servers, one after the other.
const RELEASES: RangeInclusive<u64> = 2..=3;

/// Number of waves in which a version replaces the servers.
const WAVES: usize = 3;

/// Largest number of routes that a change of the configuration adds beside releases.
const SMALL_CHANGE: usize = 3;

/// Time before the end of the load in which nothing begins, in seconds.
const TAIL_S: f64 = 3.0;

/// Returns actions with their times since the start of the load.
pub(super) fn make_releases(terms: PlanTerms) -> Vec<(Duration, SoakAction)> {
    let mut random = StdRng::seed_from_u64(terms.seed ^ RELEASE_SEED);
    let mut plan: Vec<(f64, SoakAction)> = Vec::new();
    let length = terms.length.as_secs_f64();
    let last = length - TAIL_S;
    let large = random.random_range(0.25..0.4) * length;
    plan.push((large, SoakAction::AddRoutes(terms.routes)));
    let mut change = 1.0;
    while change < last {
        let routes = random.random_range(1..=SMALL_CHANGE);
        plan.push((change, SoakAction::AddRoutes(routes)));
        change += random.random_range(0.4..4.0);
    }
    let distance = length / 2.2;
    let mut places = StdRng::seed_from_u64(terms.seed ^ PLACE_SEED);
    for release in RELEASES {
        let number = (release - RELEASES.start()) as f64;
        let begin = distance * number + random.random_range(2.0..4.0);
        let gap = random.random_range(0.3..1.5);
        for server in 0..terms.servers {
            let wave = server / terms.servers.div_ceil(WAVES);
            let at = begin + gap * wave as f64 + random.random_range(0.0..0.1);
            let lasts = Duration::from_secs_f64(random.random_range(2.1..4.0));
            let action = SoakAction::Upgrade {
                server,
                release,
                is_in_place: places.random_bool(terms.in_place),
                lasts,
            };
            plan.push((at, action));
        }
        add_restarts(&mut plan, &mut random, terms.vms, begin);
        if terms.relays != RelayScope::None {
            add_cut(&mut plan, &terms, release, begin);
        }
    }
    for _ in 0..terms.servers.div_ceil(2) {
        let is_back_at_once = random.random_bool(0.5);
        let lasts = match is_back_at_once {
            true => Duration::ZERO,
            false => Duration::from_secs_f64(random.random_range(0.3..2.0)),
        };
        let server = random.random_range(0..terms.servers);
        let at = random.random_range(2.0..last);
        plan.push((at, SoakAction::CrashNewest { server, lasts }));
    }
    if random.random_bool(0.5) {
        let after = Duration::from_secs_f64(random.random_range(0.5..8.0));
        plan.push((0.0, SoakAction::CutWatches { after }));
    }
    if random.random_bool(0.5) {
        let lasts = Duration::from_secs_f64(random.random_range(0.5..3.0));
        plan.push((
            random.random_range(2.0..last),
            SoakAction::StoreOutage { lasts },
        ));
    }
    let plan = plan.into_iter().filter(|entry| entry.0 < last);
    plan.map(|(at, action)| (Duration::from_secs_f64(at), action))
        .collect()
}

/// Adds restarts of VMs beside a release: most of them killed at once, or all killed or stopped in turn.
fn add_restarts(plan: &mut Vec<(f64, SoakAction)>, random: &mut StdRng, vms: usize, begin: f64) {
    let first = random.random_range(0..vms);
    let kind = random.random_range(0..3);
    let (count, gap) = match kind {
        0 => (vms * 3 / 4, 0.0),
        1 => (vms, random.random_range(0.15..0.6)),
        _ => (vms, random.random_range(0.3..0.9)),
    };
    for number in 0..count {
        let vm = (first + number) % vms;
        let lasts = Duration::from_secs_f64(random.random_range(0.1..1.5));
        let at = match kind {
            0 => begin + random.random_range(0.08..1.2),
            _ => begin + gap * number as f64,
        };
        let action = match kind {
            0 | 1 => SoakAction::Kill { vm, lasts },
            _ => SoakAction::Stop { vm, lasts },
        };
        plan.push((at, action));
    }
}

/// Cuts some VMs off from the store while the first servers of a release register, and crashes servers of the release
/// soon after, so that its streams are taken up where it may not be known.
fn add_cut(plan: &mut Vec<(f64, SoakAction)>, terms: &PlanTerms, release: u64, begin: f64) {
    let mut random = StdRng::seed_from_u64(terms.seed ^ CUT_SEED ^ release);
    let first = random.random_range(0..terms.vms);
    let group = match random.random_range(0..3) {
        0 => VmGroup::Third(first, 1),
        1 => VmGroup::Domain(first),
        _ => VmGroup::Rest(first, 1),
    };
    let mode = match random.random_range(0..3) {
        0 => RelayMode::Hold,
        1 => RelayMode::HoldResponses,
        _ => RelayMode::Close,
    };
    let cut = LinkTrouble {
        kind: TroubleKind::StoreCut(mode),
        group,
        lasts: Duration::from_secs_f64(random.random_range(1.0..5.0)),
    };
    let at = begin + random.random_range(-0.4..0.1);
    plan.push((at, SoakAction::Trouble(cut)));
    for server in 0..terms.servers.div_ceil(WAVES) {
        let at = begin + random.random_range(0.2..2.0);
        let lasts = Duration::from_secs_f64(random.random_range(0.0..1.0));
        plan.push((at, SoakAction::CrashNewest { server, lasts }));
    }
}
