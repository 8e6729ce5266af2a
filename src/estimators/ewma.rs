//! The exponentially weighted moving average of latencies (AQD, section 4), and the logistic function.

/// Moves an average towards `value` by `fraction` of the difference. An average without a value starts at `initial`.
pub fn update_ewma(average: &mut Option<f64>, initial: f64, fraction: f64, value: f64) {
    let before = average.unwrap_or(initial);
    *average = Some(before + fraction * (value - before));
}

/// The logistic function 1 / (1 + e⁻ˣ).
pub fn sigmoid(x: f64) -> f64 {
    1.0 / (1.0 + (-x).exp())
}
