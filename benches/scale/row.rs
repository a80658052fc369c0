//! Result rows: one JSON object per line, on standard output and in the file given with `--out`.

use super::manager_process::ProcessError;
use serde::Serialize;
use std::fs::File;
use std::io::Write;
use std::path::Path;

/// Why a scale test could not run, or which of its checks failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ScaleError {
    /// Reading or writing a row, a socket or a file failed.
    #[error("I/O error: {0}")]
    Io(#[from] std::io::Error),
    /// A row could not be converted to or from JSON.
    #[error("cannot convert a row to or from JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// A process under test could not be started, controlled or measured.
    #[error(transparent)]
    Process(#[from] ProcessError),
    /// A condition that the test checks does not hold.
    #[error("{0}")]
    CheckFailed(String),
}

/// What a row contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Kind {
    /// Measured figures.
    Measured,
    /// The line fitted to the figures of all sizes but the largest.
    Fit,
    /// The value of that line at the largest size, written before that size is measured.
    Prediction,
    /// The difference between the prediction and the measurement.
    Error,
    /// A size that is not measured, with the reason.
    LeftOut,
}

/// The columns that identify a row: its test, part, kind and size.
#[derive(Clone, Copy, Debug, Serialize)]
pub(crate) struct Size {
    test: &'static str,
    part: &'static str,
    kind: Kind,
    /// Number of listed engines.
    pub listed: usize,
    /// Number of managers that run; if only one runs, the number given in the settings.
    managers: usize,
}

impl Size {
    /// The columns for a measured part.
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

    /// The columns for a part that is not measured at this size.
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

/// A row for a size that a test leaves out.
#[derive(Debug, Serialize)]
pub(crate) struct LeftOut<'a> {
    /// The part and size left out.
    #[serde(flatten)]
    pub size: Size,
    /// The reason.
    pub why: &'a str,
}

/// Writes result rows.
pub(crate) struct Output {
    file: Option<File>,
    lines: Vec<String>,
}

impl Output {
    /// Writes to standard output and, if a path is given, to a new file there, replacing an old
    /// one.
    pub(crate) fn new(path: Option<&Path>) -> Result<Output, ScaleError> {
        let file = path.map(File::create).transpose()?;
        Ok(Output {
            file,
            lines: Vec::new(),
        })
    }

    /// Writes one row and flushes standard output, so that an interrupted run keeps what it has
    /// measured.
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

    /// The rows written so far, as JSON text.
    #[allow(
        dead_code,
        reason = "called by tests/scale.rs, which includes this module"
    )]
    pub(crate) fn lines(&self) -> &[String] {
        &self.lines
    }
}

/// The figure rounded to three decimals; no clock used here is more precise.
pub(crate) fn rounded(figure: f64) -> f64 {
    (figure * 1000.0).round() / 1000.0
}
