//! Load and experiment tool: open-loop load on a fleet of real processes, comparisons of policies, and
//! measurements of cost.

use std::process::ExitCode;

mod case;
mod load;
mod pairs;
mod rate_policies;
mod report;
mod run;
mod scaling;

const HELP: &str = "\
bench: measures and compares variants of the system

Usage: bench run CASE.json [--json FILE]   sends open-loop load to real processes, for each variant in turn
       bench pairs BASE OTHER              compares two policies on the same days and seeds, from two
                                           directories of journal entries: mean difference of worth with
                                           its confidence interval
       bench ways                          compares policies that enforce a rate over all VMs, by simulation
       bench slopes [PART]                 measures how the cost of control processes grows with VMs and
                                           workspaces, the delay of configuration changes, and the cost
                                           of a request;
                                           PART is controls, workspaces, changes or requests

Programs are started from the directory of this one; build with `cargo build --release --bins` first.";

fn main() -> ExitCode {
    let mut arguments = pico_args::Arguments::from_env();
    if arguments.contains(["-h", "--help"]) {
        println!("{HELP}");
        return ExitCode::SUCCESS;
    }
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build();
    let Ok(runtime) = runtime else {
        eprintln!("bench: cannot start the async runtime");
        return ExitCode::FAILURE;
    };
    let result = match arguments.subcommand().ok().flatten().as_deref() {
        Some("run") => runtime.block_on(run::run_case(arguments)),
        Some("pairs") => compare_pairs(&mut arguments),
        Some("ways") => rate_policies::compare(),
        Some("slopes") => {
            let only: Option<String> = arguments.opt_free_from_str().ok().flatten();
            runtime.block_on(scaling::measure(only.as_deref()))
        }
        _ => Err(HELP.to_owned()),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(cause) => {
            eprintln!("bench: {cause}");
            ExitCode::from(2)
        }
    }
}

fn compare_pairs(arguments: &mut pico_args::Arguments) -> Result<(), String> {
    let mut directory = |name: &str| {
        let given: Result<String, _> = arguments.free_from_str();
        given.map_err(|error| format!("{name}: {error}"))
    };
    let (base, other) = (directory("BASE")?, directory("OTHER")?);
    pairs::compare(&base, &other)
}
