//! The core: it knows no wire and no socket. It owns requests, attempts, deadlines and timers, drives the
//! decision module, and applies the module's actions through one port for clients and one for engines.
//!
//! Whatever the module or a peer does, the core sees to it that a request gets one final answer, that one
//! attempt at most is out for it, and that what may run once only is not sent again unless every earlier
//! attempt provably never ran. An attempt that is given up stays out until its engine's actor has proven it over;
//! the client is answered without waiting for that.

mod actor;
mod alarms;
mod endpoint_list;
mod ends;
mod leases;
mod narrow;
mod order;
mod ports;
mod roster;

pub use actor::{Clock, Handle, Mailbox, run};
pub use leases::{OrderLocks, PeerProcesses};
pub use ports::*;

use crate::attempt::{AttemptHistory, SentTo, never_ran};
use crate::decision::{
    Action, AttemptEnded, DedupScope, Dispatcher, EngineId, Event, Idempotency, LoadReport, Millis,
    Outcome, Request, RequestId, Settings, SettingsError,
};
use crate::limits::Limits;
use crate::metrics::Metrics;
use crate::retry_policy::{AttemptPolicy, Policy, RequestAttributes};
use crate::subset::{Membership, Subset};
use alarms::{DueTime, Timer};
use bytes::Bytes;
use leases::OrderLeases;
use roster::Roster;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet};
use std::sync::Arc;

struct RequestState {
    request: AcceptedRequest,
    history: AttemptHistory,
    streaming: bool,
    /// Its client has the final answer, or has left; it is held for the attempt that is not proven over.
    answered: bool,
    memory_mb: f64,
    priority: u8,
    /// What its policy allows, resolved when it was taken; a reload may lower its attempts.
    policy: AttemptPolicy,
    /// How, and where, its last attempt ended.
    last_end: Option<(Outcome, EngineId)>,
    /// An attempt that waits out its back-off: its number, engine and time-out.
    backoff: Option<(u16, EngineId, Option<Millis>)>,
    /// Reaches the attempt that is out, past its engine's mailbox.
    cancellation: CancellationFlag,
}

/// A repeat by key is written so much before engines may have forgotten the first, in ms.
const REPEAT_MARGIN_MS: Millis = 1.0;

/// The core of one workload manager.
pub struct Core<E> {
    gateway: Dispatcher,
    engines: E,
    limits: Arc<Limits>,
    metrics: Arc<Metrics>,
    requests: HashMap<RequestId, RequestState>,
    /// Clients' names of the requests that are open.
    client_references: HashSet<Bytes>,
    /// Bytes of their statements.
    statement_bytes: usize,
    /// The engines of the list.
    roster: Roster,
    /// When the process is ended, once that is known.
    shutdown_at: Option<Millis>,
    timers: BinaryHeap<Reverse<(DueTime, u64, Timer)>>,
    timers_set: u64,
    actions: Vec<Action>,
    /// The operators' policy of attempts; without their file it sets nothing.
    policy: Arc<Policy>,
    /// Leases on order keys, beside another process.
    order_leases: OrderLeases,
    /// Their alarm is armed.
    lease_review_set: bool,
}

impl<E: EnginePort> Core<E> {
    /// A core round a new module with these settings.
    pub fn new(
        settings: Settings,
        seed: u64,
        engines: E,
        limits: Arc<Limits>,
        metrics: Arc<Metrics>,
    ) -> Result<Self, SettingsError> {
        let membership = Membership::from(&settings);
        let core = Core {
            gateway: Dispatcher::new(settings, seed)?,
            engines,
            roster: Roster::new(
                limits.engines,
                Subset::new(limits.subset_engines, membership),
            ),
            limits,
            metrics,
            requests: HashMap::new(),
            client_references: HashSet::new(),
            statement_bytes: 0,
            shutdown_at: None,
            timers: BinaryHeap::new(),
            timers_set: 0,
            actions: Vec::new(),
            policy: Arc::default(),
            order_leases: OrderLeases::default(),
            lease_review_set: false,
        };
        core.check_membership(membership);
        Ok(core)
    }

    /// The same with the operators' policy of attempts.
    #[must_use]
    pub fn with_policy(mut self, policy: Arc<Policy>) -> Self {
        self.policy = policy;
        self
    }

    /// The first event: the module sets its timers.
    pub fn start(&mut self, now: Millis) {
        self.start_order_leases(now);
        self.notify_dispatcher(now, Event::Started);
    }

