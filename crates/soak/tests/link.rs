//! What the proxy before a control VM does to connections.

#![expect(clippy::unwrap_used, reason = "a test ends at the first error")]

use std::{
    io::{ErrorKind, Read, Write},
    net::{TcpListener, TcpStream},
    time::Duration,
};

use soak::link::{Mode, Proxy, Route};

/// A connection through a proxy: the proxy, the near end and the far end.
fn connected() -> (Proxy, TcpStream, TcpStream) {
    let far = TcpListener::bind("127.0.0.1:0").unwrap();
    let bound = far.local_addr().unwrap();
    // A port that was free a moment ago; addresses of tests are their own.
    let free = TcpListener::bind("127.0.75.1:0").unwrap();
    let reached = free.local_addr().unwrap();
    drop(free);
    let proxy = Proxy::start([Route { reached, bound }]).unwrap();
    let near = TcpStream::connect(reached).unwrap();
    let (far, _) = far.accept().unwrap();
    for end in [&near, &far] {
        let patience = Some(Duration::from_secs(30));
        end.set_read_timeout(patience).unwrap();
    }
    (proxy, near, far)
}

fn read(mut from: &TcpStream) -> u8 {
    let mut byte = [0];
    from.read_exact(&mut byte).unwrap();
    byte[0]
}

fn has_nothing(from: &TcpStream) -> bool {
    from.set_nonblocking(true).unwrap();
    let peeked = from.peek(&mut [0]);
    from.set_nonblocking(false).unwrap();
    peeked.is_err_and(|e| e.kind() == ErrorKind::WouldBlock)
}

#[test]
fn bytes_pass_both_ways_and_late_when_they_are_delayed() {
    let (proxy, mut near, mut far) = connected();
    near.write_all(b"a").unwrap();
    assert_eq!(read(&far), b'a');
    proxy.set(Mode::Delay(Duration::from_millis(50)));
    far.write_all(b"b").unwrap();
    assert_eq!(read(&near), b'b');
}

#[test]
fn one_way_holds_what_is_sent_and_lets_answers_through() {
    let (proxy, mut near, mut far) = connected();
    proxy.set(Mode::OneWay);
    near.write_all(b"a").unwrap();
    far.write_all(b"b").unwrap();
    assert_eq!(read(&near), b'b');
    assert!(has_nothing(&far));
    proxy.set(Mode::Pass);
    assert_eq!(read(&far), b'a');
}

#[test]
fn silence_holds_both_directions_until_it_ends() {
    let (proxy, mut near, mut far) = connected();
    proxy.set(Mode::Silence);
    near.write_all(b"a").unwrap();
    far.write_all(b"b").unwrap();
    assert!(has_nothing(&near) && has_nothing(&far));
    proxy.set(Mode::Pass);
    assert_eq!((read(&far), read(&near)), (b'a', b'b'));
}

#[test]
fn a_reset_ends_connections_at_both_ends() {
    let (proxy, mut near, mut far) = connected();
    proxy.set(Mode::Reset);
    for end in [&mut near, &mut far] {
        let ended = end.read(&mut [0]);
        assert!(ended.is_err_and(|e| e.kind() == ErrorKind::ConnectionReset));
    }
}
