//! One connection of a client: its actor reads calls, passes requests to the core and writes the answers.

use crate::clients::connection_slots::ConnectionSlot;
use crate::clients::msgpack::{self, Message};
use crate::clients::{Frontend, is_client_reference, is_token, parse_non_negative};
use crate::core::{
    AcceptedRequest, Answer, ClientPort, CoreMessage, FailureReason, OrderKey, ResultBody,
    StatementKind,
};
use crate::decision::{Idempotency, RequestId};
use crate::limits::MemoryReservation;
use crate::metrics::ClassOutcomes;
use crate::net::{self, Outbox};
use crate::settings_json::NamedClass;
use crate::{rows, sql};
use bytes::{Bytes, BytesMut};
use std::collections::HashMap;
use std::sync::Arc;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until};

struct Mailbox(mpsc::Sender<(RequestId, Answer)>);

impl ClientPort for Mailbox {
    fn answer(&self, id: RequestId, answer: Answer) {
        // The mailbox holds one answer for each request that may be open, so it is full never; it is closed
        // where the client left.
        let _ = self.0.try_send((id, answer));
    }
}

pub(super) struct Connection {
    stream: TcpStream,
    frontend: Frontend,
    port: Arc<Mailbox>,
    answers: mpsc::Receiver<(RequestId, Answer)>,
    input: BytesMut,
    out: Outbox,
    /// Message ids of open requests, and where their ends are counted, by the core's id.
    open: HashMap<RequestId, (u64, Arc<ClassOutcomes>)>,
    last: u64,
    idle_since: Instant,
    /// Since when what is read is no whole message; from the start, as it is to begin with one.
    half_since: Option<Instant>,
    /// When its client last took anything of its answers, or none waited.
    taken_at: Instant,
    slot: ConnectionSlot,
    /// Bytes held in `input` and `out`.
    held: (MemoryReservation, MemoryReservation),
    /// Calls that are no use, and calls over the limit.
    faults: usize,
    /// Whether it is counted as owing an answer or a close in order; the exit waits for those.
    owing: bool,
    /// What came cannot be read, and nothing more is taken: how many bytes were passed over since.
    deaf: Option<usize>,
    /// It makes room for another connection, at once or once what it has half sent is whole or has fallen silent.
    evicted: bool,
}

/// Why a connection is read no further.
enum End {
    /// Its client has gone.
    Closed,
    Malformed,
}

impl From<std::io::Error> for End {
    fn from(_: std::io::Error) -> End {
        End::Closed
    }
}

impl Connection {
    pub(super) fn new(stream: TcpStream, slot: ConnectionSlot, frontend: Frontend) -> Connection {
        // One answer for each open request, and as many again for refusals on the spot.
        let (port, answers) = mpsc::channel(frontend.limits.open_requests_per_client * 2);
        let _ = stream.set_nodelay(true);
        Connection {
            stream,
            port: Arc::new(Mailbox(port)),
            answers,
            input: BytesMut::with_capacity(4096),
            out: Outbox::default(),
            open: HashMap::new(),
            last: 0,
            idle_since: Instant::now(),
            half_since: Some(Instant::now()),
            taken_at: Instant::now(),
            slot,
            held: (
                MemoryReservation::new(&frontend.buffer_pools.input),
                MemoryReservation::new(&frontend.buffer_pools.output),
            ),
            faults: 0,
            owing: false,
            deaf: None,
            evicted: false,
            frontend,
        }
    }

    pub(super) async fn run(mut self) {
        if self.serve().await.is_ok() {
            // The exit waits for the close to be whole as well.
            self.owes(true);
            // What crosses this close goes again; an answer under way must not be lost to its being refused.
            let _ = self.stream.shutdown().await;
            let limits = &self.frontend.limits;
            net::linger(
                &self.stream,
                if self.evicted {
                    limits.evicted_linger
                } else {
                    limits.linger
                },
            )
            .await;
        }
        self.answers.close();
        self.owes(false);
        for id in std::mem::take(&mut self.open).into_keys() {
            self.frontend
                .core
                .send(CoreMessage::ClientDisconnected(id))
                .await;
        }
    }

