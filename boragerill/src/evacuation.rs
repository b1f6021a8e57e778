//! Evacuated failure domains, to whose servers nothing new is sent.
//!
//! The operator's entries in the platform's store make up a list, numbered by the store's revision up to which it is
//! complete. A VM takes newer lists from the store or from other VMs, and ignores older ones. Between the time at which
//! another VM states a newer list and the time at which this VM has it, the domains that the other one states are
//! avoided as long as other servers can serve.

use std::time::{
    Duration,
    Instant, //
};

use compact_str::CompactString;

use crate::{
    backend::Revision,
    rank::hash_name, //
};

/// Hash of a failure domain's name.
pub type DomainHash = u64;

/// Largest number of evacuated domains that a VM states in a heartbeat.
pub const MAX_STATED_DOMAINS: usize = 16;

/// Interval between two ticks of a process that runs, after which it counts as having been paused.
const PAUSE_TIME: Duration = Duration::from_millis(1500);

/// Time after a pause within which heartbeats or the store confirm the list, if any of them can be reached.
const CONFIRMATION_WAIT: Duration = Duration::from_millis(500);

/// Evacuation of one failure domain.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DomainEvacuation {
    /// Name of the failure domain.
    pub domain: CompactString,
    /// Revision of the store at which the entry was written.
    pub revision: Revision,
}

/// Entry of the store that was written or removed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EvacuationEntry {
    /// Name of the failure domain.
    pub domain: CompactString,
    /// Revision of the store at which the entry was written.
    pub revision: Revision,
    /// Whether the entry was removed.
    pub removed: bool,
}

/// Begin or end of an evacuation.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EvacuationChange {
    /// Name of the failure domain.
    pub domain: CompactString,
    /// Whether the domain is evacuated from now on.
    pub begins: bool,
}

/// What this VM knows about the evacuation of one failure domain.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum DomainState {
    /// Its servers may be used.
    #[default]
    Open,
    /// A newer list that this VM doesn't have yet contains it. Its servers are used only if no others can serve.
    Doubtful,
    /// Its servers get nothing new.
    Evacuated,
}

/// List that another VM has stated and this one doesn't have yet.
#[derive(Clone, Debug)]
struct StatedList {
    through: Revision,
    domains: Vec<DomainHash>,
}

/// Evacuated failure domains, complete up to one revision of the store.
#[derive(Clone, Debug, Default)]
pub struct EvacuationTable {
    through: Revision,
    entries: Vec<DomainEvacuation>, // Sorted by domain.
    stated: Option<StatedList>,
}

impl EvacuationTable {
    /// Returns the store's revision up to which the list is complete; zero if there is no list yet.
    pub fn through(&self) -> Revision {
        self.through
    }

    /// Returns the evacuations, sorted by domain.
    pub fn entries(&self) -> &[DomainEvacuation] {
        &self.entries
    }

    /// Returns the hashes of the evacuated domains, for other VMs.
    pub fn hashes(&self) -> Vec<DomainHash> {
        let entries = self.entries.iter().take(MAX_STATED_DOMAINS);
        entries.map(|entry| hash_name(&entry.domain)).collect()
    }

    /// Replaces the list by a complete one, unless that is older, and returns what has changed.
    pub fn replace(
        &mut self,
        entries: Vec<DomainEvacuation>,
        through: Revision,
    ) -> Vec<EvacuationChange> {
        if through <= self.through {
            return Vec::new();
        }
        let mut entries = entries;
        entries.sort_by(|a, b| (&a.domain, b.revision).cmp(&(&b.domain, a.revision)));
        entries.dedup_by(|later, first| later.domain == first.domain);
        let before = std::mem::replace(&mut self.entries, entries);
        self.complete(through);
        self.changes_since(&before)
    }

