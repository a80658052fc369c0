//! The rules that every run checks, shared by its engines and clients:
//!
//! - a non-idempotent statement runs at most once;
//! - a call that the manager has taken gets a final status, in time;
//! - a result is whole and belongs to its statement.

use std::collections::HashMap;
use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard};

/// Rows of a result that is streamed, because it exceeds the manager's buffer.
const LONG_RESULT_ROWS: usize = 4000;

/// Counts of one run.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Summary {
    /// Calls that were served.
    pub(crate) served: usize,
    /// Calls that ended with another status.
    pub(crate) failed: usize,
    /// Calls that a connection ended before the manager had taken them.
    pub(crate) not_taken: usize,
    /// Runs of statements on engines.
    pub(crate) runs: usize,
}

impl fmt::Display for Summary {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Summary {
            served,
            failed,
            not_taken,
            runs,
        } = self;
        write!(
            formatter,
            "{served} calls served, {failed} failed, {not_taken} not taken, {runs} runs on engines"
        )
    }
}

#[derive(Default)]
struct State {
    summary: Summary,
    /// How often each statement has run, by its label.
    runs: HashMap<String, usize>,
    /// Statements that have reached an engine.
    forwarded: HashMap<String, usize>,
    violations: Vec<String>,
}

/// The rules of one run.
#[derive(Clone, Default)]
pub(crate) struct Rules(Arc<Mutex<State>>);

impl Rules {
    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().expect("rules")
    }

    pub(crate) fn add_violation(&self, violation: String) {
        self.state().violations.push(violation);
    }

    /// Records that a statement has reached an engine.
    pub(crate) fn record_forwarded(&self, label: &str) {
        *self.state().forwarded.entry(label.to_owned()).or_default() += 1;
    }

    pub(crate) fn was_forwarded(&self, label: &str) -> bool {
        self.state().forwarded.contains_key(label)
    }

    /// Records that an engine runs a statement.
    pub(crate) fn record_run(&self, label: &str) {
        let mut state = self.state();
        state.summary.runs += 1;
        let runs = state.runs.entry(label.to_owned()).or_default();
        *runs += 1;
        let runs = *runs;
        if is_non_idempotent(label) && runs > 1 {
            let violation = format!("{label}: run {runs} of a non-idempotent statement");
            state.violations.push(violation);
        }
    }

    pub(crate) fn count_served(&self) {
        self.state().summary.served += 1;
    }

    pub(crate) fn count_failed(&self) {
        self.state().summary.failed += 1;
    }

    pub(crate) fn count_not_taken(&self) {
        self.state().summary.not_taken += 1;
    }

    pub(crate) fn summary(&self) -> Summary {
        self.state().summary
    }

    pub(crate) fn take_violations(&self) -> Vec<String> {
        std::mem::take(&mut self.state().violations)
    }
}

/// The mark in the label of a statement that may run only once.
pub(crate) const NON_IDEMPOTENT_MARK: &str = "once";

/// Whether the statement with this label may run only once.
fn is_non_idempotent(label: &str) -> bool {
    label.contains(NON_IDEMPOTENT_MARK)
}

/// The result of a statement, which its label determines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ResultShape {
    /// Number of endpoints.
    pub(crate) endpoints: usize,
    /// Number of rows of each endpoint.
    pub(crate) rows: usize,
}

impl ResultShape {
    pub(crate) fn of(label: &str) -> ResultShape {
        let hash = label
            .bytes()
            .fold(7usize, |hash, byte| (hash * 31 + usize::from(byte)) % 9973);
        let rows = if hash.is_multiple_of(7) {
            LONG_RESULT_ROWS
        } else {
            1 + hash % 200
        };
        ResultShape {
            endpoints: 1 + hash % 3,
            rows,
        }
    }
}