    /// Serves until the connection is to be closed, with nothing owed on it; an error where its client has gone.
    async fn serve(&mut self) -> Result<(), End> {
        loop {
            let before = self.out.written();
            self.out.flush(&self.stream)?;
            if self.out.is_empty() || self.out.written() > before {
                self.taken_at = Instant::now();
            }
            self.owe();
            let done = self.done();
            if done && (self.deaf.is_some() || self.evicted && self.input.is_empty()) {
                return Ok(());
            }
            // A slow reader holds at most a few answers here: then nothing more is read from it.
            let held = self.out.waiting() > 2 * self.frontend.limits.result_bytes as u64;
            let patience = self.patience();
            let leaving = self.frontend.lifecycle.current().is_draining();
            let untaken = self.taken_at + self.frontend.limits.client_idle_timeout;
            tokio::select! {
                biased;
                Some((id, answer)) = self.answers.recv() => self.answer(id, answer),
                ready = self.stream.writable(), if !self.out.is_empty() => ready?,
                ready = self.stream.readable(), if !held => {
                    ready?;
                    self.hear().await?;
                }
                // Guard: a client that says nothing, or stops halfway through a message, is owed a close in time
                // and holds bytes and a place until then. One that was answered may idle for longer.
                () = sleep_until(patience), if done => {
                    // Not where a request has come in meanwhile, or the rest of one.
                    self.hear_last().await?;
                    if self.done() && self.patience() <= Instant::now() {
                        if self.half_since.is_some() {
                            self.frontend.metrics.client_read_timeouts.increment();
                        }
                        return Ok(());
                    }
                }
                // Guard: clients that never take their answers could hold every place for good.
                () = sleep_until(untaken), if !self.out.is_empty() => {
                    self.frontend.metrics.client_read_timeouts.increment();
                    return Err(End::Closed);
                }
                // Guard: half a request is one on its way; it comes whole first, or falls silent.
                () = self.slot.asked_to_leave(), if done && (self.input.is_empty() || !leaving) => {
                    self.hear_last().await?;
                    self.evicted = !leaving && self.done();
                    if self.done() && self.input.is_empty() {
                        return Ok(());
                    }
                    if !self.evicted {
                        self.slot.stay();
                    }
                }
            }
        }
    }

    /// Whether nothing is owed on it.
    fn done(&self) -> bool {
        self.open.is_empty() && self.out.is_empty()
    }

    /// When it is closed, where nothing is owed and nothing comes.
    fn patience(&self) -> Instant {
        let idle = self.idle_since + self.frontend.limits.client_idle_timeout;
        let limits = &self.frontend.limits;
        let evicted = self.evicted && !self.frontend.lifecycle.current().is_draining();
        let silence = if evicted {
            limits.evicted_client_read_timeout
        } else {
            limits.client_read_timeout
        };
        self.half_since
            .map_or(idle, |since| idle.min(since + silence))
    }

    /// Reads what is there before a close. Guard: what the runtime has not asked the socket for yet counts as not there,
    /// so the runtime has its turn first.
    async fn hear_last(&mut self) -> Result<(), End> {
        tokio::task::yield_now().await;
        self.hear().await
    }

    /// Reads what is there. Guard: a client that ends its side has left, whatever it sent just before; its requests are
    /// dropped, as nobody can tell a close from the end of its sending alone, and the answer may have no reader.
    async fn hear(&mut self) -> Result<(), End> {
        let most = self.frontend.limits.message_bytes;
        if !net::read(&self.stream, &mut self.input, most)? {
            return Err(End::Closed);
        }
        if let Some(passed) = &mut self.deaf {
            // Guard: it is read on to see it leave, and not for what it sends; that has its bound too.
            *passed += self.input.len();
            self.input.clear();
            return if *passed > most {
                Err(End::Closed)
            } else {
                Ok(())
            };
        }
        let heard = self.read().await;
        // Guard: half messages of many clients could fill the memory together.
        let limits = &self.frontend.limits;
        let fits = self
            .held
            .0
            .set(self.input.len(), limits.share(limits.input_bytes));
        match heard {
            Err(End::Closed) => Err(End::Closed),
            Ok(()) if fits => Ok(()),
            // Guard: what came before is answered, then the connection is closed in order. Dropped at once, with bytes
            // unread, it would be reset, and the answers under way with it.
            _ => {
                self.frontend.metrics.client_malformed.increment();
                self.input.clear();
                (self.deaf, self.half_since) = (Some(0), None);
                self.held.0.set(0, usize::MAX);
                Ok(())
            }
        }
    }

    fn owe(&mut self) {
        let waiting = self.out.waiting() as usize;
        self.held.1.set(
            waiting,
            self.frontend
                .limits
                .share(self.frontend.limits.output_bytes),
        );
        self.slot
            .set_open_requests(self.open.len() + usize::from(waiting > 0));
        // Half a request is owed its rest, and a client that is to go a close in order: each has its own bound.
        let goes = self.last > 0 && self.frontend.lifecycle.current().is_draining();
        self.owes(!self.done() || !self.input.is_empty() || goes);
    }

