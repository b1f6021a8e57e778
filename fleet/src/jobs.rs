//! Batch jobs of callers: registry, submission and cancellation.

use std::{
    sync::{
        atomic::Ordering,
        Arc,
        Mutex, //
    },
    time::{
        Duration,
        Instant, //
    },
};

use boragerill::{
    api::Expected,
    backend::Revision,
    cancellation::JobCancellation,
    catalog::{
        BatchTerms,
        CatalogRoute,
        RouteKind, //
    },
    error::ServeError,
    job::{
        part_object_name,
        split_items,
        JobId,
        JobItem,
        JobManifest,
        JobProgress, //
    },
    job_directory::{
        JobDirectory,
        JobRunner, //
    },
    list_evidence::ListEvidence,
    rank::{
        hash_name,
        score, //
    },
    refusal::{
        RefusalReason,
        RefusalResponse, //
    },
    sync::lock,
    timer::millis, //
};
use bytes::Bytes;
use compact_str::{
    format_compact,
    CompactString, //
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
use tokio::{
    sync::Notify,
    time::{
        sleep,
        timeout,
        timeout_at, //
    },
};

use crate::{
    admission::{
        CallerResult, //
    },
    byte_budget::ByteReservation,
    caller::CallerRequest,
    job_reads,
    request_body::refuse_shed,
    response::{
        local_response,
        CallerResponse, //
    },
    resubmission::{
        confirm_known,
        confirm_stored, //
    },
    state::{
        wall_ms,
        FleetState, //
    },
    stop_guard::{
        refuse_stopping,
        wait_for_last_answer, //
    },
    takeover,
    wire::{
        CallerOperation,
        MAX_SUBMISSION_ITEMS, //
    }, //
};

/// Kind of the objects that hold the manifests of accepted jobs.
pub(crate) const JOB_KIND: &str = "batch-jobs";

/// Kind of the objects that hold items.
pub(crate) const INPUT_KIND: &str = "batch-inputs";

/// Kind of the objects that hold results.
pub(crate) const RESULT_KIND: &str = "batch-results";

/// Kind of the objects that hold checkpoints of unfinished items.
pub(crate) const CHECKPOINT_KIND: &str = "batch-checkpoints";

/// Kind of the objects that record cancellations.
pub(crate) const CANCELLATION_KIND: &str = "batch-ends";

/// Divides the platform's limit on values for the items of one object; their base64 text is a third longer.
const PART_DIVISOR: u64 = 2;

/// Retry delay for callers while the store is unavailable.
const STORE_RETRY: Duration = Duration::from_millis(500);

/// Retry delay for callers whose unfinished items hold as many tokens as allowed.
const BACKLOG_RETRY: Duration = Duration::from_millis(1500);

/// Longest time for which a write of a submission is retried, and for which a client waits for a cancellation.
pub(crate) const SUBMIT_LIMIT: Duration = Duration::from_millis(3000);

/// Longest time for which a write of a cancellation is retried. Longer than its caller waits, since the job has stopped.
const CANCEL_LIMIT: Duration = Duration::from_secs(30);

/// First back-off before a write to the store is retried; doubles up to `BACKOFF_MAX`.
const BACKOFF_MIN: Duration = Duration::from_millis(60);

/// Longest back-off before a write to the store is retried.
const BACKOFF_MAX: Duration = Duration::from_millis(480);

/// Bytes that storing a submission takes for each byte of its body, beyond the body: decoded items, their copies by
/// object, and the encoded objects.
const SUBMISSION_FACTOR: usize = 3;

/// One job that this VM runs, or whose final state it keeps.
#[derive(Debug)]
pub(crate) struct JobEntry {
    /// Identifies the job.
    pub(crate) id: JobId,
    /// Manifest as stored when the job was accepted.
    pub(crate) manifest: JobManifest,
    /// Items in the order of the submission.
    pub(crate) items: Vec<JobItem>,
    /// Time of the first submission on this process's clock.
    pub(crate) submitted: Instant,
    /// Progress of the items.
    pub(crate) progress: Mutex<JobProgress>,
    /// Signals that results were stored or the job was cancelled or released.
    pub(crate) changed: Notify,
    /// Signals that items have ended and their results can be stored.
    pub(crate) ended: Notify,
    /// Whether another VM runs the job now.
    pub(crate) released: std::sync::atomic::AtomicBool,
    /// Shows until when the list of results is known to be current.
    pub(crate) evidence: Mutex<ListEvidence>,
    /// Held while a chunk of results is written or looked for, and while the job is handed over.
    pub(crate) storing: tokio::sync::Mutex<()>,
}

/// Registry of the jobs of this VM and of those of other VMs.
#[derive(Debug, Default)]
pub(crate) struct JobRegistry {
    entries: Mutex<Vec<Arc<JobEntry>>>, // Sorted by id.
    directory: Mutex<JobDirectory>,
    unconfirmed: Mutex<Vec<JobId>>, // Jobs of this VM that another VM knows from the store only.
    /// Signals that items may be startable or must be stopped.
    pub(crate) work: Notify,
    /// Signals that jobs without a runner were found in the store.
    pub(crate) found: Notify,
}

impl JobRegistry {
    /// Returns a job of this VM.
    pub(crate) fn find(&self, id: &str) -> Option<Arc<JobEntry>> {
        let entries = lock(&self.entries);
        let found = entries.binary_search_by(|entry| entry.id.as_str().cmp(id));
        Some(entries[found.ok()?].clone())
    }

    /// Returns all jobs of this VM, sorted by id.
    pub(crate) fn all(&self) -> Vec<Arc<JobEntry>> {
        lock(&self.entries).clone()
    }

    /// Adds a job unless one with its id exists, and returns the existing one.
    pub(crate) fn insert(&self, entry: Arc<JobEntry>) -> Option<Arc<JobEntry>> {
        let mut entries = lock(&self.entries);
        match entries.binary_search_by(|known| known.id.cmp(&entry.id)) {
            Ok(index) => Some(entries[index].clone()),
            Err(index) => {
                lock(&self.directory).record_own(&entry.id);
                entries.insert(index, entry);
                None
            }
        }
    }

    /// Removes a job.
    pub(crate) fn remove(&self, id: &str) {
        lock(&self.entries).retain(|entry| entry.id != id);
    }

    /// Changes what is known of the jobs of other VMs.
    pub(crate) fn update_directory<T>(&self, change: impl FnOnce(&mut JobDirectory) -> T) -> T {
        change(&mut lock(&self.directory))
    }

    /// Reads what is known of the jobs of other VMs.
    pub(crate) fn read_directory<T>(&self, read: impl FnOnce(&JobDirectory) -> T) -> T {
        read(&lock(&self.directory))
    }

    /// Returns whether a job is known, of this VM or of another one.
    pub(crate) fn is_known(&self, id: &str) -> bool {
        self.find(id).is_some() || lock(&self.directory).find(id).is_some()
    }

    /// Returns the hash of the workspace and route of a job that another VM has reported.
    pub(crate) fn known_account(&self, id: &str) -> Option<u64> {
        Some(lock(&self.directory).find(id)?.account)
    }

    /// Returns the process that last reported a job of another VM.
    pub(crate) fn runner(&self, id: &str) -> Option<JobRunner> {
        lock(&self.directory).find(id)?.runner
    }

    /// Makes the next heartbeat report a job of this VM although its status is unchanged.
    pub(crate) fn confirm(&self, id: &str) {
        lock(&self.unconfirmed).push(id.into());
    }

    /// Returns and removes the jobs of this VM that the next heartbeat has to report.
    pub(crate) fn take_unconfirmed(&self) -> Vec<JobId> {
        std::mem::take(&mut lock(&self.unconfirmed))
    }

    /// Removes records of other VMs' jobs after their lifetime, and closed jobs after the retention of results.
    pub(crate) fn remove_expired(&self, retention: Duration, now: Instant) {
        let is_expired = |entry: &JobEntry| {
            now > entry.submitted + retention && lock(&entry.progress).is_closed()
        };
        let mut entries = lock(&self.entries);
        let mut directory = lock(&self.directory);
        directory.remove_expired(now);
        for entry in entries.iter().filter(|entry| is_expired(entry)) {
            directory.record_closed(&entry.id, now);
        }
        entries.retain(|entry| !is_expired(entry));
    }

    /// Returns the tokens of the unfinished items of an account, over the jobs of this VM and of other VMs.
    fn waiting_tokens(&self, account: u64) -> u64 {
        let entries = lock(&self.entries);
        let own = entries.iter().filter(|entry| entry.account() == account);
        let own: u64 = own.map(|entry| entry.waiting_tokens()).sum();
        let directory = lock(&self.directory);
        let others = directory.records().iter().filter(|record| {
            record.account == account
                && !record.closed
                && entries
                    .binary_search_by(|entry| entry.id.cmp(&record.id))
                    .is_err()
        });
        own + others.map(|record| record.waiting_tokens).sum::<u64>()
    }
}

impl JobEntry {
    /// Creates the entry of a job without any progress, of which no VM has listed a result.
    pub(crate) fn new(
        id: &str,
        manifest: JobManifest,
        items: Vec<JobItem>,
        submitted: Instant,
    ) -> JobEntry {
        JobEntry {
            progress: Mutex::new(JobProgress::new(items.iter().map(|item| &item.id))),
            id: id.into(),
            manifest,
            items,
            submitted,
            changed: Notify::new(),
            ended: Notify::new(),
            released: Default::default(),
            evidence: Mutex::new(ListEvidence::new(submitted)),
            storing: Default::default(),
        }
    }

    /// Returns whether another VM runs the job now.
    pub(crate) fn is_released(&self) -> bool {
        self.released.load(Ordering::Relaxed)
    }

    /// Returns the time until the job is due, zero if it is overdue; `None` if its route sets no due time or is gone.
    pub(crate) fn time_left(&self, state: &FleetState, now: Instant) -> Option<Duration> {
        let catalog = state.catalog.load()?;
        let route = catalog.find_route(&self.manifest.host, &self.manifest.path)?;
        let RouteKind::Batch(terms) = &route.kind else {
            return None;
        };
        let due = self.submitted + terms.due_after;
        (!terms.due_after.is_zero()).then(|| due.saturating_duration_since(now))
    }

    /// Returns the hash of workspace and route, whose waiting tokens are limited together.
    pub(crate) fn account(&self) -> u64 {
        account(
            &self.manifest.workspace,
            &self.manifest.host,
            &self.manifest.prefix,
        )
    }

    /// Returns the tokens of the unfinished items; zero for a cancelled job.
    pub(crate) fn waiting_tokens(&self) -> u64 {
        let progress = lock(&self.progress);
        if progress.is_cancelled() {
            return 0;
        }
        progress
            .unfinished()
            .map(|index| self.items[index].tokens)
            .sum()
    }
}

/// Returns the hash of a workspace and a route.
pub(crate) fn account(workspace: &str, host: &str, prefix: &str) -> u64 {
    let route = score(hash_name(host), hash_name(prefix));
    score(hash_name(workspace), route)
}

/// Serves a caller's read or cancellation of a job.
pub(crate) async fn serve_call(
    state: &Arc<FleetState>,
    caller: &CallerRequest,
    call: CallerOperation,
    workspace: &str,
) -> CallerResult {
    let serving = async {
        match call {
            CallerOperation::JobResults { id, after } => {
                job_reads::read_results(state, caller, &id, after, workspace).await
            }
            CallerOperation::ItemBody { id, item } => {
                job_reads::read_body(state, caller, &id, &item, workspace).await
            }
            CallerOperation::CancelJob { id } => cancel_job(state, caller, &id, workspace).await,
            CallerOperation::Request => Err(RefusalResponse::not_run(
                RefusalReason::RouteUnknown,
                caller.path(),
            )),
        }
    };
    // A call that has had an effect answers for itself.
    tokio::select! {
        biased;
        served = serving => served,
        () = wait_for_last_answer(state) => Err(refuse_stopping()),
    }
}

/// Accepts a job; resubmissions of a known job are acknowledged without effect.
pub(crate) async fn submit(
    state: &Arc<FleetState>,
    caller: &CallerRequest,
    (route, terms): (&CatalogRoute, &BatchTerms),
    workspace: &str,
    body: Bytes,
) -> CallerResult {
    let malformed =
        |cause: CompactString| RefusalResponse::not_run(RefusalReason::RequestMalformed, cause);
    let account = account(workspace, &route.host, &route.prefix);
    let resent = confirm_known(state, caller, workspace, account, &body).await;
    if let Some(accepted) = resent? {
        return Ok(accepted);
    }
    let reservation = state.caller_bytes.open();
    // The submission isn't shed while it is stored; until then nothing of it is.
    if !reservation.resize(body.len() * SUBMISSION_FACTOR) || !reservation.pin() {
        return Err(refuse_shed("submission"));
    }
    let items = (state.format.decode_items)(&body).map_err(malformed)?;
    if items.len() > MAX_SUBMISSION_ITEMS || items.is_empty() {
        return Err(malformed(format_compact!(
            "items: {} submitted, 1 to {MAX_SUBMISSION_ITEMS} allowed",
            items.len()
        )));
    }
    let tokens: u64 = items.iter().map(|item| item.tokens).sum();
    let waiting = state.jobs.waiting_tokens(account);
    if terms.waiting_tokens > 0 && waiting + tokens > terms.waiting_tokens {
        let detail =
            format_compact!("workspace {workspace}: {waiting} tokens waiting, {tokens} submitted");
        return Err(
            RefusalResponse::not_run(RefusalReason::BacklogFull, detail).retry_after(BACKLOG_RETRY)
        );
    }
    let manifest = JobManifest {
        workspace: workspace.into(),
        host: caller.host.clone(),
        path: caller.path().into(),
        prefix: route.prefix.clone(),
        items: items.len(),
        tokens,
        parts: 0,
        input: format_compact!("{}.{:08x}", caller.id, rand::random::<u32>()),
        submitted_ms: wall_ms(),
        digest: submission_digest(&body),
        allowed_regions: Some(route.allowed_regions.clone()),
    };
    let job = SubmittedJob {
        id: caller.id.as_str().into(),
        manifest,
        items,
        reservation,
        arrived: caller.arrived,
        until: (caller.arrived + SUBMIT_LIMIT).min(caller.deadline),
    };
    // A task of its own, since this one ends when the caller disconnects: the job may be stored by then.
    let storing = tokio::spawn(store_job(state.clone(), job));
    let stored = tokio::select! {
        stored = storing => stored,
        () = wait_for_last_answer(state) => {
            let detail = "VM ends before the job is stored";
            return Err(RefusalResponse::unknown(RefusalReason::JobUnsettled, detail));
        }
    };
    stored.unwrap_or_else(|error| {
        let cause = error.to_string();
        Err(RefusalResponse::unknown(RefusalReason::JobUnsettled, cause))
    })
}

/// Returns the digest by which submissions with the same id are compared.
pub(crate) fn submission_digest(body: &Bytes) -> u64 {
    hash_name(&String::from_utf8_lossy(body))
}

/// A job that passed the checks of its submission.
struct SubmittedJob {
    id: JobId,
    manifest: JobManifest,
    items: Vec<JobItem>,
    reservation: ByteReservation,
    arrived: Instant,
    until: Instant, // End of the attempts to store the job.
}

async fn store_job(state: Arc<FleetState>, job: SubmittedJob) -> CallerResult {
    let SubmittedJob {
        id,
        manifest,
        items,
        reservation: _reservation,
        arrived,
        until,
    } = job;
    let limit = usize::try_from(state.settings.value_bytes / PART_DIVISOR).unwrap_or(usize::MAX);
    let parts = split_items(items.clone(), limit);
    let manifest = JobManifest {
        parts: u32::try_from(parts.len()).unwrap_or(u32::MAX),
        ..manifest
    };
    for (index, part) in (0..).zip(&parts) {
        let name = part_object_name(&manifest.input, index);
        let value = serde_json::to_value(part).unwrap_or_default();
        // A part without a manifest has no effect; the job is accepted once its manifest is stored.
        let stored = create_object(&state, INPUT_KIND, &name, &value, until).await;
        stored.map_err(|error| not_stored(&error))?;
    }
    let value = serde_json::to_value(&manifest).unwrap_or_default();
    match create_object(&state, JOB_KIND, &id, &value, until).await {
        Ok(_) => {}
        Err(ServeError::Conflict(..)) => return confirm_stored(&state, &id, &manifest).await,
        Err(error) if error.is_ambiguous() => {
            return Err(RefusalResponse::unknown(
                RefusalReason::JobUnsettled,
                error.to_string(),
            ));
        }
        Err(error) => return Err(not_stored(&error)),
    }
    info!(
        job = id.as_str(),
        workspace = manifest.workspace.as_str(),
        items = manifest.items,
        tokens = manifest.tokens,
        age_ms = millis(arrived.elapsed());
        "job accepted"
    );
    counter!("jobs_accepted_total").increment(1);
    let entry = Arc::new(JobEntry::new(&id, manifest, items, arrived));
    if state.jobs.insert(entry.clone()).is_none() {
        takeover::start_job(&state, entry);
    }
    Ok(accepted(&id))
}

/// Creates an object, with retries until a deadline, and returns its revision. Lost responses do no harm, since an existing object of that
/// name has the same content or is reported as a conflict.
///
/// # Errors
///
/// Returns the last error, or an ambiguous one if any attempt may still take effect.
async fn create_object(
    state: &FleetState,
    kind: &str,
    name: &str,
    value: &Value,
    until: Instant,
) -> Result<Revision, ServeError> {
    let mut ambiguous = None;
    let mut backoff = BACKOFF_MIN;
    loop {
        let remaining = until.saturating_duration_since(Instant::now());
        let writing = state
            .platform
            .put_confirmed(kind, name, Expected::Absent, "", value);
        let error = match timeout(remaining, writing).await {
            Ok(Ok(receipt)) => return Ok(receipt.version),
            Ok(Err(error @ ServeError::Conflict(..))) => return Err(error),
            Ok(Err(error)) => error,
            Err(_) => ServeError::Timeout(
                boragerill::error::Step::PlatformWrite,
                state.platform.base().into(),
            ),
        };
        warn!(kind, name, error = error.to_string().as_str(); "write to the platform failed");
        if error.is_ambiguous() {
            ambiguous = Some(error.clone());
        }
        if Instant::now() + backoff >= until {
            // An earlier attempt may still take effect.
            return Err(ambiguous.unwrap_or(error));
        }
        sleep(backoff).await;
        backoff = (backoff * 2).min(BACKOFF_MAX);
    }
}

fn not_stored(error: &ServeError) -> RefusalResponse {
    RefusalResponse::not_run(RefusalReason::PlatformUnavailable, error.to_string())
        .retry_after(STORE_RETRY)
}

/// Makes the response to the submission of an accepted job.
pub(crate) fn accepted(id: &str) -> CallerResponse {
    local_response(
        202,
        "application/json",
        json!({ "id": id }).to_string().into(),
    )
}

/// Cancels a job for its client: no further items run, and stored results stay readable.
async fn cancel_job(
    state: &Arc<FleetState>,
    caller: &CallerRequest,
    id: &str,
    workspace: &str,
) -> CallerResult {
    job_reads::check_owner(state, id, workspace).await?;
    if !state.is_cancelled(id) {
        stop_job(state, id);
        crate::peers::announce_cancellation(state, id);
        let until = (caller.arrived + SUBMIT_LIMIT).min(caller.deadline);
        // A task of its own, since this one ends when the caller disconnects: the job has stopped already.
        let storing = tokio::spawn(store_cancellation(
            state.clone(),
            id.into(),
            workspace.into(),
        ));
        let stored = tokio::select! {
            stored = timeout_at(until.into(), storing) => stored.is_ok(),
            () = wait_for_last_answer(state) => false,
        };
        if !stored {
            let detail = "the cancellation isn't stored yet";
            return Err(RefusalResponse::unknown(
                RefusalReason::JobUnsettled,
                detail,
            ));
        }
    }
    Ok(local_response(
        200,
        "application/json",
        Bytes::from_static(b"{}"),
    ))
}

/// Stores a cancellation, with retries for [`CANCEL_LIMIT`] whether its caller still waits or not.
async fn store_cancellation(state: Arc<FleetState>, id: JobId, workspace: CompactString) {
    let until = Instant::now() + CANCEL_LIMIT;
    let value = json!({ "workspace": workspace });
    let revision = match create_object(&state, CANCELLATION_KIND, &id, &value, until).await {
        Ok(revision) | Err(ServeError::Conflict(_, _, revision)) => revision,
        Err(error) => {
            warn!(job = id.as_str(), error = error.to_string().as_str(); "storing a cancellation failed");
            return;
        }
    };
    info!(job = id.as_str(), workspace = workspace.as_str(), revision; "job cancelled by its client");
    let cancellation = JobCancellation {
        revision,
        job: id.clone(),
    };
    lock(&state.cancellations).insert(cancellation);
    // This VM may have taken the job over meanwhile.
    stop_job(&state, &id);
}

/// Records cancellations that are complete up to a revision, and stops the jobs that this VM runs.
pub(crate) fn apply_cancellations(
    state: &FleetState,
    cancellations: Vec<JobCancellation>,
    through: Revision,
    source: &str,
) {
    let added = lock(&state.cancellations).apply(cancellations, through);
    for job in added {
        info!(job = job.as_str(), through, source; "job cancellation received");
        stop_job(state, &job);
    }
}

/// Stops the jobs of this VM that are known to be cancelled, whichever way the cancellation took.
pub(crate) fn stop_cancelled_jobs(state: &FleetState) {
    for entry in state.jobs.all() {
        let is_closed = lock(&entry.progress).is_closed();
        if !is_closed && state.is_cancelled(&entry.id) {
            stop_job(state, &entry.id);
        }
    }
}

/// Stops a cancelled job if this VM runs it.
pub(crate) fn stop_job(state: &FleetState, id: &str) {
    if let Some(entry) = state.jobs.find(id) {
        let running = {
            let mut progress = lock(&entry.progress);
            let was_closed = progress.is_closed();
            progress.cancel();
            (!was_closed).then(|| progress.unfinished().count())
        };
        if let Some(unfinished) = running {
            info!(job = id, unfinished; "cancelled job stopped");
        }
        entry.changed.notify_waiters();
        entry.ended.notify_waiters();
        state.jobs.work.notify_one();
    }
}
