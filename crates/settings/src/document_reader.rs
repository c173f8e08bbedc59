//! Reads YAML mappings field by field and collects findings.

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

/// A document being checked.
#[derive(Debug)]
pub struct SettingsDocument {
    file: String,
    findings: RefCell<Vec<Finding>>,
    root: Option<Node>,
}

impl SettingsDocument {
    /// Parses a document; a fault of syntax becomes its only finding.
    #[must_use]
    pub fn parse(file: &str, text: &str) -> Self {
        let options = LoaderOptions::default().error_on_duplicate_keys(true);
        let document = Self { file: file.to_owned(), findings: RefCell::default(), root: None };
        match marked_yaml::parse_yaml_with_options(0, text, options) {
            Ok(root) => Self { root: Some(root), ..document },
            Err(error) => {
                let marker = marker_of(&error);
                let hint = "check the indentation and the quotes around this place";
                document.report_at(marker.as_ref(), error.to_string(), hint);
                document
            }
        }
    }

    /// Returns a reader of the document's top-level mapping.
    #[must_use]
    pub fn reader(&self) -> Option<DocumentReader<'_>> {
        let root = self.root.as_ref()?;
        self.reader_of(root, "the document")
    }

    /// Reports a finding at a place.
    pub fn report(&self, span: &Span, message: impl Into<String>, hint: impl Into<String>) {
        self.report_at(span.start(), message, hint);
    }

    /// Returns the value if nothing was found, or else all findings in order of place.
    ///
    /// # Errors
    /// All findings together.
    pub fn finish<T>(self, value: Option<T>) -> Result<T, FindingList> {
        let mut findings = self.findings.into_inner();
        findings.sort_by_key(|finding| (finding.line, finding.column));
        match value {
            Some(value) if findings.is_empty() => Ok(value),
            _ => Err(FindingList(findings)),
        }
    }

    /// Returns a reader of a mapping, or reports that the node is none.
    fn reader_of<'d>(&'d self, node: &'d Node, name: &str) -> Option<DocumentReader<'d>> {
        if let Some(mapping) = node.as_mapping() {
            Some(DocumentReader { document: self, known: RefCell::default(), mapping })
        } else {
            self.report(
                node.span(),
                format!("{name} is not a mapping"),
                "write `field: value` lines",
            );
            None
        }
    }

    /// Reports a finding at a marker, or at the start where there is none.
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

/// Reads the fields of one mapping.
#[derive(Debug)]
pub struct DocumentReader<'d> {
    document: &'d SettingsDocument,
    known: RefCell<Vec<&'static str>>,
    mapping: &'d MarkedMappingNode,
}

impl<'d> DocumentReader<'d> {
    /// Reads a text that has to be there and not empty.
    #[must_use]
    pub fn text(&self, name: &'static str) -> Option<&'d str> {
        let scalar = self.required_scalar(name)?;
        if scalar.as_str().is_empty() {
            self.document.report(scalar.span(), format!("`{name}` is empty"), "give it a value");
            return None;
        }
        Some(scalar.as_str())
    }

    /// Reads a text that may be left out.
    #[must_use]
    pub fn optional_text(&self, name: &'static str) -> Option<&'d str> {
        self.scalar(name).map(MarkedScalarNode::as_str)
    }

    /// Reads an IP address with a port.
    #[must_use]
    pub fn address(&self, name: &'static str) -> Option<SocketAddr> {
        let scalar = self.required_scalar(name)?;
        self.parse_address(scalar, name)
    }

    /// Reads a list of IP addresses with ports; empty if it is left out.
    #[must_use]
    pub fn addresses(&self, name: &'static str) -> Vec<SocketAddr> {
        let Some(node) = self.node(name) else {
            return Vec::new();
        };
        let Some(sequence) = node.as_sequence() else {
            let hint = "write a list, one `- address:port` a line";
            self.document.report(node.span(), format!("`{name}` is not a list"), hint);
            return Vec::new();
        };
        let scalars = sequence.iter().filter_map(Node::as_scalar);
        scalars.filter_map(|scalar| self.parse_address(scalar, name)).collect()
    }

    /// Reads a whole number within a range, or takes the default.
    #[must_use]
    pub fn number(&self, name: &'static str, range: RangeInclusive<u64>, default: u64) -> u64 {
        let Some(scalar) = self.scalar(name) else {
            return default;
        };
        match scalar.as_str().parse::<u64>() {
            Ok(number) if range.contains(&number) => number,
            _ => {
                let message = format!("`{name}` is `{}`", scalar.as_str());
                let hint = format!("a whole number from {} to {}", range.start(), range.end());
                self.document.report(scalar.span(), message, hint);
                default
            }
        }
    }

    /// Reads a time in seconds, which may have a fraction, within a range, or takes the default.
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

    /// Reads a time in milliseconds within a range, or takes the default.
    #[must_use]
    pub fn millis(&self, name: &'static str, range: RangeInclusive<u64>, default: u64) -> Duration {
        Duration::from_millis(self.number(name, range, default))
    }

    /// Reads `true` or `false`, or takes the default.
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

    /// Reads one of several words that has to be there.
    #[must_use]
    pub fn choice(&self, name: &'static str, words: &[&'static str]) -> Option<&'static str> {
        let scalar = self.required_scalar(name)?;
        let found = words.iter().copied().find(|word| *word == scalar.as_str());
        if found.is_none() {
            let message = format!("`{name}` is `{}`", scalar.as_str());
            self.document.report(scalar.span(), message, format!("one of: {}", words.join(", ")));
        }
        found
    }

