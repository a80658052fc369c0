//! One connection to an engine: an actor that writes attempts, priorities and cancellations, and reads the answers.

use super::timers::{Timers, is_due};
use crate::attempt::{AttemptEnd, AttemptState};
use crate::core::{AttemptEvent, AttemptRequest};
use crate::decision::{EngineId, EngineState, LoadReport, Millis, Outcome};
use crate::engines::admission::Admission;
use crate::engines::connection_load::{ConnectionLoad, ConnectionUse};
use crate::engines::connection_slots::ConnectionSlot;
use crate::engines::context::{AttemptId, EngineContext, EngineMessage};
use crate::engines::reply::Broken;
use crate::limits::MemoryReservation;
use crate::net::{self, Outbox};
use bytes::{Bytes, BytesMut};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until, timeout};

/// The way back from a connection, for attempts that it was never sent; nothing where it is over.
#[derive(Clone)]
pub(super) struct ReturnPath {
    pub(super) asks: mpsc::UnboundedSender<Option<Box<AttemptRequest>>>,
    /// Connections that ended since the engine last answered: where there are several, it is the engine's fault.
    pub(super) broken: Arc<AtomicUsize>,
}

/// An attempt on this connection, by the client's name for its request.
pub(super) struct Attempt {
    pub(super) ask: Box<AttemptRequest>,
    /// Its marks are counts of bytes written.
    pub(super) life: AttemptState,
    /// Pages, once the first one is in: what is still to come follows in order.
    pub(super) pages: Option<Pages>,
}

pub(super) struct Pages {
    pub(super) all: usize,
    pub(super) got: Vec<Option<Bytes>>,
    pub(super) billed_ms: Option<f64>,
    pub(super) billed_mb: Option<f64>,
    pub(super) report: LoadReport,
    pub(super) until: Instant,
    pub(super) reservation: MemoryReservation,
}

/// A message that gives an attempt up, on its way to the engine.
struct Cancellation {
    /// Count of bytes written by which it was sent whole.
    mark: u64,
    /// The name of its attempt.
    name: Bytes,
    /// The tag of the line by which the engine confirms that it has read it, where that is needed.
    tag: Option<Bytes>,
    /// When it must have been sent, and confirmed.
    until: Instant,
}

pub(super) struct Connection {
    pub(super) engine: EngineId,
    orders: mpsc::Receiver<EngineMessage>,
    /// Where attempts go back to that it was never sent.
    pub(super) back: ReturnPath,
    pub(super) load: Arc<ConnectionLoad>,
    pub(super) context: EngineContext,
    /// Attempts of which nothing is written yet.
    waiting: VecDeque<Box<AttemptRequest>>,
    pub(super) attempts: HashMap<Bytes, Attempt>,
    pub(super) input: BytesMut,
    out: Outbox,
    /// Count of bytes written by which the last attempt is sent whole, until it is, and its name.
    unwritten: Option<(u64, Bytes)>,
    /// Cancellations that were not sent or not confirmed yet, in order.
    cancellations: VecDeque<Cancellation>,
    /// Tags given out.
    tags: u64,
    /// Ends that the core is to be told.
    ends: Vec<(Box<AttemptRequest>, AttemptEvent)>,
    pub(super) idle_since: Instant,
    /// Since when what is read is no whole answer.
    pub(super) half_since: Option<Instant>,
    /// Answers since the last that ended an attempt, as `Limits::idle_words` counts them.
    pub(super) idle_words: usize,
    /// When a gone engine's connections are cut.
    cut: Option<Instant>,
    admission: Arc<Admission>,
    /// The engine's actor has ended: no more orders come.
    orphaned: bool,
}

impl Connection {
    pub(super) fn new(
        engine: EngineId,
        orders: mpsc::Receiver<EngineMessage>,
        back: ReturnPath,
        load: Arc<ConnectionLoad>,
        context: EngineContext,
        admission: Arc<Admission>,
    ) -> Connection {
        Connection {
            engine,
            orders,
            back,
            load,
            context,
            waiting: VecDeque::new(),
            attempts: HashMap::new(),
            input: BytesMut::new(),
            out: Outbox::default(),
            unwritten: None,
            cancellations: VecDeque::new(),
            tags: 0,
            ends: Vec::new(),
            idle_since: Instant::now(),
            half_since: None,
            idle_words: 0,
            cut: None,
            admission,
            orphaned: false,
        }
    }

