//! Frames of the wire: header, records of fixed size, tail. Little-endian, no padding.

use std::fmt;
use std::io::{ErrorKind, Read};

pub(crate) const HEADER: usize = 20;
pub(crate) const EVENT: usize = 48;
pub(crate) const ACTION: usize = 24;

/// What is wrong with the input, and where.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Problem(pub String);

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// One batch of events, as read.
pub(crate) struct Batch {
    pub clock: f64,
    pub number: u32,
    pub count: usize,
    body: Vec<u8>,
}

impl Batch {
    /// Record `i`; its fields are read at fixed offsets, all of which lie inside.
    pub(crate) fn record(&self, i: usize) -> Bytes<'_> {
        Bytes(&self.body[i * EVENT..(i + 1) * EVENT])
    }

    /// A stretch of the tail.
    pub(crate) fn tail(&self, offset: u32, length: usize, what: &str) -> Result<&[u8], Problem> {
        let tail = &self.body[self.count * EVENT..];
        let from = offset as usize;
        from.checked_add(length).and_then(|to| tail.get(from..to)).ok_or_else(|| {
            Problem(format!(
                "batch {}: {what} at {from}, length {length}, lies outside the tail of {} bytes",
                self.number,
                tail.len()
            ))
        })
    }
}

/// Fields at fixed offsets.
#[derive(Clone, Copy)]
pub(crate) struct Bytes<'a>(pub &'a [u8]);

impl Bytes<'_> {
    fn take<const N: usize>(self, at: usize) -> [u8; N] {
        let mut field = [0; N];
        field.copy_from_slice(&self.0[at..at + N]);
        field
    }

    pub(crate) fn u8(self, at: usize) -> u8 {
        self.0[at]
    }

    pub(crate) fn u16(self, at: usize) -> u16 {
        u16::from_le_bytes(self.take(at))
    }

    pub(crate) fn u32(self, at: usize) -> u32 {
        u32::from_le_bytes(self.take(at))
    }

    pub(crate) fn u64(self, at: usize) -> u64 {
        u64::from_le_bytes(self.take(at))
    }

    pub(crate) fn f32(self, at: usize) -> f64 {
        f64::from(f32::from_le_bytes(self.take(at)))
    }

    pub(crate) fn f64(self, at: usize) -> f64 {
        f64::from_le_bytes(self.take(at))
    }

    pub(crate) fn engine(self, at: usize) -> workload_manager::EngineId {
        workload_manager::EngineId {
            addr: self.take(at),
            port: self.u16(at + 4),
        }
    }
}

/// Reads one batch; `None` at the end of input.
pub(crate) fn read(input: &mut impl Read) -> Result<Option<Batch>, Problem> {
    let mut header = [0u8; HEADER];
    let got = fill(input, &mut header)?;
    if got == 0 {
        return Ok(None);
    }
    if got < HEADER {
        return Err(Problem(format!(
            "input ends {got} bytes into a batch header of {HEADER}"
        )));
    }
    let h = Bytes(&header);
    let (length, clock, count, number) =
        (h.u32(0) as usize, h.f64(4), h.u32(12) as usize, h.u32(16));
    let needed = count.checked_mul(EVENT).and_then(|n| n.checked_add(HEADER));
    if needed.is_none_or(|n| n > length) {
        return Err(Problem(format!(
            "batch {number}: {count} records do not fit a frame of {length} bytes"
        )));
    }
    if !clock.is_finite() {
        return Err(Problem(format!(
            "batch {number}: the clock is not a number"
        )));
    }
    // Memory grows with what has come in, not with what the header claims.
    let mut body = Vec::new();
    let wanted = length - HEADER;
    match input.take(wanted as u64).read_to_end(&mut body) {
        Ok(n) if n == wanted => Ok(Some(Batch {
            clock,
            number,
            count,
            body,
        })),
        Ok(n) => Err(Problem(format!(
            "batch {number}: input ends {n} bytes into a body of {wanted}"
        ))),
        Err(e) => Err(Problem(format!("batch {number}: cannot read: {e}"))),
    }
}

fn fill(input: &mut impl Read, into: &mut [u8]) -> Result<usize, Problem> {
    let mut got = 0;
    while got < into.len() {
        match input.read(&mut into[got..]) {
            Ok(0) => break,
            Ok(n) => got += n,
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) => return Err(Problem(format!("cannot read: {e}"))),
        }
    }
    Ok(got)
}

/// A reply under construction.
#[derive(Default)]
pub(crate) struct Reply {
    records: Vec<u8>,
    tail: Vec<u8>,
    count: u32,
}

impl Reply {
    /// Adds a record: its code, its instance and its fields, each at its offset.
    pub(crate) fn record(&mut self, code: u8, instance: u16, fields: &[(usize, &[u8])]) {
        let mut record = [0u8; ACTION];
        record[0] = code;
        record[1..3].copy_from_slice(&instance.to_le_bytes());
        for (at, bytes) in fields {
            record[*at..at + bytes.len()].copy_from_slice(bytes);
        }
        self.records.extend_from_slice(&record);
        self.count += 1;
    }

    /// Adds text to the tail and returns the field that refers to it.
    pub(crate) fn text(&mut self, text: &str) -> [u8; 8] {
        let mut field = [0; 8];
        field[..4].copy_from_slice(&(self.tail.len() as u32).to_le_bytes());
        field[4..].copy_from_slice(&(text.len() as u32).to_le_bytes());
        self.tail.extend_from_slice(text.as_bytes());
        field
    }

    pub(crate) fn finish(self, number: u32) -> Vec<u8> {
        let size = 12 + self.records.len() + self.tail.len();
        let mut out = Vec::with_capacity(size);
        out.extend_from_slice(&self.count.to_le_bytes());
        out.extend_from_slice(&(size as u32).to_le_bytes());
        out.extend_from_slice(&number.to_le_bytes());
        out.extend_from_slice(&self.records);
        out.extend_from_slice(&self.tail);
        out
    }
}
