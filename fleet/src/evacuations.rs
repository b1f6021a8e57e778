//! Registry of the evacuated failure domains, and the rules for sending to their servers.

use std::{
    sync::{
        atomic::{
            AtomicBool,
            Ordering, //
        },
        Arc,
        Mutex, //
    },
    time::Instant,
};

use boragerill::{
    backend::Revision,
    evacuation::{
        DomainEvacuation,
        DomainHash,
        DomainState,
        EvacuationChange,
        EvacuationEntry,
        EvacuationTable,
        PauseDetector, //
    },
    generated::messages::Heartbeat,
    slot::SlotView,
    sync::lock,
    warmup::WarmupCause, //
};
use compact_str::CompactString;
use log::{
    info,
    warn, //
};
use metrics::{
    counter,
    gauge, //
};

use crate::{
    backends::BackendState,
    state::FleetState,
    state_fetch::FetchedState, //
};

/// Evacuated failure domains, and which VMs follow them.
#[derive(Debug)]
pub(crate) struct EvacuationRegistry {
    is_enabled: bool,
    table: Mutex<EvacuationTable>,
    pause: Mutex<PauseDetector>,
    is_known: AtomicBool,       // Whether there is a list.
    is_doubtful: AtomicBool, // Whether another VM has stated a newer list that this one doesn't have yet.
    followers: Mutex<Vec<u64>>, // Hashes of the VMs that state a list in their heartbeats; sorted.
}

impl EvacuationRegistry {
    /// Creates a registry without a list; it follows evacuations if the settings enable them.
    pub(crate) fn new(is_enabled: bool, now: Instant) -> EvacuationRegistry {
        EvacuationRegistry {
            is_enabled,
            table: Mutex::default(),
            pause: Mutex::new(PauseDetector::new(now)),
            is_known: AtomicBool::new(!is_enabled),
            is_doubtful: AtomicBool::new(false),
            followers: Mutex::default(),
        }
    }

    /// Returns whether there is a list, or none is needed.
    pub(crate) fn is_known(&self) -> bool {
        self.is_known.load(Ordering::Relaxed)
    }

    /// Returns the revision up to which the list is complete.
    pub(crate) fn through(&self) -> Revision {
        lock(&self.table).through()
    }

    /// Returns the list, and the revision up to which it is complete.
    pub(crate) fn list(&self) -> (Revision, Vec<DomainEvacuation>) {
        let table = lock(&self.table);
        (table.through(), table.entries().to_vec())
    }

    /// Returns the names of the evacuated domains, sorted.
    fn names(&self) -> Vec<CompactString> {
        let table = lock(&self.table);
        let entries = table.entries().iter();
        entries.map(|entry| entry.domain.clone()).collect()
    }

    /// Returns the hashes of the evacuated domains.
    pub(crate) fn hashes(&self) -> Vec<DomainHash> {
        lock(&self.table).hashes()
    }

    /// Returns whether a VM, given by the hash of its name, follows evacuations.
    pub(crate) fn is_follower(&self, vm: u64) -> bool {
        lock(&self.followers).binary_search(&vm).is_ok()
    }

    /// Replaces the list by a complete one unless that is older, and returns what has changed.
    pub(crate) fn replace(
        &self,
        entries: Vec<DomainEvacuation>,
        through: Revision,
    ) -> Vec<EvacuationChange> {
        self.update(|table| table.replace(entries, through))
    }

    /// Applies entries that were written or removed, and returns what has changed.
    pub(crate) fn apply(
        &self,
        entries: Vec<EvacuationEntry>,
        through: Revision,
    ) -> Vec<EvacuationChange> {
        self.update(|table| table.apply(entries, through))
    }

    /// Records what another VM states about its list.
    pub(crate) fn record_heartbeat(&self, heartbeat: &Heartbeat) {
        let mut followers = lock(&self.followers);
        let found = followers.binary_search(&heartbeat.sender);
        match (found, heartbeat.evacuations) {
            (Err(index), Some(_)) => followers.insert(index, heartbeat.sender),
            (Ok(index), None) => {
                followers.remove(index);
            }
            _ => {}
        }
        drop(followers);
        if let Some(through) = heartbeat.evacuations {
            self.update(|table| table.record_stated(through, &heartbeat.evacuated));
        }
    }

