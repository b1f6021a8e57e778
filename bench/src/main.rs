//! Load and experiment tool: open-loop load on a fleet of real processes, variants in one run.

use std::process::ExitCode;

mod case;
mod load;
mod pairs;
mod report;
mod run;
mod slopes;
mod ways;

const HELP: &str = "\
bench: measures variants of the system in one run

Usage: bench run CASE.json [--json FILE]   open-loop load on real processes, each variant in turn
       bench pairs BASE OTHER              two policies on the same days and seeds, from two folders of
                                           journal entries: mean difference of worth with its interval
       bench ways                          ways to hold a rate over all VMs, on decision code alone
       bench slopes [PART]                 cost of control against VMs and workspaces, and of a request;
                                           PART is controls, workspaces, changes or requests

Programs are taken from the folder of this one; build with `cargo build --release --bins` first.";

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
        eprintln!("bench: no runtime");
        return ExitCode::FAILURE;
    };
    let result = match arguments.subcommand().ok().flatten().as_deref() {
        Some("run") => runtime.block_on(run::run_case(arguments)),
        Some("pairs") => compare_pairs(&mut arguments),
        Some("ways") => ways::compare(),
        Some("slopes") => {
            let only: Option<String> = arguments.opt_free_from_str().ok().flatten();
            runtime.block_on(slopes::measure(only.as_deref()))
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
    let mut folder = |name: &str| {
        let given: Result<String, _> = arguments.free_from_str();
        given.map_err(|error| format!("{name}: {error}"))
    };
    let (base, other) = (folder("BASE")?, folder("OTHER")?);
    pairs::compare(&base, &other)
}
