//! Keeps the quarantined prompts in the platform's store, so that they outlive the processes of all VMs.

use std::{
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use boragerill::{
    api::{
        Expected,
        PlatformObject, //
    },
    error::{
        ServeError,
        Step, //
    },
    prompt::PartKey,
    quarantine::QuarantineEntry,
    timer::millis, //
};
use compact_str::{
    format_compact,
    CompactString,
    ToCompactString, //
};
use log::{
    info,
    warn, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use serde_json::Value;
use tokio::time::sleep;

use crate::{
    quarantine::QuarantineNews,
    state::{
        wall_ms,
        FleetState, //
    }, //
};

/// Kind of the object that holds the quarantined prompts.
const QUARANTINE_KIND: &str = "prompt-quarantines";

/// Name of this object.
const QUARANTINE_NAME: &str = "main";

/// First back-off before a failed call is repeated; doubles up to `BACKOFF_MAX`.
const BACKOFF_MIN: Duration = Duration::from_millis(200);

/// Longest back-off before a failed call is repeated.
const BACKOFF_MAX: Duration = Duration::from_secs(3);

/// Content of the object.
#[derive(Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
struct StoredQuarantine {
    #[serde(default)]
    entries: Vec<StoredEntry>,
}

/// Parts that are quarantined together; times are in milliseconds since the Unix epoch.
#[derive(Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
struct StoredEntry {
    /// Keys of the parts, as hexadecimal numbers.
    parts: Vec<CompactString>,
    crashes: u32,
    first_crash_ms: u64,
    last_crash_ms: u64,
    last_trial_ms: Option<u64>,
}

/// Loads the quarantined prompts if the fleet has run before, and stores them whenever this VM changes them, until
/// the process ends.
pub(crate) async fn keep_stored(state: Arc<FleetState>) {
    if !state.settings.first_start {
        load_until_known(&state).await;
    }
    loop {
        state.quarantine.unstored.notified().await;
        let mut backoff = BACKOFF_MIN;
        while let Err(error) = store(&state).await {
            backoff = pause("storing quarantined prompts failed", &error, backoff).await;
        }
    }
}

async fn load_until_known(state: &FleetState) {
    let mut backoff = BACKOFF_MIN;
    while let Err(error) = load(state).await {
        backoff = pause("loading quarantined prompts failed", &error, backoff).await;
    }
}

/// Logs an error and waits; returns the next back-off.
async fn pause(event: &'static str, error: &ServeError, backoff: Duration) -> Duration {
    warn!(error = error.to_string().as_str(), pause_ms = millis(backoff); "{event}");
    sleep(backoff).await;
    (backoff * 2).min(BACKOFF_MAX)
}

/// Reads the stored quarantines into the registry; returns what the object holds and its version.
async fn load(state: &FleetState) -> Result<(StoredQuarantine, Expected), ServeError> {
    let object = match state.platform.get(QUARANTINE_KIND, QUARANTINE_NAME).await {
        Ok(object) => object,
        Err(ServeError::Missing(..)) => {
            return Ok((StoredQuarantine::default(), Expected::Absent));
        }
        Err(error) => return Err(error),
    };
    let stored = decode(&object, state.platform.base())?;
    let now = Instant::now();
    let entries: Vec<QuarantineEntry> = stored
        .entries
        .iter()
        .map(|entry| read_entry(entry, now))
        .collect();
    state.quarantine.record_news(QuarantineNews {
        entries,
        ..Default::default()
    });
    Ok((stored, Expected::At(object.version)))
}

fn decode(object: &PlatformObject, peer: &str) -> Result<StoredQuarantine, ServeError> {
    serde_json::from_value(object.spec.clone()).map_err(|error| {
        ServeError::Malformed(Step::PlatformRead, peer.into(), error.to_compact_string())
    })
}

/// Stores the quarantines, merged with those that other VMs have stored.
async fn store(state: &FleetState) -> Result<(), ServeError> {
    let (stored, expected) = load(state).await?;
    let (now, wall) = (Instant::now(), wall_ms());
    let entries = state.quarantine.entries();
    let entries = entries.iter().map(|entry| write_entry(entry, now, wall));
    let quarantine = StoredQuarantine {
        entries: entries.collect(),
    };
    if quarantine == stored {
        return Ok(());
    }
    let spec = serde_json::to_value(&quarantine).unwrap_or(Value::Null);
    let written = state
        .platform
        .put(QUARANTINE_KIND, QUARANTINE_NAME, expected, "", &spec)
        .await?;
    info!(entries = quarantine.entries.len(), revision = written.version; "quarantined prompts stored");
    Ok(())
}

fn write_entry(entry: &QuarantineEntry, now: Instant, wall: u64) -> StoredEntry {
    let at = |time: Instant| wall.saturating_sub(millis(now.saturating_duration_since(time)));
    StoredEntry {
        parts: entry
            .parts
            .iter()
            .map(|part| format_compact!("{part:x}"))
            .collect(),
        crashes: entry.crashes,
        first_crash_ms: at(entry.first_crash),
        last_crash_ms: at(entry.last_crash),
        last_trial_ms: entry.last_trial.map(at),
    }
}

/// Converts a stored entry; a time in the future, by this VM's clock, counts as now.
fn read_entry(entry: &StoredEntry, now: Instant) -> QuarantineEntry {
    let wall = wall_ms();
    let at = |time_ms: u64| {
        let age = Duration::from_millis(wall.saturating_sub(time_ms));
        now.checked_sub(age).unwrap_or(now)
    };
    let parts = entry.parts.iter();
    let parts = parts.filter_map(|part| PartKey::from_str_radix(part, 16).ok());
    let mut parts: Vec<PartKey> = parts.collect();
    parts.sort_unstable();
    QuarantineEntry {
        parts,
        crashes: entry.crashes,
        first_crash: at(entry.first_crash_ms),
        last_crash: at(entry.last_crash_ms),
        last_trial: entry.last_trial_ms.map(at),
    }
}
