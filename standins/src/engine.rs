//! Stand-in of an inference engine.
//!
//! It simulates continuous batching, a bounded cache of prompt prefixes and a load report with a lag. It
//! has no priorities and no queue: beyond its slots, all requests slow down.

use std::{
    pin::Pin,
    sync::{
        atomic::{
            AtomicU64,
            Ordering, //
        },
        Arc,
        Mutex,
        PoisonError, //
    },
    time::{
        Duration,
        Instant, //
    },
};

use bytes::Bytes;
use compact_str::CompactString;
use futures_util::Stream;
use rocket::{
    get,
    http::{
        ContentType,
        Header,
        Status, //
    },
    post,
    request::{
        FromRequest,
        Outcome, //
    },
    response::{
        self,
        stream::{
            stream,
            ByteStream, //
        },
        Responder, //
    },
    routes,
    serde::json::Json,
    Build,
    Request,
    Response,
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

/// Length of a prompt's prefix, the key of the prefix cache, in bytes.
const CACHED_PREFIX_BYTES: usize = 256;

/// Service-time model of the engine, for requests that don't exceed its slots.
#[derive(Clone, Debug)]
pub struct EngineModel {
    /// Time to the first token of an uncached prompt, in microseconds.
    pub prefill_us: u64,
    /// Time to the first token of a cached prompt, in microseconds.
    pub cached_prefill_us: u64,
    /// Time between two tokens, in microseconds.
    pub token_us: u64,
    /// Concurrent requests that run at full speed; beyond this number, all requests slow down in proportion.
    pub slots: u64,
    /// Capacity of the prefix cache, in prefixes.
    pub cached_prefixes: u64,
    /// Age of the reported load, in milliseconds.
    pub report_lag_ms: u64,
}

/// Faults that the engine injects. The counts fall by one with each affected response.
#[derive(Clone, Debug, Default)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// Number of responses to truncate.
    pub truncated: u64,
    /// Number of responses to send with another request's id.
    pub crossed: u64,
    /// Number of requests to answer with status 500.
    pub failing: u64,
    /// Text in prompts that always fail with status 500; empty for none.
    pub poison: CompactString,
}

#[derive(Default)]
struct EngineInner {
    faults: EngineFaults,
    prefixes: Vec<CompactString>,      // Least recently used first.
    load_history: Vec<(Instant, u64)>, // Running requests by time, oldest first.
    received: Vec<CompactString>,      // Headers and prompts.
    prefix_hits: u64,
    requests: u64,
    completed: u64,
}

/// State of the engine.
pub struct EngineState {
    model: EngineModel,
    running: AtomicU64,
    inner: Mutex<EngineInner>,
}

impl EngineState {
    fn lock(&self) -> std::sync::MutexGuard<'_, EngineInner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the factor by which the number of running requests slows each of them down.
    fn slowdown(&self) -> f64 {
        let running = self.running.load(Ordering::Relaxed) as f64;
        (running / self.model.slots as f64).max(1.0)
    }

    /// Returns the duration of `time_us` microseconds of work at the present load.
    fn scale_time(&self, time_us: u64) -> Duration {
        Duration::from_micros((time_us as f64 * self.slowdown()) as u64)
    }

    /// Records the use of the prompt's prefix in the cache, and returns whether the prefix was cached before.
    fn record_prefix_use(&self, prompt: &str) -> bool {
        let mut end = prompt.len().min(CACHED_PREFIX_BYTES);
        while !prompt.is_char_boundary(end) {
            end -= 1;
        }
        let mut inner = self.lock();
        inner.requests += 1;
        let cached = inner
            .prefixes
            .iter()
            .position(|prefix| prefix == &prompt[..end]);
        if let Some(index) = cached {
            inner.prefixes.remove(index);
            inner.prefix_hits += 1;
        }
        inner.prefixes.push(prompt[..end].into());
        if inner.prefixes.len() as u64 > self.model.cached_prefixes {
            inner.prefixes.remove(0);
        }
        cached.is_some()
    }

