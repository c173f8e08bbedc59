//! The engine's HTTP API: chat and text completions, health, load and orders.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use cv_http::DrainGate;
use cv_http::HttpFault;
use cv_http::HttpLimits;
use cv_http::HttpServer;
use cv_http::RequestHandler;
use cv_http::ServerExchange;
use http::HeaderMap;
use http::HeaderValue;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use monoio::net::TcpListener;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;
use tokio::sync::mpsc::UnboundedReceiver;

use super::EngineSettings;
use super::engine_core::EngineCore;
use crate::json_response::respond_json;

/// Maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;

/// Interval at which the report for other threads is updated.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(20);

/// Number of tokens to generate if the request sets no limit.
const DEFAULT_MAX_TOKENS: usize = 16;

/// A completion request; fields that the stand-in does not need are ignored.
#[derive(Debug, Deserialize)]
struct CompletionRequest {
    #[serde(default)]
    max_tokens: Option<usize>,
    #[serde(default)]
    messages: Vec<ChatMessage>,
    #[serde(default)]
    model: String,
    #[serde(default)]
    prompt: Option<String>,
    #[serde(default)]
    stream: bool,
}

/// One message of a chat request.
#[derive(Debug, Deserialize)]
struct ChatMessage {
    content: String,
}

/// An order to load or unload a model; `fence` is the sender's fencing token.
#[derive(Debug, Deserialize)]
struct EngineOrder {
    fence: u64,
    model: String,
    order: String,
}

/// Work that an engine has done since its start.
#[derive(Clone, Copy, Debug, Default)]
pub struct EngineReport {
    /// Prompt tokens that were found in the prefix cache.
    pub cached_tokens: u64,
    /// Tokens that were generated.
    pub generated_tokens: u64,
    /// Maximum number of sequences that ran at once.
    pub peak_running: usize,
    /// Prompt tokens of all requests, cached ones included.
    pub prompt_tokens: u64,
    /// Requests that were admitted.
    pub sequences: u64,
}

/// An engine that serves on one thread; its clones are handles for other threads.
#[derive(Clone, Debug)]
pub struct EngineStandin {
    report: Arc<Mutex<EngineReport>>,
    settings: EngineSettings,
    step_time_percent: Arc<AtomicU32>,
    is_load_frozen: Arc<AtomicBool>,
}

impl EngineStandin {
    /// Creates an engine at normal speed.
    #[must_use]
    pub fn new(settings: EngineSettings) -> Self {
        Self {
            report: Arc::default(),
            settings,
            step_time_percent: Arc::new(AtomicU32::new(100)),
            is_load_frozen: Arc::default(),
        }
    }

    /// Sets the time of each step in percent of its normal time; 100 is the normal speed.
    pub fn set_step_time_percent(&self, percent: u32) {
        self.step_time_percent.store(percent.max(1), Ordering::Relaxed);
    }

    /// Freezes the reported load at its last reported value.
    pub fn freeze_load_report(&self) {
        self.is_load_frozen.store(true, Ordering::Relaxed);
    }

    /// Returns the work done so far.
    ///
    /// # Panics
    /// Panics if the engine's thread has panicked.
    #[must_use]
    pub fn report(&self) -> EngineReport {
        *self.report.lock().expect("no holder panics")
    }

    /// Serves until the gate drains.
    pub async fn serve(self, listener: TcpListener, gate: DrainGate) {
        let core =
            Rc::new(EngineCore::new(self.settings.clone(), Arc::clone(&self.step_time_percent)));
        monoio::spawn(Rc::clone(&core).run());
        let handler = EngineHandler {
            core,
            highest_fence: Cell::new(0),
            models: RefCell::new(vec![self.settings.model.clone()]),
            load_history: RefCell::default(),
            shared: self,
        };
        let handler = Rc::new(handler);
        let publisher = Rc::clone(&handler);
        monoio::spawn(async move {
            loop {
                monoio::time::sleep(PUBLISH_INTERVAL).await;
                publisher.publish_report();
            }
        });
        HttpServer::new(listener, handler, gate, HttpLimits::default()).run().await;
    }
}

