//! A client that speaks Arrow Flight SQL: HTTP/2 and gRPC as far as such a client needs them, with
//! the protocol's default windows.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

const DATA: u8 = 0;
const HEADERS: u8 = 1;
const RST_STREAM: u8 = 3;
const SETTINGS: u8 = 4;
const PING: u8 = 6;
const GOAWAY: u8 = 7;
const WINDOW_UPDATE: u8 = 8;
const ACK: u8 = 1;
const END_STREAM: u8 = 1;
const END_HEADERS: u8 = 4;

fn frame(kind: u8, flags: u8, stream: u32, payload: &[u8]) -> Vec<u8> {
    let mut out = (payload.len() as u32).to_be_bytes()[1..].to_vec();
    out.extend_from_slice(&[kind, flags]);
    out.extend_from_slice(&stream.to_be_bytes());
    out.extend_from_slice(payload);
    out
}

fn varint(mut value: usize, out: &mut Vec<u8>) {
    while value > 0x7f {
        out.push(value as u8 | 0x80);
        value >>= 7;
    }
    out.push(value as u8);
}

/// A field of a protobuf message that holds bytes.
fn field(number: u8, bytes: &[u8]) -> Vec<u8> {
    let mut out = vec![number << 3 | 2];
    varint(bytes.len(), &mut out);
    out.extend_from_slice(bytes);
    out
}

/// The first field with this number that holds bytes, in a message that has only such fields and
/// numbers.
fn find_field(mut message: &[u8], wanted: u64) -> Option<&[u8]> {
    fn number(bytes: &mut &[u8]) -> Option<u64> {
        let mut value = 0;
        for shift in (0..).step_by(7) {
            let (first, rest) = bytes.split_first()?;
            *bytes = rest;
            value |= u64::from(first & 0x7f) << shift;
            if first & 0x80 == 0 {
                return Some(value);
            }
        }
        None
    }
    while !message.is_empty() {
        let tag = number(&mut message)?;
        let value = number(&mut message)?;
        if tag & 7 == 2 {
            let (bytes, rest) = message.split_at_checked(value as usize)?;
            message = rest;
            if tag >> 3 == wanted {
                return Some(bytes);
            }
        }
    }
    None
}

/// What has arrived for one call.
#[derive(Default)]
pub struct Call {
    pub data: Vec<u8>,
    /// The stream has ended, with its trailers or with a reset that the client can tell.
    pub ended: bool,
}

/// One connection.
pub struct FlightClient {
    stream: TcpStream,
    next_stream: u32,
    /// Bytes of a frame that has not arrived whole.
    input: Vec<u8>,
    pub calls: BTreeMap<u32, Call>,
    /// The last stream that a GOAWAY of the workload manager names, if one came.
    pub goaway: Option<u32>,
    /// Whether the connection was closed by the workload manager.
    pub closed: bool,
}

