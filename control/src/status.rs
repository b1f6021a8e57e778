//! Writes the status of declared resources: accepted, or refused with the field.

use std::{
    sync::Arc,
    time::Duration, //
};

use boragerill::{
    error::ServeError,
    generated::messages::ConfigObject,
    kinds,
    platform::Expected,
    rank::{
        hash_name,
        ranking, //
    }, //
};
use compact_str::format_compact;
use log::warn;
use serde_json::{
    json,
    Value, //
};
use tokio::{
    sync::mpsc,
    time::sleep, //
};

use crate::hub::ControlHub;

/// Kinds whose status the control process writes.
const STATUS_KINDS: [&str; 3] = ["key", "service", "workspace"];

/// Time that the second ranked VM leaves to the first.
const SUCCESSOR_DELAY: Duration = Duration::from_secs(2);

/// VMs that try to write a status.
const WRITERS: usize = 2;

/// A changed resource whose status is due.
#[derive(Debug)]
pub(crate) struct StatusRequest {
    /// The resource.
    pub(crate) object: ConfigObject,
}

/// Writes statuses for which this VM ranks first or second.
pub(crate) async fn write_statuses(
    hub: Arc<ControlHub>,
    mut requests: mpsc::Receiver<StatusRequest>,
) {
    while let Some(StatusRequest { object }) = requests.recv().await {
        if !STATUS_KINDS.contains(&object.kind.as_str()) {
            continue;
        }
        let Some(place) = own_place(&hub, &object) else {
            continue;
        };
        if place > 0 {
            tokio::spawn(write_later(hub.clone(), object));
            continue;
        }
        report(&object, write_status(&hub, &object).await);
    }
}

async fn write_later(hub: Arc<ControlHub>, object: ConfigObject) {
    sleep(SUCCESSOR_DELAY).await;
    report(&object, write_status(&hub, &object).await);
}

fn report(object: &ConfigObject, written: Result<(), ServeError>) {
    if let Err(error) = written {
        warn!(
            "status of {}/{} not written: {error}",
            object.kind, object.name
        );
    }
}

fn own_place(hub: &ControlHub, object: &ConfigObject) -> Option<usize> {
    let snapshot = hub.store.load();
    let roster = snapshot.roster()?;
    let own = roster.position(&hub.settings.vm)?;
    let order = ranking(hash_name(&object.name), roster.hashes());
    order.iter().take(WRITERS).position(|&index| index == own)
}

async fn write_status(hub: &ControlHub, object: &ConfigObject) -> Result<(), ServeError> {
    let name = format_compact!("{}.{}", object.kind, object.name);
    if object.deleted {
        return match hub.platform.delete("status", &name, Expected::Any).await {
            Err(ServeError::Missing(..)) => Ok(()),
            deleted => deleted.map(|_| ()),
        };
    }
    let expected = match hub.platform.get("status", &name).await {
        Ok(known) if known.spec["observed"].as_u64() >= Some(object.version) => return Ok(()),
        Ok(known) => Expected::At(known.version),
        Err(ServeError::Missing(..)) => Expected::Absent,
        Err(error) => return Err(error),
    };
    match hub
        .platform
        .put("status", &name, expected, "", &status_value(object))
        .await
    {
        // Another VM wrote in between, for this version or a later one.
        Ok(_) | Err(ServeError::Conflict(..)) => Ok(()),
        Err(error) => Err(error),
    }
}

fn status_value(object: &ConfigObject) -> Value {
    let spec = serde_json::from_slice(&object.spec).unwrap_or_default();
    match kinds::check(&object.kind, &object.name, &spec) {
        Ok(_) => json!({"observed": object.version, "state": "accepted"}),
        Err(violation) => json!({
            "observed": object.version,
            "state": "refused",
            "field": violation.field,
            "cause": violation.cause,
        }),
    }
}
