//! Claims chunks, runs them and reports the jobs' status.

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
        ClaimWatch,
        CLAIM_KIND, //
    },
    error::ServeError,
    feed::{
        follow_any,
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
        wait_for_stop,
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

/// Chunks that one process holds at once: the next is read while one runs out.
const HELD_CHUNKS: usize = 2;

/// Period of looking for work.
const WORK_PERIOD: Duration = Duration::from_millis(200);

/// Least time between two listings of a job's results.
const REFRESH_PERIOD: Duration = Duration::from_secs(1);

/// Period of waking waiting items when room has come with time.
const WAKE_PERIOD: Duration = Duration::from_millis(20);

/// Period of reading the servers' load reports.
const REPORT_PERIOD: Duration = Duration::from_millis(250);

/// Time that running HTTP requests get on shutdown.
const SHUTDOWN_GRACE: Duration = Duration::from_secs(1);

/// Runs the batch process until it is told to stop.
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
    tokio::spawn(follow_any(store, hello, controls, move |load| {
        runner.items.note_loads(&load)
    }));
    tokio::spawn(follow_room(feeder.runner.clone()));
    health.set_ready(true);
    info!("health on {listen}");
    tokio::select! {
        served = serve(http, &listen, |_| {}) => served,
        () = feeder.feed() => Ok(()),
        () = wait_for_stop() => Ok(()),
    }
}

/// Reads the servers' load reports and wakes waiting items for as long as the process runs.
async fn follow_room(runner: Arc<ChunkRunner>) {
    let mut timer = TimerService::default();
    let mut reports = timer.subscribe(REPORT_PERIOD);
    let mut wakes = timer.subscribe(WAKE_PERIOD);
    let reading = async {
        while reports.next().await.is_some() {
            runner.items.read_reports().await;
        }
    };
    let waking = async {
        while wakes.next().await.is_some() {
            runner.items.wake_waiting();
        }
    };
    tokio::join!(reading, waking);
}

struct BatchFeeder {
    settings: BatchSettings,
    holder: CompactString,
    platform: PlatformClient,
    store: Arc<SnapshotStore>,
    runner: Arc<ChunkRunner>,
    jobs: JobTable,
    claims: ClaimWatch,
    held: usize,
}

