//! The state that determines whether this node accepts clients. The node and on-call staff change
//! it; the front ends subscribe to it.

use tokio::sync::watch;

/// The state of a node, as flags that the node and on-call staff set.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct LifecycleState {
    /// The peer process is told that this one accepts clients. That is so a moment later, when the
    /// peer has read it.
    pub(crate) announced: bool,
    /// Startup is complete: the listeners and the core are running, and the core has an endpoint
    /// list.
    pub(crate) started: bool,
    /// On-call staff have drained the node, so that its client connections are closed.
    pub(crate) drained: bool,
    /// A graceful shutdown has begun.
    pub(crate) shutting_down: bool,
    /// Another process accepts clients on the same socket, so this process does not accept any
    /// more.
    pub(crate) listener_handed_over: bool,
}

impl LifecycleState {
    /// Returns whether the node is ready for new clients. The readiness check reports this value.
    pub(crate) fn is_ready(self) -> bool {
        self.started && !self.is_draining()
    }

    /// Returns whether client connections are drained: each one that has sent a call is closed as
    /// soon as it has no open request. Requests that still arrive are served.
    pub(crate) fn is_draining(self) -> bool {
        self.drained || self.shutting_down
    }
}

/// Owns the state and notifies its subscribers of changes.
pub(crate) struct Lifecycle(watch::Sender<LifecycleState>);

impl Lifecycle {
    /// Creates the state of a node whose startup is not complete.
    pub(crate) fn new() -> Lifecycle {
        Lifecycle(watch::channel(LifecycleState::default()).0)
    }

    pub(crate) fn current(&self) -> LifecycleState {
        *self.0.borrow()
    }

    /// Returns whether the node is ready for new clients now.
    pub(crate) fn is_ready(&self) -> bool {
        self.current().is_ready()
    }

    /// Changes the state and notifies its subscribers.
    pub(crate) fn update(&self, change: impl FnOnce(&mut LifecycleState)) {
        self.0.send_modify(change);
        let state = self.current();
        tracing::debug!(
            ready = state.is_ready(),
            drained = state.drained,
            shutting_down = state.shutting_down,
            listener_handed_over = state.listener_handed_over,
            "lifecycle state updated"
        );
    }

    pub(crate) fn subscribe(&self) -> watch::Receiver<LifecycleState> {
        self.0.subscribe()
    }
}
