//! Idempotency records on the platform. A request that is resent with the same idempotency key, also to
//! another VM, finds the record of its first run and isn't run again.

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

/// Kind of the platform objects that hold idempotency records.
const RECORD_KIND: &str = "idempotency";

/// Largest response body that a record stores, in bytes.
const MAX_RECORDED_BYTES: usize = 256 * 1024;

/// `Retry-After` of a refusal while the first run has no recorded response or the platform is unavailable.
const RECORD_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Stored form of a run.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
struct RunRecord {
    /// Hash of the request, which detects a key that is reused for a different request.
    request: CompactString,
    /// Id of the request that created the record.
    run: CompactString,
    /// HTTP status of the response; zero while no response is recorded.
    status: u16,
    /// Content type of the response.
    content_type: CompactString,
    /// Body of the response.
    body: String,
}

/// The complete response of a run.
#[derive(Clone, Debug)]
pub(crate) struct RecordedResponse {
    /// HTTP status.
    pub(crate) status: u16,
    /// Content type.
    pub(crate) content_type: CompactString,
    /// Body.
    pub(crate) body: Bytes,
}

/// Result of looking up an idempotency key before a run.
pub(crate) enum RecordLookup {
    /// No record existed and one was created; the request may run once.
    Created(RecordHandle),
    /// The request has already run, with this response.
    Completed(RecordedResponse),
}

/// A record that the current request created.
pub(crate) struct RecordHandle {
    platform: PlatformClient,
    name: CompactString,
    version: u64,
    record: RunRecord,
}

/// Creates the record of a request, or returns the recorded response of its first run.
///
/// `request` holds the parts of the request that are hashed, `run` the request's id.
///
/// # Errors
///
/// Returns a refusal if the platform can't be reached, the first run has no recorded response, or the
/// key was used for a different request.
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
        .put_confirmed(RECORD_KIND, &name, Expected::Absent, "", &value)
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
            "idempotency record of the first run can't be parsed",
        )
    })?;
    if first.request != own.request {
        let detail = "idempotency-key was used for a different request";
        return Err(RefusalResponse::not_run(
            RefusalReason::RequestMalformed,
            detail,
        ));
    }
    if first.status == 0 {
        // The resend isn't run, but the first run may have reached a backend server.
        let refusal = RefusalResponse::unknown(
            RefusalReason::RunUnknown,
            "no response is recorded for the first run",
        );
        return Err(refusal.retry_after(RECORD_RETRY_AFTER));
    }
    let response = RecordedResponse {
        status: first.status,
        content_type: first.content_type,
        body: first.body.into(),
    };
    Ok(RecordLookup::Completed(response))
}

fn platform_refusal(error: &ServeError) -> RefusalResponse {
    let refusal = RefusalResponse::not_run(RefusalReason::PlatformUnavailable, error.to_string());
    refusal.retry_after(RECORD_RETRY_AFTER)
}

impl RecordHandle {
    /// Stores the response in the record, unless its body is too large or isn't UTF-8.
    ///
    /// While a record has no response, resends are refused with an unknown outcome.
    pub(crate) async fn store_response(mut self, response: &RecordedResponse) {
        let text = String::from_utf8(response.body.to_vec())
            .ok()
            .filter(|text| text.len() <= MAX_RECORDED_BYTES);
        let Some(text) = text else {
            return;
        };
        self.record.status = response.status;
        self.record.content_type = response.content_type.clone();
        self.record.body = text;
        let value = serde_json::to_value(&self.record).unwrap_or_default();
        let written = self
            .platform
            .put_confirmed(
                RECORD_KIND,
                &self.name,
                Expected::At(self.version),
                "",
                &value,
            )
            .await;
        if let Err(error) = written {
            warn!(
                "failed to record the response of run {}: {error}",
                self.record.run
            );
        }
    }

    /// Removes the record, so that a resend may run. Only for requests of which no byte was sent to a
    /// backend server.
    pub(crate) async fn remove(self) {
        let deleted = self
            .platform
            .delete(RECORD_KIND, &self.name, Expected::At(self.version))
            .await;
        if let Err(error) = deleted {
            warn!(
                "failed to remove the idempotency record of run {}: {error}",
                self.record.run
            );
        }
    }
}
