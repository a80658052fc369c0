//! The clients' side of the platform's MessagePack-RPC: calls written, answers read.

use rmp::decode::{self, RmpRead};
use rmp::encode;
use std::io::Cursor;

/// MessagePack markers that distinguish answers.
const NIL: u8 = 0xc0;
const FALSE: u8 = 0xc2;
const TRUE: u8 = 0xc3;
/// The kinds of messages.
const CALL: u8 = 0;
const ANSWER: u8 = 1;

/// The kind of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AnswerKind {
    /// All rows of the result.
    Served,
    /// `Overloaded`.
    Rejected,
    /// Any other error.
    Failed,
    /// The answer to `health`: whether the manager is ready.
    Health(bool),
}

/// One answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Answer {
    /// The message that it answers.
    pub id: u64,
    /// Its kind.
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

/// A call of a method with its fields, and a body where there is one.
pub(super) fn call(id: u64, method: &str, fields: &[(&str, &str)], body: Option<&[u8]>) -> Vec<u8> {
    const WRITES: &str = "a vector takes every write";
    let mut text = Vec::with_capacity(256);
    encode::write_array_len(&mut text, 4).expect(WRITES);
    encode::write_uint(&mut text, u64::from(CALL)).expect(WRITES);
    encode::write_uint(&mut text, id).expect(WRITES);
    encode::write_str(&mut text, method).expect(WRITES);
    encode::write_array_len(&mut text, 1 + u32::from(body.is_some())).expect(WRITES);
    encode::write_map_len(&mut text, fields.len() as u32).expect(WRITES);
    for (name, value) in fields {
        encode::write_str(&mut text, name).expect(WRITES);
        encode::write_str(&mut text, value).expect(WRITES);
    }
    if let Some(body) = body {
        encode::write_bin(&mut text, body).expect(WRITES);
    }
    text
}

/// The first answer of these bytes and its length.
pub(super) fn answer(bytes: &[u8]) -> Result<(Answer, usize), ParseError> {
    let mut input = Cursor::new(bytes);
    let head = (
        complete(decode::read_array_len(&mut input))?,
        complete(decode::read_int::<u8, _>(&mut input))?,
    );
    if head != (4, ANSWER) {
        return Err(ParseError::Malformed);
    }
    let id = complete(decode::read_int::<u64, _>(&mut input))?;
    let served = peek(&input)? == NIL;
    let kind = if served {
        complete(decode::read_nil(&mut input))?;
        complete(decode::read_array_len(&mut input))?;
        result(&mut input)?
    } else {
        complete(decode::read_array_len(&mut input))?;
        if text(&mut input)? == b"Overloaded" {
            AnswerKind::Rejected
        } else {
            AnswerKind::Failed
        }
    };
    for _ in 0..complete(decode::read_map_len(&mut input))? {
        text(&mut input)?;
        text(&mut input)?;
    }
    if !served {
        complete(decode::read_nil(&mut input))?;
    }
    Ok((Answer { id, kind }, input.position() as usize))
}

fn result(input: &mut Cursor<&[u8]>) -> Result<AnswerKind, ParseError> {
    match peek(input)? {
        FALSE | TRUE => Ok(AnswerKind::Health(complete(decode::read_bool(input))?)),
        _ => {
            let length = complete(decode::read_bin_len(input))?;
            take(input, length as usize)?;
            Ok(AnswerKind::Served)
        }
    }
}

fn text(input: &mut Cursor<&[u8]>) -> Result<Vec<u8>, ParseError> {
    let length = complete(decode::read_str_len(input))?;
    take(input, length as usize)
}

fn take(input: &mut Cursor<&[u8]>, length: usize) -> Result<Vec<u8>, ParseError> {
    let left = input.get_ref().len() - input.position() as usize;
    if left < length {
        return Err(ParseError::Incomplete);
    }
    let mut taken = vec![0; length];
    input
        .read_exact_buf(&mut taken)
        .map_err(|_| ParseError::Incomplete)?;
    Ok(taken)
}

fn peek(input: &Cursor<&[u8]>) -> Result<u8, ParseError> {
    input
        .get_ref()
        .get(input.position() as usize)
        .copied()
        .ok_or(ParseError::Incomplete)
}

/// Distinguishes input that ends early from malformed input.
fn complete<T, E: MayBeEndOfInput>(read: Result<T, E>) -> Result<T, ParseError> {
    read.map_err(|error| {
        if error.is_end_of_input() {
            ParseError::Incomplete
        } else {
            ParseError::Malformed
        }
    })
}

/// An error of decoding that may be the end of the input.
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
