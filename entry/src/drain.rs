//! Counts running requests, so that shutdown can wait for the last of them.

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

/// Period of looking whether requests are still running.
const IDLE_POLL_PERIOD: Duration = Duration::from_millis(50);

/// Polls in a row without a running request before the process may end: the last bytes of an answer
/// leave the process shortly after its request has ended.
const IDLE_POLLS: u32 = 5;

/// Running requests of the process.
#[derive(Clone, Debug, Default)]
pub(crate) struct DrainState {
    running: Arc<AtomicUsize>,
    draining: Arc<AtomicBool>,
}

/// Counts a request until its response is sent.
struct RunningGuard {
    running: Arc<AtomicUsize>,
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.running.fetch_sub(1, Ordering::Relaxed);
    }
}

impl DrainState {
    /// Returns the fairing that counts each request. The request's cache lives until its response is
    /// sent, and with it the guard.
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

    /// Returns the fairing that asks callers to leave their connections while draining.
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

    /// Waits until no request is running.
    pub(crate) async fn wait_until_idle(&self) {
        let mut idle = 0;
        while idle < IDLE_POLLS {
            sleep(IDLE_POLL_PERIOD).await;
            let is_idle = self.running.load(Ordering::Relaxed) == 0;
            idle = if is_idle { idle + 1 } else { 0 };
        }
    }
}
