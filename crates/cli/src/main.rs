//! cli

fn main() {}
