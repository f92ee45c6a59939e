//! Stand-in for a model engine with a simple cost model.
//!
//! Prefill takes a fixed time for each prompt token that is not in the prefix
//! cache. Each output token takes one step, whose duration grows with the number
//! of requests in the batch. Four bytes of prompt count as one token.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use http::{Method, StatusCode};
use rattanstall::http::{
    HttpClient, Request, Respond, Response, buffered, client, fetch, json, set_header, streamed,
};
use rattanstall::ledger::EndpointReport;
use rattanstall::wire::{Fence, Residency, Resident};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::time::sleep;

use crate::faults::{FAULTS_PATH, FaultInjector, bad_request};

/// Bytes of prompt that count as one token.
const BYTES_PER_TOKEN: usize = 4;
/// Number of prefixes that the prefix cache holds.
const MAX_CACHED_PREFIXES: usize = 64;
/// Length of the cached prefix of a prompt, in bytes.
const PREFIX_BYTES: usize = 256;

/// Capacity, cost model and fencing of an engine.
#[derive(Clone, Debug)]
pub struct EngineSetup {
    /// Memory, in bytes.
    pub memory_bytes: u64,
    /// Whether it refuses orders with an old fencing number.
    pub obeys_fence: bool,
    /// Address of the weight store; without one, loads take no time.
    pub weight_store: Option<SocketAddr>,
    /// Prefill time of each prompt token, in microseconds.
    pub prefill_us: u64,
    /// Duration of a step with one request in the batch, in microseconds.
    pub step_us: u64,
    /// Time that each further request in the batch adds to a step, in microseconds.
    pub batch_us: u64,
}

/// One request that the engine ran.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineRun {
    /// The request's identifier.
    pub request: String,
    /// The workspace.
    pub workspace: String,
    /// The model.
    pub model: String,
    /// Number of tokens sent.
    pub tokens: u64,
    /// Whether the response was sent in full.
    pub finished: bool,
    /// Names of all headers that the engine saw.
    pub headers: Vec<String>,
}

/// Runs and refused loads that the engine recorded.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct EngineHistory {
    /// All runs.
    pub runs: Vec<EngineRun>,
    /// Refused loads that would have overcommitted the memory.
    pub overcommits: u64,
}

#[derive(Default)]
struct State {
    models: Vec<Resident>,
    fence: Fence,
    cached_prefixes: VecDeque<(CompactString, Vec<u8>)>,
    history: EngineHistory,
}

/// A model engine.
pub struct EngineStandIn {
    setup: EngineSetup,
    state: Mutex<State>,
    batch_size: AtomicU64,
    faults: FaultInjector,
    client: HttpClient,
}

#[derive(Deserialize)]
struct OrderBody {
    model: CompactString,
    fence: Fence,
    bytes: u64,
}

/// A request in the batch. Dropping it removes it from the batch; if that happens
/// early, its run stays recorded as not finished.
struct RunningRequest {
    engine: Arc<EngineStandIn>,
    index: usize,
}

impl RunningRequest {
    fn start(engine: Arc<EngineStandIn>, run: EngineRun) -> Self {
        engine.batch_size.fetch_add(1, Ordering::Relaxed);
        let mut state = engine.state();
        state.history.runs.push(run);
        let index = state.history.runs.len() - 1;
        drop(state);
        Self { engine, index }
    }

    fn record_progress(&self, tokens: u64, finished: bool) {
        let mut state = self.engine.state();
        let run = &mut state.history.runs[self.index];
        run.tokens = tokens;
        run.finished = finished;
    }
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        self.engine.batch_size.fetch_sub(1, Ordering::Relaxed);
    }
}

