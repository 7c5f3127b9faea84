//! Guards against batch times and link delays that differ on average from the configured ones.

use super::Pacer;

/// Returns the total time of `count` waits of `wait_us` with a timer that rounds up to one millisecond and
/// then fires `late_us` late.
fn total_us(wait_us: u64, late_us: u64, count: u64) -> u64 {
    let mut pacer = Pacer::default();
    let mut total_us = 0;
    for _ in 0..count {
        let planned_us = pacer.plan(wait_us);
        if planned_us > 0 {
            let elapsed_us = planned_us.div_ceil(1_000) * 1_000 + late_us;
            pacer.record_elapsed(planned_us, elapsed_us);
            total_us += elapsed_us;
        }
    }
    total_us
}

#[test]
fn short_waits_take_configured_time_on_average() {
    for (wait_us, late_us) in [(50, 0), (200, 300), (900, 900), (1_000, 1_000), (3_300, 700)] {
        let expected_us = wait_us * 10_000;
        let difference_us = total_us(wait_us, late_us, 10_000).abs_diff(expected_us);
        assert!(
            difference_us <= 6_000,
            "wait {wait_us} us, late by {late_us} us: total is {difference_us} us off {expected_us} us"
        );
    }
}

#[test]
fn oversleep_credit_is_limited_after_process_stop() {
    let mut pacer = Pacer::default();
    let planned_us = pacer.plan(1_000);
    pacer.record_elapsed(planned_us, 60_000_000);
    let skipped = (0..100).take_while(|_| pacer.plan(1_000) == 0).count();
    assert_eq!(skipped, 5, "expected the credit of 5 ms to skip 5 waits of 1 ms");
}
