//! Guards against a soak run that its seed does not reproduce, or whose faults leave out a kind.

use super::random_faults;
use crate::faults::FaultKind;

#[test]
fn a_seed_repeats_the_faults() {
    assert_eq!(random_faults(1, 60_000), random_faults(1, 60_000));
    assert_ne!(random_faults(1, 60_000), random_faults(2, 60_000));
    let printed: Vec<String> = random_faults(1, 30_000).iter().map(ToString::to_string).collect();
    insta::assert_debug_snapshot!(printed);
}

#[test]
fn every_kind_occurs_and_only_reversible_faults_have_a_duration() {
    let faults = random_faults(3, 600_000);
    for kind in FaultKind::ALL {
        assert!(faults.iter().any(|fault| fault.kind == kind), "{kind:?} never occurs in 600 s of faults");
    }
    assert!(faults.iter().all(|fault| fault.lasts_ms.is_some() == fault.kind.is_reversible()));
    assert!(faults.is_sorted_by_key(|fault| fault.at_ms));
    assert!(faults.iter().any(|fault| fault.count == 2));
}
