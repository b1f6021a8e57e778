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
    item_result,
    ItemRunner,
    ItemTarget, //
};

/// Period of checks that this process still feeds a server of the chunk's service.
const FEED_CHECK_PERIOD: Duration = Duration::from_secs(1);

/// Delay before a call is retried during an outage of the platform.
const OUTAGE_RETRY_DELAY: Duration = Duration::from_millis(500);

/// A chunk that this process has claimed.
pub(crate) struct ClaimedChunk {
    /// Job of the chunk.
    pub(crate) job: Arc<JobRecord>,
    /// Index of the chunk.
    pub(crate) index: u32,
    /// Version of the claim object, as written last by this process.
    pub(crate) version: u64,
    /// Contents of the claim object.
    pub(crate) claim: ChunkClaim,
}

/// Runs claimed chunks.
pub(crate) struct ChunkRunner {
    /// Client of the platform.
    pub(crate) platform: PlatformClient,
    /// Configuration in force.
    pub(crate) store: Arc<SnapshotStore>,
    /// Runs the items.
    pub(crate) items: ItemRunner,
    /// Maximum number of items of one chunk in flight at once.
    pub(crate) concurrency: usize,
    /// Period at which claims are renewed.
    pub(crate) claim_renewal_period: Duration,
}

impl ChunkRunner {
    /// Runs a chunk; returns whether its results have been committed, by this process or another.
    pub(crate) async fn run(&self, mut chunk: ClaimedChunk) -> bool {
        let name = chunk_name(&chunk.job.name, &chunk.job.spec.submission, chunk.index);
        let Some(items) = self.read_items(&name).await else {
            return false;
        };
        let mut run = ChunkRun::resume(items, &chunk.claim);
        loop {
            let Some(target) = self.find_target(&chunk.job) else {
                warn!(
                    "chunk {name}: service {} with path {} is not declared",
                    chunk.job.spec.service, chunk.job.spec.path
                );
                sleep(OUTAGE_RETRY_DELAY).await;
                if self.is_cancelled(&chunk.job) {
                    run.record_results(run.open_items().iter().map(cancelled_result).collect());
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
                    run.record_marked(started);
                }
                ChunkStep::Run(range) => {
                    let Some(results) = self
                        .run_items(&name, &mut chunk, &target, run.items(range))
                        .await
                    else {
                        info!("chunk {name}: claim lost or released");
                        return false;
                    };
                    run.record_results(results);
                }
            }
        }
    }

    /// Reads the chunk's items, retrying during an outage of the platform; returns `None` when the input object
    /// is missing or malformed.
    async fn read_items(&self, name: &str) -> Option<Vec<BatchItem>> {
        loop {
            match self.platform.get(INPUT_KIND, name).await {
                Ok(object) => {
                    let items = serde_json::from_value(object.spec["items"].clone());
                    return items
                        .map_err(|error| warn!("chunk {name}: malformed items: {error}"))
                        .ok();
                }
                Err(ServeError::Missing(..)) => return None,
                Err(error) => {
                    warn!("chunk {name}: items not read, retrying: {error}");
                    sleep(OUTAGE_RETRY_DELAY).await;
                }
            }
        }
    }

    /// Returns the service and route of a job; returns `None` when no route is declared for the job.
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

    /// Returns whether a job has been cancelled or deleted.
    fn is_cancelled(&self, job: &JobRecord) -> bool {
        self.store
            .load()
            .find_job(&job.name)
            .is_none_or(|known| known.spec.cancelled)
    }

    /// Marks the items before `started` as started in the claim, which must precede the run of the first of them.
    /// Returns false when the claim is lost.
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
                    warn!("chunk {name}: claim not written, retrying: {error}");
                    sleep(OUTAGE_RETRY_DELAY).await;
                }
            }
        }
    }

    /// Writes the claim, on condition that its version hasn't changed since the last write of this process.
    async fn write_claim(&self, name: &str, chunk: &mut ClaimedChunk) -> Result<(), ServeError> {
        let value = serde_json::to_value(&chunk.claim).unwrap_or_default();
        let holder = CompactString::from(chunk.claim.holder.as_str());
        let expected = Expected::At(chunk.version);
        let receipt = self
            .platform
            .put_confirmed(CLAIM_KIND, name, expected, &holder, &value)
            .await?;
        chunk.version = receipt.version;
        Ok(())
    }

    /// Runs items and renews the claim meanwhile; returns `None` when the claim was lost or released.
    async fn run_items(
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
        // Unordered, so that an item that never ends doesn't block the items behind it.
        let mut runs = std::pin::pin!(
            stream::iter(runs.collect::<Vec<_>>()).buffer_unordered(self.concurrency)
        );
        let mut results = Vec::with_capacity(pending.len());
        let mut renewals = interval(self.claim_renewal_period);
        renewals.tick().await;
        let mut checks = interval(FEED_CHECK_PERIOD);
        loop {
            tokio::select! {
                result = runs.next() => match result {
                    Some(result) => results.push(result),
                    None => break,
                },
                _ = checks.tick() => {
                    if !self.items.feeds_service(&target.service) {
                        self.release_claim(name, chunk).await;
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

    /// Releases the claim on a chunk of a service whose servers this process no longer feeds.
    ///
    /// A claim that marks items as started isn't deleted, because the next holder needs the marks; other
    /// processes take the claim over once it has expired.
    async fn release_claim(&self, name: &str, chunk: &ClaimedChunk) {
        info!("chunk {name}: claim released, the service's servers are fed by other processes");
        if chunk.claim.started > 0 {
            return;
        }
        if let Err(error) = self
            .platform
            .delete(CLAIM_KIND, name, Expected::At(chunk.version))
            .await
        {
            warn!("chunk {name}: claim not deleted, left to expire: {error}");
        }
    }

    /// Runs an item; a cancellation of the job, before or during the run, stops it.
    async fn run_item(
        &self,
        target: &ItemTarget,
        job: &JobRecord,
        index: usize,
        item: &BatchItem,
    ) -> (usize, ItemResult) {
        let mut changes = self.store.subscribe();
        let cancelled = async {
            while !self.is_cancelled(job) {
                if changes.changed().await.is_err() {
                    std::future::pending::<()>().await;
                }
            }
        };
        let result = tokio::select! {
            biased;
            () = cancelled => cancelled_result(item),
            result = self.items.run(target, item) => result,
        };
        counter!("batch_items_total", "outcome" => format!("{:?}", result.outcome)).increment(1);
        (index, result)
    }

    /// Creates the chunk's result object, retrying during an outage of the platform. A conflict means that
    /// another process has committed the chunk's results.
    async fn commit(&self, name: &str, results: &[ItemResult]) -> bool {
        let label = OutcomeCounts::of(results).to_label();
        let value = json!({ "results": results });
        loop {
            match self
                .platform
                .put_confirmed(RESULT_KIND, name, Expected::Absent, &label, &value)
                .await
            {
                Ok(_) => return true,
                Err(ServeError::Conflict(..)) => {
                    info!("chunk {name}: results already committed by another process");
                    return true;
                }
                Err(error) => {
                    warn!("chunk {name}: results not committed, retrying: {error}");
                    sleep(OUTAGE_RETRY_DELAY).await;
                }
            }
        }
    }
}

fn cancelled_result(item: &BatchItem) -> ItemResult {
    item_result(item, ItemOutcome::Cancelled, Value::Null)
}
