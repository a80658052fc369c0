//! An engine that speaks Arrow Flight SQL: HTTP/2 and gRPC as far as such an engine needs them.
//!
//! It runs a query with GetFlightInfo and announces its result in two endpoints, whose rows DoGet
//! delivers. It can be replaced as in a rolling deploy: it finishes the call that is open, tells
//! the peer with GOAWAY that it takes no further calls, and ends (RFC 9113, section 6.8).

use crate::flight_rows::{FIRST_ROWS, SCHEMA, SECOND_ROWS};
use crate::record::Record;
use std::collections::HashMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
const DATA: u8 = 0;
const HEADERS: u8 = 1;
const SETTINGS: u8 = 4;
const PING: u8 = 6;
const GOAWAY: u8 = 7;
const ACK: u8 = 1;
const END_STREAM: u8 = 1;
const END_HEADERS: u8 = 4;

/// `:status: 200` and `content-type: application/grpc`.
const RESPONSE_HEADERS: &[u8] = b"\x88\x0f\x10\x10application/grpc";
/// `grpc-status: 0`.
const TRAILERS: &[u8] = b"\x00\x0bgrpc-status\x010";

/// How long a statement runs.
const RUN_TIME: Duration = Duration::from_millis(200);

/// What the engines of a case saw.
#[derive(Default)]
pub struct Seen {
    /// Each run of a statement: the engine, and the statement.
    pub runs: Vec<(usize, String)>,
    /// Each delivery of an endpoint's rows: the engine, and the ticket.
    pub deliveries: Vec<(usize, String)>,
    /// The statement during which an engine was replaced.
    pub replaced_during: Option<(usize, String)>,
}

/// One engine.
pub struct Engine {
    number: usize,
    record: Record,
    seen: Arc<Mutex<Seen>>,
    /// Whether an engine is to be replaced during the first statement.
    trouble: bool,
    stopped: AtomicBool,
}

/// Starts an engine and returns its address.
pub fn start(number: usize, record: Record, seen: Arc<Mutex<Seen>>, trouble: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
    let address = listener.local_addr().expect("address");
    listener.set_nonblocking(true).expect("option");
    let engine = Arc::new(Engine {
        number,
        record,
        seen,
        trouble,
        stopped: AtomicBool::new(false),
    });
    thread::spawn(move || {
        // The listener is closed once the engine is replaced.
        while !engine.stopped.load(Ordering::SeqCst) {
            match listener.accept() {
                Ok((stream, _)) => {
                    let engine = engine.clone();
                    thread::spawn(move || engine.serve(stream));
                }
                Err(_) => thread::sleep(Duration::from_millis(2)),
            }
        }
    });
    address
}

fn frame(kind: u8, flags: u8, stream: u32, payload: &[u8]) -> Vec<u8> {
    let mut out = (payload.len() as u32).to_be_bytes()[1..].to_vec();
    out.extend_from_slice(&[kind, flags]);
    out.extend_from_slice(&stream.to_be_bytes());
    out.extend_from_slice(payload);
    out
}

fn grpc_message(message: &[u8]) -> Vec<u8> {
    let mut out = vec![0];
    out.extend_from_slice(&(message.len() as u32).to_be_bytes());
    out.extend_from_slice(message);
    out
}

/// A field of a protobuf message that is shorter than 128 bytes.
fn field(number: u8, bytes: &[u8]) -> Vec<u8> {
    assert!(bytes.len() < 128);
    let mut out = vec![number << 3 | 2, bytes.len() as u8];
    out.extend_from_slice(bytes);
    out
}

fn contains(bytes: &[u8], text: &str) -> bool {
    bytes
        .windows(text.len())
        .any(|window| window == text.as_bytes())
}

/// The name `batch_N` in a statement or ticket.
fn batch_of(bytes: &[u8]) -> String {
    let text = String::from_utf8_lossy(bytes);
    let start = text.find("batch_").expect("a statement of this case");
    let rest = &text[start..];
    let end = rest[6..]
        .find(|c: char| !c.is_ascii_digit())
        .map_or(rest.len(), |end| end + 6);
    rest[..end].to_owned()
}

