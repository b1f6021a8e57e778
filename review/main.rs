//! Runs one case of the review against the real program and stand-ins of its surroundings:
//! `review-cases CASE FOLDER`. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.

mod cancelled_job;
mod client;
mod cut_watches;
mod fleet;
mod http;
mod json;
mod lost_front;
mod resent_job;
mod server;
mod store;
mod unreadable_entry;
mod wire;

use std::{env, path::Path, process::ExitCode};

use client::Record;

fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().skip(1).collect();
    let [case, folder] = arguments.as_slice() else {
        eprintln!("usage: review-cases CASE FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let mut record = Record::new(Path::new(folder).join("record.txt"));
    let ended = match case.as_str() {
        "cancelled-job" => cancelled_job::run(&mut record, has_trouble),
        "cut-watches" => cut_watches::run(&mut record, has_trouble),
        "lost-front" => lost_front::run(&mut record, has_trouble),
        "resent-job" => resent_job::run(&mut record, has_trouble),
        "unreadable-entry" => unreadable_entry::run(&mut record, has_trouble),
        _ => Err(format!("no case {case}")),
    };
    let (code, text) = match ended {
        Ok(true) => (1, "rule broken".to_owned()),
        Ok(false) => (0, "rule held".to_owned()),
        Err(cause) => (2, format!("not run: {cause}")),
    };
    record.add(&text);
    println!("{case}: {text}");
    ExitCode::from(code)
}
