//! Guards against a patch that resets faults it does not contain, a misspelt fault that is ignored, and a
//! counter that wraps around below zero.

use super::{faults, take_one};

faults! {
    /// Faults for the tests.
    Sample, SamplePatch {
        /// A switch.
        freeze: bool = false,
        /// A counter.
        drop_next: u32 = 3,
    }
}

#[test]
fn patch_changes_only_its_own_fields_and_rejects_unknown_ones() {
    let mut faults = Sample::default();
    faults.merge(serde_json::from_str(r#"{"freeze":true}"#).expect("the patch is valid"));
    insta::assert_debug_snapshot!(faults, @r"
    Sample {
        freeze: true,
        drop_next: 3,
    }
    ");
    let error =
        serde_json::from_str::<SamplePatch>(r#"{"freez":true}"#).expect_err("the unknown field is rejected");
    insta::assert_snapshot!(error, @"unknown field `freez`, expected `freeze` or `drop_next` at line 1 column 8");
}

#[test]
fn counter_of_remaining_faults_stops_at_zero() {
    let mut remaining = 1;
    assert!(take_one(&mut remaining));
    assert!(!take_one(&mut remaining));
    assert_eq!(remaining, 0);
}
