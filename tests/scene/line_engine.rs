//! A fake engine that speaks the line protocol and answers as the script says. It answers health
//! checks by itself.

use super::engine_fleet::{ReceivedCall, ReplyChannel, parse_statement_label};
use super::engine_listener::GatedListener;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Instant;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::{Mutex, mpsc};

/// The writing half of a connection; `None` once the connection is broken.
type SharedWriter = Arc<Mutex<Option<OwnedWriteHalf>>>;

/// The manager must send only numbers below this to an engine, whatever the client sent.
const FIELD_VALUE_LIMIT: u32 = 10_000_000;

/// Accepts connections until the scene has ended.
pub(super) async fn serve(
    engine: usize,
    mut listener: GatedListener,
    calls: mpsc::UnboundedSender<ReceivedCall>,
) {
    while let Some(stream) = listener.accept().await {
        tokio::spawn(Connection::new(engine, stream, calls.clone()).run());
    }
}

/// One connection, and the requests that it carried.
struct Connection {
    engine: usize,
    calls: mpsc::UnboundedSender<ReceivedCall>,
    reader: BufReader<OwnedReadHalf>,
    writer: SharedWriter,
    /// By the client reference: the label, and whether the request is non-idempotent.
    requests: HashMap<String, (String, bool)>,
    break_connection: Arc<dyn Fn() + Send + Sync>,
    break_requested: mpsc::UnboundedReceiver<()>,
}

impl Connection {
    fn new(
        engine: usize,
        stream: TcpStream,
        calls: mpsc::UnboundedSender<ReceivedCall>,
    ) -> Connection {
        let (reader, writer) = stream.into_split();
        let (request_break, break_requested) = mpsc::unbounded_channel::<()>();
        Connection {
            engine,
            calls,
            reader: BufReader::new(reader),
            writer: Arc::new(Mutex::new(Some(writer))),
            requests: HashMap::new(),
            break_connection: Arc::new(move || _ = request_break.send(())),
            break_requested,
        }
    }

    async fn run(mut self) {
        loop {
            let mut line = String::new();
            tokio::select! {
                read = self.reader.read_line(&mut line) => {
                    if !matches!(read, Ok(bytes) if bytes > 0) {
                        return self.report_closed();
                    }
                }
                _ = self.break_requested.recv() => return drop(self.writer.lock().await.take()),
            }
            self.handle(&line).await;
        }
    }

    /// Reports the end of the connection for each request that it carried.
    fn report_closed(&self) {
        for (id, (label, non_idempotent)) in &self.requests {
            self.report(format!("CLOSED {label}"), id.clone(), *non_idempotent);
        }
    }

    async fn handle(&mut self, line: &str) {
        let words: Vec<&str> = line.split_whitespace().collect();
        let (verb, id) = (words[0], words[1]);
        let mut key = String::new();
        if verb == "NOOP" {
            return self.answer_health_check(id).await;
        }
        if verb == "ASK" {
            let request = self.read_statement(&words, line).await;
            self.requests.insert(id.to_owned(), request);
            key = idempotency_key(words[2]);
        }
        let (label, non_idempotent) = self
            .requests
            .get(id)
            .cloned()
            .expect("request of this connection");
        let page = match words.get(2) {
            Some(page) if verb == "NEXT" => format!(" {page}"),
            _ => String::new(),
        };
        self.report(
            format!("{verb} {label}{page}{key}"),
            id.to_owned(),
            non_idempotent,
        );
    }

    async fn answer_health_check(&self, id: &str) {
        let answer = format!("{id} green - 0\r\n\r\n");
        let mut writer = self.writer.lock().await;
        let writer = writer.as_mut().expect("connection");
        writer.write_all(answer.as_bytes()).await.expect("write");
    }

    /// The label of the statement that follows an `ASK` line, and whether it is non-idempotent.
    async fn read_statement(&mut self, words: &[&str], line: &str) -> (String, bool) {
        let length: usize = words[3].parse().expect("length");
        let mut body = vec![0; length + 2];
        self.reader.read_exact(&mut body).await.expect("statement");
        let body = String::from_utf8(body).expect("text");
        let complete = body.ends_with("\r\n") && words[2].contains("patience=");
        assert!(complete, "{line}");
        assert!(field_values_are_valid(words[2]), "{line}");
        parse_statement_label(body.trim_end())
    }

    fn report(&self, line: String, request_id: String, non_idempotent: bool) {
        let _ = self.calls.send(ReceivedCall {
            line,
            engine: self.engine,
            reply: ReplyChannel::Line(self.writer.clone()),
            break_connection: self.break_connection.clone(),
            request_id,
            non_idempotent,
            received_at: Instant::now(),
        });
    }
}

/// The fields after the first one, split into name and value; `None` for a field without `=`.
fn fields(fields: &str) -> impl Iterator<Item = Option<(&str, &str)>> {
    fields.split(',').skip(1).map(|field| field.split_once('='))
}

fn is_idempotency_key(field: Option<(&str, &str)>) -> bool {
    field.is_some_and(|(name, _)| name == "op")
}

/// The idempotency key of a request as scripts write it, or an empty text.
fn idempotency_key(text: &str) -> String {
    let keys = fields(text)
        .filter(|field| is_idempotency_key(*field))
        .flatten();
    keys.map(|(_, key)| format!(" op={key}")).collect()
}

/// Whether every field but the idempotency key has a number below `FIELD_VALUE_LIMIT`.
fn field_values_are_valid(text: &str) -> bool {
    let mut other_fields = fields(text).filter(|field| !is_idempotency_key(*field));
    other_fields.all(|field| {
        let number = field.and_then(|(_, value)| value.parse::<u32>().ok());
        number.is_some_and(|number| number < FIELD_VALUE_LIMIT)
    })
}
