//! Parses the answers of an engine. An answer is a head line of four words separated by spaces,
//! `REFERENCE STATUS FIELDS LENGTH`, followed by a body of LENGTH bytes and a line end.

use super::command::LINE_END;
use crate::clients::parse_non_negative;
use crate::decision::LoadReport;
use bytes::{Bytes, BytesMut};
use std::ops::Range;
use thiserror::Error;

/// Why the input from an engine is not a valid answer. The connection is closed after this error,
/// because the start of the next answer cannot be found.
#[derive(Debug, Error, PartialEq, Eq)]
pub(super) enum AnswerError {
    #[error("the head of an answer is longer than {limit_bytes} bytes")]
    HeadTooLong { limit_bytes: usize },
    #[error("the head of an answer does not end in CR LF")]
    HeadLineEnd,
    #[error("the head of an answer does not have four words")]
    WordCount,
    #[error("the body length of an answer is not a whole number of at most {limit_bytes} bytes")]
    BodyLength { limit_bytes: usize },
    #[error("the reference of an answer is not 16 hex digits")]
    Reference,
    #[error("the fields of an answer are not a list of NAME=VALUE")]
    Fields,
    #[error("the body of an answer does not end in CR LF")]
    BodyLineEnd,
    #[error("an answer has an unknown status")]
    UnknownStatus,
    #[error("the page count of a result is not a whole number from 1 to {limit_pages}")]
    PageCount { limit_pages: usize },
    #[error("a page of a result does not consist of complete rows of text")]
    PageText,
    #[error("too many answers since the last end of an attempt: weighted count {count}")]
    TooManyAnswersSinceAttemptEnd { count: usize },
    #[error("the rest of an answer did not arrive in time")]
    Incomplete,
}

/// What an answer reports about the attempt that it refers to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AnswerStatus {
    /// The engine has read all commands up to the one with this tag. The answer refers to no
    /// attempt.
    Confirmed,
    /// The attempt succeeded. The body is the first page of its result.
    Served,
    /// A further page of the attempt's result.
    Page,
    /// A progress report of the attempt.
    Progress,
    /// The engine rejected the attempt for lack of capacity.
    Overloaded,
    /// The attempt failed.
    Failed,
    /// The engine has no attempt with this reference.
    NotFound,
    /// A status that this program does not support.
    Unknown,
}

impl From<&[u8]> for AnswerStatus {
    fn from(word: &[u8]) -> AnswerStatus {
        match word {
            b"green" => AnswerStatus::Confirmed,
            b"served" => AnswerStatus::Served,
            b"rows" => AnswerStatus::Page,
            b"update" => AnswerStatus::Progress,
            b"overload" => AnswerStatus::Overloaded,
            b"crashed" => AnswerStatus::Failed,
            b"nobody" => AnswerStatus::NotFound,
            _ => AnswerStatus::Unknown,
        }
    }
}

/// One answer of an engine.
#[derive(Debug, PartialEq, Eq)]
pub(super) struct Answer {
    /// Client reference of the attempt. In a confirmation: the tag of the confirmed command.
    pub(super) reference: Bytes,
    pub(super) status: AnswerStatus,
    fields: Bytes,
    pub(super) body: Bytes,
}

impl Answer {
    /// The value of a field.
    pub(super) fn field(&self, name: &str) -> Option<&[u8]> {
        let pairs = self.fields.split(|byte| *byte == b',');
        pairs
            .filter_map(|pair| pair.strip_prefix(name.as_bytes()))
            .find_map(|rest| rest.strip_prefix(b"="))
    }

    /// The value of a field that is a whole number.
    pub(super) fn whole_number(&self, name: &str) -> Option<usize> {
        self.field(name).and_then(parse_whole_number)
    }

    /// The value of a field that is a finite, non-negative number.
    pub(super) fn number(&self, name: &str) -> Option<f64> {
        self.field(name).and_then(parse_non_negative)
    }

    /// The load report, such as `l=inflight:7;util:0.61`. Each figure is accepted under its name in
    /// the settings and under the protocol's own name.
    pub(super) fn load_report(&self) -> LoadReport {
        let mut report = LoadReport::default();
        let figures = self.field("l").unwrap_or_default();
        for figure in figures.split(|byte| *byte == b';') {
            let Some(colon) = figure.iter().position(|byte| *byte == b':') else {
                continue;
            };
            let value = parse_non_negative(&figure[colon + 1..]);
            match &figure[..colon] {
                b"rif" | b"inflight" => report.inflight = value,
                b"busy" | b"util" => report.cpu_busy = value,
                b"x1" => report.disk_busy = value,
                b"q" | b"queue" => report.memory_queue = value,
                b"x0" => report.memory_granted = value,
                _ => {}
            }
        }
        report
    }

