//! Soak: a fleet of real VM processes under load, disturbed by a seeded plan, and checks of what clients and backend
//! servers saw.

mod clients;
mod config;
pub mod events;
mod fleet;
mod jobs;
mod links;
mod load;
mod oracle;
mod plan;
mod release;
mod run;
mod servers;
mod trouble;

pub use load::{
    ItemBody,
    LoadStep,
    SoakLoad, //
};
pub use run::{
    run_soak,
    SoakOptions, //
};
pub use trouble::RelayScope;
