//! Admission control: checks callers' requests against configuration, keys, limits and rates.

use std::{
    sync::{
        Arc,
        OnceLock, //
    },
    time::{
        Duration,
        Instant, //
    },
};

use boragerill::{
    catalog::{
        Catalog,
        CatalogRoute,
        CatalogVersion,
        CatalogWorkspace,
        RouteKind, //
    },
    job_owner::{
        KeyFault,
        KeyTerms, //
    },
    rate_limiter::RateDecision,
    refusal::{
        RefusalReason,
        RefusalResponse,
        RunState, //
    },
    residency::ResidencyRule,
    stream_version::VersionKey,
    sync::lock,
    timer::millis, //
};
use bytes::Bytes;
use compact_str::{
    format_compact,
    CompactString, //
};
use hyper::{
    body::Incoming,
    http::request::Parts,
    Request,
    Version, //
};
use log::info;
use metrics::{
    counter,
    histogram, //
};
use tokio::time::sleep;

use crate::{
    attempt::{
        DeadlineSource,
        OutgoingRequest, //
    },
    backends::RequestClass,
    caller::{
        parse_host,
        set_workspace,
        CallerRequest, //
    },
    dispatch::dispatch_request,
    head_timer::HeadTimer,
    jobs,
    request_body::read_body,
    response::{
        refusal,
        CallerResponse, //
    },
    resubmission::{
        confirm_without_route,
        find_submitter, //
    },
    state::{
        workspace_rate,
        FleetState, //
    },
    state_fetch::{
        is_confirmed,
        FetchedState, //
    },
    stop_guard::{
        refuse_outlasting,
        refuse_stopping,
        wait_for_last_answer,
        RunTimer, //
    },
    stream_versions::pin_version,
    wire::CallerOperation, //
};

/// Retry delay for callers while this VM has no configuration yet, or waits for a newer one.
const CONFIG_RETRY: Duration = Duration::from_millis(300);

/// A request that passed admission control.
pub(crate) struct AdmittedRequest {
    /// Route of the request.
    pub(crate) route: Arc<CatalogRoute>,
    /// Service chosen from the route.
    pub(crate) service: CompactString,
    /// Request to send to a backend server.
    pub(crate) outgoing: OutgoingRequest,
    /// Time at which the request's head was received.
    pub(crate) arrived: Instant,
    /// Version of the servers that may run the request, if it takes a stream up again.
    pub(crate) version: Option<VersionKey>,
    /// Time that the caller spent on earlier attempts, estimated from the timeout that it has left.
    pub(crate) age: Duration,
}

/// Response to a caller, or the refusal to send to it.
pub(crate) type CallerResult = Result<CallerResponse, RefusalResponse>;

/// Handles one HTTP request of a caller.
pub(crate) async fn serve(state: &Arc<FleetState>, request: Request<Incoming>) -> CallerResponse {
    let arrived = Instant::now();
    let (parts, body) = request.into_parts();
    let names = &state.format.names;
    let caller = match CallerRequest::read(names, &parts, arrived) {
        Ok(caller) => caller,
        Err(refused) => return refusal(names, &refused, ""),
    };
    let id = caller.id.clone();
    let mut logger = DisconnectLogger::new(&id, arrived);
    let result = handle_request(state, caller, &parts, body).await;
    logger.responded = true;
    histogram!("answer_head_seconds").record(arrived.elapsed().as_secs_f64());
    result.unwrap_or_else(|refused| {
        let fetches = &state.fetches;
        info!(
            request = id.as_str(),
            method = parts.method.as_str(),
            host = parse_host(&parts),
            path = parts.uri.path(),
            reason = refused.reason.name(),
            outcome = refused.state.name(),
            detail = refused.detail.as_str(),
            catalog = state.catalog.version(),
            newest = fetches.newest(FetchedState::Catalog),
            behind_ms = fetches.behind_since(FetchedState::Catalog).map(|since| millis(since.elapsed())),
            unconfirmed_ms = fetches.unconfirmed_for(FetchedState::Catalog).map(millis),
            age_ms = millis(arrived.elapsed());
            "request refused"
        );
        refusal(names, &refused, &id)
    })
}

