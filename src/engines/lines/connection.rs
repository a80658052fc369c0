//! One connection to an engine: an actor that writes attempts and the words for them, and hears the answers.

use crate::attempt::{End, Life};
use crate::core::{Ask, EngineNews};
use crate::engines::context::{House, Order};
use crate::engines::gate::Gate;
use crate::engines::load::Load;
use crate::engines::reply::Broken;
use crate::engines::slots::Slot;
use crate::interface::{Effect, EngineId, ListState, LoadReport, Outcome, RequestId};
use crate::limits::Hold;
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
pub(super) struct Back {
    pub(super) asks: mpsc::UnboundedSender<Option<Box<Ask>>>,
    /// Connections that ended since the engine last answered: where there are several, it is the engine's fault.
    pub(super) broken: Arc<AtomicUsize>,
}

/// An attempt on this connection, by the client's name for its request.
pub(super) struct Attempt {
    pub(super) ask: Box<Ask>,
    /// Its marks are counts of bytes written.
    pub(super) life: Life,
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
    pub(super) hold: Hold,
}

/// A word that gives an attempt up, on its way to the engine.
struct Word {
    /// Count of bytes written by which it has left.
    mark: u64,
    name: Bytes,
    /// Under which the engine says that it has read it, where it has to.
    tag: Option<Bytes>,
    /// When it must have left, and been read.
    until: Instant,
}

pub(super) struct Connection {
    pub(super) engine: EngineId,
    orders: mpsc::Receiver<Order>,
    /// Where attempts go back to that it was never sent.
    pub(super) back: Back,
    pub(super) load: Arc<Load>,
    pub(super) house: House,
    /// Attempts of which nothing is written yet.
    waiting: VecDeque<Box<Ask>>,
    pub(super) attempts: HashMap<Bytes, Attempt>,
    pub(super) input: BytesMut,
    out: Outbox,
    /// Count of bytes written by which the last attempt has left whole, until it has, and its name.
    unwritten: Option<(u64, Bytes)>,
    /// Words on their way, in order.
    words: VecDeque<Word>,
    /// Tags given out.
    tags: u64,
    /// Ends that the core is to be told.
    ends: Vec<(Box<Ask>, EngineNews)>,
    pub(super) idle_since: Instant,
    /// Since when what is read is no whole answer.
    pub(super) half_since: Option<Instant>,
    /// Answers since the last that ended an attempt, as `Limits::idle_words` counts them.
    pub(super) idle_words: usize,
    /// When a gone engine's connections are cut.
    cut: Option<Instant>,
    gate: Arc<Gate>,
    /// The engine's actor has ended: no more orders come.
    orphaned: bool,
}

impl Connection {
    pub(super) fn new(
        engine: EngineId,
        orders: mpsc::Receiver<Order>,
        back: Back,
        load: Arc<Load>,
        house: House,
        gate: Arc<Gate>,
    ) -> Connection {
        Connection {
            engine,
            orders,
            back,
            load,
            house,
            waiting: VecDeque::new(),
            attempts: HashMap::new(),
            input: BytesMut::new(),
            out: Outbox::default(),
            unwritten: None,
            words: VecDeque::new(),
            tags: 0,
            ends: Vec::new(),
            idle_since: Instant::now(),
            half_since: None,
            idle_words: 0,
            cut: None,
            gate,
            orphaned: false,
        }
    }

