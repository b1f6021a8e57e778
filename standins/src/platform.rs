//! Stand-in of the platform: its object API and its list of VMs.

use std::{
    sync::{
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::{
        Duration,
        Instant, //
    },
};

use compact_str::CompactString;
use rocket::{
    delete,
    get,
    http::Status,
    post,
    put,
    request::{
        FromRequest,
        Outcome, //
    },
    routes,
    serde::json::Json,
    Build,
    Request,
    Rocket,
    State, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use serde_json::{
    json,
    Value, //
};
use tokio::{
    sync::watch,
    time::{
        sleep,
        timeout, //
    },
};

use crate::store::{
    ObjectStore,
    StoredObject,
    WriteFailure,
    MAX_VALUE_BYTES, //
};

/// Faults that the platform injects.
#[derive(Clone, Debug, Default)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Whether every call fails with status 503.
    pub down: bool,
    /// Delay of every call, in milliseconds.
    pub slow_ms: u64,
    /// Number of writes that take effect and whose response is delayed by 30 s. It falls by one with each
    /// such write.
    pub lost_answers: u64,
    /// Delay until a change of the VM list becomes visible, in milliseconds.
    pub vm_lag_ms: u64,
}

/// One VM of the platform's list.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct VmEntry {
    /// Name of the VM.
    pub name: CompactString,
    /// Failure domain of the VM.
    pub domain: CompactString,
    /// `live` or `leaving`.
    pub state: CompactString,
}

/// Number of calls by type, and of writes that failed with a version conflict.
#[derive(Clone, Debug, Default)]
#[derive(Serialize)]
pub struct CallCounts {
    reads: u64,
    writes: u64,
    watches: u64,
    conflicts: u64,
}

#[derive(Default)]
struct PlatformInner {
    store: ObjectStore,
    faults: PlatformFaults,
    counts: CallCounts,
    vms: Vec<(Instant, Vec<VmEntry>)>, // Each list with the time when it was set.
}

/// State of the platform.
pub struct PlatformState {
    inner: Mutex<PlatformInner>,
    version: watch::Sender<u64>,
}

impl Default for PlatformState {
    fn default() -> PlatformState {
        PlatformState {
            inner: Mutex::default(),
            version: watch::channel(0).0,
        }
    }
}

impl PlatformState {
    fn lock(&self) -> MutexGuard<'_, PlatformInner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a call and applies the faults that affect every call.
    async fn apply_call_faults(&self, count: impl FnOnce(&mut CallCounts)) -> Result<(), Status> {
        let faults = {
            let mut inner = self.lock();
            count(&mut inner.counts);
            inner.faults.clone()
        };
        if faults.slow_ms > 0 {
            sleep(Duration::from_millis(faults.slow_ms)).await;
        }
        if faults.down {
            return Err(Status::ServiceUnavailable);
        }
        Ok(())
    }

    /// Wakes the watches after a write and builds the response, which is delayed if the fault `lost_answers`
    /// applies.
    async fn finish_write(&self, written: Result<u64, WriteFailure>) -> Reply {
        let version = match written {
            Ok(version) => version,
            Err(WriteFailure::Missing) => return Err((Status::NotFound, Json(json!({})))),
            Err(WriteFailure::Conflict(version)) => {
                self.lock().counts.conflicts += 1;
                return Err((Status::Conflict, Json(json!({ "version": version }))));
            }
        };
        self.version.send_replace(version);
        let lost = {
            let mut inner = self.lock();
            let lost = inner.faults.lost_answers > 0;
            inner.faults.lost_answers = inner.faults.lost_answers.saturating_sub(1);
            lost
        };
        if lost {
            sleep(Duration::from_secs(30)).await;
        }
        Ok(Json(json!({ "version": version })))
    }
}

type Reply = Result<Json<Value>, (Status, Json<Value>)>;

/// Expected version of a conditional write, and the object's label.
struct WriteHeaders {
    expected: Option<u64>,
    label: CompactString,
}

#[rocket::async_trait]
impl<'r> FromRequest<'r> for WriteHeaders {
    type Error = ();

    async fn from_request(request: &'r Request<'_>) -> Outcome<WriteHeaders, ()> {
        let expected = request.headers().get_one("if-match").map(str::parse::<u64>);
        let label = request
            .headers()
            .get_one("x-label")
            .unwrap_or_default()
            .into();
        match expected.transpose() {
            Ok(expected) => Outcome::Success(WriteHeaders { expected, label }),
            Err(_) => Outcome::Error((Status::BadRequest, ())),
        }
    }
}

#[get("/objects/<kind>/<name>")]
async fn get_object(state: &State<PlatformState>, kind: &str, name: &str) -> Reply {
    state
        .apply_call_faults(|counts| counts.reads += 1)
        .await
        .map_err(empty)?;
    let object = state.lock().store.get(kind, name).cloned();
    object
        .map(|object| Json(json!(object)))
        .ok_or_else(|| empty(Status::NotFound))
}

