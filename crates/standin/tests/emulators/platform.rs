//! Tests of the emulated client and upstream of the platform. Guards against emulators whose sequence
//! numbers don't count the bytes that they send, so that entry VMs take answers for refusals.

use std::{
    net::{SocketAddr, SocketAddrV4, UdpSocket},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
        mpsc::{Receiver, channel},
    },
    thread,
    time::Duration,
};

use standin::platform::{
    client::{Client, ClientOutcome},
    upstream::{Profile, ResponseDelay, Upstream},
};

const NUMBER: u64 = 7;

/// Number of bytes of each answer.
const ANSWER_BYTES: u32 = 8;

/// Time after which the client has repeated a question once.
const SLOW_ANSWER: Duration = Duration::from_millis(300);

const DEADLINE: Duration = Duration::from_secs(2);

/// Position of the acknowledgement number in a packet.
const ACKNOWLEDGEMENT: std::ops::Range<usize> = 4..8;

fn any_port() -> SocketAddr {
    "127.0.0.1:0".parse().unwrap()
}

fn free_address() -> SocketAddr {
    let socket = UdpSocket::bind(any_port()).unwrap();
    socket.local_addr().unwrap()
}

/// Starts an entry VM that forwards each packet to `upstream`, and returns its address and the
/// acknowledgement numbers of the packets.
fn start_entry(upstream: SocketAddr, is_over: Arc<AtomicBool>) -> (SocketAddr, Receiver<u32>) {
    let socket = UdpSocket::bind(any_port()).unwrap();
    socket
        .set_read_timeout(Some(Duration::from_millis(20)))
        .unwrap();
    let address = socket.local_addr().unwrap();
    let (sender, acknowledgements) = channel();
    thread::spawn(move || {
        let mut buffer = [0; 2_048];
        while !is_over.load(Ordering::SeqCst) {
            let Ok((length, _)) = socket.recv_from(&mut buffer) else {
                continue;
            };
            let packet = &buffer[..length];
            let acknowledgement = packet[ACKNOWLEDGEMENT].try_into().unwrap();
            sender.send(u32::from_le_bytes(acknowledgement)).unwrap();
            let datagram = [&NUMBER.to_be_bytes(), packet].concat();
            socket.send_to(&datagram, upstream).unwrap();
        }
    });
    (address, acknowledgements)
}

#[test]
fn a_repeated_question_gets_the_same_bytes_again() {
    let address = free_address();
    let client_address = free_address();
    let client = Client::start(client_address).unwrap();
    let upstream = Upstream::start(Profile {
        number: NUMBER,
        service: "booking".to_owned(),
        domain: "north".to_owned(),
        address,
        announced: address,
        client_port: client_address.port(),
        controls: Vec::new(),
        clock_ms: 0,
    })
    .unwrap();
    let is_over = Arc::new(AtomicBool::new(false));
    let (entry, acknowledgements) = start_entry(address, Arc::clone(&is_over));
    let service: SocketAddrV4 = "198.18.0.1:443".parse().unwrap();
    let (mut flow, opened) = client.open(entry, service);
    assert_eq!(opened, ClientOutcome::Answer(0));
    // The opening packet acknowledges nothing.
    let opened_at = acknowledgements
        .recv()
        .and(acknowledgements.recv())
        .unwrap();
    for delay in [
        ResponseDelay::Immediate,
        ResponseDelay::Delayed(SLOW_ANSWER),
        ResponseDelay::Immediate,
        ResponseDelay::Immediate,
    ] {
        upstream.set_response_delay(delay);
        let got = client.ask(entry, &mut flow, DEADLINE);
        assert_eq!(got, ClientOutcome::Answer(NUMBER));
    }
    thread::sleep(Duration::from_millis(100));
    is_over.store(true, Ordering::SeqCst);
    let after = acknowledgements.iter();
    let mut seen: Vec<u32> = [opened_at].into_iter().chain(after).collect();
    seen.dedup();
    let all = (0..=4).map(|answers| opened_at + answers * ANSWER_BYTES);
    assert_eq!(seen, all.collect::<Vec<_>>());
}
