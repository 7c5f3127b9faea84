//! Tests of the demand report.

use super::{DemandReport, SERVICE_LIMIT, ServiceDemand};

/// A peer with many services must not make datagrams grow without bound, and the busiest services are kept.
#[test]
fn a_report_keeps_the_services_with_the_most_requests() {
    let demand =
        |service: u64| ServiceDemand { service, requests: service as u32, ..ServiceDemand::default() };
    let report = DemandReport::new((0..40).map(demand).collect());
    assert_eq!(report.services().len(), SERVICE_LIMIT);
    assert_eq!((report.get(39).map(|demand| demand.requests), report.get(23)), (Some(39), None));
    let bytes = postcard::to_allocvec(&report).expect("it serializes").len();
    assert!(bytes <= SERVICE_LIMIT * 40, "{bytes} bytes");
}
