//! No workspace exceeds its rate and burst over all VMs together.

mod fleet;

use std::time::Duration;

use boragerill::{
    generated::messages::{
        LeaseGrant,
        Placement, //
    },
    kinds::RosterSpec,
    rank::hash_name,
    roster::RosterView,
    share::{
        ShareSettings,
        ShareState, //
    }, //
};
use fleet::{
    limit,
    ShareFleet, //
};
use proptest::{
    prelude::*,
    test_runner::RngSeed, //
};
use proptest_state_machine::{
    prop_state_machine,
    ReferenceStateMachine,
    StateMachineTest, //
};

const MEMBERS: usize = 4;

/// One event in the life of a region.
#[derive(Clone, Debug)]
enum FleetEvent {
    Advance(u64),
    Ask {
        member: usize,
        count: u8,
        use_delay_ms: u64,
    },
    Spend,
    Greedy(bool),
    Freeze(usize),
    Thaw(usize),
    Cut {
        member: usize,
        side: u8,
    },
    Heal,
    Break {
        member: usize,
        peer: usize,
    },
    Delay(u64),
    Repeat(bool),
    Restart(usize),
    Replace(usize),
    Platform {
        down: bool,
    },
}

/// Draws events; the oracle is the list of grants that the fleet itself keeps.
struct FleetReference;

impl ReferenceStateMachine for FleetReference {
    type State = (f64, f64);
    type Transition = FleetEvent;

    /// Draws a rate and burst: a bucket that refills fast, one that refills slowly, and one between.
    fn init_state() -> BoxedStrategy<(f64, f64)> {
        prop_oneof![Just((20.0, 5.0)), Just((4.0, 60.0)), Just((8.0, 12.0))].boxed()
    }

    fn transitions(_: &(f64, f64)) -> BoxedStrategy<FleetEvent> {
        let member = 0..MEMBERS;
        prop_oneof![
            6 => (50_u64..4000).prop_map(FleetEvent::Advance),
            4 => (member.clone(), 1_u8..30, 0_u64..150)
                .prop_map(|(member, count, use_delay_ms)| FleetEvent::Ask { member, count, use_delay_ms }),
            4 => Just(FleetEvent::Spend),
            2 => any::<bool>().prop_map(FleetEvent::Greedy),
            2 => member.clone().prop_map(FleetEvent::Freeze),
            2 => member.clone().prop_map(FleetEvent::Thaw),
            2 => (member.clone(), 0_u8..3).prop_map(|(member, side)| FleetEvent::Cut { member, side }),
            1 => Just(FleetEvent::Heal),
            2 => (member.clone(), member.clone()).prop_map(|(member, peer)| FleetEvent::Break { member, peer }),
            1 => prop_oneof![Just(1_u64), Just(300), Just(1200), Just(3000)].prop_map(FleetEvent::Delay),
            1 => any::<bool>().prop_map(FleetEvent::Repeat),
            1 => member.clone().prop_map(FleetEvent::Restart),
            1 => member.prop_map(FleetEvent::Replace),
            1 => any::<bool>().prop_map(|down| FleetEvent::Platform { down }),
        ]
        .boxed()
    }

    fn apply(limit: (f64, f64), _: &FleetEvent) -> (f64, f64) {
        limit
    }
}

struct FleetTest;

impl StateMachineTest for FleetTest {
    type SystemUnderTest = ShareFleet;
    type Reference = FleetReference;

    fn init_test(&(rate, burst): &(f64, f64)) -> ShareFleet {
        ShareFleet::settled(MEMBERS, limit(rate, burst))
    }

    fn apply(mut fleet: ShareFleet, _: &(f64, f64), event: FleetEvent) -> ShareFleet {
        match event {
            FleetEvent::Advance(ms) => fleet.advance(Duration::from_millis(ms)),
            FleetEvent::Ask {
                member,
                count,
                use_delay_ms,
            } => {
                (0..count).for_each(|_| fleet.ask(member, Duration::from_millis(use_delay_ms)));
            }
            FleetEvent::Spend => fleet.spend(200),
            FleetEvent::Greedy(greedy) => fleet.greedy = greedy,
            FleetEvent::Freeze(member) => fleet.members[member].frozen = true,
            FleetEvent::Thaw(member) => fleet.thaw(member),
            FleetEvent::Cut { member, side } => fleet.members[member].cut = side,
            FleetEvent::Heal => fleet.members.iter_mut().for_each(|member| member.cut = 0),
            FleetEvent::Break { member, peer } => fleet.break_link(member, peer),
            FleetEvent::Delay(ms) => fleet.delay = Duration::from_millis(ms),
            FleetEvent::Repeat(repeats) => fleet.repeats = repeats,
            FleetEvent::Restart(member) => fleet.restart_member(member),
            FleetEvent::Replace(member) => {
                fleet.remove_member(member);
                fleet.add_member();
            }
            FleetEvent::Platform { down } => fleet.platform_down = down,
        }
        fleet
    }

    fn check_invariants(fleet: &ShareFleet, _: &(f64, f64)) {
        fleet.assert_bound();
        assert_eq!(fleet.total_units(), boragerill::roster::TOTAL_UNITS);
    }
}

fn config(seed: u64) -> ProptestConfig {
    ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(seed),
        max_shrink_iters: 2000,
        ..ProptestConfig::default()
    }
}

