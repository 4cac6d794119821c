//! `oriole-control`: the daemon of a control VM.

fn main() {}
