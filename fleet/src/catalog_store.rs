//! The configuration in force, and its text for other VMs.

use std::{
    io::{
        Read,
        Write, //
    },
    sync::{
        Arc,
        Mutex,
        OnceLock, //
    },
    time::Instant,
};

use arc_swap::ArcSwapOption;
use boragerill::{
    catalog::{
        Catalog,
        CatalogVersion, //
    },
    error::{
        ServeError,
        Step, //
    },
    sync::lock,
    timer::millis,
};
use bytes::Bytes;
use compact_str::{
    CompactString,
    ToCompactString, //
};
use flate2::{
    read::ZlibDecoder,
    write::ZlibEncoder,
    Compression, //
};
use log::{
    info,
    warn, //
};
use metrics::{
    counter,
    gauge,
    histogram, //
};
use serde_json::Value;
use tokio::sync::watch;

use crate::{
    state::{
        workspace_rate,
        FleetState, //
    },
    state_fetch::FetchedState,
};

/// Largest configuration that is accepted from another VM, in bytes; the platform's objects are smaller.
const MAX_SPEC_BYTES: u64 = 16 * 1024 * 1024;

/// The configuration in force.
#[derive(Debug)]
pub(crate) struct CatalogStore {
    current: ArcSwapOption<Catalog>,
    raw: ArcSwapOption<RawCatalog>,
    version: watch::Sender<CatalogVersion>,
    applying: Mutex<()>,
}

/// A configuration as the platform keeps it.
#[derive(Debug)]
pub(crate) struct RawCatalog {
    /// Version of the configuration.
    pub(crate) version: CatalogVersion,
    /// JSON text.
    pub(crate) spec: Bytes,
    packed: OnceLock<Bytes>,
}

impl RawCatalog {
    /// Returns the compressed text.
    pub(crate) fn packed(&self) -> Bytes {
        self.packed.get_or_init(|| pack(&self.spec)).clone()
    }
}

impl Default for CatalogStore {
    fn default() -> CatalogStore {
        CatalogStore {
            current: ArcSwapOption::empty(),
            raw: ArcSwapOption::empty(),
            version: watch::channel(0).0,
            applying: Mutex::new(()),
        }
    }
}

impl CatalogStore {
    /// Returns the configuration in force.
    pub(crate) fn load(&self) -> Option<Arc<Catalog>> {
        self.current.load_full()
    }

    /// Returns the configuration as the platform keeps it.
    pub(crate) fn raw(&self) -> Option<Arc<RawCatalog>> {
        self.raw.load_full()
    }

    /// Returns the version in force; zero when there is none.
    pub(crate) fn version(&self) -> CatalogVersion {
        *self.version.borrow()
    }

    /// Puts a configuration in force unless the current one is as new, and returns whether it did.
    fn apply(&self, catalog: Catalog, spec: Bytes) -> bool {
        let _applying = lock(&self.applying);
        let version = catalog.version();
        if version <= self.version() {
            return false;
        }
        gauge!("catalog_version").set(version as f64);
        let raw = RawCatalog {
            version,
            spec,
            packed: OnceLock::new(),
        };
        self.raw.store(Some(Arc::new(raw)));
        self.current.store(Some(Arc::new(catalog)));
        self.version.send_replace(version);
        true
    }
}

/// Puts a configuration from another VM in force if it is newer than the current one.
///
/// # Errors
///
/// Returns `ServeError::Malformed` when the text is no JSON.
pub(crate) fn apply_catalog_text(
    state: &FleetState,
    spec: Bytes,
    source: &str,
) -> Result<(), ServeError> {
    let value: Value = serde_json::from_slice(&spec).map_err(|error| malformed(source, &error))?;
    apply_catalog(state, &value, spec, source);
    Ok(())
}

/// Puts a configuration in force if it is newer than the current one; `spec` is its text.
pub(crate) fn apply_catalog(state: &FleetState, value: &Value, spec: Bytes, source: &str) {
    let catalog = match (state.format.decode_catalog)(value) {
        Ok(catalog) => catalog,
        Err(cause) => {
            counter!("catalogs_refused_total").increment(1);
            warn!(source, cause = cause.as_str(); "invalid configuration");
            return;
        }
    };
    let rates: Vec<_> = catalog.workspaces().iter().map(workspace_rate).collect();
    let services = catalog.services().to_vec();
    let (version, routes) = (catalog.version(), catalog.routes().len());
    let before = state.catalog.version();
    if !state.catalog.apply(catalog, spec) {
        return;
    }
    state.limits.set_services(&services);
    let now = Instant::now();
    let behind = state.fetches.behind_since(FetchedState::Catalog);
    let behind = behind.map_or_else(Default::default, |since| {
        now.saturating_duration_since(since)
    });
    histogram!("catalog_behind_seconds").record(behind.as_secs_f64());
    info!(version, routes, before, source, behind_ms = millis(behind); "configuration in force");
    state.fetches.record_own(FetchedState::Catalog, version);
    let view = state.fleet_view(now);
    lock(&state.rate_limiter).ensure_buckets(&rates, view, now);
    state.backends.changed.notify_one();
    state.jobs.work.notify_one();
}

/// Compresses a text. The fastest level, since the text is sent once to few VMs.
fn pack(text: &[u8]) -> Bytes {
    let mut encoder = ZlibEncoder::new(Vec::new(), Compression::fast());
    // Writing to a vector doesn't fail.
    let packed = encoder.write_all(text).and_then(|()| encoder.finish());
    packed.unwrap_or_default().into()
}

/// Decompresses a text that another VM has sent.
///
/// # Errors
///
/// Returns `ServeError::Malformed` when the bytes are no compressed text or the text is too long.
pub(crate) fn unpack(packed: &[u8], peer: &str) -> Result<Bytes, ServeError> {
    let mut text = Vec::new();
    let mut decoder = ZlibDecoder::new(packed).take(MAX_SPEC_BYTES + 1);
    decoder
        .read_to_end(&mut text)
        .map_err(|error| malformed(peer, &error))?;
    if text.len() as u64 > MAX_SPEC_BYTES {
        let cause = CompactString::const_new("configuration too large");
        return Err(ServeError::Malformed(Step::Receive, peer.into(), cause));
    }
    Ok(text.into())
}

fn malformed(peer: &str, error: &impl std::fmt::Display) -> ServeError {
    ServeError::Malformed(Step::Receive, peer.into(), error.to_compact_string())
}
