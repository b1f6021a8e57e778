//! Retirement of this VM: hands its jobs over when the platform orders it.

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

/// Longest wait of one watch call.
const WATCH_TIMEOUT: Duration = Duration::from_secs(20);

/// Delay before a failed call is retried.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Watches the store for orders to retire this VM, and carries out each order once.
pub(crate) async fn watch_retirement(state: Arc<FleetState>) {
    let mut through = None;
    let mut done = None;
    loop {
        match find_order(&state, through).await {
            Ok((order, version)) => {
                through = Some(version);
                // Writing the status changes the order's object; its creation version identifies the order.
                if order.is_some() && order != done {
                    retire(&state).await;
                    done = order;
                }
            }
            Err(ServeError::Compacted(..)) => through = None,
            Err(error) => {
                warn!(error = error.to_string().as_str(); "watching retirement orders failed");
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Waits for changes of orders, and returns the creation version of an order for this VM, if any, and the version
/// up to which orders are known.
async fn find_order(
    state: &FleetState,
    through: Option<Version>,
) -> Result<(Option<Version>, Version), ServeError> {
    let kind = state.format.kinds.retirements;
    let (objects, version) = match through {
        None => state.platform.list(kind, |object| object).await?,
        Some(after) => {
            let batch = state.platform.watch(&[kind], after, WATCH_TIMEOUT).await?;
            (batch.events, batch.version.max(after))
        }
    };
    let mut orders = objects.iter().filter(|object| !object.deleted);
    let own = orders.find(|object| object.name == state.settings.vm);
    Ok((own.map(|object| object.created), version))
}

/// Hands over all jobs and writes the status before and after; all other state is in the store already.
async fn retire(state: &Arc<FleetState>) {
    info!("retirement ordered, handing jobs over");
    write_status(state, false).await;
    handover::hand_over_all(state).await;
    write_status(state, true).await;
    info!("retirement finished");
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
                warn!(error = error.to_string().as_str(); "writing the retirement status failed");
                sleep(RETRY_DELAY).await;
            }
        }
    }
}
