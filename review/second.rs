//! Cases of the second review: each starts processes of the project and stand-ins, and checks one rule.
//!
//! `review-2 CASE FOLDER` exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run. With
//! `TROUBLE=0` the disruption is left out.

#[path = "second_costly_job.rs"]
mod costly_job;
#[path = "second_fleet.rs"]
mod fleet;
#[path = "second_http.rs"]
mod http;
#[path = "second_json.rs"]
mod json;
#[path = "second_kept_jobs.rs"]
mod kept_jobs;
#[path = "second_links.rs"]
mod links;
#[path = "second_machine.rs"]
mod machine;
#[path = "second_old_jobs.rs"]
mod old_jobs;
#[path = "second_removed_route.rs"]
mod removed_route;
#[path = "second_server.rs"]
mod server;
#[path = "second_short_list.rs"]
mod short_list;
#[path = "second_store.rs"]
mod store;
#[path = "second_wire.rs"]
mod wire;

use std::{path::PathBuf, process::exit, thread, time::Duration};

/// Longest run of a case.
const LIMIT: Duration = Duration::from_secs(110);

fn main() {
    let mut arguments = std::env::args().skip(1);
    let (case, folder) = (arguments.next().unwrap_or_default(), arguments.next());
    let folder = PathBuf::from(folder.unwrap_or_else(|| ".".to_owned()));
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let run: fn(&std::path::Path, bool) -> bool = match case.as_str() {
        "costly-job" => costly_job::run,
        "kept-jobs" => kept_jobs::run,
        "old-jobs" => old_jobs::run,
        "removed-route" => removed_route::run,
        "short-list" => short_list::run,
        _ => fleet::fail_to_run("unknown case"),
    };
    let running = thread::spawn(move || run(&folder, has_trouble));
    let until = std::time::Instant::now() + LIMIT;
    while !running.is_finished() && std::time::Instant::now() < until {
        thread::sleep(Duration::from_millis(20));
    }
    if !running.is_finished() {
        fleet::fail_to_run("it took too long");
    }
    match running.join() {
        Ok(true) => exit(1),
        Ok(false) => exit(0),
        Err(_) => exit(2),
    }
}
