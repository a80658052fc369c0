//! MessagePack-RPC, read in place: a message's strings and body stay where the socket put them.

use crate::limits::Limits;
use bytes::{Bytes, BytesMut};
use rmp::Marker;
use rmp::decode::{self, NumValueReadError, RmpRead, ValueReadError};
use rmp::encode;
use std::io::Cursor;
use std::ops::Range;

/// Why a message cannot be read; the stream behind it cannot either.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Malformed {
    /// Not MessagePack, or not the shape of a call.
    Shape,
    /// Larger, deeper or with more fields than is allowed.
    TooLarge,
}

/// A call, notification or anything else that is whole.
#[derive(Debug)]
pub(crate) enum Message {
    /// `[0, id, method, params]`, with the fields and the body where they are as they should be.
    Call {
        id: u64,
        method: Bytes,
        fields: Option<Fields>,
        body: Option<Bytes>,
    },
    /// `[2, "cancel", [id]]`.
    Cancel { id: u64 },
    /// Some other notification: to be passed over.
    Notice,
}

/// A map of strings to strings.
#[derive(Debug, Default)]
pub(crate) struct Fields(Vec<(Bytes, Bytes)>);

impl Fields {
    pub(crate) fn get(&self, name: &str) -> Option<&Bytes> {
        self.0
            .iter()
            .find(|(n, _)| n.as_ref() == name.as_bytes())
            .map(|(_, v)| v)
    }
}

enum Stop {
    Short,
    Bad(Malformed),
}

impl From<std::io::Error> for Stop {
    fn from(_: std::io::Error) -> Stop {
        Stop::Short // reading from memory fails in one way only
    }
}

impl From<ValueReadError> for Stop {
    fn from(e: ValueReadError) -> Stop {
        match e {
            ValueReadError::InvalidMarkerRead(_) | ValueReadError::InvalidDataRead(_) => {
                Stop::Short
            }
            ValueReadError::TypeMismatch(_) => Stop::Bad(Malformed::Shape),
        }
    }
}

impl From<NumValueReadError> for Stop {
    fn from(e: NumValueReadError) -> Stop {
        match e {
            NumValueReadError::InvalidMarkerRead(_) | NumValueReadError::InvalidDataRead(_) => {
                Stop::Short
            }
            _ => Stop::Bad(Malformed::Shape),
        }
    }
}

type Step<T> = Result<T, Stop>;
/// Where the names and values of a map stand.
type Pairs = Vec<(Range<usize>, Range<usize>)>;

/// The ranges of one message's parts.
enum Parts {
    Call {
        id: u64,
        method: Range<usize>,
        fields: Option<Pairs>,
        body: Option<Range<usize>>,
    },
    Cancel {
        id: u64,
    },
    Notice,
}

struct Reader<'a> {
    at: Cursor<&'a [u8]>,
    limits: &'a Limits,
}

