//! Guards against reading the wrong field of a file in `/proc`, for example after a process name with spaces.

use super::{MachineSample, parse_machine, parse_process};

#[test]
fn a_process_name_with_spaces_does_not_shift_the_fields() {
    let stat = "17 (a (b) c) S 1 17 17 0 -1 4194560 500 0 0 0 70 30 0 0 20 0 9 0 100 1000 200";
    let status = "Name:\ta\nVmPeak:\t  9000 kB\nVmRSS:\t  2048 kB\n";
    insta::assert_debug_snapshot!(parse_process(stat, status));
    assert_eq!(parse_process("17 (a) S", status), None);
}

#[test]
fn io_wait_counts_as_idle_and_guest_time_counts_once() {
    let earlier = MachineSample { total: 0, idle: 0 };
    let sample = parse_machine("cpu  10 0 10 60 20 0 0 0 5 0\ncpu0 1 1 1 1\n")
        .expect("the line of all processors parses");
    insta::assert_debug_snapshot!((sample, sample.busy_since(&earlier)));
}
