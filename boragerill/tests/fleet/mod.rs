//! Simulated region for tests of share leases: clocks that drift, a network that partitions, delays and
//! duplicates messages, and a roster that changes as VMs join and leave.

use std::time::{
    Duration,
    Instant, //
};

use boragerill::{
    generated::messages::{
        token_response::Outcome,
        LeaseGrant, //
    },
    kinds::{
        MemberSpec,
        RosterSpec, //
    },
    rank::hash_name,
    roster::{
        plan_join,
        plan_removal,
        plan_transfer,
        surplus_units,
        RosterView,
        TOTAL_UNITS, //
    },
    share::{
        RateLimit,
        ShareSettings,
        ShareState,
        GRANT_VALIDITY, //
    },
};
use compact_str::{
    format_compact,
    CompactString, //
};

/// Length of one step of the simulation.
pub(crate) const STEP: Duration = Duration::from_millis(50);

/// Steps from one heartbeat of a member to its next.
const HEARTBEAT_STEPS: u64 = 10;

/// Steps by which the heartbeats of neighbouring members are offset.
const PHASE_STEPS: u64 = 3;

/// One member and its simulated conditions.
pub(crate) struct FleetMember {
    pub(crate) vm: CompactString,
    pub(crate) state: ShareState,
    pub(crate) paused: bool,
    pub(crate) side: u8, // Side of a network partition; messages reach members of the same side only.
    drift_ppm: i64,
    queued_requests: Vec<(Duration, RateLimit)>,
}

struct FleetMessage {
    due: Duration,
    from: CompactString,
    to: CompactString,
    grant: LeaseGrant,
}

/// Members of one region, the platform's roster and the times of granted tokens.
pub(crate) struct ShareFleet {
    pub(crate) members: Vec<FleetMember>,
    pub(crate) limit: RateLimit,
    pub(crate) delay: Duration,
    pub(crate) duplicates: bool, // Whether the network delivers every message twice.
    pub(crate) saturated: bool,  // Whether tokens are requested in every step.
    pub(crate) grants: Vec<Duration>,
    pub(crate) uses: Vec<Duration>, // When requests with granted tokens started.
    pub(crate) refusals: Vec<Duration>,
    pub(crate) platform_down: bool,
    roster: RosterSpec,
    roster_version: u64,
    base: Instant,
    now: Duration,
    steps: u64,
    network: Vec<FleetMessage>,
    next_vm: usize,
}

pub(crate) fn limit(rate: f64, burst: f64) -> RateLimit {
    RateLimit {
        hash: hash_name("riegos-norte"),
        rate,
        burst,
        created: 0,
    }
}

impl ShareFleet {
    /// Starts members and waits until the units are distributed evenly.
    pub(crate) fn settled(count: usize, limit: RateLimit) -> ShareFleet {
        let mut fleet = ShareFleet {
            members: Vec::new(),
            limit,
            delay: Duration::from_millis(1),
            duplicates: false,
            saturated: false,
            grants: Vec::new(),
            uses: Vec::new(),
            refusals: Vec::new(),
            platform_down: false,
            roster: RosterSpec {
                members: Vec::new(),
            },
            roster_version: 0,
            base: Instant::now(),
            now: Duration::from_secs(10),
            steps: 0,
            network: Vec::new(),
            next_vm: 0,
        };
        for _ in 0..count {
            fleet.add_member();
        }
        fleet.advance(Duration::from_secs(30));
        fleet
    }

    pub(crate) fn now(&self) -> Duration {
        self.now
    }

    pub(crate) fn total_units(&self) -> u32 {
        self.roster.members.iter().map(|member| member.units).sum()
    }

    /// Adds a VM under a new name.
    pub(crate) fn add_member(&mut self) {
        let index = self.next_vm;
        self.next_vm += 1;
        let vm = format_compact!("vm-{index:02}");
        let drift_ppm = [0, 490, -490, 200, -200][index % 5];
        let state = self.new_state(&vm, drift_ppm);
        self.members.push(FleetMember {
            vm,
            state,
            paused: false,
            side: 0,
            drift_ppm,
            queued_requests: Vec::new(),
        });
    }