    /// Connects, serves until the connection ends, and tells the ends of all that is left.
    pub(super) async fn run(mut self, address: SocketAddr, mut slot: ConnectionSlot) {
        let stream = self.connect(address, &mut slot).await;
        let was_up = stream.is_some();
        if let Some(stream) = stream {
            self.serve_and_close(stream, &slot).await;
        }
        self.orders.close();
        self.read_orders();
        self.give_back(was_up);
        drop(slot);
        self.unsent();
        self.end_attempts();
        self.report().await;
        let _ = self.back.asks.send(None);
    }

    /// Connects; none where that fails, takes too long, or nothing waits for it any more. Orders are heard while the
    /// connection comes up: an attempt given up or drained by then is not sent.
    async fn connect(
        &mut self,
        address: SocketAddr,
        slot: &mut ConnectionSlot,
    ) -> Option<TcpStream> {
        let until = Instant::now() + self.context.limits.engine_connect_timeout;
        let free = slot.descriptor_ready();
        let connect = async move {
            free.await;
            TcpStream::connect(address).await
        };
        // Dropped on return: a socket that is not up holds a descriptor.
        let mut connecting = Box::pin(timeout(self.context.limits.engine_connect_timeout, connect));
        loop {
            tokio::select! {
                up = &mut connecting => return up.ok().and_then(Result::ok),
                () = slot.evicted() => return None,
                Some(order) = self.orders.recv() => self.order(order),
            }
            self.report().await;
            if self.waiting.is_empty() && Instant::now() > until {
                return None;
            }
        }
    }

    async fn serve_and_close(&mut self, stream: TcpStream, slot: &ConnectionSlot) {
        let _ = stream.set_nodelay(true);
        self.context.metrics.engine_connections.increment();
        let _ = self.serve(&stream, slot).await;
        // Guard: what its peer has not taken by now it shall not take after the ends that follow from here.
        if !self.out.is_empty() {
            let _ = stream.set_zero_linger();
        }
    }

    /// Gives back what was never sent. Guard: a connection that was up and broke says nothing of attempts that it was
    /// never sent; they go over another one. Nothing here waits, so that no order can miss them in between.
    fn give_back(&mut self, was_up: bool) {
        // One that carried nothing was closed in order, and says nothing of its engine.
        let carried = usize::from(!self.attempts.is_empty() || !self.waiting.is_empty());
        let broken = self.back.broken.fetch_add(carried, Ordering::Relaxed);
        if !was_up || self.closed() || broken >= self.context.limits.returned_connections {
            return;
        }
        for ask in std::mem::take(&mut self.waiting) {
            self.load.end_attempt(once(&ask));
            if let Err(mpsc::error::SendError(Some(ask))) = self.back.asks.send(Some(ask)) {
                // The engine's actor has ended.
                self.load.begin_attempt(once(&ask), self.context.core.now());
                self.waiting.push_back(ask);
            }
        }
    }

    /// Ends the attempts that a closed connection leaves.
    fn end_attempts(&mut self) {
        let written = self.out.written();
        for (_, mut attempt) in std::mem::take(&mut self.attempts) {
            let given_up = attempt.life.is_cancelling();
            let told = match attempt.life.connection_closed(written) {
                end if given_up => AttemptEvent::Cancelled(end),
                // An attempt that was not written whole provably never ran; any other may have.
                AttemptEnd::NeverSent => AttemptEvent::end(Outcome::NoConnection),
                _ => AttemptEvent::end(Outcome::Reset),
            };
            self.end(attempt.ask, told);
        }
    }

    /// Counts an attempt off; the core hears of it with the next report.
    pub(super) fn end(&mut self, ask: Box<AttemptRequest>, told: AttemptEvent) {
        self.load.end_attempt(once(&ask));
        self.ends.push((ask, told));
    }

    /// Lets a result go that is not wanted any more; its attempt ends as this.
    pub(super) fn free(&mut self, name: &Bytes, outcome: Outcome) {
        if let Some(attempt) = self.attempts.remove(name) {
            line(&mut self.out, "FREE", name, None);
            self.end(attempt.ask, AttemptEvent::end(outcome));
        }
    }

