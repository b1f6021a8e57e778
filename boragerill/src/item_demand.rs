//! Items that a VM could start, by service and urgency: what it tells other VMs, and how many it starts itself.

use std::time::{
    Duration,
    Instant, //
};

use crate::slot::{
    DemandTable,
    SlotDemand,
    DUE_OVERDUE, //
};

/// Urgency of the items of one service, in the order in which they take slots.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum ItemClass {
    /// All items of a service where items don't yield to the demand of recent seconds.
    Equal,
    /// Their job is due soon.
    DueSoon,
    /// Their job has time left, so that they yield to the demand of recent seconds.
    Relaxed,
    /// Their job is overdue. They take the slots that the others leave.
    Overdue,
}

/// Items of one service and class.
#[derive(Clone, Copy, Debug)]
struct ClassDemand {
    class: ItemClass,
    demand: SlotDemand,
}

/// Items that this VM could start.
#[derive(Clone, Debug, Default)]
pub struct ItemDemands {
    classes: Vec<ClassDemand>, // Sorted by service and class.
}

impl ItemDemands {
    /// Adds an item whose job is due after `time_left`, or is overdue if there is none.
    pub fn add(&mut self, service: u64, class: ItemClass, time_left: Option<Duration>) {
        let due_ms = time_left.map_or(DUE_OVERDUE, |left| {
            u32::try_from(left.as_millis()).unwrap_or(DUE_OVERDUE)
        });
        match self.find(service, class) {
            Ok(index) => {
                let demand = &mut self.classes[index].demand;
                demand.waiting += 1;
                demand.due_ms = demand.due_ms.min(due_ms);
            }
            Err(index) => {
                let demand = SlotDemand {
                    service,
                    waiting: 1,
                    due_ms,
                };
                self.classes.insert(index, ClassDemand { class, demand });
            }
        }
    }

    /// Returns the items of a service and class.
    pub fn get(&self, service: u64, class: ItemClass) -> Option<SlotDemand> {
        let found = self.find(service, class);
        found.ok().map(|index| self.classes[index].demand)
    }

    /// Reduces the items of a service and class to those that may be started. Other VMs would otherwise keep slots free
    /// for items that aren't started.
    pub fn limit(&mut self, service: u64, class: ItemClass, startable: u32) {
        if let Ok(index) = self.find(service, class) {
            let demand = &mut self.classes[index].demand;
            demand.waiting = demand.waiting.min(startable);
        }
    }

    /// Returns what is reported to other VMs.
    pub fn reported(&self) -> Vec<SlotDemand> {
        let demands = self.classes.iter().map(|known| known.demand);
        demands.filter(|demand| demand.waiting > 0).collect()
    }

    /// Returns the services and classes that have items.
    pub fn classes(&self) -> Vec<(u64, ItemClass)> {
        let known = self.classes.iter();
        known
            .map(|known| (known.demand.service, known.class))
            .collect()
    }

    /// Returns how many items of a service and class this VM may start while `free` slots are left for them: other VMs'
    /// items that are due earlier come first, and this VM's own of the classes before.
    pub fn allowed_starts(
        &self,
        (service, class): (u64, ItemClass),
        free: u32,
        (table, vm): (&DemandTable, u64),
        now: Instant,
    ) -> u32 {
        let Some(own) = self.get(service, class) else {
            return 0;
        };
        let same = self
            .classes
            .iter()
            .filter(|known| known.demand.service == service);
        let before = same.filter(|known| known.class < class);
        let ahead: u32 = before.map(|known| known.demand.waiting).sum();
        table.allowed_starts(vm, own, free.saturating_sub(ahead), now)
    }

    fn find(&self, service: u64, class: ItemClass) -> Result<usize, usize> {
        let key = (service, class);
        self.classes
            .binary_search_by_key(&key, |known| (known.demand.service, known.class))
    }
}
