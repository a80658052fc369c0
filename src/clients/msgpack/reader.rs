//! Parses clients' messages from the bytes received so far.

use super::MessageError;
use super::message_parts::{CallHead, FieldRanges, MessageParts, ParameterRanges};
use crate::limits::Limits;
use rmp::Marker;
use rmp::decode::{self, NumValueReadError, RmpRead, ValueReadError};
use std::io::Cursor;
use std::ops::Range;

/// Message type of a call.
const CALL_TYPE: u64 = 0;
/// Elements of a call: type, id, method, parameters.
const CALL_ELEMENTS: u32 = 4;
/// Message type of a notification.
const NOTIFICATION_TYPE: u64 = 2;
/// Elements of a notification: type, method, parameters.
const NOTIFICATION_ELEMENTS: u32 = 3;
/// Method of the notification that cancels a call.
const CANCEL_METHOD: &[u8] = b"cancel";
/// Largest number of parameters of a call: fields and body.
const MAX_PARAMETERS: u32 = 2;

/// Why parsing stopped.
pub(super) enum ParseError {
    /// The rest of the message has not arrived yet.
    Incomplete,
    Invalid(MessageError),
}

impl From<MessageError> for ParseError {
    fn from(error: MessageError) -> ParseError {
        ParseError::Invalid(error)
    }
}

impl From<std::io::Error> for ParseError {
    /// A read from memory fails only at the end of the bytes.
    fn from(_: std::io::Error) -> ParseError {
        ParseError::Incomplete
    }
}

impl From<ValueReadError> for ParseError {
    fn from(error: ValueReadError) -> ParseError {
        match error {
            ValueReadError::InvalidMarkerRead(_) | ValueReadError::InvalidDataRead(_) => {
                ParseError::Incomplete
            }
            ValueReadError::TypeMismatch(_) => MessageError::Malformed.into(),
        }
    }
}

impl From<NumValueReadError> for ParseError {
    fn from(error: NumValueReadError) -> ParseError {
        match error {
            NumValueReadError::InvalidMarkerRead(_) | NumValueReadError::InvalidDataRead(_) => {
                ParseError::Incomplete
            }
            _ => MessageError::Malformed.into(),
        }
    }
}

pub(super) type ParseResult<T> = Result<T, ParseError>;

/// Parses one message at the start of the received bytes.
pub(super) struct Reader<'a> {
    input: Cursor<&'a [u8]>,
    limits: &'a Limits,
    /// The head of the call, once it was read.
    pub(super) call: Option<CallHead>,
    /// Lower bound on the length of the whole message.
    pub(super) min_length: usize,
    /// Whether `min_length` is the length of the message: everything before its body was read.
    pub(super) is_length_known: bool,
}