    pub(super) async fn run(mut self, address: SocketAddr, mut slot: Slot) {
        let until = Instant::now() + self.house.limits.connect;
        let free = slot.free();
        let connect = async move {
            free.await;
            TcpStream::connect(address).await
        };
        let mut connecting = Box::pin(timeout(self.house.limits.connect, connect));
        // Orders are heard while the connection comes up: an attempt given up or drained by then is not sent.
        let stream = loop {
            tokio::select! {
                up = &mut connecting => break up.ok().and_then(Result::ok),
                () = slot.leaves() => break None,
                Some(order) = self.orders.recv() => self.order(order),
            }
            self.report().await;
            if self.waiting.is_empty() && Instant::now() > until {
                break None;
            }
        };
        drop(connecting); // a socket that is not up holds a descriptor
        let up = stream.is_some();
        if let Some(stream) = stream {
            let _ = stream.set_nodelay(true);
            self.house.counters.engine_conns.up();
            let _ = self.serve(&stream, &slot).await;
            // Guard: what its peer has not taken by now it shall not take after the ends that follow from here.
            if !self.out.is_empty() {
                let _ = stream.set_zero_linger();
            }
        }
        self.orders.close();
        while let Ok(order) = self.orders.try_recv() {
            self.order(order);
        }
        // Guard: a connection that was up and broke says nothing of attempts that it was never sent; they go over
        // another one. All of this is done before anything waits, so that no order can miss them in between.
        // One that carried nothing was closed in order, and says nothing of its engine.
        let carried = usize::from(!self.attempts.is_empty() || !self.waiting.is_empty());
        let broken = self.back.broken.fetch_add(carried, Ordering::Relaxed);
        if up && !self.shut() && broken < self.house.limits.give_backs {
            for ask in std::mem::take(&mut self.waiting) {
                self.load.take_off(once(&ask));
                if let Err(mpsc::error::SendError(Some(ask))) = self.back.asks.send(Some(ask)) {
                    // The engine's actor has ended.
                    self.load.add(once(&ask), self.house.core.now());
                    self.waiting.push_back(ask);
                }
            }
        }
        drop(slot);
        self.unsent();
        let written = self.out.written();
        for (_, mut attempt) in std::mem::take(&mut self.attempts) {
            let given_up = attempt.life.giving_up();
            let told = match attempt.life.closed(written) {
                end if given_up => EngineNews::GivenUp(end),
                // An attempt that was not written whole provably never ran; any other may have.
                End::Unsent => EngineNews::end(Outcome::NoConnection),
                _ => EngineNews::end(Outcome::Reset),
            };
            self.end(attempt.ask, told);
        }
        self.report().await;
        let _ = self.back.asks.send(None);
    }

    /// Counts an attempt off; the core hears of it with the next report.
    pub(super) fn end(&mut self, ask: Box<Ask>, told: EngineNews) {
        self.load.take_off(once(&ask));
        self.ends.push((ask, told));
    }

    /// Lets a result go that is not wanted any more; its attempt ends as this.
    pub(super) fn free(&mut self, name: &Bytes, outcome: Outcome) {
        if let Some(attempt) = self.attempts.remove(name) {
            line(&mut self.out, "FREE", name, None);
            self.end(attempt.ask, EngineNews::end(outcome));
        }
    }

    /// What waits is not sent at all.
    fn unsent(&mut self) {
        for ask in std::mem::take(&mut self.waiting) {
            self.end(ask, EngineNews::end(Outcome::NoConnection));
        }
    }

    async fn report(&mut self) {
        for (ask, told) in std::mem::take(&mut self.ends) {
            self.house.tell_end(self.engine, &ask, told).await;
        }
    }

