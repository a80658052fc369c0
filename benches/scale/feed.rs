//! A list feed that speaks the published frames, on a thread of its own: what it costs can be sent from what its
//! followers cost.

use super::row::ScaleError;
use super::server_load::{Load, ServerTotals, Timeline};
use bytes::Bytes;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, mpsc};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{Instant as TokioInstant, interval, interval_at};
use workload_manager::node_config::{EndpointListEvent, EngineRecord};
use workload_manager::{EngineState, ListUpdateKind};

/// Bytes of one record.
pub(super) const RECORD_BYTES: usize = 27;
/// Bytes of a frame before its records: length, number and kind.
pub(super) const FRAME_HEAD_BYTES: usize = 13;
/// Interval of the empty frames that keep an idle connection alive.
pub(super) const IDLE: Duration = Duration::from_secs(1);
const KIND_EMPTY: u8 = 0;
const KIND_FULL: u8 = 1;
const KIND_CHANGES: u8 = 2;
/// Connections that wait to be accepted.
const BACKLOG: u32 = 4_096;
/// Longest wait for its thread to respond.
const THREAD_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval at which its load is sampled.
const SAMPLE: Duration = Duration::from_millis(10);

/// One event as a frame: its length, number, kind and records.
pub(super) fn frame(event: &EndpointListEvent) -> Bytes {
    let kind = match event.kind {
        ListUpdateKind::Delta => KIND_CHANGES,
        _ => KIND_FULL,
    };
    let mut payload = Vec::with_capacity(event.records.len() * RECORD_BYTES);
    event
        .records
        .iter()
        .for_each(|line| encode_record(line, &mut payload));
    frame_of(event.number, kind, &payload)
}

fn frame_of(number: u64, kind: u8, payload: &[u8]) -> Bytes {
    let length = FRAME_HEAD_BYTES - size_of::<u32>() + payload.len();
    let mut frame = (length as u32).to_be_bytes().to_vec();
    frame.extend(number.to_be_bytes());
    frame.push(kind);
    frame.extend(payload);
    frame.into()
}

fn encode_record(line: &EngineRecord, into: &mut Vec<u8>) {
    let SocketAddr::V4(address) = line.address else {
        return;
    };
    let entry = &line.entry;
    into.extend(entry.engine.addr);
    into.extend(address.ip().octets());
    into.extend(address.port().to_be_bytes());
    into.push(match entry.state {
        EngineState::Ready => 0,
        EngineState::Draining => 1,
        EngineState::Removed => 2,
    });
    into.push(entry.zone);
    into.push(entry.machine_type as u8);
    into.extend(entry.cell.to_be_bytes());
    into.extend(((entry.nominal_capacity * 1000.0) as u32).to_be_bytes());
    into.extend((entry.started_at_ms as u64).to_be_bytes());
}

/// Whether the feed can be reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Presence {
    Listening,
    Away,
    Ended,
}

#[derive(Default)]
struct Counted {
    connections: AtomicU64,
    frames: AtomicU64,
    bytes: AtomicU64,
}

struct Shared {
    idle: Duration,
    /// The events in order, with their numbers.
    log: Mutex<Vec<(u64, Bytes)>>,
    /// How many there are.
    published: watch::Sender<usize>,
    counted: Counted,
    timeline: Mutex<Timeline>,
}

