//! The program itself.

use std::process::{Command, Stdio};

fn oriolectl(line: &str) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_oriolectl"));
    command
        .args(line.split_whitespace())
        .env_remove(cli::args::CONTROL_VARIABLE);
    command
}

#[test]
fn a_reader_that_has_gone_is_no_error() {
    let mut child = oriolectl("completions bash")
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the program");
    drop(child.stdout.take());
    let output = child.wait_with_output().expect("its end");
    assert!(output.status.success());
    assert_eq!(String::from_utf8_lossy(&output.stderr), "");
}

#[test]
fn exit_codes_of_what_needs_no_control_vm() {
    for (line, code) in [
        ("--help", 0),
        ("completions zsh", 0),
        ("bogus", 2),
        ("status", 2),
        ("status --control 127.0.0.1:1 --timeout 1", 4),
        ("report no-such-file.json", 2),
    ] {
        let output = oriolectl(line).output().expect("the program");
        assert_eq!(output.status.code(), Some(code), "{line}");
    }
}
