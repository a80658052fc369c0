//! A fake client of the platform: MessagePack-RPC on one connection.

use super::{from_hex, statement, unescape};
use rmp::decode::{self, RmpRead};
use rmp::encode;
use std::collections::HashMap;
use std::io::Cursor;
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// The name of a change that is not a field: it adds a comment of this length to the statement.
const PADDING: &str = "padding";

/// A client with one connection, and the answers that it received.
pub(crate) struct Client {
    name: String,
    stream: TcpStream,
    /// Received bytes that are not decoded yet.
    input: Vec<u8>,
    /// Answers that the test has not taken, by the id of the request.
    answers: HashMap<u64, String>,
    /// Requests that have been answered.
    answered: Vec<u64>,
    closed: bool,
}

impl Client {
    /// Connects to a manager.
    pub(crate) async fn new(name: &str, address: SocketAddr) -> Client {
        let stream = TcpStream::connect(address).await.expect("connect");
        Client::with_stream(name, stream)
    }

    /// Connects to a manager; `None` if that fails.
    pub(crate) async fn try_new(name: &str, address: SocketAddr) -> Option<Client> {
        let stream = TcpStream::connect(address).await.ok()?;
        Some(Client::with_stream(name, stream))
    }

    fn with_stream(name: &str, stream: TcpStream) -> Client {
        let (input, answers) = (Vec::new(), HashMap::new());
        Client {
            name: name.to_owned(),
            stream,
            input,
            answers,
            answered: Vec::new(),
            closed: false,
        }
    }

    /// Runs one step of a script.
    pub(crate) async fn step(&mut self, verb: &str, rest: &[&str]) {
        match (verb, rest) {
            ("send", ["raw", bytes]) => self.write(&from_hex(bytes)).await,
            // Closes the sending side only.
            ("send", ["end"]) => self.stream.shutdown().await.expect("shutdown"),
            ("send", ["cancel", id]) => self.send_cancel(id).await,
            ("send", ["health", id]) => self.send_health(id).await,
            ("send", [id, class, fields @ ..]) => self.send_statement(id, class, fields).await,
            ("expect", ["closed"]) => self.expect_closed().await,
            ("expect", [id, wanted @ ..]) => self.expect_answer(id, &wanted.join(" ")).await,
            ("close", _) => {}
            other => panic!("unknown step of a platform client: {other:?}"),
        }
    }

    async fn write(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).await.expect("write");
    }

    async fn send_cancel(&mut self, id: &str) {
        self.write(&cancellation(id.parse().expect("id"))).await;
    }

    /// Cancels a request. Does nothing if the connection is broken.
    pub(crate) async fn try_cancel(&mut self, id: u64) {
        let _ = self.stream.write_all(&cancellation(id)).await;
    }

    /// Sends a statement of a class with one changed field. Does nothing if the connection is
    /// broken.
    pub(crate) async fn try_send(&mut self, id: u64, class: &str, change: &str) {
        let message = self.statement_call(id, class, &[change]);
        let _ = self.stream.write_all(&message).await;
    }

    /// Sends statements of a class with one changed field, and cancels some of them, all in one
    /// write. Each call is its id and whether it is cancelled. Does nothing if the connection is
    /// broken.
    pub(crate) async fn try_send_burst(
        &mut self,
        calls: impl IntoIterator<Item = (u64, bool)>,
        class: &str,
        change: &str,
    ) {
        let mut burst = Vec::new();
        for (id, is_cancelled) in calls {
            burst.extend(self.statement_call(id, class, &[change]));
            if is_cancelled {
                burst.extend(cancellation(id));
            }
        }
        let _ = self.stream.write_all(&burst).await;
    }

    /// The bytes of one call with one changed field.
    pub(crate) fn call_bytes(&self, id: u64, class: &str, change: &str) -> Vec<u8> {
        self.statement_call(id, class, &[change])
    }

    /// Sends bytes, for clients that send a call in parts.
    pub(crate) async fn send_bytes(&mut self, bytes: &[u8]) {
        self.write(bytes).await;
    }

    /// Sends bytes, or does nothing if the connection is broken.
    pub(crate) async fn try_send_bytes(&mut self, bytes: &[u8]) {
        let _ = self.stream.write_all(bytes).await;
    }

    async fn send_health(&mut self, id: &str) {
        let message = self.call(id.parse().expect("id"), "health", &[("deep", "0")], None);
        self.write(&message).await;
    }

    /// Sends a statement of a class. `NAME=VALUE` sets or replaces a field, `NAME=` leaves it out,
    /// and `padding=N` makes the statement N bytes longer.
    async fn send_statement(&mut self, id: &str, class: &str, changes: &[&str]) {
        let message = self.statement_call(id.parse().expect("id"), class, changes);
        self.write(&message).await;
    }

    fn statement_call(&self, id: u64, class: &str, changes: &[&str]) -> Vec<u8> {
        let name_bytes = self.name.bytes();
        let name_hash = name_bytes.fold(0u32, |hash, byte| {
            hash.wrapping_mul(31).wrapping_add(u32::from(byte))
        });
        let reference = format!("{name_hash:08x}{id:08x}");
        let mut fields: Vec<(&str, &str)> = vec![
            ("ref", &reference),
            ("allow", "9000"),
            ("project", "member-north"),
            ("effort", "50.0"),
        ];
        let mut padding_bytes = 0;
        for (name, value) in changes.iter().filter_map(|change| change.split_once('=')) {
            if name == PADDING {
                padding_bytes = value.parse().expect("a number");
                continue;
            }
            fields.retain(|(field, _)| *field != name);
            if !value.is_empty() {
                fields.push((name, value));
            }
        }
        let mut body = statement(class, &format!("{}.{id}", self.name));
        if padding_bytes > 0 {
            let comment = format!(" /*{}*/ -- ", "x".repeat(padding_bytes));
            body = body.replacen(" -- ", &comment, 1);
        }
        self.call(id, class, &fields, Some(body.as_bytes()))
    }

    async fn expect_closed(&mut self) {
        while !self.closed {
            self.read().await;
        }
    }

    async fn expect_answer(&mut self, id: &str, wanted: &str) {
        let id: u64 = id.parse().expect("id");
        let name = self.name.clone();
        while !self.answers.contains_key(&id) {
            assert!(!self.closed, "{name}: closed before the answer to {id}");
            self.read().await;
        }
        assert_eq!(self.answers[&id], unescape(wanted), "{name}.{id}");
    }

    /// An answer that the test has not taken, with the id of its request. Waits for one if there is
    /// none; panics at the end of the connection.
    pub(crate) async fn next_answer(&mut self) -> (u64, String) {
        loop {
            if let Some(id) = self.answers.keys().next().copied() {
                return self.answers.remove_entry(&id).expect("an answer");
            }
            assert!(!self.closed, "{}: closed", self.name);
            self.read().await;
        }
    }

    /// An answer that the test has not taken, with the id of its request. Waits for one if there is
    /// none. `None` at the end of the connection.
    pub(crate) async fn next_answer_or_end(&mut self) -> Option<(u64, String)> {
        loop {
            if let Some(id) = self.answers.keys().next().copied() {
                return self.answers.remove_entry(&id);
            }
            if self.closed {
                return None;
            }
            self.read().await;
        }
    }

    fn call(&self, id: u64, method: &str, fields: &[(&str, &str)], body: Option<&[u8]>) -> Vec<u8> {
        let mut message = vec![0x94, 0];
        encode::write_uint(&mut message, id).expect("id");
        encode::write_str(&mut message, method).expect("text");
        encode::write_array_len(&mut message, 1 + body.iter().len() as u32).expect("length");
        encode::write_map_len(&mut message, fields.len() as u32).expect("length");
        for (name, value) in fields {
            encode::write_str(&mut message, name).expect("text");
            encode::write_str(&mut message, value).expect("text");
        }
        if let Some(body) = body {
            encode::write_bin(&mut message, body).expect("body");
        }
        message
    }

    /// Reads from the connection and keeps the complete answers.
    async fn read(&mut self) {
        if !matches!(self.stream.read_buf(&mut self.input).await, Ok(n) if n > 0) {
            self.closed = true;
        }
        while let Some((id, answer, len)) = read_answer(&self.input) {
            self.input.drain(..len);
            // A request gets one answer.
            assert!(
                !self.answered.contains(&id),
                "{}: a second answer to {id}",
                self.name
            );
            self.answered.push(id);
            self.answers.insert(id, answer);
        }
    }
}

