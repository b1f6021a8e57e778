//! The units of every rate that one member holds: usable ones, those to come, and those to give away.

use std::time::Instant;

use crate::roster::Units;

/// Units that are about to become usable.
#[derive(Clone, Copy, Debug)]
struct UnitGain {
    units: Units,
    usable: Instant,
}

/// One member's units as it may use them; the roster may say more or, after a gift, less.
#[derive(Clone, Debug, Default)]
pub(crate) struct UnitAccount {
    usable: Units,
    gains: Vec<UnitGain>,
    gift: Units, // Withheld, and not yet given away.
}

impl UnitAccount {
    /// Returns the usable units.
    pub(crate) fn usable(&self) -> Units {
        self.usable
    }

    /// Takes over what a roster declares: lost units stop at once, gained ones become usable at a
    /// time at which no earlier lease on them can be in force.
    pub(crate) fn declare(&mut self, declared: Units, usable: Instant) {
        let pending: Units = self.gains.iter().map(|gain| gain.units).sum();
        let known = self.usable + pending + self.gift;
        if declared > known {
            self.gains.push(UnitGain {
                units: declared - known,
                usable,
            });
            return;
        }
        // A roster with fewer units than known carries this member's own gift.
        let mut lost = known - declared;
        let given = self.gift.min(lost);
        self.gift -= given;
        lost -= given;
        for gain in self.gains.iter_mut().rev() {
            let taken = gain.units.min(lost);
            gain.units -= taken;
            lost -= taken;
        }
        self.usable = self.usable.saturating_sub(lost);
    }

    /// Makes units usable whose time has come, and returns whether there were any.
    pub(crate) fn collect(&mut self, now: Instant) -> bool {
        let before = self.usable;
        let ready = self
            .gains
            .iter()
            .filter(|gain| gain.usable <= now)
            .map(|gain| gain.units);
        self.usable += ready.sum::<Units>();
        self.gains.retain(|gain| gain.usable > now);
        self.usable != before
    }

    /// Withholds units for a gift unless some are withheld already, and returns those withheld.
    pub(crate) fn withhold(&mut self, units: Units) -> Option<Units> {
        if self.gift > 0 {
            return Some(self.gift);
        }
        if units == 0 || units > self.usable || !self.gains.is_empty() {
            return None;
        }
        self.usable -= units;
        self.gift = units;
        Some(units)
    }
}
