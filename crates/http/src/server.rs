//! The accept loop and the connections of a server.

use std::cell::Cell;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderValue;
use http::StatusCode;
use http::header::CONNECTION;
use http::header::CONTENT_TYPE;
use http::header::EXPECT;
use http::header::RETRY_AFTER;
use monoio::io::OwnedWriteHalf;
use monoio::io::Splitable;
use monoio::net::ListenerOpts;
use monoio::net::TcpListener;
use monoio::net::TcpStream;

use crate::BodyFraming;
use crate::ClientBudget;
use crate::ClientKind;
use crate::ClientStage;
use crate::DrainGate;
use crate::HttpFault;
use crate::HttpLimits;
use crate::HttpReader;
use crate::HttpWriter;
use crate::ServerExchange;
use crate::TurnBudget;
use crate::limits::KEEP_ALIVE_IDLE;
use crate::limits::KEEP_ALIVE_INTERVAL;
use crate::limits::KEEP_ALIVE_PROBES;

/// Maximum number of connections that wait to be accepted.
const BACKLOG: i32 = 4096;

/// Connections accepted before other tasks and timers get a turn.
const CONNECTIONS_PER_TURN: u32 = 64;

/// Seconds after which a client without memory for its request may try again.
const RETRY_AFTER_S: &str = "1";

/// Handles the requests of a server.
pub trait RequestHandler: 'static {
    /// Handles one request; an error closes its connection.
    fn handle(
        &self,
        exchange: &mut ServerExchange<'_>,
    ) -> impl Future<Output = Result<(), HttpFault>>;
}

/// Accepts connections and passes their requests to a handler.
pub struct HttpServer<H> {
    /// Number of connections accepted so far.
    accepted: Cell<u64>,
    /// The budget that the connections use, and as whose; `None` for no limit.
    budget: Option<(Rc<ClientBudget>, ClientKind)>,
    gate: DrainGate,
    handler: Rc<H>,
    limits: HttpLimits,
    listener: TcpListener,
}

impl<H: RequestHandler> HttpServer<H> {
    /// Creates a server on a bound listener.
    pub fn new(listener: TcpListener, handler: Rc<H>, gate: DrainGate, limits: HttpLimits) -> Self {
        Self { accepted: Cell::default(), budget: None, gate, handler, limits, listener }
    }

    /// Lets the connections use a process's budget.
    #[must_use]
    pub fn with_budget(mut self, budget: &Rc<ClientBudget>, kind: ClientKind) -> Self {
        self.budget = Some((Rc::clone(budget), kind));
        self
    }

    /// Accepts connections until the gate starts to drain; running exchanges continue after that.
    pub async fn run(self) {
        let mut turns = TurnBudget::with_steps(CONNECTIONS_PER_TURN);
        loop {
            turns.take_step().await;
            monoio::select! {
                () = self.gate.drain_started() => return,
                accepted = turns.track(self.listener.accept()) => match accepted {
                    Ok((stream, _)) => self.spawn_connection(stream),
                    Err(error) => {
                        log::warn!("cannot accept a connection, retrying: {error}");
                        // File descriptors may have run out; the delay lets some connections close.
                        monoio::time::sleep(std::time::Duration::from_millis(20)).await;
                    }
                }
            }
        }
    }

    /// Serves one connection in a task of its own.
    fn spawn_connection(&self, stream: TcpStream) {
        let share = match &self.budget {
            Some((budget, kind)) => match budget.admit(*kind) {
                Some(share) => Some(share),
                // Closes the connection.
                None => return,
            },
            None => None,
        };
        let handler = Rc::clone(&self.handler);
        let gate = self.gate.clone();
        let limits = self.limits;
        let number = self.accepted.get() + 1;
        self.accepted.set(number);
        monoio::spawn(async move {
            // Nagle's algorithm would hold small token messages back until earlier ones are
            // acknowledged.
            let _ = stream.set_nodelay(true);
            // Without probes, the request of a caller whose machine lost power would wait forever.
            let _ = stream.set_tcp_keepalive(
                Some(KEEP_ALIVE_IDLE),
                Some(KEEP_ALIVE_INTERVAL),
                Some(KEEP_ALIVE_PROBES),
            );
            let (read_half, write_half) = stream.into_split();
            let mut reader = HttpReader::new(read_half, limits).with_share(share.clone());
            let mut writer = HttpWriter::new(write_half, limits.write_timeout);
            writer = writer.with_share(share);
            while serve_next(&*handler, &gate, number, &mut reader, &mut writer).await {}
            writer.shutdown().await;
        });
    }
}

