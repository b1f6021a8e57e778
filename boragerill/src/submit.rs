//! Accepts batch jobs: all items are durable in the platform before the job exists.
//!
//! Each submission writes its chunks under its own name and then creates the job object. A job name exists
//! at most once: a repeated submission of the same content finds the first job and deletes its own chunks.

use compact_str::{
    format_compact,
    CompactString, //
};
use log::warn;
use serde_json::{
    json,
    Value, //
};
use sha2::{
    Digest,
    Sha256, //
};

use crate::{
    batch::{
        chunk_name,
        object_prefix,
        BatchItem,
        OutcomeCounts,
        INPUT_KIND,
        MAX_CHUNK_BYTES,
        MAX_CHUNK_ITEMS,
        MAX_SMALL_CHUNK_ITEMS, //
        RESULT_KIND,
        SMALL_CHUNKS,
    },
    error::{
        ServeError,
        Step, //
    },
    keys::to_hex,
    kinds::{
        self,
        BatchJobSpec, //
    },
    platform::{
        Expected,
        PlatformClient, //
    }, //
};

/// Longest line of a submission, in bytes.
pub const LINE_LIMIT_BYTES: usize = MAX_CHUNK_BYTES;

/// Description of a submitted job.
#[derive(Clone, Debug)]
pub struct JobRequest {
    /// Name chosen by the client.
    pub name: CompactString,
    /// Workspace that the job belongs to.
    pub workspace: CompactString,
    /// Service that runs the items.
    pub service: CompactString,
    /// Path of each item's request.
    pub path: CompactString,
    /// Time from the acceptance to the due time, in seconds.
    pub due_seconds: u64,
}

/// An accepted job.
#[derive(Clone, Debug)]
pub struct JobReceipt {
    /// Number of items.
    pub items: u64,
    /// Whether an earlier submission of the same content was accepted, instead of this one.
    pub found: bool,
}

/// A submission whose items arrive line by line; holds one chunk in memory.
#[derive(Debug)]
pub struct JobSubmission {
    platform: PlatformClient,
    request: JobRequest,
    submission: CompactString,
    chunk: Vec<BatchItem>,
    chunk_bytes: usize,
    chunks: u32,
    items: u64,
    digest: Sha256,
}

impl JobSubmission {
    /// Starts a submission; `draw` is a random number that becomes part of its chunks' names.
    ///
    /// # Errors
    ///
    /// Returns `ServeError::Invalid` when the name is not allowed.
    pub fn new(
        platform: PlatformClient,
        request: JobRequest,
        draw: u64,
    ) -> Result<JobSubmission, ServeError> {
        if !kinds::is_valid_name(&request.name) {
            return Err(invalid(
                "name",
                &format!("{:?} is not a valid name", request.name),
            ));
        }
        Ok(JobSubmission {
            platform,
            request,
            submission: format_compact!("{draw:016x}"),
            chunk: Vec::new(),
            chunk_bytes: 0,
            chunks: 0,
            items: 0,
            digest: Sha256::new(),
        })
    }

    /// Adds the item of one line; ignores blank lines.
    ///
    /// # Errors
    ///
    /// Returns `ServeError::Invalid` with the line's number, counted without blank lines, or the platform's
    /// error.
    pub async fn push_line(&mut self, line: &[u8]) -> Result<(), ServeError> {
        if line.iter().all(u8::is_ascii_whitespace) {
            return Ok(());
        }
        let number = self.items + 1;
        if line.len() > LINE_LIMIT_BYTES {
            return Err(invalid(
                &format!("line {number}"),
                &format!(
                    "{} bytes exceed the limit of {LINE_LIMIT_BYTES}",
                    line.len()
                ),
            ));
        }
        let item: BatchItem = serde_json::from_slice(line)
            .map_err(|error| invalid(&format!("line {number}"), &error.to_string()))?;
        self.digest.update(line);
        self.digest.update(b"\n");
        if self.chunk.len() >= chunk_limit(self.chunks)
            || self.chunk_bytes + line.len() > MAX_CHUNK_BYTES
        {
            self.store_chunk().await?;
        }
        self.items += 1;
        self.chunk_bytes += line.len();
        self.chunk.push(item);
        Ok(())
    }