/// A chunk that this process no longer runs.
struct ChunkEnd {
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
                .div_ceil(HELD_CHUNKS),
            renewal: Duration::from_millis(settings.claim_lapse_ms / 3),
        };
        BatchFeeder {
            holder: format_compact!("{}/{:016x}", settings.vm, rand::random::<u64>()),
            settings,
            platform,
            store,
            runner: Arc::new(runner),
            jobs: JobTable::default(),
            claims: ClaimWatch::default(),
            held: 0,
        }
    }

    async fn feed(mut self) {
        let (ended, mut ends) = mpsc::unbounded_channel();
        let mut timer = TimerService::default();
        let mut ticks = timer.subscribe(WORK_PERIOD);
        loop {
            tokio::select! {
                end = ends.recv() => match end {
                    Some(end) => self.note_end(end),
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
            if let Err(error) = self.take_work(&ended).await {
                counter!("platform_failures_total").increment(1);
                warn!("no work taken: {error}");
            }
        }
    }

    fn note_end(&mut self, end: ChunkEnd) {
        self.held -= 1;
        self.jobs.note_held(&end.job, -1);
        let Some(plan) = self.jobs.find_mut(&end.job) else {
            return;
        };
        if !end.committed {
            plan.pending.push(end.index);
        }
    }

    /// Claims chunks while this process may hold more.
    async fn take_work(
        &mut self,
        ended: &mpsc::UnboundedSender<ChunkEnd>,
    ) -> Result<(), ServeError> {
        let order = self.jobs.order(&self.store.load(), Instant::now());
        for name in order {
            self.refresh(&name).await?;
            while self.held < HELD_CHUNKS && self.feeds(&name) {
                let Some(chunk) = self.claim_next(&name).await? else {
                    break;
                };
                self.start(chunk, ended.clone());
            }
        }
        Ok(())
    }

    /// Lists a job's results when this process knows of no open chunk, and writes the job's status
    /// when it ranks first for the job.
    async fn refresh(&mut self, name: &str) -> Result<(), ServeError> {
        let snapshot = self.store.load();
        let now = Instant::now();
        let is_lead = self.is_lead(name);
        let Some(plan) = self.jobs.find_mut(name) else {
            return Ok(());
        };
        let is_due = plan
            .refreshed
            .is_none_or(|refreshed| refreshed + REFRESH_PERIOD <= now);
        if !is_due || (!is_lead && !plan.pending.is_empty()) {
            return Ok(());
        }
        let job = plan.job.clone();
        let (progress, done) = read_progress(&self.platform, name, &job.spec.submission).await?;
        plan.refresh(&done, &self.settings.vm, &snapshot, now);
        if is_lead {
            self.write_status(&job, progress).await?;
        }
        Ok(())
    }

    /// Returns whether this process feeds a server of a job's service; others leave its chunks alone.
    fn feeds(&mut self, name: &str) -> bool {
        let snapshot = self.store.load();
        let job = snapshot.find_job(name);
        let service = job.and_then(|job| snapshot.find_service(&job.spec.service));
        service.is_some_and(|service| self.runner.items.feeds(service))
    }

    fn is_lead(&self, name: &str) -> bool {
        let snapshot = self.store.load();
        let first = snapshot.roster().and_then(|roster| {
            let index = first_ranked(hash_name(name), roster.hashes(), |_| true)?;
            Some(roster.members()[index].vm.clone())
        });
        first.is_some_and(|vm| vm == self.settings.vm)
    }

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

    /// Tries the open chunks of a job until one is claimed.
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
        // All open chunks are held by others; the next listing shows which are done.
        if let Some(plan) = self.jobs.find_mut(name) {
            plan.pending.clear();
        }
        Ok(None)
    }

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
            .put_settled(CLAIM_KIND, &name, Expected::Absent, &self.holder, &value)
            .await;
        let version = match created {
            Ok(receipt) => receipt.version,
            Err(ServeError::Conflict(_, _, version)) => {
                let lapse = Duration::from_millis(self.settings.claim_lapse_ms);
                if !self.claims.observe(&name, version, lapse, Instant::now()) {
                    return Ok(None);
                }
                let known = self.platform.get(CLAIM_KIND, &name).await?;
                let former: ChunkClaim = serde_json::from_value(known.spec).unwrap_or_default();
                info!("{name}: taking over the lapsed claim of {}", former.holder);
                claim = ChunkClaim {
                    holder: self.holder.clone(),
                    ..former
                };
                let value = serde_json::to_value(&claim).unwrap_or_default();
                let expected = Expected::At(version);
                match self
                    .platform
                    .put_settled(CLAIM_KIND, &name, expected, &self.holder, &value)
                    .await
                {
                    Ok(receipt) => receipt.version,
                    Err(ServeError::Conflict(..)) => return Ok(None),
                    Err(error) => return Err(error),
                }
            }
            Err(error) => return Err(error),
        };
        self.claims.forget(&name);
        Ok(Some(ClaimedChunk {
            job: job.clone(),
            index,
            version,
            claim,
        }))
    }

    fn start(&mut self, chunk: ClaimedChunk, ended: mpsc::UnboundedSender<ChunkEnd>) {
        self.held += 1;
        self.jobs.note_held(&chunk.job.name, 1);
        let runner = self.runner.clone();
        tokio::spawn(async move {
            let (job, index) = (chunk.job.name.clone(), chunk.index);
            let committed = runner.run(chunk).await;
            // An error means that the process is ending.
            let _ = ended.send(ChunkEnd {
                job,
                index,
                committed,
            });
        });
    }
}
