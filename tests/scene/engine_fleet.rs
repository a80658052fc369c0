//! The fake engines of a scene, and the rules that every attempt is checked against.

use super::engine_listener::{BACKLOG, GatedListener, listen};
use super::list_feed::{Feed, ListedEngine};
use super::{flight_engine, from_hex, line_engine, unescape};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::task::AbortHandle;
use workload_manager::node_config::EngineProtocol;

/// A service guarantee: no attempt starts later than this after its client has left.
const MAX_START_AFTER_DISCONNECT: Duration = Duration::from_millis(100);

/// A service guarantee: an engine gets no new attempts later than this after it started to drain.
const MAX_START_AFTER_DRAIN: Duration = Duration::from_millis(250);

/// A call that reached an engine.
pub(crate) struct ReceivedCall {
    /// The call as scripts write it: `ASK c1.7`, `QUIT c1.7` and so on.
    pub line: String,
    /// Index of the engine, from 0.
    pub engine: usize,
    /// Takes the answer.
    pub reply: ReplyChannel,
    /// Breaks the connection that carried the call.
    pub break_connection: Arc<dyn Fn() + Send + Sync>,
    /// The client reference, by which the line protocol identifies the request; empty with Flight
    /// SQL.
    pub request_id: String,
    /// Whether the request is non-idempotent.
    pub non_idempotent: bool,
    /// When the whole call had been read.
    pub received_at: Instant,
}

/// The channel over which the scene answers a call.
#[derive(Clone)]
pub(crate) enum ReplyChannel {
    /// The writing half of the connection; `None` once the connection is broken.
    Line(Arc<tokio::sync::Mutex<Option<OwnedWriteHalf>>>),
    /// Takes the first word of an answer (`served`, `rows`, `overload` and so on) and its text.
    Flight(mpsc::UnboundedSender<(String, String)>),
}

struct Engine {
    address: SocketAddr,
    task: AbortHandle,
    /// Tells the listener whether to accept connections.
    accepts: watch::Sender<bool>,
    /// Connections that fill the backlog while none is accepted, so that no further one is
    /// established.
    fillers: Vec<TcpStream>,
    /// Since when the engine must not get new attempts.
    draining_since: Arc<Mutex<Option<Instant>>>,
    /// Keeps the port reserved after the listener is closed; an engine of another test could get it
    /// otherwise.
    _port: TcpSocket,
}

/// All engines of a scene, with the discovery feed that lists them.
pub(crate) struct Fleet {
    engines: Vec<Engine>,
    calls: mpsc::UnboundedReceiver<ReceivedCall>,
    /// Calls that no step of the script has expected yet.
    unmatched: Vec<ReceivedCall>,
    /// The latest expected attempt of each request, by the label of the request.
    attempts: HashMap<String, ReceivedCall>,
    in_flight: HashSet<String>,
    /// Requests with a new attempt before the end of the earlier attempt's connection was reported.
    unconfirmed_retries: HashSet<String>,
    /// Requests that may have run. A non-idempotent one must not be sent again.
    may_have_run: HashSet<String>,
    /// When a client left, by its name, or cancelled a request, by the request's label.
    departures: HashMap<String, Instant>,
    pub feed: Feed,
}

impl Fleet {
    /// Starts this many engines and the discovery feed.
    pub(crate) async fn new(count: usize, protocol: EngineProtocol) -> Fleet {
        let (sender, calls) = mpsc::unbounded_channel();
        let engines = (0..count).map(|number| Engine::start(number, protocol, sender.clone()));
        Fleet {
            engines: engines.collect(),
            calls,
            unmatched: Vec::new(),
            attempts: HashMap::new(),
            in_flight: HashSet::new(),
            unconfirmed_retries: HashSet::new(),
            may_have_run: HashSet::new(),
            departures: HashMap::new(),
            feed: Feed::new().await,
        }
    }