    /// What waits is not sent at all.
    fn unsent(&mut self) {
        for ask in std::mem::take(&mut self.waiting) {
            self.end(ask, AttemptEvent::end(Outcome::NoConnection));
        }
    }

    async fn report(&mut self) {
        for (ask, told) in std::mem::take(&mut self.ends) {
            self.context
                .send_event_without_report(self.engine, (&*ask).into(), told)
                .await;
        }
    }

    async fn serve(&mut self, stream: &TcpStream, slot: &ConnectionSlot) -> Result<(), Broken> {
        loop {
            if !self.look_before_sending(stream).await? {
                return Ok(());
            }
            self.read_orders();
            self.next_ask();
            self.out.flush(stream)?;
            self.left();
            self.report().await;
            if self.out.is_empty() && !self.waiting.is_empty() {
                continue;
            }
            if self.idle() && self.closed() {
                return Ok(());
            }
            let timers = self.timers();
            let wake = timers
                .first()
                .unwrap_or_else(|| Instant::now() + self.context.limits.engine_idle_timeout);
            tokio::select! {
                biased;
                // First: a connection that broke while it idled is seen before anything is written to it.
                ready = stream.readable() => {
                    ready?;
                    if !self.hear(stream).await? {
                        return Ok(());
                    }
                }
                // Guard: a closed mailbox is ready at once and for ever, and would be all that is looked at.
                order = self.orders.recv(), if !self.orphaned => match order {
                    Some(order) => self.order(order),
                    None => {
                        self.orphaned = true;
                        self.gone();
                    }
                },
                ready = stream.writable(), if !self.out.is_empty() => ready?,
                () = slot.evicted() => return Ok(()),
                () = sleep_until(wake) => if !self.timers_due(&timers, Instant::now())? {
                    return Ok(());
                }
            }
            self.report().await;
        }
    }

    /// Before the first attempt on an idle connection: reads what is there; false at the end of the stream. Guard: a
    /// peer may have closed a connection that idled, and an order may stand in the mailbox, before the runtime has
    /// looked there; an attempt written after either may have run for nothing.
    async fn look_before_sending(&mut self, stream: &TcpStream) -> Result<bool, Broken> {
        if !self.attempts.is_empty() || self.waiting.is_empty() {
            return Ok(true);
        }
        tokio::task::yield_now().await;
        self.hear(stream).await
    }

    fn read_orders(&mut self) {
        while let Ok(order) = self.orders.try_recv() {
            self.order(order);
        }
    }

    /// Whether nothing is open on it.
    fn idle(&self) -> bool {
        self.attempts.is_empty() && self.waiting.is_empty() && self.out.is_empty()
    }

    fn timers(&self) -> Timers {
        let limits = &self.context.limits;
        let pages = self.attempts.values().filter_map(|a| a.pages.as_ref());
        Timers {
            idle: self
                .idle()
                .then_some(self.idle_since + limits.engine_idle_timeout),
            removal: self.cut,
            partial_answer: self
                .half_since
                .map(|since| since + limits.partial_answer_timeout),
            cancellation: self.cancellations.iter().map(|c| c.until).min(),
            page: pages.map(|p| p.until).min(),
        }
    }

    /// Acts on the timers that are due; false where the connection is to be closed in order.
    fn timers_due(&mut self, timers: &Timers, now: Instant) -> Result<bool, Broken> {
        if is_due(timers.removal, now) || is_due(timers.idle, now) {
            return Ok(false);
        }
        // Guard: a peer that takes nothing, or says nothing, would keep the attempt out for ever.
        if is_due(timers.cancellation, now) {
            self.context.metrics.cancellations_unconfirmed.increment();
            return Err(Broken);
        }
        // Guard: an answer that stops short leaves nothing behind it that could be read.
        if is_due(timers.partial_answer, now) {
            return Err(self.malformed());
        }
        self.late_pages(now);
        Ok(true)
    }

    /// Reads what is there; false at the end of the stream.
    async fn hear(&mut self, stream: &TcpStream) -> Result<bool, Broken> {
        let open = net::read(stream, &mut self.input, self.context.limits.page_bytes * 2);
        // What came whole before the break counts.
        self.read().await?;
        Ok(open?)
    }

