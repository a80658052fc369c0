//! Rows of results: one JSON object a line, on standard output and in the file that was asked for.

use super::manager_process::ProcessError;
use serde::Serialize;
use std::fs::File;
use std::io::Write;
use std::path::Path;

/// Why a scale test could not be played, or found something that must not be.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ScaleError {
    /// A row, a socket or a file could not be read or written.
    #[error("input or output: {0}")]
    Io(#[from] std::io::Error),
    /// A row is not JSON.
    #[error("row: {0}")]
    Json(#[from] serde_json::Error),
    /// A process under test could not be started, controlled or measured.
    #[error(transparent)]
    Process(#[from] ProcessError),
    /// What the test relies on does not hold.
    #[error("{0}")]
    CheckFailed(String),
}

/// What a row tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Kind {
    /// A figure that was measured.
    Measured,
    /// The line fitted on all sizes but the largest.
    Fit,
    /// What that line says of the largest size, written before it is played.
    Prediction,
    /// The prediction held against the measurement.
    Error,
    /// A size that is not played, and why.
    LeftOut,
}

/// What a row is about.
#[derive(Clone, Copy, Debug, Serialize)]
pub(crate) struct Size {
    test: &'static str,
    part: &'static str,
    kind: Kind,
    /// Listed engines.
    pub listed: usize,
    /// Managers that are played, or that the settings name where one alone is.
    managers: usize,
}

impl Size {
    /// Of a part that is measured.
    pub(crate) fn measured(
        test: &'static str,
        part: &'static str,
        listed: usize,
        managers: usize,
    ) -> Size {
        Size {
            test,
            part,
            kind: Kind::Measured,
            listed,
            managers,
        }
    }

    /// Of a part that is left out at this size.
    pub(crate) fn left_out(
        test: &'static str,
        part: &'static str,
        listed: usize,
        managers: usize,
    ) -> Size {
        Size {
            kind: Kind::LeftOut,
            ..Size::measured(test, part, listed, managers)
        }
    }
}

/// A size that a test leaves out.
#[derive(Debug, Serialize)]
pub(crate) struct LeftOut<'a> {
    /// Which.
    #[serde(flatten)]
    pub size: Size,
    /// Why.
    pub why: &'a str,
}

/// Where rows go.
pub(crate) struct Output {
    file: Option<File>,
    lines: Vec<String>,
}

impl Output {
    /// Standard output, and this file anew where one is named.
    pub(crate) fn new(path: Option<&Path>) -> Result<Output, ScaleError> {
        let file = path.map(File::create).transpose()?;
        Ok(Output {
            file,
            lines: Vec::new(),
        })
    }

    /// Writes one row at once, so that a run that is cut off leaves what it measured.
    pub(crate) fn row(&mut self, row: &impl Serialize) -> Result<(), ScaleError> {
        let line = serde_json::to_string(row)?;
        let mut standard = std::io::stdout().lock();
        writeln!(standard, "{line}")?;
        standard.flush()?;
        if let Some(file) = &mut self.file {
            writeln!(file, "{line}")?;
        }
        self.lines.push(line);
        Ok(())
    }

    /// The rows written so far.
    #[allow(
        dead_code,
        reason = "called by tests/scale.rs, which includes this module"
    )]
    pub(crate) fn lines(&self) -> &[String] {
        &self.lines
    }
}

/// A figure rounded to three decimals, as no clock here tells more.
pub(crate) fn rounded(figure: f64) -> f64 {
    (figure * 1000.0).round() / 1000.0
}
