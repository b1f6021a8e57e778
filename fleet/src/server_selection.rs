//! Selects a backend server with a free slot for a request, and lets the request wait for a slot while it
//! can still be served in its caller's time.

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
    catalog::RouteKind,
    cell::is_cell_full,
    preemption::{
        has_slot,
        needs_cut,
        CLAIM_TIME, //
    },
    rank::hash_name,
    refusal::{
        RefusalReason,
        RefusalResponse, //
    },
    residency::ResidencyRule,
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
    stream_version::VersionKey,
    sync::lock,
    wait_estimate::{
        retry_delay,
        SlotLoad, //
    },
};
use compact_str::format_compact;
use metrics::counter;
use tokio::time::{
    sleep,
    timeout, //
};

use crate::{
    admission::AdmittedRequest,
    backends::{
        BackendState,
        RequestClass, //
    },
    dispatch::{
        final_refusal,
        RunHistory, //
    },
    server_limits::SendPermit,
    server_load::RequestCost,
    state::FleetState,
    stop_guard::refuse_outlasting,
    stream_versions::ANEW_RETRY, //
};

/// Free slots that must remain on a server after an overdue request takes one, so that requests that can
/// still meet their target find some.
const HEADROOM_SLOTS: u32 = 1;

/// Requests that may wait in the queue of the server on which a stream is resumed.
const RESUME_QUEUE: u32 = 2;

/// Retry delay for callers while all servers of a service are in evacuated failure domains or regions that aren't allowed.
const EVACUATED_RETRY: Duration = Duration::from_millis(1000);

/// Longest wait for a freed slot before the servers are checked again.
const SLOT_POLL: Duration = Duration::from_millis(10);

/// A server and the permission to send one request to it.
#[derive(Debug)]
pub(crate) struct PermittedServer {
    /// The server.
    pub(crate) server: Arc<BackendState>,
    /// The permission.
    pub(crate) permit: SendPermit,
}

impl PermittedServer {
    /// Returns a server with a permission for one request, unless its limit doesn't admit the request now.
    pub(crate) fn take(
        state: &FleetState,
        server: &Arc<BackendState>,
        class: RequestClass,
    ) -> Option<PermittedServer> {
        // The buckets of limits are shared within a cell: only VMs of the server's cell may send to it once it has one.
        let is_own = state.backends.cell().has_server(server.key);
        if !is_own && state.limits.is_limited(server) {
            return None;
        }
        let permit = state.limits.take(server, class)?;
        let server = server.clone();
        Some(PermittedServer { server, permit })
    }
}

/// Waits for a server with a slot for the request.
///
/// # Errors
///
/// Returns a refusal when no server is left to try, or when no slot is expected in the caller's time.
pub(crate) async fn find_slot(
    state: &FleetState,
    request: &AdmittedRequest,
    history: &RunHistory,
) -> Result<PermittedServer, RefusalResponse> {
    let mut waiting: Option<WaitGuard<'_>> = None;
    loop {
        let slot_freed = state.backends.slot_freed.notified();
        let now = Instant::now();
        if history.runs == 0 {
            let deadline = request.outgoing.deadline;
            refuse_outlasting(state, &request.route, request.arrived, deadline)?;
        }
        if state.is_sending_held(now) {
            // The list of evacuated domains is confirmed, or the hold ends, within half a second.
            sleep(SLOT_POLL).await;
            continue;
        }
        let (servers, views) = request_views(state, request, &history.tried, now);
        refuse_restricted(request, &views, history)?;
        if request.version.is_none() {
            state.load.record_demand(&request.service, &views, now);
        }
        if request.version.is_some() && views.iter().all(|view| view.leaving) {
            return Err(version_unavailable(history));
        }
        refuse_evacuated(state, &servers, history)?;
        let wait = wait_state(state, request, (&servers, &views), waiting.as_ref(), now);
        let rule = wait.rule();
        if let Some(index) = choose_server(&views, request, history, rule) {
            if let Some(permitted) =
                PermittedServer::take(state, &servers[index], request.outgoing.kind)
            {
                if !needs_cut(&views[index]) {
                    return Ok(permitted);
                }
                if let Some(permitted) = claim_slot(state, request, history, permitted).await {
                    return Ok(permitted);
                }
                // The claimed server takes no requests any more. Without a pause, a server that is chosen and given up
                // again and again would keep the thread busy.
                let _ = timeout(SLOT_POLL, slot_freed).await;
            }
            // Otherwise another thread has just taken the server's token.
            continue;
        }
        let exhausted = !history.tried.is_empty() && history.tried.len() >= servers.len();
        let is_last = matches!(
            rule,
            SlotRule::QueueOrRefuse(_) | SlotRule::HeadroomOrRefuse
        );
        if is_last || exhausted || servers.is_empty() {
            state.limits.record_refusal(&servers);
            return Err(no_slot(history, servers.len(), &wait));
        }
        waiting.get_or_insert_with(|| WaitGuard::new(state, wait.is_overdue()));
        // After a timeout the servers are checked as well.
        let _ = timeout(SLOT_POLL, slot_freed).await;
    }
}