/// The message that cancels a request.
fn cancellation(id: u64) -> Vec<u8> {
    let mut message = vec![0x93, 2];
    encode::write_str(&mut message, "cancel").expect("text");
    message.push(0x91);
    encode::write_uint(&mut message, id).expect("id");
    message
}

/// The id, the text as scripts write it and the length in bytes of the first answer; `None` while
/// it is incomplete.
fn read_answer(bytes: &[u8]) -> Option<(u64, String, usize)> {
    let mut cursor = Cursor::new(bytes);
    let read_text = |cursor: &mut Cursor<&[u8]>| {
        let len = decode::read_str_len(cursor).ok()? as usize;
        let mut text = vec![0; len];
        cursor.read_exact_buf(&mut text).ok()?;
        String::from_utf8(text).ok()
    };
    let head = (
        decode::read_array_len(&mut cursor).ok()?,
        decode::read_int::<u8, _>(&mut cursor).ok()?,
    );
    assert_eq!(head, (4, 1), "the head of an answer");
    let id: u64 = decode::read_int(&mut cursor).ok()?;
    let marker = *bytes.get(cursor.position() as usize)?;
    let answer = if marker == 0xc0 {
        decode::read_nil(&mut cursor).ok()?;
        decode::read_array_len(&mut cursor).ok()?;
        match *bytes.get(cursor.position() as usize)? {
            0xc2 | 0xc3 => decode::read_bool(&mut cursor).ok()?.to_string(),
            _ => {
                let mut body = vec![0; decode::read_bin_len(&mut cursor).ok()? as usize];
                cursor.read_exact_buf(&mut body).ok()?;
                format!("served {}", String::from_utf8(body).expect("text"))
            }
        }
    } else {
        decode::read_array_len(&mut cursor).ok()?;
        read_text(&mut cursor)?
    };
    let mut answer = answer;
    for _ in 0..decode::read_map_len(&mut cursor).ok()? {
        let (name, value) = (read_text(&mut cursor)?, read_text(&mut cursor)?);
        // The delay depends on the backlog, so scripts expect only its name.
        assert!(
            value.parse::<u32>().is_ok_and(|ms| ms <= 1000),
            "{name}={value}"
        );
        answer = format!("{answer} {name}");
    }
    if marker != 0xc0 {
        decode::read_nil(&mut cursor).ok()?;
    }
    Some((id, answer, cursor.position() as usize))
}
