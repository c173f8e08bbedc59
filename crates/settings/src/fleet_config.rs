//! Checks a configuration document as a whole.

use cv_policy::config::ConfigException;
use cv_policy::config::FleetConfig;
use cv_policy::config::FleetDefaults;
use cv_policy::config::OrganisationPolicy;
use cv_policy::config::ServiceKind;
use cv_policy::config::ServicePolicy;

use crate::DocumentReader;
use crate::FindingList;
use crate::SettingsDocument;

/// Exceptions that a configuration may hold; the list is meant to be short.
const MAX_EXCEPTIONS: usize = 200;

/// Longest deadline, in milliseconds.
const MAX_DEADLINE_MS: u64 = 3_600_000;

/// Digits of a SHA-256 hash in hexadecimal.
const HASH_DIGITS: usize = 64;

/// Checks a configuration in YAML or JSON.
///
/// # Errors
/// All findings together.
pub fn parse_fleet_config(file: &str, text: &str) -> Result<FleetConfig, FindingList> {
    let document = SettingsDocument::parse(file, text);
    let config = document.reader().map(read_fleet);
    document.finish(config)
}

/// Reads the top level.
fn read_fleet(reader: DocumentReader<'_>) -> FleetConfig {
    let defaults = reader.section("defaults").map(read_defaults).unwrap_or_default();
    let services = read_services(&reader);
    let organisations = read_organisations(&reader);
    let exceptions = read_exceptions(&reader, &services);
    let operator_token_hashes = read_hashes(&reader, "operator_token_hashes");
    reader.finish();
    let mut config =
        FleetConfig { defaults, exceptions, operator_token_hashes, organisations, services };
    config.sort();
    config
}

/// Reads the defaults.
fn read_defaults(reader: DocumentReader<'_>) -> FleetDefaults {
    let known = FleetDefaults::default();
    let defaults = FleetDefaults {
        deadline_ms: reader.number("deadline_ms", 1..=MAX_DEADLINE_MS, known.deadline_ms),
        item_attempts: reader.number("item_attempts", 1..=100, known.item_attempts.into()) as u32,
        request_attempts: reader.number("request_attempts", 1..=10, known.request_attempts.into())
            as u32,
        retention_hours: reader.number("retention_hours", 1..=8_760, known.retention_hours),
    };
    reader.finish();
    defaults
}

/// Reads the services.
fn read_services(reader: &DocumentReader<'_>) -> Vec<ServicePolicy> {
    let mut services: Vec<ServicePolicy> = Vec::new();
    for section in reader.sections("services") {
        let name = section.text("name").unwrap_or_default().to_owned();
        if services.iter().any(|service| service.name == name) {
            section.report("name", "this service is listed twice", "join the two entries");
        }
        let kind = match section.choice("kind", &["model", "plain"]) {
            Some("model") => ServiceKind::Model,
            _ => ServiceKind::Plain,
        };
        // Models repeat without harm; of a plain service nothing is known.
        let repeatable = section.flag("repeatable", kind == ServiceKind::Model);
        let deadline_ms = optional_number(&section, "deadline_ms", MAX_DEADLINE_MS);
        section.finish();
        services.push(ServicePolicy { deadline_ms, kind, name, repeatable });
    }
    services
}

/// Reads the organisations.
fn read_organisations(reader: &DocumentReader<'_>) -> Vec<OrganisationPolicy> {
    let mut organisations: Vec<OrganisationPolicy> = Vec::new();
    for section in reader.sections("organisations") {
        let name = section.text("name").unwrap_or_default().to_owned();
        if organisations.iter().any(|row| row.name == name) {
            section.report("name", "this organisation is listed twice", "join the two entries");
        }
        let weight = section.number("weight", 1..=1_000, 1) as u32;
        let token_hashes = read_hashes(&section, "token_hashes");
        section.finish();
        organisations.push(OrganisationPolicy { name, token_hashes, weight });
    }
    organisations
}

/// Reads the exceptions.
fn read_exceptions(
    reader: &DocumentReader<'_>,
    services: &[ServicePolicy],
) -> Vec<ConfigException> {
    let sections = reader.sections("exceptions");
    if sections.len() > MAX_EXCEPTIONS {
        reader.report("exceptions", "too many exceptions", "change the defaults instead");
    }
    sections.into_iter().map(|section| read_exception(section, services)).collect()
}

/// Reads one exception.
fn read_exception(section: DocumentReader<'_>, services: &[ServicePolicy]) -> ConfigException {
    let service = section.optional_text("service").map(str::to_owned);
    if let Some(name) = &service
        && !services.iter().any(|known| known.name == *name)
    {
        section.report("service", "no such service", "name one of `services`");
    }
    let exception = ConfigException {
        author: section.text("author").unwrap_or_default().to_owned(),
        created_ms: section.number("created_ms", 0..=u64::MAX, 0),
        deadline_ms: optional_number(&section, "deadline_ms", MAX_DEADLINE_MS),
        organisation: section.optional_text("organisation").map(str::to_owned),
        reason: section.text("reason").unwrap_or_default().to_owned(),
        service,
        until_ms: optional_number(&section, "until_ms", u64::MAX),
        weight: optional_number(&section, "weight", 1_000).map(|weight| weight as u32),
    };
    if exception.organisation.is_none() && exception.service.is_none() {
        let hint = "name a `service` or an `organisation`, or change the defaults";
        section.report("reason", "the exception holds for everything", hint);
    }
    if exception.deadline_ms.is_none() && exception.weight.is_none() {
        section.report("reason", "the exception changes nothing", "set `deadline_ms` or `weight`");
    }
    section.finish();
    exception
}

/// Reads a list of token hashes.
fn read_hashes(reader: &DocumentReader<'_>, name: &'static str) -> Vec<String> {
    let hashes = reader.texts(name);
    let is_hash = |text: &&str| {
        text.len() == HASH_DIGITS && text.bytes().all(|byte| byte.is_ascii_hexdigit())
    };
    if !hashes.iter().all(is_hash) {
        let hint = "64 hexadecimal digits, as `cvctl token hash` prints them; never the token";
        reader.report(name, "a token hash is malformed", hint);
    }
    hashes.into_iter().map(str::to_ascii_lowercase).collect()
}

/// Reads a positive number that may be left out.
fn optional_number(reader: &DocumentReader<'_>, name: &'static str, most: u64) -> Option<u64> {
    reader.optional_text(name).map(|_| reader.number(name, 1..=most, 1))
}
