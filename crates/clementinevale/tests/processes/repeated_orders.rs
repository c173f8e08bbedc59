//! A target that sends its response to an order once more on the same connection.

use std::path::Path;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use cv_control::CallMetadata;
use cv_control::OrderResponse;
use cv_control::SidecarClientPool;
use cv_control::TargetOrder;
use cv_control::call_context;
use cv_runtime::block_on_with_tarpc;
use cv_standin::RawRequest;
use cv_standin::RawResponse;
use cv_standin::RawServer;
use cv_tests::ServerProcess;
use tempfile::TempDir;

use crate::BINARY;

/// Longest wait for the response to an order.
const ORDER_TIMEOUT: Duration = Duration::from_secs(5);

/// The response to an order that has been executed.
const EXECUTED: &str = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

/// The response to an order that has not, because of its epoch.
const FENCED: &str = "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n";

// Guards against a sidecar that takes the repeated response to one order for that to the next, which
// the target has not executed.
#[test]
fn a_repeated_response_to_an_order_is_not_taken_for_the_next_ones() {
    let orders = AtomicU32::new(0);
    let target = RawServer::start(
        "127.0.0.1:0".parse().expect("an address"),
        move |request: &RawRequest| {
            let is_order = request.request_line.contains(" /orders ");
            let earlier = if is_order { orders.fetch_add(1, Ordering::Relaxed) } else { 0 };
            let bytes = match (earlier, request.position) {
                (0, _) => EXECUTED.to_owned(),
                (_, 0) => FENCED.to_owned(),
                (_, _) => format!("{EXECUTED}{FENCED}"),
            };
            RawResponse { bytes: bytes.into_bytes(), ..RawResponse::default() }
        },
    );
    let target = target.expect("the target listens");
    let folder = TempDir::new().expect("a temporary folder can be created");
    let settings = folder.path().join("target.yaml");
    let text = format!(
        "role: sidecar\nname: target\nzone: fraser-a\nlisten: 127.0.0.1:0\n\
         control_listen: 127.0.0.1:0\nsecret: test\nsidecar:\n  service: assist-llm\n  kind: model\n  \
         target: {}\n",
        target.address(),
    );
    std::fs::write(&settings, text).expect("the settings file can be written");
    let sidecar = ServerProcess::start(Path::new(BINARY), &settings);
    let responses = block_on_with_tarpc(async {
        let pool = SidecarClientPool::default();
        let client = pool.client(sidecar.control).await.expect("the sidecar listens");
        let mut responses = Vec::new();
        for order in ["load", "unload"] {
            let metadata = CallMetadata { secret: "test".to_owned(), ..CallMetadata::default() };
            let order =
                TargetOrder { epoch: 1, model: "adapter".to_owned(), order: order.to_owned() };
            let response = client.order(call_context(ORDER_TIMEOUT), metadata, order).await;
            responses.push(response.expect("the sidecar responds"));
        }
        responses
    });
    let responses = responses.expect("the runtime starts");
    assert_eq!(responses, [OrderResponse::Done, OrderResponse::Fenced(1)]);
}
