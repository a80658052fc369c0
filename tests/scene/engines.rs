//! Stand-in engines, by lines or Flight SQL, and the control feed that lists them.

use super::flight::Service;
use super::{hex, unescape};
use arrow_flight::flight_service_server::FlightServiceServer;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::task::AbortHandle;
use workload_manager::node_config::EngineProtocol;

/// What reached an engine: `ASK c1.7`, `QUIT c1.7`, ...
pub(crate) struct Heard {
    pub line: String,
    pub engine: usize,
    /// Where the answer goes.
    pub reply: Reply,
    /// What breaks the connection that it came over.
    pub cut: Arc<dyn Fn() + Send + Sync>,
    /// The engine's own name for the request: the client's id.
    pub id: String,
    /// It may run once only.
    pub once: bool,
    /// When its last byte was read.
    pub at: Instant,
}

#[derive(Clone)]
pub(crate) enum Reply {
    Line(Arc<tokio::sync::Mutex<Option<OwnedWriteHalf>>>),
    Flight(mpsc::UnboundedSender<(String, String)>),
}

struct Engine {
    address: SocketAddr,
    task: AbortHandle,
    /// Whether it accepts connections.
    accepts: watch::Sender<bool>,
    /// Connections that fill its backlog while it accepts none, so that a further one does not come up.
    fillers: Vec<TcpStream>,
    drained: Arc<Mutex<Option<Instant>>>,
    /// Keeps the port once nobody listens there, or another test's engine could be the next to get it.
    _port: TcpSocket,
}

/// Connections that an engine's listener holds while it accepts none; the system lets one more come up.
const BACKLOG: u32 = 64;

/// The operators' term: no attempt begins later than this after its client has left.
const BEGINS_AFTER_LEAVING: Duration = Duration::from_millis(100);

/// A socket on this port, which others may share.
fn bound(at: SocketAddr) -> TcpSocket {
    let socket = TcpSocket::new_v4().expect("socket");
    socket.set_reuseport(true).expect("option");
    socket.bind(at).expect("bind");
    socket
}

/// A listener, and a second socket on its port that never listens.
pub(crate) fn listen() -> (TcpListener, TcpSocket) {
    let socket = bound(([127, 0, 0, 1], 0).into());
    let port = bound(socket.local_addr().expect("address"));
    (socket.listen(BACKLOG).expect("listen"), port)
}

/// A listener on a port that such a second socket keeps.
pub(crate) fn listen_at(at: SocketAddr) -> TcpListener {
    bound(at).listen(BACKLOG).expect("listen")
}

pub(crate) struct Fleet {
    engines: Vec<Engine>,
    heard: mpsc::UnboundedReceiver<Heard>,
    held: Vec<Heard>,
    /// Attempts by request.
    asked: HashMap<String, Heard>,
    out: HashSet<String>,
    /// Requests asked for anew before the end of the connection that carried them was heard.
    suspects: HashSet<String>,
    /// Requests of the class that may run once only which may have run.
    ran: HashSet<String>,
    /// When a client left, or cancelled a request: by its name, or by the request's label.
    left: HashMap<String, Instant>,
    pub feed: Feed,
}

pub(crate) struct Feed {
    pub address: SocketAddr,
    listener: TcpListener,
    stream: Option<tokio::net::TcpStream>,
    events: u64,
}

