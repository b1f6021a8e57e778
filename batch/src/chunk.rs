//! Runs one claimed chunk and commits its results.

use std::{
    sync::Arc,
    time::Duration, //
};

use boragerill::{
    batch::{
        chunk_name,
        BatchItem,
        ChunkClaim,
        ItemOutcome,
        ItemResult,
        OutcomeCounts,
        CLAIM_KIND,
        INPUT_KIND,
        RESULT_KIND, //
    },
    chunk::{
        ChunkRun,
        ChunkStep, //
    },
    error::ServeError,
    feed::SnapshotStore,
    platform::{
        Expected,
        PlatformClient, //
    },
    snapshot::JobRecord, //
};
use compact_str::CompactString;
use futures_util::{
    stream,
    StreamExt, //
};
use log::{
    info,
    warn, //
};
use metrics::counter;
use serde_json::{
    json,
    Value, //
};
use tokio::time::{
    interval,
    sleep, //
};

use crate::item::{
    result,
    ItemRunner,
    ItemTarget, //
};

/// Period of checking that this process still feeds the servers of a chunk.
const FEED_CHECK_PERIOD: Duration = Duration::from_secs(1);

/// Pause before a write is tried again during an outage of the platform.
const OUTAGE_PAUSE: Duration = Duration::from_millis(500);

/// A chunk that this process has claimed.
pub(crate) struct ClaimedChunk {
    /// Job of the chunk.
    pub(crate) job: Arc<JobRecord>,
    /// Index of the chunk.
    pub(crate) index: u32,
    /// Version of the claim object.
    pub(crate) version: u64,
    /// Contents of the claim object.
    pub(crate) claim: ChunkClaim,
}

/// What running chunks needs.
pub(crate) struct ChunkRunner {
    /// Client of the platform.
    pub(crate) platform: PlatformClient,
    /// Configuration in force.
    pub(crate) store: Arc<SnapshotStore>,
    /// Runs items.
    pub(crate) items: ItemRunner,
    /// Items in flight at once.
    pub(crate) concurrency: usize,
    /// Period of renewing claims.
    pub(crate) renewal: Duration,
}

impl ChunkRunner {
    /// Runs a chunk; returns whether its results are committed, by this process or another.
    pub(crate) async fn run(&self, mut chunk: ClaimedChunk) -> bool {
        let name = chunk_name(&chunk.job.name, &chunk.job.spec.submission, chunk.index);
        let Some(items) = self.read_items(&name).await else {
            return false;
        };
        let mut run = ChunkRun::resume(items, &chunk.claim);
        loop {
            let Some(target) = self.find_target(&chunk.job) else {
                warn!("{name}: service {} is not declared", chunk.job.spec.service);
                sleep(OUTAGE_PAUSE).await;
                if self.is_cancelled(&chunk.job) {
                    run.note_results(run.open_items().iter().map(cancelled).collect());
                    return self.commit(&name, run.results()).await;
                }
                continue;
            };
            match run.next_step(target.idempotent) {
                ChunkStep::Commit => return self.commit(&name, run.results()).await,
                ChunkStep::MarkStarted { started } => {
                    if !self
                        .mark_started(&name, &mut chunk, started, run.results())
                        .await
                    {
                        return false;
                    }
                    run.note_marked(started);
                }
                ChunkStep::Run(range) => {
                    let Some(ended) = self
                        .run_wave(&name, &mut chunk, &target, run.items(range))
                        .await
                    else {
                        info!("{name}: no longer held");
                        return false;
                    };
                    run.note_results(ended);
                }
            }
        }
    }

    async fn read_items(&self, name: &str) -> Option<Vec<BatchItem>> {
        loop {
            match self.platform.get(INPUT_KIND, name).await {
                Ok(object) => {
                    let items = serde_json::from_value(object.spec["items"].clone());
                    return items
                        .map_err(|error| warn!("{name}: items can't be read: {error}"))
                        .ok();
                }
                Err(ServeError::Missing(..)) => return None,
                Err(error) => {
                    warn!("{name}: {error}");
                    sleep(OUTAGE_PAUSE).await;
                }
            }
        }
    }

    fn find_target(&self, job: &JobRecord) -> Option<ItemTarget> {
        let snapshot = self.store.load();
        let (service, index) = snapshot.find_route(&job.spec.path, Some(&job.spec.service))?;
        Some(ItemTarget {
            service: service.clone(),
            path: job.spec.path.as_str().into(),
            workspace: job.spec.workspace.as_str().into(),
            idempotent: service.routes[index].idempotent,
        })
    }

    fn is_cancelled(&self, job: &JobRecord) -> bool {
        self.store
            .load()
            .find_job(&job.name)
            .is_none_or(|known| known.spec.cancelled)
    }

