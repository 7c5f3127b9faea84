//! Random runs.
