//! Keeps the versions that the servers of each service had lately in the platform's store, so that it is known after
//! the loss of all VMs which versions can have begun a stream.

use std::{
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use boragerill::{
    api::Expected,
    error::{
        ServeError,
        Step, //
    },
    rank::hash_name,
    stream_version::{
        self,
        SeenVersion,
        VersionHistory,
        STREAM_LIFETIME, //
    },
    sync::lock,
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
use tokio::time::{
    sleep,
    timeout, //
};

use crate::{
    state::{
        wall_ms,
        FleetState, //
    },
    state_fetch::has_confirmed_servers,
};

/// Kind of the object that holds the versions.
const VERSION_KIND: &str = "server-versions";

/// Name of this object.
const VERSION_NAME: &str = "main";

/// Name by which the VMs are ranked for writing the object.
const VERSION_TASK: &str = "server-versions";

/// Back-off before a failed call is repeated.
const BACKOFF: Duration = Duration::from_millis(400);

/// Time after the start within which a VM knows the others, of which only the first ranked one writes.
const JOIN_TIME: Duration = Duration::from_secs(1);

/// Interval at which a VM checks whether the object has to be written although no version has come or gone: the VM
/// that had to write it may be gone.
const CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Largest difference between the VMs' times of day that is allowed for.
const CLOCK_MARGIN: Duration = Duration::from_secs(5);

/// Key of a version, and whether its last server has left.
type VersionFlag = (CompactString, bool);

/// Content of the object.
#[derive(Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
struct StoredVersions {
    #[serde(default)]
    versions: Vec<StoredVersion>,
}

/// A version of a service.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
struct StoredVersion {
    /// Hash of the service's name, as a hexadecimal number.
    service: CompactString,
    /// Hash of the service and the version, as a hexadecimal number.
    version: CompactString,
    /// When its last server left, in milliseconds since the Unix epoch; absent while one is registered.
    gone_ms: Option<u64>,
    /// When it was first stored as registered, in milliseconds since the Unix epoch; 0 if an older build stored it.
    #[serde(default)]
    since_ms: u64,
}

/// Loads the versions if the fleet has run before, and stores them whenever one comes or goes, until the process ends.
pub(crate) async fn keep_stored(state: Arc<FleetState>) {
    if state.settings.first_start {
        let begin = |history: &mut VersionHistory| history.begin_fleet(Instant::now());
        state.backends.update_versions(begin);
    } else {
        while let Err(error) = load(&state).await.map(|(stored, _)| adopt(&state, &stored)) {
            pause("loading versions of servers failed", &error).await;
        }
    }
    sleep(JOIN_TIME).await;
    let mut last_stored = Vec::new();
    loop {
        // A timeout starts the next check without a signal. The VMs don't read all at once after a change.
        let interval = CHECK_INTERVAL.mul_f64(0.5 + rand::random::<f64>());
        let _ = timeout(interval, state.backends.versions_changed.notified()).await;
        if let Err(error) = store(&state, &mut last_stored).await {
            pause("storing versions of servers failed", &error).await;
            state.backends.versions_changed.notify_one();
        }
        if let Err(error) = check_stored(&state).await {
            warn!(error = error.to_string().as_str(); "reading versions of servers failed");
        }
    }
}

async fn pause(event: &'static str, error: &ServeError) {
    warn!(error = error.to_string().as_str(), pause_ms = millis(BACKOFF); "{event}");
    sleep(BACKOFF).await;
}

/// Reads the object; returns its content and version.
async fn load(state: &FleetState) -> Result<(StoredVersions, Expected), ServeError> {
    let object = match state.platform.get(VERSION_KIND, VERSION_NAME).await {
        Ok(object) => object,
        Err(ServeError::Missing(..)) => {
            return Ok((StoredVersions::default(), Expected::Absent));
        }
        Err(error) => return Err(error),
    };
    let stored = serde_json::from_value(object.spec.clone()).map_err(|error| {
        let peer = state.platform.base().into();
        ServeError::Malformed(Step::PlatformRead, peer, error.to_compact_string())
    })?;
    Ok((stored, Expected::At(object.version)))
}

/// Reads whether the store names the versions that all VMs have seen.
async fn check_stored(state: &FleetState) -> Result<(), ServeError> {
    let now = Instant::now();
    let versions = &state.backends;
    if versions.read_versions(|history| history.has_unstored(now)) {
        let (stored, _) = load(state).await?;
        adopt(state, &stored);
    }
    Ok(())
}

/// Adds the stored versions to this VM's history.
fn adopt(state: &FleetState, stored: &StoredVersions) {
    let (now, wall) = (Instant::now(), wall_ms());
    let versions = stored.versions.iter();
    let adopted = versions.filter_map(|version| {
        let stored_for = Duration::from_millis(wall.saturating_sub(version.since_ms));
        let seen = seen_version(version, now, wall)?;
        Some(stream_version::StoredVersion {
            seen,
            stored_for: stored_for.saturating_sub(CLOCK_MARGIN),
        })
    });
    let adopted = adopted.collect();
    state
        .backends
        .update_versions(|history| history.adopt(adopted, now));
}

/// Converts a stored version; returns `None` if it left too long ago or isn't valid.
fn seen_version(stored: &StoredVersion, now: Instant, wall: u64) -> Option<SeenVersion> {
    let gone_for = stored.gone_ms.map_or(Duration::ZERO, |gone| {
        Duration::from_millis(wall.saturating_sub(gone)).saturating_sub(CLOCK_MARGIN)
    });
    if gone_for >= STREAM_LIFETIME {
        return None;
    }
    Some(SeenVersion {
        service: u64::from_str_radix(&stored.service, 16).ok()?,
        version: u64::from_str_radix(&stored.version, 16).ok()?,
        last_seen: now.checked_sub(gone_for).unwrap_or(now),
        registered: stored.gone_ms.is_none(),
    })
}

/// Stores the versions if this VM ranks first and they differ from those last stored.
async fn store(state: &FleetState, last_stored: &mut Vec<VersionFlag>) -> Result<(), ServeError> {
    let now = Instant::now();
    // A VM that is behind would remove versions that it doesn't know, or state that they have left.
    if !has_confirmed_servers(state, now)
        || lock(&state.members).own_rank(hash_name(VERSION_TASK), now) > 0
    {
        return Ok(());
    }
    let flags = version_flags(&stored_versions(state, &StoredVersions::default(), now));
    if flags.is_empty() || *last_stored == flags {
        return Ok(());
    }
    let (stored, expected) = load(state).await?;
    // Versions that this VM hasn't seen may have been stored by another one.
    adopt(state, &stored);
    let known = stored_versions(state, &stored, now);
    let flags = version_flags(&known);
    if version_flags(&stored) != flags {
        let spec = serde_json::to_value(&known).unwrap_or(Value::Null);
        let written = state
            .platform
            .put(VERSION_KIND, VERSION_NAME, expected, "", &spec)
            .await?;
        info!(versions = known.versions.len(), revision = written.version; "versions of servers stored");
        adopt(state, &known);
    }
    *last_stored = flags;
    Ok(())
}

/// Returns the versions that this VM knows, as they are stored; `stored` are those that were stored before.
fn stored_versions(state: &FleetState, stored: &StoredVersions, now: Instant) -> StoredVersions {
    let wall = wall_ms();
    let stored_version = |seen: &SeenVersion| {
        let gone_for = millis(now.saturating_duration_since(seen.last_seen));
        let version = format_compact!("{:x}", seen.version);
        let mut before = stored.versions.iter();
        let before = before.find(|before| before.version == version && before.gone_ms.is_none());
        StoredVersion {
            service: format_compact!("{:x}", seen.service),
            gone_ms: (!seen.registered).then(|| wall.saturating_sub(gone_for)),
            since_ms: before.map_or(wall, |before| before.since_ms),
            version,
        }
    };
    let versions = |history: &VersionHistory| history.storable(now).map(stored_version).collect();
    StoredVersions {
        versions: state.backends.read_versions(versions),
    }
}

/// Returns what has to differ for the object to be written again: the versions, and which of them have gone.
fn version_flags(stored: &StoredVersions) -> Vec<VersionFlag> {
    let versions = stored.versions.iter();
    versions
        .map(|version| (version.version.clone(), version.gone_ms.is_some()))
        .collect()
}