/// Logs on drop that the caller disconnected, unless the response has begun.
struct DisconnectLogger<'a> {
    request: &'a str,
    arrived: Instant,
    responded: bool,
}

impl<'a> DisconnectLogger<'a> {
    fn new(request: &'a str, arrived: Instant) -> DisconnectLogger<'a> {
        DisconnectLogger {
            request,
            arrived,
            responded: false,
        }
    }
}

impl Drop for DisconnectLogger<'_> {
    fn drop(&mut self) {
        if self.responded {
            return;
        }
        counter!("callers_left_total").increment(1);
        info!(request = self.request, age_ms = millis(self.arrived.elapsed()); "caller disconnected before the response");
    }
}

/// Admits a request and dispatches it, or serves a call about a batch job.
async fn handle_request(
    state: &Arc<FleetState>,
    caller: CallerRequest,
    parts: &Parts,
    body: Incoming,
) -> CallerResult {
    let catalog = state.catalog.load().ok_or_else(|| {
        let detail = "no configuration received yet";
        RefusalResponse::not_run(RefusalReason::ConfigMissing, detail).retry_after(CONFIG_RETRY)
    })?;
    // A job outlives its route, so the routes in force don't decide whether a call is about one.
    let operation = (state.format.classify)(parts);
    if operation != CallerOperation::Request {
        let terms = KeyTerms {
            has_workspaces: catalog.needs_keys(),
            is_open: catalog.has_open_batch(),
        };
        let workspace = find_workspace(state, &catalog, &caller, terms)?;
        let name = workspace.map_or("", |workspace| workspace.name.as_str());
        return jobs::serve_call(state, &caller, operation, name).await;
    }
    check_intake(state, &catalog, &caller)?;
    if let Err(refused) = authorize(state, &catalog, &caller) {
        // The body shows whether it is the submission of a job that was accepted while there was a route.
        if find_submitter(state, &catalog, &caller).is_none() {
            return Err(refused);
        }
    }
    let body = tokio::select! {
        body = read_body(&catalog, &state.caller_bytes, parts, body) => body?,
        () = wait_for_last_answer(state) => return Err(refuse_stopping()),
    };
    if let Some(timer) = parts.extensions.get::<Arc<HeadTimer>>() {
        timer.end_body();
    }
    // The body may be complete long after the head.
    let known = catalog.version();
    let catalog = state.catalog.load().unwrap_or(catalog);
    let (route, workspace) = match authorize(state, &catalog, &caller) {
        Ok(authorized) => authorized,
        Err(refused) => {
            let refused = match catalog.version() == known {
                true => refused,
                false => refuse_withdrawn(&refused, catalog.version()),
            };
            let confirming = confirm_without_route(state, &catalog, &caller, &body, refused);
            return tokio::select! {
                confirmed = confirming => confirmed,
                () = wait_for_last_answer(state) => Err(refuse_stopping()),
            };
        }
    };
    refuse_outlasting(state, route, caller.arrived, caller.deadline)?;
    if let RouteKind::Batch(terms) = &route.kind {
        let name = workspace.map_or("", |workspace| workspace.name.as_str());
        let timer = RunTimer::start(state, &route.name);
        let submitted = jobs::submit(state, &caller, (route.as_ref(), terms), name, body).await;
        if submitted.is_ok() {
            timer.finish();
        }
        return submitted;
    }
    check_protocol(parts.version, &route.kind)?;
    let residency = catalog.residency(&route.allowed_regions, workspace);
    let mut request = admit(state, caller, route, workspace, body)?;
    request.outgoing.residency = residency;
    let workspace = workspace.filter(|workspace| workspace.rate > 0.0);
    let admitting = async {
        pin_version(state, &mut request).await?;
        match workspace {
            Some(workspace) => take_token(state, workspace).await,
            None => Ok(()),
        }
    };
    tokio::select! {
        admitted = admitting => admitted?,
        () = wait_for_last_answer(state) => return Err(refuse_stopping()),
    }
    let result = dispatch_request(state, request).await;
    if let (Some(workspace), Err(refused)) = (workspace, &result) {
        if refused.state == RunState::NotRun {
            lock(&state.rate_limiter).return_token(workspace.hash);
        }
    }
    result
}

