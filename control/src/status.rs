//! Writes the status of declared resources: accepted, or refused with the field.

use std::{
    sync::Arc,
    time::Duration, //
};

use boragerill::{
    error::ServeError,
    generated::messages::ConfigObject,
    kinds::{
        self,
        DeclaredSpec, //
    },
    platform::Expected,
    rank::{
        hash_name,
        ranking, //
    },
    schema::FieldViolation,
    snapshot::{
        RefusalRecord,
        REFUSAL_KIND, //
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

/// Delay of the second-ranked VM, so that it writes only where the first-ranked VM hasn't.
const SECOND_WRITER_DELAY: Duration = Duration::from_secs(2);

/// Number of VMs that write a status, by their rank for the resource.
const STATUS_WRITERS: usize = 2;

/// A changed resource whose status has to be written.
#[derive(Debug)]
pub(crate) struct StatusRequest {
    /// The resource.
    pub(crate) object: ConfigObject,
}

/// Writes the statuses of resources for which this VM ranks first or second.
pub(crate) async fn write_statuses(
    hub: Arc<ControlHub>,
    mut requests: mpsc::Receiver<StatusRequest>,
) {
    while let Some(StatusRequest { object }) = requests.recv().await {
        if !STATUS_KINDS.contains(&object.kind.as_str()) {
            continue;
        }
        let Some(rank) = own_rank(&hub, &object) else {
            continue;
        };
        if rank > 0 {
            tokio::spawn(write_delayed(hub.clone(), object));
            continue;
        }
        log_failure(&object, write_status(&hub, &object).await);
    }
}

async fn write_delayed(hub: Arc<ControlHub>, object: ConfigObject) {
    sleep(SECOND_WRITER_DELAY).await;
    log_failure(&object, write_status(&hub, &object).await);
}

fn log_failure(object: &ConfigObject, result: Result<(), ServeError>) {
    if let Err(error) = result {
        warn!(
            "status of {}/{} not written: {error}",
            object.kind, object.name
        );
    }
}

/// Returns this VM's rank for a resource, from 0, or `None` when the VM isn't among the writers.
fn own_rank(hub: &ControlHub, object: &ConfigObject) -> Option<usize> {
    let snapshot = hub.store.load();
    let roster = snapshot.roster()?;
    let own = roster.position(&hub.settings.vm)?;
    let ranked = ranking(hash_name(&object.name), roster.hashes());
    ranked
        .iter()
        .take(STATUS_WRITERS)
        .position(|&index| index == own)
}

/// Writes the status of a resource, or deletes the status of a deleted resource.
async fn write_status(hub: &ControlHub, object: &ConfigObject) -> Result<(), ServeError> {
    let name = format_compact!("{}.{}", object.kind, object.name);
    let spec: Value = serde_json::from_slice(&object.spec).unwrap_or_default();
    let checked = kinds::check(&object.kind, &object.name, &spec);
    write_refusal(hub, object, &name, checked.is_err() && !object.deleted).await?;
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
        .put(
            "status",
            &name,
            expected,
            "",
            &status_value(object, checked),
        )
        .await
    {
        // A conflict means that another VM has written the status of this version or a later one.
        Ok(_) | Err(ServeError::Conflict(..)) => Ok(()),
        Err(error) => Err(error),
    }
}

/// Stores the last accepted version of a refused object, for VMs that start later, and deletes the stored version
/// once a version is accepted again.
async fn write_refusal(
    hub: &ControlHub,
    object: &ConfigObject,
    name: &str,
    refused: bool,
) -> Result<(), ServeError> {
    let is_kept = hub.store.with_table(|table| {
        table
            .find(REFUSAL_KIND, name)
            .is_some_and(|known| !known.deleted)
    });
    if !refused && is_kept {
        hub.platform
            .delete(REFUSAL_KIND, name, Expected::Any)
            .await?;
    }
    let Some(accepted) = hub
        .store
        .last_accepted(&object.kind, &object.name)
        .filter(|_| refused && !is_kept)
    else {
        return Ok(());
    };
    let record = RefusalRecord {
        kind: accepted.kind.into(),
        name: accepted.name.into(),
        created: accepted.created,
        spec: serde_json::from_slice(&accepted.spec).unwrap_or_default(),
    };
    let value = serde_json::to_value(&record).unwrap_or_default();
    match hub
        .platform
        .put(REFUSAL_KIND, name, Expected::Absent, "", &value)
        .await
    {
        Ok(_) | Err(ServeError::Conflict(..)) => Ok(()),
        Err(error) => Err(error),
    }
}

fn status_value(object: &ConfigObject, checked: Result<DeclaredSpec, FieldViolation>) -> Value {
    match checked {
        Ok(_) => json!({"observed": object.version, "state": "accepted"}),
        Err(violation) => json!({
            "observed": object.version,
            "state": "refused",
            "field": violation.field,
            "cause": violation.cause,
        }),
    }
}
