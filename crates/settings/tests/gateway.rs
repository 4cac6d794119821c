//! Settings of the daemons on the platform: ports for traffic between VMs, and invalid values.

#![expect(clippy::unwrap_used, reason = "a test ends at the first error")]

use settings::gateway::{Control, Entry};

fn control(more: &str) -> String {
    format!(
        "name: control-1\ndomain: vejle\ndata_folder: /data\ndesk_listen: \"10.1.0.12:8166\"\n\
         first_port: 7720\nseeds: [\"10.1.0.12:8166\"]\nfound: true\nannounce_ms: 770\n\
         tolerated: 1\n{more}"
    )
}

fn fault(text: &str) -> String {
    settings::parse::<Control>("control.yaml", text)
        .unwrap_err()
        .to_string()
}

#[test]
fn a_control_vm_binds_the_ports_that_other_vms_connect_to() {
    let settings: Control = settings::parse("control.yaml", &control("")).unwrap();
    let daemon = settings.daemon();
    assert_eq!(daemon.peer_listen, settings.peer_address());
    assert_eq!(settings.peer_address(), "10.1.0.12:7721".parse().unwrap());
    assert_eq!(daemon.delivery_listen.port(), settings.delivery_port());
}

#[test]
fn bind_port_changes_the_bound_ports_but_not_the_reachable_ports() {
    let settings: Control = settings::parse("control.yaml", &control("bind_port: 9000\n")).unwrap();
    let daemon = settings.daemon();
    assert_eq!(settings.peer_address(), "10.1.0.12:7721".parse().unwrap());
    assert_eq!(settings.delivery_port(), 7720);
    let bound = [daemon.delivery_listen, daemon.peer_listen];
    let wanted = ["10.1.0.12:9000", "10.1.0.12:9001"].map(|a| a.parse().unwrap());
    assert_eq!(bound, wanted);
}

/// Guards against a range that ends at the highest port and is refused.
#[test]
fn the_highest_four_ports_are_accepted() {
    let text = control("bind_port: 65532\n").replace("7720", "65532");
    let settings: Control = settings::parse("control.yaml", &text).unwrap();
    assert_eq!(settings.daemon().http_listen.port(), 65_535);
}

#[test]
fn a_port_range_without_room_is_reported_with_its_key() {
    for port in ["0", "65533", "65534"] {
        let text = control(&format!("bind_port: {port}\n"));
        assert!(fault(&text).contains("`bind_port`"), "{}", fault(&text));
        let text = control("").replace("7720", port);
        assert!(fault(&text).contains("`first_port`"), "{}", fault(&text));
    }
}

#[test]
fn a_link_without_capacity_is_rejected() {
    let text = "name: entry-1\ndomain: vejle\nfabric_listen: \"10.1.0.10:8172\"\n\
                health_listen: \"10.1.0.10:8167\"\nfirst_port: 7720\nseeds: [\"10.1.0.12:1\"]\n\
                link_mbps: 0\n";
    let error = settings::parse::<Entry>("entry.yaml", text).unwrap_err();
    assert!(error.to_string().contains("`link_mbps`"), "{error}");
}