/// Handles the engine's requests.
#[derive(Debug)]
struct EngineHandler {
    core: Rc<EngineCore>,
    highest_fence: Cell<u64>,
    models: RefCell<Vec<String>>,
    /// Past loads, each with its time and the numbers of running and of waiting sequences; reports
    /// lag by `load_lag`.
    load_history: RefCell<VecDeque<(Instant, usize, usize)>>,
    shared: EngineStandin,
}

impl RequestHandler for EngineHandler {
    async fn handle(&self, exchange: &mut ServerExchange<'_>) -> Result<(), HttpFault> {
        let body = exchange.read_body(MAX_BODY_BYTES).await?;
        let path = exchange.head().uri.path().to_owned();
        let result = match path.as_str() {
            "/v1/completions" => self.complete(exchange, &body, false).await,
            "/v1/chat/completions" => self.complete(exchange, &body, true).await,
            "/v1/models" => {
                let models = self.models.borrow().clone();
                let data: Vec<Value> =
                    models.iter().map(|id| json!({"id": id, "object": "model"})).collect();
                let list = json!({"object": "list", "data": data});
                respond_json(exchange, StatusCode::OK, &list).await
            }
            "/health" => respond_json(exchange, StatusCode::OK, &json!({"status": "ok"})).await,
            "/load" => respond_json(exchange, StatusCode::OK, &self.lagged_load()).await,
            "/orders" => self.execute_order(exchange, &body).await,
            _ => {
                respond_json(exchange, StatusCode::NOT_FOUND, &json!({"error": "no such path"}))
                    .await
            }
        };
        self.publish_report();
        result
    }
}

impl EngineHandler {
    /// Runs a chat completion or a text completion.
    async fn complete(
        &self,
        exchange: &mut ServerExchange<'_>,
        body: &[u8],
        is_chat: bool,
    ) -> Result<(), HttpFault> {
        let request: CompletionRequest = match serde_json::from_slice(body) {
            Ok(request) => request,
            Err(error) => {
                let response = json!({"error": {"message": error.to_string()}});
                return respond_json(exchange, StatusCode::BAD_REQUEST, &response).await;
            }
        };
        let prompt = prompt_of(&request, is_chat);
        let tokens = request.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
        if tokens == 0 {
            let response = json!({"error": {"message": "max_tokens must be at least 1"}});
            return respond_json(exchange, StatusCode::BAD_REQUEST, &response).await;
        }
        let request_id = exchange.header("x-request-id").unwrap_or("none").to_owned();
        let format =
            ResponseFormat { is_chat, id: format!("cmpl-{request_id}"), model: request.model };
        let receiver = self.core.admit(&prompt, tokens);
        self.publish_report();
        if request.stream {
            stream_response(exchange, receiver, &format, tokens).await
        } else {
            send_buffered_response(exchange, receiver, &format, &prompt, tokens).await
        }
    }

    /// Executes an order, unless its fencing token is stale and this engine checks it.
    async fn execute_order(
        &self,
        exchange: &mut ServerExchange<'_>,
        body: &[u8],
    ) -> Result<(), HttpFault> {
        let Ok(order) = serde_json::from_slice::<EngineOrder>(body) else {
            let response = json!({"error": "malformed order"});
            return respond_json(exchange, StatusCode::BAD_REQUEST, &response).await;
        };
        if self.shared.settings.checks_fencing && order.fence < self.highest_fence.get() {
            let response =
                json!({"error": "old fencing number", "fence": self.highest_fence.get()});
            return respond_json(exchange, StatusCode::CONFLICT, &response).await;
        }
        self.highest_fence.set(self.highest_fence.get().max(order.fence));
        {
            let mut models = self.models.borrow_mut();
            models.retain(|model| *model != order.model);
            if order.order == "load" {
                models.push(order.model);
            }
        }
        respond_json(exchange, StatusCode::OK, &json!({"fence": self.highest_fence.get()})).await
    }

    /// Returns the load as it was `load_lag` ago, or the frozen one.
    fn lagged_load(&self) -> Value {
        let is_frozen = self.shared.is_load_frozen.load(Ordering::Relaxed);
        let (running, waiting) = self.core.load();
        let mut load_history = self.load_history.borrow_mut();
        if !is_frozen || load_history.is_empty() {
            load_history.push_back((Instant::now(), running, waiting));
        }
        let lag = self.shared.settings.load_lag;
        while load_history.len() > 1 && load_history[1].0.elapsed() >= lag {
            load_history.pop_front();
        }
        let (_, running, waiting) = load_history[0];
        json!({"running": running, "waiting": waiting})
    }

