//! Configurations that the operator writes during a run.

use std::time::Duration;

use serde_json::{
    json,
    Value, //
};

/// Host of all routes.
pub(crate) const HOST: &str = "soak.example";

/// Service of all routes.
pub(crate) const SERVICE: &str = "engine";

/// API key of the only workspace.
pub(crate) const KEY: &str = "key-of-soak";

/// Route of streams that may be resumed, in all configurations.
pub(crate) const RESUMABLE_PATH: &str = "/resumable/";

/// Route of streams that may run once, in all configurations.
pub(crate) const SINGLE_PATH: &str = "/single/";

/// Route of batch jobs.
pub(super) const BATCH_PATH: &str = "/batch/";

/// Time for which a server is slow after its start.
pub(super) const WARMUP_TIME: Duration = Duration::from_secs(3);

/// Requests a second that a server takes meanwhile.
const WARMUP_RATE: f64 = 15.0;

/// Returns the path prefix of an added route.
pub(crate) fn added_path(number: usize) -> String {
    format!("/added-{number:05}/")
}

/// Returns the configuration `version` with a number of added routes; `warms_up` tells whether servers that start are slow.
pub(crate) fn config(version: u64, added: usize, warms_up: bool) -> Value {
    let mut routes = vec![
        route("resumable", RESUMABLE_PATH, true),
        route("single", SINGLE_PATH, false),
        batch_route(),
    ];
    for number in 0..added {
        let name = format!("r-{number:05}");
        routes.push(route(&name, &added_path(number), true));
    }
    let mut service = json!({
        "name": SERVICE, "health_path": "/health", "max_connections": 500, "protocol": "h1", "tls": false,
    });
    if warms_up {
        service["cold_start_s"] = json!(WARMUP_TIME.as_secs_f64());
        service["cold_per_s"] = json!(WARMUP_RATE);
    }
    json!({
        "version": version,
        "routes": routes,
        "services": [service],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4_194_304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": "soak", "api_keys": [KEY], "priority": 1, "rate_per_s": 0, "burst": 0}],
    })
}

fn batch_route() -> Value {
    let mut route = route("batch", BATCH_PATH, true);
    for (field, value) in [
        ("kind", json!("batch")),
        ("completion_target_ms", json!(18000)),
        ("max_queue_s", json!(60.0)),
        ("cap", json!(0)),
    ] {
        route[field] = value;
    }
    route
}

fn route(name: &str, path: &str, resumable: bool) -> Value {
    json!({
        "name": name,
        "host": HOST,
        "path_prefix": path,
        "kind": "streaming",
        "timeout_ms": 5000,
        "target_latency_ms": 300,
        "priority": 0,
        "service": SERVICE,
        "max_attempts": if resumable { 3 } else { 1 },
        "public": false,
        "sticky": true,
        "resumable": resumable,
        "gap_target_ms": 500,
    })
}