impl Reader<'_> {
    fn pos(&self) -> usize {
        self.at.position() as usize
    }

    fn peek(&self) -> Step<Marker> {
        self.at
            .get_ref()
            .get(self.pos())
            .map(|b| Marker::from_u8(*b))
            .ok_or(Stop::Short)
    }

    /// The next `len` bytes. A length over the limit is refused before anything waits for it.
    fn stretch(&mut self, len: u32) -> Step<Range<usize>> {
        let (from, len) = (self.pos(), len as usize);
        if len > self.limits.message_bytes {
            return Err(Stop::Bad(Malformed::TooLarge));
        }
        if from + len > self.at.get_ref().len() {
            return Err(Stop::Short);
        }
        self.at.set_position((from + len) as u64);
        Ok(from..from + len)
    }

    fn text(&mut self) -> Step<Range<usize>> {
        let len = decode::read_str_len(&mut self.at)?;
        self.stretch(len)
    }

    fn array(&mut self) -> Step<u32> {
        Ok(decode::read_array_len(&mut self.at)?)
    }

    fn message(&mut self) -> Step<Parts> {
        let len = self.array()?;
        let kind: u64 = decode::read_int(&mut self.at)?;
        match (kind, len) {
            (0, 4) => {
                let id = decode::read_int(&mut self.at)?;
                let method = self.text()?;
                let (fields, body) = self.params()?;
                Ok(Parts::Call {
                    id,
                    method,
                    fields,
                    body,
                })
            }
            (2, 3) => {
                let method = self.text()?;
                let cancel = &self.at.get_ref()[method] == b"cancel";
                if cancel && matches!(self.peek()?, Marker::FixArray(1)) {
                    self.array()?;
                    return Ok(Parts::Cancel {
                        id: decode::read_int(&mut self.at)?,
                    });
                }
                self.skip(self.limits.message_depth)?;
                Ok(Parts::Notice)
            }
            _ => Err(Stop::Bad(Malformed::Shape)),
        }
    }

    /// The parameters: a map of strings to strings, then a body. Whatever else stands there is passed over, so
    /// that the call can be answered.
    fn params(&mut self) -> Step<(Option<Pairs>, Option<Range<usize>>)> {
        let start = self.pos();
        let count = match self.peek()? {
            Marker::FixArray(_) | Marker::Array16 | Marker::Array32 => self.array()?,
            _ => {
                self.skip(self.limits.message_depth)?;
                return Ok((None, None));
            }
        };
        if count == 0 || count > 2 {
            self.at.set_position(start as u64);
            self.skip(self.limits.message_depth)?;
            return Ok((None, None));
        }
        let fields = self.fields()?;
        let mut body = None;
        if count == 2 {
            match self.peek()? {
                Marker::Bin8 | Marker::Bin16 | Marker::Bin32 => {
                    let len = decode::read_bin_len(&mut self.at)?;
                    body = Some(self.stretch(len)?);
                }
                _ => self.skip(self.limits.message_depth)?,
            }
        }
        Ok((fields, body))
    }

    fn fields(&mut self) -> Step<Option<Pairs>> {
        if !matches!(
            self.peek()?,
            Marker::FixMap(_) | Marker::Map16 | Marker::Map32
        ) {
            self.skip(self.limits.message_depth)?;
            return Ok(None);
        }
        let count = decode::read_map_len(&mut self.at)? as usize;
        if count > self.limits.message_fields {
            return Err(Stop::Bad(Malformed::TooLarge));
        }
        let (mut fields, mut fine) = (Vec::with_capacity(count), true);
        for _ in 0..count {
            let mut part = |r: &mut Self| match r.peek()? {
                Marker::FixStr(_) | Marker::Str8 | Marker::Str16 | Marker::Str32 => r.text(),
                _ => {
                    fine = false;
                    r.skip(r.limits.message_depth).map(|()| 0..0)
                }
            };
            fields.push((part(self)?, part(self)?));
        }
        Ok(fine.then_some(fields))
    }

    fn skip(&mut self, depth: usize) -> Step<()> {
        let many = |r: &mut Self, count: usize| {
            // Guard: nesting is bounded, or a few bytes would make the stack as deep as they say.
            // An element is a byte at least, so more than a message may have of them never come.
            if count > r.limits.message_bytes {
                return Err(Stop::Bad(Malformed::TooLarge));
            }
            let deeper = depth.checked_sub(1).ok_or(Stop::Bad(Malformed::TooLarge))?;
            (0..count).try_for_each(|_| r.skip(deeper))
        };
        match self.peek()? {
            Marker::FixArray(_) | Marker::Array16 | Marker::Array32 => {
                let count = self.array()? as usize;
                many(self, count)
            }
            Marker::FixMap(_) | Marker::Map16 | Marker::Map32 => {
                let count = decode::read_map_len(&mut self.at)? as usize;
                many(self, count.saturating_mul(2))
            }
            Marker::FixStr(_) | Marker::Str8 | Marker::Str16 | Marker::Str32 => {
                self.text().map(|_| ())
            }
            Marker::Bin8 | Marker::Bin16 | Marker::Bin32 => {
                let len = decode::read_bin_len(&mut self.at)?;
                self.stretch(len).map(|_| ())
            }
            marker => {
                let bytes = match marker {
                    Marker::Null
                    | Marker::True
                    | Marker::False
                    | Marker::FixPos(_)
                    | Marker::FixNeg(_) => 0,
                    Marker::U8 | Marker::I8 => 1,
                    Marker::U16 | Marker::I16 | Marker::FixExt1 => 2,
                    Marker::U32 | Marker::I32 | Marker::F32 => 4,
                    Marker::U64 | Marker::I64 | Marker::F64 => 8,
                    Marker::FixExt2 => 3,
                    Marker::FixExt4 => 5,
                    Marker::FixExt8 => 9,
                    Marker::FixExt16 => 17,
                    Marker::Ext8 => 2 + u32::from(self.ahead::<1>().map(|[n]| n)?),
                    Marker::Ext16 => 3 + u32::from(u16::from_be_bytes(self.ahead()?)),
                    Marker::Ext32 => u32::from_be_bytes(self.ahead()?).saturating_add(5),
                    _ => return Err(Stop::Bad(Malformed::Shape)),
                };
                self.at.read_u8()?;
                self.stretch(bytes).map(|_| ())
            }
        }
    }

    /// The bytes behind the marker that is next.
    fn ahead<const N: usize>(&self) -> Step<[u8; N]> {
        let from = self.pos() + 1;
        let bytes = self.at.get_ref().get(from..from + N).ok_or(Stop::Short)?;
        bytes.try_into().map_err(|_| Stop::Short)
    }
}

