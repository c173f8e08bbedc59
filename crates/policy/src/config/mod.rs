//! The operators' configuration: its shape, its rules in effect, and its order.

mod config_register;
mod fleet_config;
mod service_rules;

pub use self::config_register::ConfigDocument;
pub use self::config_register::ConfigRegister;
pub use self::fleet_config::ConfigException;
pub use self::fleet_config::FleetConfig;
pub use self::fleet_config::FleetDefaults;
pub use self::fleet_config::OrganisationPolicy;
pub use self::fleet_config::ServiceKind;
pub use self::fleet_config::ServicePolicy;
pub use self::service_rules::ServiceRules;
