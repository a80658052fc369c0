//! Encodes the commands of the line protocol that are sent to an engine.

use crate::core::AttemptRequest;
use crate::decision::Millis;

/// Ends each line and each statement.
pub(super) const LINE_END: &[u8] = b"\r\n";

/// Priority that an engine assumes if the attempt line contains none.
const DEFAULT_PRIORITY: u8 = 1;

/// Shortest `patience` (time left until the deadline) that is sent to an engine, in ms.
const MIN_PATIENCE_MS: Millis = 1.0;

/// A command of one line, which refers to an attempt or a tag.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Command {
    /// Cancel an attempt that has not ended.
    Cancel,
    /// Release the result of an attempt that has ended.
    Release,
    /// Send the page of a result with this number.
    NextPage(usize),
    /// Give an attempt this priority.
    SetPriority(u8),
    /// Answer with the tag once all commands before this one have been read.
    Confirm,
}

impl Command {
    /// Encodes the command for the attempt or tag with this reference.
    pub(super) fn encode(self, reference: &[u8]) -> Vec<u8> {
        let (verb, argument) = match self {
            Command::Cancel => ("QUIT", None),
            Command::Release => ("FREE", None),
            Command::NextPage(number) => ("NEXT", Some(number)),
            Command::SetPriority(priority) => ("PRIO", Some(usize::from(priority))),
            Command::Confirm => ("NOOP", None),
        };
        let mut line = Vec::with_capacity(32);
        line.extend_from_slice(verb.as_bytes());
        line.push(b' ');
        line.extend_from_slice(reference);
        if let Some(argument) = argument {
            line.extend_from_slice(format!(" {argument}").as_bytes());
        }
        line.extend_from_slice(LINE_END);
        line
    }
}

/// Encodes the line that starts an attempt. The statement and a line end follow it.
pub(super) fn attempt_line(attempt: &AttemptRequest, now_ms: Millis) -> Vec<u8> {
    let patience_ms = (attempt.deadline_ms - now_ms).max(MIN_PATIENCE_MS);
    let class = &attempt.class.name;
    let mut line = Vec::with_capacity(96);
    line.extend_from_slice(b"ASK ");
    line.extend_from_slice(&attempt.client_reference);
    line.extend_from_slice(format!(" sort={class},patience={patience_ms:.0}").as_bytes());
    if attempt.memory_mb > 0.0 {
        line.extend_from_slice(format!(",mb={:.0}", attempt.memory_mb.ceil()).as_bytes());
    }
    if attempt.priority != DEFAULT_PRIORITY {
        line.extend_from_slice(format!(",nice={}", attempt.priority).as_bytes());
    }
    if let Some(key) = &attempt.idempotency_key {
        line.extend_from_slice(b",op=");
        line.extend_from_slice(key);
    }
    line.extend_from_slice(format!(" {}", attempt.statement.len()).as_bytes());
    line.extend_from_slice(LINE_END);
    line
}
