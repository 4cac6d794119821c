//! consensus
