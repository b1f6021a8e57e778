//! Texts of the platform standard that the stand-ins send, and names that they read. They lie in the files `wire-*`.

/// Configuration of all cases: a safe route, one of streams that can't be resumed, and one of batch jobs.
pub const CONFIG: &str = include_str!("wire-config.json");

const ITEM: &str = include_str!("wire-item.json");
const CALL: &str = include_str!("wire-call.txt");
const REJECTION: &str = include_str!("wire-rejection.txt");
const STREAM: &str = include_str!("wire-stream.txt");
const NAMES: &str = include_str!("wire-names.txt");

/// Returns an item of a batch job.
pub fn item(id: &str) -> String {
    ITEM.trim_end().replace("{id}", id)
}

/// Returns the headers of a client's call; `id` identifies the request or the batch job.
pub fn call_headers(id: &str) -> String {
    lines(CALL).replace("{id}", id)
}

/// Returns the headers with which a server rejects a request that it hasn't run.
pub fn rejection_headers(id: &str, server: &str) -> String {
    lines(REJECTION)
        .replace("{id}", id)
        .replace("{server}", server)
}

/// Returns the headers of a stream.
pub fn stream_headers(id: &str) -> String {
    lines(STREAM).replace("{id}", id)
}

/// Returns the name of a header, in lower case.
///
/// # Panics
///
/// Panics if `wire-names.txt` doesn't have the meaning.
pub fn name(meaning: &str) -> &'static str {
    let named = NAMES.lines().filter_map(|line| line.split_once(": "));
    let mut named = named.filter(|entry| entry.0 == meaning);
    named.next().expect("a known meaning").1
}

/// Returns a text with the line ends of HTTP.
fn lines(text: &str) -> String {
    text.replace('\n', "\r\n")
}
