//! Share leases as their owner holds them. Their history is kept to compute the tokens of workspaces that
//! don't have a bucket yet.

use std::time::{
    Duration,
    Instant, //
};

use compact_str::CompactString;

use crate::{
    generated::messages::Placement,
    roster::Units, //
};

/// Number of segments kept of one lease; tokens that accrued on older segments are lost.
const SEGMENTS_KEPT: usize = 32;

/// Period in which a lease had the same placement and units.
#[derive(Clone, Debug)]
pub(crate) struct LeaseSegment {
    /// Placement before the lender's present transition; equal to `to` outside of transitions.
    pub(crate) from: Placement,
    /// Placement after the lender's present transition.
    pub(crate) to: Placement,
    /// Units leased.
    pub(crate) units: Units,
    since: Instant,
    until: Option<Instant>, // None for the current segment.
}

/// Lease of one lender's share, in force without interruption since the first segment.
#[derive(Clone, Debug)]
pub(crate) struct HeldLease {
    lender: CompactString,
    segments: Vec<LeaseSegment>, // Oldest first; never empty.
    expires: Option<Instant>,    // None for the member's own share.
}

/// Terms of a lease as granted in one heartbeat.
#[derive(Clone, Debug)]
pub(crate) struct LeaseTerms {
    /// Placement before the lender's present transition; equal to `to` outside of transitions.
    pub(crate) from: Placement,
    /// Placement after the lender's present transition.
    pub(crate) to: Placement,
    /// Units leased.
    pub(crate) units: Units,
    /// End of the lease; `None` for the member's own share.
    pub(crate) expires: Option<Instant>,
}

impl HeldLease {
    /// Starts a lease.
    pub(crate) fn new(lender: &str, terms: LeaseTerms, now: Instant) -> HeldLease {
        let expires = terms.expires;
        HeldLease {
            lender: lender.into(),
            segments: vec![segment(terms, now)],
            expires,
        }
    }

    /// Returns the lender's VM.
    pub(crate) fn lender(&self) -> &CompactString {
        &self.lender
    }

    /// Returns whether the lease is in force.
    pub(crate) fn is_in_force(&self, now: Instant) -> bool {
        self.expires.is_none_or(|expires| now < expires)
    }

    /// Returns the current segment.
    pub(crate) fn current(&self) -> &LeaseSegment {
        &self.segments[self.segments.len() - 1]
    }

    /// Returns whether new terms change the placement or the units.
    pub(crate) fn differs(&self, terms: &LeaseTerms) -> bool {
        let current = self.current();
        (&current.from, &current.to, current.units) != (&terms.from, &terms.to, terms.units)
    }

    /// Applies new terms while the lease is in force.
    pub(crate) fn renew(&mut self, terms: LeaseTerms, now: Instant) {
        self.expires = self.expires.max(terms.expires);
        if !self.differs(&terms) {
            return;
        }
        if let Some(last) = self.segments.last_mut() {
            last.until = Some(now);
        }
        self.segments.push(segment(terms, now));
        if self.segments.len() > SEGMENTS_KEPT {
            self.segments.remove(0);
        }
    }

    /// Returns the units times seconds of the segments that `owns` accepts, between `from` and `now` and no
    /// longer than the lease is in force.
    pub(crate) fn unit_seconds<'a>(
        &'a self,
        owns: impl Fn(&'a LeaseSegment) -> bool,
        from: Instant,
        now: Instant,
    ) -> f64 {
        let end = self.expires.map_or(now, |expires| expires.min(now));
        let parts = self
            .segments
            .iter()
            .filter(|part| part.until.is_none_or(|until| until > from));
        let parts = parts.filter(|part| owns(part));
        parts
            .map(|part| f64::from(part.units) * part.overlap(from, end).as_secs_f64())
            .sum()
    }

    /// Returns the time since which `owns` accepts every segment; `None` when it rejects the current one.
    pub(crate) fn owned_since<'a>(
        &'a self,
        owns: impl Fn(&'a LeaseSegment) -> bool,
    ) -> Option<Instant> {
        let owned = self.segments.iter().rev().take_while(|part| owns(part));
        owned.last().map(|part| part.since)
    }

    /// Returns the fewest units in any segment since `time`, if `owns` accepts every segment since then.
    pub(crate) fn owned_units<'a>(
        &'a self,
        owns: impl Fn(&'a LeaseSegment) -> bool,
        time: Instant,
    ) -> Option<Units> {
        let mut fewest = Units::MAX;
        for part in self.segments.iter().rev().take_while(|part| owns(part)) {
            fewest = fewest.min(part.units);
            if part.since < time {
                return Some(fewest);
            }
        }
        None
    }
}

impl LeaseSegment {
    fn overlap(&self, from: Instant, end: Instant) -> Duration {
        let start = self.since.max(from);
        let end = self.until.map_or(end, |until| until.min(end));
        end.saturating_duration_since(start)
    }
}

fn segment(terms: LeaseTerms, now: Instant) -> LeaseSegment {
    LeaseSegment {
        from: terms.from,
        to: terms.to,
        units: terms.units,
        since: now,
        until: None,
    }
}
