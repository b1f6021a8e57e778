//! Counts the requests in flight, so that a graceful shutdown can wait for their responses.

use std::{
    sync::{
        atomic::{
            AtomicBool,
            AtomicUsize,
            Ordering, //
        },
        Arc, //
    },
    time::Duration,
};

use rocket::{
    fairing::AdHoc,
    http::Header, //
};
use tokio::time::sleep;

/// Interval between checks for running requests.
const IDLE_POLL_PERIOD: Duration = Duration::from_millis(50);

/// Consecutive checks without a running request before the process may exit. The last bytes of a
/// response are written shortly after its request is no longer counted.
const IDLE_POLLS: u32 = 5;

/// Number of running requests, and whether the process is draining.
#[derive(Clone, Debug, Default)]
pub(crate) struct DrainState {
    running: Arc<AtomicUsize>,
    draining: Arc<AtomicBool>,
}

/// Counts a request as running until dropped.
struct RunningGuard {
    running: Arc<AtomicUsize>,
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.running.fetch_sub(1, Ordering::Relaxed);
    }
}

impl DrainState {
    /// Returns a fairing that counts each request until its response is sent.
    ///
    /// The guard is kept in the request's local cache, which is dropped once the response is sent.
    pub(crate) fn count_requests(&self) -> AdHoc {
        let running = self.running.clone();
        AdHoc::on_request("Count requests", move |request, _| {
            let running = running.clone();
            Box::pin(async move {
                request.local_cache(|| {
                    running.fetch_add(1, Ordering::Relaxed);
                    RunningGuard { running }
                });
            })
        })
    }

    /// Returns a fairing that sets `connection: close` on responses while draining.
    pub(crate) fn close_connections(&self) -> AdHoc {
        let draining = self.draining.clone();
        AdHoc::on_response("Close connections", move |_, response| {
            let draining = draining.clone();
            Box::pin(async move {
                if draining.load(Ordering::Relaxed) {
                    response.set_header(Header::new("connection", "close"));
                }
            })
        })
    }

    /// Starts draining.
    pub(crate) fn start(&self) {
        self.draining.store(true, Ordering::Relaxed);
    }

    /// Waits until no request has been running for `IDLE_POLLS` consecutive checks.
    pub(crate) async fn wait_until_idle(&self) {
        let mut idle = 0;
        while idle < IDLE_POLLS {
            sleep(IDLE_POLL_PERIOD).await;
            let is_idle = self.running.load(Ordering::Relaxed) == 0;
            idle = if is_idle { idle + 1 } else { 0 };
        }
    }
}
