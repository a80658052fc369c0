//! The clients' side of the platform's MessagePack-RPC: calls written, answers read.

use rmp::decode::{self, RmpRead};
use rmp::encode;
use std::io::Cursor;

/// Marks in the encoding that an answer is told apart by.
const NIL: u8 = 0xc0;
const FALSE: u8 = 0xc2;
const TRUE: u8 = 0xc3;
/// The kinds of messages.
const CALL: u8 = 0;
const ANSWER: u8 = 1;

/// What an answer says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Verdict {
    /// All rows of the result.
    Served,
    /// `Overloaded`.
    Refused,
    /// Any other error.
    Failed,
    /// To `health`: whether it is fit.
    Health(bool),
}

/// One answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Answer {
    /// The message that it answers.
    pub id: u64,
    /// What it says.
    pub verdict: Verdict,
}

/// Why bytes are no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Unread {
    /// The rest has yet to come.
    Partial,
    /// They never will be one.
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
pub(super) fn answer(bytes: &[u8]) -> Result<(Answer, usize), Unread> {
    let mut at = Cursor::new(bytes);
    let head = (
        whole(decode::read_array_len(&mut at))?,
        whole(decode::read_int::<u8, _>(&mut at))?,
    );
    if head != (4, ANSWER) {
        return Err(Unread::Malformed);
    }
    let id = whole(decode::read_int::<u64, _>(&mut at))?;
    let served = next(&at)? == NIL;
    let verdict = if served {
        whole(decode::read_nil(&mut at))?;
        whole(decode::read_array_len(&mut at))?;
        result(&mut at)?
    } else {
        whole(decode::read_array_len(&mut at))?;
        if text(&mut at)? == b"Overloaded" {
            Verdict::Refused
        } else {
            Verdict::Failed
        }
    };
    for _ in 0..whole(decode::read_map_len(&mut at))? {
        text(&mut at)?;
        text(&mut at)?;
    }
    if !served {
        whole(decode::read_nil(&mut at))?;
    }
    Ok((Answer { id, verdict }, at.position() as usize))
}

fn result(at: &mut Cursor<&[u8]>) -> Result<Verdict, Unread> {
    match next(at)? {
        FALSE | TRUE => Ok(Verdict::Health(whole(decode::read_bool(at))?)),
        _ => {
            let length = whole(decode::read_bin_len(at))?;
            take(at, length as usize)?;
            Ok(Verdict::Served)
        }
    }
}

fn text(at: &mut Cursor<&[u8]>) -> Result<Vec<u8>, Unread> {
    let length = whole(decode::read_str_len(at))?;
    take(at, length as usize)
}

fn take(at: &mut Cursor<&[u8]>, length: usize) -> Result<Vec<u8>, Unread> {
    let left = at.get_ref().len() - at.position() as usize;
    if left < length {
        return Err(Unread::Partial);
    }
    let mut taken = vec![0; length];
    at.read_exact_buf(&mut taken).map_err(|_| Unread::Partial)?;
    Ok(taken)
}

fn next(at: &Cursor<&[u8]>) -> Result<u8, Unread> {
    at.get_ref()
        .get(at.position() as usize)
        .copied()
        .ok_or(Unread::Partial)
}

/// Tells input that ends early from input of another form.
fn whole<T, E: Ended>(read: Result<T, E>) -> Result<T, Unread> {
    read.map_err(|error| {
        if error.ended() {
            Unread::Partial
        } else {
            Unread::Malformed
        }
    })
}

/// An error of decoding that may be the end of the input.
trait Ended {
    fn ended(&self) -> bool;
}

impl Ended for decode::ValueReadError {
    fn ended(&self) -> bool {
        !matches!(self, decode::ValueReadError::TypeMismatch(_))
    }
}

impl Ended for decode::NumValueReadError {
    fn ended(&self) -> bool {
        use decode::NumValueReadError::{InvalidDataRead, InvalidMarkerRead};
        matches!(self, InvalidDataRead(_) | InvalidMarkerRead(_))
    }
}
