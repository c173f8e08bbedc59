//! A complete deployment on threads of one process.

mod admin_client;
mod deployment_spec;
mod server_threads;
mod small_deployment;

pub use self::admin_client::AdminClient;
pub use self::deployment_spec::DeploymentSpec;
pub use self::deployment_spec::ModelSpec;
pub use self::deployment_spec::PlainSpec;
pub use self::server_threads::EntryThread;
pub use self::server_threads::SidecarThread;
pub use self::server_threads::StandinThread;
pub use self::server_threads::ThreadFaults;
pub use self::server_threads::start_entry;
pub use self::server_threads::start_sidecar;
pub use self::server_threads::start_standin;
pub use self::small_deployment::SmallDeployment;
pub use self::small_deployment::TargetHandle;
