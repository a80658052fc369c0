//! The actor that keeps this process and its peer in agreement: it records this process's manual ejections, and passes
//! the peer's ejections, start and end to the core.

use super::state_store::StateStore;
use super::stored_state::ManualEjection;
use crate::core::Handle;
use crate::decision::EngineId;
use crate::limits::Limits;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{MissedTickBehavior, interval, timeout};

/// This process's capacity is one part in so many while the peer that it replaces is running. The old process stops
/// accepting as soon as the successor is ready and its load on warming engines falls from then on, so the successor
/// has nearly all new requests.
const SUCCESSOR_CAPACITY_DIVISOR: f64 = 4.0 / 3.0;

/// The same for the process that is being replaced.
const PREDECESSOR_CAPACITY_DIVISOR: f64 = 4.0;

/// The divisor of a process that has no peer.
const SOLE_CAPACITY_DIVISOR: f64 = 1.0;

/// A manual ejection to be recorded.
pub(crate) struct RecordRequest {
    engine: EngineId,
    ejection: ManualEjection,
    /// Notified once it is written.
    done: oneshot::Sender<()>,
}

/// The actor. It owns the store and reports to the core.
pub(crate) struct PeerSync {
    store: StateStore,
    core: Handle,
    limits: Arc<Limits>,
}

impl PeerSync {
    /// An actor on this store. It does nothing before [`PeerSync::synchronize`] or [`PeerSync::run`].
    pub(crate) fn new(store: StateStore, core: Handle, limits: Arc<Limits>) -> Self {
        PeerSync {
            store,
            core,
            limits,
        }
    }

    /// Records what arrives and looks for changes of the peer, until the program ends.
    pub(crate) async fn run(mut self, mut requests: mpsc::Receiver<RecordRequest>) {
        let mut poll_timer = interval(self.limits.state_poll_interval);
        poll_timer.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                Some(request) = requests.recv() => self.record(request).await,
                _ = poll_timer.tick() => self.synchronize().await,
            }
        }
    }

    async fn record(&mut self, request: RecordRequest) {
        let RecordRequest {
            engine,
            ejection,
            done,
        } = request;
        self.store.record(engine, ejection).await;
        // The caller may have given up waiting.
        let _ = done.send(());
    }

    /// Passes to the core what has changed at the peer since the last call.
    pub(crate) async fn synchronize(&mut self) {
        self.report_peer_presence().await;
        self.store.retry_failed_write(self.core.now()).await;
        for (engine, ejection) in self.store.take_peer_changes(self.core.now()) {
            let decision_time_ms = ejection.decided_at_ms;
            // An engine that was returned to service begins with slow start. The core starts that where an ejected
            // engine returns, so it is ejected first.
            if !ejection.ejected {
                self.core
                    .set_manual_ejection(engine, true, decision_time_ms, true)
                    .await;
            }
            self.core
                .set_manual_ejection(engine, ejection.ejected, decision_time_ms, true)
                .await;
        }
    }

    /// Reports the start or the end of the peer process.
    async fn report_peer_presence(&self) {
        let running = self.store.peer_is_running();
        let was_running = self.limits.set_peer_process(running);
        if was_running == running {
            return;
        }
        let metrics = self.store.metrics();
        metrics.peer_processes.set(usize::from(running));
        self.core
            .set_peer_processes(self.capacity_divisor(running))
            .await;
        let change = if running { "started" } else { "ended" };
        tracing::info!("peer process {change}");
    }

    fn capacity_divisor(&self, peer_is_running: bool) -> f64 {
        if !peer_is_running {
            SOLE_CAPACITY_DIVISOR
        } else if self.store.is_successor() {
            SUCCESSOR_CAPACITY_DIVISOR
        } else {
            PREDECESSOR_CAPACITY_DIVISOR
        }
    }
}

/// Sends manual ejections to the actor that records them.
#[derive(Clone)]
pub(crate) struct StateWriter {
    requests: mpsc::Sender<RecordRequest>,
    write_timeout: Duration,
}

impl StateWriter {
    /// A writer, and the mailbox to hand to [`PeerSync::run`]. Where the mailbox is dropped, nothing is recorded.
    pub(crate) fn new(limits: &Limits) -> (StateWriter, mpsc::Receiver<RecordRequest>) {
        let (requests, mailbox) = mpsc::channel(limits.admin_connections);
        let writer = StateWriter {
            requests,
            write_timeout: limits.state_write_timeout,
        };
        (writer, mailbox)
    }

    /// Records a manual ejection and waits until it is written. Without a shared folder, or where writing takes too
    /// long, it holds for this process alone.
    pub(crate) async fn record(&self, engine: EngineId, ejection: ManualEjection) {
        let _ = timeout(self.write_timeout, self.send(engine, ejection)).await;
    }

    async fn send(&self, engine: EngineId, ejection: ManualEjection) {
        let (done, written) = oneshot::channel();
        let request = RecordRequest {
            engine,
            ejection,
            done,
        };
        if self.requests.send(request).await.is_ok() {
            let _ = written.await;
        }
    }
}
