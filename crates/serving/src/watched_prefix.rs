//! Names the keys of a watch.

/// All keys with one prefix, and how a newer one is noticed without reading them all.
#[derive(Clone, Copy, Debug)]
pub struct WatchedPrefix<'a> {
    /// Prefix of the keys.
    pub prefix: &'a str,
    /// Prefix of those keys whose newest revision tells that of all watched keys.
    pub marker: &'a str,
}

impl<'a> WatchedPrefix<'a> {
    /// Sets a key, one of those with the prefix, that is written with each change of the others.
    #[must_use]
    pub fn with_marker(self, marker: &'a str) -> Self {
        Self { marker, ..self }
    }
}

impl<'a> From<&'a str> for WatchedPrefix<'a> {
    fn from(prefix: &'a str) -> Self {
        Self { prefix, marker: prefix }
    }
}
