//! Entry process: serves callers' online requests and batch jobs over HTTP.

use std::process::ExitCode;

use boragerill::{
    process::{
        run,
        start,
        ProcessInfo,
        StartMode, //
    },
    settings::EntrySettings, //
};

mod admission;
mod backends;
mod batches;
mod caller;
mod drain;
mod forward;
mod idempotency;
mod load_reports;
mod rate;
mod relay;
mod response;
mod server;
mod service_queue;

const INFO: ProcessInfo = ProcessInfo {
    name: "boragerill-entry",
    about: "serves callers: online requests and batch submissions",
    settings: "EntrySettings",
};

fn main() -> ExitCode {
    match start::<EntrySettings>(INFO) {
        StartMode::Exit(code) => code,
        StartMode::Run(settings) => run(INFO.name, settings.threads, server::run_entry(settings)),
    }
}
