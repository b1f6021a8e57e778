//! Common part of the stand-ins' `main` functions: arguments, logging and the HTTP server.

use std::process::ExitCode;

use boragerill::process::{
    serve,
    start_logging, //
};
use rocket::{
    config::LogLevel,
    data::{
        Limits,
        ToByteUnit, //
    },
    Build,
    Rocket, //
};

/// Parses `--port PORT` and serves HTTP on that port of the loopback address until the process is stopped.
///
/// `build` parses the further arguments and mounts the routes.
pub fn launch(
    name: &str,
    build: impl FnOnce(Rocket<Build>, &mut pico_args::Arguments) -> Rocket<Build>,
) -> ExitCode {
    start_logging();
    let mut arguments = pico_args::Arguments::from_env();
    let port: u16 = match arguments.value_from_str("--port") {
        Ok(port) => port,
        Err(error) => {
            eprintln!("{name}: {error}");
            return ExitCode::from(2);
        }
    };
    let limits = Limits::default()
        .limit("json", 2.mebibytes())
        .limit("bytes", 2.mebibytes());
    let config = rocket::Config {
        port,
        limits,
        log_level: LogLevel::Off,
        ..rocket::Config::release_default()
    };
    let server = build(rocket::custom(config), &mut arguments);
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build();
    let Ok(runtime) = runtime else {
        return ExitCode::FAILURE;
    };
    match runtime.block_on(serve(server, &format!("127.0.0.1:{port}"), |_| {})) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{name}: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Returns the value of a numeric option, or `default` when the option is missing or isn't a number.
pub fn option(arguments: &mut pico_args::Arguments, name: &'static str, default: u64) -> u64 {
    arguments
        .opt_value_from_str(name)
        .ok()
        .flatten()
        .unwrap_or(default)
}
