//! What this process knows of the jobs and which chunk it tries next.

use std::{
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use boragerill::{
    batch::{
        chunk_name,
        JobUrgency, //
    },
    rank::{
        first_ranked,
        hash_name, //
    },
    snapshot::{
        JobRecord,
        Snapshot, //
    }, //
};
use compact_str::CompactString;

/// One job's chunks as far as this process knows.
#[derive(Clone, Debug)]
pub(crate) struct JobPlan {
    /// Declared job.
    pub(crate) job: Arc<JobRecord>,
    /// Chunks without known results, those of this VM first.
    pub(crate) pending: Vec<u32>,
    /// Whether all chunks have results.
    pub(crate) complete: bool,
    /// When the platform was last asked for results.
    pub(crate) refreshed: Option<Instant>,
    first_seen: Instant,
    held: u32,
}

impl JobPlan {
    /// Sets the chunks that have results and orders the others.
    pub(crate) fn refresh(
        &mut self,
        done: &[u32],
        own_vm: &str,
        snapshot: &Snapshot,
        now: Instant,
    ) {
        let open = (0..self.job.spec.chunks).filter(|index| done.binary_search(index).is_err());
        self.pending = open.collect();
        self.complete = self.pending.is_empty();
        self.refreshed = Some(now);
        let Some(roster) = snapshot.roster() else {
            return;
        };
        let own = roster.position(own_vm);
        let (job, submission) = (&self.job.name, &self.job.spec.submission);
        self.pending.sort_by_key(|&index| {
            let hash = hash_name(&chunk_name(job, submission, index));
            (first_ranked(hash, roster.hashes(), |_| true) != own, index)
        });
    }
}

/// All jobs that are declared.
#[derive(Debug, Default)]
pub(crate) struct JobTable {
    plans: Vec<JobPlan>, // Sorted by name.
}

impl JobTable {
    /// Takes over the declared jobs.
    pub(crate) fn update(&mut self, snapshot: &Snapshot, now: Instant) {
        self.plans
            .retain(|plan| snapshot.find_job(&plan.job.name).is_some());
        for job in snapshot.jobs() {
            match self
                .plans
                .binary_search_by(|plan| plan.job.name.cmp(&job.name))
            {
                Ok(index) if self.plans[index].job.spec.submission == job.spec.submission => {
                    self.plans[index].job = job.clone();
                }
                Ok(index) => self.plans[index] = new_plan(job, now),
                Err(index) => self.plans.insert(index, new_plan(job, now)),
            }
        }
    }

    /// Returns a job's plan.
    pub(crate) fn find_mut(&mut self, name: &str) -> Option<&mut JobPlan> {
        let index = self
            .plans
            .binary_search_by(|plan| plan.job.name.as_str().cmp(name))
            .ok()?;
        Some(&mut self.plans[index])
    }

    /// Returns the names of the unfinished jobs, the most urgent first.
    pub(crate) fn order(&self, snapshot: &Snapshot, now: Instant) -> Vec<CompactString> {
        let open = self.plans.iter().filter(|plan| !plan.complete);
        let mut ranked: Vec<_> = open
            .map(|plan| (self.urgency(plan, snapshot, now).rank(), &plan.job.name))
            .collect();
        ranked.sort();
        ranked.into_iter().map(|entry| entry.1.clone()).collect()
    }

    /// Notes that a chunk of a job is being run, or no longer.
    pub(crate) fn note_held(&mut self, name: &str, change: i32) {
        if let Some(plan) = self.find_mut(name) {
            plan.held = plan.held.saturating_add_signed(change);
        }
    }

    fn urgency(&self, plan: &JobPlan, snapshot: &Snapshot, now: Instant) -> JobUrgency {
        let workspace = &plan.job.spec.workspace;
        let same = self
            .plans
            .iter()
            .filter(|other| other.job.spec.workspace == *workspace);
        JobUrgency {
            age: now.duration_since(plan.first_seen),
            due: Duration::from_secs(plan.job.spec.due_seconds),
            weight: snapshot
                .find_workspace(workspace)
                .map_or(1, |record| record.weight),
            held: same.map(|other| other.held).sum(),
        }
    }
}

fn new_plan(job: &Arc<JobRecord>, now: Instant) -> JobPlan {
    JobPlan {
        job: job.clone(),
        pending: Vec::new(),
        complete: false,
        refreshed: None,
        first_seen: now,
        held: 0,
    }
}
