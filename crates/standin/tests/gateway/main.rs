//! The whole path on the platform, as real processes on loopback addresses.

#![expect(clippy::unwrap_used, reason = "a step that fails fails its test")]

mod builds;
mod system;

use std::{process::Command, time::Duration};

use cli::explain::{Line, explain};
use standin::experiment::{
    build,
    process::{Process, Signal},
};
use standin::platform::{client::ClientOutcome, system::plan, upstream::ResponseDelay};
use system::{DEADLINE, Whole, eventually};

/// Longest wait for a process that was asked to stop.
const STOP_WAIT: Duration = Duration::from_secs(30);

#[test]
fn flows_stay_whole_while_entry_vms_come_and_go() {
    let mut system = Whole::start();
    let mut flows: Vec<_> = (0..20).map(|n| system.serve_one(n % 2)).collect();
    // The fabric sends everything through the other VM, then one is killed.
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
fn what_was_acknowledged_survives_the_death_of_all_processes() {
    let mut system = Whole::start();
    let mut flow = system.serve_one(0);
    system.put_plan(5);
    system.domain_out("south");
    let parts: &mut standin::platform::system::System = &mut system;
    for process in parts.controls.iter_mut().chain(&mut parts.entries) {
        process.kill();
        process.restart().unwrap();
    }
    let wanted = plan(5, system.service);
    eventually("the plan is read back", || {
        system.read_plan().as_ref() == Some(&wanted)
    });
    system.wait_until_ready();
    assert!(system.dump(0).contains(r#""domains_out":["south"]"#));
    // Its upstream lived on, and so does the flow.
    system.ask(1, &mut flow);
}

#[test]
fn an_older_plan_is_acknowledged_without_effect_and_a_wrong_one_refused() {
    let system = Whole::start();
    system.put_plan(9);
    let newest = plan(9, system.service);
    for version in [8, 9] {
        let text = plan(version, "198.18.0.7:80".parse().unwrap());
        assert_eq!(system.put(&text), Some(200));
    }
    assert_eq!(system.put(&newest[..40]), Some(400));
    assert_eq!(system.read_plan(), Some(newest));
    eventually("the plan is in force", || {
        system.dump(0).contains("\"plan_version\":9")
    });
    system.serve_one(0);
}

#[test]
fn draining_upstreams_and_domains_that_are_out_get_no_new_flows() {
    let system = Whole::start();
    system.upstreams[0].drain();
    system.domain_out("south");
    for number in 0..2 {
        eventually("the entry VM has heard of both", || {
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
fn what_one_entry_vm_finds_down_the_others_learn() {
    let mut system = Whole::start();
    // All flows go through the first entry VM; the other has no client that could tell it.
    let mut flow = system.serve_one(0);
    system.upstreams.clear();
    eventually("the flow is reset or given up", || {
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
        eventually(event, || has(log, event));
    }
}

#[test]
fn sighup_ends_no_process() {
    let mut system = Whole::start();
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
    eventually("each process says so", || {
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
fn each_process_says_when_it_starts_and_stops_and_stops_gracefully() {
    let mut system = Whole::start();
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

/// The lines that explain a flow, once one of them has `wanted`.
fn explained(system: &Whole, flow: &str, wanted: &str) -> Vec<Line> {
    let mut found = Vec::new();
    eventually(wanted, || {
        found = explain(flow, system.lines());
        found.iter().any(|line| line.text.contains(wanted))
    });
    // docs/OPERATIONS.md shows these lines; `-- --nocapture` prints them.
    for line in &found {
        eprintln!("{} {} {}", line.time, line.log, line.text);
    }
    found
}

#[test]
fn a_flow_that_was_refused_while_opening_is_explained() {
    let system = Whole::start();
    let unknown = "198.18.0.99:443".parse().unwrap();
    let (flow, got) = system.client.open(system.entry(0), unknown);
    assert_eq!(got, ClientOutcome::Reset);
    let lines = explained(&system, &flow.id(), "why=no-route");
    // The line names the plan by which it was decided, and another says when that came.
    let decision = lines.iter().find(|l| l.value("flow").is_some()).unwrap();
    assert_eq!(decision.value("outcome"), Some("reset"));
    assert_eq!(decision.value("plan"), Some("1"));
    let came = |l: &&Line| l.value("event") == Some("plan") && l.value("version") == Some("1");
    assert!(lines.iter().find(came).unwrap().time <= decision.time);
}

#[test]
fn silence_on_an_open_flow_is_explained_by_its_upstreams_end() {
    let mut system = Whole::start();
    let mut flow = system.serve_one(0);
    system.upstreams.clear();
    // The first request meets silence; once a probe has told, the flow is reset.
    let mut last = ClientOutcome::Nothing;
    eventually("the flow is reset", || {
        last = system.client.ask(system.entry(0), &mut flow, DEADLINE);
        last != ClientOutcome::Nothing
    });
    assert_eq!(last, ClientOutcome::Reset);
    let lines = explained(&system, &flow.id(), "why=upstream-down");
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
fn an_answer_that_came_late_is_explained_by_its_slow_upstream() {
    let system = Whole::start();
    let mut flow = system.serve_one(0);
    for upstream in &system.upstreams {
        upstream.set_response_delay(ResponseDelay::Delayed(Duration::from_millis(450)));
    }
    let got = system.client.ask(system.entry(0), &mut flow, 4 * DEADLINE);
    assert!(matches!(got, ClientOutcome::Answer(_)));
    let lines = explained(&system, &flow.id(), "event=late");
    let late = lines
        .iter()
        .find(|l| l.value("event") == Some("late"))
        .unwrap();
    let waited: u64 = late.value("waited_ms").unwrap().parse().unwrap();
    assert!(waited >= 200);
    let upstream = late.value("upstream").unwrap();
    // It accepted the probe: it is slow, not gone.
    let probe =
        |l: &&Line| l.value("event") == Some("probe") && l.value("upstream") == Some(upstream);
    eventually("the probe is logged", || {
        let lines = system.lines();
        lines
            .iter()
            .find(probe)
            .is_some_and(|l| l.value("outcome") == Some("Accepted"))
    });
}

#[test]
fn a_flood_of_refusals_is_decided_and_logged_within_bounds() {
    let system = Whole::start();
    let unknown = "198.18.0.99:443".parse().unwrap();
    let refused = (0..600).filter(|_| {
        let (_, got) = system.client.open(system.entry(0), unknown);
        got == ClientOutcome::Reset
    });
    assert_eq!(refused.count(), 600);
    let mut left_out = 0;
    let mut logged = 0;
    eventually("what was left out is counted", || {
        // A later second's first line says what was left out before.
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

/// Starts a daemon whose settings come through a pipe, sends it SIGHUP before it has them, and
/// returns whether it still runs and has them.
fn outlives_an_early_hang_up(program: &str, settings: &str) -> bool {
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
    // This end opens once the process reads; what it reads later is an ordinary file.
    let mut pipe = fs::File::options().write(true).open(&path).unwrap();
    process.signal(Signal::HangUp).unwrap();
    let data = folder.path().join("data");
    let text = settings.replace("DATA", &data.display().to_string());
    let file = folder.path().join("file.yaml");
    fs::write(&file, &text).unwrap();
    fs::rename(&file, &path).unwrap();
    // A process that has ended reads nothing.
    drop(pipe.write_all(text.as_bytes()));
    drop(pipe);
    let has_started = || {
        let said = fs::read_to_string(&log).unwrap();
        said.contains("event=start") || !process.is_running()
    };
    eventually("the process starts or ends", has_started);
    process.is_running()
}

#[test]
fn sighup_before_the_settings_are_read_ends_no_daemon() {
    let control = "name: control-1\ndomain: north\ndata_folder: DATA\n\
                   desk_listen: \"127.0.77.1:11002\"\nfirst_port: 11008\n\
                   seeds: [\"127.0.77.1:11002\"]\nfound: true\nannounce_ms: 200\ntolerated: 1\n";
    assert!(outlives_an_early_hang_up("oriole-control", control));
    let entry = "name: entry-1\ndomain: north\nfabric_listen: \"127.0.77.2:11000\"\n\
                 health_listen: \"127.0.77.2:11003\"\nfirst_port: 11008\n\
                 seeds: [\"127.0.77.1:11002\"]\n";
    assert!(outlives_an_early_hang_up("oriole-entry", entry));
}
