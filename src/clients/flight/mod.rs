//! Clients that speak Arrow Flight SQL. A query's GetFlightInfo only plans: it checks the call and hands out a
//! ticket. The request counts as taken when DoGet brings the ticket, or DoPut an update.

pub(crate) mod metadata_keys;

use self::metadata_keys::{CLASS, EFFORT, NEED_MB, TENANT};
use super::Frontend;
use super::connection_slots::{ConnectionSlot, ConnectionSlots};
use crate::core::{
    AcceptedRequest, Answer, ClientPort, CoreMessage, FailureReason, ResultBody, ResultChunk,
    StatementKind,
};
use crate::decision::{Idempotency, RequestId};
use crate::settings_json::NamedClass;
use crate::{rows, sql};
use arrow_flight::flight_service_server::{FlightService, FlightServiceServer};
use arrow_flight::sql::{Any, CommandStatementQuery, CommandStatementUpdate, DoPutUpdateResult};
use arrow_flight::sql::{ProstMessageExt, TicketStatementQuery};
use arrow_flight::{
    Action, ActionType, Criteria, Empty, FlightData, FlightDescriptor, FlightEndpoint, FlightInfo,
    HandshakeRequest, HandshakeResponse, PollInfo, PutResult, SchemaResult, Ticket,
};
use bytes::Bytes;
use futures::stream::{self, BoxStream, StreamExt};
use prost::Message;
use std::collections::{HashMap, VecDeque};
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio::time::{sleep, timeout};
use tonic::metadata::MetadataMap;
use tonic::transport::Server;
use tonic::transport::server::Connected;
use tonic::{Code, Request, Response, Status, Streaming};
use tonic_types::{ErrorDetails, StatusExt};

/// Serves the front until the program ends.
#[expect(clippy::too_many_lines, reason = "not split yet")]
pub(crate) async fn listen(listener: TcpListener, frontend: Frontend) {
    let slots = ConnectionSlots::new(
        frontend.limits.flight_connections,
        frontend.limits.clone(),
        frontend.metrics.clone(),
    );
    tokio::spawn(slots.clone().follow_lifecycle(frontend.lifecycle.clone()));
    let (silence, ping, quiet) = (
        frontend.limits.client_read_timeout,
        frontend.limits.flight_keep_alive,
        frontend.limits.linger,
    );
    let metrics = frontend.metrics.clone();
    let streams = frontend.limits.open_requests_per_client as u32;
    let message = frontend.limits.message_bytes;
    let service = FlightServiceServer::new(Flight {
        tickets: Arc::default(),
        frontend,
    })
    .max_decoding_message_size(message);
    let incoming = stream::unfold(
        (listener, slots, metrics),
        move |(listener, slots, metrics)| async move {
            let item = listener.accept().await;
            let item = match item {
                Ok((stream, _)) => {
                    // As on the platform's front: an idle connection makes room, or this one waits.
                    slots.wait_for_slot().await;
                    let _ = stream.set_nodelay(true);
                    let slot = Arc::new(slots.take());
                    let (leaving, metrics) = (slot.clone(), metrics.clone());
                    let leave = Box::pin(async move {
                        tokio::select! {
                            () = leaving.quiet_after_leave_request(quiet) => {}
                            // Guard: who connects and brings no call is closed in time.
                            () = sleep(silence) => {
                                if leaving.has_called() {
                                    leaving.quiet_after_leave_request(quiet).await;
                                } else {
                                    metrics.client_read_timeouts.increment();
                                }
                            }
                        }
                    });
                    Ok(Held {
                        stream,
                        slot,
                        leave,
                        left: false,
                    })
                }
                Err(e) => {
                    slots.evict_idle();
                    sleep(Duration::from_millis(10)).await;
                    Err(e)
                }
            };
            Some((item, (listener, slots, metrics)))
        },
    );
    let server = Server::builder()
        .max_concurrent_streams(streams)
        .http2_keepalive_interval(Some(ping.0))
        .http2_keepalive_timeout(Some(ping.1))
        .add_service(service);
    if let Err(e) = server.serve_with_incoming(incoming).await {
        eprintln!("workload-manager: the Flight SQL front ended: {e}");
    }
}

/// A connection with its place among those allowed.
struct Held {
    stream: TcpStream,
    slot: Arc<ConnectionSlot>,
    /// Resolves once the connection is to be closed.
    leave: Pin<Box<dyn Future<Output = ()> + Send>>,
    left: bool,
}

