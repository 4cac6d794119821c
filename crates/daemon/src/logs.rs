//! Log lines: time, level, the part of the process that speaks, and a short sentence.
//!
//! A part is the `target` of the log macros, as in `log::info!(target: "flow", "…")`.

use std::io::Write;

use log::LevelFilter;

/// Starts to log to standard error; a second call changes nothing.
pub fn start(level: LevelFilter) {
    let mut builder = env_logger::Builder::new();
    builder
        .filter_level(level)
        // Libraries speak only when something is wrong.
        .filter_module("ntex", level.min(LevelFilter::Warn))
        .filter_module("ntex_server", level.min(LevelFilter::Warn))
        .filter_module("ntex_rt", level.min(LevelFilter::Warn))
        .filter_module("h2", level.min(LevelFilter::Warn));
    builder.format(|buffer, record| {
        let time = buffer.timestamp_millis();
        writeln!(
            buffer,
            "{time} {:<5} {}: {}",
            record.level(),
            record.target(),
            record.args()
        )
    });
    // Only tests start two loggers in one process, and there the first may stay.
    drop(builder.try_init());
}
