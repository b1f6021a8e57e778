//! A plain service that counts how often each request ran.

use std::{
    sync::{
        Mutex,
        PoisonError, //
    },
    time::Duration,
};

use compact_str::CompactString;
use rocket::{
    get,
    http::Status,
    post,
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
use tokio::time::sleep;

/// Faults of the service.
#[derive(Clone, Debug, Default)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceFaults {
    /// Time that each run takes, in milliseconds.
    pub run_ms: u64,
    /// Runs that end in an error after they took effect.
    pub failing: u64,
    /// Runs that take effect and are answered only after a minute.
    pub silent: u64,
}

#[derive(Default)]
struct ServiceInner {
    runs: Vec<(CompactString, u64)>, // Sorted by run id.
    faults: ServiceFaults,
    seen: Vec<CompactString>,
}

/// State of the stand-in.
#[derive(Default)]
pub struct ServiceState {
    inner: Mutex<ServiceInner>,
}

impl ServiceState {
    fn lock(&self) -> std::sync::MutexGuard<'_, ServiceInner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// All that a caller's request shows to the service, as one text.
struct SeenRequest(CompactString);

#[rocket::async_trait]
impl<'r> FromRequest<'r> for SeenRequest {
    type Error = ();

    async fn from_request(request: &'r Request<'_>) -> Outcome<SeenRequest, ()> {
        let mut text = CompactString::from(request.uri().to_string());
        for header in request.headers().iter() {
            text.push_str(&format!("\n{}: {}", header.name(), header.value()));
        }
        Outcome::Success(SeenRequest(text))
    }
}

#[post("/run/<id>", data = "<body>")]
async fn run(
    state: &State<ServiceState>,
    id: &str,
    seen: SeenRequest,
    body: &str,
) -> (Status, Json<Value>) {
    let (faults, fails, hangs) = {
        let mut inner = state.lock();
        match inner
            .runs
            .binary_search_by(|entry| entry.0.as_str().cmp(id))
        {
            Ok(index) => inner.runs[index].1 += 1,
            Err(index) => inner.runs.insert(index, (id.into(), 1)),
        }
        inner.seen.push(seen.0);
        inner.seen.push(body.into());
        let (fails, hangs) = (inner.faults.failing > 0, inner.faults.silent > 0);
        inner.faults.failing = inner.faults.failing.saturating_sub(1);
        inner.faults.silent = inner.faults.silent.saturating_sub(1);
        (inner.faults.clone(), fails, hangs)
    };
    sleep(Duration::from_millis(faults.run_ms)).await;
    if hangs {
        sleep(Duration::from_secs(60)).await;
    }
    if fails {
        return (
            Status::InternalServerError,
            Json(json!({"error": "failed after the run"})),
        );
    }
    (Status::Ok, Json(json!({ "id": id, "ran": true })))
}

#[get("/stock/<item>")]
fn stock(state: &State<ServiceState>, item: &str, seen: SeenRequest) -> Json<Value> {
    state.lock().seen.push(seen.0);
    Json(json!({ "item": item, "count": 7 }))
}

#[get("/standin/runs")]
fn runs(state: &State<ServiceState>) -> Json<Value> {
    let inner = state.lock();
    let entries = inner
        .runs
        .iter()
        .map(|(id, count)| (id.to_string(), json!(count)));
    Json(Value::Object(entries.collect()))
}

#[get("/standin/seen")]
fn seen(state: &State<ServiceState>) -> Json<Value> {
    Json(json!(state.lock().seen))
}

#[post("/standin/faults", data = "<faults>")]
fn set_faults(state: &State<ServiceState>, faults: Json<ServiceFaults>) {
    state.lock().faults = faults.into_inner();
}

/// Mounts the service's routes.
pub fn mount(server: Rocket<Build>) -> Rocket<Build> {
    server
        .manage(ServiceState::default())
        .mount("/", routes![run, stock, runs, seen, set_faults])
}