    /// The first event of the list, with all engines, in the JSON of the configuration.
    pub(crate) fn first_list_event(&self) -> String {
        let instance = |(number, engine): (usize, &Engine)| {
            format!(
                r#"{{"instanceId":"s-{:08x}","hostPort":"{}","zone":"hall-a","machineType":"std-8c","cell":0,
                "lifecycle":"active","weight":1,"startedAtMs":0}}"#,
                number + 1,
                engine.address
            )
        };
        let instances: Vec<String> = self.engines.iter().enumerate().map(instance).collect();
        format!(
            r#"{{"n":1,"members":{{"generation":1,"reset":true,"instances":[{}]}}}}"#,
            instances.join(",")
        )
    }

    /// Moves the feed to another address, and returns that address.
    pub(crate) async fn move_feed(&mut self) -> SocketAddr {
        self.feed.move_to_new_address().await
    }

    /// Records whether an engine is draining from now on, when it must not get new attempts.
    pub(crate) fn set_draining(&mut self, number: usize, draining: bool) {
        let mut draining_since = self.engines[number].draining_since.lock().expect("lock");
        *draining_since = draining.then(Instant::now);
    }

    /// Records that the client of this name has left, or that the request of this label was
    /// cancelled.
    pub(crate) fn client_left(&mut self, who: String) {
        self.departures.insert(who, Instant::now());
    }

    /// Records that a client of this name has connected again.
    pub(crate) fn client_returned(&mut self, who: &str) {
        self.departures.remove(who);
    }

    /// Runs one step of a script.
    pub(crate) async fn step(&mut self, who: &str, verb: &str, rest: &[&str]) {
        match (who, verb, rest) {
            ("feed", ..) => self.feed_step(verb, rest).await,
            ("e", "expect", ["none", wanted @ ..]) => self.expect_none(&wanted.join(" ")),
            ("e", "expect", wanted) => self.expect_call(&wanted.join(" ")).await,
            ("e", "send", [label, word, rest @ ..]) => self.answer(label, word, rest).await,
            ("e", "close", [label]) => self.break_connection_of(label),
            (engine, "hold", []) => self.engines[engine_index(engine)].stop_accepting().await,
            (engine, "release", []) => self.engines[engine_index(engine)].resume_accepting(),
            (engine, "close", []) => {
                self.engines[engine_index(engine)]
                    .refuse_connections()
                    .await
            }
            other => panic!("unknown step of the engines: {other:?}"),
        }
    }

    /// Fails if this call has been received and no earlier step expected it.
    fn expect_none(&mut self, wanted: &str) {
        while let Ok(call) = self.calls.try_recv() {
            self.record(call);
        }
        let received = self.unmatched.iter().any(|call| call.line == wanted);
        assert!(!received, "unexpected call: {wanted}");
    }

    /// Waits for this call. A later step can answer it if it is an attempt.
    async fn expect_call(&mut self, wanted: &str) {
        let call = loop {
            if let Some(index) = self.unmatched.iter().position(|call| call.line == wanted) {
                break self.unmatched.remove(index);
            }
            let call = self.calls.recv().await.expect("engines");
            self.record(call);
        };
        if let Some(label) = wanted.strip_prefix("ASK ") {
            self.attempts.insert(label_of(label), call);
        }
    }

    /// Sends an answer to the attempt of this request. All answers but `update`, `rows` and `raw`
    /// end the attempt.
    async fn answer(&mut self, label: &str, word: &str, rest: &[&str]) {
        let call = &self.attempts[label];
        if !matches!(word, "update" | "rows" | "raw") {
            self.in_flight.remove(label);
            if word == "crashed" {
                self.may_have_run.insert(label.to_owned());
            }
        }
        match &call.reply {
            ReplyChannel::Flight(reply) => {
                let _ = reply.send((word.to_owned(), unescape(&rest.join(" "))));
            }
            ReplyChannel::Line(writer) => {
                let text = line_answer(&call.request_id, word, rest);
                let mut writer = writer.lock().await;
                let writer = writer.as_mut().expect("connection");
                writer.write_all(&text).await.expect("write");
            }
        }
    }

    fn break_connection_of(&mut self, label: &str) {
        self.in_flight.remove(label);
        self.may_have_run.insert(label.to_owned());
        (self.attempts[label].break_connection)();
    }

    /// Keeps a received call for the script, and checks it against the rules.
    fn record(&mut self, call: ReceivedCall) {
        if let Some(label) = call.line.strip_prefix("ASK ").map(label_of) {
            self.check_attempt(&call, &label);
        } else if let Some(label) = call.line.strip_prefix("CLOSED ") {
            if !self.unconfirmed_retries.remove(label) && self.in_flight.remove(label) {
                self.may_have_run.insert(label.to_owned());
            }
            return;
        } else if let Some(label) = call.line.strip_prefix("QUIT ") {
            self.in_flight.remove(label);
            self.may_have_run.insert(label.to_owned());
        }
        self.unmatched.push(call);
    }

    fn check_attempt(&mut self, call: &ReceivedCall, label: &str) {
        if !self.in_flight.insert(label.to_owned()) {
            self.unconfirmed_retries.insert(label.to_owned());
        }
        assert!(
            !self.may_have_run.contains(label) || !call.non_idempotent,
            "{label} may have run already"
        );
        let draining_since = *self.engines[call.engine]
            .draining_since
            .lock()
            .expect("lock");
        let late = draining_since.is_some_and(|since| since.elapsed() > MAX_START_AFTER_DRAIN);
        assert!(!late, "{label} was sent to a draining engine");
        let client = label.split('.').next().unwrap_or_default();
        let departed = [client, label]
            .iter()
            .filter_map(|who| self.departures.get(*who))
            .min();
        let late = departed.is_some_and(|left_at| {
            call.received_at.duration_since(*left_at) > MAX_START_AFTER_DISCONNECT
        });
        assert!(!late, "{label} started after its client had left");
    }

    /// Checks the rules that can be decided only when the script has ended.
    pub(crate) fn check_at_end(&mut self) {
        while let Ok(call) = self.calls.try_recv() {
            self.record(call);
        }
        assert!(
            self.unconfirmed_retries.is_empty(),
            "concurrent attempts of one request: {:?}",
            self.unconfirmed_retries
        );
    }

    async fn feed_step(&mut self, verb: &str, rest: &[&str]) {
        match (verb, rest) {
            ("expect", [last]) => self.feed.expect_connection(last).await,
            ("close", _) => self.feed.close(),
            ("send", ["raw", bytes]) => self.feed.send_raw(bytes).await,
            ("send", ["only", engine]) => {
                let engine = self.listed(engine);
                self.feed.send_full_list_of(engine).await;
            }
            ("send", ["again", engine]) => {
                let engine = self.listed(engine);
                self.feed.send_repeated_event(engine).await;
            }
            ("send", ["half", engine]) => {
                let engine = self.listed(engine);
                self.feed.send_half_event(engine).await;
            }
            ("send", [state, engine]) => {
                // `listed` sends the record of an active engine, but the rule for draining engines
                // still applies.
                if *state != "listed" {
                    self.set_draining(engine_index(engine), *state != "active");
                }
                let engine = self.listed(engine);
                self.feed.send_state(state, engine).await;
            }
            other => panic!("unknown step of the feed: {other:?}"),
        }
    }

    fn listed(&self, engine: &str) -> ListedEngine {
        let number = engine_index(engine);
        ListedEngine {
            number,
            address: self.engines[number].address,
        }
    }
}

