//! Exit codes and output of the `oriolectl` program.

use std::process::{Command, Stdio};

fn oriolectl(line: &str) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_oriolectl"));
    command
        .args(line.split_whitespace())
        .env_remove(cli::args::CONTROL_VARIABLE);
    command
}

#[test]
fn a_closed_stdout_is_not_an_error() {
    let mut child = oriolectl("completions bash")
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("oriolectl starts");
    drop(child.stdout.take());
    let output = child.wait_with_output().expect("oriolectl ends");
    assert!(output.status.success());
    assert_eq!(String::from_utf8_lossy(&output.stderr), "");
}

#[test]
fn exit_codes_without_a_control_vm() {
    for (line, code) in [
        ("--help", 0),
        ("completions zsh", 0),
        ("bogus", 2),
        ("status", 2),
        ("status --control 127.0.0.1:1 --timeout 1", 4),
        ("report no-such-file.json", 2),
    ] {
        let output = oriolectl(line).output().expect("oriolectl starts");
        assert_eq!(output.status.code(), Some(code), "{line}");
    }
}
