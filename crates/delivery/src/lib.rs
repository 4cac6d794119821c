//! delivery
