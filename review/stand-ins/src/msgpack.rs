//! A client of the platform's MessagePack-RPC.

use std::collections::VecDeque;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// The form in which an array's length is written; MessagePack allows each for any short array.
#[derive(Clone, Copy)]
pub enum ArrayForm {
    Fix,
    Array16,
    Array32,
}

fn array(length: u8, form: ArrayForm, out: &mut Vec<u8>) {
    match form {
        ArrayForm::Fix => out.push(0x90 | length),
        ArrayForm::Array16 => out.extend_from_slice(&[0xdc, 0, length]),
        ArrayForm::Array32 => out.extend_from_slice(&[0xdd, 0, 0, 0, length]),
    }
}

fn integer(value: u64, out: &mut Vec<u8>) {
    match value {
        0..=0x7f => out.push(value as u8),
        0x80..=0xffff => {
            out.push(0xcd);
            out.extend_from_slice(&(value as u16).to_be_bytes());
        }
        _ => {
            out.push(0xce);
            out.extend_from_slice(&(value as u32).to_be_bytes());
        }
    }
}

fn string(text: &str, out: &mut Vec<u8>) {
    out.extend_from_slice(&[0xd9, text.len() as u8]);
    out.extend_from_slice(text.as_bytes());
}

fn binary(bytes: &[u8], out: &mut Vec<u8>) {
    out.push(0xc5);
    out.extend_from_slice(&(bytes.len() as u16).to_be_bytes());
    out.extend_from_slice(bytes);
}

/// The bytes of a call.
pub fn call(id: u64, method: &str, fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut out = vec![0x94, 0x00];
    integer(id, &mut out);
    string(method, &mut out);
    out.extend_from_slice(&[0x92, 0x80 | fields.len() as u8]);
    for (name, value) in fields {
        string(name, &mut out);
        string(value, &mut out);
    }
    binary(body, &mut out);
    out
}

/// The bytes of the notification that takes a call back: `[2, "cancel", [id]]`. `form` is the form
/// of the inner array.
pub fn cancel(id: u64, form: ArrayForm) -> Vec<u8> {
    let mut out = vec![0x93, 0x02];
    string("cancel", &mut out);
    array(1, form, &mut out);
    integer(id, &mut out);
    out
}

/// A parsed value.
#[derive(Clone, Debug, PartialEq)]
enum Value {
    Nil,
    Bool(bool),
    Int(u64),
    Text(Vec<u8>),
    Array(Vec<Value>),
    Map(Vec<(Value, Value)>),
}

struct Parser<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn take(&mut self, count: usize) -> Option<&[u8]> {
        let taken = self.bytes.get(self.at..self.at + count)?;
        self.at += count;
        Some(taken)
    }

    fn number(&mut self, bytes: usize) -> Option<u64> {
        Some(
            self.take(bytes)?
                .iter()
                .fold(0, |value, byte| value << 8 | u64::from(*byte)),
        )
    }

    fn value(&mut self) -> Option<Value> {
        let marker = self.number(1)? as u8;
        Some(match marker {
            0x00..=0x7f => Value::Int(u64::from(marker)),
            0x80..=0x8f => self.map(usize::from(marker & 0x0f))?,
            0x90..=0x9f => self.elements(usize::from(marker & 0x0f))?,
            0xa0..=0xbf => self.text(usize::from(marker & 0x1f))?,
            0xc0 => Value::Nil,
            0xc2 | 0xc3 => Value::Bool(marker == 0xc3),
            0xc4 | 0xd9 => self.sized(1)?,
            0xc5 | 0xda => self.sized(2)?,
            0xc6 | 0xdb => self.sized(4)?,
            0xcc..=0xcf => Value::Int(self.number(1 << (marker - 0xcc))?),
            0xdc => {
                let count = self.number(2)? as usize;
                self.elements(count)?
            }
            0xde => {
                let count = self.number(2)? as usize;
                self.map(count)?
            }
            other => panic!("the answer cannot be read: marker {other:#x}"),
        })
    }

    fn sized(&mut self, bytes: usize) -> Option<Value> {
        let length = self.number(bytes)? as usize;
        self.text(length)
    }

    fn text(&mut self, length: usize) -> Option<Value> {
        Some(Value::Text(self.take(length)?.to_vec()))
    }

    fn elements(&mut self, count: usize) -> Option<Value> {
        Some(Value::Array(
            (0..count).map(|_| self.value()).collect::<Option<_>>()?,
        ))
    }

    fn map(&mut self, count: usize) -> Option<Value> {
        let pairs = (0..count).map(|_| Some((self.value()?, self.value()?)));
        Some(Value::Map(pairs.collect::<Option<_>>()?))
    }
}

