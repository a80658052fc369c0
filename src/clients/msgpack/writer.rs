//! Encodes answers: `[1, id, error, result]`.

use bytes::Bytes;
use rmp::encode::{self, ByteBuf};

/// The end of every answer with a result: an empty map of fields.
pub(crate) const END_OF_ANSWER: &[u8] = &[0x80];

/// Message type of an answer.
const ANSWER_TYPE: u64 = 1;
/// Elements of an answer: type, id, error, result.
const ANSWER_ELEMENTS: u32 = 4;
/// Elements of a result: body, fields. An error has as many: name, fields.
const RESULT_ELEMENTS: u32 = 2;
/// Initial capacity of the encoder. It holds an answer without its result, so that encoding one
/// allocates memory once.
const INITIAL_CAPACITY_BYTES: usize = 32;

/// Encodes the start of an answer whose result has `body_bytes` bytes. The body must follow, then
/// [`END_OF_ANSWER`].
pub(crate) fn result_head(id: u64, body_bytes: usize) -> Bytes {
    let mut answer = Encoder::answer(id);
    answer.nil();
    answer.array(RESULT_ELEMENTS);
    answer.binary_head(body_bytes);
    answer.finish()
}

/// Encodes an answer with an error: the error's name and at most one field with details.
pub(crate) fn error_answer(id: u64, name: &str, field: Option<(&str, &str)>) -> Bytes {
    let mut answer = Encoder::answer(id);
    answer.array(RESULT_ELEMENTS);
    answer.string(name);
    answer.map(field.iter().len() as u32);
    if let Some((name, value)) = field {
        answer.string(name);
        answer.string(value);
    }
    answer.nil();
    answer.finish()
}

/// Encodes the answer to a health check.
pub(crate) fn health_answer(id: u64, accepts_requests: bool) -> Bytes {
    let mut answer = Encoder::answer(id);
    answer.nil();
    answer.array(RESULT_ELEMENTS);
    answer.boolean(accepts_requests);
    answer.map(0);
    answer.finish()
}

/// Encodes MessagePack into memory. Writing to memory cannot fail.
struct Encoder(ByteBuf);

impl Encoder {
    /// Starts an answer with its first two elements: `[1, id, ...`.
    fn answer(id: u64) -> Encoder {
        let mut encoder = Encoder(ByteBuf::with_capacity(INITIAL_CAPACITY_BYTES));
        encoder.array(ANSWER_ELEMENTS);
        encoder.integer(ANSWER_TYPE);
        encoder.integer(id);
        encoder
    }

    fn nil(&mut self) {
        let Ok(()) = encode::write_nil(&mut self.0);
    }

    fn boolean(&mut self, value: bool) {
        let Ok(()) = encode::write_bool(&mut self.0, value);
    }

    fn integer(&mut self, value: u64) {
        let Ok(_) = encode::write_uint(&mut self.0, value);
    }

    fn string(&mut self, value: &str) {
        let Ok(()) = encode::write_str(&mut self.0, value);
    }

    fn array(&mut self, elements: u32) {
        let Ok(_) = encode::write_array_len(&mut self.0, elements);
    }

    fn map(&mut self, fields: u32) {
        let Ok(_) = encode::write_map_len(&mut self.0, fields);
    }

    /// Writes the marker and the length of binary data. The data must follow.
    fn binary_head(&mut self, bytes: usize) {
        let Ok(_) = encode::write_bin_len(&mut self.0, bytes as u32);
    }

    fn finish(self) -> Bytes {
        self.0.into_vec().into()
    }
}