/// Binds a listener with address reuse.
///
/// # Errors
/// Fails if the address is in use or does not belong to this machine.
pub fn bind_listener(address: SocketAddr) -> io::Result<TcpListener> {
    let options = ListenerOpts::new().reuse_port(false).reuse_addr(true).backlog(BACKLOG);
    TcpListener::bind_with_config(address, &options)
}

/// Describes a server's bound addresses, including ports that the system has chosen.
#[must_use]
pub fn describe_listeners(data: &TcpListener, control: &TcpListener) -> String {
    let text = |listener: &TcpListener| {
        listener.local_addr().map_or("unknown".to_owned(), |address| address.to_string())
    };
    format!("listening data={} control={}", text(data), text(control))
}

/// Serves the next request of a connection; returns whether another may follow.
async fn serve_next<H: RequestHandler>(
    handler: &H,
    gate: &DrainGate,
    connection_number: u64,
    reader: &mut HttpReader<monoio::io::OwnedReadHalf<TcpStream>>,
    writer: &mut HttpWriter<OwnedWriteHalf<TcpStream>>,
) -> bool {
    reader.set_stage(ClientStage::Idle);
    // A request that has arrived is served even while draining, so its arrival is checked first.
    let arrived = monoio::select! {
        biased;
        result = reader.wait_for_message() => result.is_ok(),
        () = gate.drain_started() => false,
    };
    if !arrived {
        return false;
    }
    let _guard = gate.track_exchange();
    reader.set_stage(ClientStage::Head);
    let head = match reader.read_request_head().await {
        Ok(head) => head,
        Err(fault) => return send_error(writer, &fault).await,
    };
    let framing = match check_request(&head.headers) {
        Ok(framing) => framing,
        Err(fault) => return send_error(writer, &fault).await,
    };
    reader.set_stage(ClientStage::Running);
    let mut exchange = ServerExchange::new(head, framing, connection_number, reader, writer);
    if gate.is_closing() {
        exchange.close_afterwards();
    }
    let result = handler.handle(&mut exchange).await;
    let has_responded = exchange.has_responded();
    let reusable = exchange.is_reusable();
    match result {
        Ok(()) => reusable && !gate.is_closing(),
        Err(fault) if !has_responded => send_error(writer, &fault).await,
        Err(_) => false,
    }
}

/// Checks the headers that the decoder does not and determines the body's framing.
fn check_request(headers: &HeaderMap) -> Result<BodyFraming, HttpFault> {
    if let Some(expectation) = headers.get(EXPECT)
        && !expectation.as_bytes().eq_ignore_ascii_case(b"100-continue")
    {
        return Err(HttpFault::ExpectationFailed);
    }
    BodyFraming::of_request(headers)
}

/// Sends an error response if the fault allows one; returns `false`, as the connection must close.
async fn send_error(writer: &mut HttpWriter<OwnedWriteHalf<TcpStream>>, fault: &HttpFault) -> bool {
    if let Some(status) = fault.status() {
        let mut headers = HeaderMap::new();
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if status == StatusCode::SERVICE_UNAVAILABLE {
            headers.insert(RETRY_AFTER, HeaderValue::from_static(RETRY_AFTER_S));
        }
        let body = format!(
            "{{\"error\":{{\"message\":\"{fault}\",\"reason\":\"{}\",\"run\":\"not_run\"}}}}",
            fault.reason()
        );
        let _ = writer.write_response(status, &headers, &Bytes::from(body), false).await;
    }
    false
}
