//! Stand-in of a plain service, which counts how often each request was executed.

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

/// Faults that the service injects. The counts fall by one with each affected run.
#[derive(Clone, Debug, Default)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceFaults {
    /// Duration of each run, in milliseconds.
    pub run_ms: u64,
    /// Number of runs that take effect and are answered with status 500.
    pub failing: u64,
    /// Number of runs that take effect and whose response is delayed by one minute.
    pub silent: u64,
}

#[derive(Default)]
struct ServiceInner {
    runs: Vec<(CompactString, u64)>, // Number of runs by id, sorted by id.
    faults: ServiceFaults,
    received: Vec<CompactString>, // Requests and bodies, as text.
}

/// State of the service.
#[derive(Default)]
pub struct ServiceState {
    inner: Mutex<ServiceInner>,
}

impl ServiceState {
    fn lock(&self) -> std::sync::MutexGuard<'_, ServiceInner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Target and all headers of a request, as text.
struct RequestText(CompactString);

#[rocket::async_trait]
impl<'r> FromRequest<'r> for RequestText {
    type Error = ();

    async fn from_request(request: &'r Request<'_>) -> Outcome<RequestText, ()> {
        let mut text = CompactString::from(request.uri().to_string());
        for header in request.headers().iter() {
            text.push_str(&format!("\n{}: {}", header.name(), header.value()));
        }
        Outcome::Success(RequestText(text))
    }
}

#[post("/run/<id>", data = "<body>")]
async fn run(
    state: &State<ServiceState>,
    id: &str,
    received: RequestText,
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
        inner.received.push(received.0);
        inner.received.push(body.into());
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
fn stock(state: &State<ServiceState>, item: &str, received: RequestText) -> Json<Value> {
    state.lock().received.push(received.0);
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
fn received(state: &State<ServiceState>) -> Json<Value> {
    Json(json!(state.lock().received))
}

#[post("/standin/faults", data = "<faults>")]
fn set_faults(state: &State<ServiceState>, faults: Json<ServiceFaults>) {
    state.lock().faults = faults.into_inner();
}

/// Adds the service's state and routes to a server.
pub fn mount(server: Rocket<Build>) -> Rocket<Build> {
    server
        .manage(ServiceState::default())
        .mount("/", routes![run, stock, runs, received, set_faults])
}
