//! Guards against quantiles and medians taken from the wrong position of the distribution.

use super::{Quantiles, median};

#[test]
fn quantiles_of_known_values() {
    let quantiles = Quantiles::of((1..=1_000).rev());
    assert!(quantiles.p50_us.abs_diff(500) <= 1, "{quantiles:?}");
    assert!(quantiles.p95_us.abs_diff(950) <= 1, "{quantiles:?}");
    assert!(quantiles.p99_us.abs_diff(990) <= 1, "{quantiles:?}");
    assert_eq!((quantiles.count, quantiles.max_us), (1_000, 1_000));
    assert_eq!(Quantiles::of([]), Quantiles::default());
}

#[test]
fn median_of_even_and_odd_numbers_of_values() {
    assert_eq!(median(&[]), 0.0);
    assert_eq!(median(&[3.0, 1.0, 2.0]), 2.0);
    assert_eq!(median(&[4.0, 1.0, 2.0, 3.0]), 2.5);
}
