//! Open connections of one listener, of which one is closed when there are too many.

use std::sync::{
    Arc,
    Mutex, //
};

use boragerill::{
    connection_limit::choose_closed,
    sync::lock, //
};
use log::warn;
use metrics::counter;

use crate::{
    byte_budget::LogLimit,
    head_timer::HeadTimer, //
};

/// Connections that may be closing while others have taken their places.
const MAX_CLOSING: usize = 8;

/// Open connections, at most `limit` of them.
#[derive(Debug)]
pub(crate) struct ConnectionTable {
    kind: &'static str,
    limit: usize,
    open: Mutex<Vec<Arc<HeadTimer>>>,
    closed_log: LogLimit,
}

/// Place of a connection, which is free once this value is dropped.
pub(crate) struct ConnectionPlace {
    table: Arc<ConnectionTable>,
    timer: Arc<HeadTimer>,
}

impl ConnectionTable {
    /// Creates the table of a listener; `kind` names it in metrics and log lines.
    pub(crate) fn new(kind: &'static str, limit: usize) -> Arc<ConnectionTable> {
        Arc::new(ConnectionTable {
            kind,
            limit,
            open: Mutex::default(),
            closed_log: LogLimit::default(),
        })
    }

    /// Adds a connection. If there are too many, another one is closed for it; returns `None` if none can be, so that the
    /// new connection has to be closed.
    pub(crate) fn add(self: &Arc<Self>, timer: &Arc<HeadTimer>) -> Option<ConnectionPlace> {
        let mut open = lock(&self.open);
        if open.len() >= self.limit {
            self.record_closed();
            // A connection that is closing leaves the table in its task's next turn, so places are counted by those that
            // aren't.
            let closing = open.iter().filter(|timer| timer.is_closing()).count();
            if open.len() - closing >= self.limit {
                let phases: Vec<_> = open.iter().map(|timer| timer.phase()).collect();
                open[choose_closed(&phases)?].close();
            }
            if open.len() >= self.limit + MAX_CLOSING {
                return None;
            }
        }
        open.push(timer.clone());
        Some(ConnectionPlace {
            table: self.clone(),
            timer: timer.clone(),
        })
    }

    fn record_closed(&self) {
        counter!("connections_over_limit_total", "kind" => self.kind).increment(1);
        if self.closed_log.permit() {
            warn!(kind = self.kind, limit = self.limit; "connection limit reached, a connection is closed");
        }
    }
}

impl Drop for ConnectionPlace {
    fn drop(&mut self) {
        let mut open = lock(&self.table.open);
        let found = open
            .iter()
            .position(|timer| Arc::ptr_eq(timer, &self.timer));
        if let Some(index) = found {
            open.swap_remove(index);
        }
    }
}
