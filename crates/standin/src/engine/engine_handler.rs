//! The engine's HTTP interface, in the common form of completion servers.

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

/// Longest body that the engine takes, in bytes.
const BODY_BYTES: usize = 8 * 1024 * 1024;

/// Time between two updates of the counts that other threads see.
const PUBLISH_PERIOD: Duration = Duration::from_millis(20);

/// Tokens of an answer whose length the request leaves open.
const DEFAULT_TOKENS: usize = 16;

/// A request in the common form; fields that the stand-in does not need are passed over.
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

/// One message of a chat.
#[derive(Debug, Deserialize)]
struct ChatMessage {
    content: String,
}

/// An order to the engine.
#[derive(Debug, Deserialize)]
struct EngineOrder {
    fence: u64,
    model: String,
    order: String,
}

/// What an engine has done since its start.
#[derive(Clone, Copy, Debug, Default)]
pub struct EngineReport {
    /// Prompt tokens found in the prefix cache.
    pub cached_tokens: u64,
    /// Tokens generated.
    pub generated_tokens: u64,
    /// Most sequences that ran at once.
    pub peak_running: usize,
    /// Prompt tokens in all.
    pub prompt_tokens: u64,
    /// Requests admitted.
    pub sequences: u64,
}

/// An engine on one thread, with handles that other threads may hold.
#[derive(Clone, Debug)]
pub struct EngineStandin {
    report: Arc<Mutex<EngineReport>>,
    settings: EngineSettings,
    slowness: Arc<AtomicU32>,
    stale_load: Arc<AtomicBool>,
}

impl EngineStandin {
    /// Creates an engine.
    #[must_use]
    pub fn new(settings: EngineSettings) -> Self {
        Self {
            report: Arc::default(),
            settings,
            slowness: Arc::new(AtomicU32::new(100)),
            stale_load: Arc::default(),
        }
    }

    /// Makes every step take this many percent of its normal time.
    pub fn set_step_time_percent(&self, percent: u32) {
        self.slowness.store(percent.max(1), Ordering::Relaxed);
    }

    /// Makes the engine report from now on the load that it has reported last.
    pub fn freeze_load_report(&self) {
        self.stale_load.store(true, Ordering::Relaxed);
    }

    /// Returns what the engine has done so far.
    ///
    /// # Panics
    /// Panics if the engine's thread has panicked.
    #[must_use]
    pub fn report(&self) -> EngineReport {
        *self.report.lock().expect("no holder panics")
    }

    /// Serves until the gate drains.
    pub async fn serve(self, listener: TcpListener, gate: DrainGate) {
        let core = Rc::new(EngineCore::new(self.settings.clone(), Arc::clone(&self.slowness)));
        monoio::spawn(Rc::clone(&core).run());
        let handler = EngineHandler {
            core,
            fence: Cell::new(0),
            models: RefCell::new(vec![self.settings.model.clone()]),
            reports: RefCell::default(),
            shared: self,
        };
        let handler = Rc::new(handler);
        let publishing = Rc::clone(&handler);
        monoio::spawn(async move {
            loop {
                monoio::time::sleep(PUBLISH_PERIOD).await;
                publishing.publish();
            }
        });
        HttpServer::new(listener, handler, gate, HttpLimits::default()).run().await;
    }
}

/// Answers an engine's requests.
#[derive(Debug)]
struct EngineHandler {
    core: Rc<EngineCore>,
    fence: Cell<u64>,
    models: RefCell<Vec<String>>,
    /// Loads with their times, for reports with a lag.
    reports: RefCell<VecDeque<(Instant, usize, usize)>>,
    shared: EngineStandin,
}

impl RequestHandler for EngineHandler {
    async fn handle(&self, exchange: &mut ServerExchange<'_>) -> Result<(), HttpFault> {
        let body = exchange.read_body(BODY_BYTES).await?;
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
            "/orders" => self.obey(exchange, &body).await,
            _ => {
                respond_json(exchange, StatusCode::NOT_FOUND, &json!({"error": "no such path"}))
                    .await
            }
        };
        self.publish();
        result
    }
}

impl EngineHandler {
    /// Runs a completion.
    async fn complete(
        &self,
        exchange: &mut ServerExchange<'_>,
        body: &[u8],
        chat: bool,
    ) -> Result<(), HttpFault> {
        let request: CompletionRequest = match serde_json::from_slice(body) {
            Ok(request) => request,
            Err(error) => {
                let answer = json!({"error": {"message": error.to_string()}});
                return respond_json(exchange, StatusCode::BAD_REQUEST, &answer).await;
            }
        };
        let prompt = prompt_of(&request, chat);
        let tokens = request.max_tokens.unwrap_or(DEFAULT_TOKENS);
        if tokens == 0 {
            let answer = json!({"error": {"message": "max_tokens must be at least 1"}});
            return respond_json(exchange, StatusCode::BAD_REQUEST, &answer).await;
        }
        let request_id = exchange.header("x-request-id").unwrap_or("none").to_owned();
        let form = AnswerForm { chat, id: format!("cmpl-{request_id}"), model: request.model };
        let receiver = self.core.admit(&prompt, tokens);
        self.publish();
        if request.stream {
            stream_answer(exchange, receiver, &form, tokens).await
        } else {
            whole_answer(exchange, receiver, &form, &prompt, tokens).await
        }
    }

