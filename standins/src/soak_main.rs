//! Runs a fleet of real VM processes under load, disturbs it by a seeded plan, and checks what clients and backend
//! servers saw.

use std::{
    path::PathBuf,
    process::ExitCode, //
};

use standins::soak::{
    run_soak,
    RelayScope,
    SoakOptions, //
};

const USAGE: &str = "\
Runs VM processes under load and disturbs them by a seeded plan; exits with 1 if a rule was broken.

    soak --program FILE [--vms N] [--servers N] [--seconds N] [--seed N] [--rate N] [--busy N] [--routes N] [--share X]
         [--relays none|store|all] [--load plain|stepped|warming] [--in-place X] [--unframed X] [--garbled X]
         [--keep DIR]

  --program FILE   the program of a VM
  --vms N          number of VMs (6)
  --servers N      number of backend servers (9)
  --seconds N      length of the load (25)
  --seed N         seed of the plan (1)
  --rate N         requests a second at each VM (4)
  --busy N         busy threads beside the fleet (0)
  --routes N       routes that the large configuration adds (1972)
  --share X        share of the time in which each VM's process runs (1.0)
  --relays LINKS   links that relays stand on and that are disturbed: none, those between VMs and the store, or also
                   those between VMs (all), which needs a program with the setting `advertised_address`
  --load KIND      plain; or stepped: a rate that rises and falls, long items that are preempted by its crests, and
                   releases of all servers while VMs restart, with other numbers of VMs (8) and requests (6) by default;
                   or warming: short streams at servers that are slow after their start, with 6 servers and 25 requests
  --in-place X     share of the servers that a release replaces at the same address, without an announcement (0)
  --unframed X     share of the streams without length or chunks (0)
  --garbled X      share of the other streams that are malformed at their end or break off (0)
  --keep DIR       folder that keeps settings and logs
";

fn main() -> ExitCode {
    let options = match read_options() {
        Ok(Some(options)) => options,
        Ok(None) => {
            print!("{USAGE}");
            return ExitCode::SUCCESS;
        }
        Err(error) => {
            eprintln!("soak: {error}");
            return ExitCode::from(2);
        }
    };
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(3)
        .enable_all()
        .build();
    let result = match runtime {
        Ok(runtime) => runtime.block_on(run_soak(options)),
        Err(error) => Err(error),
    };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("soak: {error}");
            ExitCode::from(2)
        }
    }
}

/// Reads the command line; `None` if help was asked for.
fn read_options() -> Result<Option<SoakOptions>, pico_args::Error> {
    let mut arguments = pico_args::Arguments::from_env();
    if arguments.contains("--help") {
        return Ok(None);
    }
    let mut default = arguments
        .opt_value_from_fn("--load", read_load)?
        .unwrap_or_default();
    if let Some(share) = arguments.opt_value_from_fn("--in-place", read_share)? {
        default.load.in_place = share;
    }
    if let Some(share) = arguments.opt_value_from_fn("--unframed", read_share)? {
        default.load.unframed = share;
    }
    if let Some(share) = arguments.opt_value_from_fn("--garbled", read_share)? {
        default.load.garbled = share;
    }
    Ok(Some(SoakOptions {
        program: arguments.value_from_str::<_, PathBuf>("--program")?,
        vms: arguments
            .opt_value_from_str("--vms")?
            .unwrap_or(default.vms),
        servers: arguments
            .opt_value_from_str("--servers")?
            .unwrap_or(default.servers),
        seconds: arguments
            .opt_value_from_str("--seconds")?
            .unwrap_or(default.seconds),
        seed: arguments
            .opt_value_from_str("--seed")?
            .unwrap_or(default.seed),
        rate: arguments
            .opt_value_from_str("--rate")?
            .unwrap_or(default.rate),
        busy: arguments
            .opt_value_from_str("--busy")?
            .unwrap_or(default.busy),
        routes: arguments
            .opt_value_from_str("--routes")?
            .unwrap_or(default.routes),
        share: arguments
            .opt_value_from_str("--share")?
            .unwrap_or(default.share),
        relays: arguments
            .opt_value_from_fn("--relays", read_scope)?
            .unwrap_or(default.relays),
        load: default.load,
        keep: arguments.opt_value_from_str("--keep")?,
    }))
}

fn read_scope(text: &str) -> Result<RelayScope, String> {
    match text {
        "none" => Ok(RelayScope::None),
        "store" => Ok(RelayScope::Store),
        "all" => Ok(RelayScope::All),
        _ => Err(format!("no scope of relays: {text}")),
    }
}

/// Returns the default options of a kind of load.
fn read_load(text: &str) -> Result<SoakOptions, String> {
    match text {
        "plain" => Ok(SoakOptions::default()),
        "stepped" => Ok(SoakOptions::stepped()),
        "warming" => Ok(SoakOptions::warming()),
        _ => Err(format!("no kind of load: {text}")),
    }
}

fn read_share(text: &str) -> Result<f64, String> {
    let share = text.parse().ok();
    let share = share.filter(|share| (0.0..=1.0).contains(share));
    share.ok_or_else(|| format!("no share from 0 to 1: {text}"))
}
