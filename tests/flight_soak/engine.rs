//! A fake Flight SQL engine that fails at random, at any point of an attempt. It runs a query in
//! GetFlightInfo, or an update in DoPut.

use crate::draws::SeededRandom;
use crate::rules::{ResultShape, Rules};
use crate::scene::flight_engine::encode_rows;
use arrow_flight::sql::{Any, CommandStatementQuery, CommandStatementUpdate, DoPutUpdateResult};
use arrow_flight::{FlightData, FlightDescriptor, FlightEndpoint, FlightInfo, PutResult, Ticket};
use bytes::{Bytes, BytesMut};
use h2::server::{Connection, SendResponse};
use h2::{Reason, RecvStream, SendStream};
use http::{HeaderMap, HeaderName, HeaderValue, Response};
use prost::Message;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::sleep;
use tonic::Code;

/// Length of the prefix of a gRPC message, in bytes.
const GRPC_PREFIX_BYTES: usize = 5;

/// Flow-control window of the engine, in bytes.
const WINDOW_BYTES: u32 = 1 << 20;

/// What ends a connection.
enum ConnectionEnd {
    /// The engine takes no further calls and finishes those that are open.
    GoAway,
    /// The engine breaks the connection.
    Break,
}

/// Serves connections until the run ends.
pub(crate) async fn serve(listener: TcpListener, rules: Rules, mut random: SeededRandom) {
    while let Ok((stream, _)) = listener.accept().await {
        tokio::spawn(serve_connection(stream, rules.clone(), random.fork()));
    }
}

async fn serve_connection(stream: TcpStream, rules: Rules, mut random: SeededRandom) {
    let mut builder = h2::server::Builder::new();
    builder
        .initial_window_size(WINDOW_BYTES)
        .initial_connection_window_size(WINDOW_BYTES);
    let Ok(mut connection): Result<Connection<TcpStream, Bytes>, _> =
        builder.handshake(stream).await
    else {
        return;
    };
    let (ends, mut requested_ends) = mpsc::unbounded_channel();
    loop {
        tokio::select! {
            call = connection.accept() => match call {
                Some(Ok((request, response))) => {
                    let call = Call {
                        rules: rules.clone(),
                        random: random.fork(),
                        ends: ends.clone(),
                        response,
                    };
                    tokio::spawn(call.handle(request));
                }
                _ => return,
            },
            end = requested_ends.recv() => match end {
                Some(ConnectionEnd::GoAway) => connection.graceful_shutdown(),
                Some(ConnectionEnd::Break) | None => return,
            },
        }
    }
}

/// One call.
struct Call {
    rules: Rules,
    random: SeededRandom,
    ends: mpsc::UnboundedSender<ConnectionEnd>,
    response: SendResponse<Bytes>,
}

impl Call {
    async fn handle(self, request: http::Request<RecvStream>) {
        let method = request.uri().path().rsplit('/').next().map(str::to_owned);
        let Some(message) = read_message(request.into_body()).await else {
            return;
        };
        match method.as_deref() {
            Some("GetFlightInfo") => {
                let descriptor = FlightDescriptor::decode(message).expect("a descriptor");
                self.run_query(&query_label(&descriptor)).await;
            }
            Some("DoGet") => {
                let ticket = Ticket::decode(message).expect("a ticket");
                let label = String::from_utf8(ticket.ticket.to_vec()).expect("a label");
                self.deliver_rows(&label).await;
            }
            Some("DoPut") => {
                let data = FlightData::decode(message).expect("data");
                let descriptor = data.flight_descriptor.expect("a descriptor");
                self.run_update(&update_label(&descriptor)).await;
            }
            other => panic!("unexpected method {other:?}"),
        }
    }

    async fn run_query(mut self, label: &str) {
        self.rules.record_forwarded(label);
        if self.random.one_in(8) {
            return self.refuse();
        }
        self.rules.record_run(label);
        self.pause(20).await;
        if self.random.one_in(12) {
            return self.end(ConnectionEnd::Break);
        }
        if self.random.one_in(12) {
            return send_status(self.response, Code::Internal);
        }
        let mut info = FlightInfo::new();
        for _ in 0..ResultShape::of(label).endpoints {
            let ticket = Ticket::new(label.to_owned());
            info = info.with_endpoint(FlightEndpoint::new().with_ticket(ticket));
        }
        let goes_away = self.random.one_in(10);
        send_messages(&mut self.response, &[info], Code::Ok);
        if goes_away {
            self.end(ConnectionEnd::GoAway);
        }
    }

