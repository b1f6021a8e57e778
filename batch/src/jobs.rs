//! Declared jobs, their open chunks and the order in which this process claims the chunks.

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

/// A job and its chunks, as known to this process.
#[derive(Clone, Debug)]
pub(crate) struct JobPlan {
    /// Declared job.
    pub(crate) job: Arc<JobRecord>,
    /// Chunks without known results; those for which this VM ranks first come before the others.
    pub(crate) pending: Vec<u32>,
    /// Whether all chunks have results.
    pub(crate) complete: bool,
    /// Time of the last listing of the job's results.
    pub(crate) last_listed: Option<Instant>,
    first_seen: Instant,
    held: u32, // Chunks that this process holds.
}

impl JobPlan {
    /// Updates the open chunks after a listing; `done` holds the sorted indices of the chunks with results.
    pub(crate) fn update_pending(
        &mut self,
        done: &[u32],
        own_vm: &str,
        snapshot: &Snapshot,
        now: Instant,
    ) {
        let open = (0..self.job.spec.chunks).filter(|index| done.binary_search(index).is_err());
        self.pending = open.collect();
        self.complete = self.pending.is_empty();
        self.last_listed = Some(now);
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

/// All declared jobs.
#[derive(Debug, Default)]
pub(crate) struct JobTable {
    plans: Vec<JobPlan>, // Sorted by name.
}

impl JobTable {
    /// Updates the table to the declared jobs; a job with a new submission starts with a new plan.
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
                Ok(index) => self.plans[index] = create_plan(job, now),
                Err(index) => self.plans.insert(index, create_plan(job, now)),
            }
        }
    }

    /// Returns a job's plan, or `None` when the job isn't declared.
    pub(crate) fn find_mut(&mut self, name: &str) -> Option<&mut JobPlan> {
        let index = self
            .plans
            .binary_search_by(|plan| plan.job.name.as_str().cmp(name))
            .ok()?;
        Some(&mut self.plans[index])
    }

    /// Returns the names of the unfinished jobs, the most urgent first.
    pub(crate) fn names_by_urgency(&self, snapshot: &Snapshot, now: Instant) -> Vec<CompactString> {
        let open = self.plans.iter().filter(|plan| !plan.complete);
        let mut ranked: Vec<_> = open
            .map(|plan| (self.urgency(plan, snapshot, now).rank(), &plan.job.name))
            .collect();
        ranked.sort();
        ranked.into_iter().map(|entry| entry.1.clone()).collect()
    }

    /// Changes the number of a job's chunks that this process holds.
    pub(crate) fn adjust_held_chunks(&mut self, name: &str, change: i32) {
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

fn create_plan(job: &Arc<JobRecord>, now: Instant) -> JobPlan {
    JobPlan {
        job: job.clone(),
        pending: Vec::new(),
        complete: false,
        last_listed: None,
        first_seen: now,
        held: 0,
    }
}
