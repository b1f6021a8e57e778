//! A small region of members for tests of rate leases: clocks that drift, a network that delays, cuts
//! and repeats, and a roster that changes as VMs come and go.

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

/// Step of the fleet's time.
pub(crate) const STEP: Duration = Duration::from_millis(50);

/// Heartbeats come every so many steps.
const HEARTBEAT_STEPS: u64 = 10;

/// Steps between the heartbeats of one member and the next.
const PHASE_STEPS: u64 = 3;

/// One member and the conditions it is under.
pub(crate) struct FleetMember {
    pub(crate) vm: CompactString,
    pub(crate) state: ShareState,
    pub(crate) frozen: bool,
    pub(crate) cut: u8,
    drift_ppm: i64,
    asks: Vec<(Duration, RateLimit)>,
}

struct FleetMessage {
    due: Duration,
    from: CompactString,
    to: CompactString,
    lend: LeaseGrant,
}

/// The members of one region, the platform's roster and the tokens that were granted.
pub(crate) struct ShareFleet {
    pub(crate) members: Vec<FleetMember>,
    pub(crate) limit: RateLimit,
    pub(crate) delay: Duration,
    pub(crate) repeats: bool,
    pub(crate) greedy: bool,
    pub(crate) grants: Vec<Duration>,
    pub(crate) uses: Vec<Duration>,
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
    /// Starts members and lets them share out the units.
    pub(crate) fn settled(count: usize, limit: RateLimit) -> ShareFleet {
        let mut fleet = ShareFleet {
            members: Vec::new(),
            limit,
            delay: Duration::from_millis(1),
            repeats: false,
            greedy: false,
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
            frozen: false,
            cut: 0,
            drift_ppm,
            asks: Vec::new(),
        });
    }

    /// Loses a VM for good; the platform lists it no more.
    pub(crate) fn remove_member(&mut self, index: usize) {
        let gone = self.members.remove(index);
        let plan = plan_removal(&self.roster, |vm| vm != gone.vm);
        if let Some(plan) = plan {
            self.write_roster(plan);
        }
    }

    /// Restarts a member's process, which forgets all.
    pub(crate) fn restart_member(&mut self, index: usize) {
        let state = self.new_state(&self.members[index].vm, self.members[index].drift_ppm);
        self.members[index].state = state;
        self.members[index].asks.clear();
    }

    /// Breaks the connections of one member to another without cutting them off.
    pub(crate) fn break_link(&mut self, index: usize, peer: usize) {
        let vm = self.members[peer].vm.clone();
        let member = &mut self.members[index];
        let now = self.base + drifted(self.now, member.drift_ppm);
        member.state.disconnect_peer(&vm, now);
    }

    /// Asks a member for one token; the caller lets the request go `use_delay` after asking.
    pub(crate) fn ask(&mut self, index: usize, use_delay: Duration) {
        let member = &mut self.members[index];
        if member.frozen {
            member.asks.push((self.now, self.limit.clone()));
            return;
        }
        let now = self.base + drifted(self.now, member.drift_ppm);
        let answer = member.state.ask(&self.limit, 1, now);
        match answer.outcome() {
            Outcome::Granted => {
                self.grants.push(self.now);
                self.uses.push(self.now + use_delay.min(GRANT_VALIDITY));
            }
            _ => self.refusals.push(self.now),
        }
    }

    /// Asks the members in the order in which an entry process would, until one decides.
    pub(crate) fn ask_any(&mut self) -> bool {
        let before = self.grants.len();
        for index in 0..self.members.len() {
            if !self.members[index].frozen && self.grants.len() == before {
                self.ask(index, Duration::ZERO);
            }
        }
        self.grants.len() > before
    }

    /// Lets a frozen member go on; it works off what waited before it looks at its timers.
    pub(crate) fn thaw(&mut self, index: usize) {
        let member = &mut self.members[index];
        if !std::mem::take(&mut member.frozen) {
            return;
        }
        let now = self.base + drifted(self.now, member.drift_ppm);
        for (asked, limit) in std::mem::take(&mut member.asks) {
            let answer = member.state.ask(&limit, 1, now);
            if answer.outcome() == Outcome::Granted && self.now - asked <= GRANT_VALIDITY {
                self.grants.push(self.now);
                self.uses.push(self.now);
            }
        }
    }

    /// Advances time in steps: messages arrive, heartbeats go out, the roster is kept.
    pub(crate) fn advance(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            self.steps += 1;
            self.deliver();
            self.assert_single_holders();
            if self.greedy {
                self.spend(3);
            }
            self.heartbeat();
            self.keep_roster();
        }
    }

    /// Asks every member for tokens until each has refused, but no more than `most` times.
    pub(crate) fn spend(&mut self, most: usize) {
        for index in 0..self.members.len() {
            for _ in 0..most {
                let granted = self.grants.len();
                self.ask(index, Duration::ZERO);
                if self.grants.len() == granted {
                    break;
                }
            }
        }
    }

    /// Checks that the members together hold no more of any workspace than there is.
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

    /// Checks every window of time against the rate and burst, by the moments at which tokens were
    /// granted; requests may leave up to the validity of a grant later.
    pub(crate) fn assert_bound(&self) {
        let late = self.limit.rate * GRANT_VALIDITY.as_secs_f64();
        assert_conforms(&self.grants, self.limit.rate, self.limit.burst);
        assert_conforms(&self.uses, self.limit.rate, self.limit.burst + late);
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
            if self.members[index].frozen {
                self.network.push(message);
                continue;
            }
            let local = self.base + drifted(now, self.members[index].drift_ppm);
            self.members[index]
                .state
                .receive_lend(&message.from, message.lend, local);
        }
    }

    fn heartbeat(&mut self) {
        for index in 0..self.members.len() {
            let is_due = (self.steps + PHASE_STEPS * index as u64) % HEARTBEAT_STEPS == 0;
            if self.members[index].frozen || !is_due {
                continue;
            }
            let local = self.base + drifted(self.now, self.members[index].drift_ppm);
            let lends = self.members[index].state.tick(local);
            for (to, lend) in lends {
                self.send(index, to, lend);
            }
        }
    }

    fn send(&mut self, index: usize, to: CompactString, lend: LeaseGrant) {
        let from = &self.members[index];
        let reachable = self
            .members
            .iter()
            .any(|member| member.vm == to && member.cut == from.cut);
        if !reachable {
            return;
        }
        let from = from.vm.clone();
        let due = self.now + self.delay;
        if self.repeats {
            let later = due + Duration::from_millis(900);
            self.network.push(FleetMessage {
                due: later,
                from: from.clone(),
                to: to.clone(),
                lend: lend.clone(),
            });
        }
        self.network.push(FleetMessage {
            due,
            from,
            to,
            lend,
        });
    }

    /// Members outside of cuts follow the platform's roster, join it and give units away.
    fn keep_roster(&mut self) {
        for index in 0..self.members.len() {
            if self.members[index].frozen || self.members[index].cut != 0 || self.platform_down {
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
            let offered = surplus_units(&self.roster, &vm)
                .and_then(|excess| state.reserve_transfer(excess, local));
            if let Some(plan) = offered.and_then(|units| plan_transfer(&self.roster, &vm, units)) {
                self.write_roster(plan);
            }
        }
    }

    fn write_roster(&mut self, plan: RosterSpec) {
        self.roster = plan;
        self.roster_version += 1;
    }
}

/// Checks every window at once: a bucket that starts full must never run below empty.
fn assert_conforms(times: &[Duration], rate: f64, burst: f64) {
    let mut times = times.to_vec();
    times.sort();
    let mut level = burst;
    let mut last = Duration::ZERO;
    for time in times {
        let earned = rate * (time - last).as_secs_f64();
        level = (level + earned).min(burst) - 1.0;
        last = time;
        assert!(level > -1e-6, "bound exceeded by {} at {time:?}", -level);
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

/// Returns a member's own reading of a time.
fn drifted(time: Duration, drift_ppm: i64) -> Duration {
    let micros = i64::try_from(time.as_micros()).unwrap_or(i64::MAX);
    Duration::from_micros((micros + micros * drift_ppm / 1_000_000).unsigned_abs())
}
