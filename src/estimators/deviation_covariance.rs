//! The covariance of the balance score's deviations (AQD, section 4).

use std::collections::VecDeque;

/// The most recent deviations of the balance score, with running sums of them and of their products.
#[derive(Default)]
pub struct DeviationCovariance {
    recent: VecDeque<[f64; 2]>,
    /// Sums of x, y, x², xy and y².
    sums: [f64; 5],
}

impl DeviationCovariance {
    /// Adds a deviation and removes the oldest one if there are more than `max_count`.
    pub fn push(&mut self, deviation: [f64; 2], max_count: usize) {
        self.add(deviation, 1.0);
        self.recent.push_back(deviation);
        if self.recent.len() > max_count
            && let Some(oldest) = self.recent.pop_front()
        {
            self.add(oldest, -1.0);
        }
    }

    fn add(&mut self, [x, y]: [f64; 2], sign: f64) {
        for (sum, term) in self.sums.iter_mut().zip([x, y, x * x, x * y, y * y]) {
            *sum += sign * term;
        }
    }

    fn means(&self) -> [f64; 5] {
        self.sums.map(|sum| sum / self.recent.len().max(1) as f64)
    }

    /// The mean deviation.
    pub fn mean(&self) -> [f64; 2] {
        let [x, y, ..] = self.means();
        [x, y]
    }

    /// The squared Mahalanobis length eᵀΣ⁻¹e, where Σ is the covariance matrix with `ridge` added to its diagonal.
    pub fn squared_length(&self, e: [f64; 2], ridge: f64) -> f64 {
        let [x, y, xx, xy, yy] = self.means();
        // Σ = [[a, b], [b, d]]
        let (a, b, d) = (xx - x * x + ridge, xy - x * y, yy - y * y + ridge);
        (d * e[0] * e[0] - 2.0 * b * e[0] * e[1] + a * e[1] * e[1]) / (a * d - b * b)
    }
}