    /// Requests open now: those that owe an answer.
    pub fn open_requests(&self) -> usize {
        self.metrics.requests_open.get() as usize
    }

    /// How many entries are held for requests, engines and alarms: here, and in the module.
    pub fn state_sizes(&self) -> ([usize; 4], [usize; 4]) {
        let core = [
            self.requests.len(),
            self.client_references.len(),
            self.roster.state_size(),
            self.timers.len(),
        ];
        (core, self.gateway.state_sizes())
    }

    /// When the next alarm is due.
    pub fn next_timer(&self) -> Option<Millis> {
        self.timers.peek().map(|Reverse((at, ..))| at.0)
    }

    /// Runs the alarms that are due.
    pub fn run_due_timers(&mut self, now: Millis) {
        while let Some(Reverse((at, _, alarm))) = self
            .timers
            .peek()
            .copied()
            .filter(|Reverse((at, ..))| at.0 <= now)
        {
            self.timers.pop();
            match alarm {
                Timer::Dispatcher(token) => self.notify_dispatcher(now, Event::Timer { token }),
                Timer::RequestDeadline(id) => self.deadline_reached(now, id),
                Timer::CancellationCheck(id, attempt) => self.check_cancellation(now, id, attempt),
                Timer::SilenceCheck(id, attempt) => {
                    self.check_attempt_silence(now, id, attempt, at.0)
                }
                Timer::BackoffElapsed(id, attempt) => self.backoff_elapsed(now, id, attempt),
                Timer::AttemptTimeout(id, attempt) => self.attempt_timed_out(now, id, attempt),
                Timer::LeaseReview => self.review_order_leases(now),
            }
            // The module's timer comes often enough to publish what it believes.
            let ejected = self.gateway.ejected_engines();
            self.metrics.engines_ejected.set(ejected);
        }
    }