impl Engine {
    fn start(
        number: usize,
        protocol: EngineProtocol,
        calls: mpsc::UnboundedSender<ReceivedCall>,
    ) -> Engine {
        let (listener, port) = listen();
        let address = listener.local_addr().expect("address");
        let (accepts, accepting) = watch::channel(true);
        let listener = GatedListener {
            listener,
            accepting,
        };
        let task = match protocol {
            EngineProtocol::Lines => tokio::spawn(line_engine::serve(number, listener, calls)),
            EngineProtocol::Flight => tokio::spawn(flight_engine::serve(number, listener, calls)),
        };
        Engine {
            address,
            task: task.abort_handle(),
            accepts,
            fillers: Vec::new(),
            draining_since: Arc::default(),
            _port: port,
        }
    }

    /// Stops accepting and fills the backlog, so that no further connection is established.
    async fn stop_accepting(&mut self) {
        self.accepts.send_replace(false);
        for _ in 0..=BACKLOG {
            let filler = TcpStream::connect(self.address).await.expect("connect");
            self.fillers.push(filler);
        }
    }

    fn resume_accepting(&mut self) {
        self.fillers.clear();
        self.accepts.send_replace(true);
    }

    async fn refuse_connections(&self) {
        // Until the listener is dropped, a connection could still be accepted and then be reset.
        self.task.abort();
        while !self.task.is_finished() {
            tokio::task::yield_now().await;
        }
    }
}

/// The bytes of an answer in the line protocol, from the words of a script.
fn line_answer(request_id: &str, word: &str, rest: &[&str]) -> Vec<u8> {
    if word == "raw" {
        return from_hex(rest[0]);
    }
    let fields = rest.first().copied().unwrap_or("-");
    let body = unescape(&rest.get(1..).unwrap_or_default().join(" "));
    format!("{request_id} {word} {fields} {}\r\n{body}\r\n", body.len()).into_bytes()
}

/// The index, from 0, of the engine that scripts call `e1`, `e2` and so on.
fn engine_index(engine: &str) -> usize {
    engine[1..].parse::<usize>().expect("engine") - 1
}

/// The label of an attempt, without the idempotency key that may follow it.
fn label_of(text: &str) -> String {
    text.split(' ').next().unwrap_or_default().to_owned()
}

/// The label in the SQL comment of a statement, and whether the request is non-idempotent.
pub(crate) fn parse_statement_label(statement: &str) -> (String, bool) {
    let label = statement
        .rsplit("-- ")
        .next()
        .unwrap_or_default()
        .to_owned();
    (label, statement.starts_with("INSERT"))
}
