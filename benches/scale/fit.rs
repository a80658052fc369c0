//! Least-squares line fit, and the prediction of a figure at the largest size from the smaller
//! ones.

use super::row::{Kind, Output, ScaleError, rounded};
use serde::Serialize;

/// One measured point: a size and the figure at that size.
pub(crate) type Point = (f64, f64);

/// A straight line fitted to measured points.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct LinearFit {
    /// The figure at size 0.
    pub intercept: f64,
    /// Increase of the figure per unit of size.
    pub slope: f64,
}

impl LinearFit {
    /// The least-squares line; `None` if the points have fewer than two different sizes.
    pub(crate) fn through(points: &[Point]) -> Option<LinearFit> {
        let count = points.len() as f64;
        let mean_size = points.iter().map(|(size, _)| size).sum::<f64>() / count;
        let mean_figure = points.iter().map(|(_, figure)| figure).sum::<f64>() / count;
        let squared_deviations: f64 = points
            .iter()
            .map(|(size, _)| (size - mean_size).powi(2))
            .sum();
        let deviation_products: f64 = points
            .iter()
            .map(|(size, figure)| (size - mean_size) * (figure - mean_figure))
            .sum();
        let slope = (points.len() >= 2 && squared_deviations > 0.0)
            .then(|| deviation_products / squared_deviations)?;
        Some(LinearFit {
            intercept: mean_figure - slope * mean_size,
            slope,
        })
    }

    /// The value of the line at a size.
    pub(crate) fn value_at(&self, size: f64) -> f64 {
        self.intercept + self.slope * size
    }
}

/// A figure of a test, and the size that it depends on.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub(crate) struct Figure {
    /// The test's name.
    pub test: &'static str,
    /// The figure's column in the result rows.
    pub figure: &'static str,
    /// The size's column in the result rows.
    pub over: &'static str,
}

/// A predicted figure, to be compared with its measurement.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub(crate) struct Prediction {
    #[serde(flatten)]
    figure: Figure,
    size: f64,
    predicted: f64,
}

#[derive(Serialize)]
struct FitRow {
    kind: Kind,
    #[serde(flatten)]
    figure: Figure,
    points: usize,
    slope: f64,
    intercept: f64,
}

#[derive(Serialize)]
struct PredictionRow {
    kind: Kind,
    #[serde(flatten)]
    prediction: Prediction,
}

#[derive(Serialize)]
struct ErrorRow {
    kind: Kind,
    #[serde(flatten)]
    prediction: Prediction,
    measured: f64,
    /// Error in percent of the measured figure; positive if the prediction is too high.
    error_percent: f64,
}

impl Prediction {
    /// Fits a line to the points of the smaller sizes, and writes a row with that line and a row
    /// with the prediction for the largest size.
    pub(crate) fn write(
        output: &mut Output,
        figure: Figure,
        points: &[Point],
        size: f64,
    ) -> Result<Prediction, ScaleError> {
        let no_line = || {
            ScaleError::CheckFailed(format!(
                "cannot fit a line through the points of {figure:?}"
            ))
        };
        let line = LinearFit::through(points).ok_or_else(no_line)?;
        let (slope, intercept) = (line.slope, rounded(line.intercept));
        output.row(&FitRow {
            kind: Kind::Fit,
            figure,
            points: points.len(),
            slope,
            intercept,
        })?;
        let prediction = Prediction {
            figure,
            size,
            predicted: rounded(line.value_at(size)),
        };
        output.row(&PredictionRow {
            kind: Kind::Prediction,
            prediction,
        })?;
        Ok(prediction)
    }

    /// Writes a row with the prediction, the measurement and the error of the prediction.
    pub(crate) fn write_error(&self, output: &mut Output, measured: f64) -> Result<(), ScaleError> {
        let error_percent = rounded((self.predicted - measured) / measured * 100.0);
        output.row(&ErrorRow {
            kind: Kind::Error,
            prediction: *self,
            measured,
            error_percent,
        })
    }
}