fn lock<T>(of: &Mutex<T>) -> MutexGuard<'_, T> {
    of.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Shared {
    fn totals(&self) -> ServerTotals {
        let Counted {
            connections,
            frames,
            bytes,
        } = &self.counted;
        let get = |count: &AtomicU64| count.load(Ordering::Relaxed);
        ServerTotals {
            connections: get(connections),
            frames: get(frames),
            bytes: get(bytes),
        }
    }

    fn wrote(&self, bytes: usize) {
        self.counted.frames.fetch_add(1, Ordering::Relaxed);
        self.counted
            .bytes
            .fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// The frames behind the first `sent` ones.
    fn since(&self, sent: usize) -> Vec<Bytes> {
        lock(&self.log)
            .iter()
            .skip(sent)
            .map(|(_, frame)| frame.clone())
            .collect()
    }
}

/// A feed at work; it ends when this is dropped.
pub(super) struct Feed {
    /// Where it listens, when it is not away.
    pub address: SocketAddr,
    shared: Arc<Shared>,
    presence: watch::Sender<Presence>,
    settled: mpsc::Receiver<Presence>,
    thread: Option<JoinHandle<()>>,
}

impl Feed {
    /// A feed whose first event is this full list. `idle` is the interval of its empty frames.
    pub(super) fn start(list: &EndpointListEvent, idle: Duration) -> Result<Feed, ScaleError> {
        let shared = Arc::new(Shared {
            idle,
            log: Mutex::new(vec![(list.number, frame(list))]),
            published: watch::Sender::new(1),
            counted: Counted::default(),
            timeline: Mutex::default(),
        });
        let (presence, present) = watch::channel(Presence::Listening);
        let (settle, settled) = mpsc::channel();
        let (bound, address) = mpsc::channel();
        let serving = shared.clone();
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let thread = std::thread::Builder::new()
            .name("feed".to_owned())
            .spawn(move || {
                runtime.block_on(async {
                    let sampler = tokio::spawn(sample(serving.clone()));
                    if let Err(e) = serve(serving, present, bound, settle).await {
                        eprintln!("scale: feed: {e}");
                    }
                    sampler.abort();
                });
            })?;
        let gone = |_| ScaleError::CheckFailed("the feed did not start".to_owned());
        let address = address.recv().map_err(gone)?;
        Ok(Feed {
            address,
            shared,
            presence,
            settled,
            thread: Some(thread),
        })
    }

    /// Publishes one more event to present and later followers; returns the time of publication.
    pub(super) fn publish(&self, event: &EndpointListEvent) -> Instant {
        let frame = frame(event);
        let at = Instant::now();
        let mut log = lock(&self.shared.log);
        log.push((event.number, frame));
        self.shared.published.send_replace(log.len());
        at
    }

    /// Closes the listener and all connections.
    pub(super) fn stop_listening(&self) -> Result<(), ScaleError> {
        self.set_presence(Presence::Away)
    }

    /// Listens again at the same address; returns when it did.
    pub(super) fn resume_listening(&self) -> Result<Instant, ScaleError> {
        self.set_presence(Presence::Listening)
            .map(|()| Instant::now())
    }

    fn set_presence(&self, presence: Presence) -> Result<(), ScaleError> {
        self.presence.send_replace(presence);
        let settled = self.settled.recv_timeout(THREAD_TIMEOUT);
        let broken = || ScaleError::CheckFailed(format!("the feed did not become {presence:?}"));
        settled
            .ok()
            .filter(|now| *now == presence)
            .map(|_| ())
            .ok_or_else(broken)
    }

    /// What it has done so far.
    pub(super) fn totals(&self) -> ServerTotals {
        self.shared.totals()
    }

    /// Its load over a time. It waits for the sample that ends the time.
    pub(super) fn load(&self, from: Instant, until: Instant) -> Result<Load, ScaleError> {
        self.sampled(until)?;
        let load = lock(&self.shared.timeline).load(from, until);
        load.ok_or_else(|| ScaleError::CheckFailed("no two samples of the feed's load".to_owned()))
    }

    /// Processor time of its thread by the first sample after this time.
    pub(super) fn processor(&self, at: Instant) -> Result<Duration, ScaleError> {
        self.sampled(at)?;
        Ok(lock(&self.shared.timeline).processor())
    }

    fn sampled(&self, at: Instant) -> Result<(), ScaleError> {
        let patience = Instant::now() + THREAD_TIMEOUT;
        while !lock(&self.shared.timeline).reaches(at) {
            if Instant::now() > patience {
                return Err(ScaleError::CheckFailed(
                    "the feed's load is not sampled".to_owned(),
                ));
            }
            std::thread::sleep(SAMPLE);
        }
        Ok(())
    }
}

impl Drop for Feed {
    fn drop(&mut self) {
        self.presence.send_replace(Presence::Ended);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn listen(at: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(at)?;
    socket.listen(BACKLOG)
}

async fn serve(
    shared: Arc<Shared>,
    mut presence: watch::Receiver<Presence>,
    bound: mpsc::Sender<SocketAddr>,
    settle: mpsc::Sender<Presence>,
) -> std::io::Result<()> {
    let mut listener = listen((Ipv4Addr::LOCALHOST, 0).into())?;
    let address = listener.local_addr()?;
    let _ = bound.send(address);
    loop {
        accept_all(&listener, &shared, &mut presence).await?;
        drop(listener);
        let now = *presence.borrow_and_update();
        let _ = settle.send(now);
        if now == Presence::Ended {
            return Ok(());
        }
        let Ok(back) = presence
            .wait_for(|now| *now != Presence::Away)
            .await
            .map(|now| *now)
        else {
            return Ok(());
        };
        if back == Presence::Ended {
            return Ok(());
        }
        listener = listen(address)?;
        let _ = settle.send(Presence::Listening);
    }
}

/// Accepts until the presence changes; then every connection is closed.
async fn accept_all(
    listener: &TcpListener,
    shared: &Arc<Shared>,
    presence: &mut watch::Receiver<Presence>,
) -> std::io::Result<()> {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            _ = presence.wait_for(|now| *now != Presence::Listening) => return Ok(()),
            accepted = listener.accept() => {
                shared.counted.connections.fetch_add(1, Ordering::Relaxed);
                connections.spawn(serve_follower(accepted?.0, shared.clone()));
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

/// Writes to one follower all events after its last one, and an empty frame at each interval.
async fn serve_follower(mut stream: TcpStream, shared: Arc<Shared>) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut published = shared.published.subscribe();
    let last = stream.read_u64().await?;
    let mut sent = lock(&shared.log).partition_point(|(number, _)| *number <= last);
    let mut idle = interval_at(TokioInstant::now() + shared.idle, shared.idle);
    loop {
        for frame in shared.since(sent) {
            stream.write_all(&frame).await?;
            shared.wrote(frame.len());
            sent += 1;
        }
        tokio::select! {
            changed = published.changed() => if changed.is_err() { return Ok(()) },
            _ = idle.tick() => {
                let empty = frame_of(sent as u64, KIND_EMPTY, &[]);
                stream.write_all(&empty).await?;
                shared.wrote(empty.len());
            }
        }
    }
}

async fn sample(shared: Arc<Shared>) {
    let mut due = interval(SAMPLE);
    loop {
        due.tick().await;
        let totals = shared.totals();
        lock(&shared.timeline).record(totals);
    }
}
