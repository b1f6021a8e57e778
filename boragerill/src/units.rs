//! Accounting of the units that one member holds: usable, pending, and reserved for a transfer.

use std::time::Instant;

use crate::roster::Units;

/// Units that become usable at a later time.
#[derive(Clone, Copy, Debug)]
struct PendingUnits {
    units: Units,
    usable: Instant,
}

/// Units of one member. The roster may declare more than the usable units while some are pending, and fewer
/// after a transfer.
#[derive(Clone, Debug, Default)]
pub(crate) struct UnitAccount {
    usable: Units,
    pending: Vec<PendingUnits>,
    reserved: Units, // Not usable any more, but not yet transferred by the roster.
}

impl UnitAccount {
    /// Returns the usable units.
    pub(crate) fn usable(&self) -> Units {
        self.usable
    }

    /// Applies the units that a roster declares. Removed units stop being usable at once. Added units become
    /// usable at `usable`, when no earlier lease on them can be in force.
    pub(crate) fn apply_declared(&mut self, declared: Units, usable: Instant) {
        let pending: Units = self.pending.iter().map(|entry| entry.units).sum();
        let known = self.usable + pending + self.reserved;
        if declared > known {
            self.pending.push(PendingUnits {
                units: declared - known,
                usable,
            });
            return;
        }
        // Fewer units than known: the roster contains this member's own transfer, so the removed units
        // come out of the reserved ones first.
        let mut removed = known - declared;
        let transferred = self.reserved.min(removed);
        self.reserved -= transferred;
        removed -= transferred;
        for entry in self.pending.iter_mut().rev() {
            let taken = entry.units.min(removed);
            entry.units -= taken;
            removed -= taken;
        }
        self.usable = self.usable.saturating_sub(removed);
    }

    /// Makes pending units usable whose time has come, and returns whether there were any.
    pub(crate) fn activate_pending(&mut self, now: Instant) -> bool {
        let before = self.usable;
        let ready = self
            .pending
            .iter()
            .filter(|entry| entry.usable <= now)
            .map(|entry| entry.units);
        self.usable += ready.sum::<Units>();
        self.pending.retain(|entry| entry.usable > now);
        self.usable != before
    }

    /// Reserves units for a transfer, and returns the reserved units. Units that are reserved already stay
    /// so and are returned; `None` when the units aren't usable or others are pending.
    pub(crate) fn reserve(&mut self, units: Units) -> Option<Units> {
        if self.reserved > 0 {
            return Some(self.reserved);
        }
        if units == 0 || units > self.usable || !self.pending.is_empty() {
            return None;
        }
        self.usable -= units;
        self.reserved = units;
        Some(units)
    }
}