#[put("/objects/<kind>/<name>", data = "<spec>")]
async fn put_object(
    state: &State<PlatformState>,
    kind: &str,
    name: &str,
    headers: WriteHeaders,
    spec: Json<Value>,
) -> Reply {
    state
        .apply_call_faults(|counts| counts.writes += 1)
        .await
        .map_err(empty)?;
    let spec = spec.into_inner();
    if spec.to_string().len() > MAX_VALUE_BYTES {
        return Err(empty(Status::PayloadTooLarge));
    }
    let written = state
        .lock()
        .store
        .put(kind, name, headers.expected, &headers.label, spec);
    state.finish_write(written).await
}

#[delete("/objects/<kind>/<name>")]
async fn delete_object(
    state: &State<PlatformState>,
    kind: &str,
    name: &str,
    headers: WriteHeaders,
) -> Reply {
    state
        .apply_call_faults(|counts| counts.writes += 1)
        .await
        .map_err(empty)?;
    let written = state.lock().store.delete(kind, name, headers.expected);
    state.finish_write(written).await
}

#[get("/objects/<kind>?<after>&<prefix>&<fields>&<limit>")]
async fn list_objects(
    state: &State<PlatformState>,
    kind: &str,
    after: Option<&str>,
    prefix: Option<&str>,
    fields: Option<&str>,
    limit: Option<usize>,
) -> Reply {
    state
        .apply_call_faults(|counts| counts.reads += 1)
        .await
        .map_err(empty)?;
    let limit = limit.unwrap_or(1000).clamp(1, 1000);
    let inner = state.lock();
    let listed = inner.store.list(
        kind,
        prefix.unwrap_or_default(),
        after.unwrap_or_default(),
        limit,
    );
    let mut items: Vec<StoredObject> = Vec::with_capacity(listed.len());
    for object in listed {
        let spec = if fields == Some("names") {
            Value::Null
        } else {
            object.spec.clone()
        };
        items.push(StoredObject {
            spec,
            ..object.clone()
        });
    }
    let next = items
        .last()
        .filter(|_| items.len() == limit)
        .map(|object| object.name.clone());
    Ok(Json(
        json!({ "items": items, "next": next, "version": inner.store.version() }),
    ))
}

#[get("/watch?<after>&<kinds>&<wait_ms>")]
async fn watch_objects(
    state: &State<PlatformState>,
    after: u64,
    kinds: &str,
    wait_ms: u64,
) -> Reply {
    state
        .apply_call_faults(|counts| counts.watches += 1)
        .await
        .map_err(empty)?;
    let kinds: Vec<&str> = kinds.split(',').collect();
    let mut changed = state.version.subscribe();
    let deadline = Instant::now() + Duration::from_millis(wait_ms);
    loop {
        changed.borrow_and_update();
        {
            let inner = state.lock();
            if inner.faults.down {
                return Err(empty(Status::ServiceUnavailable));
            }
            let events = inner
                .store
                .changes(&kinds, after)
                .ok_or_else(|| empty(Status::Gone))?;
            if !events.is_empty() || Instant::now() >= deadline {
                return Ok(Json(
                    json!({ "events": events, "version": inner.store.version() }),
                ));
            }
        }
        // After a timeout, the next round responds, since the deadline has passed.
        let _ = timeout(
            deadline.saturating_duration_since(Instant::now()),
            changed.changed(),
        )
        .await;
    }
}

#[get("/vms")]
async fn list_vms(state: &State<PlatformState>) -> Reply {
    state
        .apply_call_faults(|counts| counts.reads += 1)
        .await
        .map_err(empty)?;
    let inner = state.lock();
    let lag = Duration::from_millis(inner.faults.vm_lag_ms);
    let visible = inner.vms.iter().rev().find(|(set, _)| set.elapsed() >= lag);
    let vms = visible.map(|(_, list)| list.clone()).unwrap_or_default();
    Ok(Json(json!({ "vms": vms })))
}

#[post("/standin/vms", data = "<list>")]
fn set_vms(state: &State<PlatformState>, list: Json<Vec<VmEntry>>) {
    state.lock().vms.push((Instant::now(), list.into_inner()));
}

#[post("/standin/faults", data = "<faults>")]
fn set_faults(state: &State<PlatformState>, faults: Json<PlatformFaults>) {
    state.lock().faults = faults.into_inner();
    // Wakes the waiting watches, so that they fail when the fault `down` is set.
    state.version.send_modify(|_| {});
}

#[post("/standin/compact")]
fn compact(state: &State<PlatformState>) {
    state.lock().store.compact();
}

#[get("/standin/counters")]
fn counters(state: &State<PlatformState>) -> Json<Value> {
    Json(json!(state.lock().counts))
}

/// Returns an error response without a body.
fn empty(status: Status) -> (Status, Json<Value>) {
    (status, Json(json!({})))
}

/// Adds the platform's state and routes to a server.
pub fn mount(server: Rocket<Build>) -> Rocket<Build> {
    let routes = routes![
        get_object,
        put_object,
        delete_object,
        list_objects,
        watch_objects,
        list_vms,
        set_vms,
        set_faults,
        compact,
        counters
    ];
    server.manage(PlatformState::default()).mount("/", routes)
}
