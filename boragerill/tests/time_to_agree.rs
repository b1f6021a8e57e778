//! Time until all VMs know each other after all of them were killed at once, from the pace of lists and introductions. The
//! load that it answers: 300 VMs that start within 100 ms and know three seeds only. In the product the registrations in the
//! store name the VMs as well; they are left out here.

use std::time::{
    Duration,
    Instant, //
};

use boragerill::{
    heartbeat_pace::{
        ListPace,
        NEAR_PERIOD, //
    },
    rank::score, //
};

const SEEDS: usize = 3;
const ASKED_SEEDS: usize = 2;
const STEP: Duration = Duration::from_millis(50);
const STEPS_PER_TICK: u32 = 3; // Of `NEAR_PERIOD`.
const STEPS_PER_JOIN: u32 = 4; // Join requests are repeated after 200 ms.
const STEPS_PER_FULL: u32 = 21; // Complete states are sent each 1.05 s.
const PART_BITS: usize = 64;

/// Lists of VMs as sets of bits, and what VMs have yet to do.
struct StartModel {
    known: Vec<Vec<u64>>,
    introduced: Vec<Vec<u64>>, // VMs to which a VM has introduced itself.
    has_list: Vec<bool>,
    paces: Vec<ListPace>,
    now: Instant,
    draws: u64,
}

fn insert(set: &mut [u64], vm: usize) -> bool {
    let bit = 1 << (vm % PART_BITS);
    let is_new = set[vm / PART_BITS] & bit == 0;
    set[vm / PART_BITS] |= bit;
    is_new
}

fn contains(set: &[u64], vm: usize) -> bool {
    set[vm / PART_BITS] & (1 << (vm % PART_BITS)) != 0
}

impl StartModel {
    fn new(vms: usize) -> StartModel {
        let parts = vms.div_ceil(PART_BITS);
        let own = |vm: usize| {
            let mut set = vec![0; parts];
            insert(&mut set, vm);
            set
        };
        let sets: Vec<Vec<u64>> = (0..vms).map(own).collect();
        StartModel {
            introduced: sets.clone(),
            known: sets,
            has_list: vec![false; vms],
            paces: vec![ListPace::default(); vms],
            now: Instant::now(),
            draws: 0,
        }
    }

    /// Gives VM `to` the list of VM `from`.
    fn send_list(&mut self, from: usize, to: usize) {
        let list = self.known[from].clone();
        let mut has_changed = false;
        for (known, listed) in self.known[to].iter_mut().zip(list) {
            has_changed |= listed & !*known != 0;
            *known |= listed;
        }
        self.has_list[to] = true;
        if has_changed {
            self.paces[to].record_change(self.now);
        }
    }

    /// Has VM `to` receive the complete state of VM `from`.
    fn receive(&mut self, from: usize, to: usize) {
        if insert(&mut self.known[to], from) {
            self.paces[to].record_change(self.now);
        }
        let differs = self.known[to] != self.known[from];
        if differs && self.paces[to].admit(self.now) {
            self.send_list(to, from);
        }
    }

    fn join(&mut self, vm: usize) {
        self.draws += 1;
        let mut seeds: Vec<usize> = (0..SEEDS).filter(|&seed| seed != vm).collect();
        seeds.sort_by_key(|&seed| score(self.draws, seed as u64));
        for seed in seeds.into_iter().take(ASKED_SEEDS) {
            if insert(&mut self.known[seed], vm) {
                self.paces[seed].record_change(self.now);
            }
            if self.paces[seed].admit_join(self.now) {
                self.send_list(seed, vm);
            }
        }
    }

    /// Runs until all VMs know all; returns the time that it took.
    fn time_to_agree(&mut self) -> Duration {
        let vms = self.known.len();
        for step in 0..400_u32 {
            self.now += STEP;
            for vm in 0..vms {
                let phase = step + (vm as u32 % STEPS_PER_FULL);
                if !self.has_list[vm] && step % STEPS_PER_JOIN == vm as u32 % 2 {
                    self.join(vm);
                }
                let is_full = phase % STEPS_PER_FULL == 0;
                if phase % STEPS_PER_TICK != 0 {
                    continue;
                }
                for other in 0..vms {
                    let is_known = contains(&self.known[vm], other) && other != vm;
                    if is_known && (insert(&mut self.introduced[vm], other) || is_full) {
                        self.receive(vm, other);
                    }
                }
            }
            let all = &self.known[0];
            let count: u32 = all.iter().map(|part| part.count_ones()).sum();
            if count as usize == vms && self.known.iter().all(|known| known == all) {
                return STEP * (step + 1);
            }
        }
        Duration::MAX
    }
}

/// Guards against seeds and lists that keep a fleet divided for seconds after all VMs were killed.
#[test]
fn all_vms_know_each_other_soon_after_all_have_restarted() {
    // arrange
    let sizes = [10, 80, 300, 1000];

    // act
    let times = sizes.map(|vms| StartModel::new(vms).time_to_agree());

    // assert
    assert_eq!(STEP * STEPS_PER_TICK, NEAR_PERIOD);
    let longest = [500, 1000, 1500, 2000].map(Duration::from_millis);
    let in_time = times
        .iter()
        .zip(longest)
        .all(|(&time, longest)| time <= longest);
    assert!(in_time, "{times:?}");
}
