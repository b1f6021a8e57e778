//! A model engine: continuous batching, a bounded cache of prompt prefixes, no priorities.

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

/// Bytes of the prompt that a cached prefix stands for.
const CACHED_PREFIX_BYTES: usize = 256;

/// Service-time model of the engine.
#[derive(Clone, Debug)]
pub struct EngineModel {
    /// Time to the first token of an uncached prompt, in microseconds.
    pub prefill_us: u64,
    /// Time to the first token of a cached prompt, in microseconds.
    pub cached_prefill_us: u64,
    /// Time of each further token, in microseconds.
    pub token_us: u64,
    /// Requests beyond which all of them slow down.
    pub slots: u64,
    /// Prefixes that the cache holds.
    pub cached_prefixes: u64,
    /// Age of the load that is reported, in milliseconds.
    pub report_lag_ms: u64,
}

/// Faults of the engine.
#[derive(Clone, Debug, Default)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// Answers that end in the middle.
    pub truncated: u64,
    /// Answers that belong to another request.
    pub crossed: u64,
    /// Answers with status 500.
    pub failing: u64,
    /// Prompts with this text never complete.
    pub poison: CompactString,
}

#[derive(Default)]
struct EngineInner {
    faults: EngineFaults,
    prefixes: Vec<CompactString>, // Oldest use first.
    reports: Vec<(Instant, u64)>,
    seen: Vec<CompactString>,
    hits: u64,
    requests: u64,
    completed: u64,
}

/// State of the stand-in.
pub struct EngineState {
    model: EngineModel,
    running: AtomicU64,
    inner: Mutex<EngineInner>,
}

impl EngineState {
    fn lock(&self) -> std::sync::MutexGuard<'_, EngineInner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the factor by which the batch in progress slows each request.
    fn slowdown(&self) -> f64 {
        let running = self.running.load(Ordering::Relaxed) as f64;
        (running / self.model.slots as f64).max(1.0)
    }

    fn stretch(&self, time_us: u64) -> Duration {
        Duration::from_micros((time_us as f64 * self.slowdown()) as u64)
    }

    /// Notes the use of a prefix and returns whether it was cached.
    fn touch_prefix(&self, prompt: &str) -> bool {
        let mut end = prompt.len().min(CACHED_PREFIX_BYTES);
        while !prompt.is_char_boundary(end) {
            end -= 1;
        }
        let mut inner = self.lock();
        inner.requests += 1;
        let known = inner
            .prefixes
            .iter()
            .position(|prefix| prefix == &prompt[..end]);
        if let Some(index) = known {
            inner.prefixes.remove(index);
            inner.hits += 1;
        }
        inner.prefixes.push(prompt[..end].into());
        if inner.prefixes.len() as u64 > self.model.cached_prefixes {
            inner.prefixes.remove(0);
        }
        known.is_some()
    }

    /// Returns the load as it was some time ago.
    fn reported_load(&self) -> u64 {
        let lag = Duration::from_millis(self.model.report_lag_ms);
        let running = self.running.load(Ordering::Relaxed);
        let mut inner = self.lock();
        inner.reports.push((Instant::now(), running));
        let old = inner.reports.partition_point(|(at, _)| at.elapsed() >= lag);
        let load = if old > 0 { inner.reports[old - 1].1 } else { 0 };
        inner.reports.drain(..old.saturating_sub(1));
        load
    }
}

/// Counts a request as running until dropped: a closed connection cancels it.
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