/// Counts a request at a server that is full of items, and waits for [`CLAIM_TIME`] at most until an item has left or
/// another server has a free slot. Returns `None` if the claimed process takes no requests any more.
async fn claim_slot(
    state: &FleetState,
    request: &AdmittedRequest,
    history: &RunHistory,
    mut claimed: PermittedServer,
) -> Option<PermittedServer> {
    let until = Instant::now() + CLAIM_TIME;
    let claim = state.backends.track_claim(&claimed.server);
    claimed.permit.set_claim(claim);
    let was_limited = state.limits.is_limited(&claimed.server);
    loop {
        let slot_freed = state.backends.slot_freed.notified();
        let now = Instant::now();
        let (servers, views) = request_views(state, request, &history.tried, now);
        let key = claimed.server.key;
        let index = views.iter().position(|view| view.key == key)?;
        let view = &views[index];
        // The key stays the same when a server restarts.
        if view.leaving
            || view.ejected
            || !claimed
                .server
                .server
                .is_same_process(&servers[index].server)
        {
            return None;
        }
        if now >= until || has_slot(view) {
            return confirm_claim(state, claimed, was_limited);
        }
        let other = choose_server(&views, request, history, SlotRule::Free);
        let other = other.filter(|&index| views[index].key != key && !views[index].is_full());
        let taken = other
            .and_then(|index| PermittedServer::take(state, &servers[index], RequestClass::Online));
        if let Some(taken) = taken {
            counter!("slot_claims_withdrawn_total").increment(1);
            return Some(taken);
        }
        // After a timeout the servers are checked as well.
        let _ = timeout(SLOT_POLL.min(until - now), slot_freed).await;
    }
}

/// Returns a claimed server with a valid permission: a process that has stated its first limit since the claim has to
/// admit the request.
fn confirm_claim(
    state: &FleetState,
    mut claimed: PermittedServer,
    was_limited: bool,
) -> Option<PermittedServer> {
    if was_limited || !state.limits.is_limited(&claimed.server) {
        return Some(claimed);
    }
    let mut taken = PermittedServer::take(state, &claimed.server, RequestClass::Online);
    let claim = claimed.permit.take_claim();
    if let (Some(taken), Some(claim)) = (taken.as_mut(), claim) {
        taken.permit.set_claim(claim);
    }
    taken
}

/// Returns the state of a request that is waiting for a slot at `now`.
fn wait_state(
    state: &FleetState,
    request: &AdmittedRequest,
    (servers, views): (&[Arc<BackendState>], &[SlotView]),
    waiting: Option<&WaitGuard<'_>>,
    now: Instant,
) -> SlotWait {
    let held = now.saturating_duration_since(request.arrived);
    let on_time = waiting.is_some_and(|guard| !guard.overdue);
    let overdue_waiting = state.overdue_waiting.load(Ordering::Relaxed);
    let ahead = match waiting {
        Some(guard) if guard.overdue => guard.ahead.min(overdue_waiting.saturating_sub(1)),
        _ => overdue_waiting,
    };
    let load = SlotLoad {
        running: own_share(state, views, now),
        ahead: u32::try_from(ahead).unwrap_or(u32::MAX),
    };
    let service = hash_name(&request.service);
    let on_time_waiting = state.on_time_waiting.load(Ordering::Relaxed) - usize::from(on_time);
    let limited_for = state.limits.expected_wait(servers, views, on_time_waiting);
    let expected = state.wait_estimator.expected_wait(service, load);
    SlotWait {
        age: request.age + held,
        held,
        target: request.route.target,
        remaining: request.outgoing.deadline.saturating_duration_since(now),
        idle_remaining: request.route.event_timeout().saturating_sub(held),
        on_time_waiting,
        expected: expected.max(limited_for),
        limited_for,
    }
}

/// Returns this VM's share of the requests that hold slots. Each VM gets about the same number of the slots
/// that they free.
fn own_share(state: &FleetState, views: &[SlotView], now: Instant) -> u32 {
    let running: u32 = views.iter().map(|view| view.used.online).sum();
    let vms = lock(&state.members).cell_reachable_size(now);
    running.div_ceil(u32::try_from(vms).unwrap_or(u32::MAX).max(1))
}

