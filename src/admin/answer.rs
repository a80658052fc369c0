//! Answers of the admin address and their text form: `200 TEXT` or the figures for a command that
//! was carried out, `400 TEXT` for one that was not.

use super::command::ParseCommandError;
use crate::retry_policy::EffectiveValue;
use std::fmt;

/// Last line of an answer that has several lines.
const END_MARKER: &str = "EOF";

/// The answer to a command that was carried out. [`fmt::Display`] writes the text that is sent.
#[derive(Clone, Debug)]
pub(super) enum AdminAnswer {
    /// The workload manager is ready for new clients.
    Ready,
    /// The engine is ejected.
    EngineDisabled,
    /// The engine is no longer ejected manually.
    EngineEnabled,
    /// The workload manager drains its client connections.
    Draining,
    /// On-call staff have ended the draining, so clients may connect again.
    DrainEnded,
    /// The figures, in the format of [`admin_figures`](crate::metrics::Metrics::admin_figures).
    Figures(String),
    /// The values of a retry policy, each with its source.
    Policy(Vec<EffectiveValue>),
}

impl fmt::Display for AdminAnswer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            AdminAnswer::Ready => writeln!(f, "200 ready"),
            AdminAnswer::EngineDisabled => writeln!(f, "200 taken out"),
            AdminAnswer::EngineEnabled => writeln!(f, "200 may serve again"),
            AdminAnswer::Draining => writeln!(f, "200 clients are sent away"),
            AdminAnswer::DrainEnded => writeln!(f, "200 clients may come"),
            AdminAnswer::Figures(figures) => writeln!(f, "{figures}{END_MARKER}"),
            AdminAnswer::Policy(values) => {
                writeln!(f, "200 keys of attempts, their values and tables")?;
                for EffectiveValue { key, value, source } in values {
                    writeln!(f, "{key} {value} {source}")?;
                }
                writeln!(f, "{END_MARKER}")
            }
        }
    }
}

/// Why a command was not carried out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum AdminError {
    #[error("no line that can be read")]
    UnreadableLine,
    #[error(transparent)]
    Command(#[from] ParseCommandError),
    #[error("not ready")]
    NotReady,
    #[error("no such engine is known")]
    UnknownEngine,
    #[error("no class has such a name")]
    UnknownClass,
    #[error("no member has such a name")]
    UnknownMember,
}

impl AdminError {
    /// Returns the text that is sent to the client.
    pub(super) fn to_line(self) -> String {
        format!("400 {self}\n")
    }
}
