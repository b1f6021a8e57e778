//! Empties this VM when the platform asks for it.

use std::{
    sync::Arc,
    time::Duration, //
};

use boragerill::{
    config::Version,
    error::ServeError, //
};
use log::{
    info,
    warn, //
};
use tokio::time::sleep;

use crate::{
    handover,
    state::FleetState, //
};

/// Longest wait of one watch.
const WATCH_WAIT: Duration = Duration::from_secs(20);

/// Pause after a failed call.
const FAILED_PAUSE: Duration = Duration::from_millis(300);

/// Watches for orders to empty this VM, and carries each out once.
pub(crate) async fn watch_retirement(state: Arc<FleetState>) {
    let mut through = None;
    let mut done = None;
    loop {
        match find_order(&state, through).await {
            Ok((order, version)) => {
                through = Some(version);
                // The status written here is a change of the same order.
                if order.is_some() && order != done {
                    empty(&state).await;
                    done = order;
                }
            }
            Err(ServeError::Compacted(..)) => through = None,
            Err(error) => {
                warn!(error = error.to_string().as_str(); "retirements not followed");
                sleep(FAILED_PAUSE).await;
            }
        }
    }
}

/// Waits for an order, and returns which one means this VM and how far orders are known.
async fn find_order(
    state: &FleetState,
    through: Option<Version>,
) -> Result<(Option<Version>, Version), ServeError> {
    let kind = state.format.kinds.retirements;
    let (objects, version) = match through {
        None => state.platform.list(kind, |object| object).await?,
        Some(after) => {
            let batch = state.platform.watch(&[kind], after, WATCH_WAIT).await?;
            (batch.events, batch.version.max(after))
        }
    };
    let mut orders = objects.iter().filter(|object| !object.deleted);
    let meant = orders.find(|object| object.name == state.settings.vm);
    Ok((meant.map(|object| object.created), version))
}

/// Hands over what this VM runs; it keeps nothing else that the store doesn't have.
async fn empty(state: &Arc<FleetState>) {
    info!("told to become empty");
    write_status(state, false).await;
    handover::hand_over_all(state).await;
    write_status(state, true).await;
    info!("empty");
}

async fn write_status(state: &FleetState, done: bool) {
    let status = (state.format.encode_retirement)(done);
    let kind = state.format.kinds.retirements;
    loop {
        let written = state
            .platform
            .put_status(kind, &state.settings.vm, &status)
            .await;
        match written {
            Ok(_) | Err(ServeError::Missing(..)) => return,
            Err(error) => {
                warn!(error = error.to_string().as_str(); "status of the retirement not written");
                sleep(FAILED_PAUSE).await;
            }
        }
    }
}
