//! Claims chunks, starts their runs and writes the jobs' status.

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
        ChunkClaim,
        ClaimMonitor,
        CLAIM_KIND, //
    },
    error::ServeError,
    feed::{
        subscribe_any,
        SnapshotStore, //
    },
    generated::messages::Hello,
    platform::{
        Expected,
        PlatformClient, //
    },
    process::{
        http_server,
        serve,
        wait_for_stop_signal,
        HealthState, //
    },
    rank::{
        first_ranked,
        hash_name, //
    },
    settings::BatchSettings,
    snapshot::JobRecord,
    submit::{
        read_progress,
        status_value,
        JobProgress, //
    },
    timer::TimerService, //
};
use compact_str::{
    format_compact,
    CompactString, //
};
use log::{
    info,
    warn, //
};
use metrics::counter;
use tokio::sync::mpsc;

use crate::{
    chunk::{
        ChunkRunner,
        ClaimedChunk, //
    },
    item::ItemRunner,
    jobs::JobTable, //
};

/// Maximum number of chunks that one process holds at once. With two, the next chunk is read while the last
/// items of the other run.
const MAX_HELD_CHUNKS: usize = 2;

/// Period of attempts to claim chunks.
const CLAIM_PERIOD: Duration = Duration::from_millis(200);

/// Minimum time between two listings of a job's results.
const MIN_LISTING_INTERVAL: Duration = Duration::from_secs(1);

/// Period of checks for slots that became free as load reports expired or the reserve decayed.
const RECHECK_PERIOD: Duration = Duration::from_millis(20);

/// Period of reading the servers' load reports.
const LOAD_REPORT_PERIOD: Duration = Duration::from_millis(250);

/// Time that HTTP requests in flight get to complete on shutdown.
const SHUTDOWN_GRACE: Duration = Duration::from_secs(1);

/// Runs the batch process until it receives a stop signal.
pub(crate) async fn run_batch(settings: BatchSettings) -> Result<(), ServeError> {
    let health = HealthState::install();
    let listen = format!("{}:{}", settings.address, settings.port);
    let http = http_server(
        &settings.address,
        settings.port,
        SHUTDOWN_GRACE,
        health.clone(),
    )?;
    let store: Arc<SnapshotStore> = Arc::default();
    let controls = settings.controls.iter().map(CompactString::from).collect();
    let hello = Hello {
        vm: settings.vm.clone(),
        takes_loads: true,
        ..Default::default()
    };
    let feeder = BatchFeeder::new(settings, store.clone());
    let runner = feeder.runner.clone();
    tokio::spawn(subscribe_any(store, hello, controls, move |load| {
        runner.items.record_loads(&load)
    }));
    tokio::spawn(track_capacity(feeder.runner.clone()));
    health.set_ready(true);
    info!("health on {listen}");
    tokio::select! {
        served = serve(http, &listen, |_| {}) => served,
        () = feeder.feed() => Ok(()),
        () = wait_for_stop_signal() => Ok(()),
    }
}

/// Reads the servers' load reports and wakes the items that wait for slots, as long as the process runs.
async fn track_capacity(runner: Arc<ChunkRunner>) {
    let mut timer = TimerService::default();
    let mut reports = timer.subscribe(LOAD_REPORT_PERIOD);
    let mut wakes = timer.subscribe(RECHECK_PERIOD);
    let reading = async {
        while reports.next().await.is_some() {
            runner.items.read_load_reports().await;
        }
    };
    let waking = async {
        while wakes.next().await.is_some() {
            runner.items.wake_waiting();
        }
    };
    tokio::join!(reading, waking);
}

/// Claims chunks for this process and starts their runs.
struct BatchFeeder {
    settings: BatchSettings,
    holder: CompactString, // VM and random incarnation; identifies this process in claims.
    platform: PlatformClient,
    store: Arc<SnapshotStore>,
    runner: Arc<ChunkRunner>,
    jobs: JobTable,
    claims: ClaimMonitor, // Claims of other processes.
    held: usize,          // Chunks that this process holds.
}

/// A chunk whose run has ended, with its results committed or not.
struct FinishedChunk {
    job: CompactString,
    index: u32,
    committed: bool,
}

