//! Process of the inference engine's stand-in.

use std::process::ExitCode;

use standins::{
    engine::{
        mount,
        EngineModel, //
    },
    launch::{
        launch,
        option, //
    }, //
};

fn main() -> ExitCode {
    launch("standin-engine", |server, arguments| {
        let model = EngineModel {
            prefill_us: option(arguments, "--prefill-us", 20_000),
            cached_prefill_us: option(arguments, "--cached-prefill-us", 4_000),
            token_us: option(arguments, "--token-us", 5_000),
            slots: option(arguments, "--slots", 16),
            cached_prefixes: option(arguments, "--cached-prefixes", 64),
            report_lag_ms: option(arguments, "--report-lag-ms", 200),
        };
        mount(server, model)
    })
}
