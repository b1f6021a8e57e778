//! Share leases: the hard bound of rate and burst over all VMs.
//!
//! Each member of the roster holds a share of every workspace's rate and burst, and lends it to the
//! workspace's owner: the first ranked member that it reaches. The owner's bucket is the sum of the
//! shares lent to it. At any time one member at most uses a share, and a share starts empty whenever it
//! changes hands, so the tokens of all members together never exceed the burst and never grow faster
//! than the rate.
//!
//! Leases are timed on each side's own monotonic clock. A lease counts from the moment at which the
//! owner *sent* the message that the lender echoes, so a delayed message can't prolong it, and the lender
//! waits for the lease and a margin from its own last sending.

use std::{
    cell::RefCell,
    time::{
        Duration,
        Instant, //
    },
};

use compact_str::CompactString;

use crate::{
    config::Version,
    generated::messages::{
        token_response::Outcome,
        LeaseGrant,
        Placement,
        TokenResponse, //
    },
    lease::{
        HeldLease,
        LeaseSegment,
        LeaseTerms, //
    },
    rank::first_ranked,
    roster::{
        RosterView,
        Units,
        TOTAL_UNITS, //
    },
    units::UnitAccount, //
};

/// Longest time between asking for tokens and letting the request go.
pub const GRANT_VALIDITY: Duration = Duration::from_millis(150);

/// Rosters kept for the placements of peers that lag behind.
const ROSTER_HISTORY: usize = 6;

/// Confirmations of the platform's version that are kept.
const CONFIRMATIONS_KEPT: usize = 64;

/// Own messages remembered for echoes of peers.
const SENT_HISTORY: usize = 16;

/// Largest deviation of a monotonic clock's rate, as a fraction; earnings are lowered by it.
const CLOCK_DRIFT: f64 = 0.0005;

/// Slack for the rounding of token arithmetic, in tokens.
const TOKEN_SLACK: f64 = 1e-9;

/// Timing of share leases.
#[derive(Clone, Debug)]
pub struct ShareSettings {
    /// Validity of a lease.
    pub lease: Duration,
    /// Silence after which a peer counts as unreachable.
    pub silence: Duration,
    /// Time beyond the lease before a lender uses its share elsewhere.
    pub margin: Duration,
}

impl Default for ShareSettings {
    fn default() -> ShareSettings {
        let lease = Duration::from_millis(1500);
        ShareSettings {
            lease,
            silence: lease,
            margin: GRANT_VALIDITY + lease / 20,
        }
    }
}

/// Rate and burst of a workspace as an ask needs them.
#[derive(Clone, Debug)]
pub struct RateLimit {
    /// Hash of the workspace's name.
    pub hash: u64,
    /// Tokens a second over all VMs.
    pub rate: f64,
    /// Tokens that may be taken at once over all VMs.
    pub burst: f64,
    /// Platform version that created the workspace.
    pub created: Version,
}

/// What one member knows of another.
#[derive(Clone, Debug)]
struct PeerState {
    vm: CompactString,
    heard: Option<Instant>,
    incarnation: u64,
    sequence: u64,
}

/// Tokens of one workspace at this member.
#[derive(Clone, Debug)]
struct TokenBucket {
    limit: RateLimit,
    level: f64,
    updated: Instant,
}

/// One member's decisions on lending, owning and granting.
#[derive(Clone, Debug)]
pub struct ShareState {
    settings: ShareSettings,
    vm: CompactString,
    incarnation: u64,
    rosters: Vec<RosterView>, // Oldest first.
    peers: Vec<PeerState>,    // Sorted by VM.
    sequence: u64,
    sent: Vec<(u64, Instant)>, // Own sequences and when they were sent.
    units: UnitAccount,
    from: Placement,
    to: Placement,
    settled: Instant,                 // When the placement `from` may be dropped.
    leases: Vec<HeldLease>,           // Sorted by lender.
    buckets: Vec<(u64, TokenBucket)>, // Sorted by the workspace's hash.
    confirmations: Vec<(Instant, Version)>, // When the platform was asked, and its version; oldest first.
}

impl ShareState {
    /// Starts with no units; whatever an earlier process lent has lapsed before units become usable.
    pub fn new(settings: ShareSettings, vm: &str, incarnation: u64, now: Instant) -> ShareState {
        ShareState {
            settings,
            vm: vm.into(),
            incarnation,
            rosters: Vec::new(),
            peers: Vec::new(),
            sequence: 0,
            sent: Vec::new(),
            units: UnitAccount::default(),
            from: Placement::default(),
            to: Placement::default(),
            settled: now,
            leases: Vec::new(),
            buckets: Vec::new(),
            confirmations: Vec::new(),
        }
    }