    /// Checks that the body can be a page of a result, which consists of complete rows of text.
    /// Without the check, any other body would be forwarded to the client as a result.
    ///
    /// # Errors
    /// [`AnswerError::PageText`] if the body cannot be a page of a result.
    pub(super) fn check_page(&self) -> Result<(), AnswerError> {
        let is_allowed = |c: char| !c.is_control() || c == '\t' || c == '\n';
        let ends_a_row = self.body.last().is_none_or(|byte| *byte == b'\n');
        let is_text =
            std::str::from_utf8(&self.body).is_ok_and(|text| text.chars().all(is_allowed));
        if ends_a_row && is_text {
            Ok(())
        } else {
            Err(AnswerError::PageText)
        }
    }
}

fn parse_whole_number(text: &[u8]) -> Option<usize> {
    let number: u32 = std::str::from_utf8(text).ok()?.parse().ok()?;
    Some(number as usize)
}

/// Positions of the parts of a head line in the buffer.
struct Head {
    reference: Range<usize>,
    status: Range<usize>,
    fields: Range<usize>,
    body_bytes: usize,
}

/// Parses a head line, given without its line end.
fn parse_head(line: &[u8], max_body_bytes: usize) -> Result<Head, AnswerError> {
    let mut words = line.split(|byte| *byte == b' ');
    let (Some(reference), Some(status), Some(fields), Some(length), None) = (
        words.next(),
        words.next(),
        words.next(),
        words.next(),
        words.next(),
    ) else {
        return Err(AnswerError::WordCount);
    };
    let body_bytes = parse_whole_number(length)
        .filter(|bytes| *bytes <= max_body_bytes)
        .ok_or(AnswerError::BodyLength {
            limit_bytes: max_body_bytes,
        })?;
    if !crate::clients::is_client_reference(reference) {
        return Err(AnswerError::Reference);
    }
    if !is_field_list(fields) {
        return Err(AnswerError::Fields);
    }
    let reference = 0..reference.len();
    let status = word_range_after(&reference, status);
    let fields = word_range_after(&status, fields);
    Ok(Head {
        reference,
        status,
        fields,
        body_bytes,
    })
}

/// Returns the range of `word`, which follows the word at `previous` after one space.
fn word_range_after(previous: &Range<usize>, word: &[u8]) -> Range<usize> {
    let start = previous.end + 1;
    start..start + word.len()
}

/// Whether the text is a list of `NAME=VALUE`, or the `-` that stands for an empty list.
fn is_field_list(text: &[u8]) -> bool {
    text == b"-"
        || text
            .split(|byte| *byte == b',')
            .all(|pair| pair.contains(&b'='))
}

/// Takes one complete answer from the front of the buffer. Returns `None` if it is not complete
/// yet.
///
/// # Errors
/// Returns the reason if the front of the buffer is not a valid answer.
pub(super) fn take_answer(
    buffer: &mut BytesMut,
    max_head_bytes: usize,
    max_body_bytes: usize,
) -> Result<Option<Answer>, AnswerError> {
    let mut head_bytes = buffer.iter().take(max_head_bytes);
    let Some(head_end) = head_bytes.position(|byte| *byte == b'\n') else {
        return if buffer.len() >= max_head_bytes {
            Err(AnswerError::HeadTooLong {
                limit_bytes: max_head_bytes,
            })
        } else {
            Ok(None)
        };
    };
    let line = buffer[..head_end]
        .strip_suffix(b"\r")
        .ok_or(AnswerError::HeadLineEnd)?;
    let head = parse_head(line, max_body_bytes)?;
    let body_start = head_end + 1;
    let body = body_start..body_start + head.body_bytes;
    let answer_end = body.end + LINE_END.len();
    if buffer.len() < answer_end {
        return Ok(None);
    }
    if &buffer[body.end..answer_end] != LINE_END {
        return Err(AnswerError::BodyLineEnd);
    }
    let bytes = buffer.split_to(answer_end).freeze();
    Ok(Some(Answer {
        reference: bytes.slice(head.reference),
        status: AnswerStatus::from(&bytes[head.status]),
        fields: bytes.slice(head.fields),
        body: bytes.slice(body),
    }))
}

#[cfg(test)]
mod tests;
