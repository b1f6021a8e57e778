//! Derives the limits of connections and memory from those of the VM, and decides which connection is closed when a
//! listener has as many as it may.

use std::time::Instant;

/// Bytes in one of the units of `memory_mb`.
const MB: usize = 1024 * 1024;

/// Fractions of the descriptors for connections of callers, of other VMs, and of each listener for readiness and metrics.
/// Each caller's request may take another descriptor for its server; the rest is for the store and other VMs.
const CALLER_DESCRIPTORS_DIVISOR: usize = 3;
const PEER_DESCRIPTORS_DIVISOR: usize = 5;
const PROBE_DESCRIPTORS_DIVISOR: usize = 50;

/// Least number of connections of a listener.
const MIN_CONNECTIONS: usize = 4;

/// Fractions of the memory for what is held for callers and for unfinished frames of other VMs. The rest is for the buffers
/// of connections, the process's own state, and what the allocator keeps.
const CALLER_MEMORY_DIVISOR: usize = 6;
const PEER_MEMORY_DIVISOR: usize = 8;

/// Least budget for frames of other VMs: one frame of the largest size.
const MIN_PEER_BYTES: usize = 9 * MB;

/// Limits of one VM.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ResourceLimits {
    /// Connections of callers.
    pub callers: usize,
    /// Connections that other VMs opened.
    pub peers: usize,
    /// Connections of each listener for readiness or metrics.
    pub probes: usize,
    /// Bytes that are held for callers.
    pub caller_bytes: usize,
    /// Bytes of unfinished frames of other VMs.
    pub peer_bytes: usize,
}

impl ResourceLimits {
    /// Derives the limits from the memory in MB and the number of descriptors of the VM.
    pub fn new(memory_mb: u64, descriptors: u64) -> ResourceLimits {
        let memory = usize::try_from(memory_mb).map_or(usize::MAX, |mb| mb.saturating_mul(MB));
        let descriptors = usize::try_from(descriptors).unwrap_or(usize::MAX);
        ResourceLimits {
            callers: (descriptors / CALLER_DESCRIPTORS_DIVISOR).max(MIN_CONNECTIONS),
            peers: (descriptors / PEER_DESCRIPTORS_DIVISOR).max(MIN_CONNECTIONS),
            probes: (descriptors / PROBE_DESCRIPTORS_DIVISOR).max(MIN_CONNECTIONS),
            caller_bytes: memory / CALLER_MEMORY_DIVISOR,
            peer_bytes: (memory / PEER_MEMORY_DIVISOR).max(MIN_PEER_BYTES),
        }
    }
}

/// What a connection waits for, and since when.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConnectionPhase {
    /// The rest of a head, of which the first byte arrived, or the connection was opened, at this time.
    Head(Instant),
    /// The rest of a body, of which bytes last arrived at this time.
    Body(Instant),
    /// The end of a response.
    Response,
    /// A further request, since this time.
    Idle(Instant),
    /// Its end: it is closed to make place for others.
    Closing,
}

/// Returns the index of the connection to close: the longest idle one, else the one whose head takes longest, else the one
/// whose body is longest without progress. Connections that wait for a response, or are closed already, stay.
pub fn choose_closed(phases: &[ConnectionPhase]) -> Option<usize> {
    let order = |phase: ConnectionPhase| match phase {
        ConnectionPhase::Idle(since) => Some((0, since)),
        ConnectionPhase::Head(since) => Some((1, since)),
        ConnectionPhase::Body(since) => Some((2, since)),
        ConnectionPhase::Response | ConnectionPhase::Closing => None,
    };
    let candidates = phases.iter().enumerate();
    let ordered = candidates.filter_map(|(index, phase)| Some((order(*phase)?, index)));
    ordered.min().map(|(_, index)| index)
}
