//! Whether this program is to have clients: a state of the node, which the fronts follow and operations set.

use tokio::sync::watch;

/// What has been said so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct State {
    /// It can serve: its listeners, its core and its list are up.
    pub(crate) serving: bool,
    /// Staff sent its clients away.
    pub(crate) drained: bool,
    /// It ends as planned.
    pub(crate) ending: bool,
    /// Another process accepts clients on the same socket, so this one does no more.
    pub(crate) handed: bool,
}

impl State {
    /// Whether clients are to come.
    pub(crate) fn fit(self) -> bool {
        self.serving && !self.leaving()
    }

    /// Whether clients are to go. What still arrives is served.
    pub(crate) fn leaving(self) -> bool {
        self.drained || self.ending
    }
}

/// The one place where the state is held.
pub(crate) struct Lifecycle(watch::Sender<State>);

impl Lifecycle {
    pub(crate) fn new() -> Lifecycle {
        Lifecycle(watch::channel(State::default()).0)
    }

    pub(crate) fn now(&self) -> State {
        *self.0.borrow()
    }

    pub(crate) fn fit(&self) -> bool {
        self.now().fit()
    }

    pub(crate) fn set(&self, change: impl FnOnce(&mut State)) {
        self.0.send_modify(change);
    }

    pub(crate) fn follow(&self) -> watch::Receiver<State> {
        self.0.subscribe()
    }
}