    async fn serve(&mut self, stream: &TcpStream, slot: &Slot) -> Result<(), Broken> {
        loop {
            // Guard: a peer may have closed a connection that idled, and an order may stand in the mailbox, before the
            // runtime has looked there; an attempt written after either may have run for nothing.
            if self.attempts.is_empty() && !self.waiting.is_empty() {
                tokio::task::yield_now().await;
                if !self.hear(stream).await? {
                    return Ok(());
                }
            }
            while let Ok(order) = self.orders.try_recv() {
                self.order(order);
            }
            self.next_ask();
            self.out.flush(stream)?;
            self.left();
            self.report().await;
            if self.out.is_empty() && !self.waiting.is_empty() {
                continue;
            }
            let idle = self.attempts.is_empty() && self.waiting.is_empty() && self.out.is_empty();
            if idle && self.shut() {
                return Ok(());
            }
            let pages = self.attempts.values().filter_map(|a| a.pages.as_ref().map(|p| p.until)).min();
            let until = self.idle_since + self.house.limits.engine_idle;
            let half = self.half_since.map(|since| since + self.house.limits.answer_stall);
            let word = self.words.iter().map(|w| w.until).min();
            let alarm = [pages, self.cut, half, word, idle.then_some(until)].into_iter().flatten().min();
            let alarm_at = alarm.unwrap_or_else(|| Instant::now() + self.house.limits.engine_idle);
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
                () = slot.leaves() => return Ok(()),
                () = sleep_until(alarm_at) => {
                    let now = Instant::now();
                    if self.cut.is_some_and(|c| c <= now) || idle && until <= now {
                        return Ok(());
                    }
                    // Guard: a peer that takes nothing, or says nothing, would keep the attempt out for ever.
                    if word.is_some_and(|w| w <= now) {
                        self.house.counters.quits_stuck.up();
                        return Err(Broken);
                    }
                    // Guard: an answer that stops short leaves nothing behind it that could be read.
                    if half.is_some_and(|h| h <= now) {
                        return Err(self.malformed());
                    }
                    self.late_pages(now);
                }
            }
            self.report().await;
        }
    }

    /// Reads what is there; false at the end of the stream.
    async fn hear(&mut self, stream: &TcpStream) -> Result<bool, Broken> {
        let open = net::read(stream, &mut self.input, self.house.limits.page_bytes * 2);
        // What came whole before the break counts.
        self.read().await?;
        Ok(open?)
    }

    /// What was given up is over.
    fn given_up(&mut self, name: &Bytes, end: End) {
        let Some(attempt) = self.attempts.remove(name) else { return };
        self.idle_since = Instant::now();
        self.end(attempt.ask, EngineNews::GivenUp(end));
    }

    /// An attempt ended by an answer, so that nothing waits for the word any more. Guard: a connection is not closed for
    /// a word that has no purpose left.
    pub(super) fn answered(&mut self, name: &Bytes) -> Option<Attempt> {
        self.idle_words = 0;
        self.words.retain(|w| w.name != *name);
        self.attempts.remove(name)
    }

    /// The engine has read all up to this tag.
    pub(super) fn heard(&mut self, tag: &Bytes) {
        let Some(at) = self.words.iter().position(|w| w.tag.as_ref() == Some(tag)) else {
            self.unasked();
            return;
        };
        for word in self.words.drain(..=at).collect::<Vec<_>>() {
            let end = self.attempts.get_mut(&word.name).and_then(|a| a.life.heard());
            end.into_iter().for_each(|end| self.given_up(&word.name, end));
        }
    }

    /// What has left by now: attempts that their engine has whole, and words that end others.
    fn left(&mut self) {
        let written = self.out.written();
        let mut unheard = VecDeque::new();
        while let Some(word) = self.words.pop_front_if(|w| w.mark <= written) {
            let end = self.attempts.get_mut(&word.name).and_then(|a| a.life.left(written));
            match end {
                Some(end) => self.given_up(&word.name, end),
                None if word.tag.is_some() => unheard.push_back(word),
                None => {}
            }
        }
        unheard.append(&mut self.words);
        self.words = unheard;
        if let Some((_, name)) = self.unwritten.take_if(|(whole, _)| *whole <= written) {
            self.house.counters.written.up();
            self.attempts.get_mut(&name).map(|a| a.life.left(written));
        }
    }

    /// The engine is no longer listed: what it holds gets a moment to end.
    fn gone(&mut self) {
        self.cut = self.cut.or(Some(Instant::now() + self.house.limits.gone_grace));
    }

    /// Puts the next attempt into the queue for the socket, one at a time: so at most one can be caught half
    /// written when its engine drains.
    fn next_ask(&mut self) {
        if self.shut() {
            self.unsent();
        }
        while self.out.is_empty() {
            let Some(ask) = self.waiting.pop_front() else { return };
            let now = self.house.core.now();
            // Guard: it was chosen a while ago, and a connection may come up late or take nothing for long.
            if let Some(late) = ask.late(now) {
                self.end(ask, late);
                continue;
            }
            let left = (ask.due_ms - now).max(1.0);
            let mut head = Vec::with_capacity(96);
            head.extend_from_slice(b"ASK ");
            head.extend_from_slice(&ask.name);
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
            self.out.push(head);
            self.out.push(ask.statement.clone());
            let whole = self.out.push(&b"\r\n"[..]);
            self.unwritten = Some((whole, ask.name.clone()));
            let mut life = Life::default();
            life.write(whole);
            self.attempts.insert(ask.name.clone(), Attempt { ask, life, pages: None });
        }
    }

    fn order(&mut self, order: Order) {
        match order {
            Order::Ask(ask) if self.shut() => self.end(ask, EngineNews::end(Outcome::NoConnection)),
            Order::Ask(ask) => self.waiting.push_back(ask),
            Order::Quit(id, attempt, again) => self.quit(id, attempt, again),
            Order::Priority(id, attempt, n) => {
                if let Some(ask) = self.waiting.iter_mut().find(|a| a.id == id && a.attempt == attempt) {
                    ask.priority = n;
                } else if let Some(name) = self.name_of(id, attempt) {
                    self.line("PRIO", &name, Some(usize::from(n)));
                }
            }
            Order::Banned if self.shut() => self.unsent(),
            Order::Banned => {}
            Order::Listed(ListState::Ready) => self.cut = None,
            Order::Listed(state) => {
                // Guard: what is not yet begun by the word of a drain is not begun at all.
                self.unsent();
                if state == ListState::Gone {
                    self.gone();
                }
            }
        }
    }

    /// Whether nothing new may go to its engine.
    fn shut(&self) -> bool {
        self.gate.shut()
    }

    fn name_of(&self, id: RequestId, attempt: u16) -> Option<Bytes> {
        let found = self.attempts.iter().find(|(_, a)| a.ask.id == id && a.ask.attempt == attempt);
        found.map(|(name, _)| name.clone())
    }

    /// Gives an attempt up. It is over once the word for that has left, and no sooner where anything of it has.
    fn quit(&mut self, id: RequestId, attempt: u16, again: bool) {
        if let Some(i) = self.waiting.iter().position(|a| a.id == id && a.attempt == attempt) {
            let end = Life::default().give_up(again, || 0);
            if let (Some(end), Some(ask)) = (end, self.waiting.remove(i)) {
                self.end(ask, EngineNews::GivenUp(end));
            }
        }
        let Some(name) = self.name_of(id, attempt) else { return };
        let Some(at) = self.attempts.get_mut(&name) else { return };
        // A query that has ended holds pages, one that has not runs on: each needs its own word.
        let word = if at.life.told() { "FREE" } else { "QUIT" };
        let (limits, out, words) = (&self.house.limits, &mut self.out, &mut self.words);
        let end = at.life.give_up(again, || {
            let mark = line(out, word, &name, None);
            let tag = again.then(|| {
                self.tags += 1;
                Bytes::from(format!("{:016x}", self.tags))
            });
            let patience = if again { limits.quit_heard } else { limits.quit_write };
            // Lines are read in order: what answers this has read the word.
            if let Some(tag) = &tag {
                line(out, "NOOP", tag, None);
            }
            words.push_back(Word { mark, name: name.clone(), tag, until: Instant::now() + patience });
            mark
        });
        end.into_iter().for_each(|end| self.given_up(&name, end));
    }

    pub(super) fn line(&mut self, word: &str, name: &Bytes, number: Option<usize>) {
        line(&mut self.out, word, name, number);
    }
}

/// Queues a line; returns the mark at which it has left.
fn line(out: &mut Outbox, word: &str, name: &Bytes, number: Option<usize>) -> u64 {
    let mut line = Vec::with_capacity(32);
    line.extend_from_slice(word.as_bytes());
    line.push(b' ');
    line.extend_from_slice(name);
    if let Some(n) = number {
        line.extend_from_slice(format!(" {n}").as_bytes());
    }
    line.extend_from_slice(b"\r\n");
    out.push(line)
}

/// Whether it may run once only.
pub(super) fn once(ask: &Ask) -> bool {
    ask.class.class.effect == Effect::Once
}
