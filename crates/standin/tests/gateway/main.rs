//! Tests of the system on the platform, from client to upstream, with real processes on loopback
//! addresses.

#![expect(clippy::unwrap_used, reason = "a step that fails fails its test")]

mod builds;
mod odd_announcements;
mod system;

use std::{process::Command, time::Duration};

use cli::explain::{Line, explain};
use standin::experiment::{
    build,
    process::{Process, Signal},
};
use standin::platform::{client::ClientOutcome, system::plan, upstream::ResponseDelay};
use system::{DEADLINE, TestSystem, wait_for};

/// Timeout for a graceful stop of a process.
const STOP_WAIT: Duration = Duration::from_secs(30);

#[test]
fn flows_keep_their_upstream_across_entry_vm_restarts() {
    let mut system = TestSystem::start();
    let mut flows: Vec<_> = (0..20).map(|n| system.serve_one(n % 2)).collect();
    // All packets move to the other VM; the first VM is killed, restarted and used again.
    let first: Vec<u64> = flows.iter_mut().map(|f| system.ask(0, f)).collect();
    system.entries[0].kill();
    let second: Vec<u64> = flows.iter_mut().map(|f| system.ask(1, f)).collect();
    system.entries[0].restart().unwrap();
    system.wait_until_ready();
    let third: Vec<u64> = flows.iter_mut().map(|f| system.ask(0, f)).collect();
    assert_eq!((&first, &first), (&second, &third));
    let unmatched_packets: u64 = system.upstreams.iter().map(|u| u.unmatched_packets()).sum();
    assert_eq!(unmatched_packets, 0);
}

