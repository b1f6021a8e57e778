//! Share leases: a hard bound on each workspace's rate and burst over all VMs.
//!
//! Each member of the roster holds a share of every workspace's rate and burst, and leases the share to
//! the workspace's owner: the first ranked member that the lender reaches. The owner's token bucket is
//! the sum of the shares leased to it. At most one member uses a share at any time, and a share starts
//! without tokens whenever it moves to another member, so the tokens of all members together never
//! exceed the burst and never accrue faster than the rate.
//!
//! Each side times leases on its own monotonic clock. For the owner a lease starts when the owner *sent*
//! the heartbeat that the lender echoes, so a delayed message can't extend the lease. The lender waits
//! for the lease time and a margin after its own last heartbeat.

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

/// Longest time between the request for a token and the start of the request that uses the token.
pub const GRANT_VALIDITY: Duration = Duration::from_millis(150);

/// Number of rosters kept, since placements of peers may refer to older rosters.
const ROSTER_HISTORY: usize = 6;

/// Number of recorded platform versions that are kept.
const VERSIONS_KEPT: usize = 64;

/// Number of sent heartbeats whose times are kept to match the echoes of peers.
const SENT_HISTORY: usize = 16;

/// Largest deviation of a monotonic clock's rate, as a fraction; accrued tokens are reduced by this
/// fraction.
const CLOCK_DRIFT: f64 = 0.0005;

/// Tolerance for rounding errors in token arithmetic, in tokens.
const TOKEN_SLACK: f64 = 1e-9;

/// Timing of share leases.
#[derive(Clone, Debug)]
pub struct ShareSettings {
    /// Validity of a lease.
    pub lease: Duration,
    /// Time without a heartbeat after which a peer counts as unreachable.
    pub heartbeat_timeout: Duration,
    /// Time that a lender waits after the end of a lease before it uses the share elsewhere.
    pub margin: Duration,
}

impl Default for ShareSettings {
    fn default() -> ShareSettings {
        let lease = Duration::from_millis(1500);
        ShareSettings {
            lease,
            heartbeat_timeout: lease,
            margin: GRANT_VALIDITY + lease / 20,
        }
    }
}

/// Rate and burst of a workspace.
#[derive(Clone, Debug)]
pub struct RateLimit {
    /// Hash of the workspace's name.
    pub hash: u64,
    /// Tokens a second over all VMs.
    pub rate: f64,
    /// Tokens that may be taken at once over all VMs.
    pub burst: f64,
    /// Platform version at which the workspace was created.
    pub created: Version,
}

/// State of the heartbeats that one member receives from another.
#[derive(Clone, Debug)]
struct PeerState {
    vm: CompactString,
    last_heartbeat: Option<Instant>,
    incarnation: u64,
    sequence: u64,
}

/// Token bucket of one workspace at this member.
#[derive(Clone, Debug)]
struct TokenBucket {
    limit: RateLimit,
    tokens: f64,
    updated: Instant,
}

/// One member's state as lender of its own share and as owner of workspaces.
#[derive(Clone, Debug)]
pub struct ShareState {
    settings: ShareSettings,
    vm: CompactString,
    incarnation: u64,
    rosters: Vec<RosterView>, // Oldest first.
    peers: Vec<PeerState>,    // Sorted by VM.
    sequence: u64,
    sent: Vec<(u64, Instant)>, // Sequence numbers of sent heartbeats and their times.
    units: UnitAccount,
    from: Placement,
    to: Placement,
    transition_end: Instant, // End of the transition from `from` to `to`.
    leases: Vec<HeldLease>,  // Sorted by lender.
    buckets: Vec<(u64, TokenBucket)>, // Sorted by the workspace's hash.
    versions: Vec<(Instant, Version)>, // When the platform was queried, and its version; oldest first.
}

