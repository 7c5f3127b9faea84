//! Guards against a fault option that is parsed as a different fault.

use super::FaultPlan;

#[test]
fn faults_are_read_and_printed() {
    let texts = [
        "kill@10",
        "kill@10x2:engine-1-0",
        "freeze@2.5x1+3",
        "zone-loss@4:zone-2",
        "zone-loss@4+1",
        "slow",
        "melt@3",
        "slow@soon",
        "slow@-1",
    ];
    let read = texts.map(|text| match text.parse::<FaultPlan>() {
        Ok(plan) => format!("{text} -> {plan}"),
        Err(error) => format!("{text} -> {error}"),
    });
    insta::assert_debug_snapshot!(read);
}