    /// Carries out an order, unless its fencing number is old and this engine checks it.
    async fn obey(&self, exchange: &mut ServerExchange<'_>, body: &[u8]) -> Result<(), HttpFault> {
        let Ok(order) = serde_json::from_slice::<EngineOrder>(body) else {
            let answer = json!({"error": "malformed order"});
            return respond_json(exchange, StatusCode::BAD_REQUEST, &answer).await;
        };
        if self.shared.settings.checks_fencing && order.fence < self.fence.get() {
            let answer = json!({"error": "old fencing number", "fence": self.fence.get()});
            return respond_json(exchange, StatusCode::CONFLICT, &answer).await;
        }
        self.fence.set(self.fence.get().max(order.fence));
        {
            let mut models = self.models.borrow_mut();
            models.retain(|model| *model != order.model);
            if order.order == "load" {
                models.push(order.model);
            }
        }
        respond_json(exchange, StatusCode::OK, &json!({"fence": self.fence.get()})).await
    }

    /// Returns the load as it was some time ago.
    fn lagged_load(&self) -> Value {
        let stale = self.shared.stale_load.load(Ordering::Relaxed);
        let (running, waiting) = self.core.load();
        let mut reports = self.reports.borrow_mut();
        if !stale || reports.is_empty() {
            reports.push_back((Instant::now(), running, waiting));
        }
        let lag = self.shared.settings.load_lag;
        while reports.len() > 1 && reports[1].0.elapsed() >= lag {
            reports.pop_front();
        }
        let (_, running, waiting) = reports[0];
        json!({"running": running, "waiting": waiting})
    }

    /// Shows the work counts to other threads.
    fn publish(&self) {
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

/// The form of one answer.
#[derive(Debug)]
struct AnswerForm {
    chat: bool,
    id: String,
    model: String,
}

impl AnswerForm {
    /// Returns one event of a streamed answer.
    fn event(&self, word: &str, finish: Option<&str>) -> Bytes {
        let Self { chat, id, model } = self;
        let finish = finish.map_or("null".to_owned(), |reason| format!("\"{reason}\""));
        // The words are hexadecimal, so nothing needs an escape.
        let (object, content) = if *chat {
            ("chat.completion.chunk", format!("\"delta\":{{\"content\":\" {word}\"}}"))
        } else {
            ("text_completion", format!("\"text\":\" {word}\""))
        };
        Bytes::from(format!(
            "data: {{\"id\":\"{id}\",\"object\":\"{object}\",\"model\":\"{model}\",\
             \"choices\":[{{\"index\":0,{content},\"finish_reason\":{finish}}}]}}\n\n"
        ))
    }
}

/// Returns the text that a request continues.
fn prompt_of(request: &CompletionRequest, chat: bool) -> String {
    if !chat {
        return request.prompt.clone().unwrap_or_default();
    }
    let contents: Vec<&str> = request.messages.iter().map(|message| &*message.content).collect();
    contents.join(" ")
}

/// Sends an answer token by token.
async fn stream_answer(
    exchange: &mut ServerExchange<'_>,
    mut receiver: UnboundedReceiver<String>,
    form: &AnswerForm,
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
        exchange.send_piece(&form.event(&word, finish)).await?;
    }
    exchange.send_piece(&Bytes::from_static(b"data: [DONE]\n\n")).await?;
    exchange.finish_stream().await
}

/// Sends an answer in one piece.
async fn whole_answer(
    exchange: &mut ServerExchange<'_>,
    mut receiver: UnboundedReceiver<String>,
    form: &AnswerForm,
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
    let choice = if form.chat {
        let message = json!({"role": "assistant", "content": text});
        json!({"index": 0, "message": message, "finish_reason": "length"})
    } else {
        json!({"index": 0, "text": text, "finish_reason": "length"})
    };
    let prompt_tokens = prompt.split_whitespace().count();
    let answer = json!({
        "id": form.id,
        "object": if form.chat { "chat.completion" } else { "text_completion" },
        "model": form.model,
        "choices": [choice],
        "usage": {
            "prompt_tokens": prompt_tokens,
            "completion_tokens": tokens,
            "total_tokens": prompt_tokens + tokens,
        },
    });
    respond_json(exchange, StatusCode::OK, &answer).await
}
