//! When the process counts as having stood still.

use std::time::Duration;

use daemon::stall::delay;

#[test]
fn a_look_that_is_held_up_for_long_is_told_of() {
    let ms = Duration::from_millis;
    assert_eq!(delay(ms(1_000)), None);
    assert_eq!(delay(ms(1_250)), None);
    assert_eq!(delay(ms(900)), None);
    assert_eq!(delay(ms(3_500)), Some(ms(2_500)));
}
