//! The platform's engines: lines of words over TCP. One actor an engine hands attempts to its connections,
//! each an actor too.

use super::place::{Conn, Load, place};
use super::reply::{Broken, Reply, number_of, rows_of, take};
use super::{House, Order};
use crate::core::{Ask, Body, EngineNews, Form, Input};
use crate::interface::{Effect, EngineId, ListState, LoadReport, Note, Outcome, RequestId};
use crate::limits::Hold;
use crate::net::{self, Outbox};
use bytes::{Bytes, BytesMut};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until, timeout};

/// Runs one engine until the list drops it and its attempts are over.
pub(crate) async fn run(
    engine: EngineId,
    address: SocketAddr,
    mut orders: mpsc::Receiver<Order>,
    house: House,
    banned: Arc<AtomicBool>,
) {
    let mut conns: Vec<Conn> = Vec::new();
    let mut ready = true;
    // Holds no more than the core's attempts on this engine.
    let (asks, mut returned) = mpsc::unbounded_channel();
    let back = Back { asks, broken: Arc::default() };
    loop {
        let order = tokio::select! {
            biased;
            // First: what a closed connection gave back is placed before an order that could take it back.
            Some(ask) = returned.recv() => Order::Ask(ask),
            order = orders.recv() => match order {
                Some(order) => order,
                None => return,
            },
        };
        conns.retain(|c| !c.orders.is_closed());
        if let Order::Listed(state) = &order {
            ready = *state == ListState::Ready;
        }
        let Order::Ask(ask) = order else {
            // Each connection knows its own attempts.
            for conn in &conns {
                let _ = conn.orders.try_send(order.clone());
            }
            continue;
        };
        // Guard: what a broken connection gave back finds no new one to what drains or was taken out meanwhile.
        if !ready || banned.load(Ordering::Relaxed) {
            ended(&house, engine, &ask, Outcome::NoConnection).await;
            continue;
        }
        let once = ask.class.class.effect == Effect::Once;
        let place = place(&conns, once, &house);
        let conn = match place {
            Some(conn) => conn,
            None => {
                let (orders, mailbox) = mpsc::channel(house.limits.mailbox);
                let load = Arc::new(Load::default());
                let connection = Connection::new(
                    engine,
                    mailbox,
                    back.clone(),
                    load.clone(),
                    house.clone(),
                    banned.clone(),
                );
                house.counters.engine_conns_open.up();
                tokio::spawn(connection.run(address));
                conns.push(Conn { orders, load });
                conns.len() - 1
            }
        };
        conns[conn].load.add(once, house.core.now());
        if let Err(refused) = conns[conn].orders.try_send(Order::Ask(ask)) {
            conns[conn].load.take_off(once);
            if let Order::Ask(ask) = refused.into_inner() {
                ended(&house, engine, &ask, Outcome::NoConnection).await;
            }
        }
    }
}

/// The way back for attempts that a broken connection was never sent.
#[derive(Clone)]
struct Back {
    asks: mpsc::UnboundedSender<Ask>,
    /// Connections that ended since the engine last answered: where there are several, it is the engine's fault.
    broken: Arc<AtomicUsize>,
}

async fn ended(house: &House, engine: EngineId, ask: &Ask, outcome: Outcome) {
    let news = EngineNews::Ended { outcome, billed_ms: None, billed_mb: None, body: None };
    let report = LoadReport::default();
    house.core.tell(Input::Engine { engine, id: ask.id, attempt: ask.attempt, report, news }).await;
}

/// An attempt on this connection, by the client's name for its request.
struct Attempt {
    ask: Ask,
    /// Count of bytes written by which the engine has it whole.
    whole: u64,
    /// Pages, once the first one is in: what is still to come follows in order.
    pages: Option<Pages>,
}

struct Pages {
    all: usize,
    got: Vec<Option<Bytes>>,
    billed_ms: Option<f64>,
    billed_mb: Option<f64>,
    report: LoadReport,
    until: Instant,
    hold: Hold,
}

struct Connection {
    engine: EngineId,
    orders: mpsc::Receiver<Order>,
    /// Where attempts go back to that it was never sent.
    back: Back,
    load: Arc<Load>,
    house: House,
    /// Attempts of which nothing is written yet.
    waiting: VecDeque<Ask>,
    attempts: HashMap<Bytes, Attempt>,
    input: BytesMut,
    out: Outbox,
    /// Count of bytes written by which the last attempt has left whole, until it has.
    unwritten: Option<u64>,
    idle_since: Instant,
    /// Since when what is read is no whole answer.
    half_since: Option<Instant>,
    /// When a gone engine's connections are cut.
    cut: Option<Instant>,
    drained: bool,
    /// Staff took the engine out.
    banned: Arc<AtomicBool>,
    /// The engine's actor has ended: no more orders come.
    orphaned: bool,
}