    /// What was given up is over.
    fn given_up(&mut self, name: &Bytes, end: AttemptEnd) {
        let Some(attempt) = self.attempts.remove(name) else {
            return;
        };
        self.idle_since = Instant::now();
        self.end(attempt.ask, AttemptEvent::Cancelled(end));
    }

    /// An attempt ended by an answer, so that nothing waits for its cancellation any more. Guard: a connection is not
    /// closed for a cancellation that has no purpose left.
    pub(super) fn answered(&mut self, name: &Bytes) -> Option<Attempt> {
        self.idle_words = 0;
        self.cancellations.retain(|c| c.name != *name);
        self.attempts.remove(name)
    }

    /// The engine confirms that it has read all up to this tag.
    pub(super) fn confirmed(&mut self, tag: &Bytes) {
        let Some(at) = self
            .cancellations
            .iter()
            .position(|c| c.tag.as_ref() == Some(tag))
        else {
            self.unasked();
            return;
        };
        for cancellation in self.cancellations.drain(..=at).collect::<Vec<_>>() {
            let end = self
                .attempts
                .get_mut(&cancellation.name)
                .and_then(|a| a.life.cancellation_confirmed());
            end.into_iter()
                .for_each(|end| self.given_up(&cancellation.name, end));
        }
    }

    /// What was sent by now: attempts that their engine has whole, and cancellations that end others.
    fn left(&mut self) {
        let written = self.out.written();
        let mut unconfirmed = VecDeque::new();
        while let Some(cancellation) = self.cancellations.pop_front_if(|c| c.mark <= written) {
            let end = self
                .attempts
                .get_mut(&cancellation.name)
                .and_then(|a| a.life.wrote(written));
            match end {
                Some(end) => self.given_up(&cancellation.name, end),
                None if cancellation.tag.is_some() => unconfirmed.push_back(cancellation),
                None => {}
            }
        }
        unconfirmed.append(&mut self.cancellations);
        self.cancellations = unconfirmed;
        if let Some((_, name)) = self.unwritten.take_if(|(whole, _)| *whole <= written) {
            self.context.metrics.attempts_written.increment();
            self.attempts.get_mut(&name).map(|a| a.life.wrote(written));
        }
    }

    /// The engine is no longer listed: what it holds gets a moment to end.
    fn gone(&mut self) {
        self.cut = self.cut.or(Some(
            Instant::now() + self.context.limits.removed_engine_grace,
        ));
    }

    /// Puts the next attempt into the queue for the socket, one at a time: so at most one can be caught half
    /// written when its engine drains.
    fn next_ask(&mut self) {
        if self.closed() {
            self.unsent();
        }
        while self.out.is_empty() {
            let Some(ask) = self.waiting.pop_front() else {
                return;
            };
            let now = self.context.core.now();
            // Guard: it was chosen a while ago, and a connection may come up late or take nothing for long; its client may
            // have left meanwhile.
            if let Some(late) = ask.expired(now) {
                self.end(ask, late);
                continue;
            }
            self.out.push(ask_line(&ask, now));
            self.out.push(ask.statement.clone());
            let whole = self.out.push(&b"\r\n"[..]);
            self.unwritten = Some((whole, ask.client_reference.clone()));
            let mut life = AttemptState::default();
            life.begin_writing(whole);
            self.attempts.insert(
                ask.client_reference.clone(),
                Attempt {
                    ask,
                    life,
                    pages: None,
                },
            );
        }
    }

    fn order(&mut self, order: EngineMessage) {
        match order {
            EngineMessage::StartAttempt(ask) if self.closed() => {
                self.end(ask, AttemptEvent::end(Outcome::NoConnection))
            }
            EngineMessage::StartAttempt(ask) => self.waiting.push_back(ask),
            EngineMessage::CancelAttempt { attempt, after } => {
                self.quit(attempt, after.retry_may_follow())
            }
            EngineMessage::SetPriority {
                attempt,
                priority: n,
            } => {
                if let Some(ask) = self
                    .waiting
                    .iter_mut()
                    .find(|a| AttemptId::from(&***a) == attempt)
                {
                    ask.priority = n;
                } else if let Some(name) = self.name_of(attempt) {
                    self.line("PRIO", &name, Some(usize::from(n)));
                }
            }
            EngineMessage::ManualEjectionChanged if self.closed() => self.unsent(),
            EngineMessage::ManualEjectionChanged => {}
            EngineMessage::StateChanged(EngineState::Ready) => self.cut = None,
            EngineMessage::StateChanged(state) => {
                // Guard: what is not begun when the drain is heard of is not begun at all.
                self.unsent();
                if state == EngineState::Removed {
                    self.gone();
                }
            }
        }
    }