    fn owes(&mut self, owes: bool) {
        let gauge = &self.frontend.metrics.client_connections_pending;
        match (std::mem::replace(&mut self.owing, owes), owes) {
            (false, true) => gauge.increment(),
            (true, false) => gauge.decrement(),
            _ => {}
        }
    }

    #[expect(clippy::too_many_lines, reason = "not split yet")]
    async fn read(&mut self) -> Result<(), End> {
        let now = self.frontend.core.now();
        while let Some(message) =
            msgpack::take(&mut self.input, &self.frontend.limits).map_err(|_| End::Malformed)?
        {
            match message {
                Message::Call {
                    id,
                    method,
                    fields,
                    body,
                } => {
                    // Guard: ids rise, so one that comes again would get two answers. Nothing on this connection
                    // can be told apart any more.
                    if id <= self.last {
                        return Err(End::Malformed);
                    }
                    self.last = id;
                    self.slot.record_call();
                    self.idle_since = Instant::now();
                    self.half_since = None;
                    if std::mem::take(&mut self.evicted) {
                        self.slot.stay();
                    }
                    if method.as_ref() == b"health" {
                        let fit = !self.frontend.lifecycle.current().is_draining();
                        self.slot.mark_proven();
                        self.out.push(msgpack::health(id, fit));
                        continue;
                    }
                    let ends = self.frontend.class_outcomes(&method);
                    match self.taken(now, &method, fields, body) {
                        Ok(taken)
                            if self.open.len() < self.frontend.limits.open_requests_per_client =>
                        {
                            self.open.insert(taken.id, (id, ends.unwrap_or_default()));
                            self.owe();
                            self.frontend.core.send(CoreMessage::Request(taken)).await;
                        }
                        Ok(_) => {
                            self.frontend.metrics.client_over_limit.increment();
                            ends.iter().for_each(|e| e.rejected.increment());
                            self.out.push(msgpack::error(id, "Overloaded", None));
                            self.fault()?;
                        }
                        Err(error) => {
                            self.frontend.metrics.client_bad_calls.increment();
                            ends.iter().for_each(|e| e.failed.increment());
                            self.out.push(msgpack::error(id, error, None));
                            self.fault()?;
                        }
                    }
                }
                Message::Cancel { id } => {
                    let found = self
                        .open
                        .iter()
                        .find(|(_, (m, _))| *m == id)
                        .map(|(r, _)| *r);
                    if let Some(request) = found {
                        self.open.remove(&request);
                        self.frontend
                            .core
                            .send(CoreMessage::ClientDisconnected(request))
                            .await;
                    }
                }
                Message::Notice => {
                    self.frontend.metrics.client_bad_calls.increment();
                    self.fault()?;
                }
            }
        }
        // What stays in the buffer is half a message. Before the first call all counts as that, notices too.
        if !self.input.is_empty() {
            self.half_since.get_or_insert_with(Instant::now);
        } else if self.last > 0 {
            self.half_since = None;
        }
        Ok(())
    }

    /// Guard: a client that sends what is no use as fast as it is turned away would take the whole core.
    fn fault(&mut self) -> Result<(), End> {
        self.faults += 1;
        if self.faults > self.frontend.limits.client_bad_calls {
            Err(End::Malformed)
        } else {
            Ok(())
        }
    }

