//! What comes from outside: bytes on connections, settings, records on disks, event files.

mod http_input;
mod journal_damage;
mod settings_findings;
mod time_line;