/// Returns the index of the server to use under a rule, if there is one.
fn choose_server(
    views: &[SlotView],
    request: &AdmittedRequest,
    history: &RunHistory,
    rule: SlotRule,
) -> Option<usize> {
    let query = |waiting| SlotQuery {
        prefix: request.outgoing.prompt.shared_hash(),
        draw: rand::random(),
        waiting,
    };
    // A request that has left its server moves at once if there is room; it gets no promise any more.
    let moved = match history.runs {
        0 => None,
        _ => choose_online_server(views, &history.tried, query(0)),
    };
    moved.or_else(|| match rule {
        SlotRule::Free => choose_online_server(views, &history.tried, query(0)),
        SlotRule::Queue(waiting) | SlotRule::QueueOrRefuse(waiting) => {
            choose_online_server(views, &history.tried, query(waiting))
        }
        SlotRule::Headroom | SlotRule::HeadroomOrRefuse => {
            choose_batch_server(views, &history.tried, HEADROOM_SLOTS)
        }
        SlotRule::Wait => None,
    })
}

/// Which servers a stream may be resumed on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ServerDemand {
    /// Any server, also one where the request has to queue.
    Any,
    /// A server with a free slot that is not ejected.
    Free,
}

/// Returns the servers that a request of a caller may be sent to, and a view of each.
fn request_views(
    state: &FleetState,
    request: &AdmittedRequest,
    tried: &[u32],
    now: Instant,
) -> (Vec<Arc<BackendState>>, Vec<SlotView>) {
    let rule = &request.outgoing.residency;
    let (mut servers, mut views) =
        state.limited_views(&request.service, request.version, rule, now);
    if state.load.is_active() {
        let cost = RequestCost::of(&state.format.names, &request.route.name, &request.outgoing);
        let selected = (servers.as_slice(), views.as_mut_slice());
        state
            .load
            .apply(&request.service, selected, Some(cost), now);
    }
    if begins_resumable(request) {
        keep_settled(state, (&mut servers, &mut views), tried);
    }
    let demand = (request.service.as_str(), request.version, rule);
    add_other_cell(state, demand, (&mut servers, &mut views), tried);
    (servers, views)
}

/// Adds a server of another cell if no server of the own cell takes the request now. A request that such a server has
/// rejected waits for the own cell, since the others may be as full.
fn add_other_cell(
    state: &FleetState,
    demand: (&str, Option<VersionKey>, &ResidencyRule),
    (servers, views): (&mut Vec<Arc<BackendState>>, &mut Vec<SlotView>),
    tried: &[u32],
) {
    let now = Instant::now();
    let cell = state.backends.cell();
    let has_left = tried.iter().any(|&key| !cell.has_server(key));
    let is_available = views.iter().any(|view| !view.leaving && !view.ejected);
    if !cell.is_divided() || !is_cell_full(views, tried) {
        return;
    }
    if !is_available || !has_left && state.cells.admits_fallback(now) {
        state.add_fallback(demand, (servers, views), tried, now);
    }
}

/// Returns whether a request begins a stream that its caller may take up again at any VM.
fn begins_resumable(request: &AdmittedRequest) -> bool {
    let is_stream = matches!(request.route.kind, RouteKind::Stream(_));
    is_stream && request.outgoing.repeatable && request.version.is_none()
}

/// Removes the servers of versions that some VM may not know yet, which would have the stream go on at another version,
/// unless no other server than those and the ones of `tried` takes requests.
fn keep_settled(
    state: &FleetState,
    (servers, views): (&mut Vec<Arc<BackendState>>, &mut Vec<SlotView>),
    tried: &[u32],
) {
    if !state.backends.has_settling_versions() {
        return;
    }
    let is_settled: Vec<bool> = state.backends.read_versions(|history| {
        let settled = servers.iter().map(|server| {
            let service = hash_name(&server.server.service);
            history.is_settled(service, server.version)
        });
        settled.collect()
    });
    let mut settled = views.iter().zip(&is_settled);
    let takes_requests = settled.any(|(view, &is_settled)| {
        is_settled && !view.leaving && !view.ejected && !tried.contains(&view.key)
    });
    if takes_requests {
        let mut kept = is_settled.iter();
        servers.retain(|_| kept.next().is_some_and(|&kept| kept));
        let mut kept = is_settled.iter();
        views.retain(|_| kept.next().is_some_and(|&kept| kept));
    }
}

/// Chooses a server for a stream that moves before its first event, not one of `tried`.
pub(crate) fn choose_other_start(
    state: &FleetState,
    request: &AdmittedRequest,
    tried: &[u32],
) -> Option<PermittedServer> {
    let (servers, views) = request_views(state, request, tried, Instant::now());
    choose_for_stream(state, (&servers, &views), tried, ServerDemand::Free)
}

