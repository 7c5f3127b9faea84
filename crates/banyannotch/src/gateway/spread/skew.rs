//! Measure of uneven load.

/// Mean utilization below which the load counts as even, because a single request then makes a large difference.
const MIN_MEAN: f64 = 0.05;

/// Returns the utilization of the busiest engine as a multiple of the mean, or 1 if there is hardly any load.
pub fn skew(utilizations: impl IntoIterator<Item = f64>) -> f64 {
    let (mut count, mut sum, mut busiest) = (0.0, 0.0, 0.0_f64);
    for utilization in utilizations {
        count += 1.0;
        sum += utilization;
        busiest = busiest.max(utilization);
    }
    if sum < MIN_MEAN * count || count < 1.0 { 1.0 } else { busiest * count / sum }
}
