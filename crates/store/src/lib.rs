//! store
