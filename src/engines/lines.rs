//! The platform's engines: lines of words over TCP. One actor an engine hands attempts to its connections,
//! each an actor too.

use super::{House, Order};
use crate::core::{Ask, Body, EngineNews, Form, Input};
use crate::interface::{EngineId, ListState, LoadReport, Note, Outcome, RequestId};
use crate::net::{self, Outbox};
use bytes::{Bytes, BytesMut};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until, timeout};

/// Runs one engine until the list drops it and its attempts are over.
pub(crate) async fn run(
    engine: EngineId,
    address: SocketAddr,
    mut orders: mpsc::Receiver<Order>,
    house: House,
) {
    let mut conns: Vec<(mpsc::Sender<Order>, Arc<AtomicUsize>)> = Vec::new();
    while let Some(order) = orders.recv().await {
        conns.retain(|(conn, _)| !conn.is_closed());
        let Order::Ask(ask) = order else {
            // Each connection knows its own attempts.
            for (conn, _) in &conns {
                let _ = conn.try_send(order.clone());
            }
            continue;
        };
        let room = |load: &Arc<AtomicUsize>| load.load(Ordering::Relaxed) < house.limits.streams_per_conn;
        let mut order = Order::Ask(ask);
        for (conn, load) in conns.iter().filter(|(_, load)| room(load)) {
            load.fetch_add(1, Ordering::Relaxed);
            match conn.try_send(order) {
                Ok(()) => {
                    order = Order::Listed(ListState::Ready);
                    break;
                }
                Err(back) => {
                    load.fetch_sub(1, Ordering::Relaxed);
                    order = back.into_inner();
                }
            }
        }
        let Order::Ask(ask) = order else { continue };
        if conns.len() >= house.limits.conns_per_engine {
            // All connections carry what they may: it was not sent.
            ended(&house, engine, &ask, Outcome::NoConnection).await;
            continue;
        }
        let (conn, mailbox) = mpsc::channel(house.limits.mailbox);
        let load = Arc::new(AtomicUsize::new(1));
        if conn.try_send(Order::Ask(ask)).is_ok() {
            let connection = Connection::new(engine, mailbox, load.clone(), house.clone());
            tokio::spawn(connection.run(address));
            conns.push((conn, load));
        }
    }
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
}

struct Connection {
    engine: EngineId,
    orders: mpsc::Receiver<Order>,
    load: Arc<AtomicUsize>,
    house: House,
    /// Attempts of which nothing is written yet.
    waiting: VecDeque<Ask>,
    attempts: HashMap<Bytes, Attempt>,
    input: BytesMut,
    out: Outbox,
    idle_since: Instant,
    /// When a gone engine's connections are cut.
    cut: Option<Instant>,
    drained: bool,
    /// The engine's actor has ended: no more orders come.
    orphaned: bool,
}