    /// Takes over a newer roster. Lost units stop at once; gained ones become usable after a lease.
    pub fn update_roster(&mut self, view: RosterView, now: Instant) {
        if self
            .newest()
            .is_some_and(|known| known.version() >= view.version())
        {
            return;
        }
        let declared = view.units_of(&self.vm);
        self.rosters.push(view);
        if self.rosters.len() > ROSTER_HISTORY {
            self.rosters.remove(0);
        }
        let usable = now + self.settings.lease + self.settings.margin;
        self.units.declare(declared, usable);
        self.hold_own(now);
        self.place(now);
    }

    /// Returns the newest roster.
    pub fn newest(&self) -> Option<&RosterView> {
        self.rosters.last()
    }

    /// Returns the units in use, own ones that are withheld for a gift excluded.
    pub fn units(&self) -> Units {
        self.units.usable()
    }

    /// Notes that the connection to a peer was lost.
    pub fn disconnect_peer(&mut self, vm: &str, now: Instant) {
        if let Some(peer) = self.peers.iter_mut().find(|peer| peer.vm == vm) {
            peer.heard = None;
        }
        self.place(now);
    }

    /// Withholds units so that they can be given away, and returns those withheld. Whoever gets them
    /// waits until no lease on them can be in force.
    pub fn reserve_transfer(&mut self, units: Units, now: Instant) -> Option<Units> {
        let withheld = self.units.withhold(units);
        self.hold_own(now);
        withheld
    }

    /// Advances timers and returns the heartbeat for each other member.
    pub fn tick(&mut self, now: Instant) -> Vec<(CompactString, LeaseGrant)> {
        if self.units.collect(now) {
            self.hold_own(now);
        }
        self.place(now);
        self.drop_expired(now);
        let Some(view) = self.newest() else {
            return Vec::new();
        };
        let peers = view.members().iter().filter(|member| member.vm != self.vm);
        let names: Vec<CompactString> = peers.map(|member| member.vm.clone()).collect();
        self.sequence += 1;
        self.sent.push((self.sequence, now));
        if self.sent.len() > SENT_HISTORY {
            self.sent.remove(0);
        }
        let lends = names.into_iter().map(|vm| {
            let lend = self.lend_to(&vm);
            (vm, lend)
        });
        lends.collect()
    }

    /// Takes over a peer's heartbeat and the lease in it.
    pub fn receive_lend(&mut self, vm: &str, lend: LeaseGrant, now: Instant) {
        let peer = self.peer_mut(vm);
        if peer.incarnation == lend.incarnation && peer.sequence >= lend.sequence {
            return;
        }
        peer.incarnation = lend.incarnation;
        peer.sequence = lend.sequence;
        let newly_heard = peer.heard.replace(now).is_none();
        self.hold_lease(vm, lend, now);
        if newly_heard {
            self.place(now);
        }
    }

    /// Notes that the platform, asked at `sent`, was at version `through`: a workspace created later
    /// can't have been served from the shares that this member held before.
    pub fn record_version(&mut self, sent: Instant, through: Version) {
        self.confirmations.push((sent, through));
        if self.confirmations.len() > CONFIRMATIONS_KEPT {
            self.confirmations.remove(0);
        }
    }

    /// Takes tokens of a workspace, if this member holds them.
    pub fn ask(&mut self, limit: &RateLimit, tokens: u32, now: Instant) -> TokenResponse {
        self.drop_expired(now);
        let units = self.held_units(limit.hash, now);
        if units == 0 {
            return TokenResponse {
                outcome: Outcome::NotOwner.into(),
                ..Default::default()
            };
        }
        let index = self.bucket_index(limit, now);
        self.settle_bucket(index, now);
        let share = f64::from(units) / f64::from(TOTAL_UNITS);
        let bucket = &mut self.buckets[index].1;
        bucket.limit = limit.clone();
        bucket.level = bucket.level.min(share_of_burst(limit, units));
        let tokens = f64::from(tokens);
        if bucket.level + TOKEN_SLACK >= tokens {
            bucket.level = (bucket.level - tokens).max(0.0);
            return TokenResponse {
                outcome: Outcome::Granted.into(),
                units,
                ..Default::default()
            };
        }
        let wait =
            Duration::try_from_secs_f64((tokens - bucket.level) / (limit.rate * share).max(1e-6));
        let retry_after_ms = wait.map_or(u32::MAX, |wait| {
            u32::try_from(wait.as_millis()).unwrap_or(u32::MAX)
        });
        TokenResponse {
            outcome: Outcome::Refused.into(),
            retry_after_ms: retry_after_ms.max(1),
            units,
        }
    }

    /// Returns the units of a workspace that are lent to this member at `now`.
    pub fn held_units(&self, hash: u64, now: Instant) -> Units {
        let owners = OwnerCache::new(self, hash);
        let held = self.leases.iter().filter(|lease| lease.is_in_force(now));
        let held = held
            .map(HeldLease::current)
            .filter(|segment| owners.owns(segment));
        held.map(|segment| segment.units).sum()
    }

