//! oriole-standin

fn main() {}