    /// Whether nothing new may go to its engine.
    fn closed(&self) -> bool {
        self.admission.is_closed()
    }

    fn name_of(&self, attempt: AttemptId) -> Option<Bytes> {
        let found = self
            .attempts
            .iter()
            .find(|(_, a)| AttemptId::from(&*a.ask) == attempt);
        found.map(|(name, _)| name.clone())
    }

    /// Gives an attempt up. It is over once its cancellation was sent, and no sooner where anything of it was.
    fn quit(&mut self, attempt: AttemptId, again: bool) {
        self.quit_waiting(attempt, again);
        let Some(name) = self.name_of(attempt) else {
            return;
        };
        let Some(at) = self.attempts.get_mut(&name) else {
            return;
        };
        // A query that has ended holds pages, one that has not runs on: each has its own message.
        let verb = if at.life.has_result() { "FREE" } else { "QUIT" };
        let (limits, out) = (&self.context.limits, &mut self.out);
        let end = at.life.cancel(again, || {
            let mark = line(out, verb, &name, None);
            let tag = again.then(|| {
                self.tags += 1;
                Bytes::from(format!("{:016x}", self.tags))
            });
            let patience = if again {
                limits.cancellation_confirm_timeout
            } else {
                limits.cancellation_write_timeout
            };
            // Lines are read in order: what answers this has read the cancellation.
            if let Some(tag) = &tag {
                line(out, "NOOP", tag, None);
            }
            let until = Instant::now() + patience;
            self.cancellations.push_back(Cancellation {
                mark,
                name: name.clone(),
                tag,
                until,
            });
            mark
        });
        end.into_iter().for_each(|end| self.given_up(&name, end));
    }

    /// Gives an attempt up of which nothing is written yet.
    fn quit_waiting(&mut self, attempt: AttemptId, again: bool) {
        let Some(i) = self
            .waiting
            .iter()
            .position(|a| AttemptId::from(&**a) == attempt)
        else {
            return;
        };
        let end = AttemptState::default().cancel(again, || 0);
        if let (Some(end), Some(ask)) = (end, self.waiting.remove(i)) {
            self.end(ask, AttemptEvent::Cancelled(end));
        }
    }

    pub(super) fn line(&mut self, verb: &str, name: &Bytes, number: Option<usize>) {
        line(&mut self.out, verb, name, number);
    }
}

/// The line that begins an attempt; its statement follows.
fn ask_line(ask: &AttemptRequest, now: Millis) -> Vec<u8> {
    let left = (ask.deadline_ms - now).max(1.0);
    let mut head = Vec::with_capacity(96);
    head.extend_from_slice(b"ASK ");
    head.extend_from_slice(&ask.client_reference);
    head.extend_from_slice(format!(" sort={},patience={left:.0}", ask.class.name).as_bytes());
    if ask.memory_mb > 0.0 {
        head.extend_from_slice(format!(",mb={:.0}", ask.memory_mb.ceil()).as_bytes());
    }
    if ask.priority != 1 {
        head.extend_from_slice(format!(",nice={}", ask.priority).as_bytes());
    }
    if let Some(key) = &ask.idempotency_key {
        head.extend_from_slice(b",op=");
        head.extend_from_slice(key);
    }
    head.extend_from_slice(format!(" {}\r\n", ask.statement.len()).as_bytes());
    head
}

/// Queues a line; returns the mark at which it is sent whole.
fn line(out: &mut Outbox, verb: &str, name: &Bytes, number: Option<usize>) -> u64 {
    let mut line = Vec::with_capacity(32);
    line.extend_from_slice(verb.as_bytes());
    line.push(b' ');
    line.extend_from_slice(name);
    if let Some(n) = number {
        line.extend_from_slice(format!(" {n}").as_bytes());
    }
    line.extend_from_slice(b"\r\n");
    out.push(line)
}

/// How it would like to use its connection.
pub(super) fn once(ask: &AttemptRequest) -> ConnectionUse {
    ConnectionUse::of(ask)
}