/// One answer of the workload manager.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    /// The message id of the call.
    pub id: u64,
    /// `served`, or the name of the error.
    pub word: String,
    /// The result as text; empty for an error.
    pub rows: String,
    /// Whether this is `true` as the answer to `health`.
    pub healthy: bool,
}

fn answer_of(value: Value) -> Answer {
    let Value::Array(parts) = value else {
        panic!("not an answer")
    };
    let [Value::Int(1), Value::Int(id), error, result] = &parts[..] else {
        panic!("not an answer: {parts:?}")
    };
    let error = match error {
        Value::Nil => None,
        Value::Array(parts) => match parts.first() {
            Some(Value::Text(name)) => Some(String::from_utf8_lossy(name).into_owned()),
            _ => panic!("not an error: {parts:?}"),
        },
        other => panic!("not an error: {other:?}"),
    };
    let first = match result {
        Value::Array(parts) => parts.first().cloned(),
        _ => None,
    };
    let rows = match &first {
        Some(Value::Text(body)) => String::from_utf8_lossy(body).into_owned(),
        _ => String::new(),
    };
    Answer {
        id: *id,
        word: error.unwrap_or_else(|| "served".to_owned()),
        rows,
        healthy: first == Some(Value::Bool(true)),
    }
}

/// A connection of a client.
pub struct Client {
    stream: TcpStream,
    input: Vec<u8>,
    answers: VecDeque<Answer>,
    next_id: u64,
    /// Whether the workload manager has closed the connection.
    pub closed: bool,
}

impl Client {
    pub fn connect(address: SocketAddr) -> Client {
        let stream = TcpStream::connect(address).expect("the workload manager accepts");
        stream.set_nodelay(true).expect("option");
        Client {
            stream,
            input: Vec::new(),
            answers: VecDeque::new(),
            next_id: 0,
            closed: false,
        }
    }

    /// The next message id.
    pub fn next_id(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id
    }

    /// Writes the bytes. If the workload manager has closed the connection, it counts as closed.
    pub fn send(&mut self, bytes: &[u8]) {
        self.closed |= self.stream.write_all(bytes).is_err();
    }

    pub fn health(&mut self) {
        let id = self.next_id();
        let mut out = vec![0x94, 0x00];
        integer(id, &mut out);
        string("health", &mut out);
        out.extend_from_slice(&[0x91, 0x80]);
        self.send(&out);
    }

    /// Waits up to `wait` for the next answer.
    pub fn read_answer(&mut self, wait: Duration) -> Option<Answer> {
        let until = Instant::now() + wait;
        loop {
            if let Some(answer) = self.answers.pop_front() {
                return Some(answer);
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() || self.closed {
                return None;
            }
            self.stream.set_read_timeout(Some(left)).expect("option");
            let mut bytes = [0; 16384];
            match self.stream.read(&mut bytes) {
                Ok(0) => self.closed = true,
                Ok(count) => self.input.extend_from_slice(&bytes[..count]),
                Err(error) if error.kind() == std::io::ErrorKind::ConnectionReset => {
                    self.closed = true;
                }
                Err(_) => {}
            }
            self.parse();
        }
    }

    fn parse(&mut self) {
        loop {
            let mut parser = Parser {
                bytes: &self.input,
                at: 0,
            };
            let Some(value) = parser.value() else { return };
            let used = parser.at;
            self.input.drain(..used);
            self.answers.push_back(answer_of(value));
        }
    }
}

/// A client's reference: 16 hex digits, new with every request.
pub fn reference() -> String {
    use std::sync::atomic::{AtomicU64, Ordering};
    static NEXT: AtomicU64 = AtomicU64::new(1);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let seed = u64::from(std::process::id()) << 32;
    format!(
        "{:016x}",
        (seed | number).wrapping_mul(0x9e37_79b9_7f4a_7c15)
    )
}