/// Checks that this VM takes requests now, and that a request has an id.
fn check_intake(
    state: &FleetState,
    catalog: &Catalog,
    caller: &CallerRequest,
) -> Result<(), RefusalResponse> {
    if let Some(route) = catalog.find_route(&caller.host, caller.path()) {
        refuse_outlasting(state, route, caller.arrived, caller.deadline)?;
    }
    if !state.evacuations.is_known() {
        let detail = "no list of evacuated failure domains received yet";
        let refused = RefusalResponse::not_run(RefusalReason::EvacuationsMissing, detail);
        return Err(refused.retry_after(CONFIG_RETRY));
    }
    if caller.id.is_empty() {
        let field = state.format.names.request_id.as_str();
        return Err(RefusalResponse::not_run(
            RefusalReason::RequestMalformed,
            field,
        ));
    }
    Ok(())
}

/// Refuses a stream to a caller of HTTP/1.0, which has no chunks: a stream would end with its connection, and one that is
/// aborted, or whose VM ends, would look complete.
fn check_protocol(version: Version, kind: &RouteKind) -> Result<(), RefusalResponse> {
    match kind {
        RouteKind::Stream(_) if version < Version::HTTP_11 => {
            let detail = format_compact!("streams need HTTP/1.1, the request is {version:?}");
            let reason = RefusalReason::ProtocolUnsupported;
            Err(RefusalResponse::not_run(reason, detail))
        }
        _ => Ok(()),
    }
}

/// Returns the route of a request, and the workspace that the caller's API key belongs to; no workspace on routes that
/// are open to all, except for batch jobs, which belong to it.
///
/// # Errors
///
/// Returns a refusal when there is no route for the request, or no workspace with its key.
fn authorize<'a>(
    state: &FleetState,
    catalog: &'a Catalog,
    caller: &CallerRequest,
) -> Result<(&'a Arc<CatalogRoute>, Option<&'a CatalogWorkspace>), RefusalResponse> {
    let found = catalog.find_route(&caller.host, caller.path());
    let route =
        found.ok_or_else(|| refuse_unknown(state, RefusalReason::RouteUnknown, caller.path()))?;
    let terms = KeyTerms {
        has_workspaces: catalog.needs_keys(),
        is_open: route.open,
    };
    let workspace = match &route.kind {
        RouteKind::Batch(_) => find_workspace(state, catalog, caller, terms)?,
        _ if route.open => None,
        _ => find_workspace(state, catalog, caller, terms)?,
    };
    Ok((route, workspace))
}

/// Returns the workspace that the caller's API key belongs to; `None` if the terms admit callers without one.
///
/// # Errors
///
/// Returns a refusal when the request lacks a key that it needs, or carries an unknown one.
fn find_workspace<'a>(
    state: &FleetState,
    catalog: &'a Catalog,
    caller: &CallerRequest,
    terms: KeyTerms,
) -> Result<Option<&'a CatalogWorkspace>, RefusalResponse> {
    terms
        .caller(catalog.caller_key(caller.key.as_deref()))
        .map_err(|fault| match fault {
            KeyFault::Missing => {
                RefusalResponse::not_run(RefusalReason::KeyMissing, "authorization")
            }
            KeyFault::Unknown => refuse_unknown(state, RefusalReason::KeyUnknown, "authorization"),
        })
}

/// Refuses a request whose route or key was withdrawn while its body was received. The caller began to send it while it
/// was permitted, so it isn't refused for good.
fn refuse_withdrawn(refused: &RefusalResponse, version: CatalogVersion) -> RefusalResponse {
    let cause = format_compact!(
        "{} since version {version}, received with the body: {}",
        refused.reason.name(),
        refused.detail
    );
    RefusalResponse::not_run(RefusalReason::ConfigStale, cause).retry_after(CONFIG_RETRY)
}

