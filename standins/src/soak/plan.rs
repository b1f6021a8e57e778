//! Seeded plans: what is done to the fleet, and when.

use std::time::Duration;

use rand::{
    rngs::StdRng,
    RngExt,
    SeedableRng, //
};

use super::{
    fleet::DOMAINS,
    release::make_releases,
    trouble::{
        make_troubles,
        LinkTrouble,
        RelayScope, //
    },
};

/// Largest number of routes that a small change of the configuration adds.
const SMALL_CHANGE: usize = 3;

/// Share of the VMs that a rolling restart stops.
const ROLL_SHARE: f64 = 0.43;

/// Something that is done to the fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum SoakAction {
    /// The operator adds routes.
    AddRoutes(usize),
    /// A server announces in its entry that it leaves, and ends `lasts` later.
    Leave {
        /// Index of the server.
        server: usize,
        /// Time from the announcement to its end.
        lasts: Duration,
    },
    /// The entry of a server is removed, and the server ends `lasts` later.
    Remove {
        /// Index of the server.
        server: usize,
        /// Time from the removal to its end.
        lasts: Duration,
    },
    /// A server with a new version of the software registers, and the server leaves, as in a release.
    Replace {
        /// Index of the server that leaves.
        server: usize,
        /// Time from the announcement to its end.
        lasts: Duration,
    },
    /// The newest server at a place is replaced by one with the version of a release.
    Upgrade {
        /// Place of the server.
        server: usize,
        /// Number of the release.
        release: u64,
        /// Whether the new one has the address of the old one, which ends without an announcement.
        is_in_place: bool,
        /// Time from the announcement to the end of the server that leaves.
        lasts: Duration,
    },
    /// The newest server at a place crashes and is back after `lasts`.
    CrashNewest {
        /// Place of the server.
        server: usize,
        /// Downtime.
        lasts: Duration,
    },
    /// A server crashes and is back after `lasts`.
    Crash {
        /// Index of the server.
        server: usize,
        /// Downtime.
        lasts: Duration,
    },
    /// The store rejects all calls for `lasts`.
    StoreOutage {
        /// Length.
        lasts: Duration,
    },
    /// The store cuts off watches that have waited for `after`, from now on.
    CutWatches {
        /// Time for which a watch may wait.
        after: Duration,
    },
    /// A VM gets SIGTERM, and starts again `lasts` after its end.
    Stop {
        /// Index of the VM.
        vm: usize,
        /// Downtime.
        lasts: Duration,
    },
    /// A VM is killed, and starts again after `lasts`.
    Kill {
        /// Index of the VM.
        vm: usize,
        /// Downtime.
        lasts: Duration,
    },
    /// Links of VMs are disturbed.
    Trouble(LinkTrouble),
    /// A VM stands still for `lasts`.
    Freeze {
        /// Index of the VM.
        vm: usize,
        /// Length.
        lasts: Duration,
    },
}

/// Sizes that a plan is made for.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PlanTerms {
    /// Number of VMs.
    pub(crate) vms: usize,
    /// Number of servers.
    pub(crate) servers: usize,
    /// Length of the load.
    pub(crate) length: Duration,
    /// Number of routes that the large change adds.
    pub(crate) routes: usize,
    /// Links that are disturbed.
    pub(crate) relays: RelayScope,
    /// Whether releases replace the other actions.
    pub(crate) has_releases: bool,
    /// Share of the servers that a release replaces at the same address.
    pub(crate) in_place: f64,
    /// Whether the servers of a failure domain crash and are back at once.
    pub(crate) crashes_domain: bool,
    /// Seed.
    pub(crate) seed: u64,
}

/// Returns actions with their times since the start of the load, sorted by time.
pub(crate) fn make_plan(terms: PlanTerms) -> Vec<(Duration, SoakAction)> {
    let mut plan = match terms.has_releases {
        true => make_releases(terms),
        false => make_actions(terms),
    };
    plan.extend(make_troubles(terms, terms.relays));
    plan.sort_by_key(|entry| entry.0);
    plan
}

