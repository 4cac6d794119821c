//! Tests which answers count as refusals by their size.

use std::net::SocketAddrV4;

use policy::token::answer_size::AnswerSizes;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Size of the refusal of a full upstream, in bytes.
const REFUSAL: u32 = 180;

fn route() -> SocketAddrV4 {
    SocketAddrV4::new([198, 18, 0, 1].into(), 443)
}

/// Returns sizes that differ widely: from 600 to 9,600 bytes, most of them small.
fn wide_sizes(count: usize) -> Vec<u32> {
    let mut random = Pcg64Mcg::seed_from_u64(20_261_204);
    let draw = |_| 600 * 2_u32.pow(random.random_range(0..5)) + random.random_range(0..200);
    (0..count).map(draw).collect()
}

/// Guards against ordinary small answers that count as refusals, on a route whose answers differ
/// widely in size; and against refusals that don't count there.
#[test]
fn small_answers_are_no_refusals_on_a_route_with_wide_sizes() {
    let mut sizes = AnswerSizes::default();
    let mut false_refusals = 0;
    for bytes in wide_sizes(2_000) {
        false_refusals += u32::from(sizes.is_refusal(route(), bytes) == Some(true));
        sizes.record(route(), bytes);
    }
    assert!(false_refusals < 20, "{false_refusals}");
    assert_eq!(sizes.is_refusal(route(), REFUSAL), Some(true));
}

/// Guards against a long shortage that makes refusals the usual answer: some of them arrive so fast
/// that they are recorded like ordinary answers.
#[test]
fn recorded_refusals_do_not_become_usual() {
    let mut sizes = AnswerSizes::default();
    for bytes in wide_sizes(200) {
        sizes.record(route(), bytes);
    }
    for bytes in wide_sizes(400) {
        sizes.record(route(), bytes);
        sizes.record(route(), REFUSAL);
    }
    assert_eq!(sizes.is_refusal(route(), REFUSAL), Some(true));
}

/// Guards against refusals that are seen before the sizes of a route are known.
#[test]
fn nothing_is_a_refusal_before_the_sizes_are_known() {
    let mut sizes = AnswerSizes::default();
    for bytes in wide_sizes(7) {
        sizes.record(route(), bytes);
    }
    assert_eq!(sizes.is_refusal(route(), 1), None);
}