    /// What a call asks for, or the error that answers it.
    fn taken(
        &self,
        now: f64,
        method: &[u8],
        fields: Option<msgpack::Fields>,
        body: Option<Bytes>,
    ) -> Result<AcceptedRequest, &'static str> {
        let class = self.frontend.class(method).ok_or("NoMethodError")?;
        let (Some(fields), Some(statement)) = (fields, body) else {
            return Err("ArgumentError");
        };
        let name = fields
            .get("ref")
            .filter(|r| is_client_reference(r))
            .ok_or("ArgumentError")?;
        let allow = fields
            .get("allow")
            .and_then(|a| parse_non_negative(a))
            .ok_or("ArgumentError")?;
        let due_ms = self.frontend.deadline_ms(now, &class, allow);
        let member = fields
            .get("project")
            .filter(|p| self.frontend.is_known_tenant(p))
            .ok_or("ArgumentError")?;
        let keyed = matches!(class.class.idempotency, Idempotency::WithKey(_));
        let idempotency_key = match fields.get("replay").filter(|_| keyed) {
            Some(key) if !is_token(key, self.frontend.limits.key_bytes) => {
                return Err("ArgumentError");
            }
            key => key.cloned(),
        };
        let order_key = self.order_key(&class, &fields)?;
        self.count_retry(&fields)?;
        let estimate = |field: &str| match fields.get(field) {
            None => Ok(None),
            Some(text) => self
                .frontend
                .parse_estimate(text)
                .map(Some)
                .ok_or("ArgumentError"),
        };
        Ok(AcceptedRequest {
            id: self.frontend.core.next_id(),
            client_reference: name.clone(),
            class,
            deadline_ms: due_ms,
            estimated_work_ms: estimate("effort")?,
            estimated_memory_mb: estimate("need_mb")?,
            data_set: sql::dataset(&statement).unwrap_or(0),
            member: Bytes::copy_from_slice(member),
            frontend: crate::retry_policy::FrontendKind::Platform,
            statement_kind: if sql::reads(&statement) {
                StatementKind::Query
            } else {
                StatementKind::Update
            },
            idempotency_key,
            order_key,
            statement,
            client: self.port.clone(),
        })
    }

    /// The key by which a request takes its turn. Guard: one of a class that keeps order and names none could run
    /// beside any other.
    fn order_key(
        &self,
        class: &NamedClass,
        fields: &msgpack::Fields,
    ) -> Result<Option<OrderKey>, &'static str> {
        if !class.class.ordered_by_key {
            return Ok(None);
        }
        let text = fields.get("lookup").ok_or("ArgumentError")?;
        let usable = is_token(text, self.frontend.limits.key_bytes);
        usable
            .then(|| Some(OrderKey::new(text)))
            .ok_or("ArgumentError")
    }

    /// Counts a request that its client marks as a retry.
    fn count_retry(&self, fields: &msgpack::Fields) -> Result<(), &'static str> {
        match fields.get("dup").map(|mark| mark.as_ref()) {
            None => {}
            Some(b"1") => self.frontend.metrics.client_retries.increment(),
            Some(_) => return Err("ArgumentError"),
        }
        Ok(())
    }

    fn answer(&mut self, id: RequestId, answer: Answer) {
        // Gone where the client has cancelled: then no answer is owed.
        let Some((message, ends)) = self.open.remove(&id) else {
            return;
        };
        self.idle_since = Instant::now();
        match answer {
            Answer::Served(body) => {
                self.slot.mark_proven();
                // Counted as the client is told, which may be that its result cannot be passed on.
                if self.result(message, &body) {
                    &ends.served
                } else {
                    &ends.failed
                }
                .increment();
            }
            Answer::Rejected {
                retry_after_ms: hold_off_ms,
            } => {
                ends.rejected.increment();
                let wait = format!("{hold_off_ms:.0}");
                let field = (hold_off_ms >= 1.0).then_some(("cooldown", wait.as_str()));
                self.out.push(msgpack::error(message, "Overloaded", field));
            }
            Answer::Failed(why) => {
                ends.failed.increment();
                let name = if why == FailureReason::DeadlineExceeded {
                    "DeadlineExceeded"
                } else {
                    "Internal"
                };
                self.out.push(msgpack::error(message, name, None));
            }
        }
    }

    /// Writes a result out in the pieces in which it came; one that this protocol cannot carry has failed, and
    /// that is false.
    fn result(&mut self, message: u64, body: &ResultBody) -> bool {
        let pieces = rows::text(body)
            .ok()
            .filter(|_| body.remaining_chunks.is_none());
        let size = |pieces: &Vec<Bytes>| pieces.iter().map(Bytes::len).sum::<usize>();
        let Some(pieces) = pieces.filter(|p| size(p) <= self.frontend.limits.result_bytes) else {
            self.out.push(msgpack::error(message, "Internal", None));
            return false;
        };
        // Guard: answers that nobody takes could fill the memory; this one fails and says so.
        let waiting = self.out.waiting() as usize + size(&pieces);
        if !self.held.1.set(
            waiting,
            self.frontend
                .limits
                .share(self.frontend.limits.output_bytes),
        ) {
            self.frontend.metrics.client_over_limit.increment();
            self.out.push(msgpack::error(message, "Internal", None));
            return false;
        }
        self.out.push(msgpack::result_head(message, size(&pieces)));
        for piece in pieces {
            self.out.push(piece);
        }
        self.out.push(msgpack::END);
        true
    }
}
