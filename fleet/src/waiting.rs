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
    outlook::{
        retry_time,
        PlaceLoad, //
    },
    patience::{
        PlaceRule,
        PlaceWait, //
    },
    place::{
        choose_batch_place,
        choose_place,
        PlaceQuery,
        PlaceView, //
    },
    rank::hash_name,
    refusal::{
        RefusalAnswer,
        RefusalReason, //
    },
    sync::lock,
};
use compact_str::format_compact;
use tokio::time::timeout;

use crate::{
    backends::BackendState,
    relay::AdmittedRequest,
    run::{
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
pub(crate) async fn find_place(
    state: &FleetState,
    request: &AdmittedRequest,
    history: &RunHistory,
) -> Result<Arc<BackendState>, RefusalAnswer> {
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
        let is_last = matches!(rule, PlaceRule::Last(_) | PlaceRule::LastSpare);
        if is_last || exhausted || servers.is_empty() {
            return Err(no_place(history, servers.len(), &wait));
        }
        waiting.get_or_insert_with(|| WaitGuard::new(state, wait.is_late()));
        // Running out of time here only means to look again.
        let _ = timeout(PLACE_POLL, freed).await;
    }
}

/// Returns how a request stands that has waited until `now`.
fn place_wait(
    state: &FleetState,
    request: &AdmittedRequest,
    views: &[PlaceView],
    waiting: Option<&WaitGuard<'_>>,
    now: Instant,
) -> PlaceWait {
    let held = now.saturating_duration_since(request.arrived);
    let fresh = waiting.is_some_and(|guard| !guard.late);
    let late_waiting = state.late_waiting.load(Ordering::Relaxed);
    let ahead = match waiting {
        Some(guard) if guard.late => guard.ahead.min(late_waiting.saturating_sub(1)),
        _ => late_waiting,
    };
    let load = PlaceLoad {
        running: own_part(state, views, now),
        ahead: u32::try_from(ahead).unwrap_or(u32::MAX),
    };
    let service = hash_name(&request.service);
    PlaceWait {
        age: request.age + held,
        held,
        target: request.route.target,
        remaining: request.outgoing.deadline.saturating_duration_since(now),
        silence: request.route.silence_limit().saturating_sub(held),
        fresh_waiting: state.fresh_waiting.load(Ordering::Relaxed) - usize::from(fresh),
        expected: state.outlook.expected_wait(service, load),
    }
}

/// Returns this VM's part of the requests that hold places: each VM gets about as many of those that become
/// free.
fn own_part(state: &FleetState, views: &[PlaceView], now: Instant) -> u32 {
    let running: u32 = views.iter().map(|view| view.used.online).sum();
    let vms = lock(&state.members).reachable_size(now);
    running.div_ceil(u32::try_from(vms).unwrap_or(u32::MAX).max(1))
}

fn choose(
    views: &[PlaceView],
    request: &AdmittedRequest,
    history: &RunHistory,
    rule: PlaceRule,
) -> Option<usize> {
    let query = |waiting| PlaceQuery {
        prefix: request.prefix,
        draw: rand::random(),
        waiting,
    };
    match rule {
        PlaceRule::Free => choose_place(views, &history.tried, query(0)),
        PlaceRule::Queue(waiting) | PlaceRule::Last(waiting) => {
            choose_place(views, &history.tried, query(waiting))
        }
        PlaceRule::Spare | PlaceRule::LastSpare => {
            choose_batch_place(views, &history.tried, SPARE_PLACES)
        }
        PlaceRule::Wait => None,
    }
}

fn no_place(history: &RunHistory, servers: usize, wait: &PlaceWait) -> RefusalAnswer {
    if history.runs > 0 {
        return final_refusal(history, false);
    }
    let detail = format_compact!(
        "{servers} servers, none with a place, next in {} ms at least",
        wait.expected.as_millis()
    );
    let retry = retry_time(wait.expected, wait.remaining, rand::random());
    RefusalAnswer::not_run(RefusalReason::CapacityShort, detail).retry_after(retry)
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
            ahead: state.late_waiting.load(Ordering::Relaxed),
        };
        guard.counter().fetch_add(1, Ordering::Relaxed);
        guard
    }

    fn counter(&self) -> &AtomicUsize {
        match self.late {
            true => &self.state.late_waiting,
            false => &self.state.fresh_waiting,
        }
    }
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        self.counter().fetch_sub(1, Ordering::Relaxed);
    }
}