/// Refuses a request for something that the configuration in force doesn't have. While a newer configuration is known
/// of, which may have it, or the one in force isn't confirmed as the newest, the request isn't refused for good.
fn refuse_unknown(state: &FleetState, reason: RefusalReason, detail: &str) -> RefusalResponse {
    let fetches = &state.fetches;
    let doubt = match fetches.behind_since(FetchedState::Catalog) {
        Some(since) => format_compact!(
            "version {} is known of since {} ms",
            fetches.newest(FetchedState::Catalog),
            millis(since.elapsed())
        ),
        None if is_confirmed(state, FetchedState::Catalog) => {
            return RefusalResponse::not_run(reason, detail);
        }
        None => CompactString::const_new("which isn't confirmed as the newest"),
    };
    let cause = format_compact!(
        "{} in version {}, {doubt}: {detail}",
        reason.name(),
        state.catalog.version()
    );
    RefusalResponse::not_run(RefusalReason::ConfigStale, cause).retry_after(CONFIG_RETRY)
}

/// Takes a token from the workspace's rate limit; waits while the decision is pending.
///
/// # Errors
///
/// Returns a refusal with a retry delay when the rate is exceeded.
async fn take_token(
    state: &FleetState,
    workspace: &CatalogWorkspace,
) -> Result<(), RefusalResponse> {
    loop {
        let now = Instant::now();
        let view = state.fleet_view(now);
        let decision = lock(&state.rate_limiter).take(workspace_rate(workspace), view, now);
        match decision {
            RateDecision::Granted => {
                state.backends.changed.notify_one();
                return Ok(());
            }
            RateDecision::Pending(wait) => sleep(wait).await,
            RateDecision::Refused(wait) => {
                let detail = format_compact!(
                    "rate of workspace {} exceeded, {} of {} VMs report their usage",
                    workspace.name,
                    view.reporting,
                    view.size
                );
                return Err(
                    RefusalResponse::not_run(RefusalReason::RateExceeded, detail).retry_after(wait),
                );
            }
        }
    }
}

/// Makes the request to send to a backend server.
///
/// # Errors
///
/// Returns a refusal when the route has no service.
fn admit(
    state: &FleetState,
    caller: CallerRequest,
    route: &Arc<CatalogRoute>,
    workspace: Option<&CatalogWorkspace>,
    body: Bytes,
) -> Result<AdmittedRequest, RefusalResponse> {
    let service = route.choose_service(&caller.id).ok_or_else(|| {
        RefusalResponse::not_run(RefusalReason::RouteUnknown, "route has no service")
    })?;
    let mut headers = caller.headers;
    if let Some(workspace) = workspace {
        set_workspace(&state.format.names, &mut headers, &workspace.name);
    }
    let workspace =
        workspace.map_or_else(CompactString::default, |workspace| workspace.name.clone());
    let target = caller.target.to_string();
    let prompt = caller.prompt.with_fingerprints(&workspace, &target, &body);
    let limit = route.timeout.map(|limit| caller.arrived + limit);
    let (deadline, deadline_source) = match limit {
        Some(limit) if limit < caller.deadline => (limit, DeadlineSource::Route),
        _ => (caller.deadline, DeadlineSource::Caller),
    };
    Ok(AdmittedRequest {
        service: service.clone(),
        arrived: caller.arrived,
        version: None,
        age: state.timeouts.record(
            &route.name,
            caller.deadline.saturating_duration_since(caller.arrived),
            caller.arrived,
        ),
        outgoing: OutgoingRequest {
            id: caller.id,
            workspace,
            method: caller.method,
            target: caller.target,
            headers,
            body,
            deadline,
            deadline_source,
            repeatable: route.is_repeatable(),
            kind: RequestClass::Online,
            prompt,
            residency: ResidencyRule::default(),
            cost: OnceLock::new(),
        },
        route: route.clone(),
    })
}
