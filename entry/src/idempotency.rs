//! Records of idempotency keys: a resend to another VM finds the first run and doesn't run again.

use std::time::Duration;

use boragerill::{
    error::ServeError,
    keys::{
        hash_key,
        to_hex, //
    },
    platform::{
        Expected,
        PlatformClient, //
    },
    refusal::{
        RefusalReason,
        RefusalResponse, //
    }, //
};
use bytes::Bytes;
use compact_str::CompactString;
use log::warn;
use serde::{
    Deserialize,
    Serialize, //
};

/// Kind of the record objects.
const RECORD_KIND: &str = "idempotency";

/// Largest answer that a record keeps, in bytes.
const MAX_RECORDED_BYTES: usize = 256 * 1024;

/// When a caller may ask for the first run's answer again.
const RECORD_RETRY_AFTER: Duration = Duration::from_secs(1);

/// What is kept of a run.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
struct RunRecord {
    /// Hash of the request, so that the key can't be used for another one.
    request: CompactString,
    /// Id of the run.
    run: CompactString,
    /// Status of the answer; zero while none is recorded.
    status: u16,
    /// Content type of the answer.
    content_type: CompactString,
    /// Answer.
    body: String,
}

/// A whole answer of a recorded run.
#[derive(Clone, Debug)]
pub(crate) struct RecordedResponse {
    /// HTTP status.
    pub(crate) status: u16,
    /// Content type.
    pub(crate) content_type: CompactString,
    /// Body.
    pub(crate) body: Bytes,
}

/// What a record says before a run.
pub(crate) enum RecordLookup {
    /// This request is the first; it may run once.
    Created(RecordHandle),
    /// The request has run, and this was its answer.
    Completed(RecordedResponse),
}

/// A record that this request created.
pub(crate) struct RecordHandle {
    platform: PlatformClient,
    name: CompactString,
    version: u64,
    record: RunRecord,
}

/// Creates the record of a request, or finds that of its first run.
///
/// # Errors
///
/// Returns the refusal when nothing could be recorded, the first run hasn't ended, or the key belongs
/// to another request.
pub(crate) async fn create_or_find(
    platform: &PlatformClient,
    workspace: &str,
    key: &str,
    request: &[&[u8]],
    run: &str,
) -> Result<RecordLookup, RefusalResponse> {
    let name = CompactString::from(to_hex(&hash_key(&format!("{workspace}\n{key}"))));
    let digest = to_hex(&hash_key(&String::from_utf8_lossy(&request.join(&b'\n'))));
    let record = RunRecord {
        request: digest.into(),
        run: run.into(),
        status: 0,
        content_type: CompactString::default(),
        body: String::new(),
    };
    let value = serde_json::to_value(&record).unwrap_or_default();
    match platform
        .put_settled(RECORD_KIND, &name, Expected::Absent, "", &value)
        .await
    {
        Ok(receipt) => {
            let platform = platform.clone();
            Ok(RecordLookup::Created(RecordHandle {
                platform,
                name,
                version: receipt.version,
                record,
            }))
        }
        Err(ServeError::Conflict(..)) => find_existing(platform, &name, &record).await,
        Err(error) => Err(platform_refusal(&error)),
    }
}

async fn find_existing(
    platform: &PlatformClient,
    name: &str,
    own: &RunRecord,
) -> Result<RecordLookup, RefusalResponse> {
    let object = platform
        .get(RECORD_KIND, name)
        .await
        .map_err(|error| platform_refusal(&error))?;
    let first: RunRecord = serde_json::from_value(object.spec).map_err(|_| {
        RefusalResponse::not_run(
            RefusalReason::RunUnknown,
            "record of the first run can't be read",
        )
    })?;
    if first.request != own.request {
        let detail = "idempotency-key belongs to another request";
        return Err(RefusalResponse::not_run(
            RefusalReason::RequestMalformed,
            detail,
        ));
    }
    if first.status == 0 {
        // The resend itself doesn't run, but the request may have.
        let answer = RefusalResponse::unknown(
            RefusalReason::RunUnknown,
            "the first run has recorded no answer",
        );
        return Err(answer.retry_after(RECORD_RETRY_AFTER));
    }
    let answer = RecordedResponse {
        status: first.status,
        content_type: first.content_type,
        body: first.body.into(),
    };
    Ok(RecordLookup::Completed(answer))
}

fn platform_refusal(error: &ServeError) -> RefusalResponse {
    let answer = RefusalResponse::not_run(RefusalReason::PlatformUnavailable, error.to_string());
    answer.retry_after(RECORD_RETRY_AFTER)
}

impl RecordHandle {
    /// Records the answer; without one, resends are told that the outcome is unknown.
    pub(crate) async fn store_response(mut self, answer: &RecordedResponse) {
        let text = String::from_utf8(answer.body.to_vec())
            .ok()
            .filter(|text| text.len() <= MAX_RECORDED_BYTES);
        let Some(text) = text else {
            return;
        };
        self.record.status = answer.status;
        self.record.content_type = answer.content_type.clone();
        self.record.body = text;
        let value = serde_json::to_value(&self.record).unwrap_or_default();
        let written = self
            .platform
            .put_settled(
                RECORD_KIND,
                &self.name,
                Expected::At(self.version),
                "",
                &value,
            )
            .await;
        if let Err(error) = written {
            warn!("answer of run {} not recorded: {error}", self.record.run);
        }
    }

    /// Removes the record of a run that sent nothing, so that a resend may run.
    pub(crate) async fn remove(self) {
        let deleted = self
            .platform
            .delete(RECORD_KIND, &self.name, Expected::At(self.version))
            .await;
        if let Err(error) = deleted {
            warn!("record of run {} not withdrawn: {error}", self.record.run);
        }
    }
}
