//! Engines that speak Arrow Flight SQL: one actor an engine, one connection to it, one task an attempt. Dropping a
//! task resets its stream, which is how an attempt is given up; it is over once that reset has left.

mod metadata;
mod wire;

use super::admission::Admission;
use super::connection_load::{ConnectionLoad, ConnectionUse};
use super::connection_slots::SlotPurpose;
use super::context::{AfterCancellation, AttemptId, EngineContext, EngineMessage};
use crate::attempt::{AttemptEnd, AttemptState};
use crate::core::{
    AttemptEvent, AttemptRequest, ResultBody, ResultChunk, ResultFormat, StatementKind,
};
use crate::decision::{EngineId, EngineState, LoadReport, Outcome};
use crate::limits::MemoryReservation;
use crate::rows;
use arrow_flight::flight_service_client::FlightServiceClient;
use arrow_flight::sql::{
    CommandStatementQuery, CommandStatementUpdate, DoPutUpdateResult, ProstMessageExt,
};
use arrow_flight::{FlightData, FlightDescriptor};
use bytes::Bytes;
use futures::stream;
use metadata::{INFLIGHT, USED_MB, WORK_MS, call_request, figure, keep_measurements};
use prost::Message;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, OnceLock};
use tokio::sync::{Mutex, mpsc};
use tokio::task::{AbortHandle, Id, JoinError, JoinSet};
use tokio::time::{Instant, sleep_until, timeout};
use tonic::metadata::MetadataMap;
use tonic::{Code, Status};
use wire::{Untaken, Wire};

/// An attempt at work.
struct Running {
    key: AttemptId,
    task: AbortHandle,
    /// The connection that it is on, once it is on one.
    wire: Arc<OnceLock<Wire>>,
    /// The core gave it up; and whether another attempt may follow.
    quit: Option<AfterCancellation>,
}

/// Runs one engine until it idles without a connection, or until the list drops it and its attempts are over.
pub(crate) async fn run(
    engine: EngineId,
    address: SocketAddr,
    mut orders: mpsc::Receiver<EngineMessage>,
    context: EngineContext,
    admission: Arc<Admission>,
) {
    let link = Arc::new(Link {
        engine,
        address,
        context,
        wire: Mutex::default(),
        admission,
    });
    let mut engine = Engine {
        link,
        tasks: JoinSet::new(),
        running: HashMap::new(),
        listed: true,
        cut: None,
    };
    while engine.listed || !engine.tasks.is_empty() {
        let wake = engine
            .cut
            .unwrap_or_else(|| Instant::now() + engine.link.context.limits.engine_idle_timeout);
        tokio::select! {
            order = orders.recv(), if engine.listed => match order {
                Some(order) => engine.order(order),
                None => engine.dropped(),
            },
            Some(done) = engine.tasks.join_next_with_id(), if !engine.tasks.is_empty() => engine.task_over(done),
            () = sleep_until(wake) => if engine.cut.take().is_some() {
                engine.cut_off().await;
            } else if engine.idle() && orders.is_empty() {
                // Nothing waits between this and the end, so that nothing can be handed over meanwhile.
                return;
            }
        }
    }
}

/// One engine, as its actor holds it.
struct Engine {
    link: Arc<Link>,
    tasks: JoinSet<()>,
    running: HashMap<Id, Running>,
    /// The list has not dropped it: orders may come.
    listed: bool,
    /// When a gone engine's connection is cut.
    cut: Option<Instant>,
}

impl Engine {
    fn order(&mut self, order: EngineMessage) {
        match order {
            EngineMessage::StartAttempt(ask) => {
                let (key, wire) = (AttemptId::from(&*ask), Arc::<OnceLock<Wire>>::default());
                let task = self
                    .tasks
                    .spawn(attempt(self.link.clone(), *ask, wire.clone()));
                self.running.insert(
                    task.id(),
                    Running {
                        key,
                        task,
                        wire,
                        quit: None,
                    },
                );
            }
            EngineMessage::CancelAttempt { attempt, after } => {
                for one in self.running.values_mut().filter(|r| r.key == attempt) {
                    one.quit = one.quit.or(Some(after));
                    one.task.abort();
                }
            }
            // Flight SQL has no message for a query's new priority.
            EngineMessage::SetPriority { .. } | EngineMessage::ManualEjectionChanged => {}
            EngineMessage::StateChanged(EngineState::Removed) => self.cut_later(),
            EngineMessage::StateChanged(_) => self.cut = None,
        }
    }

    /// No more orders come.
    fn dropped(&mut self) {
        self.listed = false;
        self.cut_later();
    }

    /// What a gone engine holds gets a moment to end.
    fn cut_later(&mut self) {
        let grace = self.link.context.limits.removed_engine_grace;
        self.cut.get_or_insert_with(|| Instant::now() + grace);
    }

