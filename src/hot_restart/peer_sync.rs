//! The actor that exchanges state with the peer process. It records the manual ejections of this
//! process, and reports to the core the peer's manual ejections and whether the peer is running.

use super::peer_process::{OwnState, PeerState};
use super::state_store::StateStore;
use super::stored_state::ManualEjection;
use crate::core::Handle;
use crate::decision::EngineId;
use crate::lifecycle::{Lifecycle, LifecycleState};
use crate::limits::{Limits, PeerUse};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{MissedTickBehavior, interval, timeout};

/// While both processes run, the successor divides its budget on engines that are warming up by
/// this number, so it uses three quarters of the budget. The old process stops accepting requests
/// as soon as the successor is ready, and its load on these engines falls from then on, so the
/// successor receives nearly all new requests.
const SUCCESSOR_CAPACITY_DIVISOR: f64 = 4.0 / 3.0;

/// The divisor of the process that is being replaced: it uses one quarter of the budget.
const PREDECESSOR_CAPACITY_DIVISOR: f64 = 4.0;

/// The divisor of a process without a running peer.
const SOLE_CAPACITY_DIVISOR: f64 = 1.0;

/// A request to record a manual ejection, or the return of an engine to service.
pub(crate) struct RecordRequest {
    engine: EngineId,
    ejection: ManualEjection,
    /// Notified when the store has tried to write the ejection.
    done: oneshot::Sender<()>,
}

/// Which of two processes this one is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Role {
    /// The peer was running when this process started.
    Successor,
    /// The peer started later, or the next one will.
    Predecessor,
}

/// The actor that exchanges state with the peer process. It owns the store and reports to the core.
pub(crate) struct PeerSync {
    store: StateStore,
    core: Handle,
    limits: Arc<Limits>,
    lifecycle: watch::Receiver<LifecycleState>,
    /// The peer as the core and the limits know it.
    peer: PeerState,
    role: Role,
}

impl PeerSync {
    /// Creates the actor. It does nothing before [`PeerSync::synchronize`] or [`PeerSync::run`] is
    /// called.
    pub(crate) fn new(
        store: StateStore,
        core: Handle,
        limits: Arc<Limits>,
        lifecycle: &Lifecycle,
    ) -> Self {
        let role = if store.peer_at_start().is_running() {
            Role::Successor
        } else {
            Role::Predecessor
        };
        PeerSync {
            store,
            core,
            limits,
            lifecycle: lifecycle.subscribe(),
            peer: PeerState::NotRunning,
            role,
        }
    }

    /// Records the manual ejections that are requested and polls for changes of the peer, until the
    /// program exits.
    pub(crate) async fn run(mut self, mut requests: mpsc::Receiver<RecordRequest>) {
        let mut poll_timer = interval(self.limits.state_poll_interval);
        poll_timer.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                Ok(()) = self.lifecycle.changed() => self.show_own_state(),
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
        // The send fails if the caller has stopped waiting, which is harmless.
        let _ = done.send(());
    }

    /// Reports to the core what the peer process has changed since the last call. Also retries a
    /// failed write of the stored state.
    pub(crate) async fn synchronize(&mut self) {
        self.show_own_state();
        self.report_peer_presence().await;
        self.store.retry_failed_write(self.core.now()).await;
        for (engine, ejection) in self.store.take_peer_changes(self.core.now()) {
            let decision_time_ms = ejection.decided_at_ms;
            // An engine that is returned to service begins with slow start. The core applies slow
            // start only to an engine that was ejected, so the engine is ejected first.
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

    /// Shows the peer whether this process accepts clients, and how many of them it still has if it
    /// does not any more.
    fn show_own_state(&mut self) {
        let lifecycle = *self.lifecycle.borrow_and_update();
        let client_connections = self.store.metrics().client_connections_open.get() as usize;
        self.store.set_own_state(if lifecycle.listener_handed_over {
            OwnState::Closing { client_connections }
        } else if lifecycle.announced {
            OwnState::Serving
        } else {
            OwnState::Starting
        });
    }

    /// Applies a change of the peer process to the limits, and reports it to the core. A peer that
    /// does not accept clients yet uses no share of the limits.
    async fn report_peer_presence(&mut self) {
        let peer = self.store.peer_state();
        let earlier = std::mem::replace(&mut self.peer, peer);
        if peer == earlier {
            return;
        }
        if peer.is_another_peer(earlier) || !peer.is_running() {
            self.role = Role::Predecessor;
        }
        self.limits.set_peer_use(peer.peer_use());
        let is_running_on =
            peer.is_running() && earlier.is_running() && !peer.is_another_peer(earlier);
        if is_running_on && is_using(peer) == is_using(earlier) {
            return;
        }
        let metrics = self.store.metrics();
        metrics.peer_processes.set(usize::from(peer.is_running()));
        let capacity_divisor = self.capacity_divisor();
        self.core.set_peer_processes(capacity_divisor).await;
        log_change(earlier, peer);
    }

    /// Returns the divisor of this process's budget on engines that are warming up.
    fn capacity_divisor(&self) -> f64 {
        match self.role {
            _ if !is_using(self.peer) => SOLE_CAPACITY_DIVISOR,
            Role::Successor => SUCCESSOR_CAPACITY_DIVISOR,
            Role::Predecessor => PREDECESSOR_CAPACITY_DIVISOR,
        }
    }
}

/// Whether the peer uses engines and limits: it accepts clients, or has done so.
fn is_using(peer: PeerState) -> bool {
    peer.peer_use() != PeerUse::Nothing
}

fn log_change(earlier: PeerState, peer: PeerState) {
    if earlier.is_running() && (!peer.is_running() || peer.is_another_peer(earlier)) {
        tracing::info!("peer process ended");
    }
    if peer.is_running() && (!earlier.is_running() || peer.is_another_peer(earlier)) {
        tracing::info!("peer process started");
    }
    if is_using(peer) {
        tracing::info!("peer process accepts clients");
    }
}

/// Sends manual ejections to the actor that records them.
#[derive(Clone)]
pub(crate) struct StateWriter {
    requests: mpsc::Sender<RecordRequest>,
    write_timeout: Duration,
}

impl StateWriter {
    /// Creates a writer and the mailbox for [`PeerSync::run`]. If the mailbox is dropped, manual
    /// ejections are not recorded.
    pub(crate) fn new(limits: &Limits) -> (StateWriter, mpsc::Receiver<RecordRequest>) {
        let (requests, mailbox) = mpsc::channel(limits.admin_connections);
        let writer = StateWriter {
            requests,
            write_timeout: limits.state_write_timeout,
        };
        (writer, mailbox)
    }

    /// Records a manual ejection and waits until it is written, up to the write timeout. Without a
    /// shared folder, or if the write takes too long, the method returns all the same, and the
    /// ejection may apply to this process only.
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

#[cfg(test)]
mod tests;
