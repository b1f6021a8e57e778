//! Client of the fleet's batch jobs, and the record of what it sent and received.

use std::{
    fmt::Display,
    fs,
    io,
    net::SocketAddr,
    path::PathBuf,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Message},
    json,
};

/// Host name of the routes.
pub const HOST: &str = "desk.example";

/// Key of the tenant.
const KEY: &str = "i9n73hh2b9wu3fexd9dn";

/// Longest wait of the client for an answer: `Time-Remaining-Ms` and 1.5 s more.
const READ_LIMIT: Duration = Duration::from_millis(5500);

/// Returns the configuration: a safe route, one of streams that can't be resumed, and a batch route of one service.
pub fn config() -> String {
    format!(
        r#"{{"version":1,"routes":[{{"name":"query","host":"{HOST}","path_prefix":"/query/","kind":"safe","timeout_ms":5000,"target_latency_ms":300,"priority":0,"service":"desk","max_attempts":2,"public":false}},{{"name":"stream","host":"{HOST}","path_prefix":"/stream/","kind":"streaming","timeout_ms":5000,"target_latency_ms":300,"priority":0,"service":"desk","max_attempts":1,"public":false,"resumable":false,"gap_target_ms":300}},{{"name":"lots","host":"{HOST}","path_prefix":"/lot/","kind":"batch","timeout_ms":15000,"target_latency_ms":400,"priority":2,"service":"desk","max_attempts":3,"public":false,"resumable":true,"gap_target_ms":300,"completion_target_ms":18000,"max_queue_s":36,"cap":940000}}],"services":[{{"name":"desk","health_path":"/health","max_connections":370}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{{"name":"kaje80","api_keys":["{KEY}"],"priority":1,"rate_per_s":500,"burst":500}}]}}"#
    )
}

/// Returns the ids of a job's items.
pub fn item_ids(job: &str, count: usize) -> Vec<String> {
    (0..count).map(|index| format!("{job}{index:04x}")).collect()
}

/// Returns the body of a submission.
pub fn submission(items: &[String]) -> String {
    let items = items.iter().map(|id| {
        format!(
            r#"{{"id":"{id}","path":"/lot/run/{id}","headers":{{"Model":"m","Token-Usage":"540,400","Prompt-Prefix":"{id}:540"}},"body":"q83vEjRWeJA=","tokens":940}}"#
        )
    });
    format!(r#"{{"items":[{}]}}"#, items.collect::<Vec<_>>().join(","))
}

/// Headers of every call.
fn headers<'a>(authorization: &'a str, id: &'a str) -> Vec<(&'static str, &'a str)> {
    vec![
        ("Host", HOST),
        ("Authorization", authorization),
        ("Attempt-Id", id),
        ("Time-Remaining-Ms", "4000"),
        ("Content-Type", "application/json"),
    ]
}

/// Sends a call on a new connection.
pub fn call(vm: SocketAddr, request: (&str, &str), id: &str, body: &str) -> io::Result<Message> {
    let authorization = format!("Token {KEY}");
    let headers = headers(&authorization, id);
    http::call(vm, request, &headers, body.as_bytes(), READ_LIMIT)
}

/// Results of a job as one read returned them.
#[derive(Debug, Default)]
pub struct Page {
    /// Status of the answer; zero without an answer.
    pub status: u16,
    /// Number of items.
    pub total: u64,
    /// Ids and states of the results.
    pub results: Vec<(String, String)>,
}

/// Reads the results of a job from its first position.
pub fn read_results(vm: SocketAddr, job: &str) -> Page {
    let mut page = Page::default();
    loop {
        let target = format!("/lots/{job}?after={}", page.results.len());
        let Ok(answer) = call(vm, ("GET", &target), "", "") else {
            return Page::default();
        };
        let text = answer.text();
        page.status = answer.status();
        page.total = json::number(&text, "total").unwrap_or(0);
        let results = json::elements(json::field(&text, "results").unwrap_or("[]"));
        if results.is_empty() {
            return page;
        }
        page.results.extend(results.into_iter().map(|result| {
            let text = |name| json::string(result, name).unwrap_or("").to_owned();
            (text("id"), text("state"))
        }));
    }
}

/// Record of a case, written to a file when this value is dropped.
pub struct Record {
    start: Instant,
    lines: Vec<String>,
    path: PathBuf,
}

impl Record {
    /// Starts a record.
    pub fn new(path: PathBuf) -> Record {
        Record {
            start: Instant::now(),
            lines: Vec::new(),
            path,
        }
    }

    /// Adds a line with the present time.
    pub fn add(&mut self, text: impl Display) {
        self.add_at(Instant::now(), text);
    }

    /// Adds a line with a time.
    pub fn add_at(&mut self, at: Instant, text: impl Display) {
        let seconds = at.saturating_duration_since(self.start).as_secs_f64();
        self.lines.push(format!("{seconds:8.3} s  {text}"));
    }
}

impl Drop for Record {
    fn drop(&mut self) {
        self.lines.sort();
        let text = self.lines.join("\n") + "\n";
        if let Err(error) = fs::write(&self.path, text) {
            eprintln!("{}: {error}", self.path.display());
        }
    }
}
