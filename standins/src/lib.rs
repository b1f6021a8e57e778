//! Stand-ins for the systems that boragerill depends on, for tests, experiments and the demonstration.
//! They are never shipped.
//!
//! `platform`, `engine` and `service` run as separate processes; `POST /standin/faults` sets the faults
//! that such a process injects. `standard_server` and `standard_store` run within the process of a test,
//! which sets their behaviour by method calls.

pub mod datagrams;
pub mod engine;
pub mod fleet;
pub mod launch;
pub mod platform;
pub mod ports;
pub mod relay;
pub mod service;
pub mod soak;
pub mod standard_server;
pub mod standard_store;
pub mod store;
pub mod vm_process;