impl Fleet {
    pub(crate) async fn new(count: usize, speech: EngineProtocol) -> Fleet {
        let (tell, heard) = mpsc::unbounded_channel();
        let mut engines = Vec::new();
        for engine in 0..count {
            let (listener, port) = listen();
            let address = listener.local_addr().expect("address");
            let (accepts, accepting) = watch::channel(true);
            let door = Door {
                listener,
                accepting,
            };
            let task = match speech {
                EngineProtocol::Lines => tokio::spawn(lines(engine, door, tell.clone())),
                EngineProtocol::Flight => tokio::spawn(flight(engine, door, tell.clone())),
            };
            let (task, drained, fillers) = (task.abort_handle(), Arc::default(), Vec::new());
            engines.push(Engine {
                address,
                task,
                accepts,
                fillers,
                drained,
                _port: port,
            });
        }
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let address = listener.local_addr().expect("address");
        let feed = Feed {
            address,
            listener,
            stream: None,
            events: 1,
        };
        let (asked, out, ran, suspects, left) = Default::default();
        Fleet {
            engines,
            heard,
            held: Vec::new(),
            asked,
            out,
            suspects,
            ran,
            left,
            feed,
        }
    }

    /// The first event of the list, as the configuration has it.
    pub(crate) fn known(&self) -> String {
        let member = |(i, e): (usize, &Engine)| {
            format!(
                r#"{{"instanceId":"s-{:08x}","hostPort":"{}","zone":"hall-a","machineType":"std-8c","cell":0,
                "lifecycle":"active","weight":1,"startedAtMs":0}}"#,
                i + 1,
                e.address
            )
        };
        let members: Vec<String> = self.engines.iter().enumerate().map(member).collect();
        format!(
            r#"{{"n":1,"members":{{"generation":1,"reset":true,"instances":[{}]}}}}"#,
            members.join(",")
        )
    }

    /// The feed goes to another address; connections to the old one stay open and tell nothing.
    pub(crate) async fn move_feed(&mut self) -> SocketAddr {
        self.feed.listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        self.feed.address = self.feed.listener.local_addr().expect("address");
        self.feed.address
    }

    /// Nothing new may go to this engine from now on, or it may again.
    pub(crate) fn shut(&mut self, n: usize, out: bool) {
        *self.engines[n].drained.lock().expect("lock") = out.then(Instant::now);
    }

    /// A client has left, or cancelled the request with this label.
    pub(crate) fn leaves(&mut self, who: String) {
        self.left.insert(who, Instant::now());
    }

    /// A client of this name is there again.
    pub(crate) fn returns(&mut self, who: &str) {
        self.left.remove(who);
    }

    #[expect(clippy::too_many_lines, reason = "not split yet")]
    pub(crate) async fn step(&mut self, who: &str, verb: &str, rest: &[&str]) {
        match (who, verb, rest) {
            ("feed", ..) => self.feed_step(verb, rest).await,
            ("e", "expect", ["none", wanted @ ..]) => {
                let wanted = wanted.join(" ");
                while let Ok(heard) = self.heard.try_recv() {
                    self.take(heard);
                }
                assert!(!self.held.iter().any(|h| h.line == wanted), "{wanted}");
            }
            ("e", "expect", wanted) => {
                let wanted = wanted.join(" ");
                let heard = loop {
                    if let Some(i) = self.held.iter().position(|h| h.line == wanted) {
                        break self.held.remove(i);
                    }
                    let heard = self.heard.recv().await.expect("engines");
                    self.take(heard);
                };
                if wanted.starts_with("ASK") {
                    self.asked.insert(label_of(&wanted[4..]), heard);
                }
            }
            ("e", "send", [label, word, rest @ ..]) => {
                let heard = &self.asked[*label];
                if !matches!(*word, "update" | "rows" | "raw") {
                    self.out.remove(*label);
                    if matches!(*word, "crashed") {
                        self.ran.insert((*label).to_owned());
                    }
                }
                match &heard.reply {
                    Reply::Flight(to) => {
                        let _ = to.send(((*word).to_owned(), unescape(&rest.join(" "))));
                    }
                    Reply::Line(to) => {
                        let text = if *word == "raw" {
                            hex(rest[0])
                        } else {
                            let fields = rest.first().copied().unwrap_or("-");
                            let body = unescape(&rest.get(1..).unwrap_or_default().join(" "));
                            format!("{} {word} {fields} {}\r\n{body}\r\n", heard.id, body.len())
                                .into_bytes()
                        };
                        let mut to = to.lock().await;
                        to.as_mut()
                            .expect("connection")
                            .write_all(&text)
                            .await
                            .expect("write");
                    }
                }
            }
            ("e", "close", [label]) => {
                self.out.remove(*label);
                self.ran.insert((*label).to_owned());
                (self.asked[*label].cut)();
            }
            (engine, "hold", []) => {
                let engine = &mut self.engines[number(engine)];
                engine.accepts.send_replace(false);
                for _ in 0..=BACKLOG {
                    engine
                        .fillers
                        .push(TcpStream::connect(engine.address).await.expect("connect"));
                }
            }
            (engine, "release", []) => {
                let engine = &mut self.engines[number(engine)];
                engine.fillers.clear();
                engine.accepts.send_replace(true);
            }
            (engine, "close", []) => {
                // Until its listener is gone a connection could still be accepted, and then be reset.
                let task = &self.engines[number(engine)].task;
                task.abort();
                while !task.is_finished() {
                    tokio::task::yield_now().await;
                }
            }
            other => panic!("engines: {other:?}"),
        }
    }

    /// Keeps what was heard, and the rules with it.
    fn take(&mut self, heard: Heard) {
        if let Some(label) = heard.line.strip_prefix("ASK ").map(label_of) {
            let label = label.as_str();
            if !self.out.insert(label.to_owned()) {
                self.suspects.insert(label.to_owned());
            }
            assert!(
                !self.ran.contains(label) || !heard.once,
                "{label} may have run already"
            );
            let drained = *self.engines[heard.engine].drained.lock().expect("lock");
            let late = drained.is_some_and(|at| at.elapsed() > Duration::from_millis(250));
            assert!(!late, "{label} went to an engine that drains");
            let client = label.split('.').next().unwrap_or_default();
            let left = [client, label]
                .iter()
                .filter_map(|who| self.left.get(*who))
                .min();
            let late = left.is_some_and(|at| heard.at.duration_since(*at) > BEGINS_AFTER_LEAVING);
            assert!(!late, "{label} began after its client had left");
        } else if let Some(label) = heard.line.strip_prefix("CLOSED ") {
            if !self.suspects.remove(label) && self.out.remove(label) {
                self.ran.insert(label.to_owned());
            }
            return;
        } else if let Some(label) = heard.line.strip_prefix("QUIT ") {
            self.out.remove(label);
            self.ran.insert(label.to_owned());
        }
        self.held.push(heard);
    }

    /// What has to hold once the scene is over.
    pub(crate) fn finish(&mut self) {
        while let Ok(heard) = self.heard.try_recv() {
            self.take(heard);
        }
        assert!(
            self.suspects.is_empty(),
            "attempts beside each other: {:?}",
            self.suspects
        );
    }

    #[expect(clippy::too_many_lines, reason = "not split yet")]
    async fn feed_step(&mut self, verb: &str, rest: &[&str]) {
        let feed = &mut self.feed;
        match (verb, rest) {
            ("expect", [last]) => {
                let (mut stream, _) = feed.listener.accept().await.expect("accept");
                assert_eq!(
                    stream.read_u64().await.expect("the last event").to_string(),
                    *last
                );
                feed.stream = Some(stream);
            }
            ("close", _) => feed.stream = None,
            ("send", ["raw", bytes]) => {
                feed.stream
                    .as_mut()
                    .expect("feed")
                    .write_all(&hex(bytes))
                    .await
                    .expect("write");
            }
            // A whole list that names no other engine.
            ("send", ["only", engine]) => {
                let (n, at) = (number(engine), self.engines[number(engine)].address);
                feed.events += 1;
                let frame = feed_frame(feed.events, 1, n, at, 0, 0);
                feed.stream
                    .as_mut()
                    .expect("feed")
                    .write_all(&frame)
                    .await
                    .expect("write");
            }
            // An event that was told already, and half of one before the feed breaks off.
            ("send", ["again", engine]) => {
                let (n, at) = (number(engine), self.engines[number(engine)].address);
                let frame = feed_frame(feed.events, 2, n, at, 2, 0);
                feed.stream
                    .as_mut()
                    .expect("feed")
                    .write_all(&frame)
                    .await
                    .expect("write");
            }
            ("send", ["half", engine]) => {
                let (n, at) = (number(engine), self.engines[number(engine)].address);
                let frame = feed_frame(feed.events + 1, 2, n, at, 2, 0);
                feed.stream
                    .as_mut()
                    .expect("feed")
                    .write_all(&frame[..20])
                    .await
                    .expect("write");
            }
            ("send", [state, engine]) => {
                let n = number(engine);
                let state = ["active", "draining", "gone", "listed"]
                    .iter()
                    .position(|s| s == state)
                    .expect("state");
                let address = self.engines[n].address;
                // A line that stays as it was says nothing of what may go there.
                let state = if state == 3 {
                    0
                } else {
                    self.shut(n, state > 0);
                    state
                };
                self.feed.events += 1;
                let frame = feed_frame(self.feed.events, 2, n, address, state as u8, 0);
                self.feed
                    .stream
                    .as_mut()
                    .expect("feed")
                    .write_all(&frame)
                    .await
                    .expect("write");
            }
            other => panic!("feed: {other:?}"),
        }
    }
}