    /// Moves towards the placement that reachability asks for, one change at a time.
    fn place(&mut self, now: Instant) {
        if self.from != self.to && now >= self.settled {
            self.from = self.to.clone();
            self.hold_own(now);
        }
        let Some(wanted) = self.wanted_placement(now) else {
            return;
        };
        if self.from != self.to || wanted == self.to {
            return;
        }
        self.settled = self.last_sent(now) + self.settings.lease + self.settings.margin;
        self.to = wanted;
        self.hold_own(now);
    }

    fn wanted_placement(&self, now: Instant) -> Option<Placement> {
        let view = self.newest()?;
        let mut reachable = vec![0_u64; view.members().len().div_ceil(64)];
        for (index, member) in view.members().iter().enumerate() {
            if member.vm == self.vm || self.is_heard(&member.vm, now) {
                reachable[index / 64] |= 1 << (index % 64);
            }
        }
        Some(Placement {
            roster: view.version(),
            reachable,
        })
    }

    fn is_heard(&self, vm: &str, now: Instant) -> bool {
        let Ok(index) = self.peers.binary_search_by(|peer| peer.vm.as_str().cmp(vm)) else {
            return false;
        };
        self.peers[index]
            .heard
            .is_some_and(|heard| now < heard + self.settings.silence)
    }

    fn last_sent(&self, now: Instant) -> Instant {
        self.sent.last().map_or(now, |&(_, sent)| sent)
    }

    fn lend_to(&self, vm: &str) -> LeaseGrant {
        let known = self.peers.iter().find(|peer| peer.vm == vm);
        LeaseGrant {
            from: Some(self.from.clone()),
            to: Some(self.to.clone()),
            units: self.units.usable(),
            lease_ms: u32::try_from(self.settings.lease.as_millis()).unwrap_or(0),
            sequence: self.sequence,
            incarnation: self.incarnation,
            echo: known.map_or(0, |peer| peer.sequence),
            echo_incarnation: known.map_or(0, |peer| peer.incarnation),
            feeds: false,
        }
    }

    /// Holds the member's own share under its current placement.
    fn hold_own(&mut self, now: Instant) {
        let terms = LeaseTerms {
            from: self.from.clone(),
            to: self.to.clone(),
            units: self.units.usable(),
            expires: None,
        };
        let own = self.vm.clone();
        self.hold(&own, terms, now);
    }

    fn hold_lease(&mut self, vm: &str, lend: LeaseGrant, now: Instant) {
        let (Some(from), Some(to)) = (lend.from, lend.to) else {
            return;
        };
        if lend.echo_incarnation != self.incarnation {
            return;
        }
        let Some(&(_, sent)) = self.sent.iter().find(|entry| entry.0 == lend.echo) else {
            return;
        };
        let expires = sent + Duration::from_millis(lend.lease_ms.into());
        if expires > now {
            self.hold(
                vm,
                LeaseTerms {
                    from,
                    to,
                    units: lend.units,
                    expires: Some(expires),
                },
                now,
            );
        }
    }

    /// Keeps a lease; one that changes is settled first, and one that has lapsed starts anew: its share
    /// may have been used elsewhere meanwhile.
    fn hold(&mut self, lender: &str, terms: LeaseTerms, now: Instant) {
        self.drop_expired(now);
        let found = self
            .leases
            .binary_search_by(|known| known.lender().as_str().cmp(lender));
        let changes = found.map_or(true, |index| self.leases[index].differs(&terms));
        if changes {
            self.settle_all(now);
        }
        match found {
            Ok(index) => self.leases[index].renew(terms, now),
            Err(index) => self
                .leases
                .insert(index, HeldLease::new(lender, terms, now)),
        }
    }

    fn drop_expired(&mut self, now: Instant) {
        if self.leases.iter().all(|lease| lease.is_in_force(now)) {
            return;
        }
        self.settle_all(now);
        self.leases.retain(|lease| lease.is_in_force(now));
    }

    fn settle_all(&mut self, now: Instant) {
        for index in 0..self.buckets.len() {
            self.settle_bucket(index, now);
        }
    }

    /// Adds what each held share earned since the last update, while its lease was in force, and clips
    /// the level to the burst of the shares held.
    fn settle_bucket(&mut self, index: usize, now: Instant) {
        let bucket = &self.buckets[index].1;
        let owners = OwnerCache::new(self, bucket.limit.hash);
        let mut seconds = 0.0; // Units times seconds.
        let mut units: Units = 0;
        for lease in &self.leases {
            seconds += lease.unit_seconds(|segment| owners.owns(segment), bucket.updated, now);
            if owners.owns(lease.current()) {
                units += lease.current().units;
            }
        }
        let level = bucket.level + earned_tokens(&bucket.limit, seconds);
        let level = level.min(share_of_burst(&bucket.limit, units));
        let bucket = &mut self.buckets[index].1;
        bucket.level = level;
        bucket.updated = bucket.updated.max(now);
    }

