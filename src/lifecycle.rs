//! Whether this node accepts clients: one state, set by the node and by on-call staff, followed by the front ends.

use tokio::sync::watch;

/// What has been decided so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct LifecycleState {
    /// The start is complete: listeners, core and endpoint list are up.
    pub(crate) serving: bool,
    /// On-call staff sent the clients away.
    pub(crate) drained: bool,
    /// A graceful shutdown has begun.
    pub(crate) shutting_down: bool,
    /// Another process accepts clients on the same socket, so this one accepts no more.
    pub(crate) listener_handed_over: bool,
}

impl LifecycleState {
    /// Whether new clients are welcome, as the readiness check reports it.
    pub(crate) fn is_ready(self) -> bool {
        self.serving && !self.is_draining()
    }

    /// Whether clients are asked to leave. What still arrives is served.
    pub(crate) fn is_draining(self) -> bool {
        self.drained || self.shutting_down
    }
}

/// The owner of the state.
pub(crate) struct Lifecycle(watch::Sender<LifecycleState>);

impl Lifecycle {
    /// A node that has not finished its start.
    pub(crate) fn new() -> Lifecycle {
        Lifecycle(watch::channel(LifecycleState::default()).0)
    }

    pub(crate) fn current(&self) -> LifecycleState {
        *self.0.borrow()
    }

    /// Whether new clients are welcome now.
    pub(crate) fn is_ready(&self) -> bool {
        self.current().is_ready()
    }

    /// Changes the state and notifies its followers.
    pub(crate) fn update(&self, change: impl FnOnce(&mut LifecycleState)) {
        self.0.send_modify(change);
        let state = self.current();
        tracing::debug!(
            ready = state.is_ready(),
            drained = state.drained,
            shutting_down = state.shutting_down,
            listener_handed_over = state.listener_handed_over,
            "state of the workload manager"
        );
    }

    pub(crate) fn subscribe(&self) -> watch::Receiver<LifecycleState> {
        self.0.subscribe()
    }
}
