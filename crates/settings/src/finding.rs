//! Findings of a document check.

use std::error::Error;
use std::fmt;

/// An error in a document, with its position and a hint for correcting it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Finding {
    /// Column, counted from 1.
    pub column: usize,
    /// Name of the document.
    pub file: String,
    /// How to correct the error.
    pub hint: String,
    /// Line, counted from 1.
    pub line: usize,
    /// Description of the error.
    pub message: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { column, file, hint, line, message } = self;
        write!(formatter, "{file}:{line}:{column}: {message}\n  hint: {hint}")
    }
}

/// All findings of one document check, sorted by line and column.
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