impl Connected for Held {
    type ConnectInfo = Arc<ConnectionSlot>;
    fn connect_info(&self) -> Arc<ConnectionSlot> {
        self.slot.clone()
    }
}

impl AsyncRead for Held {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        // Its end, as if the client had closed: no call is open then.
        if self.left || self.leave.as_mut().poll(cx).is_ready() {
            self.left = true;
            return Poll::Ready(Ok(()));
        }
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for Held {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[std::io::IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }
}

/// What a call's metadata and statement say.
#[derive(Clone)]
struct Call {
    name: Bytes,
    class: Arc<NamedClass>,
    member: Bytes,
    cost_ms: Option<f64>,
    memory_mb: Option<f64>,
    statement: Bytes,
}

/// Tickets handed out, oldest first.
#[derive(Default)]
struct Tickets {
    held: HashMap<Bytes, Call>,
    order: VecDeque<Bytes>,
    bytes: usize,
}

#[derive(Clone)]
struct Flight {
    frontend: Frontend,
    tickets: Arc<Mutex<Tickets>>,
}

struct Port(Mutex<Option<oneshot::Sender<Answer>>>);

impl ClientPort for Port {
    fn answer(&self, _: RequestId, answer: Answer) {
        if let Some(to) = self.0.lock().unwrap_or_else(PoisonError::into_inner).take() {
            let _ = to.send(answer);
        }
    }
}

/// A call that owes an answer. Dropped before it is over, it tells the core that its client has left: that is
/// how a cancelled call or a closed connection shows.
struct Owed {
    frontend: Frontend,
    id: RequestId,
    over: bool,
    slot: Option<Arc<ConnectionSlot>>,
}

impl Owed {
    /// The answer is with the client, or the core has ended the request.
    fn settle(&mut self) {
        self.over = true;
    }
}

impl Drop for Owed {
    fn drop(&mut self) {
        self.frontend.metrics.client_connections_pending.decrement();
        self.slot.iter().for_each(|slot| slot.request_closed());
        if !self.over
            && !self
                .frontend
                .core
                .try_send(CoreMessage::ClientDisconnected(self.id))
        {
            let (core, id) = (self.frontend.core.clone(), self.id);
            // While the program ends there is nobody left to tell.
            if let Ok(runtime) = tokio::runtime::Handle::try_current() {
                runtime.spawn(async move { core.send(CoreMessage::ClientDisconnected(id)).await });
            }
        }
    }
}

fn invalid(what: impl Into<String>) -> Status {
    Status::invalid_argument(what)
}

/// The deadline that a call names: digits and a unit, as gRPC has it.
pub(crate) fn grpc_timeout(text: &str) -> Option<Duration> {
    let (digits, unit) = text.split_at_checked(text.len().checked_sub(1)?)?;
    if digits.is_empty() || digits.len() > 8 || !digits.bytes().all(|b| b.is_ascii_digit()) {
        return None;
    }
    let n: u64 = digits.parse().ok()?;
    Some(match unit {
        "H" => Duration::from_secs(n * 3600),
        "M" => Duration::from_secs(n * 60),
        "S" => Duration::from_secs(n),
        "m" => Duration::from_millis(n),
        "u" => Duration::from_micros(n),
        "n" => Duration::from_nanos(n),
        _ => return None,
    })
}

/// A command out of the bytes that a descriptor or ticket carries.
fn command<T: ProstMessageExt + Message + Default>(any: &Any) -> Result<Option<T>, Status> {
    any.unpack::<T>()
        .map_err(|e| invalid(format!("a command that cannot be read: {e}")))
}

fn any(bytes: &Bytes) -> Result<Any, Status> {
    let any = Any::decode(bytes.clone())
        .map_err(|e| invalid(format!("a command that cannot be read: {e}")))?;
    // Bytes that decode by chance name no type.
    if any.type_url.is_empty() {
        Err(invalid("a command without its type"))
    } else {
        Ok(any)
    }
}

impl Flight {
    /// Counts what ends in a bad call.
    fn counted<T>(&self, done: Result<T, Status>) -> Result<T, Status> {
        self.frontend.metrics.flight_calls.increment();
        done.inspect_err(|status| {
            if matches!(status.code(), Code::InvalidArgument | Code::Unimplemented) {
                self.frontend.metrics.flight_bad_calls.increment();
            }
        })
    }

