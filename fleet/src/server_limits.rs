//! Registry of the limits that backend servers state in their responses.

use std::sync::Mutex;

use boragerill::{
    server_limit::{
        LimitChange,
        LimitStatement,
        LimitTable,
        ProcessKey, //
    },
    sync::lock, //
};
use log::info;
use metrics::counter;

use crate::backends::{
    BackendState,
    RequestClass, //
};

/// Limits of the backend servers.
#[derive(Debug, Default)]
pub(crate) struct LimitRegistry {
    table: Mutex<LimitTable>,
}

impl LimitRegistry {
    /// Records what a response of a server states about its limit.
    pub(crate) fn record(&self, server: &BackendState, statement: LimitStatement) {
        let change = lock(&self.table).record(process_key(server), statement);
        if let Some(change) = change {
            log_change(server, &change, "response");
        }
    }

    /// Logs and counts a request to a server that has a limit.
    pub(crate) fn record_send(&self, server: &BackendState, class: RequestClass, request: &str) {
        let Some(limit) = lock(&self.table).limit(process_key(server)) else {
            return;
        };
        counter!("limited_requests_total", "class" => class.name()).increment(1);
        let used = server.used();
        info!(
            request,
            class = class.name(),
            server = server.server.id.as_str(),
            limit,
            own_online = used.online,
            own_batch = used.batch;
            "request sent to a limited server"
        );
    }

    /// Removes the limits of processes that aren't registered any more.
    pub(crate) fn retain(&self, is_listed: impl Fn(ProcessKey) -> bool) {
        lock(&self.table).retain(is_listed);
    }
}

/// Returns the key of a server's process.
fn process_key(server: &BackendState) -> ProcessKey {
    (server.key, server.server.start)
}

fn log_change(server: &BackendState, change: &LimitChange, source: &str) {
    counter!("server_limits_changed_total").increment(1);
    info!(
        server = server.server.id.as_str(),
        start = server.server.start,
        before = change.before,
        limit = change.now,
        source;
        "backend server's limit changed"
    );
}