    fn task_over(&mut self, done: Result<(Id, ()), JoinError>) {
        let id = match &done {
            Ok((id, ())) => *id,
            Err(e) => e.id(),
        };
        // What ended by itself has told its end; what was dropped has told nothing.
        if let Some(one) = self.running.remove(&id).filter(|_| done.is_err()) {
            self.tasks
                .spawn(prove(self.link.clone(), one.key, one.wire, one.quit));
        }
    }

    /// Whether it has no connection, and nothing is open.
    fn idle(&self) -> bool {
        let held = self.link.wire.try_lock();
        let unconnected =
            held.is_ok_and(|held| held.as_ref().is_none_or(|(wire, _)| wire.closed()));
        unconnected && self.tasks.is_empty()
    }

    /// The engine is gone and its connection was not reset: what it held may have run.
    async fn cut_off(&mut self) {
        self.link
            .wire
            .lock()
            .await
            .take()
            .inspect(|(wire, _)| wire.cut());
        self.running.values().for_each(|one| {
            one.wire.get().inspect(|wire| wire.cut());
            one.task.abort();
        });
    }
}

/// Tells the end of an attempt whose task was dropped, once that is proven.
async fn prove(
    link: Arc<Link>,
    key: AttemptId,
    wire: Arc<OnceLock<Wire>>,
    quit: Option<AfterCancellation>,
) {
    let again = quit.is_some_and(AfterCancellation::retry_may_follow);
    let end = match wire.get() {
        None => AttemptState::default()
            .cancel(again, || 0)
            .unwrap_or(AttemptEnd::NeverSent),
        Some(wire) => prove_on(&link, wire.clone(), again).await,
    };
    let news = match (quit, end) {
        (Some(_), end) => AttemptEvent::Cancelled(end),
        (None, AttemptEnd::NeverSent) => AttemptEvent::end(Outcome::NoConnection),
        (None, _) => AttemptEvent::end(Outcome::Reset),
    };
    link.tell(key, LoadReport::default(), news).await;
}

/// The end of a dropped attempt that had a connection, once its reset was sent and, where another attempt may follow,
/// confirmed. Guard: a peer that takes no more would keep the attempt out for ever, so its connection is closed; what
/// else is on it ends as on any broken one.
async fn prove_on(link: &Link, mut wire: Wire, again: bool) -> AttemptEnd {
    let limits = &link.context.limits;
    let mut life = AttemptState::default();
    let mark = wire.mark();
    // When the attempt itself was sent is not known: it may have been, from the moment that it had a connection.
    life.begin_writing(0);
    life.cancel(again, || mark);
    let mut end = match timeout(limits.cancellation_write_timeout, wire.left(mark)).await {
        Ok(true) => life.wrote(mark),
        _ => None,
    };
    if end.is_none()
        && again
        && matches!(
            timeout(limits.cancellation_confirm_timeout, wire.heard()).await,
            Ok(true)
        )
    {
        end = life.cancellation_confirmed();
    }
    if end.is_none() && !wire.closed() {
        link.context.metrics.cancellations_unconfirmed.increment();
        wire.cut();
        let _ = wire.left(u64::MAX).await;
    }
    end.unwrap_or_else(|| life.connection_closed(0))
}

struct Link {
    engine: EngineId,
    address: SocketAddr,
    context: EngineContext,
    wire: Mutex<Option<(Wire, Arc<ConnectionLoad>)>>,
    admission: Arc<Admission>,
}

impl Link {
    /// Whether nothing new may go to its engine.
    fn closed(&self) -> bool {
        self.admission.is_closed()
    }

    /// The connection, which is up, to carry one more attempt; why not, where there is none, so that nothing was sent.
    async fn wire(&self) -> Result<(Wire, Carried), Lost> {
        let mut held = self.wire.lock().await;
        if let Some((wire, load)) = held
            .as_ref()
            .filter(|(wire, load)| !wire.closed() && !load.is_evicted())
        {
            return Ok((wire.clone(), Carried::on(load, self.context.core.now())));
        }
        *held = None;
        let load = Arc::<ConnectionLoad>::default();
        let carried = Carried::on(&load, self.context.core.now());
        let slot = self
            .context
            .slots
            .acquire(&load, SlotPurpose::FirstConnection)
            .ok_or(Lost(Outcome::NoConnectionSlot))?;
        let wire = Wire::connect(self.address, &self.context.limits, slot).await;
        let wire = wire.ok_or(Lost(Outcome::NoConnection))?;
        self.context.metrics.engine_connections.increment();
        *held = Some((wire.clone(), load));
        Ok((wire, carried))
    }