impl FlightClient {
    pub fn connect(address: SocketAddr) -> FlightClient {
        let mut stream = TcpStream::connect(address).expect("the Flight SQL front end accepts");
        stream.set_nodelay(true).expect("option");
        stream
            .write_all(b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n")
            .expect("write");
        stream
            .write_all(&frame(SETTINGS, 0, 0, &[]))
            .expect("write");
        FlightClient {
            stream,
            next_stream: 1,
            input: Vec::new(),
            calls: BTreeMap::new(),
            goaway: None,
            closed: false,
        }
    }

    fn call(&mut self, method: &str, metadata: &[(&str, &str)], message: &[u8]) -> u32 {
        let number = self.next_stream;
        self.next_stream += 2;
        let mut head = vec![0x83, 0x86];
        let mut literal = |prefix: &[u8], texts: &[&str]| {
            head.extend_from_slice(prefix);
            for text in texts {
                assert!(text.len() < 127);
                head.push(text.len() as u8);
                head.extend_from_slice(text.as_bytes());
            }
        };
        let path = format!("/arrow.flight.protocol.FlightService/{method}");
        literal(&[0x04], &[&path]);
        literal(&[0x01], &["127.0.0.1"]);
        literal(&[0x0f, 0x10], &["application/grpc"]);
        literal(&[0x00], &["te", "trailers"]);
        for (name, value) in metadata {
            literal(&[0x00], &[name, value]);
        }
        let mut data = vec![0];
        data.extend_from_slice(&(message.len() as u32).to_be_bytes());
        data.extend_from_slice(message);
        let mut out = frame(HEADERS, END_HEADERS, number, &head);
        out.extend(frame(DATA, END_STREAM, number, &data));
        self.calls.insert(number, Call::default());
        self.closed |= self.stream.write_all(&out).is_err();
        number
    }

    /// Plans a query and returns its ticket.
    pub fn plan(&mut self, class: &str, tenant: &str, query: &str) -> Vec<u8> {
        let command = [
            field(
                1,
                b"type.googleapis.com/arrow.flight.protocol.sql.CommandStatementQuery",
            ),
            field(2, &field(1, query.as_bytes())),
        ]
        .concat();
        let descriptor = [vec![0x08, 0x02], field(2, &command)].concat();
        let metadata = [("magpiechute-class", class), ("magpiechute-tenant", tenant)];
        let number = self.call("GetFlightInfo", &metadata, &descriptor);
        self.read_for(Duration::from_secs(2), |calls| calls[&number].ended);
        let answer = self.calls.remove(&number).expect("the call");
        let info = answer.data.get(5..).expect("an answer to GetFlightInfo");
        let endpoint = find_field(info, 3).expect("an endpoint");
        let ticket = find_field(endpoint, 1).expect("a ticket");
        ticket.to_vec()
    }

    /// Sends DoGet with a ticket, and returns the number of the call.
    pub fn get(&mut self, ticket: &[u8]) -> u32 {
        self.call("DoGet", &[], ticket)
    }

    /// Reads, and opens the windows for what it has read, until `done` or until the time is over.
    pub fn read_for(&mut self, wait: Duration, done: impl Fn(&BTreeMap<u32, Call>) -> bool) {
        let until = Instant::now() + wait;
        loop {
            if self.closed || done(&self.calls) {
                return;
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return;
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
            while self.input.len() >= 9 {
                let head = &self.input[..3];
                let length = u32::from_be_bytes([0, head[0], head[1], head[2]]) as usize;
                if self.input.len() < 9 + length {
                    break;
                }
                let whole: Vec<u8> = self.input.drain(..9 + length).collect();
                self.handle(&whole);
            }
        }
    }

    fn handle(&mut self, whole: &[u8]) {
        let (kind, flags) = (whole[3], whole[4]);
        let number = u32::from_be_bytes([whole[5], whole[6], whole[7], whole[8]]);
        let payload = &whole[9..];
        let mut out = Vec::new();
        match kind {
            SETTINGS if flags & ACK == 0 => out = frame(SETTINGS, ACK, 0, &[]),
            PING if flags & ACK == 0 => out = frame(PING, ACK, 0, payload),
            GOAWAY if payload.len() >= 4 => {
                let last = u32::from_be_bytes([payload[0], payload[1], payload[2], payload[3]]);
                self.goaway = Some(last);
            }
            DATA if !payload.is_empty() => {
                let size = (payload.len() as u32).to_be_bytes();
                out = frame(WINDOW_UPDATE, 0, 0, &size);
                out.extend(frame(WINDOW_UPDATE, 0, number, &size));
            }
            _ => {}
        }
        if let Some(call) = self.calls.get_mut(&number) {
            if kind == DATA {
                call.data.extend_from_slice(payload);
            }
            let last = matches!(kind, DATA | HEADERS) && flags & END_STREAM != 0;
            call.ended |= last || kind == RST_STREAM;
        }
        if !out.is_empty() {
            self.closed |= self.stream.write_all(&out).is_err();
        }
    }
}