    /// Removes a VM for good, also from the platform's list.
    pub(crate) fn remove_member(&mut self, index: usize) {
        let removed = self.members.remove(index);
        let plan = plan_removal(&self.roster, |vm| vm != removed.vm);
        if let Some(plan) = plan {
            self.write_roster(plan);
        }
    }

    /// Restarts a member's process, which loses all state.
    pub(crate) fn restart_member(&mut self, index: usize) {
        let state = self.new_state(&self.members[index].vm, self.members[index].drift_ppm);
        self.members[index].state = state;
        self.members[index].queued_requests.clear();
    }

    /// Closes one member's connection to another, without a partition.
    pub(crate) fn disconnect(&mut self, index: usize, peer: usize) {
        let vm = self.members[peer].vm.clone();
        let member = &mut self.members[index];
        let now = self.base + drifted(self.now, member.drift_ppm);
        member.state.disconnect_peer(&vm, now);
    }

    /// Requests one token from a member; the caller starts its request `start_delay` later.
    pub(crate) fn request(&mut self, index: usize, start_delay: Duration) {
        let member = &mut self.members[index];
        if member.paused {
            member.queued_requests.push((self.now, self.limit.clone()));
            return;
        }
        let now = self.base + drifted(self.now, member.drift_ppm);
        let response = member.state.take_tokens(&self.limit, 1, now);
        match response.outcome() {
            Outcome::Granted => {
                self.grants.push(self.now);
                self.uses.push(self.now + start_delay.min(GRANT_VALIDITY));
            }
            _ => self.refusals.push(self.now),
        }
    }

    /// Requests one token from the members in turn, until one grants it.
    pub(crate) fn request_from_any(&mut self) -> bool {
        let before = self.grants.len();
        for index in 0..self.members.len() {
            if !self.members[index].paused && self.grants.len() == before {
                self.request(index, Duration::ZERO);
            }
        }
        self.grants.len() > before
    }

    /// Resumes a paused member, which handles the queued requests before its timers.
    pub(crate) fn resume(&mut self, index: usize) {
        let member = &mut self.members[index];
        if !std::mem::take(&mut member.paused) {
            return;
        }
        let now = self.base + drifted(self.now, member.drift_ppm);
        for (requested, limit) in std::mem::take(&mut member.queued_requests) {
            let response = member.state.take_tokens(&limit, 1, now);
            if response.outcome() == Outcome::Granted && self.now - requested <= GRANT_VALIDITY {
                self.grants.push(self.now);
                self.uses.push(self.now);
            }
        }
    }

