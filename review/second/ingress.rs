//! Stand-in of the platform's ingress: selects the front machine of each new connection.

use std::{
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use crate::fleet::{Record, Vm};

/// Misses of the readiness check after which a machine receives no new connections.
const MISSES: u32 = 2;

pub struct Ingress {
    zone: Vec<Arc<Vm>>,   // Front machines of the clients' zone.
    others: Vec<Arc<Vm>>, // Those of the other zones, nearest first.
    misses: Mutex<Vec<u32>>,
}

impl Ingress {
    pub fn start(zone: Vec<Arc<Vm>>, others: Vec<Arc<Vm>>, record: Arc<Record>) -> Arc<Ingress> {
        let count = zone.len() + others.len();
        let ingress = Arc::new(Ingress { zone, others, misses: Mutex::new(vec![0; count]) });
        for index in 0..count {
            let (ingress, record) = (ingress.clone(), record.clone());
            thread::spawn(move || loop {
                let vm = ingress.vm(index);
                let is_ready = vm.is_ready();
                let mut misses = ingress.misses.lock().unwrap();
                let before = misses[index];
                misses[index] = if is_ready { 0 } else { before + 1 };
                if (before < MISSES) != (misses[index] < MISSES) {
                    let state = if is_ready { "in" } else { "out of" };
                    record.write(&format!("ingress: {} is {state} rotation", vm.name));
                }
                drop(misses);
                thread::sleep(Duration::from_secs(1));
            });
        }
        ingress
    }

    fn vm(&self, index: usize) -> &Arc<Vm> {
        match self.zone.get(index) {
            Some(vm) => vm,
            None => &self.others[index - self.zone.len()],
        }
    }

    /// Returns the machine for a new connection of a client.
    pub fn select(&self, client: usize) -> Arc<Vm> {
        let misses = self.misses.lock().unwrap().clone();
        let in_rotation = |index: &usize| misses[*index] < MISSES;
        let zone = self.zone.len();
        let ready: Vec<usize> = (0..zone).filter(in_rotation).collect();
        let candidates = match ready.len() {
            0 => (zone..misses.len()).filter(in_rotation).collect(),
            count if 2 * count < zone => (0..zone).collect(),
            _ => ready,
        };
        let hash = client.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 17;
        match candidates.get(hash % candidates.len().max(1)) {
            Some(&index) => self.vm(index).clone(),
            None => self.vm(0).clone(),
        }
    }
}
