//! Open-loop load: requests start when their time has come, whatever became of earlier ones, and
//! latency counts from that time.

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

/// Largest latency that histograms hold, in microseconds.
const LATENCY_LIMIT_US: u64 = 120_000_000;

/// What became of one request.
#[derive(Clone, Debug)]
pub(crate) struct RequestEnd {
    /// Index of the workspace.
    pub(crate) workspace: usize,
    /// When the request was due, from the start of the load.
    pub(crate) due: Duration,
    /// HTTP status; zero when the connection failed.
    pub(crate) status: u16,
    /// Reason of a refusal.
    pub(crate) reason: CompactString,
    /// Time from due to the first event.
    pub(crate) first: Duration,
    /// Time from due to the end.
    pub(crate) whole: Duration,
    /// Whether the answer came whole.
    pub(crate) complete: bool,
}

/// One request to come.
#[derive(Clone, Debug)]
struct PlannedRequest {
    workspace: usize,
    due: Duration,
    vm: usize,
    prompt: String,
}

/// Makes a histogram of microseconds.
pub(crate) fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, LATENCY_LIMIT_US, 3).expect("valid bounds")
}

/// Returns the key of a workspace.
pub(crate) fn key_of(workspace: &WorkspaceLoad) -> String {
    format!("key-of-{}", workspace.name)
}

/// Sends the case's load to entry ports and returns what became of each request.
pub(crate) async fn send_load(case: &BenchCase, ports: &[u16], client: &Client) -> Vec<RequestEnd> {
    let plan = plan_requests(case, ports.len());
    let start = Instant::now() + Duration::from_millis(50);
    let mut tasks = JoinSet::new();
    let mut ends = Vec::with_capacity(plan.len());
    for request in plan {
        sleep_until((start + request.due).into()).await;
        let url = format!("http://127.0.0.1:{}/v1/chat/completions", ports[request.vm]);
        let workspace = &case.workspaces[request.workspace];
        let messages = json!([{"role": "user", "content": request.prompt}]);
        let body = json!({"messages": messages, "max_tokens": workspace.tokens, "stream": true});
        let call = client.post(url).bearer_auth(key_of(workspace)).json(&body);
        tasks.spawn(send_one(call, request, start));
        while let Some(Ok(end)) = tasks.try_join_next() {
            ends.push(end);
        }
    }
    while let Some(Ok(end)) = tasks.join_next().await {
        ends.push(end);
    }
    ends.sort_by_key(|end| end.due);
    ends
}

/// Draws Poisson arrivals of every workspace, sorted by time.
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

async fn send_one(
    call: reqwest::RequestBuilder,
    request: PlannedRequest,
    start: Instant,
) -> RequestEnd {
    let due = start + request.due;
    let mut end = RequestEnd {
        workspace: request.workspace,
        due: request.due,
        status: 0,
        reason: CompactString::default(),
        first: Duration::ZERO,
        whole: Duration::ZERO,
        complete: false,
    };
    if let Ok(response) = call.send().await {
        end.status = response.status().as_u16();
        let mut body = response.bytes_stream();
        let mut text = Vec::new();
        while let Some(Ok(bytes)) = body.next().await {
            if end.first.is_zero() {
                end.first = due.elapsed();
            }
            text.extend_from_slice(&bytes);
        }
        end.complete = end.status == 200 && text.ends_with(b"data: [DONE]\n\n");
        if !end.complete {
            let value: serde_json::Value = serde_json::from_slice(&text).unwrap_or_default();
            end.reason = value["error"]["reason"].as_str().unwrap_or("broken").into();
        }
    }
    end.whole = due.elapsed();
    end
}
