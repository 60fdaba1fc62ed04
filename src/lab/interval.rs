use serde::Serialize;

/// A mean of paired differences with its 95 % confidence interval.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Interval {
    /// The mean.
    pub mean: f64,
    /// Where the interval begins.
    pub from: f64,
    /// Where it ends.
    pub to: f64,
}

/// Student's t at 0.975 by degrees of freedom, from 1.
const T_975: [f64; 30] = [
    12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228, 2.201, 2.179, 2.160,
    2.145, 2.131, 2.120, 2.110, 2.101, 2.093, 2.086, 2.080, 2.074, 2.069, 2.064, 2.060, 2.056,
    2.052, 2.048, 2.045, 2.042,
];
/// Above: that of 30 degrees, a little wider than it has to be.
const T_975_ASYMPTOTIC: f64 = 2.042;

/// The mean of `b` less `a`, pair by pair.
///
/// The pairs play the same world, so what they share is no part of the interval. With less
/// than two pairs it is the mean alone.
pub fn paired(a: &[f64], b: &[f64]) -> Interval {
    let differences: Vec<f64> = a.iter().zip(b).map(|(a, b)| b - a).collect();
    let count = differences.len() as f64;
    let mean = mean(&differences);
    let squares: f64 = differences.iter().map(|d| (d - mean).powi(2)).sum();
    let half = match differences.len().checked_sub(2) {
        Some(place) => {
            let t = T_975.get(place).copied().unwrap_or(T_975_ASYMPTOTIC);
            t * (squares / (count - 1.0) / count).sqrt()
        }
        None => 0.0,
    };
    Interval {
        mean,
        from: mean - half,
        to: mean + half,
    }
}

/// The mean; 0 of nothing.
pub fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}
