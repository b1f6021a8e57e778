//! Runs one VM of the fleet: callers' requests, batch jobs and the messages between VMs.
//!
//! The state machines of the `boragerill` crate make all decisions; this crate connects them to sockets
//! and timers. The caller passes names on the wire as a [`wire::WireFormat`].

mod admission;
mod attempt;
mod backends;
mod byte_budget;
mod caller;
mod catalog_store;
mod cells;
mod checkpoint;
mod commit;
mod connection_table;
mod crash_watch;
mod dispatch;
mod evacuations;
mod handover;
mod head_timer;
mod heartbeat;
mod heartbeat_builder;
mod heartbeat_receiver;
mod held_body;
mod item_run;
mod item_scheduler;
mod job_reads;
mod job_watch;
mod jobs;
mod links;
mod list_check;
mod listener;
mod peers;
mod pool;
mod quarantine;
mod quarantine_notice;
mod quarantine_store;
mod read_cache;
mod request_body;
mod response;
mod response_end;
mod resubmission;
mod retirement;
mod runner_conflicts;
mod server_limits;
mod server_load;
mod server_selection;
mod server_stream;
mod state;
mod state_fetch;
mod stop_guard;
mod store_watch;
mod stream_relay;
mod stream_start;
mod stream_versions;
mod takeover;
mod timestamps;
mod trial_wait;
mod version_store;
mod vm;
mod warmup_check;
mod watch_state;
pub mod wire;

pub use vm::run_vm;
