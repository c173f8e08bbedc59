//! Named experiments.
