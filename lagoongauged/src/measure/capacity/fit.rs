//! Straight lines through measured points.

use serde::Serialize;

/// A line `fixed + slope * size`, with the largest distance of a point from it.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Fit {
    /// Growth per unit of size.
    pub slope: f64,
    /// Part that does not depend on the size.
    pub fixed: f64,
    /// Largest distance of a point from the line, as a share of the largest value.
    pub error: f64,
}

impl Fit {
    /// Fits a line by least squares; needs two different sizes.
    pub fn new(points: &[(f64, f64)]) -> Self {
        let count = points.len() as f64;
        let mean_x = points.iter().map(|point| point.0).sum::<f64>() / count;
        let mean_y = points.iter().map(|point| point.1).sum::<f64>() / count;
        let spread: f64 = points.iter().map(|point| (point.0 - mean_x).powi(2)).sum();
        let common: f64 = points.iter().map(|point| (point.0 - mean_x) * (point.1 - mean_y)).sum();
        let slope = if spread > 0.0 { common / spread } else { 0.0 };
        let fixed = mean_y - slope * mean_x;
        let largest = points.iter().map(|point| point.1.abs()).fold(0.0, f64::max);
        let distance = points
            .iter()
            .map(|point| (point.1 - fixed - slope * point.0).abs())
            .fold(0.0, f64::max);
        let error = if largest > 0.0 { distance / largest } else { 0.0 };
        Self { slope, fixed, error }
    }

    /// Returns the line's value at a size.
    pub fn at(&self, size: f64) -> f64 {
        self.fixed + self.slope * size
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn finds_the_line_that_points_lie_on() {
        let fit = Fit::new(&[(1.0, 5.0), (2.0, 7.0), (4.0, 11.0)]);
        assert!((fit.slope - 2.0).abs() < 1e-9);
        assert!((fit.fixed - 3.0).abs() < 1e-9);
        assert!(fit.error < 1e-9);
        assert!((fit.at(10.0) - 23.0).abs() < 1e-9);
    }

    #[test]
    fn tells_how_far_a_point_lies_off() {
        let fit = Fit::new(&[(0.0, 0.0), (1.0, 2.0), (2.0, 0.0)]);
        assert!((fit.slope).abs() < 1e-9);
        assert!((fit.error - 2.0 / 3.0).abs() < 1e-9);
    }
}