    async fn tell(&self, key: AttemptId, report: LoadReport, news: AttemptEvent) {
        self.context
            .send_event(self.engine, key, report, news)
            .await;
    }

    async fn ended(
        &self,
        key: AttemptId,
        outcome: Outcome,
        told: &MetadataMap,
        body: Option<ResultBody>,
    ) {
        let report = LoadReport {
            inflight: figure(told, INFLIGHT),
            ..LoadReport::default()
        };
        let news = AttemptEvent::Ended {
            outcome,
            measured_work_ms: figure(told, WORK_MS),
            measured_memory_mb: figure(told, USED_MB),
            body,
        };
        self.tell(key, report, news).await;
    }
}

/// One attempt on a connection, for as long as this is held.
struct Carried(Arc<ConnectionLoad>);

impl Carried {
    fn on(load: &Arc<ConnectionLoad>, now: f64) -> Carried {
        load.begin_attempt(ConnectionUse::Shared, now);
        Carried(load.clone())
    }
}

impl Drop for Carried {
    fn drop(&mut self) {
        self.0.end_attempt(ConnectionUse::Shared);
    }
}

/// How an attempt failed.
struct Lost(Outcome);

/// What a status tells of the attempt that it ended.
fn outcome(status: &Status) -> Outcome {
    let mut cause: Option<&(dyn std::error::Error + 'static)> = Some(status);
    while let Some(e) = cause {
        if e.downcast_ref::<Untaken>().is_some() {
            return Outcome::NoConnection;
        }
        if let Some(broken) = e.downcast_ref::<h2::Error>() {
            // RFC 9113, 8.7: a refused stream was not processed in any way.
            if broken.is_remote() && broken.reason() == Some(h2::Reason::REFUSED_STREAM) {
                return Outcome::NoConnection;
            }
            if broken.is_io() || broken.is_go_away() {
                return Outcome::Reset;
            }
        }
        cause = e.source();
    }
    match status.code() {
        Code::ResourceExhausted => Outcome::Rejected, // the engine says itself that it never ran
        Code::DeadlineExceeded => Outcome::TimedOut,
        Code::Unavailable | Code::Cancelled => Outcome::Reset,
        _ => Outcome::Error,
    }
}

impl From<Status> for Lost {
    fn from(status: Status) -> Lost {
        Lost(outcome(&status))
    }
}

async fn attempt(link: Arc<Link>, ask: AttemptRequest, on: Arc<OnceLock<Wire>>) {
    let key = AttemptId::from(&ask);
    let mut told = MetadataMap::new();
    let done = match link.wire().await {
        // Guard: a drain that came while the connection did stops the attempt before its first byte.
        Ok(_) if let Some(late) = ask.expired(link.context.core.now()) => {
            return link.tell(key, LoadReport::default(), late).await;
        }
        Ok((wire, _carried)) if !link.closed() => {
            let _ = on.set(wire.clone());
            send(&link, &ask, wire, &mut told).await
        }
        Ok(_) => Err(Lost(Outcome::NoConnection)),
        Err(lost) => Err(lost),
    };
    match done {
        Ok(body) => link.ended(key, Outcome::Ok, &told, body).await,
        Err(Lost(lost)) => {
            if matches!(lost, Outcome::Reset | Outcome::NoConnection) {
                // The next attempt connects anew and so learns for sure whether it was sent.
                *link.wire.lock().await = None;
            }
            link.ended(key, lost, &told, None).await;
        }
    }
}

/// One attempt: a result that is held whole, or `None` where it streamed to the client.
async fn send(
    link: &Link,
    ask: &AttemptRequest,
    wire: Wire,
    told: &mut MetadataMap,
) -> Result<Option<ResultBody>, Lost> {
    let origin = format!("http://{}", link.address)
        .parse()
        .map_err(|_| Lost(Outcome::NoConnection))?;
    let client = FlightServiceClient::with_origin(wire, origin)
        .max_decoding_message_size(link.context.limits.flight_message_bytes);
    // The call follows at once; a stream hands over nothing that tells when its last byte was sent.
    link.context.metrics.attempts_written.increment();
    let text = String::from_utf8(ask.statement.to_vec()).map_err(|_| Lost(Outcome::NotSent))?;
    match ask.statement_kind {
        StatementKind::Update => update(link, ask, client, text, told).await.map(Some),
        StatementKind::Query => query(link, ask, client, text, told).await,
    }
}

/// An update, with the count of rows that it changed.
async fn update(
    link: &Link,
    ask: &AttemptRequest,
    mut client: FlightServiceClient<Wire>,
    query: String,
    told: &mut MetadataMap,
) -> Result<ResultBody, Lost> {
    let command = CommandStatementUpdate {
        query,
        transaction_id: None,
    };
    let descriptor = FlightDescriptor::new_cmd(command.as_any().encode_to_vec());
    let data = FlightData::new().with_descriptor(descriptor);
    let response = client
        .do_put(call_request(
            ask,
            link.context.core.now(),
            stream::iter([data]),
        ))
        .await?;
    keep_measurements(told, response.metadata());
    let mut results = response.into_inner();
    // An update that ends without its result may have run.
    let result = results.message().await?.ok_or(Lost(Outcome::Error))?;
    let count = DoPutUpdateResult::decode(result.app_metadata).map_err(|_| Lost(Outcome::Error))?;
    while results.message().await?.is_some() {}
    Ok(rows::counted(count.record_count))
}

/// A query, with the rows of all its endpoints.
async fn query(
    link: &Link,
    ask: &AttemptRequest,
    mut client: FlightServiceClient<Wire>,
    query: String,
    told: &mut MetadataMap,
) -> Result<Option<ResultBody>, Lost> {
    let command = CommandStatementQuery {
        query,
        transaction_id: None,
    };
    let descriptor = FlightDescriptor::new_cmd(command.as_any().encode_to_vec());
    let info = client
        .get_flight_info(call_request(ask, link.context.core.now(), descriptor))
        .await?
        .into_inner();
    let mut rows = Rows::new(link, AttemptId::from(ask));
    for (part, endpoint) in info.endpoint.into_iter().enumerate() {
        let ticket = endpoint.ticket.ok_or(Lost(Outcome::Error))?;
        let response = client
            .do_get(call_request(ask, link.context.core.now(), ticket))
            .await?;
        keep_measurements(told, response.metadata());
        let mut data = response.into_inner();
        let mut first = part > 0;
        while let Some(message) = data.message().await? {
            // Each endpoint begins with the schema, which the client gets once.
            if std::mem::take(&mut first) {
                continue;
            }
            rows.push(Bytes::from(message.encode_to_vec())).await?;
        }
        if let Some(trailers) = data.trailers().await? {
            keep_measurements(told, &trailers);
        }
    }
    rows.finish().await
}

/// The rows of a query as they come: held until they are whole, or streamed once they outgrow what is held.
struct Rows<'a> {
    link: &'a Link,
    key: AttemptId,
    held: Vec<Bytes>,
    /// Bytes of all pieces so far.
    size: usize,
    reservation: MemoryReservation,
    /// The way to the client, once they stream.
    stream: Option<mpsc::Sender<ResultChunk>>,
}

