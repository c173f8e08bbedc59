//! Remote calls over TCP.

use std::fmt;
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use futures::StreamExt;
use monoio::net::TcpListener;
use monoio::net::TcpStream;
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

/// Largest message, in bytes.
const MESSAGE_BYTES: usize = 8 * 1024 * 1024;

/// A framed connection that carries calls.
pub type ControlTransport<Item, SinkItem> =
    Transport<TcpStreamCompat, Item, SinkItem, Bincode<Item, SinkItem>>;

/// Why a call got no answer; the peer may have carried it out all the same, unless it says not.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ControlFault {
    /// No connection could be made, so the call was never sent.
    Unreachable,
    /// The connection ended or the deadline passed before the answer came.
    NoResponse(String),
}

impl fmt::Display for ControlFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable => formatter.write_str("peer unreachable"),
            Self::NoResponse(detail) => write!(formatter, "no answer from peer: {detail}"),
        }
    }
}

impl std::error::Error for ControlFault {}

/// Connects to a peer for calls.
///
/// # Errors
/// `Unreachable` if the peer refuses or does not answer within `patience`.
pub async fn open_transport<Item, SinkItem>(
    address: SocketAddr,
    patience: Duration,
) -> Result<ControlTransport<Item, SinkItem>, ControlFault>
where
    Item: DeserializeOwned,
    SinkItem: Serialize,
{
    match timeout(patience, TcpStream::connect_addr(address)).await {
        Ok(Ok(stream)) => Ok(transport_over(stream)),
        _ => Err(ControlFault::Unreachable),
    }
}

/// Returns the context of a call that is given up after `patience`.
#[must_use]
pub fn call_context(patience: Duration) -> Context {
    let mut context = tarpc::context::current();
    context.deadline = Instant::now() + patience;
    context
}

/// Accepts connections and answers their calls until `end` resolves.
pub async fn accept_calls<S, E>(listener: TcpListener, service: S, end: E)
where
    S: Serve + Clone + 'static,
    S::Req: DeserializeOwned + tarpc::RequestName + 'static,
    S::Resp: Serialize + 'static,
    E: Future<Output = ()>,
{
    let mut end = std::pin::pin!(end);
    loop {
        monoio::select! {
            () = &mut end => return,
            accepted = listener.accept() => if let Ok((stream, _)) = accepted {
                monoio::spawn(answer_calls(stream, service.clone()));
            }
        }
    }
}

/// Answers the calls of one connection, several at a time.
async fn answer_calls<S>(stream: TcpStream, service: S)
where
    S: Serve + Clone + 'static,
    S::Req: DeserializeOwned + tarpc::RequestName + 'static,
    S::Resp: Serialize + 'static,
{
    let channel = BaseChannel::with_defaults(transport_over(stream));
    let mut responses = std::pin::pin!(channel.execute(service));
    while let Some(response) = responses.next().await {
        monoio::spawn(response);
    }
}

/// Frames a connection.
fn transport_over<Item, SinkItem>(stream: TcpStream) -> ControlTransport<Item, SinkItem>
where
    Item: DeserializeOwned,
    SinkItem: Serialize,
{
    // Without it, a small call waits for the acknowledgement of an earlier one.
    let _ = stream.set_nodelay(true);
    let codec = LengthDelimitedCodec::builder()
        .max_frame_length(MESSAGE_BYTES)
        .new_framed(TcpStreamCompat::new(stream));
    tarpc::serde_transport::new(codec, Bincode::default())
}
