//! Transport of typed remote calls over TCP.

use std::fmt;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use cv_http::ClientBudget;
use cv_http::ClientKind;
use cv_http::ClientStage;
use cv_http::ConnectionShare;
use cv_http::TurnBudget;
use futures::StreamExt;
use monoio::net::TcpListener;
use monoio::net::TcpStream;
use monoio::time::sleep;
use monoio::time::timeout;
use monoio_compat::TcpStreamCompat;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tarpc::context::Context;
use tarpc::serde_transport::Transport;
use tarpc::server::BaseChannel;
use tarpc::server::Channel;
use tarpc::server::Serve;
use tarpc::tokio_serde::formats::Bincode;
use tokio_util::codec::LengthDelimitedCodec;

/// Maximum size of one message, in bytes.
const MAX_MESSAGE_BYTES: usize = 8 * 1024 * 1024;

/// Connections accepted before other tasks and timers get a turn.
const CONNECTIONS_PER_TURN: u32 = 64;

/// Time after which accepting is tried again when descriptors have run out.
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// A connection that carries length-delimited, bincode-encoded calls and responses.
pub type ControlTransport<Item, SinkItem> =
    Transport<TcpStreamCompat, Item, SinkItem, Bincode<Item, SinkItem>>;

/// Why a call failed without a response; only `Unreachable` rules out that the peer executed it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ControlFault {
    /// No connection could be made, so the call was never sent.
    Unreachable,
    /// The connection closed or the deadline passed before the response arrived.
    NoResponse(String),
}

impl fmt::Display for ControlFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable => formatter.write_str("peer unreachable"),
            Self::NoResponse(detail) => write!(formatter, "no response from peer: {detail}"),
        }
    }
}

impl std::error::Error for ControlFault {}

/// Connects to a peer's control address.
///
/// # Errors
/// `Unreachable` if the peer refuses the connection or does not accept it within `connect_timeout`.
pub async fn open_transport<Item, SinkItem>(
    address: SocketAddr,
    connect_timeout: Duration,
) -> Result<ControlTransport<Item, SinkItem>, ControlFault>
where
    Item: DeserializeOwned,
    SinkItem: Serialize,
{
    match timeout(connect_timeout, TcpStream::connect_addr(address)).await {
        Ok(Ok(stream)) => Ok(frame_stream(stream)),
        _ => Err(ControlFault::Unreachable),
    }
}

/// Returns the context of a call whose deadline is `timeout` from now.
#[must_use]
pub fn call_context(timeout: Duration) -> Context {
    let mut context = tarpc::context::current();
    context.deadline = Instant::now() + timeout;
    context
}

/// Accepts connections, which use a process's budget, and serves their calls until `shutdown` resolves.
pub async fn accept_calls<S, E>(
    listener: TcpListener,
    service: S,
    budget: Rc<ClientBudget>,
    shutdown: E,
) where
    S: Serve + Clone + 'static,
    S::Req: DeserializeOwned + tarpc::RequestName + 'static,
    S::Resp: Serialize + 'static,
    E: Future<Output = ()>,
{
    let mut shutdown = std::pin::pin!(shutdown);
    let mut turns = TurnBudget::with_steps(CONNECTIONS_PER_TURN);
    loop {
        // Connections that are dropped for new ones have to close before descriptors run out.
        turns.take_step().await;
        monoio::select! {
            () = &mut shutdown => return,
            accepted = turns.track(listener.accept()) => match accepted {
                Ok((stream, _)) => if let Some(share) = budget.admit(ClientKind::Internal) {
                    monoio::spawn(serve_connection(stream, service.clone(), share));
                },
                Err(error) => {
                    log::warn!("cannot accept a control connection, retrying: {error}");
                    sleep(RETRY_DELAY).await;
                }
            }
        }
    }
}

/// Serves the calls of one connection concurrently, until it is dropped for others.
async fn serve_connection<S>(stream: TcpStream, service: S, share: Rc<ConnectionShare>)
where
    S: Serve + Clone + 'static,
    S::Req: DeserializeOwned + tarpc::RequestName + 'static,
    S::Resp: Serialize + 'static,
{
    let channel = BaseChannel::with_defaults(frame_stream(stream));
    let mut responses = std::pin::pin!(channel.execute(service));
    loop {
        monoio::select! {
            biased;
            () = share.dropped() => return,
            response = responses.next() => {
                let Some(response) = response else { return };
                // Peers keep their connections, so one that has carried a call is closed last.
                share.set_stage(ClientStage::Running);
                share.set_stage(ClientStage::Idle);
                monoio::spawn(response);
            }
        }
    }
}

/// Wraps a TCP stream in a length-delimited bincode transport.
fn frame_stream<Item, SinkItem>(stream: TcpStream) -> ControlTransport<Item, SinkItem>
where
    Item: DeserializeOwned,
    SinkItem: Serialize,
{
    // With Nagle's algorithm, a small call waits for the acknowledgement of the previous one.
    let _ = stream.set_nodelay(true);
    let codec = LengthDelimitedCodec::builder()
        .max_frame_length(MAX_MESSAGE_BYTES)
        .new_framed(TcpStreamCompat::new(stream));
    tarpc::serde_transport::new(codec, Bincode::default())
}
