//! Reads YAML mappings field by field and collects findings for invalid ones.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;

use marked_yaml::LoadError;
use marked_yaml::LoaderOptions;
use marked_yaml::Marker;
use marked_yaml::Node;
use marked_yaml::Span;
use marked_yaml::types::MarkedMappingNode;
use marked_yaml::types::MarkedScalarNode;

use crate::Finding;
use crate::FindingList;

/// A parsed YAML document and the findings of its check so far.
#[derive(Debug)]
pub struct SettingsDocument {
    file: String,
    findings: RefCell<Vec<Finding>>,
    root: Option<Node>,
}

impl SettingsDocument {
    /// Parses a document; a syntax error becomes its only finding.
    #[must_use]
    pub fn parse(file: &str, text: &str) -> Self {
        let options = LoaderOptions::default().error_on_duplicate_keys(true);
        let document = Self { file: file.to_owned(), findings: RefCell::default(), root: None };
        match marked_yaml::parse_yaml_with_options(0, text, options) {
            Ok(root) => Self { root: Some(root), ..document },
            Err(error) => {
                let marker = error_marker(&error);
                let hint = "check the indentation and the quotes around this place";
                document.report_at(marker.as_ref(), error.to_string(), hint);
                document
            }
        }
    }

    /// Returns a reader for the top-level mapping, or reports that there is none.
    #[must_use]
    pub fn reader(&self) -> Option<DocumentReader<'_>> {
        let root = self.root.as_ref()?;
        self.mapping_reader(root, "the document")
    }

    /// Reports a finding at the start of a span.
    pub fn report(&self, span: &Span, message: impl Into<String>, hint: impl Into<String>) {
        self.report_at(span.start(), message, hint);
    }

    /// Returns the value if there are no findings.
    ///
    /// # Errors
    /// All findings, sorted by line and column.
    pub fn finish<T>(self, value: Option<T>) -> Result<T, FindingList> {
        let mut findings = self.findings.into_inner();
        findings.sort_by_key(|finding| (finding.line, finding.column));
        match value {
            Some(value) if findings.is_empty() => Ok(value),
            _ => Err(FindingList(findings)),
        }
    }

    /// Returns a reader for a mapping, or reports that the node is not a mapping.
    fn mapping_reader<'d>(&'d self, node: &'d Node, name: &str) -> Option<DocumentReader<'d>> {
        if let Some(mapping) = node.as_mapping() {
            Some(DocumentReader { document: self, known_fields: RefCell::default(), mapping })
        } else {
            self.report(
                node.span(),
                format!("{name} is not a mapping"),
                "write `field: value` lines",
            );
            None
        }
    }

    /// Reports a finding at a marker, or at line 1, column 1 without one.
    fn report_at(
        &self,
        marker: Option<&Marker>,
        message: impl Into<String>,
        hint: impl Into<String>,
    ) {
        self.findings.borrow_mut().push(Finding {
            column: marker.map_or(1, Marker::column),
            file: self.file.clone(),
            hint: hint.into(),
            line: marker.map_or(1, Marker::line),
            message: message.into(),
        });
    }
}

/// Reads the fields of one mapping and remembers their names, so that
/// [`finish`](Self::finish) can report unknown fields.
///
/// A field with an invalid value is reported; the method then returns `None`, the default or an
/// empty list, so that the check continues.
#[derive(Debug)]
pub struct DocumentReader<'d> {
    document: &'d SettingsDocument,
    known_fields: RefCell<Vec<&'static str>>,
    mapping: &'d MarkedMappingNode,
}

