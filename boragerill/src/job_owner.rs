//! Whose a batch job is, and who gets at it: one decision for submissions, repeated ones, reads and ends, on all routes.
//!
//! The key of a submission names the owner, on routes that are open to all as well. Without a key, or without workspaces
//! in the configuration, a job has no owner, and all callers that know its id get at it. No other workspace gets at a job
//! that has an owner.

/// What the API key of a caller shows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallerKey<T> {
    /// There is none.
    Missing,
    /// No workspace has it.
    Unknown,
    /// The workspace that has it.
    Of(T),
}

/// Why a caller can't submit a job or get at one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum KeyFault {
    /// A key is needed.
    Missing,
    /// No workspace has the key.
    Unknown,
}

/// What the configuration asks of callers.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct KeyTerms {
    /// Whether there are workspaces.
    pub has_workspaces: bool,
    /// For a submission, whether its route is open to all; for a call about a job, whether any batch route is.
    pub is_open: bool,
}

impl KeyTerms {
    /// Returns the workspace of a caller that submits a job or calls about one; `None` if the caller has none.
    ///
    /// # Errors
    ///
    /// Returns the fault of the key if the caller is to be refused. An unknown key is refused on open routes as well: it may
    /// be one that this VM hasn't learned of, and its job would have no owner.
    pub fn caller<T>(self, key: CallerKey<T>) -> Result<Option<T>, KeyFault> {
        match key {
            _ if !self.has_workspaces => Ok(None),
            CallerKey::Of(workspace) => Ok(Some(workspace)),
            CallerKey::Unknown => Err(KeyFault::Unknown),
            CallerKey::Missing if self.is_open => Ok(None),
            CallerKey::Missing => Err(KeyFault::Missing),
        }
    }
}

/// Returns whether a caller of a workspace gets at a job of an owner. Both are empty if there is none.
pub fn reaches_job(owner: &str, workspace: &str) -> bool {
    owner.is_empty() || owner == workspace
}
