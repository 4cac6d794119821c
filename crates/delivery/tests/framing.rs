//! Message framing: the same messages are decoded however the byte stream is split, and arbitrary
//! bytes give messages or an error.

use bolero::check;
use delivery::{
    delta::Update,
    stream::{ReceiveBuffer, encode},
};
use model::delivery::{Heartbeat, MAX_MESSAGE, ToControl};
use rand::{Rng, RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Number of inputs. Each input is derived from its number alone, so every run is the same.
const INPUTS: u32 = 2_000;

fn heartbeat(index: u64) -> ToControl {
    ToControl::Heartbeat(Heartbeat {
        index,
        ..Heartbeat::default()
    })
}

#[test]
fn messages_are_decoded_however_the_bytes_are_split() {
    let check = check!().exhaustive().with_generator(0..INPUTS);
    check.for_each(|number| {
        let mut random = Pcg64Mcg::seed_from_u64((*number).into());
        let sent: Vec<ToControl> = (0..5).map(|_| heartbeat(random.random())).collect();
        let mut bytes = Vec::new();
        for message in &sent {
            bytes.extend_from_slice(&encode(message).expect("a small message"));
        }
        let mut buffer = ReceiveBuffer::default();
        let mut received = Vec::new();
        let mut rest = &bytes[..];
        while !rest.is_empty() {
            let (chunk, after) = rest.split_at(random.random_range(1..=rest.len()));
            buffer.push(chunk);
            rest = after;
            while let Some(message) = buffer.pop::<ToControl>().expect("what was sent") {
                received.push(message);
            }
        }
        assert_eq!(received, sent);
    });
}

#[test]
fn arbitrary_bytes_give_messages_or_an_error() {
    let check = check!().exhaustive().with_generator(0..INPUTS);
    check.for_each(|number| {
        let mut random = Pcg64Mcg::seed_from_u64((*number).into());
        let mut bytes = vec![0; random.random_range(0..100)];
        random.fill_bytes(&mut bytes);
        // Zeroing the high bytes keeps the length small, so that the body is decoded as well.
        if let Some(head) = bytes.get_mut(..3) {
            head.fill(0);
        }
        let mut buffer = ReceiveBuffer::default();
        buffer.push(&bytes);
        while let Ok(Some(_)) = buffer.pop::<Update>() {}
    });
}

#[test]
fn a_message_with_an_excessive_length_field_is_refused_before_its_body_arrives() {
    let mut buffer = ReceiveBuffer::default();
    let length = u32::try_from(MAX_MESSAGE + 1).expect("a length");
    buffer.push(&length.to_be_bytes());
    assert!(buffer.pop::<Update>().is_err());
}
