//! Common parts of all daemons: arguments, logging, health, metrics and shutdown.

use std::{
    path::PathBuf,
    process::ExitCode,
    sync::{
        atomic::{
            AtomicBool,
            Ordering, //
        },
        Arc, //
    },
    time::Duration, //
};

use compact_str::CompactString;
use log::error;
use rocket::{
    config::{
        LogLevel,
        Shutdown, //
    },
    get,
    http::Status,
    routes,
    Build,
    Rocket,
    State, //
};
use serde::de::DeserializeOwned;
use tokio::signal::unix::{
    signal,
    Signal,
    SignalKind, //
};

use crate::{
    error::{
        ServeError,
        Step, //
    },
    logger,
    meter::MeterRecorder,
    settings, //
};

/// Exit code for invalid settings or arguments.
pub const EXIT_USAGE: u8 = 2;

/// Name and purpose of a daemon, for its help text.
#[derive(Clone, Copy, Debug)]
pub struct ProcessInfo {
    /// Name of the program.
    pub name: &'static str,
    /// Purpose of the program, in one line.
    pub about: &'static str,
    /// Name of its definition in the settings schema.
    pub settings: &'static str,
}

/// Outcome of parsing a daemon's arguments.
#[derive(Debug)]
pub enum StartMode<T> {
    /// Run with these settings.
    Run(T),
    /// Exit immediately with this code.
    Exit(ExitCode),
}

/// Parses the arguments of a daemon and loads its settings.
pub fn start<T: DeserializeOwned>(info: ProcessInfo) -> StartMode<T> {
    match start_with_path(info) {
        StartMode::Run((settings, _)) => StartMode::Run(settings),
        StartMode::Exit(code) => StartMode::Exit(code),
    }
}

/// As [`start`], and returns the path of the settings file as well, so that it can be reloaded.
pub fn start_with_path<T: DeserializeOwned>(info: ProcessInfo) -> StartMode<(T, PathBuf)> {
    let mut arguments = pico_args::Arguments::from_env();
    if arguments.contains(["-h", "--help"]) {
        println!("{}", help_text(info));
        return StartMode::Exit(ExitCode::SUCCESS);
    }
    if arguments.contains(["-V", "--version"]) {
        println!("{} {}", info.name, env!("CARGO_PKG_VERSION"));
        return StartMode::Exit(ExitCode::SUCCESS);
    }
    let check = arguments.contains("--check");
    let path = match arguments.value_from_str::<_, PathBuf>("--settings") {
        Ok(path) => path,
        Err(error) => return usage(info, &error.to_string()),
    };
    if let Some(unknown) = arguments.finish().first() {
        return usage(
            info,
            &format!("unknown argument {}", unknown.to_string_lossy()),
        );
    }
    match settings::load(info.settings, &path) {
        Err(error) => usage(info, &error.to_string()),
        Ok(_) if check => {
            println!("{}: settings are valid", path.display());
            StartMode::Exit(ExitCode::SUCCESS)
        }
        Ok(settings) => {
            logger::install();
            StartMode::Run((settings, path))
        }
    }
}

/// Initializes logging of command-line tools to standard error; `RUST_LOG` sets the level, `info` by
/// default.
pub fn start_logging() {
    let environment = env_logger::Env::default().default_filter_or("info,rocket=off,hyper=off");
    env_logger::Builder::from_env(environment)
        .format_timestamp_millis()
        .init();
}

/// Runs a daemon on a new runtime and converts its result into an exit code.
pub fn run(
    name: &str,
    threads: u32,
    daemon: impl std::future::Future<Output = Result<(), ServeError>>,
) -> ExitCode {
    let threads = usize::try_from(threads).unwrap_or(1);
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(threads)
        .enable_all()
        .build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => return fail(name, &format!("cannot start the async runtime: {error}")),
    };
    match runtime.block_on(daemon) {
        Ok(()) => {
            logger::flush();
            ExitCode::SUCCESS
        }
        Err(error) => fail(name, &error.to_string()),
    }
}

/// Reports a fatal error to the log and to standard error.
fn fail(name: &str, cause: &str) -> ExitCode {
    error!("{name}: {cause}");
    logger::flush();
    eprintln!("{name}: {cause}");
    ExitCode::FAILURE
}

fn usage<T>(info: ProcessInfo, cause: &str) -> StartMode<T> {
    eprintln!("{}: {cause}", info.name);
    StartMode::Exit(ExitCode::from(EXIT_USAGE))
}