    /// Updates the report that other threads read.
    fn publish_report(&self) {
        let counts = self.core.counts();
        *self.shared.report.lock().expect("no holder panics") = EngineReport {
            cached_tokens: counts.cached_tokens,
            generated_tokens: counts.generated_tokens,
            peak_running: counts.peak_running,
            prompt_tokens: counts.prompt_tokens,
            sequences: counts.sequences,
        };
    }
}

/// The format of one response: which API, and the fields that each event repeats.
#[derive(Debug)]
struct ResponseFormat {
    is_chat: bool,
    id: String,
    model: String,
}

impl ResponseFormat {
    /// Encodes one event of a streamed response.
    fn event(&self, word: &str, finish_reason: Option<&str>) -> Bytes {
        let Self { is_chat, id, model } = self;
        let finish_reason =
            finish_reason.map_or("null".to_owned(), |reason| format!("\"{reason}\""));
        // The words are hexadecimal, so nothing needs to be escaped.
        let (object, content) = if *is_chat {
            ("chat.completion.chunk", format!("\"delta\":{{\"content\":\" {word}\"}}"))
        } else {
            ("text_completion", format!("\"text\":\" {word}\""))
        };
        Bytes::from(format!(
            "data: {{\"id\":\"{id}\",\"object\":\"{object}\",\"model\":\"{model}\",\
             \"choices\":[{{\"index\":0,{content},\"finish_reason\":{finish_reason}}}]}}\n\n"
        ))
    }
}

/// Returns the prompt of a request; the messages of a chat are joined with spaces.
fn prompt_of(request: &CompletionRequest, is_chat: bool) -> String {
    if !is_chat {
        return request.prompt.clone().unwrap_or_default();
    }
    let contents: Vec<&str> = request.messages.iter().map(|message| &*message.content).collect();
    contents.join(" ")
}

/// Streams a response with one event per token.
async fn stream_response(
    exchange: &mut ServerExchange<'_>,
    mut receiver: UnboundedReceiver<String>,
    format: &ResponseFormat,
    tokens: usize,
) -> Result<(), HttpFault> {
    let mut headers = HeaderMap::new();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    exchange.start_stream(StatusCode::OK, &headers).await?;
    for index in 1..=tokens {
        let next = monoio::select! {
            () = exchange.closed() => None,
            word = receiver.recv() => word,
        };
        let Some(word) = next else {
            return Err(HttpFault::Closed);
        };
        let finish = (index == tokens).then_some("length");
        exchange.send_piece(&format.event(&word, finish)).await?;
    }
    exchange.send_piece(&Bytes::from_static(b"data: [DONE]\n\n")).await?;
    exchange.finish_stream().await
}

/// Sends a response in one piece once all its tokens are generated.
async fn send_buffered_response(
    exchange: &mut ServerExchange<'_>,
    mut receiver: UnboundedReceiver<String>,
    format: &ResponseFormat,
    prompt: &str,
    tokens: usize,
) -> Result<(), HttpFault> {
    let mut text = String::new();
    for _ in 0..tokens {
        let next = monoio::select! {
            () = exchange.closed() => None,
            word = receiver.recv() => word,
        };
        let Some(word) = next else {
            return Err(HttpFault::Closed);
        };
        text.push(' ');
        text.push_str(&word);
    }
    let choice = if format.is_chat {
        let message = json!({"role": "assistant", "content": text});
        json!({"index": 0, "message": message, "finish_reason": "length"})
    } else {
        json!({"index": 0, "text": text, "finish_reason": "length"})
    };
    let prompt_tokens = prompt.split_whitespace().count();
    let response = json!({
        "id": format.id,
        "object": if format.is_chat { "chat.completion" } else { "text_completion" },
        "model": format.model,
        "choices": [choice],
        "usage": {
            "prompt_tokens": prompt_tokens,
            "completion_tokens": tokens,
            "total_tokens": prompt_tokens + tokens,
        },
    });
    respond_json(exchange, StatusCode::OK, &response).await
}
