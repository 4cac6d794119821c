//! The cases of the review.

use std::fmt::Display;

use crate::record;

mod cold_return;
mod cut_server;
mod deployment;
mod foreign_heartbeat;
mod lost_answer;
mod old_route;
mod restarted_server;

/// Runs a case. Returns whether its rule was broken.
pub fn run(name: &str, has_trouble: bool) -> Result<bool, String> {
    record::show(&format!("case {name}, disruption: {has_trouble}"));
    match name {
        "restarted-server" => restarted_server::run(has_trouble),
        "cold-return" => cold_return::run(has_trouble),
        "cut-server" => cut_server::run(has_trouble),
        "foreign-heartbeat" => foreign_heartbeat::run(has_trouble),
        "lost-answer" => lost_answer::run(has_trouble),
        "old-route" => old_route::run(has_trouble),
        _ => Err(format!("no case {name}")),
    }
}

fn text(error: impl Display) -> String {
    error.to_string()
}
