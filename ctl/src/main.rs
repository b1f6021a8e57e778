//! Command-line tool for operators: declares resources and shows their status.

use std::process::ExitCode;

mod commands;
mod explain;
mod output;

fn main() -> ExitCode {
    boragerill::process::start_logging();
    let mut arguments = pico_args::Arguments::from_env();
    if arguments.contains(["-h", "--help"]) {
        println!("{}", commands::HELP);
        return ExitCode::SUCCESS;
    }
    if arguments.contains(["-V", "--version"]) {
        println!("boragerillctl {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("boragerillctl: cannot start the Tokio runtime: {error}");
            return ExitCode::FAILURE;
        }
    };
    match runtime.block_on(commands::run(arguments)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("boragerillctl: {}", failure.message);
            ExitCode::from(failure.code)
        }
    }
}
