//! Tokens accrue on a share exactly while its lease is in force, through changes and expiry of the lease.

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

/// Placement of a lender that reaches only `vm-0`, which so owns every workspace.
const TO_OWNER: u64 = 0b01;

/// Placement of a lender that reaches only itself.
const TO_SELF: u64 = 0b10;

/// The member `vm-0` under test, which may hold a lease of `vm-1`.
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

    /// Ticks, and returns the sequence number of the sent heartbeat, which peers echo.
    fn tick(&mut self, ms: u64) -> u64 {
        let lends = self.state.tick(self.at(ms));
        lends[0].1.sequence
    }

    /// Receives a lease of `vm-1`, which lasts 1.5 seconds from the sending of the echoed heartbeat.
    fn grant(&mut self, ms: u64, echo: u64, units: u32, reachable: u64) {
        let placement = Placement {
            roster: 5,
            reachable: vec![reachable],
        };
        self.sequence += 1;
        let grant = LeaseGrant {
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
        self.state.receive_grant("vm-1", grant, self.at(ms));
    }

    /// Takes all available tokens, and returns their number.
    fn take_all(&mut self, limit: &RateLimit, ms: u64) -> usize {
        let now = self.at(ms);
        let granted =
            |state: &mut ShareState| state.take_tokens(limit, 1, now).outcome() == Outcome::Granted;
        (0..1000).take_while(|_| granted(&mut self.state)).count()
    }
}

#[test]
fn share_accrues_until_its_lease_expires() {
    // Arrange: half of the units are the member's own, half are leased.
    let mut owner = owner(HALF);
    let limit = limit(4.0, 8.0);
    let echo = owner.tick(0);
    owner.grant(0, echo, HALF, TO_OWNER);
    owner.take_all(&limit, 1100);

    // Act: the lease expires at 1,500 ms.
    let granted = owner.take_all(&limit, 1900);

    // Assert: the tokens of 0.8 s on the own half and of 0.4 s on the leased half.
    assert_eq!(granted, 2);
}

#[test]
fn expired_share_restarts_without_tokens() {
    // Arrange: all units are leased, and tokens accrue after the last one was taken.
    let mut owner = owner(0);
    let limit = limit(4.0, 8.0);
    let echo = owner.tick(0);
    owner.grant(0, echo, TOTAL_UNITS, TO_OWNER);
    assert_eq!(owner.take_all(&limit, 600), 2);
    let echo = owner.tick(1400);

    // Act: the lease expires, and is granted again a little later.
    owner.grant(1600, echo, TOTAL_UNITS, TO_OWNER);
    let granted = owner.take_all(&limit, 1900);

    // Assert: only the tokens of the 0.3 s since the new grant.
    assert_eq!(granted, 1);
}

#[test]
fn expiry_limits_tokens_to_the_burst_still_held() {
    // Arrange: a full bucket, of which half is on leased units.
    let mut owner = owner(HALF);
    let limit = limit(0.4, 8.0);
    for second in 0..40 {
        let echo = owner.tick(second * 1000 + 500);
        owner.grant(second * 1000 + 600, echo, HALF, TO_OWNER);
    }
    let full = owner.at(39_700);
    owner.state.take_tokens(&limit, 1, full);

    // Act: the lease expires, and is granted again two seconds later.
    owner.tick(41_500);
    let echo = owner.tick(43_000);
    owner.grant(43_100, echo, HALF, TO_OWNER);
    let granted = owner.take_all(&limit, 43_200);

    // Assert: only the burst of the own half.
    assert_eq!(granted, 4);
}

#[test]
fn new_bucket_accrues_over_every_segment_once() {
    // Arrange: one second with a quarter of the units, then one with half of them.
    let mut owner = owner(0);
    let limit = limit(8.0, 100.0);
    let echo = owner.tick(0);
    owner.grant(0, echo, HALF / 2, TO_OWNER);
    owner.grant(1000, echo, HALF, TO_OWNER);
    let echo = owner.tick(1400);
    owner.grant(1450, echo, HALF, TO_OWNER);

    // Act.
    let granted = owner.take_all(&limit, 2000);

    // Assert: two and four tokens, reduced by the drift of clocks.
    assert_eq!(granted, 5);
}

#[test]
fn share_placed_elsewhere_accrues_nothing_here() {
    // Arrange: the lender's placement keeps its half for the lender.
    let mut owner = owner(HALF);
    let limit = limit(4.0, 8.0);
    let echo = owner.tick(0);
    owner.grant(0, echo, HALF, TO_SELF);
    owner.take_all(&limit, 0);

    // Act.
    let granted = owner.take_all(&limit, 1100);

    // Assert: the tokens of 1.1 s on the own half.
    assert_eq!(granted, 2);
}