impl Connection {
    fn new(
        engine: EngineId,
        orders: mpsc::Receiver<Order>,
        load: Arc<AtomicUsize>,
        house: House,
    ) -> Connection {
        Connection {
            engine,
            orders,
            load,
            house,
            waiting: VecDeque::new(),
            attempts: HashMap::new(),
            input: BytesMut::new(),
            out: Outbox::default(),
            idle_since: Instant::now(),
            cut: None,
            drained: false,
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
        if let Some(stream) = stream {
            let _ = stream.set_nodelay(true);
            self.house.counters.engine_conns.up();
            self.house.counters.engine_conns_open.up();
            let _ = self.serve(&stream, &mut ended).await;
            self.house.counters.engine_conns_open.down();
        }
        self.orders.close();
        while let Ok(order) = self.orders.try_recv() {
            self.order(order, &mut ended);
        }
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
        self.load.fetch_sub(1, Ordering::Relaxed);
        ended(&self.house, self.engine, ask, outcome).await;
    }

    async fn report(&self, asks: &mut Vec<Ask>) {
        for ask in asks.drain(..) {
            self.end(&ask, Outcome::NoConnection).await;
        }
    }

    async fn serve(&mut self, stream: &TcpStream, unsent: &mut Vec<Ask>) -> Result<(), Broken> {
        loop {
            self.next_ask();
            self.out.flush(stream)?;
            if self.out.is_empty() && !self.waiting.is_empty() {
                continue;
            }
            let idle = self.attempts.is_empty() && self.waiting.is_empty() && self.out.is_empty();
            if idle && self.drained {
                return Ok(());
            }
            let pages = self.attempts.values().filter_map(|a| a.pages.as_ref().map(|p| p.until)).min();
            let until = self.idle_since + self.house.limits.engine_idle;
            let alarm = [pages, self.cut, idle.then_some(until)].into_iter().flatten().min();
            let alarm_at = alarm.unwrap_or_else(|| Instant::now() + self.house.limits.engine_idle);
            tokio::select! {
                biased;
                // Guard: a closed mailbox is ready at once and for ever, and would be all that is looked at.
                order = self.orders.recv(), if !self.orphaned => match order {
                    Some(order) => self.order(order, unsent),
                    None => {
                        self.orphaned = true;
                        self.gone();
                    }
                },
                ready = stream.readable() => {
                    ready?;
                    let open = net::read(stream, &mut self.input, self.house.limits.page_bytes * 2)?;
                    self.read().await?;
                    if !open {
                        return Ok(());
                    }
                }
                ready = stream.writable(), if !self.out.is_empty() => ready?,
                () = sleep_until(alarm_at) => {
                    let now = Instant::now();
                    if self.cut.is_some_and(|c| c <= now) || idle && until <= now {
                        return Ok(());
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
    fn next_ask(&mut self) {
        while self.out.is_empty() {
            let Some(ask) = self.waiting.pop_front() else { return };
            let left = (ask.due_ms - self.house.core.now()).max(1.0);
            let class = self.house.parsed.classes.get(ask.class).map_or("", String::as_str);
            let mut head = Vec::with_capacity(96);
            head.extend_from_slice(b"ASK ");
            head.extend_from_slice(&ask.name);
            head.extend_from_slice(format!(" sort={class},patience={left:.0}").as_bytes());
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
            self.attempts.insert(ask.name.clone(), Attempt { ask, whole, pages: None });
        }
    }

    fn order(&mut self, order: Order, unsent: &mut Vec<Ask>) {
        match order {
            Order::Ask(ask) if self.drained => unsent.push(ask),
            Order::Ask(ask) => self.waiting.push_back(ask),
            Order::Quit(id, attempt) => self.quit(id, attempt),
            Order::Priority(id, attempt, n) => {
                if let Some(ask) = self.waiting.iter_mut().find(|a| a.id == id && a.attempt == attempt) {
                    ask.priority = n;
                } else if let Some(name) = self.name_of(id, attempt) {
                    self.line("PRIO", &name, Some(usize::from(n)));
                }
            }
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

    fn name_of(&self, id: RequestId, attempt: u16) -> Option<Bytes> {
        let found = self.attempts.iter().find(|(_, a)| a.ask.id == id && a.ask.attempt == attempt);
        found.map(|(name, _)| name.clone())
    }

    fn quit(&mut self, id: RequestId, attempt: u16) {
        let before = self.waiting.len();
        self.waiting.retain(|a| a.id != id || a.attempt != attempt);
        let unsent = before - self.waiting.len();
        if let Some(name) = self.name_of(id, attempt) {
            // A query that has ended holds pages, one that has not runs on: each needs its own word.
            let paged = self.attempts.remove(&name).is_some_and(|a| a.pages.is_some());
            self.line(if paged { "FREE" } else { "QUIT" }, &name, None);
            self.load.fetch_sub(1, Ordering::Relaxed);
            self.idle_since = Instant::now();
        }
        self.load.fetch_sub(unsent, Ordering::Relaxed);
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
                Ok(Some(reply)) => self.reply(reply).await?,
                Ok(None) => return Ok(()),
                Err(broken) => {
                    self.house.counters.engine_malformed.up();
                    return Err(broken);
                }
            }
        }
    }

    async fn reply(&mut self, reply: Reply) -> Result<(), Broken> {
        self.idle_since = Instant::now();
        let report = self.load_report(reply.field("l"));
        let Some(attempt) = self.attempts.get_mut(&reply.name) else {
            return Ok(()); // given up meanwhile
        };
        let (id, number) = (attempt.ask.id, attempt.ask.attempt);
        let outcome = match reply.word.as_ref() {
            b"served" => {
                let all = reply.field("batches").and_then(number_of).unwrap_or(1) as usize;
                if attempt.pages.is_some() || all == 0 || all > self.house.limits.pages {
                    return Err(self.malformed());
                }
                let mut got = vec![None; all];
                got[0] = Some(reply.body.clone());
                let until = Instant::now() + self.house.limits.page_wait;
                let figure = |name| reply.field(name).and_then(crate::clients::figure);
                let (billed_ms, billed_mb) = (figure("cpu"), figure("used"));
                attempt.pages = Some(Pages { all, got, billed_ms, billed_mb, report, until });
                for n in 1..all {
                    self.house.counters.pages.up();
                    self.line("NEXT", &reply.name, Some(n));
                }
                return self.whole(&reply.name).await;
            }
            b"rows" => {
                let page = reply.field("batch").and_then(number_of).map(|n| n as usize);
                let place = page.and_then(|n| attempt.pages.as_mut().and_then(|p| p.got.get_mut(n)));
                let Some(place) = place.filter(|p| p.is_none()) else { return Err(self.malformed()) };
                *place = Some(reply.body.clone());
                if let Some(pages) = &mut attempt.pages {
                    pages.until = Instant::now() + self.house.limits.page_wait;
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
        self.attempts.remove(&reply.name);
        self.load.fetch_sub(1, Ordering::Relaxed);
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
        self.load.fetch_sub(1, Ordering::Relaxed);
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

/// The connection cannot go on.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Broken;

impl From<std::io::Error> for Broken {
    fn from(_: std::io::Error) -> Broken {
        Broken
    }
}

/// One answer of an engine.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Reply {
    name: Bytes,
    word: Bytes,
    fields: Bytes,
    body: Bytes,
}

impl Reply {
    fn field(&self, name: &str) -> Option<&[u8]> {
        let pairs = self.fields.split(|b| *b == b',');
        pairs.filter_map(|p| p.strip_prefix(name.as_bytes())).find_map(|p| p.strip_prefix(b"="))
    }
}

fn number_of(text: &[u8]) -> Option<u32> {
    std::str::from_utf8(text).ok()?.parse().ok()
}

/// Takes one whole answer off the front of the buffer: `ID WORD FIELDS LENGTH`, the bytes, and a line end.
pub(crate) fn take(
    buffer: &mut BytesMut,
    line_bytes: usize,
    page_bytes: usize,
) -> Result<Option<Reply>, Broken> {
    let Some(end) = buffer.iter().take(line_bytes).position(|b| *b == b'\n') else {
        return if buffer.len() >= line_bytes { Err(Broken) } else { Ok(None) };
    };
    let line = buffer[..end].strip_suffix(b"\r").ok_or(Broken)?;
    let mut words = line.split(|b| *b == b' ');
    let (Some(name), Some(word), Some(fields), Some(length), None) =
        (words.next(), words.next(), words.next(), words.next(), words.next())
    else {
        return Err(Broken);
    };
    let length = number_of(length).map(|n| n as usize).filter(|n| *n <= page_bytes).ok_or(Broken)?;
    let at = |part: &[u8], from: usize| from..from + part.len();
    let name = at(name, 0);
    let word = at(word, name.end + 1);
    let fields = at(fields, word.end + 1);
    let body = end + 1..end + 1 + length;
    if buffer.len() < body.end + 2 {
        return Ok(None);
    }
    if &buffer[body.end..body.end + 2] != b"\r\n" {
        return Err(Broken);
    }
    let bytes = buffer.split_to(body.end + 2).freeze();
    Ok(Some(Reply {
        name: bytes.slice(name),
        word: bytes.slice(word),
        fields: bytes.slice(fields),
        body: bytes.slice(body),
    }))
}
