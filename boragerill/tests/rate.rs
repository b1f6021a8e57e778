//! The tokens granted by all VMs together never exceed a workspace's rate and burst.

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

/// Event in the simulated region.
#[derive(Clone, Debug)]
enum FleetEvent {
    /// Time passes, in milliseconds.
    Advance(u64),
    /// A member receives requests.
    Request {
        member: usize,
        count: u8,
        start_delay_ms: u64,
    },
    /// Requests take all available tokens.
    TakeAll,
    /// Requests take all available tokens in every step from now on, or no longer.
    Saturate(bool),
    /// A member's process pauses.
    Pause(usize),
    /// A paused process resumes.
    Resume(usize),
    /// A member moves to a side of the network partition.
    Partition { member: usize, side: u8 },
    /// The partition ends.
    Heal,
    /// A connection between two members closes.
    Disconnect { member: usize, peer: usize },
    /// Messages are delayed from now on, in milliseconds.
    Delay(u64),
    /// Messages are delivered twice from now on, or no longer.
    Duplicate(bool),
    /// A member's process restarts.
    Restart(usize),
    /// A VM is replaced by a new one.
    Replace(usize),
    /// The platform becomes unavailable or available again.
    Platform { down: bool },
}

/// Generates events; the test checks the list of grants that the simulated fleet keeps.
struct FleetReference;

impl ReferenceStateMachine for FleetReference {
    type State = (f64, f64);
    type Transition = FleetEvent;

    /// Chooses rate and burst: a bucket that refills fast, one that refills slowly, or one between.
    fn init_state() -> BoxedStrategy<(f64, f64)> {
        prop_oneof![Just((20.0, 5.0)), Just((4.0, 60.0)), Just((8.0, 12.0))].boxed()
    }