#[test]
fn plan_and_domain_out_survive_a_kill_of_all_processes() {
    let mut system = TestSystem::start();
    let mut flow = system.serve_one(0);
    system.put_plan(5);
    system.domain_out("south");
    let parts: &mut standin::platform::system::System = &mut system;
    for process in parts.controls.iter_mut().chain(&mut parts.entries) {
        process.kill();
        process.restart().unwrap();
    }
    let wanted = plan(5, system.service);
    wait_for("the plan is read back", || {
        system.read_plan().as_ref() == Some(&wanted)
    });
    system.wait_until_ready();
    assert!(system.dump(0).contains(r#""domains_out":["south"]"#));
    // The upstream was not killed, so the flow must continue.
    system.ask(1, &mut flow);
}

#[test]
fn an_older_plan_is_acknowledged_without_effect_and_a_wrong_one_refused() {
    let system = TestSystem::start();
    system.put_plan(9);
    let newest = plan(9, system.service);
    for version in [8, 9] {
        let text = plan(version, "198.18.0.7:80".parse().unwrap());
        assert_eq!(system.put(&text), Some(200));
    }
    assert_eq!(system.put(&newest[..40]), Some(400));
    assert_eq!(system.read_plan(), Some(newest));
    wait_for("the plan is in force", || {
        system.dump(0).contains("\"plan_version\":9")
    });
    system.serve_one(0);
}

#[test]
fn draining_upstreams_and_domains_that_are_out_get_no_new_flows() {
    let system = TestSystem::start();
    system.upstreams[0].drain();
    system.domain_out("south");
    for number in 0..2 {
        wait_for("the entry VM has heard of both", || {
            let dump = system.dump(number);
            dump.contains("Draining") && dump.contains(r#""domains_out":["south"]"#)
        });
    }
    let opened = || -> Vec<usize> { system.upstreams.iter().map(|u| u.opened().len()).collect() };
    let before = opened();
    for number in 0..20 {
        system.serve_one(number % 2);
    }
    let after = opened();
    assert_eq!((after[0], after[2]), (before[0], before[2]));
    assert_eq!(after[1], before[1] + 20);
}

#[test]
fn probe_report_of_one_entry_vm_reaches_the_others() {
    let mut system = TestSystem::start();
    // All flows go through the first entry VM, so the other VM can learn of the failure only by reports.
    let mut flow = system.serve_one(0);
    system.upstreams.clear();
    wait_for("the flow is reset or given up", || {
        system.client.ask(system.entry(0), &mut flow, DEADLINE) == ClientOutcome::Reset
    });
    let has = |log: &str, event| {
        let lines = system.lines();
        lines
            .iter()
            .any(|l| l.log.starts_with(log) && l.value("event") == Some(event))
    };
    for (log, event) in [
        ("control", "found"),
        ("entry-1", "told"),
        ("entry-1", "probe"),
    ] {
        wait_for(event, || has(log, event));
    }
}

#[test]
fn sighup_ends_no_process() {
    let mut system = TestSystem::start();
    let all = system.controls.iter().chain(&system.entries);
    let ids: Vec<String> = all.map(|p| p.id().to_string()).collect();
    assert!(
        Command::new("kill")
            .arg("-HUP")
            .args(&ids)
            .status()
            .unwrap()
            .success()
    );
    wait_for("each process says so", || {
        let lines = system.lines();
        lines
            .iter()
            .filter(|l| l.value("event") == Some("sighup"))
            .count()
            == ids.len()
    });
    let parts: &mut standin::platform::system::System = &mut system;
    let mut all = parts.controls.iter_mut().chain(&mut parts.entries);
    assert!(all.all(|p| p.is_running()));
}

#[test]
fn each_process_logs_start_and_stop_and_stops_gracefully() {
    let mut system = TestSystem::start();
    let parts: &mut standin::platform::system::System = &mut system;
    for process in parts.controls.iter_mut().chain(&mut parts.entries) {
        process.signal(Signal::Terminate).unwrap();
    }
    for process in parts.controls.iter_mut().chain(&mut parts.entries) {
        let status = process.wait(STOP_WAIT).unwrap();
        assert!(status.success(), "{}: {status}", process.name());
    }
    let lines = system.lines();
    let count = |event| {
        let lines = lines.iter().filter(|l| l.value("event") == Some(event));
        lines.count()
    };
    assert_eq!((count("start"), count("stop")), (5, 5));
}

/// Waits until a line that explains the flow contains `wanted`; returns all lines that explain the flow.
fn explain_until(system: &TestSystem, flow: &str, wanted: &str) -> Vec<Line> {
    let mut found = Vec::new();
    wait_for(wanted, || {
        found = explain(flow, system.lines());
        found.iter().any(|line| line.text.contains(wanted))
    });
    // docs/OPERATIONS.md shows these lines; run with `-- --nocapture` to print them.
    for line in &found {
        eprintln!("{} {} {}", line.time, line.log, line.text);
    }
    found
}

#[test]
fn explain_shows_why_the_opening_of_a_flow_was_refused() {
    let system = TestSystem::start();
    let unknown = "198.18.0.99:443".parse().unwrap();
    let (flow, got) = system.client.open(system.entry(0), unknown);
    assert_eq!(got, ClientOutcome::Reset);
    let lines = explain_until(&system, &flow.id(), "why=no-route");
    // The decision names the version of the plan, and an earlier line logs the arrival of that plan.
    let decision = lines.iter().find(|l| l.value("flow").is_some()).unwrap();
    assert_eq!(decision.value("outcome"), Some("reset"));
    assert_eq!(decision.value("plan"), Some("1"));
    let came = |l: &&Line| l.value("event") == Some("plan") && l.value("version") == Some("1");
    assert!(lines.iter().find(came).unwrap().time <= decision.time);
}

#[test]
fn explain_shows_that_an_unanswered_flow_lost_its_upstream() {
    let mut system = TestSystem::start();
    let mut flow = system.serve_one(0);
    system.upstreams.clear();
    // The first request gets no answer; after a probe found the upstream down, the flow is reset.
    let mut last = ClientOutcome::Nothing;
    wait_for("the flow is reset", || {
        last = system.client.ask(system.entry(0), &mut flow, DEADLINE);
        last != ClientOutcome::Nothing
    });
    assert_eq!(last, ClientOutcome::Reset);
    let lines = explain_until(&system, &flow.id(), "why=upstream-down");
    let place = |wanted: &str| lines.iter().position(|l| l.text.contains(wanted));
    let (late, probe) = (
        place("event=late").unwrap(),
        place("outcome=Refused").unwrap(),
    );
    assert!(
        late < probe && probe < place("why=upstream-down").unwrap(),
        "{lines:#?}"
    );
}

#[test]
fn explain_shows_that_a_late_answer_came_from_a_slow_upstream() {
    let system = TestSystem::start();
    let mut flow = system.serve_one(0);
    for upstream in &system.upstreams {
        upstream.set_response_delay(ResponseDelay::Delayed(Duration::from_millis(450)));
    }
    let got = system.client.ask(system.entry(0), &mut flow, 4 * DEADLINE);
    assert!(matches!(got, ClientOutcome::Answer(_)));
    let lines = explain_until(&system, &flow.id(), "event=late");
    let late = lines
        .iter()
        .find(|l| l.value("event") == Some("late"))
        .unwrap();
    let waited: u64 = late.value("waited_ms").unwrap().parse().unwrap();
    assert!(waited >= 200);
    let upstream = late.value("upstream").unwrap();
    // The upstream accepted the probe, so the upstream is slow and not down.
    let probe =
        |l: &&Line| l.value("event") == Some("probe") && l.value("upstream") == Some(upstream);
    wait_for("the probe is logged", || {
        let lines = system.lines();
        lines
            .iter()
            .find(probe)
            .is_some_and(|l| l.value("outcome") == Some("Accepted"))
    });
}

#[test]
fn flood_of_refusals_is_answered_and_its_log_lines_are_limited() {
    let system = TestSystem::start();
    let unknown = "198.18.0.99:443".parse().unwrap();
    let refused = (0..600).filter(|_| {
        let (_, got) = system.client.open(system.entry(0), unknown);
        got == ClientOutcome::Reset
    });
    assert_eq!(refused.count(), 600);
    let mut left_out = 0;
    let mut logged = 0;
    wait_for("what was left out is counted", || {
        // The first line of a later second gives the number of lines left out before.
        system.client.open(system.entry(0), unknown);
        let lines = system.lines();
        let own = || lines.iter().filter(|l| l.log == "entry-0");
        logged = own().filter(|l| l.text.contains("why=no-route")).count();
        let counts = own().filter(|l| l.value("event") == Some("left-out"));
        let counts = counts.filter_map(|l| l.value("lines")?.parse::<usize>().ok());
        left_out = counts.sum();
        logged + left_out >= 600
    });
    assert!(left_out > 0, "{logged} lines and none left out");
    system.serve_one(0);
}

/// Starts a daemon that reads its settings from a pipe, sends SIGHUP before the settings are written,
/// and reports whether the daemon still runs afterwards.
fn survives_early_sighup(program: &str, settings: &str) -> bool {
    use std::{fs, io::Write};
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("settings.yaml");
    let made = Command::new("mkfifo").arg(&path).status();
    assert!(made.unwrap().success());
    let shown = path.display().to_string();
    let arguments = ["--gateway", "--settings", &shown].map(str::to_owned);
    let program = build::programs().unwrap().join(program);
    let log = folder.path().join("log");
    let mut process = Process::start("early", &program, arguments.into(), log.clone()).unwrap();
    // Opening the pipe blocks until the daemon reads. Later reads of the path get an ordinary file.
    let mut pipe = fs::File::options().write(true).open(&path).unwrap();
    process.signal(Signal::HangUp).unwrap();
    let data = folder.path().join("data");
    let text = settings.replace("DATA", &data.display().to_string());
    let file = folder.path().join("file.yaml");
    fs::write(&file, &text).unwrap();
    fs::rename(&file, &path).unwrap();
    // The write fails when the process has already ended; the check below detects that.
    drop(pipe.write_all(text.as_bytes()));
    drop(pipe);
    let has_started = || {
        let said = fs::read_to_string(&log).unwrap();
        said.contains("event=start") || !process.is_running()
    };
    wait_for("the process starts or ends", has_started);
    process.is_running()
}

#[test]
fn sighup_before_the_settings_are_read_ends_no_daemon() {
    let control = "name: control-1\ndomain: north\ndata_folder: DATA\n\
                   desk_listen: \"127.0.77.1:11002\"\nfirst_port: 11008\n\
                   seeds: [\"127.0.77.1:11002\"]\nfound: true\nannounce_ms: 200\ntolerated: 1\n";
    assert!(survives_early_sighup("oriole-control", control));
    let entry = "name: entry-1\ndomain: north\nfabric_listen: \"127.0.77.2:11000\"\n\
                 health_listen: \"127.0.77.2:11003\"\nfirst_port: 11008\n\
                 seeds: [\"127.0.77.1:11002\"]\n";
    assert!(survives_early_sighup("oriole-entry", entry));
}
