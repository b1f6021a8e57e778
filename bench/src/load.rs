//! Open-loop load: each request is sent at its planned time, whether or not earlier ones have completed,
//! and its latency is measured from that time.

use std::time::{
    Duration,
    Instant, //
};

use compact_str::CompactString;
use futures_util::StreamExt;
use hdrhistogram::Histogram;
use rand::{
    rngs::StdRng,
    RngExt,
    SeedableRng, //
};
use reqwest::Client;
use serde_json::json;
use tokio::{
    task::JoinSet,
    time::sleep_until, //
};

use crate::case::{
    BenchCase,
    WorkspaceLoad, //
};

/// Maximum latency in histograms, in microseconds.
const MAX_LATENCY_US: u64 = 120_000_000;

/// Outcome of a request.
#[derive(Clone, Debug)]
pub(crate) struct RequestOutcome {
    /// Index of the workspace.
    pub(crate) workspace: usize,
    /// Planned time of the request, from the start of the load.
    pub(crate) due: Duration,
    /// HTTP status; zero when the connection failed.
    pub(crate) status: u16,
    /// Reason of a rejection, `broken` for an incomplete response without one, or empty.
    pub(crate) reason: CompactString,
    /// Time from the planned time to the first bytes of the response's body.
    pub(crate) first: Duration,
    /// Time from the planned time to the end of the response.
    pub(crate) total: Duration,
    /// Whether the response was complete.
    pub(crate) complete: bool,
}

/// A request to send.
#[derive(Clone, Debug)]
struct PlannedRequest {
    workspace: usize,
    due: Duration,
    vm: usize,
    prompt: String,
}

/// Creates a histogram of latencies in microseconds.
pub(crate) fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_LATENCY_US, 3).expect("valid bounds")
}

/// Returns the API key of a workspace.
pub(crate) fn api_key(workspace: &WorkspaceLoad) -> String {
    format!("key-of-{}", workspace.name)
}

/// Sends the case's load to the entry processes at `ports`; returns the outcomes, sorted by planned time.
pub(crate) async fn send_load(
    case: &BenchCase,
    ports: &[u16],
    client: &Client,
) -> Vec<RequestOutcome> {
    let plan = plan_requests(case, ports.len());
    let start = Instant::now() + Duration::from_millis(50);
    let mut tasks = JoinSet::new();
    let mut outcomes = Vec::with_capacity(plan.len());
    for request in plan {
        sleep_until((start + request.due).into()).await;
        let url = format!("http://127.0.0.1:{}/v1/chat/completions", ports[request.vm]);
        let workspace = &case.workspaces[request.workspace];
        let messages = json!([{"role": "user", "content": request.prompt}]);
        let body = json!({"messages": messages, "max_tokens": workspace.tokens, "stream": true});
        let call = client.post(url).bearer_auth(api_key(workspace)).json(&body);
        tasks.spawn(send_request(call, request, start));
        while let Some(Ok(outcome)) = tasks.try_join_next() {
            outcomes.push(outcome);
        }
    }
    while let Some(Ok(outcome)) = tasks.join_next().await {
        outcomes.push(outcome);
    }
    outcomes.sort_by_key(|outcome| outcome.due);
    outcomes
}

/// Draws Poisson arrivals for every workspace, each at a random VM, sorted by planned time.
fn plan_requests(case: &BenchCase, vms: usize) -> Vec<PlannedRequest> {
    let mut draws = StdRng::seed_from_u64(case.seed);
    let mut plan = Vec::new();
    for (index, workspace) in case.workspaces.iter().enumerate() {
        let mut due = 0.0;
        loop {
            due += -(1.0 - draws.random::<f64>()).ln() / workspace.arrivals.max(1e-9);
            if due >= case.seconds {
                break;
            }
            let prefix = draws.random_range(0..workspace.prefixes.max(1));
            let filler = "Reading of pivot and soil sensors, in order of time. ".repeat(8);
            let prompt = format!(
                "{} template {prefix}: {filler} {}",
                workspace.name,
                draws.random::<u32>()
            );
            let vm = draws.random_range(0..vms);
            plan.push(PlannedRequest {
                workspace: index,
                due: Duration::from_secs_f64(due),
                vm,
                prompt,
            });
        }
    }
    plan.sort_by_key(|request| request.due);
    plan
}

async fn send_request(
    call: reqwest::RequestBuilder,
    request: PlannedRequest,
    start: Instant,
) -> RequestOutcome {
    let due = start + request.due;
    let mut outcome = RequestOutcome {
        workspace: request.workspace,
        due: request.due,
        status: 0,
        reason: CompactString::default(),
        first: Duration::ZERO,
        total: Duration::ZERO,
        complete: false,
    };
    if let Ok(response) = call.send().await {
        outcome.status = response.status().as_u16();
        let mut body = response.bytes_stream();
        let mut text = Vec::new();
        while let Some(Ok(bytes)) = body.next().await {
            if outcome.first.is_zero() {
                outcome.first = due.elapsed();
            }
            text.extend_from_slice(&bytes);
        }
        outcome.complete = outcome.status == 200 && text.ends_with(b"data: [DONE]\n\n");
        if !outcome.complete {
            let value: serde_json::Value = serde_json::from_slice(&text).unwrap_or_default();
            outcome.reason = value["error"]["reason"].as_str().unwrap_or("broken").into();
        }
    }
    outcome.total = due.elapsed();
    outcome
}
