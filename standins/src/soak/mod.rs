//! Soak: a fleet of real VM processes under load, disturbed by a seeded plan, and checks of what clients and backend
//! servers saw.

mod clients;
mod config;
mod fleet;
mod jobs;
mod oracle;
mod plan;
mod run;
mod servers;

pub use run::{
    run_soak,
    SoakOptions, //
};