    /// Returns the number of running requests as it was `report_lag_ms` ago, and records the present number.
    fn reported_load(&self) -> u64 {
        let lag = Duration::from_millis(self.model.report_lag_ms);
        let running = self.running.load(Ordering::Relaxed);
        let mut inner = self.lock();
        inner.load_history.push((Instant::now(), running));
        let old = inner
            .load_history
            .partition_point(|(at, _)| at.elapsed() >= lag);
        let load = if old > 0 {
            inner.load_history[old - 1].1
        } else {
            0
        };
        inner.load_history.drain(..old.saturating_sub(1));
        load
    }
}

/// Counts a request as running until the guard is dropped, also when the caller closes the connection.
struct RunningGuard(Arc<EngineState>);

impl RunningGuard {
    fn new(state: &Arc<EngineState>) -> RunningGuard {
        state.running.fetch_add(1, Ordering::Relaxed);
        RunningGuard(state.clone())
    }
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::Relaxed);
    }
}

#[derive(Debug)]
#[derive(Deserialize)]
struct ChatMessage {
    content: String,
}

#[derive(Debug)]
#[derive(Deserialize)]
struct ChatRequest {
    messages: Vec<ChatMessage>,
    #[serde(default)]
    stream: bool,
    #[serde(default = "default_tokens")]
    max_tokens: u64,
}

fn default_tokens() -> u64 {
    16
}

/// Headers of a chat request.
struct ChatHeaders {
    request_id: CompactString,
    all: CompactString, // Target and all headers, as text.
}

#[rocket::async_trait]
impl<'r> FromRequest<'r> for ChatHeaders {
    type Error = ();

    async fn from_request(request: &'r Request<'_>) -> Outcome<ChatHeaders, ()> {
        let mut all = CompactString::from(request.uri().to_string());
        for header in request.headers().iter() {
            all.push_str(&format!("\n{}: {}", header.name(), header.value()));
        }
        let request_id = request
            .headers()
            .get_one("x-request-id")
            .unwrap_or_default()
            .into();
        Outcome::Success(ChatHeaders { request_id, all })
    }
}

/// Fault that is injected into a response.
#[derive(Clone, Copy, PartialEq)]
enum ResponseFault {
    None,
    Truncated,
    Failing,
}

struct ChatResponse {
    state: Arc<EngineState>,
    request_id: CompactString,
    load: u64,
    body: ResponseBody,
}

type BodyStream = Pin<Box<dyn Stream<Item = Bytes> + Send>>;

enum ResponseBody {
    Text(Status, String),
    Stream(ContentType, ByteStream<BodyStream>),
}

impl<'r> Responder<'r, 'r> for ChatResponse {
    fn respond_to(self, request: &'r Request<'_>) -> response::Result<'r> {
        let mut response = match self.body {
            ResponseBody::Text(status, text) => {
                Response::build_from((status, (ContentType::JSON, text)).respond_to(request)?)
                    .finalize()
            }
            ResponseBody::Stream(kind, stream) => Response::build_from(stream.respond_to(request)?)
                .header(kind)
                .finalize(),
        };
        response.set_header(Header::new("x-request-id", self.request_id.to_string()));
        response.set_header(Header::new("x-engine-load", self.load.to_string()));
        drop(self.state);
        Ok(response)
    }
}

#[post("/v1/chat/completions", data = "<chat>")]
async fn complete(
    state: &State<Arc<EngineState>>,
    headers: ChatHeaders,
    chat: Json<ChatRequest>,
) -> ChatResponse {
    let state = state.inner().clone();
    let chat = chat.into_inner();
    let prompt: String = chat
        .messages
        .iter()
        .map(|message| message.content.as_str())
        .collect();
    let guard = RunningGuard::new(&state);
    let (fault, crossed, poisoned) = {
        let mut inner = state.lock();
        inner.received.push(headers.all);
        inner.received.push(prompt.as_str().into());
        let fault = if take_fault(&mut inner.faults.failing) {
            ResponseFault::Failing
        } else if take_fault(&mut inner.faults.truncated) {
            ResponseFault::Truncated
        } else {
            ResponseFault::None
        };
        let poisoned =
            !inner.faults.poison.is_empty() && prompt.contains(inner.faults.poison.as_str());
        (fault, take_fault(&mut inner.faults.crossed), poisoned)
    };
    let cached = state.record_prefix_use(&prompt);
    let prefill = if cached {
        state.model.cached_prefill_us
    } else {
        state.model.prefill_us
    };
    sleep(state.scale_time(prefill)).await;
    let request_id = if crossed {
        CompactString::from("another-request")
    } else {
        headers.request_id
    };
    let load = state.reported_load();
    let body = if fault == ResponseFault::Failing || poisoned {
        ResponseBody::Text(
            Status::InternalServerError,
            json!({"error": "engine failure"}).to_string(),
        )
    } else if chat.stream {
        let stream = stream_tokens(guard, request_id.clone(), chat.max_tokens, fault);
        ResponseBody::Stream(ContentType::EventStream, ByteStream(Box::pin(stream)))
    } else {
        let tokens = chat.max_tokens;
        let stream = complete_response(guard, request_id.clone(), prompt.len() / 4, tokens, fault);
        ResponseBody::Stream(ContentType::JSON, ByteStream(Box::pin(stream)))
    };
    ChatResponse {
        state,
        request_id,
        load,
        body,
    }
}

