//! What a share earns while its lease lasts, changes and lapses.

use std::time::{
    Duration,
    Instant, //
};

use boragerill::{
    generated::messages::{
        token_response::Outcome,
        LeaseGrant,
        Placement, //
    },
    kinds::{
        MemberSpec,
        RosterSpec, //
    },
    rank::{
        first_ranked,
        hash_name, //
    },
    roster::{
        RosterView,
        TOTAL_UNITS, //
    },
    share::{
        RateLimit,
        ShareSettings,
        ShareState, //
    },
};

/// Half of all units.
const HALF: u32 = TOTAL_UNITS / 2;

/// A lender reaches only the member under test, so that this owns every workspace.
const TO_OWNER: u64 = 0b01;

/// A lender reaches only itself.
const TO_SELF: u64 = 0b10;

/// The member `vm-0`, which may hold a lease of `vm-1`.
struct LeaseOwner {
    state: ShareState,
    start: Instant,
    sequence: u64,
}

/// Returns the limit of a workspace for which `vm-0` ranks before `vm-1`.
fn limit(rate: f64, burst: f64) -> RateLimit {
    let members = [hash_name("vm-0"), hash_name("vm-1")];
    let mut hashes = (0..).map(|index| hash_name(&format!("riegos-{index}")));
    let hash = hashes.find(|&hash| first_ranked(hash, &members, |_| true) == Some(0));
    RateLimit {
        hash: hash.unwrap_or(0),
        rate,
        burst,
        created: 0,
    }
}

/// Makes a member whose own units have become usable, ten seconds after it started.
fn owner(own_units: u32) -> LeaseOwner {
    let start = Instant::now();
    let member = |vm: &str, units| MemberSpec {
        vm: vm.to_owned(),
        domain: "tudela-b".to_owned(),
        control: "127.0.0.1:1".to_owned(),
        incarnation: 1,
        units,
    };
    let members = vec![
        member("vm-0", own_units),
        member("vm-1", TOTAL_UNITS - own_units),
    ];
    let mut state = ShareState::new(ShareSettings::default(), "vm-0", 7, start);
    state.update_roster(RosterView::new(5, &RosterSpec { members }), start);
    (0..100).for_each(|tenth| {
        state.tick(start + Duration::from_millis(100 * tenth));
    });
    LeaseOwner {
        state,
        start: start + Duration::from_secs(10),
        sequence: 0,
    }
}

impl LeaseOwner {
    fn at(&self, ms: u64) -> Instant {
        self.start + Duration::from_millis(ms)
    }

    /// Ticks, and returns the sequence of the heartbeat that peers echo.
    fn tick(&mut self, ms: u64) -> u64 {
        let lends = self.state.tick(self.at(ms));
        lends[0].1.sequence
    }

    /// Receives a lease of 1.5 seconds from the sending of the echoed heartbeat.
    fn lend(&mut self, ms: u64, echo: u64, units: u32, reachable: u64) {
        let placement = Placement {
            roster: 5,
            reachable: vec![reachable],
        };
        self.sequence += 1;
        let lend = LeaseGrant {
            from: Some(placement.clone()),
            to: Some(placement),
            units,
            lease_ms: 1500,
            sequence: self.sequence,
            incarnation: 3,
            echo,
            echo_incarnation: 7,
            feeds: false,
        };
        self.state.receive_lend("vm-1", lend, self.at(ms));
    }

    /// Takes all tokens there are.
    fn spend(&mut self, limit: &RateLimit, ms: u64) -> usize {
        let now = self.at(ms);
        let granted =
            |state: &mut ShareState| state.ask(limit, 1, now).outcome() == Outcome::Granted;
        (0..1000).take_while(|_| granted(&mut self.state)).count()
    }
}

#[test]
fn share_earns_until_its_lease_lapses() {
    // Arrange: half of the units are the member's own, half lent.
    let mut owner = owner(HALF);
    let limit = limit(4.0, 8.0);
    let echo = owner.tick(0);
    owner.lend(0, echo, HALF, TO_OWNER);
    owner.spend(&limit, 1100);

    // Act: the lease lapses at 1,500 ms.
    let granted = owner.spend(&limit, 1900);

    // Assert: 0.8 s of the own half and 0.4 s of the lent one.
    assert_eq!(granted, 2);
}

#[test]
fn lapsed_share_starts_empty() {
    // Arrange: everything is lent, and unspent.
    let mut owner = owner(0);
    let limit = limit(4.0, 8.0);
    let echo = owner.tick(0);
    owner.lend(0, echo, TOTAL_UNITS, TO_OWNER);
    assert_eq!(owner.spend(&limit, 600), 2);
    let echo = owner.tick(1400);

    // Act: the lease lapses, and is renewed a little later.
    owner.lend(1600, echo, TOTAL_UNITS, TO_OWNER);
    let granted = owner.spend(&limit, 1900);

    // Assert: only 0.3 s since the renewal.
    assert_eq!(granted, 1);
}

#[test]
fn lapse_clips_the_level_to_what_is_still_held() {
    // Arrange: a full bucket, of which half is lent.
    let mut owner = owner(HALF);
    let limit = limit(0.4, 8.0);
    for second in 0..40 {
        let echo = owner.tick(second * 1000 + 500);
        owner.lend(second * 1000 + 600, echo, HALF, TO_OWNER);
    }
    let full = owner.at(39_700);
    owner.state.ask(&limit, 1, full);

    // Act: the lease lapses, and is there again two seconds later.
    owner.tick(41_500);
    let echo = owner.tick(43_000);
    owner.lend(43_100, echo, HALF, TO_OWNER);
    let granted = owner.spend(&limit, 43_200);

    // Assert: the own half only.
    assert_eq!(granted, 4);
}

#[test]
fn unasked_bucket_earns_over_every_segment_once() {
    // Arrange: one second with a quarter of the units, then one with half of them.
    let mut owner = owner(0);
    let limit = limit(8.0, 100.0);
    let echo = owner.tick(0);
    owner.lend(0, echo, HALF / 2, TO_OWNER);
    owner.lend(1000, echo, HALF, TO_OWNER);
    let echo = owner.tick(1400);
    owner.lend(1450, echo, HALF, TO_OWNER);

    // Act.
    let granted = owner.spend(&limit, 2000);

    // Assert: two and four, less the drift of clocks.
    assert_eq!(granted, 5);
}

#[test]
fn share_placed_elsewhere_earns_nothing_here() {
    // Arrange: the lender keeps its half for itself.
    let mut owner = owner(HALF);
    let limit = limit(4.0, 8.0);
    let echo = owner.tick(0);
    owner.lend(0, echo, HALF, TO_SELF);
    owner.spend(&limit, 0);

    // Act.
    let granted = owner.spend(&limit, 1100);

    // Assert: 1.1 s of the own half.
    assert_eq!(granted, 2);
}
