//! What a check has found.

use std::error::Error;
use std::fmt;

/// One fault of a document, with its place and a hint.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Finding {
    /// Column, counted from 1.
    pub column: usize,
    /// The document's name.
    pub file: String,
    /// What to do about it.
    pub hint: String,
    /// Line, counted from 1.
    pub line: usize,
    /// What is wrong.
    pub message: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { column, file, hint, line, message } = self;
        write!(formatter, "{file}:{line}:{column}: {message}\n  hint: {hint}")
    }
}

/// All findings of one check.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct FindingList(pub Vec<Finding>);

impl fmt::Display for FindingList {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for finding in &self.0 {
            writeln!(formatter, "{finding}")?;
        }
        write!(formatter, "{} finding(s)", self.0.len())
    }
}

impl Error for FindingList {}
