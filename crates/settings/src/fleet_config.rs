//! Parses and checks the fleet's configuration.

use cv_policy::config::ConfigException;
use cv_policy::config::FleetConfig;
use cv_policy::config::FleetDefaults;
use cv_policy::config::OrganisationPolicy;
use cv_policy::config::ServiceKind;
use cv_policy::config::ServicePolicy;

use crate::DocumentReader;
use crate::FindingList;
use crate::SettingsDocument;

/// Maximum number of exceptions in a configuration. The list should stay short, because wider
/// changes belong in the defaults.
const MAX_EXCEPTIONS: usize = 200;

/// Maximum deadline of a request, in milliseconds.
const MAX_DEADLINE_MS: u64 = 3_600_000;

/// Length of a SHA-256 hash in hexadecimal digits.
const HASH_DIGITS: usize = 64;

/// Parses and checks a configuration in YAML or JSON; `file` is its name in findings.
///
/// # Errors
/// All findings in the document.
pub fn parse_fleet_config(file: &str, text: &str) -> Result<FleetConfig, FindingList> {
    let document = SettingsDocument::parse(file, text);
    let config = document.reader().map(read_fleet_config);
    document.finish(config)
}

/// Reads the top-level fields.
fn read_fleet_config(reader: DocumentReader<'_>) -> FleetConfig {
    let defaults = reader.section("defaults").map(read_defaults).unwrap_or_default();
    let services = read_services(&reader);
    let organisations = read_organisations(&reader);
    let exceptions = read_exceptions(&reader, &services);
    let operator_token_hashes = read_token_hashes(&reader, "operator_token_hashes");
    reader.finish();
    let mut config =
        FleetConfig { defaults, exceptions, operator_token_hashes, organisations, services };
    config.sort();
    config
}

/// Reads the defaults for all services and organisations.
fn read_defaults(reader: DocumentReader<'_>) -> FleetDefaults {
    let built_in = FleetDefaults::default();
    let defaults = FleetDefaults {
        deadline_ms: reader.number("deadline_ms", 1..=MAX_DEADLINE_MS, built_in.deadline_ms),
        item_attempts: reader.number("item_attempts", 1..=100, built_in.item_attempts.into())
            as u32,
        request_attempts: reader.number(
            "request_attempts",
            1..=10,
            built_in.request_attempts.into(),
        ) as u32,
        retention_hours: reader.number("retention_hours", 1..=8_760, built_in.retention_hours),
    };
    reader.finish();
    defaults
}

/// Reads the list of services, whose names must be unique.
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
        // Repeating a model request does no harm; for a plain service this is unknown.
        let repeatable = section.flag("repeatable", kind == ServiceKind::Model);
        let deadline_ms = optional_number(&section, "deadline_ms", MAX_DEADLINE_MS);
        section.finish();
        services.push(ServicePolicy { deadline_ms, kind, name, repeatable });
    }
    services
}

/// Reads the list of organisations, whose names must be unique.
fn read_organisations(reader: &DocumentReader<'_>) -> Vec<OrganisationPolicy> {
    let mut organisations: Vec<OrganisationPolicy> = Vec::new();
    for section in reader.sections("organisations") {
        let name = section.text("name").unwrap_or_default().to_owned();
        if organisations.iter().any(|organisation| organisation.name == name) {
            section.report("name", "this organisation is listed twice", "join the two entries");
        }
        let weight = section.number("weight", 1..=1_000, 1) as u32;
        let token_hashes = read_token_hashes(&section, "token_hashes");
        section.finish();
        organisations.push(OrganisationPolicy { name, token_hashes, weight });
    }
    organisations
}

/// Reads the list of exceptions.
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

/// Reads one exception, which must name a listed service, an organisation or both.
fn read_exception(section: DocumentReader<'_>, services: &[ServicePolicy]) -> ConfigException {
    let service = section.optional_text("service").map(str::to_owned);
    if let Some(name) = &service
        && !services.iter().any(|service| service.name == *name)
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

/// Reads a list of token hashes and converts them to lowercase.
fn read_token_hashes(reader: &DocumentReader<'_>, name: &'static str) -> Vec<String> {
    let hashes = reader.texts(name);
    let is_valid_hash = |text: &&str| {
        text.len() == HASH_DIGITS && text.bytes().all(|byte| byte.is_ascii_hexdigit())
    };
    if !hashes.iter().all(is_valid_hash) {
        let hint = "64 hexadecimal digits, as `cvctl token hash` prints them; never the token";
        reader.report(name, "a token hash is malformed", hint);
    }
    hashes.into_iter().map(str::to_ascii_lowercase).collect()
}

/// Reads an optional integer from 1 to `max`.
fn optional_number(reader: &DocumentReader<'_>, name: &'static str, max: u64) -> Option<u64> {
    reader.optional_text(name).map(|_| reader.number(name, 1..=max, 1))
}
