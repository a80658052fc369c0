//! The frames of the simulator's binary protocol: a header, records of fixed size, and a tail with
//! data of variable size. All numbers are little-endian, and there is no padding.

use std::io::{self, ErrorKind, Read};
use workload_manager::EngineId;

/// Bytes of a batch's header.
const BATCH_HEADER_BYTES: usize = 20;
/// Bytes of an event record.
const EVENT_RECORD_BYTES: usize = 48;
/// Bytes of an action record.
const ACTION_RECORD_BYTES: usize = 24;
/// Bytes of a reply's header.
const REPLY_HEADER_BYTES: usize = 12;

/// Why the input cannot be decoded, and where.
#[derive(Debug, thiserror::Error)]
pub(crate) enum FrameError {
    /// The input ended inside a batch header.
    #[error("input ends after {read} of {BATCH_HEADER_BYTES} bytes of a batch header")]
    PartialHeader { read: usize },
    /// A batch header could not be read.
    #[error("cannot read a batch header: {0}")]
    Unreadable(#[source] io::Error),
    /// The records that the header counts do not fit into the frame.
    #[error("batch {batch}: {records} records do not fit into a frame of {frame_bytes} bytes")]
    TooManyRecords {
        batch: u32,
        records: usize,
        frame_bytes: usize,
    },
    /// The simulator's clock is infinite or NaN.
    #[error("batch {batch}: the clock is not a finite number")]
    ClockNotFinite { batch: u32 },
    /// The input ended inside the records or the tail of a batch.
    #[error("batch {batch}: input ends after {read} of {body_bytes} bytes of the body")]
    PartialBody {
        batch: u32,
        read: usize,
        body_bytes: usize,
    },
    /// The records and the tail of a batch could not be read.
    #[error("batch {batch}: cannot read the body: {source}")]
    UnreadableBody { batch: u32, source: io::Error },
    /// A record refers to bytes outside the tail.
    #[error(
        "batch {batch}: {what} at {offset}, length {length}, lies outside the tail of {tail_bytes} bytes"
    )]
    OutsideTail {
        batch: u32,
        what: &'static str,
        offset: usize,
        length: usize,
        tail_bytes: usize,
    },
    /// A record has a value that the protocol does not define.
    #[error("batch {batch}, record {record}: {what} {value}")]
    UnknownValue {
        batch: u32,
        record: usize,
        what: &'static str,
        value: u64,
    },
}

/// One batch of event records.
pub(crate) struct Batch {
    /// The simulator's time, in ms.
    pub(crate) clock_ms: f64,
    pub(crate) number: u32,
    pub(crate) record_count: usize,
    body: Vec<u8>,
}

impl Batch {
    /// Reads one batch; `None` at the end of input.
    pub(crate) fn read(input: &mut impl Read) -> Result<Option<Batch>, FrameError> {
        let mut header = [0u8; BATCH_HEADER_BYTES];
        let read = read_until_full(input, &mut header).map_err(FrameError::Unreadable)?;
        if read == 0 {
            return Ok(None);
        }
        if read < BATCH_HEADER_BYTES {
            return Err(FrameError::PartialHeader { read });
        }
        let header = Fields(&header);
        let frame_bytes = header.u32(0) as usize;
        let clock_ms = header.f64(4);
        let record_count = header.u32(12) as usize;
        let number = header.u32(16);
        let min_frame_bytes = record_count
            .checked_mul(EVENT_RECORD_BYTES)
            .and_then(|bytes| bytes.checked_add(BATCH_HEADER_BYTES));
        if min_frame_bytes.is_none_or(|bytes| bytes > frame_bytes) {
            return Err(FrameError::TooManyRecords {
                batch: number,
                records: record_count,
                frame_bytes,
            });
        }
        if !clock_ms.is_finite() {
            return Err(FrameError::ClockNotFinite { batch: number });
        }
        let body = read_body(input, number, frame_bytes - BATCH_HEADER_BYTES)?;
        Ok(Some(Batch {
            clock_ms,
            number,
            record_count,
            body,
        }))
    }

    /// Returns the record at an index. All offsets at which its fields are read lie inside it.
    pub(crate) fn record(&self, index: usize) -> Fields<'_> {
        Fields(&self.body[index * EVENT_RECORD_BYTES..(index + 1) * EVENT_RECORD_BYTES])
    }

    /// Returns a part of the tail. The error message describes it as `what`.
    pub(crate) fn tail(
        &self,
        offset: u32,
        length: usize,
        what: &'static str,
    ) -> Result<&[u8], FrameError> {
        let tail = &self.body[self.record_count * EVENT_RECORD_BYTES..];
        let offset = offset as usize;
        let bytes = offset
            .checked_add(length)
            .and_then(|end| tail.get(offset..end));
        bytes.ok_or(FrameError::OutsideTail {
            batch: self.number,
            what,
            offset,
            length,
            tail_bytes: tail.len(),
        })
    }
}

