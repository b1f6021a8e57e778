//! Cases of the third review, and the stand-ins that they start.
//!
//! Usage: `third CASE FOLDER`, in the folder of the project. Exits with 1 if the rule of the case was broken, with 0 if it
//! held, and with 2 if the case couldn't run. `TROUBLE=0` leaves the disruption out.

#[path = "third_empty_answers.rs"]
mod empty_answers;
#[path = "third_fleet.rs"]
mod fleet;
#[path = "third_http.rs"]
mod http;
#[path = "third_jobs.rs"]
mod jobs;
#[path = "third_json.rs"]
mod json;
#[path = "third_open_route.rs"]
mod open_route;
#[path = "third_release.rs"]
mod release;
#[path = "third_restarts.rs"]
mod restarts;
#[path = "third_server.rs"]
mod server;
#[path = "third_store.rs"]
mod store;
#[path = "third_versions.rs"]
mod versions;

use std::{path::Path, process::exit};

/// Outcome of a case.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    Held,
    Broken,
    NotRun,
}

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, rest @ ..] = arguments.as_slice() else {
        eprintln!("usage: third CASE FOLDER");
        exit(2);
    };
    if case == "server" {
        return server::run(rest);
    }
    let folder = Path::new(rest.first().map_or(".", String::as_str));
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let outcome = match case.as_str() {
        "release" => release::run(folder, has_trouble),
        "restarts" => restarts::run(folder, has_trouble, restarts::IN_TURN),
        "without-length" => restarts::run(folder, has_trouble, restarts::WITHOUT_LENGTH),
        "versions" => versions::run(folder, has_trouble),
        "empty-answers" => empty_answers::run(folder, has_trouble),
        "open-route" => open_route::run(folder, has_trouble),
        _ => Outcome::NotRun,
    };
    println!("{outcome:?}");
    exit(match outcome {
        Outcome::Held => 0,
        Outcome::Broken => 1,
        Outcome::NotRun => 2,
    });
}
