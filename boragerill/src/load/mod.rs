//! Load, speed and cost: what is known of each server process and of the requests of each route and workspace, and the
//! estimate of a request's first and last event at a server.
//!
//! A service uses this from the moment at which one of its servers states how long work takes there; until then, its
//! servers are chosen by their slots only. The caller passes all times.

mod choice;
mod cost;
mod pace;
mod sketch;
mod statement;
mod table;

pub use choice::soonest;
pub use cost::{
    CostEstimate,
    CostKeys,
    CostTable,
    DeclaredCost, //
};
pub use pace::{
    EventClock,
    PaceSample, //
};
pub use statement::{
    LoadFault,
    LoadReading,
    LoadStatement,
    StatedUsage,
    SLOWDOWN_LIFETIME,
    USAGE_LIFETIME, //
};
pub use table::{
    FirstEvent,
    LoadTable,
    OutlookQuery,
    ServerOutlook,
    ServerSpeed, //
};
