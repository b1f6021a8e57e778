//! Client of the fleet's batch jobs, and the record of what it sent and received.

use std::{
    fmt::Display,
    fs, io,
    net::SocketAddr,
    path::PathBuf,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Message},
    json, wire,
};

/// Longest wait of the client for an answer: the time that it allows and 1.5 s more.
const READ_LIMIT: Duration = Duration::from_millis(5500);

/// Returns the ids of a job's items.
pub fn item_ids(job: &str, count: usize) -> Vec<String> {
    (0..count)
        .map(|index| format!("{job}{index:04x}"))
        .collect()
}

/// Returns the body of a submission.
pub fn submission(items: &[String]) -> String {
    let items = items.iter().map(|id| wire::item(id));
    format!(r#"{{"items":[{}]}}"#, items.collect::<Vec<_>>().join(","))
}

/// Sends a call on a new connection.
pub fn call(vm: SocketAddr, request: (&str, &str), id: &str, body: &str) -> io::Result<Message> {
    http::call(
        vm,
        request,
        &wire::call_headers(id),
        body.as_bytes(),
        READ_LIMIT,
    )
}

/// Sends a call on a new connection that breaks after a time, before the answer is read.
pub fn call_broken(
    vm: SocketAddr,
    request: (&str, &str),
    id: &str,
    body: &str,
    after: Duration,
) -> io::Result<()> {
    http::call_broken(vm, request, &wire::call_headers(id), body.as_bytes(), after)
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
