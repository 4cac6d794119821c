//! Effect of each mode of the control VM's proxy on connections.

#![expect(clippy::unwrap_used, reason = "a test ends at the first error")]

use std::{
    io::{ErrorKind, Read, Write},
    net::{TcpListener, TcpStream},
    time::Duration,
};

use soak::control_proxy::{Mode, Proxy, Route};

/// Returns a proxy and both ends of a connection through the proxy.
fn connect_through_proxy() -> (Proxy, TcpStream, TcpStream) {
    let control = TcpListener::bind("127.0.0.1:0").unwrap();
    let bound_address = control.local_addr().unwrap();
    // The port is free again after the drop; no other test uses this address.
    let free = TcpListener::bind("127.0.75.1:0").unwrap();
    let public_address = free.local_addr().unwrap();
    drop(free);
    let proxy = Proxy::start([Route {
        public_address,
        bound_address,
    }])
    .unwrap();
    let client = TcpStream::connect(public_address).unwrap();
    let (control, _) = control.accept().unwrap();
    for end in [&client, &control] {
        let timeout = Some(Duration::from_secs(30));
        end.set_read_timeout(timeout).unwrap();
    }
    (proxy, client, control)
}

fn read_byte(mut from: &TcpStream) -> u8 {
    let mut byte = [0];
    from.read_exact(&mut byte).unwrap();
    byte[0]
}

fn has_no_data(from: &TcpStream) -> bool {
    from.set_nonblocking(true).unwrap();
    let peeked = from.peek(&mut [0]);
    from.set_nonblocking(false).unwrap();
    peeked.is_err_and(|e| e.kind() == ErrorKind::WouldBlock)
}

#[test]
fn pass_and_delay_forward_bytes_in_both_directions() {
    let (proxy, mut client, mut control) = connect_through_proxy();
    client.write_all(b"a").unwrap();
    assert_eq!(read_byte(&control), b'a');
    proxy.set(Mode::Delay(Duration::from_millis(50)));
    control.write_all(b"b").unwrap();
    assert_eq!(read_byte(&client), b'b');
}

#[test]
fn one_way_holds_back_requests_and_forwards_answers() {
    let (proxy, mut client, mut control) = connect_through_proxy();
    proxy.set(Mode::OneWay);
    client.write_all(b"a").unwrap();
    control.write_all(b"b").unwrap();
    assert_eq!(read_byte(&client), b'b');
    assert!(has_no_data(&control));
    proxy.set(Mode::Pass);
    assert_eq!(read_byte(&control), b'a');
}

#[test]
fn silence_holds_back_both_directions_until_pass() {
    let (proxy, mut client, mut control) = connect_through_proxy();
    proxy.set(Mode::Silence);
    client.write_all(b"a").unwrap();
    control.write_all(b"b").unwrap();
    assert!(has_no_data(&client) && has_no_data(&control));
    proxy.set(Mode::Pass);
    assert_eq!((read_byte(&control), read_byte(&client)), (b'a', b'b'));
}

#[test]
fn reset_closes_both_ends_with_a_reset() {
    let (proxy, mut client, mut control) = connect_through_proxy();
    proxy.set(Mode::Reset);
    for end in [&mut client, &mut control] {
        let ended = end.read(&mut [0]);
        assert!(ended.is_err_and(|e| e.kind() == ErrorKind::ConnectionReset));
    }
}