fn help_text(info: ProcessInfo) -> String {
    format!(
        "{}: {}\n\nUsage: {} --settings FILE [--check]\n\n  --settings FILE  settings as JSON, see docs/SETTINGS.md\n  \
         --check          validate the settings and exit\n  --version        print the version\n  \
         --help           print this text\n\nExit codes: 0 success, 1 failure at run time, 2 bad arguments or settings.",
        info.name, info.about, info.name
    )
}

/// Readiness and metrics of a process.
#[derive(Clone, Debug)]
pub struct HealthState {
    ready: Arc<AtomicBool>,
    recorder: MeterRecorder,
}

impl HealthState {
    /// Installs the metrics recorder; the process starts as not ready.
    ///
    /// # Panics
    ///
    /// Panics when a recorder is already installed.
    pub fn install() -> HealthState {
        let recorder = MeterRecorder::default();
        recorder
            .install()
            .expect("metrics recorder must be installed only once");
        HealthState {
            ready: Arc::default(),
            recorder,
        }
    }

    /// Sets whether the process accepts new work.
    pub fn set_ready(&self, ready: bool) {
        self.ready.store(ready, Ordering::Relaxed);
    }

    /// Returns whether the process accepts new work.
    pub fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Relaxed)
    }
}

#[get("/healthz")]
fn healthz() -> &'static str {
    "ok\n"
}

#[get("/readyz")]
fn readyz(health: &State<HealthState>) -> (Status, &'static str) {
    if health.is_ready() {
        (Status::Ok, "ready\n")
    } else {
        (Status::ServiceUnavailable, "not ready\n")
    }
}

#[get("/metrics")]
fn render_metrics(health: &State<HealthState>) -> String {
    health.recorder.render()
}

/// Creates an HTTP server with the health and metrics routes.
///
/// # Errors
///
/// Returns `ServeError::Invalid` when `address` is not an IP address.
pub fn http_server(
    address: &str,
    port: u16,
    grace: Duration,
    health: HealthState,
) -> Result<Rocket<Build>, ServeError> {
    let parsed = address.parse().map_err(|_| {
        let peer = CompactString::from("settings");
        ServeError::Invalid(
            Step::Settings,
            peer,
            "address".into(),
            "is not an IP address".into(),
        )
    })?;
    let config = rocket::Config {
        address: parsed,
        port,
        log_level: LogLevel::Off,
        cli_colors: false,
        shutdown: Shutdown {
            ctrlc: false,
            signals: Default::default(),
            grace: u32::try_from(grace.as_secs()).unwrap_or(u32::MAX),
            mercy: 1,
            force: false,
            ..Shutdown::default()
        },
        ..rocket::Config::release_default()
    };
    Ok(rocket::custom(config)
        .manage(health)
        .mount("/", routes![healthz, readyz, render_metrics]))
}

/// Runs the server until shutdown; `on_start` receives the handle for shutting it down.
///
/// # Errors
///
/// Returns `ServeError::Unreachable` at step `Listen` when the port can't be bound.
pub async fn serve(
    server: Rocket<Build>,
    listen: &str,
    on_start: impl FnOnce(rocket::Shutdown),
) -> Result<(), ServeError> {
    let failed = |error: rocket::Error| {
        let cause = match error.kind() {
            rocket::error::ErrorKind::Bind(cause) => cause.to_string(),
            kind => kind.to_string(),
        };
        ServeError::Unreachable(Step::Listen, listen.into(), cause.into())
    };
    let server = server.ignite().await.map_err(failed)?;
    on_start(server.shutdown());
    server.launch().await.map_err(failed)?;
    Ok(())
}

/// Waits for SIGTERM or SIGINT.
///
/// # Panics
///
/// Panics when the signal handlers can't be installed.
pub async fn wait_for_stop_signal() {
    let mut terminate = signal(SignalKind::terminate()).expect("SIGTERM handler must be installed");
    let mut interrupt = signal(SignalKind::interrupt()).expect("SIGINT handler must be installed");
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}

/// Receiver of SIGHUP, which requests a reload of the settings.
#[derive(Debug)]
pub struct ReloadSignal {
    hangup: Signal,
}

impl ReloadSignal {
    /// Installs the handler for SIGHUP.
    ///
    /// # Panics
    ///
    /// Panics when the signal handler can't be installed.
    pub fn install() -> ReloadSignal {
        ReloadSignal {
            hangup: signal(SignalKind::hangup()).expect("SIGHUP handler must be installed"),
        }
    }

    /// Waits for the next signal; returns `false` if no more signals can arrive.
    pub async fn next(&mut self) -> bool {
        self.hangup.recv().await.is_some()
    }
}