    fn transitions(_: &(f64, f64)) -> BoxedStrategy<FleetEvent> {
        let member = 0..MEMBERS;
        prop_oneof![
            6 => (50_u64..4000).prop_map(FleetEvent::Advance),
            4 => (member.clone(), 1_u8..30, 0_u64..150)
                .prop_map(|(member, count, start_delay_ms)| FleetEvent::Request { member, count, start_delay_ms }),
            4 => Just(FleetEvent::TakeAll),
            2 => any::<bool>().prop_map(FleetEvent::Saturate),
            2 => member.clone().prop_map(FleetEvent::Pause),
            2 => member.clone().prop_map(FleetEvent::Resume),
            2 => (member.clone(), 0_u8..3).prop_map(|(member, side)| FleetEvent::Partition { member, side }),
            1 => Just(FleetEvent::Heal),
            2 => (member.clone(), member.clone()).prop_map(|(member, peer)| FleetEvent::Disconnect { member, peer }),
            1 => prop_oneof![Just(1_u64), Just(300), Just(1200), Just(3000)].prop_map(FleetEvent::Delay),
            1 => any::<bool>().prop_map(FleetEvent::Duplicate),
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
            FleetEvent::Request {
                member,
                count,
                start_delay_ms,
            } => {
                (0..count)
                    .for_each(|_| fleet.request(member, Duration::from_millis(start_delay_ms)));
            }
            FleetEvent::TakeAll => fleet.take_all(200),
            FleetEvent::Saturate(saturated) => fleet.saturated = saturated,
            FleetEvent::Pause(member) => fleet.members[member].paused = true,
            FleetEvent::Resume(member) => fleet.resume(member),
            FleetEvent::Partition { member, side } => fleet.members[member].side = side,
            FleetEvent::Heal => fleet.members.iter_mut().for_each(|member| member.side = 0),
            FleetEvent::Disconnect { member, peer } => fleet.disconnect(member, peer),
            FleetEvent::Delay(ms) => fleet.delay = Duration::from_millis(ms),
            FleetEvent::Duplicate(duplicates) => fleet.duplicates = duplicates,
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
fn full_burst_and_rate_are_usable_without_faults() {
    // Arrange.
    let mut fleet = ShareFleet::settled(6, limit(10.0, 20.0));

    // Act: a burst, then ten seconds at 95 % of the rate.
    let burst = (0..20).filter(|_| fleet.request_from_any()).count();
    fleet.advance(Duration::from_secs(3));
    let mut granted = 0;
    for _ in 0..190 {
        fleet.advance(Duration::from_millis(50));
        granted += usize::from(fleet.now().as_millis() % 100 == 0 && fleet.request_from_any());
    }

    // Assert.
    assert_eq!(burst, 20);
    assert!(granted >= 94, "{granted} of 95 granted");
    fleet.assert_bound();
}

#[test]
fn partitioned_member_serves_its_own_share() {
    // Arrange.
    let mut fleet = ShareFleet::settled(4, limit(40.0, 40.0));
    fleet.members[0].side = 1;
    fleet.advance(Duration::from_secs(8));

    // Act: the partitioned member receives far more requests than its share allows.
    let before = fleet.grants.len();
    for _ in 0..200 {
        fleet.advance(Duration::from_millis(50));
        fleet.request(0, Duration::ZERO);
        fleet.request(0, Duration::ZERO);
    }
    let granted = fleet.grants.len() - before;

    // Assert: a quarter of 40 a second for ten seconds, and a quarter of the burst.
    assert!((95..=112).contains(&granted), "{granted} granted");
    fleet.assert_bound();
}

#[test]
fn ownership_moves_within_seconds_of_losing_the_owner() {
    // Arrange: find the owner of the workspace.
    let mut fleet = ShareFleet::settled(6, limit(10.0, 20.0));
    let holds = |fleet: &mut ShareFleet, index| {
        let before = fleet.grants.len();
        fleet.request(index, Duration::ZERO);
        fleet.grants.len() > before
    };
    let owner = (0..6)
        .find(|&index| holds(&mut fleet, index))
        .expect("one member owns the bucket");

    // Act: remove the owner, and request tokens until one is granted.
    fleet.remove_member(owner);
    let lost = fleet.now();
    while !fleet.request_from_any() && fleet.now() < lost + Duration::from_secs(30) {
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
    // Arrange: the members learn the platform's version after their leases began.
    let mut fleet = ShareFleet::settled(4, limit(0.0, 16.0));
    let asked = std::time::Instant::now() + Duration::from_secs(60);
    fleet
        .members
        .iter_mut()
        .for_each(|member| member.state.record_version(asked, 100));

    // Act: request tokens of a workspace created later, and of one that may have been in use before.
    fleet.limit.created = 101;
    let fresh = (0..16).filter(|_| fleet.request_from_any()).count();
    fleet.limit.created = 99;
    fleet.limit.hash += 1;
    let older = (0..16).filter(|_| fleet.request_from_any()).count();

    // Assert.
    assert_eq!(fresh, 16);
    assert_eq!(older, 0);
}

#[test]
fn fast_clock_accrues_no_more_than_the_rate() {
    // Arrange: a single member, whose clock runs fast.
    let mut fleet = ShareFleet::settled(2, limit(20.0, 5.0));
    fleet.remove_member(0);
    fleet.advance(Duration::from_secs(20));

    // Act: the member receives requests at twice the rate for ten minutes.
    for _ in 0..12_000 {
        fleet.advance(Duration::from_millis(50));
        fleet.request(0, Duration::ZERO);
        fleet.request(0, Duration::ZERO);
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
fn lease_that_echoes_an_earlier_process_is_ignored() {
    // Arrange: a member has sent its first heartbeat. The peer's first echo has the same sequence number but
    // the incarnation of an earlier process.
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
    let grant = |echo_incarnation, sequence| LeaseGrant {
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
    state.receive_grant("vm-1", grant(6, 1), now);
    let earlier = state.held_units(hash_name("riegos-norte"), now);
    state.receive_grant("vm-1", grant(7, 2), now);
    let current = state.held_units(hash_name("riegos-norte"), now);

    // Assert.
    assert_eq!((earlier, current), (0, 1000));
}
