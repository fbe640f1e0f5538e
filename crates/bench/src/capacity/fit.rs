//! Linear least-squares fits.

use serde::Serialize;

/// A line fitted to points.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Fit {
    /// The value at size 0.
    pub intercept: f64,
    pub slope: f64,
    /// The standard error of the slope.
    pub slope_error: f64,
    pub r_squared: f64,
}

impl Fit {
    /// The least-squares line of at least three points.
    pub fn of(points: &[(f64, f64)]) -> Self {
        let count = points.len() as f64;
        let mean_size = points.iter().map(|(size, _)| size).sum::<f64>() / count;
        let mean_value = points.iter().map(|(_, value)| value).sum::<f64>() / count;
        let square_sum: f64 = points.iter().map(|(size, _)| (size - mean_size).powi(2)).sum();
        let cross_sum: f64 =
            points.iter().map(|(size, value)| (size - mean_size) * (value - mean_value)).sum();
        let slope = cross_sum / square_sum;
        let intercept = mean_value - slope * mean_size;
        let line = Self { intercept, slope, slope_error: 0.0, r_squared: 1.0 };
        let residual: f64 = points.iter().map(|(size, value)| (value - line.at(*size)).powi(2)).sum();
        let total: f64 = points.iter().map(|(_, value)| (value - mean_value).powi(2)).sum();
        let slope_error = (residual / (count - 2.0) / square_sum).sqrt();
        let r_squared = if total > 0.0 { 1.0 - residual / total } else { 1.0 };
        Self { slope_error, r_squared, ..line }
    }

    /// The line's value at `size`.
    pub fn at(&self, size: f64) -> f64 {
        self.intercept + self.slope * size
    }
}
