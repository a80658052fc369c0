//! A fake discovery feed that sends the published binary frames. It runs on its own thread, so that
//! its processor time is measured apart from that of its followers, the managers.

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

/// Bytes of one engine record.
pub(super) const RECORD_BYTES: usize = 27;
/// Bytes of a frame before its records: length, number and kind.
pub(super) const FRAME_HEADER_BYTES: usize = 13;
/// Interval of the heartbeats, empty frames that keep an idle connection alive.
pub(super) const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
const KIND_HEARTBEAT: u8 = 0;
const KIND_FULL_LIST: u8 = 1;
const KIND_CHANGES: u8 = 2;
/// Maximum number of connections that wait to be accepted.
const BACKLOG: u32 = 4_096;
/// Longest wait for the feed's thread to respond.
const THREAD_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval at which the feed's load is sampled.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(10);

/// Encodes an event as a frame: its length, number, kind and records.
pub(super) fn frame(event: &EndpointListEvent) -> Bytes {
    let kind = match event.kind {
        ListUpdateKind::Delta => KIND_CHANGES,
        _ => KIND_FULL_LIST,
    };
    let mut payload = Vec::with_capacity(event.records.len() * RECORD_BYTES);
    event
        .records
        .iter()
        .for_each(|record| encode_record(record, &mut payload));
    encode_frame(event.number, kind, &payload)
}

fn encode_frame(number: u64, kind: u8, payload: &[u8]) -> Bytes {
    let length = FRAME_HEADER_BYTES - size_of::<u32>() + payload.len();
    let mut frame = (length as u32).to_be_bytes().to_vec();
    frame.extend(number.to_be_bytes());
    frame.push(kind);
    frame.extend(payload);
    frame.into()
}

fn encode_record(record: &EngineRecord, payload: &mut Vec<u8>) {
    let SocketAddr::V4(address) = record.address else {
        return;
    };
    let entry = &record.entry;
    payload.extend(entry.engine.addr);
    payload.extend(address.ip().octets());
    payload.extend(address.port().to_be_bytes());
    payload.push(match entry.state {
        EngineState::Ready => 0,
        EngineState::Draining => 1,
        EngineState::Removed => 2,
    });
    payload.push(entry.zone);
    payload.push(entry.machine_type as u8);
    payload.extend(entry.cell.to_be_bytes());
    payload.extend(((entry.nominal_capacity * 1000.0) as u32).to_be_bytes());
    payload.extend((entry.started_at_ms as u64).to_be_bytes());
}

/// Whether followers can connect to the feed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ListenerState {
    Listening,
    NotListening,
    Ended,
}

#[derive(Default)]
struct FeedCounters {
    connections: AtomicU64,
    frames: AtomicU64,
    bytes: AtomicU64,
}

