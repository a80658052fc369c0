//! The client side of the platform's MessagePack-RPC protocol: encodes calls and parses answers.

use rmp::decode::{self, RmpRead};
use rmp::encode;
use std::io::Cursor;

/// MessagePack markers of the values that distinguish the kinds of answers.
const NIL_MARKER: u8 = 0xc0;
const FALSE_MARKER: u8 = 0xc2;
const TRUE_MARKER: u8 = 0xc3;
/// Kinds of messages.
const CALL_KIND: u8 = 0;
const ANSWER_KIND: u8 = 1;

/// The kind of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AnswerKind {
    /// A result with all its rows.
    Served,
    /// The error `Overloaded`.
    Rejected,
    /// Any other error.
    Failed,
    /// An answer to `health`: whether the manager is ready.
    Health(bool),
}

/// One answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Answer {
    /// Id of the message that it answers.
    pub id: u64,
    /// Kind of the answer.
    pub kind: AnswerKind,
}

/// Why bytes could not be parsed as an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ParseError {
    /// More bytes are needed.
    Incomplete,
    /// The bytes violate the protocol.
    Malformed,
}

/// Encodes a call of a method with its fields and an optional body.
pub(super) fn encode_call(
    id: u64,
    method: &str,
    fields: &[(&str, &str)],
    body: Option<&[u8]>,
) -> Vec<u8> {
    const INFALLIBLE_WRITE: &str = "writing to a vector cannot fail";
    let mut message = Vec::with_capacity(256);
    encode::write_array_len(&mut message, 4).expect(INFALLIBLE_WRITE);
    encode::write_uint(&mut message, u64::from(CALL_KIND)).expect(INFALLIBLE_WRITE);
    encode::write_uint(&mut message, id).expect(INFALLIBLE_WRITE);
    encode::write_str(&mut message, method).expect(INFALLIBLE_WRITE);
    encode::write_array_len(&mut message, 1 + u32::from(body.is_some())).expect(INFALLIBLE_WRITE);
    encode::write_map_len(&mut message, fields.len() as u32).expect(INFALLIBLE_WRITE);
    for (name, value) in fields {
        encode::write_str(&mut message, name).expect(INFALLIBLE_WRITE);
        encode::write_str(&mut message, value).expect(INFALLIBLE_WRITE);
    }
    if let Some(body) = body {
        encode::write_bin(&mut message, body).expect(INFALLIBLE_WRITE);
    }
    message
}

/// Parses the first answer in these bytes; returns it and its length in bytes.
pub(super) fn parse_answer(bytes: &[u8]) -> Result<(Answer, usize), ParseError> {
    let mut input = Cursor::new(bytes);
    let header = (
        or_parse_error(decode::read_array_len(&mut input))?,
        or_parse_error(decode::read_int::<u8, _>(&mut input))?,
    );
    if header != (4, ANSWER_KIND) {
        return Err(ParseError::Malformed);
    }
    let id = or_parse_error(decode::read_int::<u64, _>(&mut input))?;
    let served = peek_marker(&input)? == NIL_MARKER;
    let kind = if served {
        or_parse_error(decode::read_nil(&mut input))?;
        or_parse_error(decode::read_array_len(&mut input))?;
        parse_result(&mut input)?
    } else {
        or_parse_error(decode::read_array_len(&mut input))?;
        if read_text(&mut input)? == b"Overloaded" {
            AnswerKind::Rejected
        } else {
            AnswerKind::Failed
        }
    };
    for _ in 0..or_parse_error(decode::read_map_len(&mut input))? {
        read_text(&mut input)?;
        read_text(&mut input)?;
    }
    if !served {
        or_parse_error(decode::read_nil(&mut input))?;
    }
    Ok((Answer { id, kind }, input.position() as usize))
}

fn parse_result(input: &mut Cursor<&[u8]>) -> Result<AnswerKind, ParseError> {
    match peek_marker(input)? {
        FALSE_MARKER | TRUE_MARKER => Ok(AnswerKind::Health(or_parse_error(decode::read_bool(
            input,
        ))?)),
        _ => {
            let length = or_parse_error(decode::read_bin_len(input))?;
            read_bytes(input, length as usize)?;
            Ok(AnswerKind::Served)
        }
    }
}

fn read_text(input: &mut Cursor<&[u8]>) -> Result<Vec<u8>, ParseError> {
    let length = or_parse_error(decode::read_str_len(input))?;
    read_bytes(input, length as usize)
}

fn read_bytes(input: &mut Cursor<&[u8]>, length: usize) -> Result<Vec<u8>, ParseError> {
    let remaining = input.get_ref().len() - input.position() as usize;
    if remaining < length {
        return Err(ParseError::Incomplete);
    }
    let mut bytes = vec![0; length];
    input
        .read_exact_buf(&mut bytes)
        .map_err(|_| ParseError::Incomplete)?;
    Ok(bytes)
}

fn peek_marker(input: &Cursor<&[u8]>) -> Result<u8, ParseError> {
    input
        .get_ref()
        .get(input.position() as usize)
        .copied()
        .ok_or(ParseError::Incomplete)
}

/// Maps a decoding error to the error for incomplete or malformed input.
fn or_parse_error<T, E: MayBeEndOfInput>(read: Result<T, E>) -> Result<T, ParseError> {
    read.map_err(|error| {
        if error.is_end_of_input() {
            ParseError::Incomplete
        } else {
            ParseError::Malformed
        }
    })
}

/// A decoding error that may mean that the input ended early.
trait MayBeEndOfInput {
    fn is_end_of_input(&self) -> bool;
}

impl MayBeEndOfInput for decode::ValueReadError {
    fn is_end_of_input(&self) -> bool {
        !matches!(self, decode::ValueReadError::TypeMismatch(_))
    }
}

impl MayBeEndOfInput for decode::NumValueReadError {
    fn is_end_of_input(&self) -> bool {
        use decode::NumValueReadError::{InvalidDataRead, InvalidMarkerRead};
        matches!(self, InvalidDataRead(_) | InvalidMarkerRead(_))
    }
}
