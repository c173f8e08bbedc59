//! The administration API.

mod admin_api;

pub(crate) use self::admin_api::handle_admin;