/// A frame with one record, of an engine that started at this Unix time in ms, or long ago at 0.
pub(crate) fn feed_frame(
    event: u64,
    kind: u8,
    n: usize,
    at: SocketAddr,
    state: u8,
    started_ms: u64,
) -> Vec<u8> {
    let mut frame = Vec::new();
    frame.extend_from_slice(&(9 + 27u32).to_be_bytes());
    frame.extend_from_slice(&event.to_be_bytes());
    frame.push(kind);
    frame.extend_from_slice(&(n as u32 + 1).to_be_bytes());
    frame.extend_from_slice(&[127, 0, 0, 1]);
    frame.extend_from_slice(&at.port().to_be_bytes());
    frame.extend_from_slice(&[state, 0, 0, 0, 0, 0, 0, 3, 232]);
    frame.extend_from_slice(&started_ms.to_be_bytes());
    frame
}

fn number(engine: &str) -> usize {
    engine[1..].parse::<usize>().expect("engine") - 1
}

/// The label of an attempt, without the key that may stand behind it.
fn label_of(asked: &str) -> String {
    asked.split(' ').next().unwrap_or_default().to_owned()
}

/// The label that a statement's comment carries; one that may run once only is marked.
pub(crate) fn label(statement: &str) -> (String, bool) {
    let label = statement
        .rsplit("-- ")
        .next()
        .unwrap_or_default()
        .to_owned();
    (label, statement.starts_with("INSERT"))
}