    /// Takes one input.
    #[expect(
        clippy::similar_names,
        clippy::too_many_lines,
        reason = "not split yet"
    )]
    pub fn handle(&mut self, now: Millis, input: CoreMessage) {
        match input {
            CoreMessage::Request(taken) => self.accept_request(now, taken),
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
                load_report: report,
                event: news,
            } => {
                let Some(open) = self.requests.get_mut(&id) else {
                    return;
                };
                let over = open.answered;
                let Some(out) = open.history.in_flight_as(attempt, Some(engine)) else {
                    return; // proven over before this came
                };
                out.last_heard_ms = now;
                let quitting = out.cancelling;
                match news {
                    AttemptEvent::Progress(Some(note)) if quitting.is_none() => self
                        .notify_dispatcher(
                            now,
                            Event::Progress {
                                id,
                                attempt,
                                progress: note,
                            },
                        ),
                    AttemptEvent::Progress(_) => {}
                    AttemptEvent::ResultStreaming(_) if over || quitting.is_some() => {}
                    AttemptEvent::ResultStreaming(body) => {
                        self.result_streaming(now, id, attempt, body)
                    }
                    // A good answer that crossed the cancellation is one all the same, as long as an answer is owed.
                    AttemptEvent::Ended {
                        outcome: Outcome::Ok,
                        measured_work_ms: billed_ms,
                        measured_memory_mb: billed_mb,
                        body,
                    } => self.attempt_succeeded(
                        now,
                        id,
                        attempt,
                        report,
                        (billed_ms, billed_mb),
                        body,
                    ),
                    AttemptEvent::Ended {
                        outcome,
                        measured_work_ms: billed_ms,
                        measured_memory_mb: billed_mb,
                        ..
                    } => {
                        let ran = !never_ran(outcome);
                        self.attempt_ended(
                            now,
                            id,
                            attempt,
                            (outcome, ran),
                            report,
                            (billed_ms, billed_mb),
                        )
                    }
                    AttemptEvent::Cancelled(end) => {
                        let (since, outcome) = quitting.unwrap_or((now, Outcome::Cancelled));
                        self.metrics.cancellations_confirmed.increment();
                        self.metrics.cancellation_latency.record(now - since);
                        let end = (outcome, end.may_have_run());
                        self.attempt_ended(now, id, attempt, end, report, (None, None))
                    }
                }
            }
        }
    }

    /// Takes an order that did not wait in the mailbox.
    pub fn handle_priority(&mut self, now: Millis, order: PriorityMessage) {
        match order {
            PriorityMessage::ShutdownDeadline(at) => {
                self.shutdown_at = Some(at);
                for id in self.requests.keys().copied().collect::<Vec<_>>() {
                    self.set_timer(at, Timer::RequestDeadline(id));
                }
            }
            PriorityMessage::PeerProcesses(parts) => {
                self.check_peer_processes(now);
                self.notify_dispatcher(
                    now,
                    Event::PeerProcesses {
                        capacity_divisor: parts,
                    },
                );
            }
            PriorityMessage::ManualEjection {
                engine,
                ejected: out,
                at_ms: at,
                from_peer: told,
                done,
            } => {
                let held = self.gateway.manual_ejections().contains(&engine);
                let known = held || self.roster.is_listed(engine) || told && out;
                // Guard: what is not listed grows with nothing; it holds a ban only while there is room.
                let fits =
                    !out || held || self.gateway.manual_ejections().len() < self.limits.engines;
                if known && fits || told && !out {
                    self.notify_dispatcher(
                        now,
                        Event::ManualEjection {
                            engine,
                            ejected: out,
                            at_ms: at,
                        },
                    );
                    if !out {
                        self.roster.reset_slow_start(engine, at);
                    }
                    self.engines.set_manually_ejected(engine, out);
                    let ejected = self.gateway.ejected_engines();
                    self.metrics.engines_ejected.set(ejected);
                }
                let _ = done.send(known && fits);
            }
        }
    }

    #[expect(clippy::too_many_lines, reason = "not split yet")]
    fn accept_request(&mut self, now: Millis, mut taken: AcceptedRequest) {
        self.metrics.requests_accepted.increment();
        let id = taken.id;
        // Guard: a kept connection on which there always is something open brings requests to the very end, and what
        // that finds open is lost. So none outlives it.
        if let Some(ends) = self.shutdown_at {
            taken.deadline_ms = taken.deadline_ms.min(ends);
            if ends <= now {
                self.metrics.requests_rejected.increment();
                return taken.client.answer(
                    id,
                    Answer::Rejected {
                        retry_after_ms: 0.0,
                    },
                );
            }
        }
        // Guard: engines tell attempts apart by this name, so one that is open already may not come again.
        if self.client_references.contains(&taken.client_reference) {
            self.metrics.client_bad_calls.increment();
            self.metrics.requests_failed.increment();
            return taken
                .client
                .answer(id, Answer::Failed(FailureReason::AttemptFailed));
        }
        let bytes = self.statement_bytes + taken.statement.len();
        if self.requests.len() >= self.limits.open_requests
            || bytes > self.limits.share(self.limits.open_statement_bytes)
        {
            self.metrics.client_over_limit.increment();
            self.metrics.requests_rejected.increment();
            return taken.client.answer(
                id,
                Answer::Rejected {
                    retry_after_ms: 0.0,
                },
            );
        }
        // Guard: a class that went as its request was on its way; nothing of it has run.
        let Some(class) = self
            .gateway
            .settings()
            .class_position(&taken.class.name, &taken.class.class)
        else {
            self.metrics.requests_rejected.increment();
            return taken.client.answer(
                id,
                Answer::Rejected {
                    retry_after_ms: 0.0,
                },
            );
        };
        let at = RequestAttributes {
            class,
            member: self.policy.member_position(&taken.member),
            frontend: taken.frontend,
            data_set: taken.data_set,
        };
        let keys = self.policy.resolve(&at);
        if let Some(whole) = keys.timeout_ms {
            taken.deadline_ms = taken.deadline_ms.min(now + whole);
        }
        self.set_timer(
            taken.deadline_ms - self.limits.answer_margin_ms,
            Timer::RequestDeadline(id),
        );
        let open = RequestState {
            request: taken,
            history: AttemptHistory::default(),
            streaming: false,
            answered: false,
            memory_mb: 0.0,
            priority: 1,
            policy: keys,
            last_end: None,
            backoff: None,
            cancellation: CancellationFlag::default(),
        };
        let t = &open.request;
        let (name, member) = (
            || crate::log::lossy_text(&t.client_reference),
            || crate::log::lossy_text(&t.member),
        );
        tracing::debug!(id, r#ref = %name(), class = %t.class.name, member = %member(), due_ms = t.deadline_ms, cost_ms = t.estimated_work_ms, data_set = t.data_set, "taken");
        self.metrics.requests_open.increment();
        self.statement_bytes = bytes;
        self.client_references
            .insert(open.request.client_reference.clone());
        self.requests.insert(id, open);
        self.submit_when_leased(now, id);
    }

    /// The client left: nothing is owed, and what is out is given up at once, as it would only take room.
    fn client_disconnected(&mut self, now: Millis, id: RequestId) {
        if self.close_request(now, id, Outcome::Cancelled).is_some() {
            self.metrics.client_disconnects.increment();
            self.notify_dispatcher(now, Event::ClientDisconnected { id });
        }
    }

    /// Hands the module one event, carries out what it wants, and what follows from that at once.
    fn notify_dispatcher(&mut self, now: Millis, event: Event) {
        let mut actions = std::mem::take(&mut self.actions);
        self.gateway.handle(now, event, &mut actions);
        let mut moot = Vec::new();
        for action in actions.drain(..) {
            match action {
                Action::StartAttempt {
                    id,
                    engine,
                    timeout_ms,
                } => {
                    if let Some(outcome) = self.start_attempt(now, id, engine, timeout_ms) {
                        moot.push((id, engine, outcome));
                    }
                }
                Action::SetAttemptTerms {
                    id,
                    memory_mb,
                    priority,
                } => self.set_attempt_terms(id, memory_mb, priority),
                Action::Reject {
                    id,
                    retry_after_ms: hold_off_ms,
                } => {
                    // Guard: a refusal says that a repeat is harmless, so it may not cover a load that may have run.
                    let ran = self
                        .requests
                        .get(&id)
                        .is_none_or(|o| o.history.may_have_run());
                    let sure = !ran || self.is_idempotent(id);
                    let answer = if sure {
                        Answer::Rejected {
                            retry_after_ms: hold_off_ms,
                        }
                    } else {
                        Answer::Failed(FailureReason::AttemptFailed)
                    };
                    self.answer_client(now, id, answer, Outcome::Cancelled);
                }
                Action::Fail { id } => self.answer_client(
                    now,
                    id,
                    Answer::Failed(FailureReason::AttemptFailed),
                    Outcome::Cancelled,
                ),
                Action::CancelAttempt { id, attempt } => self.cancel_attempt(now, id, attempt),
                Action::SetTimer { after_ms, token } => {
                    self.set_timer(now + after_ms.max(1.0), Timer::Dispatcher(token))
                }
                Action::Log { line } => eprintln!("workload-manager: {line}"),
                // Engines may not be probed, and the feed pushes: nothing to do.
                Action::SendHealthCheck { .. } | Action::SubscribeEndpointList => {}
            }
        }
        self.actions = actions;
        for (id, engine, outcome) in moot {
            let attempt = self
                .requests
                .get(&id)
                .map_or(0, |o| o.history.attempts_made().saturating_sub(1));
            self.report_not_sent(now, id, attempt, engine, outcome);
        }
    }

    /// Tells the module that an attempt never went out, and why.
    fn report_not_sent(
        &mut self,
        now: Millis,
        id: RequestId,
        attempt: u16,
        engine: EngineId,
        outcome: Outcome,
    ) {
        self.outcome_counter(outcome).increment();
        tracing::debug!(id, %engine, attempt, ?outcome, "not sent");
        if let Some(open) = self.requests.get_mut(&id) {
            open.last_end = Some((outcome, engine));
        }
        let ended = AttemptEnded {
            id,
            attempt,
            engine,
            outcome,
            elapsed_ms: 0.0,
            answered: self.requests.get(&id).is_none_or(|o| o.answered),
            measured_work_ms: None,
            measured_memory_mb: None,
            load_report: LoadReport::default(),
        };
        self.notify_dispatcher(now, Event::AttemptEnded(ended));
    }

    fn is_idempotent(&self, id: RequestId) -> bool {
        self.requests
            .get(&id)
            .is_some_and(|o| o.request.class.class.idempotency == Idempotency::Idempotent)
    }

    /// Until when an attempt may be written at this engine: infinite where none that may have run went before, or the
    /// request may be repeated at any time; none where it may not, or no more. By key a repeat is dropped by the engines of
    /// one group, and for a while from the first attempt that may have run.
    fn resend_deadline(&self, now: Millis, id: RequestId, engine: EngineId) -> Option<Millis> {
        let open = self.requests.get(&id)?;
        let class = &open.request.class.class;
        if !open.history.ended_may_have_run() || class.idempotency == Idempotency::Idempotent {
            return Some(Millis::INFINITY);
        }
        let (Idempotency::WithKey(scope), Some(first)) =
            (class.idempotency, open.history.first_possible_run())
        else {
            return None;
        };
        let (zone, cell) = self.roster.location(engine)?;
        let remembers = match scope {
            DedupScope::All => true,
            DedupScope::Zone => zone == first.zone,
            DedupScope::Cell => cell == first.cell,
        };
        let keyed = remembers && open.request.idempotency_key.is_some();
        keyed
            .then_some(first.at_ms + class.dedup_window_ms - REPEAT_MARGIN_MS)
            .filter(|until| now < *until)
    }

    /// Starts an attempt, or says why it cannot be; then it provably never ran.
    fn start_attempt(
        &mut self,
        now: Millis,
        id: RequestId,
        engine: EngineId,
        timeout_ms: Option<Millis>,
    ) -> Option<Outcome> {
        let repeatable = self.resend_deadline(now, id, engine).is_some();
        let ready =
            self.roster.is_ready(engine) && !self.gateway.manual_ejections().contains(&engine);
        let cap = self.gateway.settings().max_attempts;
        let open = self.requests.get_mut(&id)?;
        // Guards: one attempt out at a time, also while one waits out its back-off; no second run of what may run
        // once, no more than the cap, none for who has an answer.
        let next = open
            .history
            .next_attempt(repeatable, cap)
            .ok()
            .filter(|_| !open.answered && open.backoff.is_none());
        let Some(number) = next.filter(|_| ready) else {
            self.metrics.sends_blocked_by_guard.increment();
            return Some(if next.is_none() {
                Outcome::NotSent
            } else {
                Outcome::NoConnection
            });
        };
        match self.check_retry_policy(now, id, number, engine) {
            Some(Ok(())) => self.send_attempt(now, id, number, engine, timeout_ms),
            Some(Err(wait)) => {
                self.start_backoff(now, id, (number, engine, timeout_ms), wait);
                None
            }
            None => Some(Outcome::NotSent),
        }
    }

    /// Hands an attempt that may go out to its engine's actor.
    fn send_attempt(
        &mut self,
        now: Millis,
        id: RequestId,
        number: u16,
        engine: EngineId,
        timeout_ms: Option<Millis>,
    ) -> Option<Outcome> {
        // Guard: where it has waited out a back-off, its time may be over.
        let Some(until_ms) = self.resend_deadline(now, id, engine) else {
            return Some(Outcome::NotSent);
        };
        let (zone, cell) = self.roster.location(engine).unwrap_or_default();
        let open = self.requests.get_mut(&id)?;
        let own = open.policy.attempt_timeout_ms;
        let timeout_ms = timeout_ms.filter(|t| *t > 0.0).or(own);
        let due_ms = timeout_ms.map_or(open.request.deadline_ms, |t| {
            (now + t).min(open.request.deadline_ms)
        });
        open.cancellation = CancellationFlag::default();
        let ask = AttemptRequest {
            id,
            attempt: number,
            client_reference: open.request.client_reference.clone(),
            class: open.request.class.clone(),
            deadline_ms: due_ms,
            send_before_ms: until_ms,
            memory_mb: open.memory_mb,
            priority: open.priority,
            idempotency_key: open.request.idempotency_key.clone(),
            statement: open.request.statement.clone(),
            statement_kind: open.request.statement_kind,
            cancellation: open.cancellation.clone(),
        };
        if !self.engines.start_attempt(engine, ask) {
            return Some(Outcome::NoConnection);
        }
        open.history.record_sent(
            number,
            engine,
            SentTo {
                zone,
                cell,
                at_ms: now,
            },
        );
        tracing::debug!(id, %engine, attempt = number, due_ms, "sent");
        self.metrics.attempts_started.increment();
        if self.limits.attempt_silence_ms.is_finite() {
            self.set_timer(
                now + self.limits.attempt_silence_ms,
                Timer::SilenceCheck(id, number),
            );
        }
        if let Some(own) = own {
            self.set_timer(now + own, Timer::AttemptTimeout(id, number));
        }
        None
    }

    fn set_attempt_terms(&mut self, id: RequestId, memory_mb: f64, priority: u8) {
        let Some(open) = self.requests.get_mut(&id) else {
            return;
        };
        open.memory_mb = memory_mb.clamp(0.0, self.limits.grant_mb);
        let before = std::mem::replace(&mut open.priority, priority.min(3));
        if let Some(out) = open
            .history
            .in_flight()
            .filter(|o| before != open.priority && o.cancelling.is_none())
        {
            self.engines
                .set_priority(out.engine, id, out.number, open.priority);
        }
    }
}

#[cfg(test)]
pub(crate) mod tests;