impl EngineStandIn {
    /// Creates an engine without loaded models.
    pub fn new(setup: EngineSetup) -> Self {
        Self {
            setup,
            state: Mutex::default(),
            batch_size: AtomicU64::new(0),
            faults: FaultInjector::default(),
            client: client(),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    fn report(&self) -> EndpointReport {
        let state = self.state();
        EndpointReport {
            memory_bytes: self.setup.memory_bytes,
            fence: match self.setup.obeys_fence {
                true => state.fence,
                false => Fence::default(),
            },
            models: state.models.clone(),
        }
    }

    /// Handles an order. A model is loaded in the background after the response.
    async fn handle_order(self: Arc<Self>, action: &str, body: &[u8]) -> Response {
        let late_ms = self.faults.get().late_orders_ms;
        sleep(Duration::from_millis(late_ms)).await;
        let Ok(order) = serde_json::from_slice::<OrderBody>(body) else {
            return bad_request("not an order");
        };
        let mut state = self.state();
        if self.setup.obeys_fence && order.fence < state.fence {
            return json(StatusCode::CONFLICT, &"old fence");
        }
        state.fence = state.fence.max(order.fence);
        // An unload removes the model at once; a load keeps all models.
        state
            .models
            .retain(|m| action == "load" || m.model != order.model);
        let is_present = state.models.iter().any(|m| m.model == order.model);
        if action != "load" || is_present {
            return json(StatusCode::OK, &"ok");
        }
        let used_bytes: u64 = state.models.iter().map(|m| m.bytes).sum();
        if used_bytes + order.bytes > self.setup.memory_bytes {
            state.history.overcommits += 1;
            return json(StatusCode::INSUFFICIENT_STORAGE, &"no room");
        }
        state.models.push(Resident {
            model: order.model.clone(),
            state: Residency::Loading,
            bytes: order.bytes,
        });
        state.models.sort_by(|a, b| a.model.cmp(&b.model));
        drop(state);
        tokio::spawn(self.clone().load_model(order.model));
        json(StatusCode::OK, &"ok")
    }

    async fn load_model(self: Arc<Self>, model: CompactString) {
        if let Some(weight_store) = self.setup.weight_store {
            let uri = format!("http://{weight_store}/weights/{model}");
            let timeout = Duration::from_secs(60);
            let result = fetch(&self.client, Method::GET, &uri, Bytes::new(), timeout).await;
            if let Err(error) = result {
                eprintln!("loading {model} failed: {error}");
                self.state().models.retain(|m| m.model != model);
                return;
            }
        }
        let mut state = self.state();
        if let Some(resident) = state.models.iter_mut().find(|m| m.model == model) {
            resident.state = Residency::Ready;
        }
    }

    async fn handle_chat(self: Arc<Self>, req: Request, body: &[u8]) -> Response {
        let request_id = req.header("x-request-id").unwrap_or_default().to_owned();
        let Ok(body_json) = serde_json::from_slice::<Value>(body) else {
            return bad_request("not JSON");
        };
        let model = body_json["model"].as_str().unwrap_or_default().to_owned();
        let is_ready = |m: &Resident| m.model == model && m.state == Residency::Ready;
        if !self.state().models.iter().any(is_ready) {
            return json(StatusCode::NOT_FOUND, &"model not loaded");
        }
        let workspace = req.header("x-workspace").unwrap_or_default().to_owned();
        let prompt = body_json["messages"].to_string();
        let completion_tokens = body_json["max_tokens"].as_u64().unwrap_or(16);
        let run = EngineRun {
            request: request_id.clone(),
            workspace: workspace.clone(),
            model,
            tokens: 0,
            finished: false,
            headers: req.headers.keys().map(|k| k.to_string()).collect(),
        };
        let running = RunningRequest::start(self.clone(), run);
        sleep(self.prefill_time(&workspace, prompt.as_bytes())).await;
        let prompt_tokens = (prompt.len() / BYTES_PER_TOKEN) as u64;
        let mut completion = Completion {
            engine: self.clone(),
            running,
            request_id: request_id.clone(),
            sent_tokens: 0,
            completion_tokens,
            prompt_tokens,
            is_truncated: self.faults.try_consume(|faults| &mut faults.cut_answers),
        };
        let mut res = if body_json["stream"].as_bool().unwrap_or_default() {
            streamed(
                StatusCode::OK,
                "text/event-stream",
                completion.into_stream(),
            )
        } else {
            completion.generate_all().await;
            buffered(StatusCode::OK, "application/json", completion.full_body())
        };
        let id = match self
            .faults
            .try_consume(|faults| &mut faults.crossed_answers)
        {
            true => "00000000000000000000000000000000",
            false => &request_id,
        };
        set_header(&mut res, "x-request-id", id);
        res
    }

    /// Returns the prefill time of a prompt, less that of a cached prefix, and
    /// caches the prefix.
    fn prefill_time(&self, workspace: &str, prompt: &[u8]) -> Duration {
        let prefix = prompt[..prompt.len().min(PREFIX_BYTES)].to_vec();
        let entry = (CompactString::from(workspace), prefix);
        let mut state = self.state();
        let is_cached = state.cached_prefixes.contains(&entry);
        let cached_bytes = if is_cached { entry.1.len() } else { 0 };
        if !is_cached {
            state.cached_prefixes.push_back(entry);
        }
        if state.cached_prefixes.len() > MAX_CACHED_PREFIXES {
            state.cached_prefixes.pop_front();
        }
        let tokens = (prompt.len() - cached_bytes) / BYTES_PER_TOKEN;
        Duration::from_micros(tokens as u64 * self.setup.prefill_us)
    }

    /// Returns the duration of one step with the current batch.
    fn step_time(&self) -> Duration {
        let others = self.batch_size.load(Ordering::Relaxed).saturating_sub(1);
        Duration::from_micros(self.setup.step_us + others * self.setup.batch_us)
    }
}

/// A response that is generated token by token.
struct Completion {
    engine: Arc<EngineStandIn>,
    running: RunningRequest,
    request_id: String,
    sent_tokens: u64,
    completion_tokens: u64,
    prompt_tokens: u64,
    /// Whether a streamed response breaks off halfway. A response in one piece never does.
    is_truncated: bool,
}

impl Completion {
    fn into_stream(
        self,
    ) -> impl futures_util::Stream<Item = Result<Bytes, std::io::Error>> + 'static {
        futures_util::stream::unfold(self, |mut completion| async move {
            let chunk = completion.next_chunk().await?;
            Some((chunk, completion))
        })
    }

    async fn next_chunk(&mut self) -> Option<Result<Bytes, std::io::Error>> {
        if self.sent_tokens > self.completion_tokens {
            return None;
        }
        if self.is_truncated && self.sent_tokens > self.completion_tokens / 2 {
            return Some(Err(std::io::Error::other("cut")));
        }
        if self.sent_tokens == self.completion_tokens {
            // The last chunk carries no token; counting it ends the stream at the next call.
            self.sent_tokens += 1;
            self.running.record_progress(self.completion_tokens, true);
            let chunk = json!({ "id": self.id(), "choices": [], "usage": self.usage() });
            let text = format!("data: {chunk}\n\ndata: [DONE]\n\n");
            return Some(Ok(Bytes::from(text)));
        }
        sleep(self.engine.step_time()).await;
        self.sent_tokens += 1;
        self.running.record_progress(self.sent_tokens, false);
        let delta = json!({ "content": self.token_text(self.sent_tokens) });
        let chunk = json!({
            "id": self.id(),
            "object": "chat.completion.chunk",
            "choices": [{ "index": 0, "delta": delta }],
        });
        Some(Ok(Bytes::from(format!("data: {chunk}\n\n"))))
    }

    async fn generate_all(&mut self) {
        while self.sent_tokens < self.completion_tokens {
            sleep(self.engine.step_time()).await;
            self.sent_tokens += 1;
        }
        self.running.record_progress(self.completion_tokens, true);
    }

    fn full_body(&self) -> Bytes {
        let content: String = (1..=self.completion_tokens)
            .map(|n| self.token_text(n))
            .collect();
        let message = json!({ "role": "assistant", "content": content });
        let body = json!({
            "id": self.id(),
            "object": "chat.completion",
            "choices": [{ "index": 0, "message": message, "finish_reason": "stop" }],
            "usage": self.usage(),
        });
        Bytes::from(body.to_string())
    }

    /// Returns the nth token. It contains the start of the request's identifier, so
    /// that a response to another request can be recognized.
    fn token_text(&self, n: u64) -> String {
        format!("{}:{n} ", &self.request_id[..self.request_id.len().min(8)])
    }

    fn id(&self) -> String {
        format!("chatcmpl-{}", self.request_id)
    }

    fn usage(&self) -> Value {
        json!({
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": self.completion_tokens,
            "total_tokens": self.prompt_tokens + self.completion_tokens,
        })
    }
}

impl Respond for EngineStandIn {
    async fn respond(self: Arc<Self>, mut req: Request) -> Response {
        let path = req.uri.path().to_owned();
        if path == FAULTS_PATH {
            return self.faults.respond(req).await;
        }
        let Ok(body) = req.read_body(8 << 20, Duration::from_secs(5)).await else {
            return bad_request("the body did not arrive");
        };
        if let Err(refusal) = self.faults.before_call().await {
            return refusal;
        }
        match path.as_str() {
            "/status" => json(StatusCode::OK, &self.report()),
            "/models/load" => self.handle_order("load", &body).await,
            "/models/unload" => self.handle_order("unload", &body).await,
            "/v1/chat/completions" => self.handle_chat(req, &body).await,
            "/control/history" => json(StatusCode::OK, &self.state().history),
            _ => json(StatusCode::NOT_FOUND, &"no such path"),
        }
    }
}
