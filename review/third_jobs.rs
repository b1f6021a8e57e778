//! Batch jobs as their clients hand them in and read them.

use std::time::Duration;

use crate::{
    fleet::Deployment,
    http::{self, wire},
    json::{number, table, text, Json},
};

const KEY: &str = "i9n73hh2b9wu3fexd9dn";

/// Returns the id of an item of a job.
pub fn item_id(job: &str, index: usize) -> String {
    format!("{}{index:04x}", &job[..12])
}

/// Hands a job in at a front; returns the status.
pub fn submit(
    deployment: &Deployment,
    machine: usize,
    (prefix, job): (&str, &str),
    items: usize,
) -> Option<u16> {
    let items = (0..items).map(|index| {
        let prompt = format!("9c2e41:100,{}:250", item_id(job, index));
        let headers = table([
            ("Model", text("m")),
            (wire("usage"), text("350,60")),
            (wire("prefix"), text(prompt)),
        ]);
        table([
            ("id", text(item_id(job, index))),
            ("path", text(format!("{prefix}3/{index}"))),
            ("headers", headers),
            ("body", text("q83vEjRWeJA=")),
            ("tokens", number(410)),
        ])
    });
    let body = table([("items", Json::List(items.collect()))]).to_string();
    let line = format!("POST {prefix}{}", &job[..6]);
    let response = call(
        deployment,
        machine,
        &line,
        &[(wire("id"), job), (wire("remaining"), "4000")],
        body.as_bytes(),
    );
    Some(response?.0)
}

/// Reads the results of a job from a position; returns the status and the results.
pub fn read(
    deployment: &Deployment,
    machine: usize,
    job: &str,
    after: usize,
) -> Option<(u16, Vec<Json>)> {
    let line = format!("GET /lots/{job}?after={after}");
    let (status, body) = call(deployment, machine, &line, &[(wire("wait"), "500")], b"")?;
    Some((status, Json::parse(&body).get("results").list().to_vec()))
}

/// Sends a call about a job with the tenant's key; returns the status and the body.
fn call(
    deployment: &Deployment,
    machine: usize,
    line: &str,
    more: &[(&str, &str)],
    body: &[u8],
) -> Option<(u16, String)> {
    let authorization = format!("Token {KEY}");
    let headers = [
        &[
            ("Host", "desk.example"),
            ("Authorization", authorization.as_str()),
        ],
        more,
    ]
    .concat();
    let machine = &deployment.machines[machine];
    let response = http::call(
        machine.callers?,
        line,
        &headers,
        body,
        Duration::from_secs(4),
    );
    let seen = response.map(|response| {
        (
            response.status(),
            String::from_utf8_lossy(&response.body).into_owned(),
        )
    });
    let shown = match &seen {
        Ok((status, body)) => format!("{status} {}", body.chars().take(200).collect::<String>()),
        Err(error) => error.to_string(),
    };
    deployment
        .record
        .add(format!("{line} at {}: {shown}", machine.name));
    seen.ok()
}
