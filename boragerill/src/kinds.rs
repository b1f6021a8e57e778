//! Validation and typed forms of declared resources.

use std::sync::OnceLock;

use compact_str::format_compact;
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::schema::{
    FieldViolation,
    SchemaChecker, //
};

pub use crate::generated::kinds::{
    BatchJobSpec,
    KeySpec,
    KeySpecState,
    MemberSpec,
    RosterSpec,
    ServerSpecState,
    ServiceSpec,
    ServiceSpecType,
    WorkspaceSpec, //
};

const SCHEMA: &str = include_str!("../schema/kinds.schema.json");

/// Maximum length of a resource's name, in bytes.
const MAX_NAME_BYTES: usize = 128;

/// Path of batch job submissions; reserved, so services can't declare routes below it.
pub const BATCH_PATH: &str = "/v1/batches";

/// Declarable kinds and the names of their schema definitions, sorted by kind.
pub const DECLARED_KINDS: [(&str, &str); 4] = [
    ("batchjob", "BatchJobSpec"),
    ("key", "KeySpec"),
    ("service", "ServiceSpec"),
    ("workspace", "WorkspaceSpec"),
];

/// Typed form of a declared resource.
#[derive(Clone, Debug)]
pub enum DeclaredSpec {
    /// A batch job.
    BatchJob(BatchJobSpec),
    /// A caller's key.
    Key(KeySpec),
    /// A service.
    Service(ServiceSpec),
    /// A workspace.
    Workspace(WorkspaceSpec),
}

/// Validates a resource and returns its typed form.
///
/// # Errors
///
/// Returns the first violation: an unknown kind, an invalid name or an invalid field.
pub fn check(kind: &str, name: &str, spec: &Value) -> Result<DeclaredSpec, FieldViolation> {
    let checker = find_checker(kind)
        .ok_or_else(|| violation("kind", format!("{kind:?} is not a declarable kind")))?;
    if !is_valid_name(name) {
        return Err(violation(
            "name",
            format!("{name:?} must have 1 to {MAX_NAME_BYTES} characters of A-Z a-z 0-9 . _ -"),
        ));
    }
    if let Some(violation) = checker.first_violation(spec) {
        return Err(violation);
    }
    match kind {
        "batchjob" => parse(spec).map(DeclaredSpec::BatchJob),
        "key" => parse(spec).map(DeclaredSpec::Key),
        "service" => parse(spec)
            .and_then(check_service)
            .map(DeclaredSpec::Service),
        _ => parse(spec).map(DeclaredSpec::Workspace),
    }
}

/// Returns whether `name` is a valid resource name.
pub fn is_valid_name(name: &str) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'.' | b'_' | b'-');
    !name.is_empty() && name.len() <= MAX_NAME_BYTES && name.bytes().all(is_allowed)
}

fn check_service(service: ServiceSpec) -> Result<ServiceSpec, FieldViolation> {
    for (index, route) in service.routes.iter().enumerate() {
        if route.path.starts_with(BATCH_PATH) {
            return Err(violation(
                &format!("routes.{index}.path"),
                format!("{BATCH_PATH} is reserved"),
            ));
        }
    }
    for (index, server) in service.servers.iter().enumerate() {
        let is_duplicate = service.servers[..index]
            .iter()
            .any(|other| other.address == server.address);
        if is_duplicate {
            let cause = format!("{} is listed twice", server.address);
            return Err(violation(&format!("servers.{index}.address"), cause));
        }
    }
    Ok(service)
}

fn parse<T: DeserializeOwned>(spec: &Value) -> Result<T, FieldViolation> {
    serde_json::from_value(spec.clone()).map_err(|error| violation("spec", error.to_string()))
}

fn violation(field: &str, cause: String) -> FieldViolation {
    FieldViolation {
        field: field.into(),
        cause: format_compact!("{cause}"),
    }
}

fn find_checker(kind: &str) -> Option<&'static SchemaChecker> {
    static CHECKERS: OnceLock<Vec<SchemaChecker>> = OnceLock::new();
    let compile = || {
        DECLARED_KINDS
            .iter()
            .map(|entry| SchemaChecker::new(SCHEMA, entry.1))
            .collect()
    };
    let index = DECLARED_KINDS
        .binary_search_by_key(&kind, |entry| entry.0)
        .ok()?;
    Some(&CHECKERS.get_or_init(compile)[index])
}