    fn unsupported<T>(&self, what: &str) -> Result<T, Status> {
        self.counted(Err(Status::unimplemented(format!("{what} is not offered"))))
    }

    fn tickets(&self) -> MutexGuard<'_, Tickets> {
        self.tickets.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Reads class, tenant and estimates from the metadata.
    fn call(&self, metadata: &MetadataMap, statement: String) -> Result<Call, Status> {
        let text = |key: &str| metadata.get(key).map(|v| v.as_bytes());
        let class = text(CLASS).ok_or_else(|| invalid(format!("no {CLASS}")))?;
        let class = self
            .frontend
            .class(class)
            .ok_or_else(|| invalid(format!("unknown {CLASS}")))?;
        if class.class.ordered_by_key {
            return Err(invalid(format!(
                "{CLASS} keeps order by a key, which calls here cannot carry"
            )));
        }
        let member = text(TENANT).unwrap_or_default();
        if !self.frontend.is_known_tenant(member) {
            return Err(invalid(format!("unknown {TENANT}")));
        }
        let member = Bytes::copy_from_slice(member);
        let estimate = |key: &str| match text(key) {
            None => Ok(None),
            Some(value) => self
                .frontend
                .parse_estimate(value)
                .map(Some)
                .ok_or_else(|| invalid(format!("{key} is no figure"))),
        };
        if statement.trim().is_empty() {
            return Err(invalid("an empty statement"));
        }
        if statement.len() > self.frontend.limits.message_bytes {
            return Err(invalid("a statement that is too long"));
        }
        // The engines' name for the request; unlike any client's on the platform only by chance.
        let unique = self.frontend.core.next_id();
        let name = format!(
            "{:08x}{unique:08x}",
            (self.frontend.core.now() as u64) as u32
        );
        Ok(Call {
            name: name.into(),
            class,
            member,
            cost_ms: estimate(EFFORT)?,
            memory_mb: estimate(NEED_MB)?,
            statement: statement.into(),
        })
    }

    fn plan(&self, request: Request<FlightDescriptor>) -> Result<FlightInfo, Status> {
        if let Some(slot) = request.extensions().get::<Arc<ConnectionSlot>>() {
            slot.record_call();
        }
        let (metadata, _, descriptor) = request.into_parts();
        let any = any(&descriptor.cmd)?;
        let Some(query) = command::<CommandStatementQuery>(&any)? else {
            return Err(Status::unimplemented(format!(
                "{} is not offered",
                any.type_url
            )));
        };
        if query.transaction_id.is_some() {
            return Err(Status::unimplemented("transactions are not offered"));
        }
        let call = self.call(&metadata, query.query)?;
        let handle = call.name.clone();
        let ticket = TicketStatementQuery {
            statement_handle: handle.clone(),
        };
        self.keep(handle, call);
        let ticket = Ticket {
            ticket: ticket.as_any().encode_to_vec().into(),
        };
        Ok(FlightInfo::new()
            .with_descriptor(descriptor)
            .with_endpoint(FlightEndpoint::new().with_ticket(ticket)))
    }

    /// Keeps a ticket; past the limit the oldest is forgotten.
    fn keep(&self, handle: Bytes, call: Call) {
        let mut tickets = self.tickets();
        if tickets.held.insert(handle.clone(), call).is_none() {
            tickets.order.push_back(handle);
        }
        tickets.bytes = tickets.held.values().map(|c| c.statement.len()).sum();
        let limits = &self.frontend.limits;
        while tickets.order.len() > limits.flight_tickets
            || tickets.bytes > limits.flight_ticket_bytes
        {
            let Some(oldest) = tickets.order.pop_front() else {
                break;
            };
            let forgotten = tickets
                .held
                .remove(&oldest)
                .map_or(0, |c| c.statement.len());
            tickets.bytes -= forgotten;
        }
    }

    /// What a ticket stands for. One of a class that may run once only is spent by this, before anything is sent.
    fn redeem(&self, ticket: &Ticket) -> Result<(Bytes, Call), Status> {
        let any = any(&ticket.ticket)?;
        let Some(ticket) = command::<TicketStatementQuery>(&any)? else {
            return Err(Status::unimplemented(format!(
                "{} is not offered",
                any.type_url
            )));
        };
        let handle = ticket.statement_handle;
        let mut tickets = self.tickets();
        let known = tickets.held.get(&handle).cloned();
        let mut call =
            known.ok_or_else(|| invalid("a ticket that is unknown, too old or spent"))?;
        if call.class.class.idempotency == Idempotency::NonIdempotent {
            tickets.held.remove(&handle);
            tickets.order.retain(|h| *h != handle);
        } else {
            // A repeat is a request of its own to the engines.
            call.name = format!(
                "{:08x}{:08x}",
                self.frontend.core.now() as u64 as u32,
                self.frontend.core.next_id()
            )
            .into();
        }
        Ok((handle, call))
    }

