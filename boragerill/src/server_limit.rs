//! Limits on the requests that a backend server takes a second from all VMs together.
//!
//! A server states its limit in its responses, and takes it back by a response without one. Responses may arrive in
//! another order than they were written in, so a statement carries the time in which it was made.

use std::time::Instant;

/// What a response of a server states about the server's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitStatement {
    /// Requests a second that the server takes from all VMs together; `None` if it states no limit.
    pub requests_per_s: Option<f64>,
    /// When the request was sent to the server; the statement was made later.
    pub sent: Instant,
    /// When the response arrived; the statement was made earlier.
    pub received: Instant,
}

impl LimitStatement {
    /// Returns whether this statement replaces `known`: it was made later, or states a lower limit if it isn't known
    /// which of both was made later.
    fn replaces(&self, known: &LimitStatement) -> bool {
        if known.sent >= self.received {
            return false;
        }
        self.sent >= known.received || self.rate_or_infinity() <= known.rate_or_infinity()
    }

    fn rate_or_infinity(&self) -> f64 {
        self.requests_per_s.unwrap_or(f64::INFINITY)
    }
}

/// Identifies one process of a server: the server's key and the start of the process.
pub type ProcessKey = (u32, u64);

/// Change of the limit of a server's process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitChange {
    /// The process.
    pub process: ProcessKey,
    /// Limit before, in requests a second.
    pub before: Option<f64>,
    /// Limit now, in requests a second.
    pub now: Option<f64>,
}

/// Last statement of one process.
#[derive(Clone, Debug)]
struct ServerLimit {
    process: ProcessKey,
    statement: LimitStatement,
}

/// Limits of the servers' processes, as this VM knows them.
#[derive(Clone, Debug, Default)]
pub struct LimitTable {
    limits: Vec<ServerLimit>, // Sorted by process.
}

impl LimitTable {
    /// Records a statement, and returns the change of the process's limit if there is one. A process that has never
    /// stated a limit has no entry.
    pub fn record(
        &mut self,
        process: ProcessKey,
        statement: LimitStatement,
    ) -> Option<LimitChange> {
        let before = match self.search(process) {
            Ok(index) => {
                let limit = &mut self.limits[index];
                if !statement.replaces(&limit.statement) {
                    return None;
                }
                let before = limit.statement.requests_per_s;
                limit.statement = statement;
                before
            }
            Err(index) => {
                statement.requests_per_s?;
                self.limits
                    .insert(index, ServerLimit { process, statement });
                None
            }
        };
        let now = statement.requests_per_s;
        (before != now).then_some(LimitChange {
            process,
            before,
            now,
        })
    }

    /// Returns the limit in force of a process, in requests a second.
    pub fn limit(&self, process: ProcessKey) -> Option<f64> {
        let index = self.search(process).ok()?;
        self.limits[index].statement.requests_per_s
    }

    /// Returns whether no process has stated a limit.
    pub fn is_empty(&self) -> bool {
        self.limits.is_empty()
    }

    /// Removes the processes for which `is_listed` returns false.
    pub fn retain(&mut self, is_listed: impl Fn(ProcessKey) -> bool) {
        self.limits.retain(|limit| is_listed(limit.process));
    }

    fn search(&self, process: ProcessKey) -> Result<usize, usize> {
        self.limits
            .binary_search_by_key(&process, |limit| limit.process)
    }
}
