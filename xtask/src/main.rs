//! xtask

fn main() {}
