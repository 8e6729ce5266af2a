//! The linear posterior behind the Thompson draw of the speed score's residual (AQD, section 4).

use super::pcg32::Pcg32;

/// Number of features x and of coefficients θ.
const DIMENSIONS: usize = 3;

/// Lower bound of the squared diagonal entries of the Cholesky factor, which rounding could make zero or negative.
const MIN_PIVOT: f64 = 1e-12;

/// The posterior of the coefficients θ of a linear model: V = λI + Σ x·xᵀ and b = Σ x·target.
pub struct LinearPosterior {
    v: [[f64; DIMENSIONS]; DIMENSIONS],
    b: [f64; DIMENSIONS],
}

impl LinearPosterior {
    /// The posterior without observations: V = λI and b = 0.
    pub fn new(lambda: f64) -> LinearPosterior {
        let row = |i| [0, 1, 2].map(|j| if i == j { lambda } else { 0.0 });
        LinearPosterior { v: [0, 1, 2].map(row), b: [0.0; DIMENSIONS] }
    }

    /// Adds an observation: the value `target` for the features `x`.
    pub fn learn(&mut self, x: [f64; DIMENSIONS], target: f64) {
        for i in 0..DIMENSIONS {
            (0..DIMENSIONS).for_each(|j| self.v[i][j] += x[i] * x[j]);
            self.b[i] += x[i] * target;
        }
    }

    /// Draws θ̃ ~ N(V⁻¹b, σ²V⁻¹) with the Cholesky factorization V = L·Lᵀ: θ̃ = L⁻ᵀ(L⁻¹b + σε).
    pub fn draw(&self, sigma: f64, random: &mut Pcg32) -> [f64; DIMENSIONS] {
        let mut l = [[0.0; DIMENSIONS]; DIMENSIONS];
        let mut y = [0.0; DIMENSIONS];
        for i in 0..DIMENSIONS {
            for j in 0..=i {
                let rest = self.v[i][j] - (0..j).map(|k| l[i][k] * l[j][k]).sum::<f64>();
                l[i][j] = if i == j { rest.max(MIN_PIVOT).sqrt() } else { rest / l[j][j] };
            }
            y[i] = (self.b[i] - (0..i).map(|k| l[i][k] * y[k]).sum::<f64>()) / l[i][i];
        }
        let mut theta = y.map(|mean| mean + sigma * random.next_normal());
        for i in (0..DIMENSIONS).rev() {
            let rest = theta[i] - (i + 1..DIMENSIONS).map(|k| l[k][i] * theta[k]).sum::<f64>();
            theta[i] = rest / l[i][i];
        }
        theta
    }
}
