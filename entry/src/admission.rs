//! Checks that decide whether a request is admitted: age of the configuration, route, key and workspace.

use std::{
    sync::Arc,
    time::Duration, //
};

use boragerill::{
    keys::{
        bytes_contain_key,
        hash_key,
        json_contains_key,
        KeyHash, //
    },
    refusal::{
        RefusalReason,
        RefusalResponse, //
    },
    snapshot::{
        ServiceRecord,
        Snapshot,
        WorkspaceRecord, //
    }, //
};
use compact_str::CompactString;
use serde_json::Value;

use crate::caller::CallerRequest;

/// The authenticated caller of a request.
#[derive(Clone, Debug)]
pub(crate) struct CallerIdentity {
    /// Hash of the request's API key.
    pub(crate) hash: KeyHash,
    /// Workspace to which the key belongs.
    pub(crate) workspace: Arc<WorkspaceRecord>,
}

/// The route that matches a request.
#[derive(Clone, Debug)]
pub(crate) struct RequestRoute {
    /// Service.
    pub(crate) service: Arc<ServiceRecord>,
    /// Whether the request may run more than once.
    pub(crate) idempotent: bool,
    /// Whether callers need no API key.
    pub(crate) open: bool,
}

/// `Retry-After` of a refusal while the configuration is missing or stale.
const CONFIG_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Checks that a configuration was received and confirmed within the last `limit_ms`, where zero means
/// no limit.
pub(crate) fn check_config_age(
    age: Option<Duration>,
    limit_ms: u64,
) -> Result<(), RefusalResponse> {
    let Some(age) = age else {
        let refusal = RefusalResponse::not_run(
            RefusalReason::ConfigMissing,
            "no configuration received yet",
        );
        return Err(refusal.retry_after(CONFIG_RETRY_AFTER));
    };
    if limit_ms > 0 && age > Duration::from_millis(limit_ms) {
        let refusal = RefusalResponse::not_run(
            RefusalReason::ConfigStale,
            "configuration not confirmed for too long",
        );
        return Err(refusal.retry_after(CONFIG_RETRY_AFTER));
    }
    Ok(())
}

/// Finds the route of a request.
pub(crate) fn find_route(
    snapshot: &Snapshot,
    caller: &CallerRequest,
) -> Result<RequestRoute, RefusalResponse> {
    let found = snapshot.find_route(&caller.path, caller.service.as_deref());
    let (service, index) = found.ok_or_else(|| {
        RefusalResponse::not_run(RefusalReason::RouteUnknown, caller.path.clone())
    })?;
    let route = &service.routes[index];
    Ok(RequestRoute {
        service: service.clone(),
        idempotent: route.idempotent,
        open: route.open,
    })
}

/// Authenticates the caller by its API key.
pub(crate) fn identify(
    snapshot: &Snapshot,
    key: Option<&str>,
) -> Result<CallerIdentity, RefusalResponse> {
    let key =
        key.ok_or_else(|| RefusalResponse::not_run(RefusalReason::KeyMissing, "authorization"))?;
    let hash = hash_key(key);
    check_key(snapshot, &hash).map(|workspace| CallerIdentity { hash, workspace })
}

/// Returns the workspace of a known key that isn't withdrawn.
pub(crate) fn check_key(
    snapshot: &Snapshot,
    hash: &KeyHash,
) -> Result<Arc<WorkspaceRecord>, RefusalResponse> {
    let unknown = || RefusalResponse::not_run(RefusalReason::KeyUnknown, "authorization");
    let record = snapshot.find_key(hash).ok_or_else(unknown)?;
    if record.withdrawn {
        return Err(RefusalResponse::not_run(
            RefusalReason::KeyWithdrawn,
            record.name.clone(),
        ));
    }
    snapshot
        .find_workspace(&record.workspace)
        .cloned()
        .ok_or_else(unknown)
}

/// Checks that a workspace may call a service.
pub(crate) fn check_workspace_access(
    service: &ServiceRecord,
    workspace: &CompactString,
) -> Result<(), RefusalResponse> {
    if service.workspaces.is_empty() || service.workspaces.binary_search(workspace).is_ok() {
        return Ok(());
    }
    Err(RefusalResponse::not_run(
        RefusalReason::WorkspaceForbidden,
        service.name.clone(),
    ))
}

/// Checks that the body, URL and headers that are forwarded to the backend server don't contain the
/// caller's API key.
pub(crate) fn check_key_exposure(
    caller: &CallerRequest,
    body: &[u8],
    parsed: Option<&Value>,
) -> Result<(), RefusalResponse> {
    let Some(key) = caller.key.as_deref() else {
        return Ok(());
    };
    let exposed = |field: &str| Err(RefusalResponse::not_run(RefusalReason::KeyExposed, field));
    if bytes_contain_key(body, key) || parsed.is_some_and(|value| json_contains_key(value, key)) {
        return exposed("body");
    }
    let decode = |text: &str| {
        rocket::http::RawStr::new(text)
            .percent_decode_lossy()
            .into_owned()
    };
    if decode(&caller.path).contains(key)
        || caller
            .query
            .as_deref()
            .is_some_and(|query| decode(query).contains(key))
    {
        return exposed("url");
    }
    if caller.headers.iter().any(|(_, value)| value.contains(key)) {
        return exposed("header");
    }
    Ok(())
}
