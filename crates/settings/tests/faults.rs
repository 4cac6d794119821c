//! An invalid settings file is rejected with one line that names the file, the key, its value and
//! what to do.

#![expect(clippy::unwrap_used, reason = "a test fails by its panic")]

use settings::{Error, control, entry, parse};

const ENTRY: &str = r#"
name: entry-1
domain: vejle
fabric_listen: "127.0.0.1:7001"
request_listen: "127.0.0.1:7002"
peer_listen: "127.0.0.1:7003"
rpc_listen: "127.0.0.1:7004"
http_listen: "127.0.0.1:7005"
peers: ["127.0.0.1:7013"]
controls: ["127.0.0.1:7100"]
"#;

const CONTROL: &str = r#"
name: control-1
domain: vejle
data_folder: FOLDER
rpc_listen: "127.0.0.1:7201"
delivery_listen: "127.0.0.1:7202"
peer_listen: "127.0.0.1:7203"
http_listen: "127.0.0.1:7204"
replicas: { control-1: "127.0.0.1:7203", control-2: "127.0.0.1:7213" }
"#;

/// Returns the error line for the settings of an entry VM with `from` replaced by `to`.
fn entry_fault(from: &str, to: &str) -> String {
    assert!(ENTRY.contains(from));
    let error = parse::<entry::Settings>("entry.yaml", &ENTRY.replacen(from, to, 1)).unwrap_err();
    error.to_string()
}

/// Returns the error line for the settings of a control VM with `from` replaced by `to`.
fn control_fault(from: &str, to: &str) -> String {
    let folder = tempfile::tempdir().unwrap();
    let text = CONTROL.replacen(from, to, 1);
    let text = text.replace("FOLDER", &folder.path().join("data").display().to_string());
    let error = parse::<control::Settings>("control.yaml", &text).unwrap_err();
    error.to_string()
}

fn assert_line(line: &str, parts: &[&str]) {
    assert!(!line.contains('\n'), "more than one line: {line}");
    for part in parts {
        assert!(line.contains(part), "{part:?} is not in {line:?}");
    }
}

#[test]
fn valid_settings_are_accepted() {
    let settings: entry::Settings = parse("entry.yaml", ENTRY).unwrap();
    assert_eq!(settings.peers.len(), 1);
    let folder = tempfile::tempdir().unwrap();
    let text = CONTROL.replace("FOLDER", &folder.path().join("new").display().to_string());
    let settings: control::Settings = parse("control.yaml", &text).unwrap();
    assert_eq!(settings.replicas.len(), 2);
}

#[test]
fn a_mistyped_key_is_reported_as_unknown() {
    let line = entry_fault("domain:", "domian:");
    assert_line(
        &line,
        &[
            "entry.yaml: key `domian`",
            "\"vejle\"",
            "unknown",
            "use one of",
        ],
    );
}

#[test]
fn an_invalid_address_is_reported() {
    let line = entry_fault("127.0.0.1:7001", "vejle:7001");
    assert_line(
        &line,
        &[
            "entry.yaml: key `fabric_listen`",
            "\"vejle:7001\"",
            "IP address",
        ],
    );
}

#[test]
fn an_invalid_address_in_a_list_is_reported() {
    let line = entry_fault("127.0.0.1:7100", "127.0.0.1");
    assert_line(
        &line,
        &[
            "entry.yaml: key `controls`",
            "127.0.0.1",
            "IP address and port",
        ],
    );
}

#[test]
fn a_missing_failure_domain_is_reported() {
    let line = entry_fault("domain: vejle\n", "");
    assert_line(
        &line,
        &["entry.yaml: key `domain`", "(none)", "failure domain"],
    );
}

#[test]
fn an_invalid_name_is_reported() {
    let line = entry_fault("name: entry-1", "name: Entry_1");
    assert_line(&line, &["key `name`", "\"Entry_1\"", "a-z"]);
}

#[test]
fn a_port_used_twice_on_one_transport_is_reported() {
    let line = entry_fault("127.0.0.1:7002", "127.0.0.1:7001");
    assert_line(
        &line,
        &[
            "key `request_listen`",
            "127.0.0.1:7001",
            "fabric_listen",
            "another port",
        ],
    );
    let line = entry_fault("127.0.0.1:7005", "0.0.0.0:7004");
    assert_line(&line, &["key `http_listen`", "rpc_listen", "another port"]);
}

#[test]
fn an_empty_list_of_control_vms_is_reported() {
    let line = entry_fault("[\"127.0.0.1:7100\"]", "[]");
    assert_line(&line, &["key `controls`", "empty", "at least one"]);
}

#[test]
fn an_unwritable_data_folder_is_reported() {
    let file = tempfile::NamedTempFile::new().unwrap();
    let folder = file.path().join("data").display().to_string();
    let line = control_fault("FOLDER", &folder);
    assert_line(
        &line,
        &[
            "control.yaml: key `data_folder`",
            &folder,
            "create the folder",
        ],
    );
}

#[test]
fn a_replica_map_that_contradicts_peer_listen_is_reported() {
    let line = control_fault(
        "control-1: \"127.0.0.1:7203\"",
        "control-1: \"127.0.0.1:7303\"",
    );
    assert_line(
        &line,
        &[
            "key `peer_listen`",
            "127.0.0.1:7203",
            "make the two addresses equal",
        ],
    );
    let line = control_fault("127.0.0.1:7213", "127.0.0.1:7203");
    assert_line(
        &line,
        &["key `replicas`", "127.0.0.1:7203", "its own address"],
    );
}

#[test]
fn text_that_is_not_a_yaml_mapping_is_reported_with_the_file() {
    for text in ["", "- a\n- b\n", "name: [", "just words"] {
        let line = parse::<entry::Settings>("entry.yaml", text)
            .unwrap_err()
            .to_string();
        assert_line(&line, &["entry.yaml: "]);
    }
}

#[test]
fn a_missing_file_is_reported() {
    let error = settings::load::<entry::Settings>("no-such-file.yaml").unwrap_err();
    assert!(matches!(error, Error::Unreadable { .. }));
    assert_line(&error.to_string(), &["no-such-file.yaml", "--settings"]);
}

#[test]
fn serialized_settings_parse_to_the_same_settings() {
    let settings: entry::Settings = parse("entry.yaml", ENTRY).unwrap();
    let text = serde_norway::to_string(&settings).unwrap();
    assert_eq!(
        parse::<entry::Settings>("entry.yaml", &text).unwrap(),
        settings
    );
}
