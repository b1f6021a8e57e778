//! Decision logic and shared components of the boragerill serving system.
//!
//! Decisions, such as routing, admission and retries, are state machines without I/O: callers pass in the
//! time and the state of peers.
//!
//! ```
//! use boragerill::route::{choose, RouteQuery, ServerView};
//!
//! let view = |hash, load| ServerView { hash, load, local: true, leaving: false, ejected: false, slots: 8 };
//! let servers = [view(1, 7), view(2, 0)];
//! let chosen = choose(&servers, &[0], RouteQuery::default());
//! assert_eq!(chosen, Some(1));
//! ```

pub mod answer;
pub mod api;
pub mod backend;
pub mod batch;
pub mod cancellation;
pub mod catalog;
pub mod cell;
pub mod chunk;
pub mod config;
pub mod connection_limit;
pub mod drain;
pub mod error;
pub mod evacuation;
pub mod feed;
pub mod frame;
pub mod headroom;
pub mod heartbeat_pace;
pub mod hedge;
pub mod item_demand;
pub mod item_resume;
pub mod item_start;
pub mod job;
pub mod job_directory;
pub mod job_owner;
pub mod keys;
pub mod kinds;
mod lease;
pub mod link_reuse;
pub mod links;
pub mod list_evidence;
pub mod load;
pub mod logger;
pub mod member;
pub mod memory_budget;
pub mod meter;
pub mod online;
pub mod platform;
pub mod preemption;
pub mod process;
pub mod prompt;
pub mod quarantine;
pub mod queue;
pub mod rank;
pub mod rate_limiter;
pub mod reachability;
pub mod refusal;
pub mod residency;
pub mod response_end;
pub mod retry;
pub mod roster;
pub mod route;
pub mod schema;
pub mod send_tables;
pub mod server_limit;
pub mod settings;
pub mod share;
pub mod slot;
pub mod slot_wait;
pub mod snapshot;
pub mod stall;
pub mod state_fetch;
pub mod stop_window;
pub mod stream;
pub mod stream_version;
pub mod submit;
pub mod sync;
pub mod timer;
mod units;
pub mod wait_estimate;
pub mod warmup;
pub mod watch_health;
pub mod watch_lease;
pub mod write_pace;

/// Types generated from `boragerill/schema` by the `codegen` crate.
#[expect(missing_docs, dead_code, clippy::all)]
pub mod generated {
    #[rustfmt::skip]
    pub mod kinds;
    #[rustfmt::skip]
    pub mod messages;
    #[rustfmt::skip]
    pub mod settings;
}