impl BatchFeeder {
    fn new(settings: BatchSettings, store: Arc<SnapshotStore>) -> BatchFeeder {
        let platform = PlatformClient::new(&settings.platform);
        let item_timeout = Duration::from_millis(settings.item_timeout_ms);
        let runner = ChunkRunner {
            platform: platform.clone(),
            store: store.clone(),
            items: ItemRunner::new(settings.attempts, item_timeout, settings.yields),
            concurrency: usize::try_from(settings.concurrency)
                .unwrap_or(1)
                .div_ceil(MAX_HELD_CHUNKS),
            claim_renewal_period: Duration::from_millis(settings.claim_lapse_ms / 3),
        };
        BatchFeeder {
            holder: format_compact!("{}/{:016x}", settings.vm, rand::random::<u64>()),
            settings,
            platform,
            store,
            runner: Arc::new(runner),
            jobs: JobTable::default(),
            claims: ClaimMonitor::default(),
            held: 0,
        }
    }

    /// Claims chunks and starts their runs, as long as the process runs.
    async fn feed(mut self) {
        let (finished, mut finished_chunks) = mpsc::unbounded_channel();
        let mut timer = TimerService::default();
        let mut ticks = timer.subscribe(CLAIM_PERIOD);
        loop {
            tokio::select! {
                chunk = finished_chunks.recv() => match chunk {
                    Some(chunk) => self.record_finished(chunk),
                    None => return,
                },
                tick = ticks.next() => if tick.is_none() {
                    return;
                },
            }
            let snapshot = self.store.load();
            self.runner
                .items
                .update_servers(&self.settings.vm, &snapshot, &self.store.feeders());
            self.jobs.update(&snapshot, Instant::now());
            if let Err(error) = self.claim_chunks(&finished).await {
                counter!("platform_failures_total").increment(1);
                warn!("chunks not claimed: {error}");
            }
        }
    }

    /// Records the end of a chunk's run; a chunk without committed results is pending again.
    fn record_finished(&mut self, chunk: FinishedChunk) {
        self.held -= 1;
        self.jobs.adjust_held_chunks(&chunk.job, -1);
        let Some(plan) = self.jobs.find_mut(&chunk.job) else {
            return;
        };
        if !chunk.committed {
            plan.pending.push(chunk.index);
        }
    }

    /// Claims chunks of the most urgent jobs until this process holds `MAX_HELD_CHUNKS`.
    async fn claim_chunks(
        &mut self,
        finished: &mpsc::UnboundedSender<FinishedChunk>,
    ) -> Result<(), ServeError> {
        let names = self
            .jobs
            .names_by_urgency(&self.store.load(), Instant::now());
        for name in names {
            self.refresh_job(&name).await?;
            while self.held < MAX_HELD_CHUNKS && self.feeds_job(&name) {
                let Some(chunk) = self.claim_next(&name).await? else {
                    break;
                };
                self.start_run(chunk, finished.clone());
            }
        }
        Ok(())
    }

    /// Lists a job's results, at most once in `MIN_LISTING_INTERVAL`.
    ///
    /// The VM that ranks first for the job always lists the results and writes the job's status. Other VMs list
    /// the results only when they know of no pending chunk.
    async fn refresh_job(&mut self, name: &str) -> Result<(), ServeError> {
        let snapshot = self.store.load();
        let now = Instant::now();
        let is_first_ranked = self.is_first_ranked(name);
        let Some(plan) = self.jobs.find_mut(name) else {
            return Ok(());
        };
        let is_due = plan
            .last_listed
            .is_none_or(|last_listed| last_listed + MIN_LISTING_INTERVAL <= now);
        if !is_due || (!is_first_ranked && !plan.pending.is_empty()) {
            return Ok(());
        }
        let job = plan.job.clone();
        let (progress, done) = read_progress(&self.platform, name, &job.spec.submission).await?;
        plan.update_pending(&done, &self.settings.vm, &snapshot, now);
        if is_first_ranked {
            self.write_status(&job, progress).await?;
        }
        Ok(())
    }

    /// Returns whether this process feeds a server of a job's service. Only such a process claims chunks of the
    /// job.
    fn feeds_job(&mut self, name: &str) -> bool {
        let snapshot = self.store.load();
        let job = snapshot.find_job(name);
        let service = job.and_then(|job| snapshot.find_service(&job.spec.service));
        service.is_some_and(|service| self.runner.items.feeds_service(service))
    }

