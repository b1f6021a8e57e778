//! Stand-in of a machine: ends a process that uses more than the machine's memory, and starts it again.

use std::{
    sync::{
        atomic::{AtomicBool, AtomicU64, Ordering},
        Arc,
    },
    thread::{self, sleep, JoinHandle},
    time::Duration,
};

use crate::fleet::{Fleet, Record, Site, Vm};

/// Delay after which an ended process is started again.
const RESTART_DELAY: Duration = Duration::from_millis(300);

/// Number of ends of one process, and of such machines, that break the rule.
const ENDS: u64 = 3;
const MACHINES: usize = 2;

pub struct Machine {
    name: String,
    ends: Arc<AtomicU64>,
    watching: JoinHandle<u64>,
}

impl Machine {
    /// Watches the processes of all machines until `stop` is set.
    pub fn watch_all(fleet: &Fleet, site: Site, stop: &Arc<AtomicBool>, record: &Arc<Record>) -> Vec<Machine> {
        let fronts = fleet.fronts.iter().map(|vm| (vm, site.front_mb));
        let workers = fleet.workers.iter().map(|vm| (vm, site.storage_mb));
        let machines = fronts.chain(workers).map(|(vm, memory_mb)| {
            let ends = Arc::new(AtomicU64::new(0));
            let (vm, counted, stop, record) = (vm.clone(), ends.clone(), stop.clone(), record.clone());
            let name = vm.name.clone();
            let watching = thread::spawn(move || keep_within_memory(&vm, memory_mb * 1024, &counted, &stop, &record));
            Machine { name, ends, watching }
        });
        machines.collect()
    }

    /// Returns how often the process has ended.
    pub fn ends(&self) -> u64 {
        self.ends.load(Ordering::SeqCst)
    }

    pub fn finish(self, record: &Record) {
        let (name, ends) = (self.name, self.ends.load(Ordering::SeqCst));
        let peak = self.watching.join().expect("machine");
        record.write(&format!("the process of {name} ended {ends} times by its memory; it used {peak} kB at most"));
    }
}

/// Returns whether so many processes ended so often that the rule is broken.
pub fn broken_machines(ends: &[u64]) -> bool {
    ends.iter().filter(|ends| **ends >= ENDS).count() >= MACHINES
}

fn keep_within_memory(vm: &Vm, limit_kb: u64, ends: &AtomicU64, stop: &AtomicBool, record: &Record) -> u64 {
    let mut peak = 0;
    while !stop.load(Ordering::SeqCst) {
        let used = vm.resident_kb();
        peak = peak.max(used);
        if used > limit_kb || vm.has_ended() {
            record.write(&format!("{} uses {used} kB of {limit_kb} kB and is killed", vm.name));
            vm.kill();
            ends.fetch_add(1, Ordering::SeqCst);
            sleep(RESTART_DELAY);
            vm.start_again();
        }
        sleep(Duration::from_millis(2));
    }
    peak
}
