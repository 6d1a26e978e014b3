//! Least-squares fits of straight lines to measured points.

use serde::Serialize;

/// A line `intercept + slope * size`, with the largest deviation of a point from it.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Fit {
    /// Growth per unit of size.
    pub slope: f64,
    /// Value at size zero.
    #[serde(rename = "fixed")]
    pub intercept: f64,
    /// Largest deviation of a point from the line, as a fraction of the largest absolute value.
    #[serde(rename = "error")]
    pub max_error: f64,
}

impl Fit {
    /// Fits a line by least squares; the slope is zero unless two sizes differ.
    pub fn new(points: &[(f64, f64)]) -> Self {
        let count = points.len() as f64;
        let mean_x = points.iter().map(|point| point.0).sum::<f64>() / count;
        let mean_y = points.iter().map(|point| point.1).sum::<f64>() / count;
        let sum_xx: f64 = points.iter().map(|point| (point.0 - mean_x).powi(2)).sum();
        let sum_xy: f64 = points.iter().map(|point| (point.0 - mean_x) * (point.1 - mean_y)).sum();
        let slope = if sum_xx > 0.0 { sum_xy / sum_xx } else { 0.0 };
        let intercept = mean_y - slope * mean_x;
        let largest = points.iter().map(|point| point.1.abs()).fold(0.0, f64::max);
        let distance = points
            .iter()
            .map(|point| (point.1 - intercept - slope * point.0).abs())
            .fold(0.0, f64::max);
        let max_error = if largest > 0.0 { distance / largest } else { 0.0 };
        Self { slope, intercept, max_error }
    }

    /// Returns the value of the line at a size.
    pub fn value_at(&self, size: f64) -> f64 {
        self.intercept + self.slope * size
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn fits_collinear_points_exactly() {
        let fit = Fit::new(&[(1.0, 5.0), (2.0, 7.0), (4.0, 11.0)]);
        assert!((fit.slope - 2.0).abs() < 1e-9);
        assert!((fit.intercept - 3.0).abs() < 1e-9);
        assert!(fit.max_error < 1e-9);
        assert!((fit.value_at(10.0) - 23.0).abs() < 1e-9);
    }

    #[test]
    fn reports_the_largest_relative_error() {
        let fit = Fit::new(&[(0.0, 0.0), (1.0, 2.0), (2.0, 0.0)]);
        assert!((fit.slope).abs() < 1e-9);
        assert!((fit.max_error - 2.0 / 3.0).abs() < 1e-9);
    }
}
