//! Follows the platform's configuration by listings and watches.

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

/// Time that a starting process gives its peers to hand over the configuration.
const PEER_START: Duration = Duration::from_millis(500);

/// First pause after a failed call.
const BACKOFF_FIRST: Duration = Duration::from_millis(100);

/// Longest pause after failed calls.
const BACKOFF_LIMIT: Duration = Duration::from_secs(2);

/// Watches the platform for as long as the process runs.
pub(crate) async fn watch_platform(hub: Arc<ControlHub>, statuses: mpsc::Sender<StatusRequest>) {
    let mut backoff = BACKOFF_FIRST;
    if !hub.settings.peers.is_empty() {
        // A peer hands over the whole configuration without a call to the platform.
        sleep(PEER_START).await;
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
                info!("watch fell behind; listing anew");
                must_list = true;
            }
            Err(error) => {
                counter!("platform_failures_total").increment(1);
                warn!("platform watch: {error}");
                sleep(backoff.mul_f64(0.5 + rand::random::<f64>())).await;
                backoff = (backoff * 2).min(BACKOFF_LIMIT);
            }
        }
    }
}

/// Lists every kind; the configuration is complete to the version at which the first listing began.
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

async fn watch_once(
    hub: &ControlHub,
    statuses: &mpsc::Sender<StatusRequest>,
) -> Result<(), ServeError> {
    let after = hub.store.with_table(ConfigTable::through);
    let sent = Instant::now();
    let wait = Duration::from_millis(hub.settings.watch_wait_ms);
    let batch = hub.platform.watch(&WATCHED_KINDS, after, wait).await?;
    let objects = batch.events.into_iter().map(config_object).collect();
    let delta = ConfigDelta {
        objects,
        since: after,
        through: batch.version,
        ..Default::default()
    };
    let fresh = hub.apply(delta);
    hub.lock_share().record_version(sent, batch.version);
    for object in fresh {
        // A full queue only delays a status until the resource changes again.
        let _ = statuses.try_send(StatusRequest { object });
    }
    Ok(())
}
