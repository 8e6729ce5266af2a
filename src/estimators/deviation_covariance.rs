//! The covariance of the balance score's deviations (AQD, section 4).

use std::collections::VecDeque;

/// The last deviations of the balance score, with running sums of them and of their products.
#[derive(Default)]
pub struct DeviationCovariance {
    last: VecDeque<[f64; 2]>,
    /// Sums of x, y, x², xy and y².
    sums: [f64; 5],
}

impl DeviationCovariance {
    /// Adds a deviation and drops the oldest one past `max_count`.
    pub fn push(&mut self, deviation: [f64; 2], max_count: usize) {
        self.add(deviation, 1.0);
        self.last.push_back(deviation);
        if self.last.len() > max_count
            && let Some(oldest) = self.last.pop_front()
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
        self.sums.map(|sum| sum / self.last.len().max(1) as f64)
    }

    /// The mean deviation.
    pub fn mean(&self) -> [f64; 2] {
        let [x, y, ..] = self.means();
        [x, y]
    }

    /// The squared Mahalanobis length eᵀΣ⁻¹e, Σ the covariance with `ridge` on its diagonal.
    pub fn squared_length(&self, e: [f64; 2], ridge: f64) -> f64 {
        let [x, y, xx, xy, yy] = self.means();
        let (a, b, d) = (xx - x * x + ridge, xy - x * y, yy - y * y + ridge);
        (d * e[0] * e[0] - 2.0 * b * e[0] * e[1] + a * e[1] * e[1]) / (a * d - b * b)
    }
}