/// An engine's listener, and whether it accepts connections.
struct Door {
    listener: TcpListener,
    accepting: watch::Receiver<bool>,
}

impl Door {
    /// The next connection; none once the scene is over.
    async fn accept(&mut self) -> Option<TcpStream> {
        loop {
            self.accepting.wait_for(|accepting| *accepting).await.ok()?;
            tokio::select! {
                biased;
                _ = self.accepting.changed() => {}
                accepted = self.listener.accept() => return accepted.ok().map(|(stream, _)| stream),
            }
        }
    }
}

#[expect(clippy::too_many_lines, reason = "not split yet")]
async fn lines(engine: usize, mut door: Door, tell: mpsc::UnboundedSender<Heard>) {
    while let Some(stream) = door.accept().await {
        let tell = tell.clone();
        let (read, write) = stream.into_split();
        let write = Arc::new(tokio::sync::Mutex::new(Some(write)));
        let (stop, mut stopped) = mpsc::unbounded_channel::<()>();
        tokio::spawn(async move {
            let (mut read, mut labels) = (BufReader::new(read), HashMap::new());
            let cut: Arc<dyn Fn() + Send + Sync> = Arc::new(move || _ = stop.send(()));
            loop {
                let mut line = String::new();
                tokio::select! {
                    got = read.read_line(&mut line) => if !matches!(got, Ok(n) if n > 0) {
                        for (id, (label, once)) in labels {
                            let (line, reply, cut) = (format!("CLOSED {label}"), Reply::Line(write.clone()), cut.clone());
                            let _ = tell.send(Heard { line, engine, reply, cut, id, once, at: Instant::now() });
                        }
                        return;
                    },
                    _ = stopped.recv() => return drop(write.lock().await.take()),
                }
                let words: Vec<&str> = line.split_whitespace().collect();
                let id = words[1].to_owned();
                let mut key = String::new();
                if words[0] == "NOOP" {
                    let mut to = write.lock().await;
                    let green = format!("{id} green - 0\r\n\r\n");
                    to.as_mut()
                        .expect("connection")
                        .write_all(green.as_bytes())
                        .await
                        .expect("write");
                    continue;
                }
                if words[0] == "ASK" {
                    let mut body = vec![0; words[3].parse::<usize>().expect("length") + 2];
                    read.read_exact(&mut body).await.expect("statement");
                    let body = String::from_utf8(body).expect("text");
                    assert!(
                        body.ends_with("\r\n") && words[2].contains("patience="),
                        "{line}"
                    );
                    // Whatever a client wrote, an engine gets figures that it can use.
                    let (keys, figures): (Vec<_>, Vec<_>) = words[2]
                        .split(',')
                        .skip(1)
                        .map(|f| f.split_once('='))
                        .partition(|f| f.is_some_and(|f| f.0 == "op"));
                    key = keys
                        .into_iter()
                        .flatten()
                        .map(|(_, key)| format!(" op={key}"))
                        .collect();
                    let fine = |f: Option<(&str, &str)>| {
                        f.is_some_and(|(_, n)| n.parse().is_ok_and(|n: u32| n < 10_000_000))
                    };
                    assert!(figures.into_iter().all(fine), "{line}");
                    labels.insert(id.clone(), label(body.trim_end()));
                }
                let (label, once) = labels.get(&id).cloned().expect("an id that was asked");
                let number = words
                    .get(2)
                    .filter(|_| words[0] == "NEXT")
                    .map_or(String::new(), |n| format!(" {n}"));
                let line = format!("{} {label}{number}{key}", words[0]);
                let (reply, cut) = (Reply::Line(write.clone()), cut.clone());
                let _ = tell.send(Heard {
                    line,
                    engine,
                    reply,
                    cut,
                    id,
                    once,
                    at: Instant::now(),
                });
            }
        });
    }
}

/// A Flight SQL engine behind a relay, whose end cuts connections as a dying process does.
async fn flight(engine: usize, mut door: Door, tell: mpsc::UnboundedSender<Heard>) {
    let inner = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let at = inner.local_addr().expect("address");
    let relays: Arc<Mutex<Vec<AbortHandle>>> = Arc::default();
    let cut: Arc<dyn Fn() + Send + Sync> = {
        let relays = relays.clone();
        Arc::new(move || {
            relays
                .lock()
                .expect("lock")
                .drain(..)
                .for_each(|r| r.abort())
        })
    };
    let service = FlightServiceServer::new(Service { engine, tell, cut });
    let incoming = tokio_stream::wrappers::TcpListenerStream::new(inner);
    tokio::spawn(
        tonic::transport::Server::builder()
            .add_service(service)
            .serve_with_incoming(incoming),
    );
    while let Some(mut outer) = door.accept().await {
        let relay = tokio::spawn(async move {
            let mut inner = tokio::net::TcpStream::connect(at).await.expect("engine");
            let _ = tokio::io::copy_bidirectional(&mut outer, &mut inner).await;
        });
        relays.lock().expect("lock").push(relay.abort_handle());
    }
}
