//! A fake engine that speaks Flight SQL and answers as the script says.

use super::engine_fleet::{ReceivedCall, ReplyChannel, parse_statement_label};
use super::engine_listener::GatedListener;
use arrow_array::{ArrayRef, RecordBatch, StringArray};
use arrow_flight::flight_service_server::{FlightService, FlightServiceServer};
use arrow_flight::sql::{Any, CommandStatementQuery, CommandStatementUpdate, DoPutUpdateResult};
use arrow_flight::utils::batches_to_flight_data;
use arrow_flight::{
    Action, ActionType, Criteria, Empty, FlightData, FlightDescriptor, FlightEndpoint, FlightInfo,
    HandshakeRequest, HandshakeResponse, PollInfo, PutResult, SchemaResult, Ticket,
};
use futures::stream::{self, BoxStream, StreamExt};
use prost::Message;
use std::sync::{Arc, Mutex};
use std::time::Instant;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::AbortHandle;
use tonic::{Request, Response, Status, Streaming};

/// Serves Flight SQL behind a relay. Aborting the relay breaks the connections at once, as the end
/// of a killed process does.
pub(super) async fn serve(
    engine: usize,
    mut listener: GatedListener,
    calls: mpsc::UnboundedSender<ReceivedCall>,
) {
    let inner = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let inner_address = inner.local_addr().expect("address");
    let relays: Arc<Mutex<Vec<AbortHandle>>> = Arc::default();
    let break_connection: Arc<dyn Fn() + Send + Sync> = {
        let relays = relays.clone();
        Arc::new(move || {
            relays
                .lock()
                .expect("lock")
                .drain(..)
                .for_each(|relay| relay.abort())
        })
    };
    let service = FlightServiceServer::new(Service {
        engine,
        calls,
        break_connection,
    });
    let incoming = tokio_stream::wrappers::TcpListenerStream::new(inner);
    tokio::spawn(
        tonic::transport::Server::builder()
            .add_service(service)
            .serve_with_incoming(incoming),
    );
    while let Some(mut outer) = listener.accept().await {
        let relay = tokio::spawn(async move {
            let mut inner = TcpStream::connect(inner_address).await.expect("engine");
            let _ = tokio::io::copy_bidirectional(&mut outer, &mut inner).await;
        });
        relays.lock().expect("lock").push(relay.abort_handle());
    }
}

/// The Flight SQL service of one engine.
struct Service {
    engine: usize,
    calls: mpsc::UnboundedSender<ReceivedCall>,
    break_connection: Arc<dyn Fn() + Send + Sync>,
}

/// Reports a call as cancelled when it is dropped before its last answer.
struct CallGuard {
    engine: usize,
    calls: mpsc::UnboundedSender<ReceivedCall>,
    break_connection: Arc<dyn Fn() + Send + Sync>,
    label: String,
    completed: bool,
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        if !self.completed {
            let (reply, _) = mpsc::unbounded_channel();
            let _ = self.calls.send(ReceivedCall {
                line: format!("QUIT {}", self.label),
                engine: self.engine,
                reply: ReplyChannel::Flight(reply),
                break_connection: self.break_connection.clone(),
                request_id: String::new(),
                non_idempotent: false,
                received_at: Instant::now(),
            });
        }
    }
}

impl Service {
    /// Reports a call to the scene. The scene's answers come through the returned receiver.
    fn report_call(
        &self,
        statement: &str,
    ) -> (CallGuard, mpsc::UnboundedReceiver<(String, String)>) {
        let (label, non_idempotent) = parse_statement_label(statement);
        let (reply, answers) = mpsc::unbounded_channel();
        let _ = self.calls.send(ReceivedCall {
            line: format!("ASK {label}"),
            engine: self.engine,
            reply: ReplyChannel::Flight(reply),
            break_connection: self.break_connection.clone(),
            request_id: String::new(),
            non_idempotent,
            received_at: Instant::now(),
        });
        let guard = CallGuard {
            engine: self.engine,
            calls: self.calls.clone(),
            break_connection: self.break_connection.clone(),
            label,
            completed: false,
        };
        (guard, answers)
    }
}

/// The status that stands for an `overload` or any other failure in scripts.
fn failure(word: &str) -> Status {
    match word {
        "overload" => Status::resource_exhausted("full"),
        _ => Status::internal("crashed"),
    }
}

/// Encodes rows as Flight data, with the schema if they are the first ones; `x9000` stands for that
/// many equal rows.
pub(crate) fn encode_rows(text: &str, first: bool) -> Vec<FlightData> {
    let text = match text.strip_prefix('x').and_then(|n| n.parse().ok()) {
        Some(count) => "many\trows\there\n".repeat(count),
        None => text.to_owned(),
    };
    let column = |index: usize| -> (String, ArrayRef) {
        let cells: Vec<&str> = text
            .lines()
            .map(|line| line.split('\t').nth(index).unwrap_or_default())
            .collect();
        (format!("c{index}"), Arc::new(StringArray::from(cells)))
    };
    let batch = RecordBatch::try_from_iter((0..3).map(column)).expect("batch");
    let data = batches_to_flight_data(&batch.schema(), [&batch]).expect("data");
    data.into_iter().skip(usize::from(!first)).collect()
}

