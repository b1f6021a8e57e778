//! Watches the platform's configuration, and lists the configuration where watch events are missing.

use std::{
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use boragerill::{
    config::{
        ConfigTable,
        Version,
        WATCHED_KINDS, //
    },
    error::ServeError,
    generated::messages::ConfigDelta, //
};
use log::{
    info,
    warn, //
};
use metrics::counter;
use tokio::{
    sync::mpsc,
    time::sleep, //
};

use crate::{
    hub::{
        config_object,
        ControlHub, //
    },
    status::StatusRequest, //
};

/// Time that a starting process waits for a peer to send the configuration.
const PEER_CONFIG_WAIT: Duration = Duration::from_millis(500);

/// Backoff after the first failed call; doubles with each further failure.
const BACKOFF_FIRST: Duration = Duration::from_millis(100);

/// Maximum backoff after failed calls.
const BACKOFF_LIMIT: Duration = Duration::from_secs(2);

/// Watches the platform as long as the process runs.
pub(crate) async fn watch_platform(hub: Arc<ControlHub>, statuses: mpsc::Sender<StatusRequest>) {
    let mut backoff = BACKOFF_FIRST;
    if !hub.settings.peers.is_empty() {
        // A peer sends the complete configuration, which saves the calls to the platform.
        sleep(PEER_CONFIG_WAIT).await;
    }
    let mut must_list = hub.store.with_table(ConfigTable::through) == 0;
    loop {
        let result = if must_list {
            list_all(&hub).await
        } else {
            watch_once(&hub, &statuses).await
        };
        match result {
            Ok(()) => {
                must_list = false;
                backoff = BACKOFF_FIRST;
            }
            Err(ServeError::Compacted(..)) => {
                info!("watch fell behind the platform's history, listing again");
                must_list = true;
            }
            Err(error) => {
                counter!("platform_failures_total").increment(1);
                warn!("platform watch failed, retrying: {error}");
                sleep(backoff.mul_f64(0.5 + rand::random::<f64>())).await;
                backoff = (backoff * 2).min(BACKOFF_LIMIT);
            }
        }
    }
}

/// Lists every watched kind. The configuration is complete up to the version of the first listing.
async fn list_all(hub: &ControlHub) -> Result<(), ServeError> {
    let mut objects = Vec::new();
    let mut begun: Option<Version> = None;
    for kind in WATCHED_KINDS {
        let (listed, version) = hub.platform.list(kind, config_object).await?;
        begun.get_or_insert(version);
        objects.extend(listed);
    }
    let through = begun.unwrap_or_default();
    hub.apply(ConfigDelta {
        objects,
        through,
        full: true,
        ..Default::default()
    });
    Ok(())
}

/// Waits for one batch of watch events, applies the events and requests the statuses of changed objects.
async fn watch_once(
    hub: &ControlHub,
    statuses: &mpsc::Sender<StatusRequest>,
) -> Result<(), ServeError> {
    let after = hub.store.with_table(ConfigTable::through);
    let requested = Instant::now();
    let wait = Duration::from_millis(hub.settings.watch_wait_ms);
    let batch = hub.platform.watch(&WATCHED_KINDS, after, wait).await?;
    let objects = batch.events.into_iter().map(config_object).collect();
    let delta = ConfigDelta {
        objects,
        since: after,
        through: batch.version,
        ..Default::default()
    };
    let changed = hub.apply(delta);
    hub.lock_share().record_version(requested, batch.version);
    for object in changed {
        // If the queue is full, the status is written when the resource changes again.
        let _ = statuses.try_send(StatusRequest { object });
    }
    Ok(())
}
