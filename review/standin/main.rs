//! Runs a case of the review: `review-case NAME RECORD`. Exits with 1 if the rule was broken, with 0
//! if it held, and with 2 if the case could not run. With `TROUBLE=0` the disruption is left out.

mod cases;
mod client;
mod record;
mod server;
mod system;
mod wire;

use std::path::Path;
use std::process::ExitCode;
use std::thread;
use std::time::Duration;

/// Time after which a case is given up.
const TIME_LIMIT: Duration = Duration::from_secs(110);

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, record] = arguments.as_slice() else {
        eprintln!("usage: review-case NAME RECORD");
        return ExitCode::from(2);
    };
    if let Err(error) = record::start(Path::new(record)) {
        eprintln!("{record}: {error}");
        return ExitCode::from(2);
    }
    thread::spawn(|| {
        thread::sleep(TIME_LIMIT);
        record::show("the case took too long");
        system::kill_all();
        std::process::exit(2);
    });
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let outcome = match cases::run(name, has_trouble) {
        Ok(broken) => broken,
        Err(reason) => {
            record::show(&format!("the case could not run: {reason}"));
            return ExitCode::from(2);
        }
    };
    record::show(if outcome {
        "the rule is broken"
    } else {
        "the rule held"
    });
    ExitCode::from(u8::from(outcome))
}