    fn bucket_index(&mut self, limit: &RateLimit, now: Instant) -> usize {
        match self
            .buckets
            .binary_search_by_key(&limit.hash, |entry| entry.0)
        {
            Ok(index) => index,
            Err(index) => {
                let level = self.first_level(limit, now);
                let bucket = TokenBucket {
                    limit: limit.clone(),
                    level,
                    updated: now,
                };
                self.buckets.insert(index, (limit.hash, bucket));
                index
            }
        }
    }

    /// Returns the tokens of a workspace that was never asked for: what each share earned since this
    /// member owns it, or all of it if the workspace was created after that.
    fn first_level(&self, limit: &RateLimit, now: Instant) -> f64 {
        let owners = OwnerCache::new(self, limit.hash);
        let absent = self.known_absent(limit);
        let held = self.leases.iter().filter(|lease| lease.is_in_force(now));
        let levels = held.filter_map(|lease| {
            let since = lease.owned_since(|segment| owners.owns(segment))?;
            let seconds = lease.unit_seconds(|segment| owners.owns(segment), since, now);
            let unused =
                absent.and_then(|time| lease.owned_units(|segment| owners.owns(segment), time));
            let full = share_of_burst(limit, unused.unwrap_or(0));
            let most = share_of_burst(limit, lease.current().units);
            Some(earned_tokens(limit, seconds).max(full).min(most))
        });
        levels.sum()
    }

    /// Returns the latest time at which the workspace is known not to have existed yet.
    fn known_absent(&self, limit: &RateLimit) -> Option<Instant> {
        let before = self
            .confirmations
            .iter()
            .rev()
            .find(|entry| entry.1 < limit.created)?;
        Some(before.0)
    }

    /// Returns whether this member is a workspace's owner under a placement.
    fn is_owner(&self, placement: &Placement, hash: u64) -> bool {
        let Some(view) = self
            .rosters
            .iter()
            .find(|view| view.version() == placement.roster)
        else {
            return false;
        };
        let first = first_ranked(hash, view.hashes(), |index| is_reachable(placement, index));
        first.is_some_and(|index| view.members()[index].vm == self.vm)
    }

    fn peer_mut(&mut self, vm: &str) -> &mut PeerState {
        let index = match self.peers.binary_search_by(|peer| peer.vm.as_str().cmp(vm)) {
            Ok(index) => index,
            Err(index) => {
                let peer = PeerState {
                    vm: vm.into(),
                    heard: None,
                    incarnation: 0,
                    sequence: 0,
                };
                self.peers.insert(index, peer);
                index
            }
        };
        &mut self.peers[index]
    }
}

fn is_reachable(placement: &Placement, index: usize) -> bool {
    placement
        .reachable
        .get(index / 64)
        .is_some_and(|word| word >> (index % 64) & 1 == 1)
}

/// Returns the tokens that units earn over some seconds, lowered by the largest drift of a clock.
fn earned_tokens(limit: &RateLimit, unit_seconds: f64) -> f64 {
    limit.rate * unit_seconds / f64::from(TOTAL_UNITS) * (1.0 - CLOCK_DRIFT)
}

fn share_of_burst(limit: &RateLimit, units: Units) -> f64 {
    limit.burst * f64::from(units) / f64::from(TOTAL_UNITS)
}

/// Remembers who owns a workspace under each distinct placement: most lenders place alike.
struct OwnerCache<'a> {
    state: &'a ShareState,
    hash: u64,
    verdicts: RefCell<Vec<(&'a Placement, bool)>>,
}

impl<'a> OwnerCache<'a> {
    fn new(state: &'a ShareState, hash: u64) -> OwnerCache<'a> {
        OwnerCache {
            state,
            hash,
            verdicts: RefCell::default(),
        }
    }

    /// Returns whether the member owns the workspace under both placements of a segment.
    fn owns(&self, segment: &'a LeaseSegment) -> bool {
        self.is_owner(&segment.from) && self.is_owner(&segment.to)
    }

    fn is_owner(&self, placement: &'a Placement) -> bool {
        let known = self
            .verdicts
            .borrow()
            .iter()
            .find(|(known, _)| *known == placement)
            .copied();
        if let Some((_, verdict)) = known {
            return verdict;
        }
        let verdict = self.state.is_owner(placement, self.hash);
        self.verdicts.borrow_mut().push((placement, verdict));
        verdict
    }
}