    /// Applies the entries that were written or removed since an earlier revision, in their order. They complete the list
    /// up to `through`; those of an older list are ignored. Returns what has changed.
    pub fn apply(
        &mut self,
        changes: Vec<EvacuationEntry>,
        through: Revision,
    ) -> Vec<EvacuationChange> {
        if through <= self.through {
            return Vec::new();
        }
        let before = self.entries.clone();
        for change in changes {
            let found = self.find(&change.domain);
            match (found, change.removed) {
                (Ok(index), true) => {
                    self.entries.remove(index);
                }
                (Ok(index), false) => self.entries[index].revision = change.revision,
                (Err(index), false) => {
                    let entry = DomainEvacuation {
                        domain: change.domain,
                        revision: change.revision,
                    };
                    self.entries.insert(index, entry);
                }
                (Err(_), true) => {}
            }
        }
        self.complete(through);
        self.changes_since(&before)
    }

    /// Records the list that another VM states, and returns whether the state of any domain may have changed by it. Only
    /// the newest list that this VM doesn't have counts.
    pub fn record_stated(&mut self, through: Revision, domains: &[DomainHash]) -> bool {
        let known = self.stated.as_ref().map_or(0, |stated| stated.through);
        if through <= self.through.max(known) {
            return false;
        }
        self.stated = Some(StatedList {
            through,
            domains: domains.iter().copied().take(MAX_STATED_DOMAINS).collect(),
        });
        true
    }

    /// Returns whether another VM has stated a newer list.
    pub fn has_newer_list(&self) -> bool {
        self.stated.is_some()
    }

    /// Returns the state of a domain.
    pub fn state(&self, domain: &str) -> DomainState {
        if self.find(domain).is_ok() {
            return DomainState::Evacuated;
        }
        let stated = self.stated.as_ref();
        let hash = hash_name(domain);
        match stated.is_some_and(|stated| stated.domains.contains(&hash)) {
            true => DomainState::Doubtful,
            false => DomainState::Open,
        }
    }

    fn find(&self, domain: &str) -> Result<usize, usize> {
        self.entries
            .binary_search_by(|entry| entry.domain.as_str().cmp(domain))
    }

    fn complete(&mut self, through: Revision) {
        self.through = through;
        self.stated.take_if(|stated| stated.through <= through);
    }

    /// Returns the evacuations that ended and those that began since the list was `before`.
    fn changes_since(&self, before: &[DomainEvacuation]) -> Vec<EvacuationChange> {
        let lacks = |entries: &[DomainEvacuation], domain: &CompactString| {
            entries.iter().all(|entry| entry.domain != *domain)
        };
        let ended = before.iter().filter(|e| lacks(&self.entries, &e.domain));
        let begun = self.entries.iter().filter(|e| lacks(before, &e.domain));
        let ended = ended.map(|entry| (entry, false));
        let changes = ended.chain(begun.map(|entry| (entry, true)));
        changes
            .map(|(entry, begins)| EvacuationChange {
                domain: entry.domain.clone(),
                begins,
            })
            .collect()
    }
}

/// Detects that the process was paused, after which its list may be old.
#[derive(Clone, Copy, Debug)]
pub struct PauseDetector {
    ticked: Instant,
    resumed: Option<Instant>,
}

impl PauseDetector {
    /// Creates a detector for a process that starts.
    pub fn new(now: Instant) -> PauseDetector {
        PauseDetector {
            ticked: now,
            resumed: None,
        }
    }

    /// Records that the process runs; called several times in [`PAUSE_TIME`].
    pub fn tick(&mut self, now: Instant) {
        if self.is_paused(now) {
            self.resumed = Some(now);
        }
        self.ticked = self.ticked.max(now);
    }

    /// Returns whether nothing may be sent, since the process was paused and its list, which was last confirmed at
    /// `confirmed`, may still be confirmed or replaced.
    pub fn is_held(&self, confirmed: Option<Instant>, now: Instant) -> bool {
        if self.is_paused(now) {
            return true;
        }
        self.resumed.is_some_and(|resumed| {
            now < resumed + CONFIRMATION_WAIT && confirmed.is_none_or(|at| at < resumed)
        })
    }

    fn is_paused(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.ticked) > PAUSE_TIME
    }
}
