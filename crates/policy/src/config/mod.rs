//! The fleet configuration: its schema, the policy in effect for a request, and its revisions.

mod active_config;
mod fleet_config;
mod request_policy;

pub use self::active_config::ActiveConfig;
pub use self::active_config::ConfigDocument;
pub use self::fleet_config::ConfigException;
pub use self::fleet_config::FleetConfig;
pub use self::fleet_config::FleetDefaults;
pub use self::fleet_config::OrganisationPolicy;
pub use self::fleet_config::ServiceKind;
pub use self::fleet_config::ServicePolicy;
pub use self::request_policy::RequestPolicy;