    /// Records that the process runs.
    pub(crate) fn tick(&self, now: Instant) {
        lock(&self.pause).tick(now);
    }

    fn update<T>(&self, change: impl FnOnce(&mut EvacuationTable) -> T) -> T {
        let mut table = lock(&self.table);
        let result = change(&mut table);
        self.is_doubtful
            .store(table.has_newer_list(), Ordering::Relaxed);
        result
    }
}

impl FleetState {
    /// Returns whether nothing may be sent to servers now: this VM has no list of evacuated failure domains yet, or was
    /// paused and its list isn't confirmed again.
    pub(crate) fn is_sending_held(&self, now: Instant) -> bool {
        let evacuations = &self.evacuations;
        if !evacuations.is_enabled {
            return false;
        }
        let confirmed = self.fetches.confirmed_at(FetchedState::Evacuations);
        !evacuations.is_known() || lock(&evacuations.pause).is_held(confirmed, now)
    }

    /// Marks in views the servers that must not be used while sending is held, and those of domains that may have been
    /// evacuated if other servers can serve. The views already exclude the servers of evacuated domains.
    pub(crate) fn apply_evacuations(
        &self,
        servers: &[Arc<BackendState>],
        views: &mut [SlotView],
        now: Instant,
    ) {
        let evacuations = &self.evacuations;
        if !evacuations.is_enabled {
            return;
        }
        if self.is_sending_held(now) {
            views.iter_mut().for_each(|view| view.leaving = true);
            return;
        }
        if !evacuations.is_doubtful.load(Ordering::Relaxed) {
            return;
        }
        let table = lock(&evacuations.table);
        let is_doubtful =
            |server: &BackendState| table.state(&server.server.domain) == DomainState::Doubtful;
        let others = servers.iter().zip(views.iter());
        let others_serve = others
            .clone()
            .any(|(server, view)| !view.leaving && !view.ejected && !is_doubtful(server));
        if !others_serve {
            return;
        }
        for (server, view) in servers.iter().zip(views) {
            view.leaving |= is_doubtful(server);
        }
    }
}

/// Applies changes of the list, which come from `source`, to the servers, and logs them.
pub(crate) fn apply_changes(state: &FleetState, changes: Vec<EvacuationChange>, source: &str) {
    let evacuations = &state.evacuations;
    for change in changes.iter().filter(|change| !change.begins) {
        evacuation_ended(state, &change.domain);
    }
    if !changes.is_empty() {
        state.backends.update_evacuated(|| evacuations.names());
    }
    let (through, entries) = evacuations.list();
    gauge!("evacuated_domains").set(entries.len() as f64);
    // Only now the list binds all servers, also those that registered before it arrived.
    if through > 0 {
        evacuations.is_known.store(true, Ordering::Relaxed);
    }
    if changes.is_empty() {
        return;
    }
    for change in changes {
        let (domain, begins) = (change.domain.as_str(), change.begins);
        info!(domain, begins, through, source; "evacuation of a failure domain changed");
        if begins && !state.backends.has_domain(domain) {
            counter!("evacuations_of_unknown_domains_total").increment(1);
            warn!(domain, through; "evacuated failure domain has no servers");
        }
    }
    state.backends.changed.notify_one();
    state.jobs.work.notify_one();
}

/// Counts the servers of a failure domain whose evacuation has ended as warming up; to be called before they may be used
/// again.
fn evacuation_ended(state: &FleetState, domain: &str) {
    let servers = state.backends.all();
    let of_domain = servers
        .iter()
        .filter(|server| server.server.domain == domain)
        .map(Arc::as_ref);
    state
        .backends
        .begin_warmup(of_domain, WarmupCause::Evacuated);
}