    /// Reads a list of texts; empty if it is left out.
    #[must_use]
    pub fn texts(&self, name: &'static str) -> Vec<&'d str> {
        let Some(node) = self.node(name) else {
            return Vec::new();
        };
        let Some(sequence) = node.as_sequence() else {
            self.document.report(node.span(), format!("`{name}` is not a list"), "write a list");
            return Vec::new();
        };
        sequence.iter().filter_map(Node::as_scalar).map(MarkedScalarNode::as_str).collect()
    }

    /// Reads a mapping that may be left out.
    #[must_use]
    pub fn section(&self, name: &'static str) -> Option<DocumentReader<'d>> {
        let node = self.node(name)?;
        self.document.reader_of(node, name)
    }

    /// Reads a mapping that has to be there.
    #[must_use]
    pub fn required_section(&self, name: &'static str) -> Option<DocumentReader<'d>> {
        if self.node(name).is_none() {
            self.report_missing(name);
        }
        self.section(name)
    }

    /// Reads a list of mappings; empty if it is left out.
    #[must_use]
    pub fn sections(&self, name: &'static str) -> Vec<DocumentReader<'d>> {
        let Some(node) = self.node(name) else {
            return Vec::new();
        };
        let Some(sequence) = node.as_sequence() else {
            self.document.report(node.span(), format!("`{name}` is not a list"), "write a list");
            return Vec::new();
        };
        sequence.iter().filter_map(|item| self.document.reader_of(item, name)).collect()
    }

    /// Reports a finding about a field, or about the mapping where the field is left out.
    pub fn report(&self, name: &'static str, message: &str, hint: &str) {
        let span = self.node(name).map_or(self.mapping.span(), Node::span);
        self.document.report(span, message, hint);
    }

    /// Reports the fields that nobody has read.
    pub fn finish(self) {
        let known = self.known.into_inner();
        for key in self.mapping.keys() {
            if known.contains(&key.as_str()) {
                continue;
            }
            let message = format!("unknown field `{}`", key.as_str());
            let hint = match closest(key.as_str(), &known) {
                Some(name) => format!("did you mean `{name}`?"),
                None => format!("known here: {}", known.join(", ")),
            };
            self.document.report(key.span(), message, hint);
        }
    }

    /// Finds a field and notes that its name is known.
    fn node(&self, name: &'static str) -> Option<&'d Node> {
        let mut known = self.known.borrow_mut();
        if !known.contains(&name) {
            known.push(name);
        }
        self.mapping.get_node(name)
    }

    /// Finds a scalar field, or reports that the field is something else.
    fn scalar(&self, name: &'static str) -> Option<&'d MarkedScalarNode> {
        let node = self.node(name)?;
        let scalar = node.as_scalar();
        if scalar.is_none() {
            let message = format!("`{name}` is not a single value");
            self.document.report(node.span(), message, "write one value behind the colon");
        }
        scalar
    }

    /// Finds a scalar field, or reports that it is missing.
    fn required_scalar(&self, name: &'static str) -> Option<&'d MarkedScalarNode> {
        if self.node(name).is_none() {
            self.report_missing(name);
        }
        self.scalar(name)
    }

    /// Reports a field that has to be there.
    fn report_missing(&self, name: &str) {
        let message = format!("`{name}` is missing");
        self.document.report(self.mapping.span(), message, format!("add `{name}: …`"));
    }

    /// Parses an address or reports it.
    fn parse_address(&self, scalar: &MarkedScalarNode, name: &str) -> Option<SocketAddr> {
        let address = scalar.as_str().parse().ok();
        if address.is_none() {
            let message = format!("`{name}` is `{}`", scalar.as_str());
            let hint = "an IP number and a port, like 127.0.0.1:8080";
            self.document.report(scalar.span(), message, hint);
        }
        address
    }
}

/// Returns the place of a fault of syntax.
fn marker_of(error: &LoadError) -> Option<Marker> {
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

/// Finds the known name that is most like a wrong one, if any is like it.
fn closest<'n>(wrong: &str, names: &[&'n str]) -> Option<&'n str> {
    let scored = names.iter().map(|name| (edit_distance(wrong, name), *name));
    let (distance, name) = scored.min()?;
    (distance <= 3 && distance < wrong.len()).then_some(name)
}

/// Counts the single-letter edits between two words.
fn edit_distance(left: &str, right: &str) -> usize {
    let right: Vec<char> = right.chars().collect();
    let mut previous: Vec<usize> = (0..=right.len()).collect();
    for (row, letter) in left.chars().enumerate() {
        let mut current = vec![row + 1];
        for (column, other) in right.iter().enumerate() {
            let replaced = previous[column] + usize::from(letter != *other);
            let removed = previous[column + 1] + 1;
            let added = current[column] + 1;
            current.push(replaced.min(removed).min(added));
        }
        previous = current;
    }
    previous[right.len()]
}