    /// Stores the remaining items and creates the job; the job is accepted once created.
    ///
    /// # Errors
    ///
    /// Returns `ServeError::Invalid` for a submission without items, `ServeError::Conflict` when the name
    /// belongs to a job with other content, or the platform's error. After an error the job is not
    /// accepted, unless the error is ambiguous.
    pub async fn finish(mut self) -> Result<JobReceipt, ServeError> {
        if self.items == 0 {
            return Err(invalid("items", "the submission contains no items"));
        }
        if !self.chunk.is_empty() {
            self.store_chunk().await?;
        }
        let spec = self.spec();
        let value = serde_json::to_value(&spec).unwrap_or_default();
        let name = self.request.name.clone();
        let created = self
            .platform
            .put_confirmed("batchjob", &name, Expected::Absent, "", &value)
            .await;
        match created {
            Ok(_) => Ok(JobReceipt {
                items: self.items,
                found: false,
            }),
            Err(ServeError::Conflict(step, peer, version)) => {
                let receipt = self.compare_with_first(&spec).await?;
                self.delete_chunks().await;
                receipt.ok_or(ServeError::Conflict(step, peer, version))
            }
            Err(error) => Err(error),
        }
    }

    async fn compare_with_first(
        &self,
        spec: &BatchJobSpec,
    ) -> Result<Option<JobReceipt>, ServeError> {
        let first = self.platform.get("batchjob", &self.request.name).await?;
        let Ok(known) = serde_json::from_value::<BatchJobSpec>(first.spec) else {
            return Ok(None);
        };
        let identity = |spec: &BatchJobSpec| {
            (
                spec.digest.clone(),
                spec.workspace.clone(),
                spec.service.clone(),
                spec.path.clone(),
            )
        };
        let same = identity(&known) == identity(spec);
        Ok(same.then_some(JobReceipt {
            items: known.items,
            found: true,
        }))
    }

    fn spec(&self) -> BatchJobSpec {
        BatchJobSpec {
            workspace: self.request.workspace.to_string(),
            service: self.request.service.to_string(),
            path: self.request.path.to_string(),
            submission: self.submission.to_string(),
            items: self.items,
            chunks: self.chunks,
            digest: to_hex(&self.digest.clone().finalize()),
            due_seconds: self.request.due_seconds,
            cancelled: false,
        }
    }

    async fn store_chunk(&mut self) -> Result<(), ServeError> {
        let name = chunk_name(&self.request.name, &self.submission, self.chunks);
        let items = std::mem::take(&mut self.chunk);
        let value = json!({ "items": items });
        self.platform
            .put_confirmed(INPUT_KIND, &name, Expected::Absent, "", &value)
            .await?;
        self.chunks += 1;
        self.chunk_bytes = 0;
        Ok(())
    }

    /// Deletes this submission's chunks after another submission was accepted.
    async fn delete_chunks(&self) {
        for index in 0..self.chunks {
            let name = chunk_name(&self.request.name, &self.submission, index);
            if let Err(error) = self.platform.delete(INPUT_KIND, &name, Expected::Any).await {
                warn!("{name}: chunk of a repeated submission not deleted: {error}");
            }
        }
    }
}

/// Progress of a job according to its result objects.
#[derive(Clone, Copy, Debug, Default)]
pub struct JobProgress {
    /// Number of chunks whose results are stored.
    pub chunks: u32,
    /// Results by outcome.
    pub counts: OutcomeCounts,
}

/// Reads the progress of a job and the sorted indices of the chunks whose results are stored.
///
/// # Errors
///
/// Returns the platform's error.
pub async fn read_progress(
    platform: &PlatformClient,
    job: &str,
    submission: &str,
) -> Result<(JobProgress, Vec<u32>), ServeError> {
    let objects = platform
        .list_names(RESULT_KIND, &object_prefix(job, submission))
        .await?;
    let mut progress = JobProgress::default();
    let mut done = Vec::new();
    for object in &objects {
        progress.chunks += 1;
        progress.counts = progress
            .counts
            .plus(OutcomeCounts::parse_label(&object.label).unwrap_or_default());
        done.extend(crate::batch::parse_chunk_index(&object.name));
    }
    done.sort_unstable();
    Ok((progress, done))
}

/// Returns the status of a job as the API reports it to operators and callers.
pub fn status_value(spec: &BatchJobSpec, progress: JobProgress) -> Value {
    let state = match (progress.chunks == spec.chunks, spec.cancelled) {
        (true, true) => "cancelled",
        (true, false) => "complete",
        (false, true) => "cancelling",
        (false, false) => "running",
    };
    json!({
        "state": state,
        "items": spec.items,
        "done": progress.counts.total(),
        "answered": progress.counts.answered,
        "failed": progress.counts.failed,
        "cancelled": progress.counts.cancelled,
        "unknown": progress.counts.unknown,
    })
}

/// Returns the most items of a chunk. A job's first chunks are small, so that even a small job is spread over
/// many VMs.
fn chunk_limit(index: u32) -> usize {
    if index < SMALL_CHUNKS {
        MAX_SMALL_CHUNK_ITEMS
    } else {
        MAX_CHUNK_ITEMS
    }
}

fn invalid(field: &str, cause: &str) -> ServeError {
    ServeError::Invalid(
        Step::Validate,
        "submission".into(),
        field.into(),
        cause.into(),
    )
}
