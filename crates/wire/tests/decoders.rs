//! Each decoder returns a value or an error for any input and never panics, since a malformed
//! packet must not stop a VM. Encoded values decode to the same value.

use std::net::SocketAddr;

use bolero::check;
use model::delivery::{ToControl, ToEntry};
use wire::{
    blob::Blob,
    coap::{self, Method, Received, Request, Response},
    frame,
    gue::{self, Packet, Segment},
};

const CALLER: &str = "10.0.0.1:5000";
const SERVICE: &str = "10.9.0.1:443";

fn packet(segment: Segment) -> Vec<u8> {
    let (caller, service) = (address(CALLER), address(SERVICE));
    gue::build(caller, service, segment, 7, b"stock 12")
}

fn address(text: &str) -> SocketAddr {
    text.parse().expect("an address")
}

fn request() -> Request {
    Request {
        message_id: 300,
        confirmable: true,
        token: vec![1, 2, 3],
        method: Method::Post,
        host: "booking".to_owned(),
        port: Some(5_683),
        path: "reservations/7".to_owned(),
        deadline_ms: Some(1_500),
        payload: Blob::from(b"40 lanterns".to_vec()),
    }
}

#[test]
fn parsing_any_bytes_as_a_packet_does_not_panic() {
    check!().for_each(|bytes: &[u8]| {
        let _ = Packet::parse(bytes);
    });
}

#[test]
fn parsing_a_corrupted_packet_does_not_panic() {
    check!().with_type::<(u8, u8)>().for_each(|(at, value)| {
        let mut bytes = packet(Segment::Later);
        let at = usize::from(*at) % bytes.len();
        bytes[at] = *value;
        let _ = Packet::parse(&bytes);
        let _ = Packet::parse(&bytes[..at]);
    });
}

#[test]
fn parsing_any_bytes_as_coap_does_not_panic() {
    check!().for_each(|bytes: &[u8]| drop(coap::parse(bytes)));
}

#[test]
fn parsing_a_corrupted_request_does_not_panic() {
    let valid = coap::request(&request()).expect("a valid request");
    check!().with_type::<(u8, u8)>().for_each(|(at, value)| {
        let mut bytes = valid.clone();
        let at = usize::from(*at) % bytes.len();
        bytes[at] = *value;
        drop(coap::parse(&bytes));
        drop(coap::parse(&bytes[..at]));
    });
}

#[test]
fn decoding_any_bytes_as_a_frame_does_not_panic() {
    check!().for_each(|bytes: &[u8]| {
        drop(frame::decode::<ToControl>(0, bytes));
        drop(frame::decode_body::<ToEntry, 65_536>(bytes));
        drop(frame::decode_body::<Blob, 65_536>(bytes));
    });
}

#[test]
fn built_segments_of_both_ip_versions_parse_to_the_same_values() {
    for (caller, service) in [
        (CALLER, SERVICE),
        ("[2001:db8::1]:5000", "[2001:db8::9]:443"),
    ] {
        for segment in [Segment::Open, Segment::Later, Segment::Close] {
            let bytes = gue::build(address(caller), address(service), segment, 7, b"x");
            let packet = Packet::parse(&bytes).expect("a valid packet");
            assert_eq!(packet.segment, segment);
            assert_eq!(packet.flow.caller, address(caller));
            assert_eq!(packet.flow.service, address(service));
            assert_eq!(gue::payload(&bytes), Some(&b"x"[..]));
        }
    }
}

#[test]
fn packets_without_tcp_are_rejected() {
    let mut bytes = packet(Segment::Open);
    // Byte 9 of the IPv4 header is the protocol; 17 is UDP.
    bytes[9] = 17;
    assert_eq!(Packet::parse(&bytes), Err(gue::Error::NotTcp));
    assert_eq!(Packet::parse(&[]), Err(gue::Error::NotIp));
}

#[test]
fn an_encoded_request_parses_to_the_same_request() {
    let bytes = coap::request(&request()).expect("a valid request");
    assert_eq!(coap::parse(&bytes), Ok(Received::Request(request())));
}

#[test]
fn an_encoded_response_parses_to_the_same_response() {
    let response = Response {
        token: vec![9; 8],
        code: coap::UNAVAILABLE,
        max_age_s: Some(3),
        payload: Blob::from(b"not run".to_vec()),
    };
    let bytes = coap::response(&response, coap::Kind::Acknowledges(300)).expect("a valid response");
    let Ok(Received::Response {
        response: read,
        message_id,
        confirmable,
    }) = coap::parse(&bytes)
    else {
        panic!("no response");
    };
    assert_eq!((read, message_id, confirmable), (response, 300, false));
}

#[test]
fn a_reset_carries_the_message_id_of_the_request() {
    let bytes = coap::reset(300).expect("a valid reset");
    assert_eq!(coap::parse(&bytes), Ok(Received::Reset(300)));
}

#[test]
fn a_request_without_uri_host_is_rejected() {
    let bytes = coap::request(&Request {
        host: String::new(),
        ..request()
    });
    let bytes = bytes.expect("a valid message");
    // An empty Uri-Host names no service, but the option is present, so the parser accepts it.
    assert!(matches!(coap::parse(&bytes), Ok(Received::Request(_))));
    let without = [0x40, 0x02, 0x01, 0x2C];
    assert_eq!(coap::parse(&without), Err(coap::Error::NoHost));
}

#[test]
fn frames_of_other_clusters_and_versions_are_rejected() {
    let bytes = frame::encode(7, &ToControl::Leave).expect("a valid frame");
    assert_eq!(frame::decode(7, &bytes), Ok(ToControl::Leave));
    assert_eq!(frame::decode(0, &bytes), Ok(ToControl::Leave));
    assert_eq!(
        frame::decode::<ToControl>(8, &bytes),
        Err(frame::Error::Cluster)
    );
    let mut other = bytes.clone();
    other[1] = 2;
    assert_eq!(
        frame::decode::<ToControl>(7, &other),
        Err(frame::Error::Version(2))
    );
    let mut longer = bytes;
    longer.push(0);
    assert!(matches!(
        frame::decode::<ToControl>(7, &longer),
        Err(frame::Error::Body(_))
    ));
}

#[test]
fn separate_responses_carry_the_given_message_id() {
    let response = Response {
        token: vec![1],
        code: coap::CONTENT,
        max_age_s: None,
        payload: Blob::default(),
    };
    let ids = [1, 2].map(|id| {
        let bytes = coap::response(&response, coap::Kind::Own(id)).expect("a valid response");
        match coap::parse(&bytes) {
            Ok(Received::Response { message_id, .. }) => message_id,
            other => panic!("no response: {other:?}"),
        }
    });
    assert_eq!(ids, [1, 2]);
}