    /// Advances time in steps: delivers messages, sends heartbeats and maintains the roster.
    pub(crate) fn advance(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            self.steps += 1;
            self.deliver();
            self.assert_single_holders();
            if self.saturated {
                self.take_all(3);
            }
            self.heartbeat();
            self.keep_roster();
        }
    }

    /// Requests tokens from every member until the member refuses, at most `most` from each.
    pub(crate) fn take_all(&mut self, most: usize) {
        for index in 0..self.members.len() {
            for _ in 0..most {
                let granted = self.grants.len();
                self.request(index, Duration::ZERO);
                if self.grants.len() == granted {
                    break;
                }
            }
        }
    }

    /// Checks that the members together hold at most all units of each workspace.
    fn assert_single_holders(&self) {
        for name in [
            "riegos-norte",
            "riegos-sur",
            "tienda-1",
            "tienda-2",
            "tienda-3",
        ] {
            let held = self.members.iter().map(|member| {
                let now = self.base + drifted(self.now, member.drift_ppm);
                member.state.held_units(hash_name(name), now)
            });
            let total: u32 = held.sum();
            assert!(
                total <= TOTAL_UNITS,
                "{total} units of {name} held at {:?}",
                self.now
            );
        }
    }

    /// Checks every window of time against the rate and burst, by the times at which tokens were granted, and
    /// by the times at which requests started, up to the validity of a grant later.
    pub(crate) fn assert_bound(&self) {
        let delayed = self.limit.rate * GRANT_VALIDITY.as_secs_f64();
        assert_conforms(&self.grants, self.limit.rate, self.limit.burst);
        assert_conforms(&self.uses, self.limit.rate, self.limit.burst + delayed);
    }

    fn new_state(&self, vm: &str, drift_ppm: i64) -> ShareState {
        let incarnation = 1 + self.steps * 100 + self.next_vm as u64;
        let now = self.base + drifted(self.now, drift_ppm);
        ShareState::new(ShareSettings::default(), vm, incarnation, now)
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, waiting) = std::mem::take(&mut self.network)
            .into_iter()
            .partition(|message| message.due <= now);
        self.network = waiting;
        let due: Vec<FleetMessage> = due;
        for message in due {
            let Some(index) = self
                .members
                .iter()
                .position(|member| member.vm == message.to)
            else {
                continue;
            };
            if self.members[index].paused {
                self.network.push(message);
                continue;
            }
            let local = self.base + drifted(now, self.members[index].drift_ppm);
            self.members[index]
                .state
                .receive_grant(&message.from, message.grant, local);
        }
    }

    fn heartbeat(&mut self) {
        for index in 0..self.members.len() {
            let is_due = (self.steps + PHASE_STEPS * index as u64) % HEARTBEAT_STEPS == 0;
            if self.members[index].paused || !is_due {
                continue;
            }
            let local = self.base + drifted(self.now, self.members[index].drift_ppm);
            let heartbeats = self.members[index].state.tick(local);
            for (to, grant) in heartbeats {
                self.send(index, to, grant);
            }
        }
    }

    fn send(&mut self, index: usize, to: CompactString, grant: LeaseGrant) {
        let from = &self.members[index];
        let reachable = self
            .members
            .iter()
            .any(|member| member.vm == to && member.side == from.side);
        if !reachable {
            return;
        }
        let from = from.vm.clone();
        let due = self.now + self.delay;
        if self.duplicates {
            let later = due + Duration::from_millis(900);
            self.network.push(FleetMessage {
                due: later,
                from: from.clone(),
                to: to.clone(),
                grant: grant.clone(),
            });
        }
        self.network.push(FleetMessage {
            due,
            from,
            to,
            grant,
        });
    }

    /// Members on side 0 that aren't paused read the platform's roster, join it and transfer surplus units.
    fn keep_roster(&mut self) {
        for index in 0..self.members.len() {
            if self.members[index].paused || self.members[index].side != 0 || self.platform_down {
                continue;
            }
            let vm = self.members[index].vm.clone();
            if let Some(plan) = plan_join(&self.roster, &member_spec(&vm)) {
                self.write_roster(plan);
            }
            let local = self.base + drifted(self.now, self.members[index].drift_ppm);
            let view = RosterView::new(self.roster_version, &self.roster);
            let state = &mut self.members[index].state;
            state.update_roster(view, local);
            let reserved = surplus_units(&self.roster, &vm)
                .and_then(|surplus| state.reserve_transfer(surplus, local));
            if let Some(plan) = reserved.and_then(|units| plan_transfer(&self.roster, &vm, units)) {
                self.write_roster(plan);
            }
        }
    }

    fn write_roster(&mut self, plan: RosterSpec) {
        self.roster = plan;
        self.roster_version += 1;
    }
}

/// Checks all windows at once: a token bucket that starts full must never become negative.
fn assert_conforms(times: &[Duration], rate: f64, burst: f64) {
    let mut times = times.to_vec();
    times.sort();
    let mut tokens = burst;
    let mut last = Duration::ZERO;
    for time in times {
        let accrued = rate * (time - last).as_secs_f64();
        tokens = (tokens + accrued).min(burst) - 1.0;
        last = time;
        assert!(tokens > -1e-6, "bound exceeded by {} at {time:?}", -tokens);
    }
}

pub(crate) fn member_spec(vm: &str) -> MemberSpec {
    MemberSpec {
        vm: vm.to_owned(),
        domain: "zaragoza-a".to_owned(),
        control: "127.0.0.1:1".to_owned(),
        incarnation: 1,
        units: 0,
    }
}

/// Returns a time on a member's drifting clock.
fn drifted(time: Duration, drift_ppm: i64) -> Duration {
    let micros = i64::try_from(time.as_micros()).unwrap_or(i64::MAX);
    Duration::from_micros((micros + micros * drift_ppm / 1_000_000).unsigned_abs())
}
