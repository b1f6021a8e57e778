//! Entry process: online requests and batch submissions of callers.

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

mod admit;
mod batches;
mod caller;
mod drain;
mod forward;
mod gate;
mod loads;
mod rate;
mod record;
mod relay;
mod reply;
mod server;
mod share;

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