fn make_actions(terms: PlanTerms) -> Vec<(Duration, SoakAction)> {
    let mut random = StdRng::seed_from_u64(terms.seed);
    let mut plan = Vec::new();
    let length = terms.length.as_secs_f64();
    let at = |plan: &mut Vec<_>, seconds: f64, action: SoakAction| {
        plan.push((Duration::from_secs_f64(seconds), action));
    };
    let release = random.random_range(0.25..0.4) * length;
    at(&mut plan, release, SoakAction::AddRoutes(terms.routes));
    // Small changes come before and after the large one, in quick succession at times.
    let mut change = 1.0;
    while change < length - 5.0 {
        let routes = random.random_range(1..=SMALL_CHANGE);
        at(&mut plan, change, SoakAction::AddRoutes(routes));
        change += random.random_range(0.2..3.0);
    }
    // A rolling restart begins soon after the large change.
    let stopped = (terms.vms as f64 * ROLL_SHARE) as usize;
    let first = random.random_range(0..terms.vms);
    let gap = random.random_range(0.1..1.3);
    for number in 0..stopped {
        let stop = SoakAction::Stop {
            vm: (first + number) % terms.vms,
            lasts: Duration::from_secs_f64(random.random_range(0.1..1.5)),
        };
        let seconds = release + 1.0 + gap * number as f64;
        if seconds < length - 6.0 {
            at(&mut plan, seconds, stop);
        }
    }
    for _ in 0..terms.vms.div_ceil(8) {
        let vm = random.random_range(0..terms.vms);
        let lasts = Duration::from_secs_f64(random.random_range(0.2..3.0));
        let action = match random.random_bool(0.5) {
            true => SoakAction::Kill { vm, lasts },
            false => SoakAction::Freeze { vm, lasts },
        };
        at(&mut plan, random.random_range(2.0..length - 6.0), action);
    }
    // A quarter of the servers leave, another quarter is replaced one after the other, around the large change.
    let quarter = terms.servers / 4;
    for server in 0..quarter {
        let lasts = Duration::from_secs_f64(random.random_range(4.5..9.0));
        let action = match random.random_bool(0.6) {
            true => SoakAction::Leave { server, lasts },
            false => SoakAction::Remove { server, lasts },
        };
        let seconds = release + random.random_range(-3.0..8.0);
        at(&mut plan, seconds.clamp(1.0, length - 5.0), action);
    }
    let begin = random.random_range(2.0..release);
    for number in 0..quarter {
        let action = SoakAction::Replace {
            server: quarter + number,
            lasts: Duration::from_secs_f64(random.random_range(2.1..4.0)),
        };
        let seconds = begin + 0.5 * length * number as f64 / quarter as f64;
        at(&mut plan, seconds.min(length - 5.0), action);
    }
    for _ in 0..terms.servers.div_ceil(8) {
        let action = SoakAction::Crash {
            server: random.random_range(quarter..terms.servers),
            lasts: Duration::from_secs_f64(random.random_range(0.3..2.0)),
        };
        at(&mut plan, random.random_range(2.0..length - 4.0), action);
    }
    if terms.crashes_domain {
        let seconds = random.random_range(2.0..length - 6.0);
        let lasts = Duration::from_secs_f64(random.random_range(0.5..2.0));
        let domain = random.random_range(0..DOMAINS);
        for server in (quarter..terms.servers).filter(|server| server % DOMAINS == domain) {
            at(&mut plan, seconds, SoakAction::Crash { server, lasts });
        }
    }
    if random.random_bool(0.5) {
        let after = Duration::from_secs_f64(random.random_range(0.5..8.0));
        at(&mut plan, 0.0, SoakAction::CutWatches { after });
    }
    if random.random_bool(0.5) {
        let lasts = Duration::from_secs_f64(random.random_range(0.5..5.0));
        let seconds = random.random_range(2.0..length - 6.0);
        at(&mut plan, seconds, SoakAction::StoreOutage { lasts });
    }
    plan
}
