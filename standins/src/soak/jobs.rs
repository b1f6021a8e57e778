//! Batch jobs of a run: submission with retries at other VMs, cancellation, and reads of results.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        Mutex, //
    },
    time::{
        Duration,
        Instant, //
    },
};

use boragerill::sync::lock;
use rand::RngExt;
use reqwest::{
    Client,
    Method,
    RequestBuilder, //
};
use serde_json::{
    json,
    Value, //
};
use tokio::time::sleep;

use super::{
    config::{
        BATCH_PATH,
        HOST,
        KEY, //
    },
    events::{
        OrderBreach,
        OrderCheck,
        ServerRuns, //
    },
    load::SoakLoad,
};

/// Timeout of one call.
const CALL_TIMEOUT: Duration = Duration::from_millis(4000);

/// Pause between two calls about a job.
const CALL_PAUSE: Duration = Duration::from_millis(500);

/// Time for which a submission or cancellation is repeated.
const REPEAT_LIMIT: Duration = Duration::from_secs(10);

/// Share of the jobs that their client cancels.
const CANCELLED_SHARE: f64 = 0.2;

/// Begins the ids of all jobs.
const JOB_PREFIX: &str = "job-";

/// What became of a job.
#[derive(Clone, Debug)]
pub(crate) enum JobState {
    /// All results were read, each once and whole.
    Complete,
    /// No submission was accepted.
    Refused,
    /// The job was cancelled; with the time of the acknowledgement.
    Cancelled(Instant),
    /// The job wasn't complete in time, for the given cause.
    Incomplete(String),
    /// A result was wrong.
    Wrong(String),
    /// The text of the item with an id was out of order, or too short.
    Disordered(String, OrderBreach),
}

/// A job and what became of it.
#[derive(Clone, Debug)]
pub(crate) struct JobOutcome {
    /// Id of the job, with which the ids of its items begin.
    pub(crate) id: String,
    /// What became of it.
    pub(crate) state: JobState,
}

/// Returns whether a request to a server belongs to an item.
pub(crate) fn is_item(request: &str) -> bool {
    request.starts_with(JOB_PREFIX)
}

/// Clients that submit jobs.
pub(crate) struct JobClients {
    client: Client,
    vms: Vec<SocketAddr>,
    outcomes: Arc<Mutex<Vec<JobOutcome>>>,
    load: Arc<SoakLoad>,
    runs: ServerRuns,
}

impl JobClients {
    /// Returns clients of the VMs at the given addresses.
    pub(crate) fn new(vms: Vec<SocketAddr>, load: Arc<SoakLoad>, runs: ServerRuns) -> JobClients {
        let client = Client::builder()
            .no_proxy()
            .timeout(CALL_TIMEOUT)
            .pool_max_idle_per_host(0);
        JobClients {
            client: client.build().expect("client"),
            vms,
            outcomes: Arc::default(),
            load,
            runs,
        }
    }

    /// Returns what became of all jobs so far.
    pub(crate) fn records(&self) -> Vec<JobOutcome> {
        lock(&self.outcomes).clone()
    }

    /// Submits a job, and cancels it or reads its results until they are complete.
    pub(crate) async fn run_job(&self, number: usize) {
        let id = format!("{JOB_PREFIX}{number:05}");
        let state = self.follow_job(&id).await;
        lock(&self.outcomes).push(JobOutcome { id, state });
    }