/// Chooses a server of the version that began a stream for a stream that moves, not one of `tried`.
pub(crate) fn choose_resume_server(
    state: &FleetState,
    (service, version, residency): (&str, VersionKey, &ResidencyRule),
    tried: &[u32],
    demand: ServerDemand,
) -> Option<PermittedServer> {
    let now = Instant::now();
    let (mut servers, mut views) = state.server_views(service, Some(version), residency, now);
    add_other_cell(
        state,
        (service, Some(version), residency),
        (&mut servers, &mut views),
        tried,
    );
    choose_for_stream(state, (&servers, &views), tried, demand)
}

fn choose_for_stream(
    state: &FleetState,
    (servers, views): (&[Arc<BackendState>], &[SlotView]),
    tried: &[u32],
    demand: ServerDemand,
) -> Option<PermittedServer> {
    let waiting = match demand {
        ServerDemand::Any => RESUME_QUEUE,
        ServerDemand::Free => 0,
    };
    let query = SlotQuery {
        prefix: None,
        draw: rand::random(),
        waiting,
    };
    let index = choose_online_server(views, tried, query)?;
    let fits = demand == ServerDemand::Any || !views[index].ejected;
    let permitted = PermittedServer::take(state, &servers[index], RequestClass::Online);
    permitted.filter(|_| fits)
}

/// Refuses a request whose service has servers in evacuated failure domains only.
fn refuse_evacuated(
    state: &FleetState,
    servers: &[Arc<BackendState>],
    history: &RunHistory,
) -> Result<(), RefusalResponse> {
    let is_evacuated = |server: &Arc<BackendState>| server.is_evacuated();
    if servers.is_empty() || !servers.iter().all(is_evacuated) {
        return Ok(());
    }
    counter!("requests_all_evacuated_total").increment(1);
    if history.runs > 0 {
        return Err(final_refusal(history, false));
    }
    let count = state.evacuations.list().1.len();
    let detail = format_compact!(
        "all {} servers are in {count} evacuated failure domains",
        servers.len()
    );
    let refused = RefusalResponse::not_run(RefusalReason::DomainsEvacuated, detail);
    Err(refused.retry_after(EVACUATED_RETRY))
}

/// Refuses a request that may be sent to some regions only, if no server there takes requests.
fn refuse_restricted(
    request: &AdmittedRequest,
    views: &[SlotView],
    history: &RunHistory,
) -> Result<(), RefusalResponse> {
    let is_restricted = request.outgoing.residency.is_restricted();
    if !is_restricted || views.iter().any(|view| !view.leaving) {
        return Ok(());
    }
    if history.runs > 0 {
        return Err(final_refusal(history, false));
    }
    let detail = "no server in an allowed region takes requests";
    let refused = RefusalResponse::not_run(RefusalReason::RegionUnavailable, detail);
    Err(refused.retry_after(EVACUATED_RETRY))
}

/// Returns the refusal for a stream of whose version no server takes requests.
fn version_unavailable(history: &RunHistory) -> RefusalResponse {
    if history.runs > 0 {
        return final_refusal(history, false);
    }
    let detail = "no server of the version that began the stream takes requests";
    let refused = RefusalResponse::not_run(RefusalReason::VersionUnavailable, detail);
    refused.retry_after(ANEW_RETRY)
}

/// Returns the refusal for a request that got no slot.
fn no_slot(history: &RunHistory, servers: usize, wait: &SlotWait) -> RefusalResponse {
    if history.runs > 0 {
        return final_refusal(history, false);
    }
    let detail = format_compact!(
        "no free slot on {servers} servers, next one expected in {} ms at the earliest",
        wait.expected.as_millis()
    );
    let retry = retry_delay(wait.expected, wait.remaining, rand::random());
    RefusalResponse::not_run(RefusalReason::CapacityShort, detail).retry_after(retry)
}

/// Counts a waiting request until dropped, as overdue or as one that can still meet its target.
struct WaitGuard<'a> {
    state: &'a FleetState,
    overdue: bool,
    ahead: usize, // Overdue requests that were waiting before this one.
}

impl<'a> WaitGuard<'a> {
    fn new(state: &'a FleetState, overdue: bool) -> WaitGuard<'a> {
        let guard = WaitGuard {
            state,
            overdue,
            ahead: state.overdue_waiting.load(Ordering::Relaxed),
        };
        guard.counter().fetch_add(1, Ordering::Relaxed);
        guard
    }

    fn counter(&self) -> &AtomicUsize {
        match self.overdue {
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