struct ChatHeaders {
    request_id: CompactString,
    all: CompactString,
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

/// How an answer is spoilt.
#[derive(Clone, Copy, PartialEq)]
enum Spoilt {
    Not,
    Truncated,
    Failing,
}

struct ChatAnswer {
    state: Arc<EngineState>,
    request_id: CompactString,
    load: u64,
    body: AnswerBody,
}

type BodyStream = Pin<Box<dyn Stream<Item = Bytes> + Send>>;

enum AnswerBody {
    Whole(Status, String),
    Stream(ContentType, ByteStream<BodyStream>),
}

impl<'r> Responder<'r, 'r> for ChatAnswer {
    fn respond_to(self, request: &'r Request<'_>) -> response::Result<'r> {
        let mut response = match self.body {
            AnswerBody::Whole(status, text) => {
                Response::build_from((status, (ContentType::JSON, text)).respond_to(request)?)
                    .finalize()
            }
            AnswerBody::Stream(kind, stream) => Response::build_from(stream.respond_to(request)?)
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
) -> ChatAnswer {
    let state = state.inner().clone();
    let chat = chat.into_inner();
    let prompt: String = chat
        .messages
        .iter()
        .map(|message| message.content.as_str())
        .collect();
    let guard = RunningGuard::new(&state);
    let (spoilt, crossed, poisoned) = {
        let mut inner = state.lock();
        inner.seen.push(headers.all);
        inner.seen.push(prompt.as_str().into());
        let spoilt = if take_one(&mut inner.faults.failing) {
            Spoilt::Failing
        } else if take_one(&mut inner.faults.truncated) {
            Spoilt::Truncated
        } else {
            Spoilt::Not
        };
        let poisoned =
            !inner.faults.poison.is_empty() && prompt.contains(inner.faults.poison.as_str());
        (spoilt, take_one(&mut inner.faults.crossed), poisoned)
    };
    let cached = state.touch_prefix(&prompt);
    let prefill = if cached {
        state.model.cached_prefill_us
    } else {
        state.model.prefill_us
    };
    sleep(state.stretch(prefill)).await;
    let request_id = if crossed {
        CompactString::from("another-request")
    } else {
        headers.request_id
    };
    let load = state.reported_load();
    let body = if spoilt == Spoilt::Failing || poisoned {
        AnswerBody::Whole(
            Status::InternalServerError,
            json!({"error": "engine failure"}).to_string(),
        )
    } else if chat.stream {
        let stream = stream_tokens(guard, request_id.clone(), chat.max_tokens, spoilt);
        AnswerBody::Stream(ContentType::EventStream, ByteStream(Box::pin(stream)))
    } else {
        let tokens = chat.max_tokens;
        let stream = whole_answer(guard, request_id.clone(), prompt.len() / 4, tokens, spoilt);
        AnswerBody::Stream(ContentType::JSON, ByteStream(Box::pin(stream)))
    };
    ChatAnswer {
        state,
        request_id,
        load,
        body,
    }
}

fn take_one(count: &mut u64) -> bool {
    let taken = *count > 0;
    *count = count.saturating_sub(1);
    taken
}

/// Makes a whole answer. White space goes out with each token, so that a caller that hangs up is
/// noticed and its request cancelled.
fn whole_answer(
    guard: RunningGuard,
    request_id: CompactString,
    prompt_tokens: usize,
    tokens: u64,
    spoilt: Spoilt,
) -> impl Stream<Item = Bytes> + Send {
    stream! {
        for _ in 1..tokens {
            sleep(guard.0.stretch(guard.0.model.token_us)).await;
            yield Bytes::from_static(b" ");
        }
        guard.0.lock().completed += 1;
        let words: Vec<String> = (0..tokens).map(|index| format!("t{index}")).collect();
        let message = json!({"role": "assistant", "content": words.join(" ")});
        let answer = json!({
            "id": request_id,
            "object": "chat.completion",
            "choices": [{"index": 0, "message": message, "finish_reason": "stop"}],
            "usage": {"prompt_tokens": prompt_tokens, "completion_tokens": tokens},
        });
        let mut text = answer.to_string();
        if spoilt == Spoilt::Truncated {
            text.truncate(text.len() / 2);
        }
        yield Bytes::from(text);
    }
}

fn stream_tokens(
    guard: RunningGuard,
    request_id: CompactString,
    tokens: u64,
    spoilt: Spoilt,
) -> impl Stream<Item = Bytes> + Send {
    stream! {
        for index in 0..tokens {
            if index > 0 {
                sleep(guard.0.stretch(guard.0.model.token_us)).await;
            }
            if spoilt == Spoilt::Truncated && index >= tokens / 2 {
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
        "prefix_hits": inner.hits,
        "running": running,
    }))
}

#[get("/standin/seen")]
fn seen(state: &State<Arc<EngineState>>) -> Json<Value> {
    Json(json!(state.lock().seen))
}

#[post("/standin/faults", data = "<faults>")]
fn set_faults(state: &State<Arc<EngineState>>, faults: Json<EngineFaults>) {
    state.lock().faults = faults.into_inner();
}

/// Mounts the engine's routes.
pub fn mount(server: Rocket<Build>, model: EngineModel) -> Rocket<Build> {
    let state = EngineState {
        model,
        running: AtomicU64::new(0),
        inner: Mutex::default(),
    };
    server
        .manage(Arc::new(state))
        .mount("/", routes![complete, load, counters, seen, set_faults])
}