    async fn follow_job(&self, id: &str) -> JobState {
        let items: Vec<Value> = (0..self.load.item_count)
            .map(|item| {
                let body = self.load.item_body(item);
                json!({
                    "id": format!("{id}-{item}"),
                    "path": format!("{BATCH_PATH}{id}-{item}"),
                    "headers": {"Model": "m", "Token-Usage": format!("450,{}", body.last_event + 1)},
                    "body": body.encoded,
                    "tokens": 451 + body.last_event,
                })
            })
            .collect();
        let body = json!({ "items": items }).to_string();
        let submit = || {
            let request = self.call(Method::POST, BATCH_PATH);
            request.header("attempt-id", id).body(body.clone())
        };
        if !self.repeat(submit, 202).await {
            return JobState::Refused;
        }
        let is_cancelled = rand::rng().random_bool(CANCELLED_SHARE);
        if !is_cancelled {
            return self.read_results(id).await;
        }
        let target = format!("/lots/{id}");
        match self
            .repeat(|| self.call(Method::DELETE, &target), 200)
            .await
        {
            true => JobState::Cancelled(Instant::now()),
            false => JobState::Refused,
        }
    }

    /// Repeats a call at one VM after the other until one answers with a status; returns whether one does.
    async fn repeat(&self, call: impl Fn() -> RequestBuilder, status: u16) -> bool {
        let until = Instant::now() + REPEAT_LIMIT;
        while Instant::now() < until {
            let response = call().send().await;
            if response.is_ok_and(|response| response.status() == status) {
                return true;
            }
            sleep(CALL_PAUSE).await;
        }
        false
    }

    async fn read_results(&self, id: &str) -> JobState {
        let until = Instant::now() + self.load.job_limit;
        let mut results: Vec<Value> = Vec::new();
        let mut last_status = 0;
        while Instant::now() < until {
            sleep(CALL_PAUSE).await;
            let target = format!("/lots/{id}?after={}", results.len());
            let Ok(response) = self.call(Method::GET, &target).send().await else {
                continue;
            };
            last_status = response.status().as_u16();
            if last_status != 200 {
                continue;
            }
            let Ok(page) = response.json::<Value>().await else {
                continue;
            };
            results.extend(page["results"].as_array().cloned().unwrap_or_default());
            if results.len() >= self.load.item_count {
                return self.check_results(id, &results);
            }
        }
        let listed = results.len();
        JobState::Incomplete(format!(
            "{listed} results listed, last status {last_status}"
        ))
    }

    /// Returns a call at a random VM.
    fn call(&self, method: Method, target: &str) -> RequestBuilder {
        let vm = rand::rng().random_range(0..self.vms.len());
        self.client
            .request(method, format!("http://{}{target}", self.vms[vm]))
            .header("host", HOST)
            .header("authorization", format!("Token {KEY}"))
            .header("time-remaining-ms", CALL_TIMEOUT.as_millis().to_string())
    }

    /// Checks that each item has one result with the whole text of one software version.
    fn check_results(&self, id: &str, results: &[Value]) -> JobState {
        let ids = results.iter().filter_map(|result| result["id"].as_str());
        let mut ids: Vec<&str> = ids.collect();
        ids.sort_unstable();
        let count = self.load.item_count;
        let expected = (0..count).map(|item| (format!("{id}-{item}"), item));
        let mut expected: Vec<(String, usize)> = expected.collect();
        expected.sort_unstable();
        if !ids.iter().eq(expected.iter().map(|(id, _)| id)) {
            return JobState::Wrong(format!("results of {ids:?}"));
        }
        for result in results {
            let id = result["id"].as_str().unwrap_or_default();
            if result["state"] != "completed" {
                return JobState::Wrong(format!("{result}"));
            }
            let found = expected.binary_search_by(|(other, _)| other.as_str().cmp(id));
            let item = found.map_or(0, |found| expected[found].1);
            let text = result["text"].as_str().unwrap_or_default();
            if let Err(breach) = self.check_text(item, text) {
                return JobState::Disordered(id.to_owned(), breach);
            }
        }
        JobState::Complete
    }

    /// Checks the text of the item with an index in its job.
    fn check_text(&self, item: usize, text: &str) -> Result<(), OrderBreach> {
        let body = self.load.item_body(item);
        let mut check = OrderCheck::new(body.text, true);
        for data in text.lines() {
            check.accept(data, &self.runs)?;
        }
        check.end(body.last_event, &self.runs)
    }
}