/// Takes one whole message off the front of the buffer, if there is one.
pub(crate) fn take(buffer: &mut BytesMut, limits: &Limits) -> Result<Option<Message>, Malformed> {
    let mut reader = Reader {
        at: Cursor::new(&buffer[..]),
        limits,
    };
    let (parts, len) = match reader.message() {
        Ok(parts) => (parts, reader.pos()),
        Err(Stop::Bad(why)) => return Err(why),
        Err(Stop::Short) if buffer.len() > limits.message_bytes => return Err(Malformed::TooLarge),
        Err(Stop::Short) => return Ok(None),
    };
    let bytes = buffer.split_to(len).freeze();
    Ok(Some(match parts {
        Parts::Call {
            id,
            method,
            fields,
            body,
        } => Message::Call {
            id,
            method: bytes.slice(method),
            fields: fields.map(|all| {
                Fields(
                    all.into_iter()
                        .map(|(n, v)| (bytes.slice(n), bytes.slice(v)))
                        .collect(),
                )
            }),
            body: body.map(|b| bytes.slice(b)),
        },
        Parts::Cancel { id } => Message::Cancel { id },
        Parts::Notice => Message::Notice,
    }))
}

/// The head of an answer with a result of so many bytes; the pieces follow, then [`END`].
pub(crate) fn result_head(id: u64, len: usize) -> Bytes {
    let mut head = start(id);
    encode::write_nil(&mut head).unwrap_or_default();
    encode::write_array_len(&mut head, 2)
        .map(|_| ())
        .unwrap_or_default();
    encode::write_bin_len(&mut head, len as u32)
        .map(|_| ())
        .unwrap_or_default();
    head.into()
}

/// The empty map of fields that ends an answer.
pub(crate) const END: &[u8] = &[0x80];

/// An answer that is an error.
pub(crate) fn error(id: u64, name: &str, field: Option<(&str, &str)>) -> Bytes {
    let mut text = start(id);
    encode::write_array_len(&mut text, 2)
        .map(|_| ())
        .unwrap_or_default();
    encode::write_str(&mut text, name).unwrap_or_default();
    encode::write_map_len(&mut text, field.iter().len() as u32)
        .map(|_| ())
        .unwrap_or_default();
    if let Some((name, value)) = field {
        encode::write_str(&mut text, name).unwrap_or_default();
        encode::write_str(&mut text, value).unwrap_or_default();
    }
    encode::write_nil(&mut text).unwrap_or_default();
    text.into()
}

/// The answer to `health`.
pub(crate) fn health(id: u64, fit: bool) -> Bytes {
    let mut text = start(id);
    encode::write_nil(&mut text).unwrap_or_default();
    encode::write_array_len(&mut text, 2)
        .map(|_| ())
        .unwrap_or_default();
    encode::write_bool(&mut text, fit).unwrap_or_default();
    text.extend_from_slice(END);
    text.into()
}

/// `[1, id, ...`; writing to memory does not fail.
fn start(id: u64) -> Vec<u8> {
    let mut text = Vec::with_capacity(32);
    encode::write_array_len(&mut text, 4)
        .map(|_| ())
        .unwrap_or_default();
    encode::write_uint(&mut text, 1)
        .map(|_| ())
        .unwrap_or_default();
    encode::write_uint(&mut text, id)
        .map(|_| ())
        .unwrap_or_default();
    text
}