    async fn deliver_rows(mut self, label: &str) {
        self.pause(60).await;
        if self.random.one_in(10) {
            return self.refuse_late();
        }
        let row = format!("{label}\tb\tc\n");
        let rows = row.repeat(ResultShape::of(label).rows);
        let messages = encode_rows(&rows, true);
        if self.random.one_in(15) {
            send_messages(&mut self.response, &messages, Code::Internal);
            return self.end(ConnectionEnd::Break);
        }
        send_messages(&mut self.response, &messages, Code::Ok);
        if self.random.one_in(15) {
            self.end(ConnectionEnd::GoAway);
        }
    }

    async fn run_update(mut self, label: &str) {
        self.rules.record_forwarded(label);
        if self.random.one_in(6) {
            return self.refuse();
        }
        self.rules.record_run(label);
        self.pause(60).await;
        if self.random.one_in(10) {
            return self.end(ConnectionEnd::Break);
        }
        let result = DoPutUpdateResult { record_count: 1 };
        let result = PutResult {
            app_metadata: result.encode_to_vec().into(),
        };
        // An engine that fails after it has reported the result.
        let code = if self.random.one_in(10) {
            Code::ResourceExhausted
        } else {
            Code::Ok
        };
        send_messages(&mut self.response, &[result], code);
    }

    async fn pause(&mut self, max_ms: u64) {
        sleep(Duration::from_millis(self.random.in_range(0, max_ms))).await;
    }

    fn end(&self, end: ConnectionEnd) {
        let _ = self.ends.send(end);
    }

    /// Refuses a call that has not run.
    fn refuse(mut self) {
        if self.random.one_in(2) {
            self.response.send_reset(Reason::REFUSED_STREAM);
        } else {
            send_status(self.response, Code::ResourceExhausted);
        }
    }

    /// Refuses a call whose statement has run in an earlier call.
    fn refuse_late(mut self) {
        match self.random.in_range(0, 4) {
            0 => self.response.send_reset(Reason::REFUSED_STREAM),
            1 => self.response.send_reset(Reason::ENHANCE_YOUR_CALM),
            2 => send_status(self.response, Code::ResourceExhausted),
            _ => self.end(ConnectionEnd::Break),
        }
    }
}

/// Reads the one message of a request. `None` if the call was reset.
async fn read_message(mut body: RecvStream) -> Option<Bytes> {
    let mut bytes = BytesMut::new();
    while let Some(data) = body.data().await {
        let data = data.ok()?;
        let _ = body.flow_control().release_capacity(data.len());
        bytes.extend(data);
    }
    (bytes.len() >= GRPC_PREFIX_BYTES).then(|| bytes.freeze().slice(GRPC_PREFIX_BYTES..))
}

/// The label in the comment of a statement.
fn label_of(statement: &str) -> String {
    let (_, label) = statement.split_once("-- ").expect("a label");
    label.to_owned()
}

fn query_label(descriptor: &FlightDescriptor) -> String {
    let any = Any::decode(descriptor.cmd.clone()).expect("a command");
    let query: CommandStatementQuery = any.unpack().expect("a command").expect("a query");
    label_of(&query.query)
}

fn update_label(descriptor: &FlightDescriptor) -> String {
    let any = Any::decode(descriptor.cmd.clone()).expect("a command");
    let update: CommandStatementUpdate = any.unpack().expect("a command").expect("an update");
    label_of(&update.query)
}

fn response_head() -> Response<()> {
    let head = Response::builder().header("content-type", "application/grpc");
    head.body(()).expect("a head")
}

/// The header fields of a status.
fn status(code: Code) -> HeaderMap {
    let name = HeaderName::from_static("grpc-status");
    HeaderMap::from_iter([(name, HeaderValue::from(code as i32))])
}

/// Ends a call with a status and no message.
fn send_status(mut response: SendResponse<Bytes>, code: Code) {
    let mut head = response_head();
    head.headers_mut().extend(status(code));
    let _ = response.send_response(head, true);
}

/// Answers a call with messages and a status. The call may have been reset meanwhile.
fn send_messages<M: Message>(response: &mut SendResponse<Bytes>, messages: &[M], code: Code) {
    let Ok(mut body) = response.send_response(response_head(), false) else {
        return;
    };
    for message in messages {
        send_message(&mut body, message);
    }
    let _ = body.send_trailers(status(code));
}

fn send_message(body: &mut SendStream<Bytes>, message: &impl Message) {
    let encoded = message.encode_to_vec();
    let mut frame = vec![0];
    frame.extend((encoded.len() as u32).to_be_bytes());
    frame.extend(encoded);
    let _ = body.send_data(frame.into(), false);
}
