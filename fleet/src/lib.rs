//! Runs one VM of the fleet: callers' requests, batch jobs, and what VMs tell each other.
//!
//! Decisions are made by the state machines of the `boragerill` crate; this crate is their shell of
//! sockets and timers. Names on the wire come in as a [`wire::WireFormat`].

mod answer;
mod attempt;
mod backends;
mod beat;
mod caller;
mod checkpoint;
mod commit;
mod ends;
mod follow;
mod handover;
mod hear;
mod item_run;
mod job_reads;
mod jobs;
mod links;
mod listener;
mod peers;
mod pool;
mod read_cache;
mod relay;
mod relay_stream;
mod report;
mod request_body;
mod retire;
mod run;
mod runner;
mod state;
mod takeover;
mod vm;
mod waiting;
pub mod wire;

pub use vm::run_vm;
