//! A Flight SQL client on plain HTTP/2, which decides itself when it reads its answers.

use crate::clients::tests::test_frontend::ANSWER_TIMEOUT;
use arrow_flight::sql::{CommandStatementQuery, ProstMessageExt};
use arrow_flight::{FlightDescriptor, FlightInfo, Ticket};
use bytes::{Bytes, BytesMut};
use h2::RecvStream;
use h2::client::{ResponseFuture, SendRequest};
use http::HeaderMap;
use prost::Message;
use std::net::SocketAddr;
use std::pin::pin;
use tokio::net::TcpSocket;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::timeout;

/// The gRPC status of a call that was served.
pub(super) const GRPC_OK: &str = "0";
/// The gRPC status of a call that is invalid.
pub(super) const GRPC_INVALID_ARGUMENT: &str = "3";
/// The gRPC status of a call that has failed.
pub(super) const GRPC_INTERNAL: &str = "13";

/// A flow-control window that holds back most of any answer, in bytes.
pub(super) const SMALL_WINDOW_BYTES: u32 = 16;

/// A flow-control window that holds back nothing, in bytes.
pub(super) const LARGE_WINDOW_BYTES: u32 = 1 << 20;

/// A receive buffer that holds a part of an answer only, in bytes.
const RECEIVE_BUFFER_BYTES: u32 = 2048;

/// The length of the prefix of a gRPC message, in bytes.
const GRPC_PREFIX_BYTES: usize = 5;

/// A client with one connection.
pub(super) struct FlightClient {
    requests: SendRequest<Bytes>,
    driver: JoinHandle<Result<(), h2::Error>>,
    /// Whether the client reads from its socket and writes to it.
    running: watch::Sender<bool>,
}

/// An answer of which the client has read the header fields only.
pub(super) struct UnreadAnswer {
    headers: HeaderMap,
    body: RecvStream,
}

impl FlightClient {
    /// Connects with this flow-control window for each call.
    pub(super) async fn connect(address: SocketAddr, window_bytes: u32) -> FlightClient {
        let socket = TcpSocket::new_v4().expect("socket");
        socket
            .set_recv_buffer_size(RECEIVE_BUFFER_BYTES)
            .expect("set the size of the receive buffer");
        let stream = socket.connect(address).await.expect("connect");
        let (requests, connection) = h2::client::Builder::new()
            .initial_window_size(window_bytes)
            .initial_connection_window_size(LARGE_WINDOW_BYTES)
            .handshake(stream)
            .await
            .expect("handshake");
        let (running, mut is_running) = watch::channel(true);
        let driver = tokio::spawn(async move {
            let mut connection = pin!(connection);
            loop {
                let _ = is_running.wait_for(|running| *running).await;
                tokio::select! {
                    biased;
                    Ok(()) = is_running.changed() => {}
                    end = &mut connection => return end,
                }
            }
        });
        FlightClient {
            requests,
            driver,
            running,
        }
    }

    /// Plans a query with GetFlightInfo, reads the answer and returns its ticket.
    pub(super) async fn plan(&mut self) -> Ticket {
        let command = CommandStatementQuery {
            query: "SELECT a FROM b".to_owned(),
            transaction_id: None,
        };
        let descriptor = FlightDescriptor::new_cmd(command.as_any().encode_to_vec());
        let mut answer = self.call("GetFlightInfo", &descriptor).await;
        let message = answer.read_data().await;
        let info = FlightInfo::decode(&message[GRPC_PREFIX_BYTES..]).expect("a flight info");
        info.endpoint[0].ticket.clone().expect("a ticket")
    }

    /// Fetches the result of a planned query with DoGet.
    pub(super) async fn fetch(&mut self, ticket: &Ticket) -> UnreadAnswer {
        self.call("DoGet", ticket).await
    }

    /// Sends a call and waits for the header fields of its answer.
    async fn call(&mut self, method: &str, message: &impl Message) -> UnreadAnswer {
        self.send(method, message).header_fields().await
    }

    /// Sends the call that fetches the result of a planned query.
    pub(super) fn send_fetch(&mut self, ticket: &Ticket) -> SentCall {
        self.send("DoGet", ticket)
    }

    fn send(&mut self, method: &str, message: &impl Message) -> SentCall {
        let request = http::Request::post(format!(
            "http://manager/arrow.flight.protocol.FlightService/{method}"
        ))
        .header("content-type", "application/grpc")
        .header("te", "trailers")
        .header("magpiechute-class", "a")
        .body(())
        .expect("a request");
        let encoded = message.encode_to_vec();
        let mut frame = vec![0];
        frame.extend((encoded.len() as u32).to_be_bytes());
        frame.extend(encoded);
        let (response, mut stream) = self
            .requests
            .send_request(request, false)
            .expect("an open connection");
        stream.send_data(frame.into(), true).expect("data");
        SentCall(response)
    }

    /// Stops reading and writing, but keeps the connection open.
    pub(super) fn stand_still(&self) {
        self.running.send_replace(false);
    }

    /// Reads and writes again.
    pub(super) fn go_on(&self) {
        self.running.send_replace(true);
    }

    /// Waits until the connection has ended.
    pub(super) async fn closed(self) -> Result<(), h2::Error> {
        let ended = timeout(ANSWER_TIMEOUT, self.driver).await;
        ended.expect("the connection ends in time").expect("driver")
    }
}

/// A call that was sent.
pub(super) struct SentCall(ResponseFuture);

impl SentCall {
    /// Waits for the header fields of the answer.
    pub(super) async fn header_fields(self) -> UnreadAnswer {
        let response = timeout(ANSWER_TIMEOUT, self.0).await.expect("in time");
        let (head, body) = response.expect("a response").into_parts();
        UnreadAnswer {
            headers: head.headers,
            body,
        }
    }
}

impl UnreadAnswer {
    /// Reads the whole answer and returns its gRPC status.
    pub(super) async fn read_to_end(mut self) -> String {
        self.read_data().await;
        let trailers = self.body.trailers().await.expect("trailers");
        let status = trailers
            .as_ref()
            .unwrap_or(&self.headers)
            .get("grpc-status");
        let status = status.expect("a status").to_str().expect("text");
        status.to_owned()
    }

    async fn read_data(&mut self) -> Bytes {
        let mut bytes = BytesMut::new();
        while let Some(data) = timeout(ANSWER_TIMEOUT, self.body.data())
            .await
            .expect("data in time")
        {
            let data = data.expect("data");
            let mut flow_control = self.body.flow_control().clone();
            flow_control.release_capacity(data.len()).expect("capacity");
            bytes.extend(data);
        }
        bytes.freeze()
    }
}
