//! oriole-load

fn main() {}