impl<'d> DocumentReader<'d> {
    /// Reads a required string that must not be empty.
    #[must_use]
    pub fn text(&self, name: &'static str) -> Option<&'d str> {
        let scalar = self.required_scalar(name)?;
        if scalar.as_str().is_empty() {
            self.document.report(scalar.span(), format!("`{name}` is empty"), "give it a value");
            return None;
        }
        Some(scalar.as_str())
    }

    /// Reads an optional string.
    #[must_use]
    pub fn optional_text(&self, name: &'static str) -> Option<&'d str> {
        self.scalar(name).map(MarkedScalarNode::as_str)
    }

    /// Reads a required IP address with a port.
    #[must_use]
    pub fn address(&self, name: &'static str) -> Option<SocketAddr> {
        let scalar = self.required_scalar(name)?;
        self.parse_address(scalar, name)
    }

    /// Reads an optional list of IP addresses with ports; empty if omitted.
    #[must_use]
    pub fn addresses(&self, name: &'static str) -> Vec<SocketAddr> {
        let scalars = self.scalars(name, "write a list with one `- address:port` per line");
        scalars.into_iter().filter_map(|scalar| self.parse_address(scalar, name)).collect()
    }

    /// Reads an integer within a range, or returns the default.
    #[must_use]
    pub fn number(&self, name: &'static str, range: RangeInclusive<u64>, default: u64) -> u64 {
        let Some(scalar) = self.scalar(name) else {
            return default;
        };
        self.parse_number(scalar, name, &range).unwrap_or(default)
    }

    /// Reads a required integer within a range.
    #[must_use]
    pub fn required_number(&self, name: &'static str, range: RangeInclusive<u64>) -> Option<u64> {
        self.parse_number(self.required_scalar(name)?, name, &range)
    }

    /// Reads a duration in seconds, possibly fractional, within a range, or returns the default.
    #[must_use]
    pub fn seconds(
        &self,
        name: &'static str,
        range: RangeInclusive<f64>,
        default: f64,
    ) -> Duration {
        let Some(scalar) = self.scalar(name) else {
            return Duration::from_secs_f64(default);
        };
        match scalar.as_str().parse::<f64>() {
            Ok(number) if range.contains(&number) => Duration::from_secs_f64(number),
            _ => {
                let message = format!("`{name}` is `{}`", scalar.as_str());
                let hint = format!("seconds from {} to {}", range.start(), range.end());
                self.document.report(scalar.span(), message, hint);
                Duration::from_secs_f64(default)
            }
        }
    }

    /// Reads a duration in whole milliseconds within a range, or returns the default.
    #[must_use]
    pub fn millis(&self, name: &'static str, range: RangeInclusive<u64>, default: u64) -> Duration {
        Duration::from_millis(self.number(name, range, default))
    }

    /// Reads `true` or `false`, or returns the default.
    #[must_use]
    pub fn flag(&self, name: &'static str, default: bool) -> bool {
        let Some(scalar) = self.scalar(name) else {
            return default;
        };
        scalar.as_bool().unwrap_or_else(|| {
            let message = format!("`{name}` is `{}`", scalar.as_str());
            self.document.report(scalar.span(), message, "write `true` or `false`");
            default
        })
    }

    /// Reads a required string that must be one of `words`.
    #[must_use]
    pub fn choice(&self, name: &'static str, words: &[&'static str]) -> Option<&'static str> {
        let scalar = self.required_scalar(name)?;
        let choice = words.iter().copied().find(|word| *word == scalar.as_str());
        if choice.is_none() {
            let message = format!("`{name}` is `{}`", scalar.as_str());
            self.document.report(scalar.span(), message, format!("one of: {}", words.join(", ")));
        }
        choice
    }