struct Shared {
    heartbeat_interval: Duration,
    /// The frames of all events in order, with the events' numbers.
    log: Mutex<Vec<(u64, Bytes)>>,
    /// Number of events in `log`.
    published: watch::Sender<usize>,
    counters: FeedCounters,
    timeline: Mutex<Timeline>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Shared {
    fn totals(&self) -> ServerTotals {
        let FeedCounters {
            connections,
            frames,
            bytes,
        } = &self.counters;
        let get = |count: &AtomicU64| count.load(Ordering::Relaxed);
        ServerTotals {
            connections: get(connections),
            frames: get(frames),
            bytes: get(bytes),
        }
    }

    fn record_frame(&self, bytes: usize) {
        self.counters.frames.fetch_add(1, Ordering::Relaxed);
        self.counters
            .bytes
            .fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// The frames after the first `sent` ones.
    fn frames_after(&self, sent: usize) -> Vec<Bytes> {
        lock(&self.log)
            .iter()
            .skip(sent)
            .map(|(_, frame)| frame.clone())
            .collect()
    }
}

/// A running feed; it ends when this is dropped.
pub(super) struct Feed {
    /// Address at which it listens, unless it has been stopped.
    pub address: SocketAddr,
    shared: Arc<Shared>,
    state: watch::Sender<ListenerState>,
    confirmations: mpsc::Receiver<ListenerState>,
    thread: Option<JoinHandle<()>>,
}

impl Feed {
    /// Starts a feed whose first event is this full list.
    pub(super) fn start(
        list: &EndpointListEvent,
        heartbeat_interval: Duration,
    ) -> Result<Feed, ScaleError> {
        let shared = Arc::new(Shared {
            heartbeat_interval,
            log: Mutex::new(vec![(list.number, frame(list))]),
            published: watch::Sender::new(1),
            counters: FeedCounters::default(),
            timeline: Mutex::default(),
        });
        let (state, state_receiver) = watch::channel(ListenerState::Listening);
        let (confirmation_sender, confirmations) = mpsc::channel();
        let (address_sender, address) = mpsc::channel();
        let thread_shared = shared.clone();
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let thread = std::thread::Builder::new()
            .name("feed".to_owned())
            .spawn(move || {
                runtime.block_on(async {
                    let sampler = tokio::spawn(sample(thread_shared.clone()));
                    if let Err(e) = serve(
                        thread_shared,
                        state_receiver,
                        address_sender,
                        confirmation_sender,
                    )
                    .await
                    {
                        eprintln!("scale: feed: {e}");
                    }
                    sampler.abort();
                });
            })?;
        let not_started = |_| ScaleError::CheckFailed("the feed did not start".to_owned());
        let address = address.recv().map_err(not_started)?;
        Ok(Feed {
            address,
            shared,
            state,
            confirmations,
            thread: Some(thread),
        })
    }

    /// Publishes an event to current and later followers; returns the time of publication.
    pub(super) fn publish(&self, event: &EndpointListEvent) -> Instant {
        let frame = frame(event);
        let published_at = Instant::now();
        let mut log = lock(&self.shared.log);
        log.push((event.number, frame));
        self.shared.published.send_replace(log.len());
        published_at
    }

    /// Closes the listener and all connections.
    pub(super) fn stop_listening(&self) -> Result<(), ScaleError> {
        self.set_state(ListenerState::NotListening)
    }

    /// Listens again at the same address; returns the time from which it does.
    pub(super) fn resume_listening(&self) -> Result<Instant, ScaleError> {
        self.set_state(ListenerState::Listening)
            .map(|()| Instant::now())
    }

    fn set_state(&self, state: ListenerState) -> Result<(), ScaleError> {
        self.state.send_replace(state);
        let confirmation = self.confirmations.recv_timeout(THREAD_TIMEOUT);
        let not_confirmed = || {
            ScaleError::CheckFailed(format!(
                "the feed did not reach the state {state:?} in time"
            ))
        };
        confirmation
            .ok()
            .filter(|now| *now == state)
            .map(|_| ())
            .ok_or_else(not_confirmed)
    }

    /// The feed's totals so far.
    pub(super) fn totals(&self) -> ServerTotals {
        self.shared.totals()
    }

    /// The feed's load from `from` to `until`. Waits for the first sample at or after `until`.
    pub(super) fn load(&self, from: Instant, until: Instant) -> Result<Load, ScaleError> {
        self.await_sample(until)?;
        let load = lock(&self.shared.timeline).load(from, until);
        load.ok_or_else(|| {
            ScaleError::CheckFailed("fewer than two samples of the feed's load".to_owned())
        })
    }

    /// Processor time of the feed's thread so far. Waits for a sample at or after `not_before`.
    pub(super) fn processor_time(&self, not_before: Instant) -> Result<Duration, ScaleError> {
        self.await_sample(not_before)?;
        Ok(lock(&self.shared.timeline).processor_time())
    }

    fn await_sample(&self, not_before: Instant) -> Result<(), ScaleError> {
        let deadline = Instant::now() + THREAD_TIMEOUT;
        while !lock(&self.shared.timeline).has_sample_since(not_before) {
            if Instant::now() > deadline {
                return Err(ScaleError::CheckFailed(
                    "the feed's load was not sampled in time".to_owned(),
                ));
            }
            std::thread::sleep(SAMPLE_INTERVAL);
        }
        Ok(())
    }
}

impl Drop for Feed {
    fn drop(&mut self) {
        self.state.send_replace(ListenerState::Ended);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

async fn serve(
    shared: Arc<Shared>,
    mut state: watch::Receiver<ListenerState>,
    address_sender: mpsc::Sender<SocketAddr>,
    confirmation_sender: mpsc::Sender<ListenerState>,
) -> std::io::Result<()> {
    let mut listener = listen((Ipv4Addr::LOCALHOST, 0).into())?;
    let address = listener.local_addr()?;
    let _ = address_sender.send(address);
    loop {
        accept_all(&listener, &shared, &mut state).await?;
        drop(listener);
        let current_state = *state.borrow_and_update();
        let _ = confirmation_sender.send(current_state);
        if current_state == ListenerState::Ended {
            return Ok(());
        }
        let Ok(next_state) = state
            .wait_for(|now| *now != ListenerState::NotListening)
            .await
            .map(|now| *now)
        else {
            return Ok(());
        };
        if next_state == ListenerState::Ended {
            return Ok(());
        }
        listener = listen(address)?;
        let _ = confirmation_sender.send(ListenerState::Listening);
    }
}

/// Accepts connections until the feed no longer listens, then closes all of them.
async fn accept_all(
    listener: &TcpListener,
    shared: &Arc<Shared>,
    state: &mut watch::Receiver<ListenerState>,
) -> std::io::Result<()> {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            _ = state.wait_for(|now| *now != ListenerState::Listening) => return Ok(()),
            accepted = listener.accept() => {
                shared.counters.connections.fetch_add(1, Ordering::Relaxed);
                connections.spawn(serve_follower(accepted?.0, shared.clone()));
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

/// Sends to one follower all events after the last one that it has, and a heartbeat at each
/// interval.
async fn serve_follower(mut stream: TcpStream, shared: Arc<Shared>) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut published = shared.published.subscribe();
    let last = stream.read_u64().await?;
    let mut sent = lock(&shared.log).partition_point(|(number, _)| *number <= last);
    let mut heartbeats = interval_at(
        TokioInstant::now() + shared.heartbeat_interval,
        shared.heartbeat_interval,
    );
    loop {
        for frame in shared.frames_after(sent) {
            stream.write_all(&frame).await?;
            shared.record_frame(frame.len());
            sent += 1;
        }
        tokio::select! {
            changed = published.changed() => if changed.is_err() { return Ok(()) },
            _ = heartbeats.tick() => {
                let heartbeat = encode_frame(sent as u64, KIND_HEARTBEAT, &[]);
                stream.write_all(&heartbeat).await?;
                shared.record_frame(heartbeat.len());
            }
        }
    }
}

async fn sample(shared: Arc<Shared>) {
    let mut ticker = interval(SAMPLE_INTERVAL);
    loop {
        ticker.tick().await;
        let totals = shared.totals();
        lock(&shared.timeline).record(totals);
    }
}
