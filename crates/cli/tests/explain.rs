//! Selection and order of the log lines that explain a flow.

use cli::explain::{Line, explain};

const FLOW: &str = "100.64.0.7:1025>198.18.0.1:443";

fn lines(log: &str, text: &str) -> Vec<Line> {
    text.lines().filter_map(|l| Line::parse(log, l)).collect()
}

#[test]
fn lines_about_the_flow_its_upstream_and_its_vm_are_sorted_by_time() {
    let first = "\
2026-12-04T05:00:02.000Z INFO  packet: event=decision flow=100.64.0.7:1025>198.18.0.1:443 why=placed upstream=ab
2026-12-04T05:00:00.000Z INFO  plan: event=plan version=3
2026-12-04T05:00:02.100Z INFO  packet: event=decision flow=100.64.0.7:1026>198.18.0.1:443 why=placed upstream=cd
2026-12-04T05:00:02.200Z INFO  upstreams: event=probe upstream=cd outcome=Silent
not a line of a log";
    let other = "\
2026-12-04T05:00:01.000Z INFO  desk: event=upstream id=ab phase=Ready
2026-12-04T05:00:01.500Z INFO  desk: event=upstream id=cd phase=Ready
2026-12-04T05:00:01.600Z INFO  plan: event=plan version=3";
    let all = lines("entry-1", first)
        .into_iter()
        .chain(lines("control-1", other));
    let found = explain(FLOW, all);
    let shown: Vec<(&str, &str)> = found.iter().map(|l| (&l.time[17..21], &*l.log)).collect();
    let wanted = [
        ("00.0", "entry-1"),
        ("01.0", "control-1"),
        ("02.0", "entry-1"),
    ];
    assert_eq!(shown, wanted);
}

#[test]
fn values_are_looked_up_by_the_whole_key() {
    let line = "2026-12-04T05:00:00.000Z INFO  a: event=late flow=f waited_ms=210";
    let line = Line::parse("x", line).unwrap();
    assert_eq!(line.value("waited_ms"), Some("210"));
    assert_eq!(line.value("waited"), None);
    assert_eq!(line.value("ms"), None);
}

#[test]
fn lines_with_the_same_timestamp_keep_the_order_of_their_log() {
    let flow = "100.64.0.7:40001>198.18.0.1:443";
    let time = "2026-12-04T09:22:41.103Z";
    let text = format!(
        "{time} INFO  packet: event=late flow={flow} waited_ms=213 upstream=2\n\
         {time} INFO  upstreams: event=probe upstream=2 outcome=Refused down=true\n\
         {time} INFO  packet: event=decision flow={flow} why=upstream-down upstream=0\n"
    );
    let found = explain(flow, lines("entry-1", &text));
    let events: Vec<&str> = found.iter().filter_map(|l| l.value("event")).collect();
    assert_eq!(events, ["late", "probe", "decision"]);
}

#[test]
fn lines_about_admission_of_the_vm_that_refused_the_flow_are_shown() {
    let flow = "100.64.0.7:40001>198.18.0.1:443";
    let entry = format!(
        "2026-12-04T09:22:41.000Z INFO  admission: event=room service=booking short=true\n\
         2026-12-04T09:22:41.103Z INFO  packet: event=decision flow={flow} why=no-room upstream=0\n"
    );
    let other = "2026-12-04T09:22:41.001Z INFO  admission: event=room service=booking short=true";
    let all = lines("entry-1", &entry).into_iter();
    let found = explain(flow, all.chain(lines("entry-2", other)));
    let shown: Vec<(&str, Option<&str>)> =
        found.iter().map(|l| (&*l.log, l.value("event"))).collect();
    assert_eq!(
        shown,
        [("entry-1", Some("room")), ("entry-1", Some("decision"))]
    );
}