    /// Reads an optional list of strings; empty if omitted.
    #[must_use]
    pub fn texts(&self, name: &'static str) -> Vec<&'d str> {
        self.scalars(name, "write a list").into_iter().map(MarkedScalarNode::as_str).collect()
    }

    /// Reads an optional mapping.
    #[must_use]
    pub fn section(&self, name: &'static str) -> Option<DocumentReader<'d>> {
        let node = self.node(name)?;
        self.document.mapping_reader(node, name)
    }

    /// Reads a required mapping.
    #[must_use]
    pub fn required_section(&self, name: &'static str) -> Option<DocumentReader<'d>> {
        if self.node(name).is_none() {
            self.report_missing(name);
        }
        self.section(name)
    }

    /// Reads an optional list of mappings; empty if omitted.
    #[must_use]
    pub fn sections(&self, name: &'static str) -> Vec<DocumentReader<'d>> {
        let Some(node) = self.node(name) else {
            return Vec::new();
        };
        let Some(sequence) = node.as_sequence() else {
            self.document.report(node.span(), format!("`{name}` is not a list"), "write a list");
            return Vec::new();
        };
        sequence.iter().filter_map(|item| self.document.mapping_reader(item, name)).collect()
    }

    /// Reports a finding at a field, or at the mapping if the field is omitted.
    pub fn report(&self, name: &'static str, message: &str, hint: &str) {
        let span = self.node(name).map_or(self.mapping.span(), Node::span);
        self.document.report(span, message, hint);
    }

    /// Reports the fields that were not read as unknown.
    pub fn finish(self) {
        let known_fields = self.known_fields.into_inner();
        for key in self.mapping.keys() {
            if known_fields.contains(&key.as_str()) {
                continue;
            }
            let message = format!("unknown field `{}`", key.as_str());
            let hint = match closest_name(key.as_str(), &known_fields) {
                Some(name) => format!("did you mean `{name}`?"),
                None => format!("known here: {}", known_fields.join(", ")),
            };
            self.document.report(key.span(), message, hint);
        }
    }

    /// Returns a field's value and records its name as known.
    fn node(&self, name: &'static str) -> Option<&'d Node> {
        let mut known_fields = self.known_fields.borrow_mut();
        if !known_fields.contains(&name) {
            known_fields.push(name);
        }
        self.mapping.get_node(name)
    }

    /// Returns a field's scalar value, or reports that the value is not a scalar.
    fn scalar(&self, name: &'static str) -> Option<&'d MarkedScalarNode> {
        let node = self.node(name)?;
        let scalar = node.as_scalar();
        if scalar.is_none() {
            let message = format!("`{name}` is not a single value");
            self.document.report(node.span(), message, "write one value behind the colon");
        }
        scalar
    }

    /// Returns the scalars of an optional list and reports its other entries; `hint` says how to write
    /// the list.
    fn scalars(&self, name: &'static str, hint: &str) -> Vec<&'d MarkedScalarNode> {
        let Some(node) = self.node(name) else {
            return Vec::new();
        };
        let Some(sequence) = node.as_sequence() else {
            self.document.report(node.span(), format!("`{name}` is not a list"), hint);
            return Vec::new();
        };
        let scalars = sequence.iter().filter_map(|entry| {
            let scalar = entry.as_scalar();
            if scalar.is_none() {
                let message = format!("an entry of `{name}` is not a single value");
                self.document.report(entry.span(), message, "write one value behind the dash");
            }
            scalar
        });
        scalars.collect()
    }

    /// Returns a required field's scalar value, or reports that the field is missing.
    fn required_scalar(&self, name: &'static str) -> Option<&'d MarkedScalarNode> {
        if self.node(name).is_none() {
            self.report_missing(name);
        }
        self.scalar(name)
    }

    /// Reports that a required field is missing.
    fn report_missing(&self, name: &str) {
        let message = format!("`{name}` is missing");
        self.document.report(self.mapping.span(), message, format!("add `{name}: …`"));
    }

    /// Parses an integer within a range, or reports that it is invalid.
    fn parse_number(
        &self,
        scalar: &MarkedScalarNode,
        name: &str,
        range: &RangeInclusive<u64>,
    ) -> Option<u64> {
        let number = scalar.as_str().parse().ok().filter(|number| range.contains(number));
        if number.is_none() {
            let message = format!("`{name}` is `{}`", scalar.as_str());
            let hint = format!("a whole number from {} to {}", range.start(), range.end());
            self.document.report(scalar.span(), message, hint);
        }
        number
    }

    /// Parses an IP address with a port, or reports that it is invalid.
    fn parse_address(&self, scalar: &MarkedScalarNode, name: &str) -> Option<SocketAddr> {
        let address = scalar.as_str().parse().ok();
        if address.is_none() {
            let message = format!("`{name}` is `{}`", scalar.as_str());
            let hint = "an IP address and a port, such as 127.0.0.1:8080";
            self.document.report(scalar.span(), message, hint);
        }
        address
    }
}

/// Returns the position of a syntax error.
fn error_marker(error: &LoadError) -> Option<Marker> {
    match error {
        LoadError::TopLevelMustBeMapping(marker)
        | LoadError::TopLevelMustBeSequence(marker)
        | LoadError::UnexpectedAnchor(marker)
        | LoadError::MappingKeyMustBeScalar(marker)
        | LoadError::UnexpectedTag(marker)
        | LoadError::ScanError(marker, _) => Some(*marker),
        LoadError::DuplicateKey(inner) => inner.key.span().start().copied(),
    }
}

/// Returns the name with the smallest edit distance to an unknown one, to suggest it; `None` if
/// more than three edits are needed, or as many as the unknown name has bytes.
fn closest_name<'n>(unknown: &str, names: &[&'n str]) -> Option<&'n str> {
    let scored = names.iter().map(|name| (edit_distance(unknown, name), *name));
    let (distance, name) = scored.min()?;
    (distance <= 3 && distance < unknown.len()).then_some(name)
}

/// Returns the Levenshtein distance between two words, in characters.
fn edit_distance(left: &str, right: &str) -> usize {
    let right: Vec<char> = right.chars().collect();
    let mut previous: Vec<usize> = (0..=right.len()).collect();
    for (row, character) in left.chars().enumerate() {
        let mut current = vec![row + 1];
        for (column, other) in right.iter().enumerate() {
            let substitution = previous[column] + usize::from(character != *other);
            let deletion = previous[column + 1] + 1;
            let insertion = current[column] + 1;
            current.push(substitution.min(deletion).min(insertion));
        }
        previous = current;
    }
    previous[right.len()]
}
