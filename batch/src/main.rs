//! Batch process: claims chunks of batch jobs and runs their items on capacity that online requests leave free.

use std::process::ExitCode;

use boragerill::{
    process::{
        run,
        start,
        ProcessInfo,
        StartMode, //
    },
    settings::BatchSettings, //
};

mod chunk;
mod feeder;
mod item;
mod jobs;

const INFO: ProcessInfo = ProcessInfo {
    name: "boragerill-batch",
    about: "runs batch jobs on capacity that online requests leave free",
    settings: "BatchSettings",
};

fn main() -> ExitCode {
    match start::<BatchSettings>(INFO) {
        StartMode::Exit(code) => code,
        StartMode::Run(settings) => run(INFO.name, settings.threads, feeder::run_batch(settings)),
    }
}