impl ShareState {
    /// Starts without units. Every lease that an earlier process granted has expired before units become
    /// usable.
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
            transition_end: now,
            leases: Vec::new(),
            buckets: Vec::new(),
            versions: Vec::new(),
        }
    }

    /// Applies a newer roster. Removed units stop being usable at once; added units become usable after the
    /// lease time and the margin.
    pub fn update_roster(&mut self, view: RosterView, now: Instant) {
        if self
            .latest_roster()
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
        self.units.apply_declared(declared, usable);
        self.renew_own_lease(now);
        self.update_placement(now);
    }

    /// Returns the newest roster.
    pub fn latest_roster(&self) -> Option<&RosterView> {
        self.rosters.last()
    }

    /// Returns the usable units, without those reserved for a transfer.
    pub fn units(&self) -> Units {
        self.units.usable()
    }

    /// Records that the connection to a peer was lost.
    pub fn disconnect_peer(&mut self, vm: &str, now: Instant) {
        if let Some(peer) = self.peers.iter_mut().find(|peer| peer.vm == vm) {
            peer.last_heartbeat = None;
        }
        self.update_placement(now);
    }

    /// Reserves units for a transfer to other members, and returns the reserved units. The recipients use
    /// them only once no lease on them can be in force.
    pub fn reserve_transfer(&mut self, units: Units, now: Instant) -> Option<Units> {
        let reserved = self.units.reserve(units);
        self.renew_own_lease(now);
        reserved
    }

    /// Advances timers and returns the heartbeat for each other member.
    pub fn tick(&mut self, now: Instant) -> Vec<(CompactString, LeaseGrant)> {
        if self.units.activate_pending(now) {
            self.renew_own_lease(now);
        }
        self.update_placement(now);
        self.drop_expired(now);
        let Some(view) = self.latest_roster() else {
            return Vec::new();
        };
        let peers = view.members().iter().filter(|member| member.vm != self.vm);
        let names: Vec<CompactString> = peers.map(|member| member.vm.clone()).collect();
        self.sequence += 1;
        self.sent.push((self.sequence, now));
        if self.sent.len() > SENT_HISTORY {
            self.sent.remove(0);
        }
        let grants = names.into_iter().map(|vm| {
            let grant = self.grant_for(&vm);
            (vm, grant)
        });
        grants.collect()
    }

    /// Records a peer's heartbeat and renews the lease in it; ignores repeated and older heartbeats.
    pub fn receive_grant(&mut self, vm: &str, grant: LeaseGrant, now: Instant) {
        let peer = self.peer_mut(vm);
        if peer.incarnation == grant.incarnation && peer.sequence >= grant.sequence {
            return;
        }
        peer.incarnation = grant.incarnation;
        peer.sequence = grant.sequence;
        let newly_reachable = peer.last_heartbeat.replace(now).is_none();
        self.accept_grant(vm, grant, now);
        if newly_reachable {
            self.update_placement(now);
        }
    }

    /// Records that the platform, queried at `sent`, was at version `through`. A workspace of a later version
    /// can't have used the shares that this member held before `sent`.
    pub fn record_version(&mut self, sent: Instant, through: Version) {
        self.versions.push((sent, through));
        if self.versions.len() > VERSIONS_KEPT {
            self.versions.remove(0);
        }
    }

    /// Takes tokens of a workspace; `NOT_OWNER` when no share of the workspace is leased to this member.
    pub fn take_tokens(
        &mut self,
        limit: &RateLimit,
        requested: u32,
        now: Instant,
    ) -> TokenResponse {
        self.drop_expired(now);
        let units = self.held_units(limit.hash, now);
        if units == 0 {
            return TokenResponse {
                outcome: Outcome::NotOwner.into(),
                ..Default::default()
            };
        }
        let index = self.bucket_index(limit, now);
        self.refill_bucket(index, now);
        let share = f64::from(units) / f64::from(TOTAL_UNITS);
        let bucket = &mut self.buckets[index].1;
        bucket.limit = limit.clone();
        bucket.tokens = bucket.tokens.min(share_of_burst(limit, units));
        let requested = f64::from(requested);
        if bucket.tokens + TOKEN_SLACK >= requested {
            bucket.tokens = (bucket.tokens - requested).max(0.0);
            return TokenResponse {
                outcome: Outcome::Granted.into(),
                units,
                ..Default::default()
            };
        }
        let wait = Duration::try_from_secs_f64(
            (requested - bucket.tokens) / (limit.rate * share).max(1e-6),
        );
        let retry_after_ms = wait.map_or(u32::MAX, |wait| {
            u32::try_from(wait.as_millis()).unwrap_or(u32::MAX)
        });
        TokenResponse {
            outcome: Outcome::Refused.into(),
            retry_after_ms: retry_after_ms.max(1),
            units,
        }
    }

    /// Returns the units of a workspace that are leased to this member at `now`, its own units included.
    pub fn held_units(&self, hash: u64, now: Instant) -> Units {
        let owners = OwnerCache::new(self, hash);
        let held = self.leases.iter().filter(|lease| lease.is_in_force(now));
        let held = held
            .map(HeldLease::current)
            .filter(|segment| owners.owns(segment));
        held.map(|segment| segment.units).sum()
    }

    /// Changes the placement to the reachable members, one transition at a time.
    fn update_placement(&mut self, now: Instant) {
        if self.from != self.to && now >= self.transition_end {
            self.from = self.to.clone();
            self.renew_own_lease(now);
        }
        let Some(target) = self.target_placement(now) else {
            return;
        };
        if self.from != self.to || target == self.to {
            return;
        }
        self.transition_end = self.last_sent(now) + self.settings.lease + self.settings.margin;
        self.to = target;
        self.renew_own_lease(now);
    }

    fn target_placement(&self, now: Instant) -> Option<Placement> {
        let view = self.latest_roster()?;
        let mut reachable = vec![0_u64; view.members().len().div_ceil(64)];
        for (index, member) in view.members().iter().enumerate() {
            if member.vm == self.vm || self.is_peer_reachable(&member.vm, now) {
                reachable[index / 64] |= 1 << (index % 64);
            }
        }
        Some(Placement {
            roster: view.version(),
            reachable,
        })
    }

    fn is_peer_reachable(&self, vm: &str, now: Instant) -> bool {
        let Ok(index) = self.peers.binary_search_by(|peer| peer.vm.as_str().cmp(vm)) else {
            return false;
        };
        self.peers[index]
            .last_heartbeat
            .is_some_and(|last_heartbeat| now < last_heartbeat + self.settings.heartbeat_timeout)
    }

    fn last_sent(&self, now: Instant) -> Instant {
        self.sent.last().map_or(now, |&(_, sent)| sent)
    }

    fn grant_for(&self, vm: &str) -> LeaseGrant {
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

    /// Renews the lease of the member's own share under the current placement.
    fn renew_own_lease(&mut self, now: Instant) {
        let terms = LeaseTerms {
            from: self.from.clone(),
            to: self.to.clone(),
            units: self.units.usable(),
            expires: None,
        };
        let own = self.vm.clone();
        self.renew_lease(&own, terms, now);
    }

    /// Renews a peer's lease, unless the heartbeat echoes another process or a heartbeat too old to match.
    fn accept_grant(&mut self, vm: &str, grant: LeaseGrant, now: Instant) {
        let (Some(from), Some(to)) = (grant.from, grant.to) else {
            return;
        };
        if grant.echo_incarnation != self.incarnation {
            return;
        }
        let Some(&(_, sent)) = self.sent.iter().find(|entry| entry.0 == grant.echo) else {
            return;
        };
        let expires = sent + Duration::from_millis(grant.lease_ms.into());
        if expires > now {
            self.renew_lease(
                vm,
                LeaseTerms {
                    from,
                    to,
                    units: grant.units,
                    expires: Some(expires),
                },
                now,
            );
        }
    }

    /// Renews a lease. Buckets are refilled by the old terms before new terms apply. An expired lease
    /// starts again without tokens, since its share may have been used elsewhere in between.
    fn renew_lease(&mut self, lender: &str, terms: LeaseTerms, now: Instant) {
        self.drop_expired(now);
        let found = self
            .leases
            .binary_search_by(|known| known.lender().as_str().cmp(lender));
        let changes = found.map_or(true, |index| self.leases[index].differs(&terms));
        if changes {
            self.refill_all(now);
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
        self.refill_all(now);
        self.leases.retain(|lease| lease.is_in_force(now));
    }

    fn refill_all(&mut self, now: Instant) {
        for index in 0..self.buckets.len() {
            self.refill_bucket(index, now);
        }
    }

    /// Adds the tokens that accrued on each held share since the last update, while its lease was in force,
    /// and limits the tokens to the burst of the shares that are still held.
    fn refill_bucket(&mut self, index: usize, now: Instant) {
        let bucket = &self.buckets[index].1;
        let owners = OwnerCache::new(self, bucket.limit.hash);
        let mut unit_seconds = 0.0;
        let mut units: Units = 0;
        for lease in &self.leases {
            unit_seconds += lease.unit_seconds(|segment| owners.owns(segment), bucket.updated, now);
            if owners.owns(lease.current()) {
                units += lease.current().units;
            }
        }
        let tokens = bucket.tokens + accrued_tokens(&bucket.limit, unit_seconds);
        let tokens = tokens.min(share_of_burst(&bucket.limit, units));
        let bucket = &mut self.buckets[index].1;
        bucket.tokens = tokens;
        bucket.updated = bucket.updated.max(now);
    }

    fn bucket_index(&mut self, limit: &RateLimit, now: Instant) -> usize {
        match self
            .buckets
            .binary_search_by_key(&limit.hash, |entry| entry.0)
        {
            Ok(index) => index,
            Err(index) => {
                let tokens = self.initial_tokens(limit, now);
                let bucket = TokenBucket {
                    limit: limit.clone(),
                    tokens,
                    updated: now,
                };
                self.buckets.insert(index, (limit.hash, bucket));
                index
            }
        }
    }

    /// Returns the tokens of a workspace without a bucket: on each share, the tokens that accrued since this
    /// member owns the workspace, or the whole burst of the share if the workspace was created after that.
    fn initial_tokens(&self, limit: &RateLimit, now: Instant) -> f64 {
        let owners = OwnerCache::new(self, limit.hash);
        let absent = self.last_absence(limit);
        let held = self.leases.iter().filter(|lease| lease.is_in_force(now));
        let shares = held.filter_map(|lease| {
            let since = lease.owned_since(|segment| owners.owns(segment))?;
            let unit_seconds = lease.unit_seconds(|segment| owners.owns(segment), since, now);
            let unused =
                absent.and_then(|time| lease.owned_units(|segment| owners.owns(segment), time));
            let full = share_of_burst(limit, unused.unwrap_or(0));
            let most = share_of_burst(limit, lease.current().units);
            Some(accrued_tokens(limit, unit_seconds).max(full).min(most))
        });
        shares.sum()
    }

    /// Returns the latest time at which the workspace is known not to have existed.
    fn last_absence(&self, limit: &RateLimit) -> Option<Instant> {
        let before = self
            .versions
            .iter()
            .rev()
            .find(|entry| entry.1 < limit.created)?;
        Some(before.0)
    }

    /// Returns whether this member is a workspace's owner under a placement; false when the placement's
    /// roster isn't kept.
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
                    last_heartbeat: None,
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

/// Returns the tokens that accrue over `unit_seconds`, units times seconds, reduced by the largest drift of
/// a clock.
fn accrued_tokens(limit: &RateLimit, unit_seconds: f64) -> f64 {
    limit.rate * unit_seconds / f64::from(TOTAL_UNITS) * (1.0 - CLOCK_DRIFT)
}

/// Returns the tokens of a burst that fall to `units`.
fn share_of_burst(limit: &RateLimit, units: Units) -> f64 {
    limit.burst * f64::from(units) / f64::from(TOTAL_UNITS)
}

/// Caches whether the member owns a workspace under each distinct placement; most lenders have the same
/// placement.
struct OwnerCache<'a> {
    state: &'a ShareState,
    hash: u64,
    decisions: RefCell<Vec<(&'a Placement, bool)>>,
}

impl<'a> OwnerCache<'a> {
    fn new(state: &'a ShareState, hash: u64) -> OwnerCache<'a> {
        OwnerCache {
            state,
            hash,
            decisions: RefCell::default(),
        }
    }

    /// Returns whether the member owns the workspace under both placements of a segment.
    fn owns(&self, segment: &'a LeaseSegment) -> bool {
        self.is_owner(&segment.from) && self.is_owner(&segment.to)
    }

    fn is_owner(&self, placement: &'a Placement) -> bool {
        let known = self
            .decisions
            .borrow()
            .iter()
            .find(|(known, _)| *known == placement)
            .copied();
        if let Some((_, decision)) = known {
            return decision;
        }
        let decision = self.state.is_owner(placement, self.hash);
        self.decisions.borrow_mut().push((placement, decision));
        decision
    }
}
