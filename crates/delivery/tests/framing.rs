//! Messages in a stream of bytes: however it is cut, the same messages come out, and any bytes
//! are messages or an error.

use bolero::check;
use delivery::{
    delta::Update,
    stream::{Unread, encode},
};
use model::delivery::{Heartbeat, MAX_MESSAGE, ToControl};
use rand::{Rng, RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Inputs. Each is made from its number alone, so that every run is the same.
const INPUTS: u32 = 2_000;

fn beat(index: u64) -> ToControl {
    ToControl::Heartbeat(Heartbeat {
        index,
        ..Heartbeat::default()
    })
}

#[test]
fn messages_come_out_whole_however_the_bytes_are_cut() {
    let check = check!().exhaustive().with_generator(0..INPUTS);
    check.for_each(|number| {
        let mut random = Pcg64Mcg::seed_from_u64((*number).into());
        let sent: Vec<ToControl> = (0..5).map(|_| beat(random.random())).collect();
        let mut bytes = Vec::new();
        for message in &sent {
            bytes.extend_from_slice(&encode(message).expect("a small message"));
        }
        let mut unread = Unread::default();
        let mut received = Vec::new();
        let mut rest = &bytes[..];
        while !rest.is_empty() {
            let (chunk, after) = rest.split_at(random.random_range(1..=rest.len()));
            unread.push(chunk);
            rest = after;
            while let Some(message) = unread.pop::<ToControl>().expect("what was sent") {
                received.push(message);
            }
        }
        assert_eq!(received, sent);
    });
}

#[test]
fn any_bytes_are_messages_or_an_error() {
    let check = check!().exhaustive().with_generator(0..INPUTS);
    check.for_each(|number| {
        let mut random = Pcg64Mcg::seed_from_u64((*number).into());
        let mut bytes = vec![0; random.random_range(0..100)];
        random.fill_bytes(&mut bytes);
        // A small length lets the body be looked at as well.
        if let Some(head) = bytes.get_mut(..3) {
            head.fill(0);
        }
        let mut unread = Unread::default();
        unread.push(&bytes);
        while let Ok(Some(_)) = unread.pop::<Update>() {}
    });
}

#[test]
fn a_message_that_claims_to_be_too_long_is_refused_before_it_is_read() {
    let mut unread = Unread::default();
    let length = u32::try_from(MAX_MESSAGE + 1).expect("a length");
    unread.push(&length.to_be_bytes());
    assert!(unread.pop::<Update>().is_err());
}
