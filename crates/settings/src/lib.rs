//! Parses and checks the processes' settings files and the fleet's configuration.
//!
//! A check covers the whole document and returns all findings at once, each with its file, line and
//! column and a hint for correcting the error.

mod document_reader;
mod finding;
mod fleet_config;
mod node_settings;
mod process_limits;
mod server_settings;

pub use crate::document_reader::DocumentReader;
pub use crate::document_reader::SettingsDocument;
pub use crate::finding::Finding;
pub use crate::finding::FindingList;
pub use crate::fleet_config::parse_fleet_config;
pub use crate::node_settings::NodeRole;
pub use crate::node_settings::NodeSettings;
pub use crate::node_settings::ZoneSettings;
pub use crate::process_limits::ProcessLimits;
pub use crate::server_settings::AdmissionSection;
pub use crate::server_settings::EntrySection;
pub use crate::server_settings::PlatformSection;
pub use crate::server_settings::RoleSection;
pub use crate::server_settings::ServerSettings;
pub use crate::server_settings::SidecarSection;
