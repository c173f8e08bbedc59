//! Background tasks that keep instances, targets and configuration up to date.

mod config_watch;
mod instance_watch;
mod request_watch;
mod target_watch;

pub(crate) use self::config_watch::CONFIG_KEY;
pub(crate) use self::config_watch::watch_config;
pub(crate) use self::instance_watch::watch_instances;
pub(crate) use self::request_watch::wait_until_request_lost;
pub(crate) use self::target_watch::watch_targets;
