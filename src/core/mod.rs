//! The core: requests, their attempts, deadlines and timers, without wire types or sockets. It
//! drives the dispatcher (the decision module) and carries out its actions through one port for
//! clients and one for engines.
//!
//! Whatever the dispatcher, a client or an engine does, the core ensures that each request gets one
//! final answer, that it has at most one attempt in flight, and that a non-idempotent request is
//! not sent again unless every earlier attempt provably never ran. A cancelled attempt stays in
//! flight until its engine's actor has confirmed its end; the client is answered without waiting
//! for that.

mod actor;
mod admission;
mod attempt_end;
mod attempt_events;
mod attempt_start;
mod dispatch;
mod endpoint_list;
mod manual_ejection;
mod order_lease_admission;
mod order_leases;
mod ports;
mod requests;
mod retry;
mod roster;
mod spent_references;
mod timers;

pub use actor::{Clock, Handle, Mailbox, run};
pub use order_leases::{OrderLocks, PeerProcesses};
pub use ports::*;
pub use spent_references::SharedReferences;

use crate::decision::{
    Action, Dispatcher, Event, Millis, Outcome, RequestId, Settings, SettingsError,
};
use crate::limits::Limits;
use crate::metrics::Metrics;
use crate::retry_policy::{Policy, RequestAttributes};
use crate::subset::{Membership, Subset};
use attempt_events::AttemptRef;
use manual_ejection::EjectionCommand;
use order_leases::OrderLeases;
use requests::RequestTable;
use roster::Roster;
use spent_references::SpentReferences;
use std::sync::Arc;
use timers::{Timer, TimerQueue};

/// The core of one workload manager.
pub struct Core<E> {
    dispatcher: Dispatcher,
    engines: E,
    limits: Arc<Limits>,
    metrics: Arc<Metrics>,
    requests: RequestTable,
    /// References of non-idempotent requests that are over and may have run.
    spent_references: SpentReferences,
    /// The engines of the endpoint list.
    roster: Roster,
    /// The time at which the process ends, in Unix ms; `None` until a shutdown has started.
    shutdown_at: Option<Millis>,
    timers: TimerQueue,
    /// Buffer for the dispatcher's actions, reused for every event to avoid allocations.
    actions: Vec<Action>,
    /// The operators' retry policy. The default sets no limits.
    policy: Arc<Policy>,
    order_leases: OrderLeases,
    /// Whether a [`Timer::LeaseReview`] is pending.
    lease_review_pending: bool,
}

/// Sizes of the state of a core and its dispatcher, in entries.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StateSizes {
    /// Requests in the table.
    pub requests: usize,
    /// Clients' references in use.
    pub client_references: usize,
    /// Entries of the roster: engines with a slot, engines that wait for one, and addresses of
    /// engines.
    pub roster: usize,
    /// Pending timers.
    pub timers: usize,
    /// Sizes that [`Dispatcher::state_sizes`] returns: requests, requests that wait, order keys and
    /// engines.
    pub dispatcher: [usize; 4],
}

impl<E: EnginePort> Core<E> {
    /// Creates a core with a new dispatcher. Returns an error if the settings contradict each
    /// other.
    pub fn new(
        settings: Settings,
        seed: u64,
        engines: E,
        limits: Arc<Limits>,
        metrics: Arc<Metrics>,
    ) -> Result<Self, SettingsError> {
        let membership = Membership::from(&settings);
        let subset = Subset::new(limits.subset_engines, membership);
        let core = Core {
            dispatcher: Dispatcher::new(settings, seed)?,
            engines,
            roster: Roster::new(limits.engines, subset),
            spent_references: SpentReferences::new(limits.spent_references),
            limits,
            metrics,
            requests: RequestTable::default(),
            shutdown_at: None,
            timers: TimerQueue::default(),
            actions: Vec::new(),
            policy: Arc::default(),
            order_leases: OrderLeases::default(),
            lease_review_pending: false,
        };
        core.check_membership(membership);
        Ok(core)
    }

    /// Sets the operators' retry policy.
    #[must_use]
    pub fn with_policy(mut self, policy: Arc<Policy>) -> Self {
        self.policy = policy;
        self
    }

    /// Starts the core. Must be called before the first message; the dispatcher sets its first
    /// timers.
    pub fn start(&mut self, now: Millis) {
        self.start_order_leases(now);
        self.notify_dispatcher(now, Event::Started);
    }

    /// Number of requests that have no final answer yet.
    pub fn open_requests(&self) -> usize {
        self.metrics.requests_open.get() as usize
    }

    /// Sizes of all state that grows with requests, engines and timers.
    pub fn state_sizes(&self) -> StateSizes {
        StateSizes {
            requests: self.requests.len(),
            client_references: self.requests.client_reference_count(),
            roster: self.roster.state_size(),
            timers: self.timers.len(),
            dispatcher: self.dispatcher.state_sizes(),
        }
    }

    /// Handles one message of the mailbox.
    pub fn handle(&mut self, now: Millis, message: CoreMessage) {
        match message {
            CoreMessage::Request(accepted) => self.accept_request(now, accepted),
            CoreMessage::ClientDisconnected(id) => self.client_disconnected(now, id),
            CoreMessage::EndpointList(event) => self.update_endpoint_list(now, event),
            CoreMessage::Settings { settings, policy } => {
                if let Some(settings) = settings {
                    self.apply_settings(now, settings);
                }
                self.apply_policy(policy);
            }
            CoreMessage::Attempt {
                engine,
                id,
                attempt,
                load_report,
                event,
            } => {
                let source = AttemptRef {
                    id,
                    attempt,
                    engine,
                };
                self.handle_attempt_event(now, source, load_report, event);
            }
        }
    }

    /// Handles a priority message, which does not wait behind the messages of the mailbox.
    pub fn handle_priority(&mut self, now: Millis, message: PriorityMessage) {
        match message {
            PriorityMessage::ShutdownDeadline(deadline_ms) => {
                self.set_shutdown_deadline(deadline_ms)
            }
            PriorityMessage::PeerProcesses(capacity_divisor) => {
                self.check_peer_processes(now);
                self.notify_dispatcher(now, Event::PeerProcesses { capacity_divisor });
            }
            PriorityMessage::ManualEjection {
                engine,
                ejected,
                at_ms,
                from_peer,
                reply,
            } => {
                let command = EjectionCommand {
                    engine,
                    ejected,
                    at_ms,
                    from_peer,
                };
                // An error is ignored: the sender of the command may no longer wait for the reply.
                let _ = reply.send(self.apply_manual_ejection(now, &command));
            }
        }
    }

    fn set_shutdown_deadline(&mut self, deadline_ms: Millis) {
        self.shutdown_at = Some(deadline_ms);
        for id in self.requests.ids() {
            self.set_timer(deadline_ms, Timer::RequestDeadline(id));
        }
    }
}

#[cfg(test)]
pub(crate) mod tests;
