//! entry

fn main() {}
