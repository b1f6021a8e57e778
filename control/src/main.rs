//! Control process of one VM: configuration, membership and rate leases.

use std::process::ExitCode;

use boragerill::{
    process::{
        run,
        start,
        ProcessInfo,
        StartMode, //
    },
    settings::ControlSettings, //
};

mod hub;
mod membership;
mod peers;
mod server;
mod status;
mod watcher;

const INFO: ProcessInfo = ProcessInfo {
    name: "boragerill-control",
    about: "maintains the configuration, membership and rate leases of one VM",
    settings: "ControlSettings",
};

fn main() -> ExitCode {
    match start::<ControlSettings>(INFO) {
        StartMode::Exit(code) => code,
        StartMode::Run(settings) => run(INFO.name, settings.threads, server::run_control(settings)),
    }
}