    /// Hands a request to the core and waits for its one final answer.
    #[expect(clippy::too_many_lines, reason = "not split yet")]
    async fn serve(
        &self,
        call: Call,
        kind: StatementKind,
        metadata: &MetadataMap,
        slot: Option<Arc<ConnectionSlot>>,
    ) -> Result<(ResultBody, Owed), Status> {
        let now = self.frontend.core.now();
        let timeout = match metadata.get("grpc-timeout") {
            None => None,
            Some(t) => Some(
                t.to_str()
                    .ok()
                    .and_then(grpc_timeout)
                    .ok_or_else(|| invalid("grpc-timeout"))?,
            ),
        };
        let usual = call.class.class.client_timeout_ms;
        let left = timeout.map_or(usual, |t| t.as_secs_f64() * 1000.0);
        let (id, ends) = (
            self.frontend.core.next_id(),
            self.frontend.metrics.class(&call.class.name),
        );
        let (port, answer) = oneshot::channel();
        self.frontend.metrics.client_connections_pending.increment();
        slot.iter().for_each(|slot| slot.request_opened());
        let mut owed = Owed {
            frontend: self.frontend.clone(),
            id,
            over: false,
            slot,
        };
        let taken = AcceptedRequest {
            id,
            client_reference: call.name,
            deadline_ms: self.frontend.deadline_ms(now, &call.class, left),
            class: call.class,
            estimated_work_ms: call.cost_ms,
            estimated_memory_mb: call.memory_mb,
            data_set: sql::dataset(&call.statement).unwrap_or(0),
            member: call.member,
            frontend: crate::retry_policy::FrontendKind::Flight,
            idempotency_key: None,
            order_key: None,
            statement: call.statement,
            statement_kind: kind,
            client: Arc::new(Port(Mutex::new(Some(port)))),
        };
        self.frontend.core.send(CoreMessage::Request(taken)).await;
        let answer = answer.await;
        owed.over = true;
        match &answer {
            Ok(Answer::Served(_)) => &ends.served,
            Ok(Answer::Rejected { .. }) => &ends.rejected,
            // No answer at all is a failure, too.
            Ok(Answer::Failed(_)) | Err(_) => &ends.failed,
        }
        .increment();
        match answer {
            Ok(Answer::Served(body)) => {
                owed.over = body.remaining_chunks.is_none();
                owed.slot.iter().for_each(|slot| slot.mark_proven());
                Ok((body, owed))
            }
            Ok(Answer::Rejected {
                retry_after_ms: hold_off_ms,
            }) => Err(refused(hold_off_ms)),
            Ok(Answer::Failed(FailureReason::DeadlineExceeded)) => {
                Err(Status::deadline_exceeded("no answer within the deadline"))
            }
            // Not UNAVAILABLE, which clients take as leave to repeat: it may have run.
            Ok(Answer::Failed(FailureReason::AttemptFailed)) => {
                Err(Status::internal("failed; it may have run"))
            }
            Err(_) => Err(Status::internal("the workload manager ends")),
        }
    }

    async fn get(
        &self,
        request: Request<Ticket>,
    ) -> Result<BoxStream<'static, Result<FlightData, Status>>, Status> {
        let slot = request.extensions().get::<Arc<ConnectionSlot>>().cloned();
        let (metadata, _, ticket) = request.into_parts();
        let (handle, call) = self.redeem(&ticket)?;
        let (mut body, owed) = match self
            .serve(call.clone(), StatementKind::Query, &metadata, slot)
            .await
        {
            Ok(served) => served,
            Err(status) => {
                // A refusal says that it never ran, so its ticket is good once more.
                if status.code() == Code::ResourceExhausted {
                    self.keep(handle, call);
                }
                return Err(status);
            }
        };
        let rest = body.remaining_chunks.take();
        let held =
            rows::arrow(&body).map_err(|_| Status::internal("a result that cannot be read"))?;
        let held = stream::iter(held.into_iter().map(Ok));
        let Some(rest) = rest else {
            return Ok(held.boxed());
        };
        let rest = stream::unfold((rest, owed), |(mut rest, mut owed)| async move {
            if owed.over {
                return None;
            }
            let item = match rest.recv().await {
                Some(ResultChunk::Data(piece)) => {
                    FlightData::decode(piece).map_err(|_| Status::internal("an unreadable piece"))
                }
                Some(ResultChunk::End) => {
                    owed.settle();
                    return None;
                }
                // A stream cut halfway ends in an error, never as a clean end.
                None => Err(Status::data_loss("the result was cut off; it is not whole")),
            };
            owed.over = item.is_err();
            Some((item, (rest, owed)))
        });
        Ok(held.chain(rest).boxed())
    }