/// Decrements the count of a fault, and returns whether the fault applies to this response.
fn take_fault(count: &mut u64) -> bool {
    let taken = *count > 0;
    *count = count.saturating_sub(1);
    taken
}

/// Builds the body of a response that isn't streamed.
///
/// The body sends white space for each token, so that a closed connection is detected and its request
/// cancelled.
fn complete_response(
    guard: RunningGuard,
    request_id: CompactString,
    prompt_tokens: usize,
    tokens: u64,
    fault: ResponseFault,
) -> impl Stream<Item = Bytes> + Send {
    stream! {
        for _ in 1..tokens {
            sleep(guard.0.scale_time(guard.0.model.token_us)).await;
            yield Bytes::from_static(b" ");
        }
        guard.0.lock().completed += 1;
        let words: Vec<String> = (0..tokens).map(|index| format!("t{index}")).collect();
        let message = json!({"role": "assistant", "content": words.join(" ")});
        let response = json!({
            "id": request_id,
            "object": "chat.completion",
            "choices": [{"index": 0, "message": message, "finish_reason": "stop"}],
            "usage": {"prompt_tokens": prompt_tokens, "completion_tokens": tokens},
        });
        let mut text = response.to_string();
        if fault == ResponseFault::Truncated {
            text.truncate(text.len() / 2);
        }
        yield Bytes::from(text);
    }
}

/// Builds the body of a streamed response, one event per token; a truncated one ends after half of them.
fn stream_tokens(
    guard: RunningGuard,
    request_id: CompactString,
    tokens: u64,
    fault: ResponseFault,
) -> impl Stream<Item = Bytes> + Send {
    stream! {
        for index in 0..tokens {
            if index > 0 {
                sleep(guard.0.scale_time(guard.0.model.token_us)).await;
            }
            if fault == ResponseFault::Truncated && index >= tokens / 2 {
                return;
            }
            let chunk = json!({
                "id": request_id,
                "object": "chat.completion.chunk",
                "choices": [{"index": 0, "delta": {"content": format!("t{index} ")}}],
            });
            yield Bytes::from(format!("data: {chunk}\n\n"));
        }
        guard.0.lock().completed += 1;
        yield Bytes::from_static(b"data: [DONE]\n\n");
    }
}

#[get("/load")]
fn load(state: &State<Arc<EngineState>>) -> Json<Value> {
    Json(json!({ "running": state.reported_load() }))
}

#[get("/standin/counters")]
fn counters(state: &State<Arc<EngineState>>) -> Json<Value> {
    let running = state.running.load(Ordering::Relaxed);
    let inner = state.lock();
    Json(json!({
        "requests": inner.requests,
        "completed": inner.completed,
        "prefix_hits": inner.prefix_hits,
        "running": running,
    }))
}

#[get("/standin/seen")]
fn received(state: &State<Arc<EngineState>>) -> Json<Value> {
    Json(json!(state.lock().received))
}

#[post("/standin/faults", data = "<faults>")]
fn set_faults(state: &State<Arc<EngineState>>, faults: Json<EngineFaults>) {
    state.lock().faults = faults.into_inner();
}

/// Adds the engine's state and routes to a server.
pub fn mount(server: Rocket<Build>, model: EngineModel) -> Rocket<Build> {
    let state = EngineState {
        model,
        running: AtomicU64::new(0),
        inner: Mutex::default(),
    };
    server
        .manage(Arc::new(state))
        .mount("/", routes![complete, load, counters, received, set_faults])
}