/// Like `encode_rows`, but the body of the record batch is shorter than its header says.
fn spoilt_rows(text: &str, first: bool) -> Vec<FlightData> {
    let mut data = encode_rows(text, first);
    let batch = data.last_mut().expect("a record batch");
    batch.data_body.truncate(batch.data_body.len() / 2);
    data
}

#[tonic::async_trait]
impl FlightService for Service {
    type HandshakeStream = BoxStream<'static, Result<HandshakeResponse, Status>>;
    type ListFlightsStream = BoxStream<'static, Result<FlightInfo, Status>>;
    type DoGetStream = BoxStream<'static, Result<FlightData, Status>>;
    type DoPutStream = BoxStream<'static, Result<PutResult, Status>>;
    type DoActionStream = BoxStream<'static, Result<arrow_flight::Result, Status>>;
    type ListActionsStream = BoxStream<'static, Result<ActionType, Status>>;
    type DoExchangeStream = BoxStream<'static, Result<FlightData, Status>>;

    async fn get_flight_info(
        &self,
        request: Request<FlightDescriptor>,
    ) -> Result<Response<FlightInfo>, Status> {
        let any = Any::decode(request.into_inner().cmd).expect("command");
        let query: CommandStatementQuery = any.unpack().expect("command").expect("query");
        let ticket = Ticket {
            ticket: query.query.into(),
        };
        Ok(Response::new(
            FlightInfo::new().with_endpoint(FlightEndpoint::new().with_ticket(ticket)),
        ))
    }

    async fn do_get(
        &self,
        request: Request<Ticket>,
    ) -> Result<Response<Self::DoGetStream>, Status> {
        assert!(request.metadata().contains_key("grpc-timeout"));
        let text = String::from_utf8(request.into_inner().ticket.to_vec()).expect("text");
        let (guard, answers) = self.report_call(&text);
        let data = stream::unfold(
            (guard, answers, true),
            |(mut guard, mut answers, first)| async move {
                if guard.completed {
                    return None;
                }
                let (word, text) = answers.recv().await?;
                guard.completed = word != "rows";
                let data = match word.as_str() {
                    "rows" => encode_rows(&text, first).into_iter().map(Ok).collect(),
                    "served" if text.is_empty() => Vec::new(),
                    "served" => encode_rows(&text, first).into_iter().map(Ok).collect(),
                    "spoilt" => spoilt_rows(&text, first).into_iter().map(Ok).collect(),
                    word => vec![Err(failure(word))],
                };
                Some((stream::iter(data), (guard, answers, false)))
            },
        );
        let mut response = Response::new(data.flatten().boxed());
        response
            .metadata_mut()
            .insert("magpiechute-inflight", "1".parse().expect("figure"));
        Ok(response)
    }

    async fn do_put(
        &self,
        request: Request<Streaming<FlightData>>,
    ) -> Result<Response<Self::DoPutStream>, Status> {
        let first = request.into_inner().message().await?.expect("command");
        let any = Any::decode(first.flight_descriptor.expect("descriptor").cmd).expect("command");
        let update: CommandStatementUpdate = any.unpack().expect("command").expect("update");
        let (mut guard, mut answers) = self.report_call(&update.query);
        let (word, text) = answers
            .recv()
            .await
            .ok_or_else(|| Status::internal("the scene has ended"))?;
        guard.completed = true;
        if word != "served" {
            return Err(failure(&word));
        }
        let result = DoPutUpdateResult {
            record_count: text.parse().expect("count"),
        };
        let result = PutResult {
            app_metadata: result.encode_to_vec().into(),
        };
        Ok(Response::new(stream::iter([Ok(result)]).boxed()))
    }

    async fn handshake(
        &self,
        _: Request<Streaming<HandshakeRequest>>,
    ) -> Result<Response<Self::HandshakeStream>, Status> {
        Err(Status::unimplemented(""))
    }

    async fn list_flights(
        &self,
        _: Request<Criteria>,
    ) -> Result<Response<Self::ListFlightsStream>, Status> {
        Err(Status::unimplemented(""))
    }

    async fn poll_flight_info(
        &self,
        _: Request<FlightDescriptor>,
    ) -> Result<Response<PollInfo>, Status> {
        Err(Status::unimplemented(""))
    }

    async fn get_schema(
        &self,
        _: Request<FlightDescriptor>,
    ) -> Result<Response<SchemaResult>, Status> {
        Err(Status::unimplemented(""))
    }

    async fn do_action(
        &self,
        _: Request<Action>,
    ) -> Result<Response<Self::DoActionStream>, Status> {
        Err(Status::unimplemented(""))
    }

    async fn list_actions(
        &self,
        _: Request<Empty>,
    ) -> Result<Response<Self::ListActionsStream>, Status> {
        Err(Status::unimplemented(""))
    }

    async fn do_exchange(
        &self,
        _: Request<Streaming<FlightData>>,
    ) -> Result<Response<Self::DoExchangeStream>, Status> {
        Err(Status::unimplemented(""))
    }
}