    async fn put(&self, request: Request<Streaming<FlightData>>) -> Result<PutResult, Status> {
        let slot = request.extensions().get::<Arc<ConnectionSlot>>().cloned();
        let (metadata, _, mut input) = request.into_parts();
        // Guard: a call that is opened and brings no command would be held for good.
        let first = timeout(self.frontend.limits.client_read_timeout, input.message()).await;
        let first = first
            .map_err(|_| invalid("no command in time"))??
            .ok_or_else(|| invalid("no command"))?;
        let descriptor = first
            .flight_descriptor
            .ok_or_else(|| invalid("no descriptor"))?;
        let any = any(&descriptor.cmd)?;
        let Some(update) = command::<CommandStatementUpdate>(&any)? else {
            return Err(Status::unimplemented(format!(
                "{} is not offered",
                any.type_url
            )));
        };
        if update.transaction_id.is_some() {
            return Err(Status::unimplemented("transactions are not offered"));
        }
        let call = self.call(&metadata, update.query)?;
        let (body, _owed) = self
            .serve(call, StatementKind::Update, &metadata, slot)
            .await?;
        let result = DoPutUpdateResult {
            record_count: rows::count(&body),
        };
        Ok(PutResult {
            app_metadata: result.encode_to_vec().into(),
        })
    }
}

/// A refusal: trying again is harmless, after the wait where there is one.
fn refused(hold_off_ms: f64) -> Status {
    let wait = Duration::from_secs_f64(hold_off_ms.max(0.0) / 1000.0);
    let details = ErrorDetails::with_retry_info(Some(wait));
    Status::with_error_details(
        Code::ResourceExhausted,
        "refused: trying again is harmless",
        details,
    )
}

#[tonic::async_trait]
impl FlightService for Flight {
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
        self.counted(self.plan(request)).map(Response::new)
    }

    async fn do_get(
        &self,
        request: Request<Ticket>,
    ) -> Result<Response<Self::DoGetStream>, Status> {
        let done = self.get(request).await;
        self.counted(done).map(Response::new)
    }

    async fn do_put(
        &self,
        request: Request<Streaming<FlightData>>,
    ) -> Result<Response<Self::DoPutStream>, Status> {
        let done = self.put(request).await;
        self.counted(done)
            .map(|result| Response::new(stream::iter([Ok(result)]).boxed()))
    }

    async fn handshake(
        &self,
        _: Request<Streaming<HandshakeRequest>>,
    ) -> Result<Response<Self::HandshakeStream>, Status> {
        self.unsupported("Handshake")
    }

    async fn list_flights(
        &self,
        _: Request<Criteria>,
    ) -> Result<Response<Self::ListFlightsStream>, Status> {
        self.unsupported("ListFlights")
    }

    async fn poll_flight_info(
        &self,
        _: Request<FlightDescriptor>,
    ) -> Result<Response<PollInfo>, Status> {
        self.unsupported("PollFlightInfo")
    }

    async fn get_schema(
        &self,
        _: Request<FlightDescriptor>,
    ) -> Result<Response<SchemaResult>, Status> {
        self.unsupported("GetSchema")
    }

    async fn do_action(
        &self,
        _: Request<Action>,
    ) -> Result<Response<Self::DoActionStream>, Status> {
        self.unsupported("DoAction")
    }

    async fn list_actions(
        &self,
        _: Request<Empty>,
    ) -> Result<Response<Self::ListActionsStream>, Status> {
        self.unsupported("ListActions")
    }

    async fn do_exchange(
        &self,
        _: Request<Streaming<FlightData>>,
    ) -> Result<Response<Self::DoExchangeStream>, Status> {
        self.unsupported("DoExchange")
    }
}
