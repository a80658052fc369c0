//! A client of the platform's protocol, with one connection.

use crate::record::Record;
use rmp::{decode, encode};
use std::collections::HashMap;
use std::io::{Cursor, Read};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Instant;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::watch;

/// An answer: `served` and its rows, or the name of an error.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    pub text: String,
    pub at: Instant,
}

#[derive(Default)]
struct Received {
    answers: HashMap<u64, Vec<Answer>>,
    closed_at: Option<Instant>,
}

/// A client with its connection.
pub struct Client {
    name: String,
    writer: OwnedWriteHalf,
    received: Arc<Mutex<Received>>,
    changed: watch::Receiver<u64>,
    record: Record,
}

/// A request of a client.
pub struct Request<'a> {
    pub id: u64,
    pub class: &'a str,
    pub allow_ms: u64,
    pub statement: &'a str,
    /// Estimate of the work in milliseconds.
    pub effort_ms: u64,
}

impl Client {
    pub async fn connect(
        name: &str,
        address: SocketAddr,
        record: &Record,
    ) -> std::io::Result<Client> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let (mut reader, writer) = stream.into_split();
        let received = Arc::new(Mutex::new(Received::default()));
        let (change, changed) = watch::channel(0);
        let (state, log, who) = (received.clone(), record.clone(), name.to_owned());
        tokio::spawn(async move {
            let mut input = Vec::new();
            loop {
                let read = reader.read_buf(&mut input).await;
                let ended = !matches!(read, Ok(bytes) if bytes > 0);
                while let Some((id, text, length)) = parse_answer(&input) {
                    input.drain(..length);
                    log.line(format!(
                        "{who}: answer to {id}: {}",
                        text.trim_end().replace('\n', "|")
                    ));
                    let at = Instant::now();
                    let mut state = state.lock().expect("state");
                    state
                        .answers
                        .entry(id)
                        .or_default()
                        .push(Answer { text, at });
                }
                if ended {
                    log.line(format!("{who}: connection ended ({read:?})"));
                    state.lock().expect("state").closed_at = Some(Instant::now());
                }
                change.send_modify(|count| *count += 1);
                if ended {
                    return;
                }
            }
        });
        Ok(Client {
            name: name.to_owned(),
            writer,
            received,
            changed,
            record: record.clone(),
        })
    }

    /// Sends a request in one piece. Returns when its last byte was written.
    pub async fn send(&mut self, request: &Request<'_>) -> std::io::Result<Instant> {
        let message = self.encode(request);
        self.send_pieces(request, &[&message], 0).await
    }

    /// The bytes of a request.
    pub fn encode(&self, request: &Request<'_>) -> Vec<u8> {
        let hash = self.name.bytes().fold(7u32, |hash, byte| {
            hash.wrapping_mul(31).wrapping_add(u32::from(byte))
        });
        let reference = format!("{hash:08x}{:08x}", request.id);
        let (allow, effort) = (request.allow_ms.to_string(), request.effort_ms.to_string());
        let fields = [
            ("ref", reference.as_str()),
            ("allow", &allow),
            ("project", "member-north"),
            ("effort", &effort),
            ("need_mb", "16"),
        ];
        call(
            request.id,
            request.class,
            &fields,
            Some(request.statement.as_bytes()),
        )
    }

    /// Sends the pieces of a request, with a pause between them. Returns when the last byte was
    /// written.
    pub async fn send_pieces(
        &mut self,
        request: &Request<'_>,
        pieces: &[&[u8]],
        pause_ms: u64,
    ) -> std::io::Result<Instant> {
        for (index, piece) in pieces.iter().enumerate() {
            if index > 0 {
                tokio::time::sleep(std::time::Duration::from_millis(pause_ms)).await;
            }
            self.writer.write_all(piece).await?;
        }
        self.record.line(format!(
            "{}: sent {} {}, allow={}, {} piece(s)",
            self.name,
            request.class,
            request.id,
            request.allow_ms,
            pieces.len()
        ));
        Ok(Instant::now())
    }

    /// The answers to a request so far.
    pub fn answers(&self, id: u64) -> Vec<Answer> {
        let received = self.received.lock().expect("state");
        received.answers.get(&id).cloned().unwrap_or_default()
    }

    /// When the connection ended, if it has.
    pub fn closed_at(&self) -> Option<Instant> {
        self.received.lock().expect("state").closed_at
    }

    /// Waits until the request is answered or the connection has ended, at most until `until`.
    pub async fn wait(&mut self, id: u64, until: Instant) {
        let until = tokio::time::Instant::from_std(until);
        while self.answers(id).is_empty() && self.closed_at().is_none() {
            let changed = tokio::time::timeout_at(until, self.changed.changed()).await;
            if !matches!(changed, Ok(Ok(()))) {
                return;
            }
        }
    }
}

/// The bytes of a call.
pub fn call(id: u64, method: &str, fields: &[(&str, &str)], body: Option<&[u8]>) -> Vec<u8> {
    let mut message = vec![0x94, 0];
    encode::write_uint(&mut message, id).expect("id");
    encode::write_str(&mut message, method).expect("method");
    encode::write_array_len(&mut message, 1 + body.iter().len() as u32).expect("length");
    encode::write_map_len(&mut message, fields.len() as u32).expect("length");
    for (name, value) in fields {
        encode::write_str(&mut message, name).expect("name");
        encode::write_str(&mut message, value).expect("value");
    }
    if let Some(body) = body {
        encode::write_bin(&mut message, body).expect("body");
    }
    message
}

/// The id, text and length in bytes of the first answer; `None` while it is incomplete.
pub fn parse_answer(bytes: &[u8]) -> Option<(u64, String, usize)> {
    fn text(cursor: &mut Cursor<&[u8]>, length: u32) -> Option<String> {
        let mut text = vec![0; length as usize];
        Read::read_exact(cursor, &mut text).ok()?;
        String::from_utf8(text).ok()
    }
    let mut cursor = Cursor::new(bytes);
    decode::read_array_len(&mut cursor).ok()?;
    let _: u8 = decode::read_int(&mut cursor).ok()?;
    let id: u64 = decode::read_int(&mut cursor).ok()?;
    let served = *bytes.get(cursor.position() as usize)? == 0xc0;
    if served {
        decode::read_nil(&mut cursor).ok()?;
    }
    decode::read_array_len(&mut cursor).ok()?;
    let answer = match *bytes.get(cursor.position() as usize)? {
        0xc2 | 0xc3 => decode::read_bool(&mut cursor).ok()?.to_string(),
        _ if served => {
            let length = decode::read_bin_len(&mut cursor).ok()?;
            format!("served {}", text(&mut cursor, length)?)
        }
        _ => {
            let length = decode::read_str_len(&mut cursor).ok()?;
            text(&mut cursor, length)?
        }
    };
    for _ in 0..2 * decode::read_map_len(&mut cursor).ok()? {
        let length = decode::read_str_len(&mut cursor).ok()?;
        text(&mut cursor, length)?;
    }
    if !served {
        decode::read_nil(&mut cursor).ok()?;
    }
    Some((id, answer, cursor.position() as usize))
}