/// Reads the records and the tail of a batch. The buffer grows with the bytes that arrive, so a
/// header with a wrong size does not make it large.
fn read_body(input: &mut impl Read, batch: u32, body_bytes: usize) -> Result<Vec<u8>, FrameError> {
    let mut body = Vec::new();
    let read = input
        .take(body_bytes as u64)
        .read_to_end(&mut body)
        .map_err(|source| FrameError::UnreadableBody { batch, source })?;
    if read == body_bytes {
        Ok(body)
    } else {
        Err(FrameError::PartialBody {
            batch,
            read,
            body_bytes,
        })
    }
}

/// Reads until the buffer is full or the input ends, and returns the number of bytes read.
fn read_until_full(input: &mut impl Read, buffer: &mut [u8]) -> io::Result<usize> {
    let mut read = 0;
    while read < buffer.len() {
        match input.read(&mut buffer[read..]) {
            Ok(0) => break,
            Ok(bytes) => read += bytes,
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(error) => return Err(error),
        }
    }
    Ok(read)
}

/// The bytes of a header or record, whose fields are read at fixed offsets.
#[derive(Clone, Copy)]
pub(crate) struct Fields<'a>(pub(crate) &'a [u8]);

impl Fields<'_> {
    fn array<const N: usize>(self, offset: usize) -> [u8; N] {
        let mut field = [0; N];
        field.copy_from_slice(&self.0[offset..offset + N]);
        field
    }

    pub(crate) fn u8(self, offset: usize) -> u8 {
        self.0[offset]
    }

    pub(crate) fn u16(self, offset: usize) -> u16 {
        u16::from_le_bytes(self.array(offset))
    }

    pub(crate) fn u32(self, offset: usize) -> u32 {
        u32::from_le_bytes(self.array(offset))
    }

    pub(crate) fn u64(self, offset: usize) -> u64 {
        u64::from_le_bytes(self.array(offset))
    }

    pub(crate) fn f32(self, offset: usize) -> f64 {
        f64::from(f32::from_le_bytes(self.array(offset)))
    }

    pub(crate) fn f64(self, offset: usize) -> f64 {
        f64::from_le_bytes(self.array(offset))
    }

    pub(crate) fn engine(self, offset: usize) -> EngineId {
        EngineId {
            addr: self.array(offset),
            port: self.u16(offset + 4),
        }
    }
}

/// A reply under construction.
#[derive(Default)]
pub(crate) struct Reply {
    records: Vec<u8>,
    tail: Vec<u8>,
    record_count: u32,
}

impl Reply {
    /// Adds a record with its code, its instance and its fields, each given with its offset.
    pub(crate) fn add_record(&mut self, code: u8, instance: u16, fields: &[(usize, &[u8])]) {
        let mut record = [0u8; ACTION_RECORD_BYTES];
        record[0] = code;
        record[1..3].copy_from_slice(&instance.to_le_bytes());
        for (offset, bytes) in fields {
            record[*offset..offset + bytes.len()].copy_from_slice(bytes);
        }
        self.records.extend_from_slice(&record);
        self.record_count += 1;
    }

    /// Adds text to the tail and returns the field with its offset and length.
    pub(crate) fn add_text(&mut self, text: &str) -> [u8; 8] {
        let mut field = [0; 8];
        field[..4].copy_from_slice(&(self.tail.len() as u32).to_le_bytes());
        field[4..].copy_from_slice(&(text.len() as u32).to_le_bytes());
        self.tail.extend_from_slice(text.as_bytes());
        field
    }

    /// Returns the encoded reply to the batch with this number.
    pub(crate) fn into_bytes(self, batch: u32) -> Vec<u8> {
        let frame_bytes = REPLY_HEADER_BYTES + self.records.len() + self.tail.len();
        let mut bytes = Vec::with_capacity(frame_bytes);
        bytes.extend_from_slice(&self.record_count.to_le_bytes());
        bytes.extend_from_slice(&(frame_bytes as u32).to_le_bytes());
        bytes.extend_from_slice(&batch.to_le_bytes());
        bytes.extend_from_slice(&self.records);
        bytes.extend_from_slice(&self.tail);
        bytes
    }
}
