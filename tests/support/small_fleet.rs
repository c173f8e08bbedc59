//! A small in-process deployment and single calls to it.

use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use cv_bench::deployment::DeploymentSpec;
use cv_bench::deployment::ModelSpec;
use cv_bench::deployment::PlainSpec;
use cv_bench::deployment::SmallDeployment;
use cv_bench::load::CallRecord;
use cv_bench::load::CompletionCall;
use cv_bench::load::ServiceCall;
use cv_http::ConnectionPool;
use cv_http::HttpLimits;
use cv_runtime::block_on_with_tarpc;
use cv_standin::EngineSettings;

/// Deadline of each call.
const DEADLINE: Duration = Duration::from_secs(10);

/// The specification of a small deployment and the calls that tests make to it.
#[derive(Clone, Copy, Debug)]
pub struct SmallFleet;

impl SmallFleet {
    /// Returns a deployment of two engines of a model and two instances of a plain service, each
    /// behind a fault proxy.
    #[must_use]
    pub fn proxied_spec() -> DeploymentSpec {
        let engine = EngineSettings::builder().step_base(Duration::from_millis(4)).build();
        let model = ModelSpec::builder().engine(engine).name("assist-llm").replicas(2).build();
        let plain = PlainSpec::builder().name("orders-app").replicas(2).build();
        DeploymentSpec::builder().models(vec![model]).plains(vec![plain]).proxied(true).build()
    }

    /// Returns a request for a completion of `tokens` tokens.
    #[must_use]
    pub fn completion_call(prompt: &str, tokens: usize) -> CompletionCall {
        CompletionCall {
            deadline: DEADLINE,
            model: "assist-llm".to_owned(),
            organisation: "members".to_owned(),
            prompt: prompt.to_owned(),
            tokens,
        }
    }

    /// Returns an order with an idempotency key.
    #[must_use]
    pub fn order_call(key: &str) -> ServiceCall {
        ServiceCall {
            body: "{\"netting\":40}".to_owned(),
            deadline: DEADLINE,
            key: key.to_owned(),
            path: "/services/orders-app/orders".to_owned(),
        }
    }

    /// Sends a completion request to the first entry.
    ///
    /// # Panics
    /// Panics if the runtime cannot start.
    #[must_use]
    pub fn send_completion(deployment: &SmallDeployment, call: CompletionCall) -> CallRecord {
        let address = deployment.entry_addresses()[0];
        call_once(address, move |pool, address| async move { call.run(&pool, address).await })
    }

    /// Sends an order to an entry.
    ///
    /// # Panics
    /// Panics if the runtime cannot start.
    #[must_use]
    pub fn send_order(address: SocketAddr, call: ServiceCall) -> CallRecord {
        call_once(address, move |pool, address| async move { call.run(&pool, address).await })
    }
}

/// Makes one call on a new runtime and with a new connection pool.
///
/// # Panics
/// Panics if the runtime cannot start.
pub fn call_once<C, F>(address: SocketAddr, call: C) -> CallRecord
where
    C: FnOnce(Rc<ConnectionPool>, SocketAddr) -> F,
    F: Future<Output = CallRecord>,
{
    let pool = Rc::new(ConnectionPool::new(HttpLimits::default()));
    block_on_with_tarpc(call(pool, address)).expect("the runtime starts")
}