impl Connection {
    fn new(
        engine: EngineId,
        orders: mpsc::Receiver<Order>,
        back: Back,
        load: Arc<Load>,
        house: House,
        banned: Arc<AtomicBool>,
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
            idle_since: Instant::now(),
            half_since: None,
            cut: None,
            drained: false,
            banned,
            orphaned: false,
        }
    }

    async fn run(mut self, address: SocketAddr) {
        let mut ended = Vec::new();
        let until = Instant::now() + self.house.limits.connect;
        let mut connecting = std::pin::pin!(timeout(self.house.limits.connect, TcpStream::connect(address)));
        // Orders are heard while the connection comes up: an attempt given up or drained by then is not sent.
        let stream = loop {
            tokio::select! {
                up = &mut connecting => break up.ok().and_then(Result::ok),
                Some(order) = self.orders.recv() => self.order(order, &mut ended),
            }
            self.report(&mut ended).await;
            if self.waiting.is_empty() && Instant::now() > until {
                break None;
            }
        };
        let up = stream.is_some();
        if let Some(stream) = stream {
            let _ = stream.set_nodelay(true);
            self.house.counters.engine_conns.up();
            let _ = self.serve(&stream, &mut ended).await;
        }
        self.orders.close();
        while let Ok(order) = self.orders.try_recv() {
            self.order(order, &mut ended);
        }
        // Guard: a connection that was up and broke says nothing of attempts that it was never sent; they go over
        // another one. All of this is done before anything waits, so that no order can miss them in between.
        let broken = self.back.broken.fetch_add(1, Ordering::Relaxed);
        if up && !self.shut() && broken < self.house.limits.give_backs {
            for ask in std::mem::take(&mut self.waiting) {
                self.load.take_off(self.once(&ask));
                if let Err(mpsc::error::SendError(ask)) = self.back.asks.send(ask) {
                    // The engine's actor has ended.
                    self.load.add(self.once(&ask), self.house.core.now());
                    self.waiting.push_back(ask);
                }
            }
        }
        self.house.counters.engine_conns_open.down();
        self.report(&mut ended).await;
        for ask in std::mem::take(&mut self.waiting) {
            self.end(&ask, Outcome::NoConnection).await;
        }
        let written = self.out.written();
        for (_, attempt) in std::mem::take(&mut self.attempts) {
            // An attempt that was not written whole provably never ran; any other may have.
            let outcome = if written < attempt.whole { Outcome::NoConnection } else { Outcome::Reset };
            self.end(&attempt.ask, outcome).await;
        }
    }

    async fn end(&self, ask: &Ask, outcome: Outcome) {
        self.load.take_off(self.once(ask));
        ended(&self.house, self.engine, ask, outcome).await;
    }

    fn once(&self, ask: &Ask) -> bool {
        ask.class.class.effect == Effect::Once
    }

    async fn report(&self, asks: &mut Vec<Ask>) {
        for ask in asks.drain(..) {
            self.end(&ask, Outcome::NoConnection).await;
        }
    }

    async fn serve(&mut self, stream: &TcpStream, unsent: &mut Vec<Ask>) -> Result<(), Broken> {
        loop {
            self.next_ask(unsent);
            self.out.flush(stream)?;
            if self.unwritten.is_some_and(|whole| whole <= self.out.written()) {
                self.unwritten = None;
                self.house.counters.written.up();
            }
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
            let alarm = [pages, self.cut, half, idle.then_some(until)].into_iter().flatten().min();
            let alarm_at = alarm.unwrap_or_else(|| Instant::now() + self.house.limits.engine_idle);
            tokio::select! {
                biased;
                // First: a connection that broke while it idled is seen before anything is written to it.
                ready = stream.readable() => {
                    ready?;
                    let open = net::read(stream, &mut self.input, self.house.limits.page_bytes * 2);
                    // What came whole before the break counts.
                    self.read().await?;
                    if !open? {
                        return Ok(());
                    }
                }
                // Guard: a closed mailbox is ready at once and for ever, and would be all that is looked at.
                order = self.orders.recv(), if !self.orphaned => match order {
                    Some(order) => self.order(order, unsent),
                    None => {
                        self.orphaned = true;
                        self.gone();
                    }
                },
                ready = stream.writable(), if !self.out.is_empty() => ready?,
                () = sleep_until(alarm_at) => {
                    let now = Instant::now();
                    if self.cut.is_some_and(|c| c <= now) || idle && until <= now {
                        return Ok(());
                    }
                    // Guard: an answer that stops short leaves nothing behind it that could be read.
                    if half.is_some_and(|h| h <= now) {
                        return Err(self.malformed());
                    }
                    self.late_pages(now).await;
                }
            }
            self.report(unsent).await;
        }
    }

    /// The engine is no longer listed: what it holds gets a moment to end.
    fn gone(&mut self) {
        self.drained = true;
        self.cut = self.cut.or(Some(Instant::now() + self.house.limits.gone_grace));
    }

    /// Puts the next attempt into the queue for the socket, one at a time: so at most one can be caught half
    /// written when its engine drains.
    fn next_ask(&mut self, unsent: &mut Vec<Ask>) {
        if self.shut() {
            unsent.extend(self.waiting.drain(..));
        }
        while self.out.is_empty() {
            let Some(ask) = self.waiting.pop_front() else { return };
            let left = (ask.due_ms - self.house.core.now()).max(1.0);
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
            head.extend_from_slice(format!(" {}\r\n", ask.statement.len()).as_bytes());
            self.out.push(head);
            self.out.push(ask.statement.clone());
            let whole = self.out.push(&b"\r\n"[..]);
            self.unwritten = Some(whole);
            self.attempts.insert(ask.name.clone(), Attempt { ask, whole, pages: None });
        }
    }

    fn order(&mut self, order: Order, unsent: &mut Vec<Ask>) {
        match order {
            Order::Ask(ask) if self.shut() => unsent.push(ask),
            Order::Ask(ask) => self.waiting.push_back(ask),
            Order::Quit(id, attempt) => self.quit(id, attempt),
            Order::Priority(id, attempt, n) => {
                if let Some(ask) = self.waiting.iter_mut().find(|a| a.id == id && a.attempt == attempt) {
                    ask.priority = n;
                } else if let Some(name) = self.name_of(id, attempt) {
                    self.line("PRIO", &name, Some(usize::from(n)));
                }
            }
            Order::Banned if self.shut() => unsent.extend(self.waiting.drain(..)),
            Order::Banned => {}
            Order::Listed(ListState::Ready) => (self.drained, self.cut) = (false, None),
            Order::Listed(state) => {
                // Guard: what is not yet begun by the word of a drain is not begun at all.
                self.drained = true;
                unsent.extend(self.waiting.drain(..));
                if state == ListState::Gone {
                    self.gone();
                }
            }
        }
    }

    /// Whether nothing new may go to its engine.
    fn shut(&self) -> bool {
        self.drained || self.banned.load(Ordering::Relaxed)
    }

    fn name_of(&self, id: RequestId, attempt: u16) -> Option<Bytes> {
        let found = self.attempts.iter().find(|(_, a)| a.ask.id == id && a.ask.attempt == attempt);
        found.map(|(name, _)| name.clone())
    }

    fn quit(&mut self, id: RequestId, attempt: u16) {
        if let Some(i) = self.waiting.iter().position(|a| a.id == id && a.attempt == attempt) {
            let once = self.waiting.remove(i).is_some_and(|ask| self.once(&ask));
            self.load.take_off(once);
        }
        if let Some(name) = self.name_of(id, attempt) {
            // A query that has ended holds pages, one that has not runs on: each needs its own word.
            if let Some(attempt) = self.attempts.remove(&name) {
                self.line(if attempt.pages.is_some() { "FREE" } else { "QUIT" }, &name, None);
                self.load.take_off(self.once(&attempt.ask));
                self.idle_since = Instant::now();
            }
        }
    }

    fn line(&mut self, word: &str, name: &Bytes, number: Option<usize>) {
        let mut line = Vec::with_capacity(32);
        line.extend_from_slice(word.as_bytes());
        line.push(b' ');
        line.extend_from_slice(name);
        if let Some(n) = number {
            line.extend_from_slice(format!(" {n}").as_bytes());
        }
        line.extend_from_slice(b"\r\n");
        self.out.push(line);
    }

    async fn read(&mut self) -> Result<(), Broken> {
        loop {
            match take(&mut self.input, self.house.limits.line_bytes, self.house.limits.page_bytes) {
                Ok(Some(reply)) => {
                    self.half_since = None;
                    self.reply(reply).await?;
                }
                Ok(None) if self.input.is_empty() => {
                    self.half_since = None;
                    return Ok(());
                }
                Ok(None) => {
                    self.half_since.get_or_insert_with(Instant::now);
                    return Ok(());
                }
                Err(broken) => {
                    self.house.counters.engine_malformed.up();
                    return Err(broken);
                }
            }
        }
    }

    async fn reply(&mut self, reply: Reply) -> Result<(), Broken> {
        self.idle_since = Instant::now();
        self.back.broken.store(0, Ordering::Relaxed);
        self.load.heard.store(self.house.core.now() as u64, Ordering::Relaxed);
        let report = self.load_report(reply.field("l"));
        let Some(attempt) = self.attempts.get_mut(&reply.name) else {
            // Given up meanwhile, or never asked: the connection is good all the same.
            self.house.counters.engine_unasked.up();
            return Ok(());
        };
        let (id, number) = (attempt.ask.id, attempt.ask.attempt);
        let outcome = match reply.word.as_ref() {
            // Guard: a good answer may come twice. The copy says nothing, and what else is open goes on.
            b"served" if attempt.pages.is_some() => {
                self.house.counters.engine_unasked.up();
                return Ok(());
            }
            b"served" => {
                let all = reply.field("batches").and_then(number_of).unwrap_or(0) as usize;
                if all == 0 || all > self.house.limits.pages || !rows_of(&reply.body) {
                    return Err(self.malformed());
                }
                let mut got = vec![None; all];
                got[0] = Some(reply.body.clone());
                let until = Instant::now() + self.house.limits.page_wait;
                let figure = |name| reply.field(name).and_then(crate::clients::figure);
                let (billed_ms, billed_mb) = (figure("cpu"), figure("used"));
                let mut hold = Hold::new(&self.house.held);
                hold.set(reply.body.len(), self.house.limits.share(self.house.limits.held_bytes));
                attempt.pages = Some(Pages { all, got, billed_ms, billed_mb, report, until, hold });
                for n in 1..all {
                    self.house.counters.pages.up();
                    self.line("NEXT", &reply.name, Some(n));
                }
                return self.whole(&reply.name).await;
            }
            b"rows" => {
                let page = reply.field("batch").and_then(number_of).map(|n| n as usize);
                let place = page.and_then(|n| attempt.pages.as_mut().and_then(|p| p.got.get_mut(n)));
                let Some(place) = place.filter(|p| p.is_none()) else {
                    self.house.counters.engine_unasked.up();
                    return Ok(());
                };
                if !rows_of(&reply.body) {
                    return Err(self.malformed());
                }
                *place = Some(reply.body.clone());
                if let Some(pages) = &mut attempt.pages {
                    pages.until = Instant::now() + self.house.limits.page_wait;
                    // Guard: a result that outgrew what a client takes is not collected to its end.
                    let size: usize = pages.got.iter().flatten().map(Bytes::len).sum();
                    // Nor where all results together outgrow the memory.
                    let fits = pages.hold.set(size, self.house.limits.share(self.house.limits.held_bytes));
                    if size > self.house.limits.answer_bytes || !fits {
                        let Some(attempt) = self.attempts.remove(&reply.name) else { return Ok(()) };
                        self.line("FREE", &reply.name, None);
                        self.end(&attempt.ask, Outcome::Error).await;
                        return Ok(());
                    }
                }
                return self.whole(&reply.name).await;
            }
            b"update" => {
                let level = reply.field("num").and_then(crate::clients::figure);
                let note = match (reply.field("n"), level) {
                    (Some(b"pct"), Some(share)) => Some(Note::Progress(share)),
                    (Some(b"overflow"), Some(mb)) => Some(Note::Spills(mb)),
                    (Some(b"queued"), Some(2.0)) => Some(Note::WaitsForLoad),
                    (Some(b"queued"), Some(_)) => Some(Note::WaitsForMemory),
                    _ => None,
                };
                self.house.counters.notes.up();
                let news = EngineNews::Note(note);
                self.house
                    .core
                    .tell(Input::Engine { engine: self.engine, id, attempt: number, report, news })
                    .await;
                return Ok(());
            }
            // An answer after the pages began says that they are lost, and the query has run.
            _ if attempt.pages.is_some() => Outcome::Error,
            b"overload" => Outcome::Full,
            b"crashed" => Outcome::Error,
            b"nobody" => Outcome::Moot,
            _ => return Err(self.malformed()),
        };
        if let Some(attempt) = self.attempts.remove(&reply.name) {
            self.load.take_off(self.once(&attempt.ask));
        }
        let news = EngineNews::Ended { outcome, billed_ms: None, billed_mb: None, body: None };
        self.house.core.tell(Input::Engine { engine: self.engine, id, attempt: number, report, news }).await;
        Ok(())
    }

    fn malformed(&self) -> Broken {
        self.house.counters.engine_malformed.up();
        Broken
    }

    /// Passes a result on once all its pages are in.
    async fn whole(&mut self, name: &Bytes) -> Result<(), Broken> {
        let pages = self.attempts.get(name).and_then(|a| a.pages.as_ref());
        if !pages.is_some_and(|p| p.got.iter().all(Option::is_some)) {
            return Ok(());
        }
        let Some(Attempt { ask, pages: Some(pages), .. }) = self.attempts.remove(name) else { return Ok(()) };
        self.load.take_off(self.once(&ask));
        let pieces: Vec<Bytes> = pages.got.into_iter().flatten().collect();
        let fits = pages.all == pieces.len()
            && pieces.iter().map(Bytes::len).sum::<usize>() <= self.house.limits.answer_bytes;
        let (outcome, body) =
            if fits { (Outcome::Ok, Some(Body::whole(Form::Text, pieces))) } else { (Outcome::Error, None) };
        let (billed_ms, billed_mb) = (pages.billed_ms, pages.billed_mb);
        let news = EngineNews::Ended { outcome, billed_ms, billed_mb, body };
        let (id, attempt, report) = (ask.id, ask.attempt, pages.report);
        self.house.core.tell(Input::Engine { engine: self.engine, id, attempt, report, news }).await;
        Ok(())
    }

    /// Gives up results whose next page does not come.
    async fn late_pages(&mut self, now: Instant) {
        let late = |a: &Attempt| a.pages.as_ref().is_some_and(|p| p.until <= now);
        let names: Vec<Bytes> =
            self.attempts.iter().filter(|(_, a)| late(a)).map(|(n, _)| n.clone()).collect();
        for name in names {
            if let Some(attempt) = self.attempts.remove(&name) {
                self.line("FREE", &name, None);
                self.end(&attempt.ask, Outcome::TimedOut).await;
            }
        }
    }

    /// A load report as `inflight:7;util:0.61`, by the settings' names or the protocol's own.
    fn load_report(&self, text: Option<&[u8]>) -> LoadReport {
        let mut report = LoadReport::default();
        for part in text.unwrap_or_default().split(|b| *b == b';') {
            let Some(colon) = part.iter().position(|b| *b == b':') else { continue };
            let value = crate::clients::figure(&part[colon + 1..]);
            match &part[..colon] {
                b"rif" | b"inflight" => report.inflight = value,
                b"busy" | b"util" => report.busy = value,
                b"x1" => report.disks = value,
                b"q" | b"queue" => report.queued = value,
                b"x0" => report.granted = value,
                _ => {}
            }
        }
        report
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::core::{Clock, Handle, Kind};
    use tokio::net::TcpListener;
    use tokio::time::sleep;

    /// Guard: what waits for a connection when staff take its engine out is given back, and nothing is connected.
    #[test]
    fn a_ban_reaches_what_waits() {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("runtime");
        runtime.block_on(async {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
            let address = listener.local_addr().expect("address");
            let (core, mut news) = Handle::new(4, Clock::new());
            let (house, banned) = (House::for_tests(core), Arc::<AtomicBool>::default());
            let (orders, mailbox) = mpsc::channel(4);
            let engine = EngineId::default();
            tokio::spawn(run(engine, address, mailbox, house, banned.clone()));
            let text = r#"{"nInstances":1,"classes":[{"name":"a","effect":"once","promiseMs":1,"giveUpMs":9}],
                "guarantees":{"coldMs":1,"coldShare":0.3,"overloadForMs":1,"tipMultiple":3},
                "limits":{"attemptsCap":6}}"#;
            let class = crate::settings::parse(text.as_bytes()).expect("settings").classes[0].clone();
            let ask = |id| {
                Order::Ask(Ask {
                    id,
                    attempt: 0,
                    name: Bytes::from_static(b"00000000000000ab"),
                    class: class.clone(),
                    due_ms: f64::MAX,
                    memory_mb: 0.0,
                    priority: 1,
                    statement: Bytes::new(),
                    kind: Kind::Query,
                })
            };
            // Behind it in the mailbox: the flag is there before the order is read.
            orders.send(ask(1)).await.expect("order");
            banned.store(true, Ordering::Relaxed);
            assert!(matches!(
                news.input().await,
                Some(Input::Engine {
                    id: 1,
                    news: EngineNews::Ended { outcome: Outcome::NoConnection, .. },
                    ..
                })
            ));
            tokio::select! {
                biased;
                _ = listener.accept() => panic!("connected to an engine that was taken out"),
                () = sleep(std::time::Duration::ZERO) => {}
            }
        });
    }
}
