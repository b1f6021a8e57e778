//! Stand-ins for the systems around boragerill, for tests and the demonstration; never shipped.
//!
//! Each is a process of its own whose faults are switched at run time by one HTTP call.

pub mod engine;
pub mod fleet;
pub mod launch;
pub mod platform;
pub mod ports;
pub mod service;
pub mod standard_server;
pub mod standard_store;
pub mod store;
