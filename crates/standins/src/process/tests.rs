//! Guards against batches and links that are slower or faster on average than configured.

use super::Pacer;

/// Sums the waits that a timer with a resolution of one millisecond, late by `late_us`, makes of many short ones.
fn total_us(wait_us: u64, late_us: u64, count: u64) -> u64 {
    let mut pacer = Pacer::default();
    let mut total_us = 0;
    for _ in 0..count {
        let planned_us = pacer.plan(wait_us);
        if planned_us > 0 {
            let taken_us = planned_us.div_ceil(1_000) * 1_000 + late_us;
            pacer.settle(planned_us, taken_us);
            total_us += taken_us;
        }
    }
    total_us
}

#[test]
fn short_waits_are_right_on_average() {
    for (wait_us, late_us) in [(50, 0), (200, 300), (900, 900), (1_000, 1_000), (3_300, 700)] {
        let expected_us = wait_us * 10_000;
        let difference_us = total_us(wait_us, late_us, 10_000).abs_diff(expected_us);
        assert!(difference_us <= 6_000, "wait {wait_us} late {late_us}: off by {difference_us} us in all");
    }
}

#[test]
fn a_stopped_process_gets_no_burst() {
    let mut pacer = Pacer::default();
    let planned_us = pacer.plan(1_000);
    pacer.settle(planned_us, 60_000_000);
    let free = (0..100).take_while(|_| pacer.plan(1_000) == 0).count();
    assert_eq!(free, 5);
}
