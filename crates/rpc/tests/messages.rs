//! Messages of operators and upstreams: decoding malformed bytes returns a value or an error and
//! never panics, and the error for an invalid field names the field.

use bolero::check;
use model::{announce::Announcement, config::Upstream, name::Name};
use ntex::util::{BytePages, Bytes};
use ntex_grpc::Message;
use rand::{Rng, RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rpc::{
    convert::{self, OperatorRequest},
    schema::{self, apply_request::Command},
};

/// Number of inputs of each decoder. Each input depends only on its number, so that every run uses
/// the same inputs.
const INPUTS: u32 = 4_000;

fn request(command: Command) -> schema::ApplyRequest {
    schema::ApplyRequest {
        operator: "anna".into(),
        request_id: "1".into(),
        expected_version: Some(7),
        command: Some(command),
    }
}

fn put_service(address: &str) -> Command {
    Command::PutService(schema::PutService {
        name: "booking".into(),
        address: address.into(),
        deadline_ms: 500,
        idle_ms: 0,
    })
}

fn announcement() -> Announcement {
    Announcement {
        service: Name::new("booking").expect("a name"),
        upstream: Name::new("booking-1").expect("a name"),
        domain: Name::new("vejle").expect("a name"),
        flow_address: "10.1.0.1:9001".parse().expect("an address"),
        request_address: "[2001:db8::1]:9002".parse().expect("an address"),
        slots: 3,
        connections: 2_000,
        incarnation: 9,
        held_flows: 4,
        warmth_percent: 50,
        leaving: true,
    }
}

fn encode(message: &impl Message) -> Vec<u8> {
    let mut pages = BytePages::default();
    message.write(&mut pages);
    pages.freeze().to_vec()
}

/// Returns input `number`: random bytes, or `valid` with some bytes changed and then truncated.
fn input(number: u32, valid: &[u8]) -> Bytes {
    let mut random = Pcg64Mcg::seed_from_u64(number.into());
    if number.is_multiple_of(4) {
        let mut bytes = vec![0; random.random_range(0..200)];
        random.fill_bytes(&mut bytes);
        return bytes.into();
    }
    let mut bytes = valid.to_vec();
    for _ in 0..random.random_range(1..4) {
        let at = random.random_range(0..bytes.len());
        bytes[at] = random.random();
    }
    bytes.truncate(random.random_range(1..=bytes.len()));
    bytes.into()
}

#[test]
fn decoding_malformed_commands_does_not_panic() {
    let valid = encode(&request(put_service("10.9.0.1:443")));
    let check = check!().exhaustive().with_generator(0..INPUTS);
    check.for_each(|number| {
        if let Ok(request) = schema::ApplyRequest::read(&mut input(*number, &valid)) {
            drop(convert::entry(&request, |_, _| Err(String::new())));
        }
    });
}

#[test]
fn decoding_malformed_announcements_does_not_panic() {
    let valid = encode(&convert::announce_request(&announcement()));
    let check = check!().exhaustive().with_generator(0..INPUTS);
    check.for_each(|number| {
        if let Ok(request) = schema::AnnounceRequest::read(&mut input(*number, &valid)) {
            drop(convert::announcement(&request));
        }
    });
}

#[test]
fn decoding_malformed_responses_does_not_panic() {
    let change = schema::Change {
        missing: vec!["entry-1".into(), "entry-2".into()],
        ..schema::Change::default()
    };
    let valid = encode(&schema::GetChangeResponse {
        change: Some(change),
        ..schema::GetChangeResponse::default()
    });
    let check = check!().exhaustive().with_generator(0..INPUTS);
    check.for_each(|number| {
        let bytes = input(*number, &valid);
        drop(schema::GetChangeResponse::read(&mut bytes.clone()));
        drop(schema::ApplyResponse::read(&mut bytes.clone()));
        drop(schema::StatusResponse::read(&mut bytes.clone()));
        drop(schema::ListUpstreamsResponse::read(&mut bytes.clone()));
    });
}

#[test]
fn an_encoded_announcement_decodes_to_the_same_announcement() {
    let bytes = encode(&convert::announce_request(&announcement()));
    let read = schema::AnnounceRequest::read(&mut Bytes::from(bytes));
    let read = read.expect("a valid message");
    assert_eq!(convert::announcement(&read), Ok(announcement()));
}

#[test]
fn the_error_for_an_announcement_names_the_invalid_field() {
    type Edit = fn(&mut schema::AnnounceRequest);
    let edits: [(&str, Edit); 8] = [
        ("service", |a| a.service = "Booking".into()),
        ("upstream", |a| a.upstream = "".into()),
        ("domain", |a| a.domain = "-vejle".into()),
        ("flow_address", |a| a.flow_address = "vejle:1".into()),
        ("request_address", |a| a.request_address = "10.0.0.1".into()),
        ("slots", |a| a.slots = 70_000),
        ("connections", |a| a.connections = 0),
        ("warmth_percent", |a| a.warmth_percent = 101),
    ];
    for (field, edit) in edits {
        let mut message = convert::announce_request(&announcement());
        edit(&mut message);
        let invalid = convert::announcement(&message).expect_err(field);
        assert_eq!(invalid.field, field);
    }
}

#[test]
fn commands_keep_operator_request_id_and_expected_version() {
    let asked = convert::entry(&request(put_service("10.9.0.1:443")), |_, _| {
        Err(String::new())
    });
    let Ok(OperatorRequest::Command(entry)) = asked else {
        panic!("no command: {asked:?}");
    };
    assert_eq!((&*entry.operator, &*entry.request), ("anna", "1"));
    assert_eq!(entry.expected, Some(7));
}

#[test]
fn only_announced_upstreams_are_admitted() {
    let admit = request(Command::Admit(schema::Admit {
        service: "booking".into(),
        upstream: "booking-1".into(),
    }));
    let known = |_: &Name, _: &Name| -> Result<Upstream, String> { Ok(announcement().admitted()) };
    assert!(convert::entry(&admit, known).is_ok());
    let unknown = convert::entry(&admit, |_, _| Err("why".to_owned()));
    let invalid = unknown.expect_err("nothing was announced");
    assert_eq!((invalid.field, &*invalid.reason), ("upstream", "why"));
}

#[test]
fn reserved_operator_names_and_empty_request_ids_are_rejected() {
    let mut wrong = request(put_service("10.9.0.1:443"));
    wrong.operator = model::command::SYSTEM.into();
    let invalid = convert::entry(&wrong, |_, _| Err(String::new()));
    assert_eq!(invalid.expect_err("reserved").field, "operator");
    wrong.operator = "anna".into();
    wrong.request_id = "".into();
    let invalid = convert::entry(&wrong, |_, _| Err(String::new()));
    assert_eq!(invalid.expect_err("empty").field, "request_id");
}
