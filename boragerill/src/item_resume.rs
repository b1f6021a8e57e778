//! Decides whether an item with output goes on, begins anew or waits, while the servers of its version are full.
//!
//! An item can go on only at servers of the software version that generated its output. Each second that it waits for one
//! while a slot of another version is free is lost, and so is the output if it begins anew there. It begins anew once the
//! wait has cost as much, or is expected to: so it never loses more than twice what the best choice would. An item whose runs
//! are cut again and again would lose each of them so; its price doubles each time, until it waits long enough to go on.

use std::time::{
    Duration,
    Instant, //
};

use crate::{
    slot::SlotView,
    stream_version::VersionKey, //
};

/// Longest time between two passes that counts as waited.
const PASS_LIMIT: Duration = Duration::from_millis(100);

/// Least price of an output after another one has been given up for the item.
const GIVEN_UP_PRICE: Duration = Duration::from_millis(500);

/// Largest number of doublings of [`GIVEN_UP_PRICE`].
const MAX_PRICE_DOUBLINGS: u32 = 5;

/// Where an item can be started.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ItemStart {
    /// At a server of its version, after its last event.
    GoOn,
    /// At any server, from its beginning.
    Anew,
    /// No slot is free; it takes the first one that suits it.
    Queue,
    /// It waits for a server of its version although others have free slots, which are no use to it.
    Wait,
}

impl ItemStart {
    /// Returns whether the item takes a slot as soon as one is free, so that other VMs leave it one.
    pub fn takes_slot(self) -> bool {
        self != ItemStart::Wait
    }
}

/// What the choices of an item cost.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ResumeCost {
    /// Time for which the runs that generated its output held a slot.
    pub lost: Duration,
    /// Number of outputs that have been given up for it before.
    pub given_up: u32,
    /// Time for which it has waited beside free slots.
    pub waited: Duration,
    /// Mean time for which items of its service hold a slot, if it is known.
    pub run_time: Option<Duration>,
}

/// Slots of the servers of one version.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct VersionSlots {
    /// The version.
    pub version: VersionKey,
    /// Slots of servers that don't leave, used or not.
    pub slots: u32,
    /// Free slots that items may take.
    pub free: u32,
    /// Items that wait for one.
    waiting: u32,
}

/// Slots of a service, as far as the items before have left them in one scheduling pass.
#[derive(Clone, Debug, Default)]
pub struct ResumePlan {
    versions: Vec<VersionSlots>, // Sorted by version.
}

impl ResumeCost {
    /// Returns the wait that costs as much as the output.
    pub fn price(&self) -> Duration {
        match self.given_up.checked_sub(1) {
            None => self.lost,
            Some(doublings) => {
                let least = GIVEN_UP_PRICE * (1 << doublings.min(MAX_PRICE_DOUBLINGS));
                self.lost.max(least)
            }
        }
    }
}

impl VersionSlots {
    /// Returns the slots of one server.
    pub fn of(version: VersionKey, view: &SlotView, reserve: u32) -> VersionSlots {
        let free = view.slots.saturating_sub(reserve + view.load());
        VersionSlots {
            version,
            slots: if view.leaving { 0 } else { view.slots },
            free: if view.takes_items() { free } else { 0 },
            waiting: 0,
        }
    }
}

impl ResumePlan {
    /// Adds the slots of a server.
    pub fn add(&mut self, server: VersionSlots) {
        let slots = self.version(server.version);
        slots.slots += server.slots;
        slots.free += server.free;
    }

    /// Returns whether a server of a version is known that doesn't leave.
    pub fn has_version(&self, version: VersionKey) -> bool {
        let found = self.find(version);
        found.is_ok_and(|index| self.versions[index].slots > 0)
    }

    /// Plans an item that begins at any server.
    pub fn take_any(&mut self) {
        let most = self.versions.iter_mut().max_by_key(|slots| slots.free);
        if let Some(slots) = most {
            slots.free = slots.free.saturating_sub(1);
        }
    }

    /// Decides for an item with output of a version, and plans it.
    pub fn place(&mut self, version: VersionKey, cost: ResumeCost) -> ItemStart {
        let start = self.decide(version, cost);
        match start {
            ItemStart::GoOn => self.version(version).free -= 1,
            ItemStart::Anew => self.take_any(),
            ItemStart::Queue | ItemStart::Wait => self.version(version).waiting += 1,
        }
        start
    }

    fn decide(&self, version: VersionKey, cost: ResumeCost) -> ItemStart {
        let found = self.find(version);
        let own = found.map_or(VersionSlots::default(), |index| self.versions[index]);
        if own.free > 0 {
            return ItemStart::GoOn;
        }
        if own.slots == 0 {
            return ItemStart::Anew;
        }
        if self.versions.iter().all(|slots| slots.free == 0) {
            return ItemStart::Queue;
        }
        // Slots of the version become free at the pace at which items end; those that wait already come first.
        let run_time = cost.run_time.unwrap_or_default().max(cost.lost);
        let expected = run_time * (own.waiting + 1) / own.slots;
        match cost.waited.max(expected) >= cost.price() {
            true => ItemStart::Anew,
            false => ItemStart::Wait,
        }
    }

    fn version(&mut self, version: VersionKey) -> &mut VersionSlots {
        let index = self.find(version).unwrap_or_else(|index| {
            let slots = VersionSlots {
                version,
                ..VersionSlots::default()
            };
            self.versions.insert(index, slots);
            index
        });
        &mut self.versions[index]
    }

    fn find(&self, version: VersionKey) -> Result<usize, usize> {
        self.versions
            .binary_search_by_key(&version, |slots| slots.version)
    }
}

/// Time for which an item has waited beside free slots.
#[derive(Clone, Copy, Debug, Default)]
pub struct IdleWait {
    time: Duration,
    last: Option<Instant>, // Last pass in which it waited.
}

impl IdleWait {
    /// Adds the time since the last pass, and returns the time so far.
    pub fn add(&mut self, now: Instant) -> Duration {
        let last = self.last.replace(now).unwrap_or(now);
        self.time += now.saturating_duration_since(last).min(PASS_LIMIT);
        self.time
    }

    /// Returns the time so far.
    pub fn time(&self) -> Duration {
        self.time
    }
}
