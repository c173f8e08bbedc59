//! The administration API for operators.

mod admin_api;

pub(crate) use self::admin_api::handle_admin_request;
