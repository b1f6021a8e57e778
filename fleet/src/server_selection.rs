//! Finds a place for a request, which waits for one as long as that serves its caller.

use std::{
    sync::{
        atomic::{
            AtomicUsize,
            Ordering, //
        },
        Arc, //
    },
    time::{
        Duration,
        Instant, //
    },
};

use boragerill::{
    rank::hash_name,
    refusal::{
        RefusalReason,
        RefusalResponse, //
    },
    slot::{
        choose_batch_server,
        choose_online_server,
        SlotQuery,
        SlotView, //
    },
    slot_wait::{
        SlotRule,
        SlotWait, //
    },
    sync::lock,
    wait_estimate::{
        retry_delay,
        SlotLoad, //
    },
};
use compact_str::format_compact;
use tokio::time::timeout;

use crate::{
    admission::AdmittedRequest,
    backends::BackendState,
    dispatch::{
        final_refusal,
        RunHistory, //
    },
    state::FleetState, //
};

/// Places of a server that a request which is late anyway leaves to others.
const SPARE_PLACES: u32 = 1;

/// Longest wait for a freed place before servers are looked at again.
const PLACE_POLL: Duration = Duration::from_millis(10);

/// Finds a server that has a place, or will have one soon enough.
pub(crate) async fn find_slot(
    state: &FleetState,
    request: &AdmittedRequest,
    history: &RunHistory,
) -> Result<Arc<BackendState>, RefusalResponse> {
    let mut waiting: Option<WaitGuard<'_>> = None;
    loop {
        let freed = state.backends.freed.notified();
        let now = Instant::now();
        let (servers, views) = state
            .backends
            .views(&request.service, &state.settings.domain, now);
        let wait = place_wait(state, request, &views, waiting.as_ref(), now);
        let rule = wait.rule();
        if let Some(index) = choose(&views, request, history, rule) {
            return Ok(servers[index].clone());
        }
        let exhausted = !history.tried.is_empty() && history.tried.len() >= servers.len();
        let is_last = matches!(
            rule,
            SlotRule::QueueOrRefuse(_) | SlotRule::HeadroomOrRefuse
        );
        if is_last || exhausted || servers.is_empty() {
            return Err(no_place(history, servers.len(), &wait));
        }
        waiting.get_or_insert_with(|| WaitGuard::new(state, wait.is_overdue()));
        // Running out of time here only means to look again.
        let _ = timeout(PLACE_POLL, freed).await;
    }
}

/// Returns how a request stands that has waited until `now`.
fn place_wait(
    state: &FleetState,
    request: &AdmittedRequest,
    views: &[SlotView],
    waiting: Option<&WaitGuard<'_>>,
    now: Instant,
) -> SlotWait {
    let held = now.saturating_duration_since(request.arrived);
    let fresh = waiting.is_some_and(|guard| !guard.late);
    let overdue_waiting = state.overdue_waiting.load(Ordering::Relaxed);
    let ahead = match waiting {
        Some(guard) if guard.late => guard.ahead.min(overdue_waiting.saturating_sub(1)),
        _ => overdue_waiting,
    };
    let load = SlotLoad {
        running: own_part(state, views, now),
        ahead: u32::try_from(ahead).unwrap_or(u32::MAX),
    };
    let service = hash_name(&request.service);
    SlotWait {
        age: request.age + held,
        held,
        target: request.route.target,
        remaining: request.outgoing.deadline.saturating_duration_since(now),
        idle_remaining: request.route.silence_limit().saturating_sub(held),
        on_time_waiting: state.on_time_waiting.load(Ordering::Relaxed) - usize::from(fresh),
        expected: state.wait_estimator.expected_wait(service, load),
    }
}

/// Returns this VM's part of the requests that hold places: each VM gets about as many of those that become
/// free.
fn own_part(state: &FleetState, views: &[SlotView], now: Instant) -> u32 {
    let running: u32 = views.iter().map(|view| view.used.online).sum();
    let vms = lock(&state.members).reachable_size(now);
    running.div_ceil(u32::try_from(vms).unwrap_or(u32::MAX).max(1))
}

fn choose(
    views: &[SlotView],
    request: &AdmittedRequest,
    history: &RunHistory,
    rule: SlotRule,
) -> Option<usize> {
    let query = |waiting| SlotQuery {
        prefix: request.prefix,
        draw: rand::random(),
        waiting,
    };
    match rule {
        SlotRule::Free => choose_online_server(views, &history.tried, query(0)),
        SlotRule::Queue(waiting) | SlotRule::QueueOrRefuse(waiting) => {
            choose_online_server(views, &history.tried, query(waiting))
        }
        SlotRule::Headroom | SlotRule::HeadroomOrRefuse => {
            choose_batch_server(views, &history.tried, SPARE_PLACES)
        }
        SlotRule::Wait => None,
    }
}

fn no_place(history: &RunHistory, servers: usize, wait: &SlotWait) -> RefusalResponse {
    if history.runs > 0 {
        return final_refusal(history, false);
    }
    let detail = format_compact!(
        "{servers} servers, none with a place, next in {} ms at least",
        wait.expected.as_millis()
    );
    let retry = retry_delay(wait.expected, wait.remaining, rand::random());
    RefusalResponse::not_run(RefusalReason::CapacityShort, detail).retry_after(retry)
}

/// Counts a request that waits, until dropped: those that could be served in time, and late ones.
struct WaitGuard<'a> {
    state: &'a FleetState,
    late: bool,
    ahead: usize, // Late requests that waited before this one.
}

impl<'a> WaitGuard<'a> {
    fn new(state: &'a FleetState, late: bool) -> WaitGuard<'a> {
        let guard = WaitGuard {
            state,
            late,
            ahead: state.overdue_waiting.load(Ordering::Relaxed),
        };
        guard.counter().fetch_add(1, Ordering::Relaxed);
        guard
    }

    fn counter(&self) -> &AtomicUsize {
        match self.late {
            true => &self.state.overdue_waiting,
            false => &self.state.on_time_waiting,
        }
    }
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        self.counter().fetch_sub(1, Ordering::Relaxed);
    }
}