prop_state_machine! {
    #![proptest_config(config(1))]
    #[test]
    fn bound_holds_under_faults(sequential 1..60 => FleetTest);
}

#[test]
fn whole_burst_and_rate_are_usable_in_calm() {
    // Arrange.
    let mut fleet = ShareFleet::settled(6, limit(10.0, 20.0));

    // Act: a burst, then ten seconds at 95 % of the rate.
    let burst = (0..20).filter(|_| fleet.ask_any()).count();
    fleet.advance(Duration::from_secs(3));
    let mut granted = 0;
    for _ in 0..190 {
        fleet.advance(Duration::from_millis(50));
        granted += usize::from(fleet.now().as_millis() % 100 == 0 && fleet.ask_any());
    }

    // Assert.
    assert_eq!(burst, 20);
    assert!(granted >= 94, "{granted} of 95 granted");
    fleet.assert_bound();
}

#[test]
fn cut_member_serves_its_own_share() {
    // Arrange.
    let mut fleet = ShareFleet::settled(4, limit(40.0, 40.0));
    fleet.members[0].cut = 1;
    fleet.advance(Duration::from_secs(8));

    // Act: the cut member is asked much more often than its share allows.
    let before = fleet.grants.len();
    for _ in 0..200 {
        fleet.advance(Duration::from_millis(50));
        fleet.ask(0, Duration::ZERO);
        fleet.ask(0, Duration::ZERO);
    }
    let granted = fleet.grants.len() - before;

    // Assert: a quarter of 40 a second for ten seconds, and a quarter of the burst.
    assert!((95..=112).contains(&granted), "{granted} granted");
    fleet.assert_bound();
}

#[test]
fn lost_owner_costs_seconds() {
    // Arrange: find the owner of the workspace and lose it.
    let mut fleet = ShareFleet::settled(6, limit(10.0, 20.0));
    let holds = |fleet: &mut ShareFleet, index| {
        let before = fleet.grants.len();
        fleet.ask(index, Duration::ZERO);
        fleet.grants.len() > before
    };
    let owner = (0..6)
        .find(|&index| holds(&mut fleet, index))
        .expect("one member owns the bucket");

    // Act.
    fleet.remove_member(owner);
    let lost = fleet.now();
    while !fleet.ask_any() && fleet.now() < lost + Duration::from_secs(30) {
        fleet.advance(Duration::from_millis(50));
    }
    let outage = fleet.now() - lost;

    // Assert.
    assert!(
        outage <= Duration::from_secs(5),
        "first grant after {outage:?}"
    );
    fleet.assert_bound();
}

#[test]
fn new_workspace_has_its_burst() {
    // Arrange: the platform confirms its version after the leases began.
    let mut fleet = ShareFleet::settled(4, limit(0.0, 16.0));
    let asked = std::time::Instant::now() + Duration::from_secs(60);
    fleet
        .members
        .iter_mut()
        .for_each(|member| member.state.record_version(asked, 100));

    // Act: a workspace created later is asked for, and one that may have been in use before.
    fleet.limit.created = 101;
    let fresh = (0..16).filter(|_| fleet.ask_any()).count();
    fleet.limit.created = 99;
    fleet.limit.hash += 1;
    let older = (0..16).filter(|_| fleet.ask_any()).count();

    // Assert.
    assert_eq!(fresh, 16);
    assert_eq!(older, 0);
}

#[test]
fn fast_clock_earns_no_more_than_the_rate() {
    // Arrange: one member alone, whose clock runs fast.
    let mut fleet = ShareFleet::settled(2, limit(20.0, 5.0));
    fleet.remove_member(0);
    fleet.advance(Duration::from_secs(20));

    // Act: it is asked at twice the rate for ten minutes.
    for _ in 0..12_000 {
        fleet.advance(Duration::from_millis(50));
        fleet.ask(0, Duration::ZERO);
        fleet.ask(0, Duration::ZERO);
    }

    // Assert.
    fleet.assert_bound();
    assert!(
        fleet.grants.len() > 11_900,
        "{} granted",
        fleet.grants.len()
    );
}

#[test]
fn lease_that_echoes_an_earlier_process_is_not_held() {
    // Arrange: a member has sent its first message; a peer echoes the same number of another process.
    let now = std::time::Instant::now();
    let roster = RosterSpec {
        members: ["vm-0", "vm-1"].map(fleet::member_spec).to_vec(),
    };
    let mut state = ShareState::new(ShareSettings::default(), "vm-0", 7, now);
    state.update_roster(RosterView::new(5, &roster), now);
    state.tick(now);
    let placement = Placement {
        roster: 5,
        reachable: vec![1],
    };
    let lend = |echo_incarnation, sequence| LeaseGrant {
        from: Some(placement.clone()),
        to: Some(placement.clone()),
        units: 1000,
        lease_ms: 1500,
        sequence,
        incarnation: 3,
        echo: 1,
        echo_incarnation,
        feeds: false,
    };

    // Act.
    state.receive_lend("vm-1", lend(6, 1), now);
    let earlier = state.held_units(hash_name("riegos-norte"), now);
    state.receive_lend("vm-1", lend(7, 2), now);
    let current = state.held_units(hash_name("riegos-norte"), now);

    // Assert.
    assert_eq!((earlier, current), (0, 1000));
}