impl<'a> Reader<'a> {
    pub(super) fn new(input: &'a [u8], limits: &'a Limits) -> Reader<'a> {
        Reader {
            input: Cursor::new(input),
            limits,
            call: None,
            min_length: 0,
            is_length_known: false,
        }
    }

    pub(super) fn position(&self) -> usize {
        self.input.position() as usize
    }

    fn peek_marker(&self) -> ParseResult<Marker> {
        self.input
            .get_ref()
            .get(self.position())
            .map(|byte| Marker::from_u8(*byte))
            .ok_or(ParseError::Incomplete)
    }

    /// Returns the position of the next `length` bytes. A length above the limit fails at once,
    /// before the bytes have arrived.
    fn bytes(&mut self, length: u32) -> ParseResult<Range<usize>> {
        let start = self.position();
        let length = length as usize;
        self.check_length(length)?;
        self.require(length);
        if start + length > self.input.get_ref().len() {
            return Err(ParseError::Incomplete);
        }
        self.input.set_position((start + length) as u64);
        Ok(start..start + length)
    }

    /// Records that at least this number of bytes follows in the message.
    fn require(&mut self, bytes: usize) {
        self.min_length = self.min_length.max(self.position() + bytes);
    }

    fn check_length(&self, bytes: usize) -> Result<(), MessageError> {
        let limit = self.limits.message_bytes;
        if bytes > limit {
            return Err(MessageError::TooLong { bytes, limit });
        }
        Ok(())
    }

    fn string(&mut self) -> ParseResult<Range<usize>> {
        let length = decode::read_str_len(&mut self.input)?;
        self.bytes(length)
    }

    fn binary(&mut self) -> ParseResult<Range<usize>> {
        let length = decode::read_bin_len(&mut self.input)?;
        self.bytes(length)
    }

    fn array_length(&mut self) -> ParseResult<u32> {
        Ok(decode::read_array_len(&mut self.input)?)
    }

    pub(super) fn message(&mut self) -> ParseResult<MessageParts> {
        let elements = self.array_length()?;
        let message_type: u64 = decode::read_int(&mut self.input)?;
        match (message_type, elements) {
            (CALL_TYPE, CALL_ELEMENTS) => self.call(),
            (NOTIFICATION_TYPE, NOTIFICATION_ELEMENTS) => self.notification(),
            _ => Err(MessageError::Malformed.into()),
        }
    }

    fn call(&mut self) -> ParseResult<MessageParts> {
        let id = decode::read_int(&mut self.input)?;
        let method = self.string()?;
        let head = CallHead { id, method };
        self.call = Some(head.clone());
        let parameters = self.parameters()?;
        Ok(MessageParts::Call { head, parameters })
    }

    fn notification(&mut self) -> ParseResult<MessageParts> {
        let method = self.string()?;
        let is_cancel = &self.input.get_ref()[method] == CANCEL_METHOD;
        if is_cancel && matches!(self.peek_marker()?, Marker::FixArray(1)) {
            self.array_length()?;
            let id = decode::read_int(&mut self.input)?;
            return Ok(MessageParts::Cancel { id });
        }
        self.skip_value()?;
        Ok(MessageParts::UnknownNotification)
    }

    /// Reads the parameters: a map of strings to strings, then optional binary data. Values of
    /// other types are skipped, so that the call can still be answered with an error.
    fn parameters(&mut self) -> ParseResult<ParameterRanges> {
        let start = self.position();
        if !is_array(self.peek_marker()?) {
            self.skip_value()?;
            return Ok(ParameterRanges::default());
        }
        let count = self.array_length()?;
        if !(1..=MAX_PARAMETERS).contains(&count) {
            self.input.set_position(start as u64);
            self.skip_value()?;
            return Ok(ParameterRanges::default());
        }
        let fields = self.fields()?;
        let body = if count == MAX_PARAMETERS {
            self.body()?
        } else {
            None
        };
        Ok(ParameterRanges { fields, body })
    }

    fn body(&mut self) -> ParseResult<Option<Range<usize>>> {
        if is_binary(self.peek_marker()?) {
            let length = decode::read_bin_len(&mut self.input)?;
            // The body is the last part of a message.
            self.is_length_known = true;
            return self.bytes(length).map(Some);
        }
        self.skip_value()?;
        Ok(None)
    }

    fn fields(&mut self) -> ParseResult<Option<FieldRanges>> {
        if !is_map(self.peek_marker()?) {
            self.skip_value()?;
            return Ok(None);
        }
        let count = decode::read_map_len(&mut self.input)? as usize;
        let limit = self.limits.message_fields;
        if count > limit {
            return Err(MessageError::TooManyFields { count, limit }.into());
        }
        let mut fields = Vec::with_capacity(count);
        let mut all_strings = true;
        for read in 0..count {
            // A name and a value take at least one byte each.
            self.require(2 * (count - read));
            match (self.string_or_skip()?, self.string_or_skip()?) {
                (Some(name), Some(value)) => fields.push((name, value)),
                _ => all_strings = false,
            }
        }
        Ok(all_strings.then_some(fields))
    }

    /// Reads a string. A value of another type is skipped, and `None` is returned.
    fn string_or_skip(&mut self) -> ParseResult<Option<Range<usize>>> {
        if is_string(self.peek_marker()?) {
            return self.string().map(Some);
        }
        self.skip_value()?;
        Ok(None)
    }

    fn skip_value(&mut self) -> ParseResult<()> {
        self.skip_nested(self.limits.message_depth)
    }

    /// Skips one value whose collections are nested at most `max_depth` deep. Without this bound, a
    /// short message with deep nesting could overflow the stack.
    fn skip_nested(&mut self, max_depth: usize) -> ParseResult<()> {
        let marker = self.peek_marker()?;
        if is_array(marker) {
            let count = self.array_length()? as usize;
            self.skip_elements(count, max_depth)
        } else if is_map(marker) {
            let count = decode::read_map_len(&mut self.input)? as usize;
            self.skip_elements(count.saturating_mul(2), max_depth)
        } else if is_string(marker) {
            self.string().map(|_| ())
        } else if is_binary(marker) {
            self.binary().map(|_| ())
        } else {
            let length = self.scalar_length(marker)?;
            self.input.read_u8()?;
            self.bytes(length).map(|_| ())
        }
    }

    fn skip_elements(&mut self, count: usize, max_depth: usize) -> ParseResult<()> {
        // An element takes at least one byte, so a message within the limit cannot have more
        // elements than its limit in bytes.
        self.check_length(count)?;
        let remaining_depth = max_depth.checked_sub(1).ok_or(MessageError::TooDeep)?;
        let mut remaining = count;
        loop {
            remaining -= self.skip_one_byte_values(remaining);
            if remaining == 0 {
                return Ok(());
            }
            self.require(remaining);
            self.skip_nested(remaining_depth)?;
            remaining -= 1;
        }
    }

    /// Skips values of one byte each, up to `max_count`. Returns their number. A message may consist of
    /// thousands of them.
    fn skip_one_byte_values(&mut self, max_count: usize) -> usize {
        let position = self.position();
        let rest = &self.input.get_ref()[position..];
        let count = rest
            .iter()
            .take(max_count)
            .take_while(|byte| is_one_byte_value(**byte))
            .count();
        self.input.set_position((position + count) as u64);
        count
    }

    /// The number of bytes after the marker of a value that is not a collection, a string or binary
    /// data.
    fn scalar_length(&self, marker: Marker) -> ParseResult<u32> {
        Ok(match marker {
            Marker::Null | Marker::True | Marker::False | Marker::FixPos(_) | Marker::FixNeg(_) => {
                0
            }
            Marker::U8 | Marker::I8 => 1,
            Marker::U16 | Marker::I16 | Marker::FixExt1 => 2,
            Marker::U32 | Marker::I32 | Marker::F32 => 4,
            Marker::U64 | Marker::I64 | Marker::F64 => 8,
            // An extension stores its type in one byte. If the marker does not define the length,
            // the length precedes the type.
            Marker::FixExt2 => 3,
            Marker::FixExt4 => 5,
            Marker::FixExt8 => 9,
            Marker::FixExt16 => 17,
            Marker::Ext8 => 2 + u32::from(u8::from_be_bytes(self.peek_after_marker()?)),
            Marker::Ext16 => 3 + u32::from(u16::from_be_bytes(self.peek_after_marker()?)),
            Marker::Ext32 => u32::from_be_bytes(self.peek_after_marker()?).saturating_add(5),
            _ => return Err(MessageError::Malformed.into()),
        })
    }

    fn peek_after_marker<const N: usize>(&self) -> ParseResult<[u8; N]> {
        let start = self.position() + 1;
        self.input
            .get_ref()
            .get(start..start + N)
            .and_then(|bytes| bytes.try_into().ok())
            .ok_or(ParseError::Incomplete)
    }
}

/// Whether this byte is the marker of a value that consists of the marker alone: a small number, nil
/// or a boolean.
fn is_one_byte_value(byte: u8) -> bool {
    matches!(byte, 0x00..=0x7f | 0xc0 | 0xc2 | 0xc3 | 0xe0..=0xff)
}

fn is_array(marker: Marker) -> bool {
    matches!(
        marker,
        Marker::FixArray(_) | Marker::Array16 | Marker::Array32
    )
}

fn is_map(marker: Marker) -> bool {
    matches!(marker, Marker::FixMap(_) | Marker::Map16 | Marker::Map32)
}

fn is_string(marker: Marker) -> bool {
    matches!(
        marker,
        Marker::FixStr(_) | Marker::Str8 | Marker::Str16 | Marker::Str32
    )
}

fn is_binary(marker: Marker) -> bool {
    matches!(marker, Marker::Bin8 | Marker::Bin16 | Marker::Bin32)
}