    /// Returns whether this VM ranks first for a job, among the VMs of the roster.
    fn is_first_ranked(&self, name: &str) -> bool {
        let snapshot = self.store.load();
        let first = snapshot.roster().and_then(|roster| {
            let index = first_ranked(hash_name(name), roster.hashes(), |_| true)?;
            Some(roster.members()[index].vm.clone())
        });
        first.is_some_and(|vm| vm == self.settings.vm)
    }

    /// Writes a job's status object if it has changed. On a conflict the next refresh writes the status again.
    async fn write_status(&self, job: &JobRecord, progress: JobProgress) -> Result<(), ServeError> {
        let name = format_compact!("batchjob.{}", job.name);
        let value = status_value(&job.spec, progress);
        let expected = match self.platform.get("status", &name).await {
            Ok(known) if known.spec == value => return Ok(()),
            Ok(known) => Expected::At(known.version),
            Err(ServeError::Missing(..)) => Expected::Absent,
            Err(error) => return Err(error),
        };
        match self
            .platform
            .put("status", &name, expected, "", &value)
            .await
        {
            Ok(_) | Err(ServeError::Conflict(..)) => Ok(()),
            Err(error) => Err(error),
        }
    }

    /// Claims the first pending chunk of a job that isn't held by another process.
    async fn claim_next(&mut self, name: &str) -> Result<Option<ClaimedChunk>, ServeError> {
        let Some(plan) = self.jobs.find_mut(name) else {
            return Ok(None);
        };
        let job = plan.job.clone();
        let candidates = plan.pending.clone();
        for index in candidates {
            let Some(chunk) = self.try_claim(&job, index).await? else {
                continue;
            };
            if let Some(plan) = self.jobs.find_mut(name) {
                plan.pending.retain(|&pending| pending != index);
            }
            return Ok(Some(chunk));
        }
        // Other processes hold all open chunks; the next listing shows which chunks remain open.
        if let Some(plan) = self.jobs.find_mut(name) {
            plan.pending.clear();
        }
        Ok(None)
    }

    /// Claims a chunk, or takes over its expired claim with the recorded results; returns `None` when another
    /// process holds the chunk.
    async fn try_claim(
        &mut self,
        job: &Arc<JobRecord>,
        index: u32,
    ) -> Result<Option<ClaimedChunk>, ServeError> {
        let name = chunk_name(&job.name, &job.spec.submission, index);
        let mut claim = ChunkClaim {
            holder: self.holder.clone(),
            ..Default::default()
        };
        let value = serde_json::to_value(&claim).unwrap_or_default();
        let created = self
            .platform
            .put_confirmed(CLAIM_KIND, &name, Expected::Absent, &self.holder, &value)
            .await;
        let version = match created {
            Ok(receipt) => receipt.version,
            Err(ServeError::Conflict(_, _, version)) => {
                let lifetime = Duration::from_millis(self.settings.claim_lapse_ms);
                if !self
                    .claims
                    .observe(&name, version, lifetime, Instant::now())
                {
                    return Ok(None);
                }
                let known = self.platform.get(CLAIM_KIND, &name).await?;
                let former: ChunkClaim = serde_json::from_value(known.spec).unwrap_or_default();
                info!(
                    "chunk {name}: taking over the expired claim of {}",
                    former.holder
                );
                claim = ChunkClaim {
                    holder: self.holder.clone(),
                    ..former
                };
                let value = serde_json::to_value(&claim).unwrap_or_default();
                let expected = Expected::At(version);
                match self
                    .platform
                    .put_confirmed(CLAIM_KIND, &name, expected, &self.holder, &value)
                    .await
                {
                    Ok(receipt) => receipt.version,
                    Err(ServeError::Conflict(..)) => return Ok(None),
                    Err(error) => return Err(error),
                }
            }
            Err(error) => return Err(error),
        };
        self.claims.remove(&name);
        Ok(Some(ClaimedChunk {
            job: job.clone(),
            index,
            version,
            claim,
        }))
    }

    /// Starts a task that runs a claimed chunk and sends a `FinishedChunk` at its end.
    fn start_run(&mut self, chunk: ClaimedChunk, finished: mpsc::UnboundedSender<FinishedChunk>) {
        self.held += 1;
        self.jobs.adjust_held_chunks(&chunk.job.name, 1);
        let runner = self.runner.clone();
        tokio::spawn(async move {
            let (job, index) = (chunk.job.name.clone(), chunk.index);
            let committed = runner.run(chunk).await;
            // An error means that the process is shutting down.
            let _ = finished.send(FinishedChunk {
                job,
                index,
                committed,
            });
        });
    }
}