impl Engine {
    fn line(&self, text: &str) {
        self.record.line(format!("engine {}: {text}", self.number));
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nonblocking(false);
        let _ = stream.set_nodelay(true);
        if let Err(error) = self.serve_frames(&mut stream)
            && error.kind() != ErrorKind::UnexpectedEof
        {
            self.line(&format!("connection ended: {error}"));
        }
    }

    fn serve_frames(&self, stream: &mut TcpStream) -> std::io::Result<()> {
        let mut preface = [0; 24];
        stream.read_exact(&mut preface)?;
        assert_eq!(preface, PREFACE);
        stream.write_all(&frame(SETTINGS, 0, 0, &[]))?;
        let mut calls: HashMap<u32, Vec<u8>> = HashMap::new();
        loop {
            let mut head = [0; 9];
            stream.read_exact(&mut head)?;
            let length = u32::from_be_bytes([0, head[0], head[1], head[2]]) as usize;
            let (kind, flags) = (head[3], head[4]);
            let number = u32::from_be_bytes([head[5], head[6], head[7], head[8]]);
            let mut payload = vec![0; length];
            stream.read_exact(&mut payload)?;
            match kind {
                SETTINGS if flags & ACK == 0 => stream.write_all(&frame(SETTINGS, ACK, 0, &[]))?,
                PING if flags & ACK == 0 => stream.write_all(&frame(PING, ACK, 0, &payload))?,
                HEADERS => _ = calls.entry(number).or_default(),
                DATA => calls.entry(number).or_default().extend_from_slice(&payload),
                _ => {}
            }
            if matches!(kind, HEADERS | DATA)
                && flags & END_STREAM != 0
                && let Some(request) = calls.remove(&number)
                && self.answer(stream, number, &request)?
            {
                // The open call is finished, and the engine ends.
                thread::sleep(Duration::from_millis(300));
                return Ok(());
            }
        }
    }

    /// Answers one call. Returns whether the engine ends after it.
    fn answer(&self, stream: &mut TcpStream, number: u32, request: &[u8]) -> std::io::Result<bool> {
        let batch = batch_of(request);
        let mut out = frame(HEADERS, END_HEADERS, number, RESPONSE_HEADERS);
        let mut replaced = false;
        if contains(request, "CommandStatementQuery") {
            self.line(&format!("GetFlightInfo: runs the statement of {batch}"));
            {
                let mut seen = self.seen.lock().expect("lock");
                seen.runs.push((self.number, batch.clone()));
            }
            thread::sleep(RUN_TIME);
            let endpoint = |part: u8| {
                let ticket = field(1, format!("{batch}/{part}").as_bytes());
                field(3, &field(1, &ticket))
            };
            let info = [endpoint(1), endpoint(2)].concat();
            out.extend(frame(DATA, 0, number, &grpc_message(&info)));
        } else if contains(request, "CommandStatementUpdate") {
            panic!("the statement was sent as an update");
        } else {
            let first = contains(request, &format!("{batch}/1"));
            let (rows, part) = if first {
                (FIRST_ROWS, 1)
            } else {
                (SECOND_ROWS, 2)
            };
            out.extend(frame(DATA, 0, number, &grpc_message(SCHEMA)));
            out.extend(frame(DATA, 0, number, &grpc_message(rows)));
            self.line(&format!(
                "DoGet: delivers the rows of {batch}, endpoint {part} of 2"
            ));
            let mut seen = self.seen.lock().expect("lock");
            seen.deliveries
                .push((self.number, format!("{batch}/{part}")));
            if self.trouble && first && seen.replaced_during.is_none() {
                seen.replaced_during = Some((self.number, batch.clone()));
                self.line("is replaced: GOAWAY, the open call is finished, the listener is closed");
                self.stopped.store(true, Ordering::SeqCst);
                let mut payload = number.to_be_bytes().to_vec();
                payload.extend_from_slice(&0u32.to_be_bytes());
                out.extend(frame(GOAWAY, 0, 0, &payload));
                replaced = true;
            }
        }
        out.extend(frame(HEADERS, END_HEADERS | END_STREAM, number, TRAILERS));
        stream.write_all(&out)?;
        Ok(replaced)
    }
}
