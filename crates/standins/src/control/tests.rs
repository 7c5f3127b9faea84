//! Guards against a patch that resets faults it does not name, and against a misspelt fault that is ignored.

use super::{faults, take_one};

faults! {
    /// Sample.
    Sample, SamplePatch {
        /// A switch.
        freeze: bool = false,
        /// A counter.
        drop_next: u32 = 3,
    }
}

#[test]
fn patches_change_only_what_they_name() {
    let mut faults = Sample::default();
    faults.merge(serde_json::from_str(r#"{"freeze":true}"#).expect("a patch"));
    insta::assert_debug_snapshot!(faults, @r"
    Sample {
        freeze: true,
        drop_next: 3,
    }
    ");
    let error = serde_json::from_str::<SamplePatch>(r#"{"freez":true}"#).expect_err("an unknown field");
    insta::assert_snapshot!(error, @"unknown field `freez`, expected `freeze` or `drop_next` at line 1 column 8");
}

#[test]
fn a_counter_ends_at_zero() {
    let mut remaining = 1;
    assert!(take_one(&mut remaining));
    assert!(!take_one(&mut remaining));
    assert_eq!(remaining, 0);
}