impl<'a> Rows<'a> {
    fn new(link: &'a Link, key: AttemptId) -> Rows<'a> {
        let reservation = MemoryReservation::new(&link.context.partial_results);
        Rows {
            link,
            key,
            held: Vec::new(),
            size: 0,
            reservation,
            stream: None,
        }
    }

    /// Takes one piece. The client of a stream sets the pace; where it has left, nobody waits for the rest.
    async fn push(&mut self, piece: Bytes) -> Result<(), Lost> {
        self.size += piece.len();
        if let Some(stream) = &self.stream {
            return stream
                .send(ResultChunk::Data(piece))
                .await
                .map_err(|_| Lost(Outcome::Cancelled));
        }
        self.held.push(piece);
        let limits = &self.link.context.limits;
        // Guard: results that are not whole yet could fill the memory together.
        if !self
            .reservation
            .set(self.size, limits.share(limits.partial_result_bytes))
        {
            return Err(Lost(Outcome::Error));
        }
        if self.size > limits.flight_buffered_bytes {
            self.begin_stream().await;
        }
        Ok(())
    }

    /// Hands what is held to the client, which gets the rest as it comes.
    async fn begin_stream(&mut self) {
        let limits = &self.link.context.limits;
        let (stream, rest) = mpsc::channel(limits.flight_chunks);
        let body = ResultBody {
            format: ResultFormat::Arrow,
            chunks: std::mem::take(&mut self.held),
            remaining_chunks: Some(rest),
        };
        self.link
            .tell(
                self.key,
                LoadReport::default(),
                AttemptEvent::ResultStreaming(body),
            )
            .await;
        self.stream = Some(stream);
        self.reservation
            .set(0, limits.share(limits.partial_result_bytes));
    }

    /// All pieces have come. Only what ended well says so: a task that fails or is dropped leaves the result cut off.
    async fn finish(self) -> Result<Option<ResultBody>, Lost> {
        let Some(stream) = self.stream else {
            return Ok(Some(ResultBody::complete(ResultFormat::Arrow, self.held)));
        };
        stream
            .send(ResultChunk::End)
            .await
            .map_err(|_| Lost(Outcome::Cancelled))?;
        Ok(None)
    }
}

#[cfg(test)]
mod tests;