    /// Records that the items before `started` may have been started, before the first of them is.
    async fn mark_started(
        &self,
        name: &str,
        chunk: &mut ClaimedChunk,
        started: usize,
        results: &[ItemResult],
    ) -> bool {
        chunk.claim.started = started;
        chunk.claim.results = results.to_vec();
        loop {
            match self.write_claim(name, chunk).await {
                Ok(()) => return true,
                Err(ServeError::Conflict(..) | ServeError::Missing(..)) => return false,
                Err(error) => {
                    warn!("{name}: {error}");
                    sleep(OUTAGE_PAUSE).await;
                }
            }
        }
    }

    async fn write_claim(&self, name: &str, chunk: &mut ClaimedChunk) -> Result<(), ServeError> {
        let value = serde_json::to_value(&chunk.claim).unwrap_or_default();
        let holder = CompactString::from(chunk.claim.holder.as_str());
        let expected = Expected::At(chunk.version);
        let receipt = self
            .platform
            .put_settled(CLAIM_KIND, name, expected, &holder, &value)
            .await?;
        chunk.version = receipt.version;
        Ok(())
    }

    /// Runs items while renewing the claim; returns `None` when the claim was lost.
    async fn run_wave(
        &self,
        name: &str,
        chunk: &mut ClaimedChunk,
        target: &ItemTarget,
        pending: &[BatchItem],
    ) -> Option<Vec<ItemResult>> {
        let job = chunk.job.clone();
        let runs = pending
            .iter()
            .enumerate()
            .map(|(index, item)| self.run_item(target, &job, index, item));
        // Unordered, so that an item that never ends doesn't hold up those behind it.
        let mut runs = std::pin::pin!(
            stream::iter(runs.collect::<Vec<_>>()).buffer_unordered(self.concurrency)
        );
        let mut results = Vec::with_capacity(pending.len());
        let mut renewals = interval(self.renewal);
        renewals.tick().await;
        let mut checks = interval(FEED_CHECK_PERIOD);
        loop {
            tokio::select! {
                ended = runs.next() => match ended {
                    Some(ended) => results.push(ended),
                    None => break,
                },
                _ = checks.tick() => {
                    if !self.items.feeds(&target.service) {
                        self.give_up(name, chunk).await;
                        return None;
                    }
                }
                _ = renewals.tick() => {
                    if let Err(ServeError::Conflict(..)) = self.write_claim(name, chunk).await {
                        return None;
                    }
                }
            }
        }
        results.sort_by_key(|entry| entry.0);
        Some(results.into_iter().map(|entry| entry.1).collect())
    }

    /// Lets others have a chunk whose servers this process feeds no more. Items that may have been
    /// started need the claim's record of them, which others take over once it lapses.
    async fn give_up(&self, name: &str, chunk: &ClaimedChunk) {
        info!("{name}: given up, its servers are fed by others");
        if chunk.claim.started > 0 {
            return;
        }
        if let Err(error) = self
            .platform
            .delete(CLAIM_KIND, name, Expected::At(chunk.version))
            .await
        {
            warn!("{name}: claim left to lapse: {error}");
        }
    }

    /// Runs an item unless its job is cancelled before or meanwhile.
    async fn run_item(
        &self,
        target: &ItemTarget,
        job: &JobRecord,
        index: usize,
        item: &BatchItem,
    ) -> (usize, ItemResult) {
        let mut changes = self.store.subscribe();
        let stopped = async {
            while !self.is_cancelled(job) {
                if changes.changed().await.is_err() {
                    std::future::pending::<()>().await;
                }
            }
        };
        let ended = tokio::select! {
            biased;
            () = stopped => cancelled(item),
            ended = self.items.run(target, item) => ended,
        };
        counter!("batch_items_total", "outcome" => format!("{:?}", ended.outcome)).increment(1);
        (index, ended)
    }

    /// Creates the chunk's result object, through any outage of the platform.
    async fn commit(&self, name: &str, results: &[ItemResult]) -> bool {
        let label = OutcomeCounts::of(results).to_label();
        let value = json!({ "results": results });
        loop {
            match self
                .platform
                .put_settled(RESULT_KIND, name, Expected::Absent, &label, &value)
                .await
            {
                Ok(_) => return true,
                Err(ServeError::Conflict(..)) => {
                    info!("{name}: results were committed by another process");
                    return true;
                }
                Err(error) => {
                    warn!("{name}: results not committed yet: {error}");
                    sleep(OUTAGE_PAUSE).await;
                }
            }
        }
    }
}

fn cancelled(item: &BatchItem) -> ItemResult {
    result(item, ItemOutcome::Cancelled, Value::Null)
}
