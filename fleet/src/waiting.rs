//! Finds a place for a request, which waits for one as long as that serves its caller.

use std::{
    sync::{
        atomic::Ordering,
        Arc, //
    },
    time::{
        Duration,
        Instant, //
    },
};

use boragerill::{
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
    refusal::{
        RefusalAnswer,
        RefusalReason, //
    },
};
use compact_str::format_compact;
use tokio::time::timeout;

use crate::{
    backends::BackendState,
    relay::AdmittedRequest,
    run::{
        final_refusal,
        RunHistory,
        CAPACITY_RETRY, //
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
    let mut waiting = None;
    loop {
        let freed = state.backends.freed.notified();
        let now = Instant::now();
        let held = now.saturating_duration_since(request.arrived);
        let fresh = waiting.as_ref().is_some_and(FreshGuard::is_set);
        let wait = PlaceWait {
            age: request.age + held,
            held,
            target: request.route.target,
            remaining: request.outgoing.deadline.saturating_duration_since(now),
            silence: request.route.silence_limit().saturating_sub(held),
            fresh_waiting: state.fresh_waiting.load(Ordering::Relaxed) - usize::from(fresh),
        };
        let rule = wait.rule();
        let (servers, views) = state
            .backends
            .views(&request.service, &state.settings.domain, now);
        if let Some(index) = choose(&views, request, history, rule) {
            return Ok(servers[index].clone());
        }
        let exhausted = !history.tried.is_empty() && history.tried.len() >= servers.len();
        let is_last = matches!(rule, PlaceRule::Last(_) | PlaceRule::LastSpare);
        if is_last || exhausted || servers.is_empty() {
            return Err(no_place(history, servers.len()));
        }
        waiting.get_or_insert_with(|| FreshGuard::new(state, !wait.is_late()));
        // Running out of time here only means to look again.
        let _ = timeout(PLACE_POLL, freed).await;
    }
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

fn no_place(history: &RunHistory, servers: usize) -> RefusalAnswer {
    if history.runs > 0 {
        return final_refusal(history, false);
    }
    let detail = format_compact!("{servers} servers, none with a place");
    RefusalAnswer::not_run(RefusalReason::CapacityShort, detail).retry_after(CAPACITY_RETRY)
}

/// Counts a request that could be served in time and waits, until dropped.
struct FreshGuard<'a> {
    state: &'a FleetState,
    fresh: bool,
}

impl<'a> FreshGuard<'a> {
    fn new(state: &'a FleetState, fresh: bool) -> FreshGuard<'a> {
        if fresh {
            state.fresh_waiting.fetch_add(1, Ordering::Relaxed);
        }
        FreshGuard { state, fresh }
    }

    fn is_set(&self) -> bool {
        self.fresh
    }
}

impl Drop for FreshGuard<'_> {
    fn drop(&mut self) {
        if self.fresh {
            self.state.fresh_waiting.fetch_sub(1, Ordering::Relaxed);
        }
    }
}
