//! The core: it knows no wire and no socket. It owns requests, attempts, deadlines and timers, drives the
//! decision module, and applies the module's actions through one port for clients and one for engines.
//!
//! Whatever the module or a peer does, the core sees to it that a request gets one final answer, that one
//! attempt at most is out for it, and that what may run once only is not sent again unless every earlier
//! attempt provably never ran. An attempt that is given up stays out until its engine's actor has proven it over;
//! the client is answered without waiting for that.

mod actor;
mod alarms;
mod ends;
mod leases;
mod narrow;
mod order;
mod ports;
mod roster;

pub use actor::{Clock, Handle, Inputs, start};
pub use leases::{OrderLocks, Places};
pub use ports::*;

use crate::attempt::{AttemptHistory, SentTo, never_ran};
use crate::decision::{
    Action, AttemptEnded, DedupScope, Dispatcher, EngineId, Event, Idempotency, LoadReport, Millis,
    Outcome, Request, RequestId, Settings, SettingsError,
};
use crate::limits::Limits;
use crate::metrics::Metrics;
use crate::node_config::{EndpointListEvent, engine_text};
use crate::retry_policy::{AttemptPolicy, Policy, RequestAttributes};
use crate::subset::{Membership, Subset};
use alarms::{Alarm, At};
use bytes::Bytes;
use leases::Leases;
use roster::{News, Roster};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet};
use std::sync::Arc;

struct Open {
    taken: AcceptedRequest,
    history: AttemptHistory,
    streaming: bool,
    /// Its client has the final answer, or has left; it is held for the attempt that is not proven over.
    over: bool,
    memory_mb: f64,
    priority: u8,
    /// What its policy allows, resolved when it was taken; a reload may lower its attempts.
    keys: AttemptPolicy,
    /// How, and where, its last attempt ended.
    last: Option<(Outcome, EngineId)>,
    /// An attempt that waits out its back-off: its number, engine and time-out.
    waiting: Option<(u16, EngineId, Option<Millis>)>,
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
    requests: HashMap<RequestId, Open>,
    /// Clients' names of the requests that are open.
    names: HashSet<Bytes>,
    /// Bytes of their statements.
    held_bytes: usize,
    /// The engines of the list.
    roster: Roster,
    /// When the process is ended, once that is known.
    ends: Option<Millis>,
    alarms: BinaryHeap<Reverse<(At, u64, Alarm)>>,
    armed: u64,
    actions: Vec<Action>,
    /// The operators' policy of attempts; without their file it sets nothing.
    policy: Arc<Policy>,
    /// Leases on order keys, beside another process.
    leases: Leases,
    /// Their alarm is armed.
    review_armed: bool,
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
            names: HashSet::new(),
            held_bytes: 0,
            ends: None,
            alarms: BinaryHeap::new(),
            armed: 0,
            actions: Vec::new(),
            policy: Arc::default(),
            leases: Leases::default(),
            review_armed: false,
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
    pub fn begin(&mut self, now: Millis) {
        self.begin_leases(now);
        self.tell(now, Event::Started);
    }

    /// Requests open now: those that owe an answer.
    pub fn open(&self) -> usize {
        self.metrics.requests_open.get() as usize
    }

    /// How many entries are held for requests, engines and alarms: here, and in the module.
    pub fn held(&self) -> ([usize; 4], [usize; 4]) {
        let core = [
            self.requests.len(),
            self.names.len(),
            self.roster.entries(),
            self.alarms.len(),
        ];
        (core, self.gateway.state_sizes())
    }

    /// When the next alarm is due.
    pub fn next_alarm(&self) -> Option<Millis> {
        self.alarms.peek().map(|Reverse((at, ..))| at.0)
    }

    /// Runs the alarms that are due.
    pub fn alarms(&mut self, now: Millis) {
        while let Some(Reverse((at, _, alarm))) = self
            .alarms
            .peek()
            .copied()
            .filter(|Reverse((at, ..))| at.0 <= now)
        {
            self.alarms.pop();
            match alarm {
                Alarm::Module(token) => self.tell(now, Event::Timer { token }),
                Alarm::Deadline(id) => self.deadline(now, id),
                Alarm::Quit(id, attempt) => self.unproven(now, id, attempt),
                Alarm::Silence(id, attempt) => self.silence(now, id, attempt, at.0),
                Alarm::BackOff(id, attempt) => self.backed_off(now, id, attempt),
                Alarm::AttemptDue(id, attempt) => self.attempt_due(now, id, attempt),
                Alarm::Leases => self.review_leases(now),
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
            CoreMessage::Request(taken) => self.take(now, taken),
            CoreMessage::ClientDisconnected(id) => self.left(now, id),
            CoreMessage::EndpointList(event) => self.list(now, event),
            CoreMessage::Settings { settings, policy } => {
                if let Some(settings) = settings {
                    self.settings(now, settings);
                }
                self.policy_in_force(policy);
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
                let over = open.over;
                let Some(out) = open.history.out_as(attempt, Some(engine)) else {
                    return; // proven over before this came
                };
                out.last_heard_ms = now;
                let quitting = out.cancelling;
                match news {
                    AttemptEvent::Progress(Some(note)) if quitting.is_none() => self.tell(
                        now,
                        Event::Progress {
                            id,
                            attempt,
                            progress: note,
                        },
                    ),
                    AttemptEvent::Progress(_) => {}
                    AttemptEvent::ResultStreaming(_) if over || quitting.is_some() => {}
                    AttemptEvent::ResultStreaming(body) => self.streaming(now, id, attempt, body),
                    // A good answer that crossed the cancellation is one all the same, as long as an answer is owed.
                    AttemptEvent::Ended {
                        outcome: Outcome::Ok,
                        measured_work_ms: billed_ms,
                        measured_memory_mb: billed_mb,
                        body,
                    } => self.served(now, id, attempt, report, (billed_ms, billed_mb), body),
                    AttemptEvent::Ended {
                        outcome,
                        measured_work_ms: billed_ms,
                        measured_memory_mb: billed_mb,
                        ..
                    } => {
                        let ran = !never_ran(outcome);
                        self.ended(
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
                        self.ended(now, id, attempt, end, report, (None, None))
                    }
                }
            }
        }
    }

    /// Takes an order that did not wait in the mailbox.
    pub fn urgent(&mut self, now: Millis, order: PriorityMessage) {
        match order {
            PriorityMessage::ShutdownDeadline(at) => {
                self.ends = Some(at);
                for id in self.requests.keys().copied().collect::<Vec<_>>() {
                    self.arm(at, Alarm::Deadline(id));
                }
            }
            PriorityMessage::PeerProcesses(parts) => {
                self.look_beside(now);
                let change = Event::PeerProcesses {
                    capacity_divisor: parts,
                };
                self.tell(now, change);
            }
            PriorityMessage::ManualEjection {
                engine,
                ejected: out,
                at_ms: at,
                from_peer: told,
                done,
            } => {
                let held = self.gateway.manual_ejections().contains(&engine);
                let known = held || self.roster.named(engine) || told && out;
                // Guard: what is not listed grows with nothing; it holds a ban only while there is room.
                let fits =
                    !out || held || self.gateway.manual_ejections().len() < self.limits.engines;
                if known && fits || told && !out {
                    self.tell(
                        now,
                        Event::ManualEjection {
                            engine,
                            ejected: out,
                            at_ms: at,
                        },
                    );
                    if !out {
                        self.roster.given_back(engine, at);
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
    fn take(&mut self, now: Millis, mut taken: AcceptedRequest) {
        self.metrics.requests_accepted.increment();
        let id = taken.id;
        // Guard: a kept connection on which there always is something open brings requests to the very end, and what
        // that finds open is lost. So none outlives it.
        if let Some(ends) = self.ends {
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
        if self.names.contains(&taken.client_reference) {
            self.metrics.client_bad_calls.increment();
            self.metrics.requests_failed.increment();
            return taken
                .client
                .answer(id, Answer::Failed(FailureReason::AttemptFailed));
        }
        let bytes = self.held_bytes + taken.statement.len();
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
            member: self.policy.member(&taken.member),
            front: taken.front,
            data_set: taken.data_set,
        };
        let keys = self.policy.resolve(&at);
        if let Some(whole) = keys.timeout_ms {
            taken.deadline_ms = taken.deadline_ms.min(now + whole);
        }
        self.arm(
            taken.deadline_ms - self.limits.answer_margin_ms,
            Alarm::Deadline(id),
        );
        let open = Open {
            taken,
            history: AttemptHistory::default(),
            streaming: false,
            over: false,
            memory_mb: 0.0,
            priority: 1,
            keys,
            last: None,
            waiting: None,
            cancellation: CancellationFlag::default(),
        };
        let t = &open.taken;
        let (name, member) = (
            || crate::log::lossy_text(&t.client_reference),
            || crate::log::lossy_text(&t.member),
        );
        tracing::debug!(id, r#ref = %name(), class = %t.class.name, member = %member(), due_ms = t.deadline_ms, cost_ms = t.estimated_work_ms, data_set = t.data_set, "taken");
        self.metrics.requests_open.increment();
        self.held_bytes = bytes;
        self.names.insert(open.taken.client_reference.clone());
        self.requests.insert(id, open);
        self.admit(now, id);
    }

    /// The client left: nothing is owed, and what is out is given up at once, as it would only take room.
    fn left(&mut self, now: Millis, id: RequestId) {
        if self.close(now, id, Outcome::Cancelled).is_some() {
            self.metrics.client_disconnects.increment();
            self.tell(now, Event::ClientDisconnected { id });
        }
    }

    fn list(&mut self, now: Millis, event: EndpointListEvent) {
        let step = self.roster.take(&event);
        step.dropped
            .iter()
            .for_each(|id| self.engines.engine_removed(*id));
        for line in &step.lines {
            // Guard: sends to what drains or is gone end here, whatever the module holds.
            self.engines.engine_listed(line);
            if self.gateway.manual_ejections().contains(&line.entry.engine) {
                self.engines.set_manually_ejected(line.entry.engine, true); // a new address has a new actor
            }
        }
        let metrics = &self.metrics;
        let (held, waiting) = self.roster.sizes();
        metrics.engines.set(held);
        metrics.engines_waiting.set(waiting);
        metrics.engines_without_slot.add(step.passed.len());
        metrics.list_unknown_removals.add(step.unknown);
        metrics.list_duplicate_records.add(step.repeated);
        metrics.list_address_conflicts.add(step.shared);
        metrics
            .list_unusable_records
            .add(event.unusable_engines.len());
        metrics.list_large_removals.add(usize::from(step.cut));
        if let [first, rest @ ..] = &step.passed[..] {
            let (first, more, all) = (engine_text(*first), rest.len(), self.limits.engines);
            eprintln!(
                "workload-manager: engine={first} state=passed_over more={more} why=all {all} places are taken"
            );
        }
        if let [first, rest @ ..] = &event.unusable_engines[..] {
            let (first, more) = (engine_text(*first), rest.len());
            eprintln!(
                "workload-manager: engine={first} state=unusable more={more} why=unknown state, zone or kind"
            );
        }
        self.subset_news(now, step.news);
    }

    /// Takes new settings. What they change of the subset is told after them.
    fn settings(&mut self, now: Millis, settings: Box<Settings>) {
        let membership = Membership::from(&*settings);
        self.tell(now, Event::Settings(settings));
        if let Some(news) = self.roster.set_membership(membership) {
            self.metrics.subset_membership_changes.increment();
            self.check_membership(membership);
            self.subset_news(now, news);
        }
    }

    /// Shows this manager's place in its fleet, and whether it can be one.
    fn check_membership(&self, membership: Membership) {
        let Membership { instances, ordinal } = membership;
        self.metrics.ordinal.set(ordinal as usize);
        if membership.out_of_range() {
            self.metrics.subset_ordinal_out_of_range.increment();
            eprintln!(
                "workload-manager: ordinal={ordinal} state=out_of_range why=nInstances is {instances}"
            );
        }
    }

    /// Tells the module what it hears of the list, and shows the size of that.
    fn subset_news(&mut self, now: Millis, news: News) {
        let metrics = &self.metrics;
        let (size, zones) = self.roster.subset_sizes();
        let all = f64::from(self.gateway.settings().instances);
        metrics.subset_size.set(size);
        metrics.subset_zones.set(zones);
        metrics
            .subset_managers_per_engine
            .set(self.roster.holders().unwrap_or(all).round() as usize);
        metrics.subset_engines_added.add(news.joined);
        metrics.subset_engines_removed.add(news.left);
        metrics.subset_all_unavailable.add(usize::from(news.lost));
        self.tell(
            now,
            Event::EndpointList {
                kind: news.kind,
                entries: news.entries,
            },
        );
    }

    /// Hands the module one event, carries out what it wants, and what follows from that at once.
    fn tell(&mut self, now: Millis, event: Event) {
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
                    if let Some(outcome) = self.send(now, id, engine, timeout_ms) {
                        moot.push((id, engine, outcome));
                    }
                }
                Action::SetAttemptTerms {
                    id,
                    memory_mb,
                    priority,
                } => self.terms(id, memory_mb, priority),
                Action::Reject {
                    id,
                    retry_after_ms: hold_off_ms,
                } => {
                    // Guard: a refusal says that a repeat is harmless, so it may not cover a load that may have run.
                    let ran = self
                        .requests
                        .get(&id)
                        .is_none_or(|o| o.history.may_have_run());
                    let sure = !ran || self.repeatable(id);
                    let answer = if sure {
                        Answer::Rejected {
                            retry_after_ms: hold_off_ms,
                        }
                    } else {
                        Answer::Failed(FailureReason::AttemptFailed)
                    };
                    self.answer(now, id, answer, Outcome::Cancelled);
                }
                Action::Fail { id } => self.answer(
                    now,
                    id,
                    Answer::Failed(FailureReason::AttemptFailed),
                    Outcome::Cancelled,
                ),
                Action::CancelAttempt { id, attempt } => self.call_off(now, id, attempt),
                Action::SetTimer { after_ms, token } => {
                    self.arm(now + after_ms.max(1.0), Alarm::Module(token))
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
                .map_or(0, |o| o.history.made().saturating_sub(1));
            self.unsent(now, id, attempt, engine, outcome);
        }
    }

    /// Tells the module that an attempt never went out, and why.
    fn unsent(
        &mut self,
        now: Millis,
        id: RequestId,
        attempt: u16,
        engine: EngineId,
        outcome: Outcome,
    ) {
        self.count_end(outcome).increment();
        tracing::debug!(id, %engine, attempt, ?outcome, "not sent");
        if let Some(open) = self.requests.get_mut(&id) {
            open.last = Some((outcome, engine));
        }
        let ended = AttemptEnded {
            id,
            attempt,
            engine,
            outcome,
            elapsed_ms: 0.0,
            answered: self.requests.get(&id).is_none_or(|o| o.over),
            measured_work_ms: None,
            measured_memory_mb: None,
            load_report: LoadReport::default(),
        };
        self.tell(now, Event::AttemptEnded(ended));
    }

    fn repeatable(&self, id: RequestId) -> bool {
        self.requests
            .get(&id)
            .is_some_and(|o| o.taken.class.class.idempotency == Idempotency::Idempotent)
    }

    /// Until when an attempt may be written at this engine: infinite where none that may have run went before, or the
    /// request may be repeated at any time; none where it may not, or no more. By key a repeat is dropped by the engines of
    /// one group, and for a while from the first attempt that may have run.
    fn repeat_until(&self, now: Millis, id: RequestId, engine: EngineId) -> Option<Millis> {
        let open = self.requests.get(&id)?;
        let class = &open.taken.class.class;
        if !open.history.has_run() || class.idempotency == Idempotency::Idempotent {
            return Some(Millis::INFINITY);
        }
        let (Idempotency::WithKey(scope), Some(first)) =
            (class.idempotency, open.history.first_ran())
        else {
            return None;
        };
        let (zone, cell) = self.roster.group(engine)?;
        let remembers = match scope {
            DedupScope::All => true,
            DedupScope::Zone => zone == first.zone,
            DedupScope::Cell => cell == first.cell,
        };
        let keyed = remembers && open.taken.idempotency_key.is_some();
        keyed
            .then_some(first.at_ms + class.dedup_window_ms - REPEAT_MARGIN_MS)
            .filter(|until| now < *until)
    }

    /// Starts an attempt, or says why it cannot be; then it provably never ran.
    fn send(
        &mut self,
        now: Millis,
        id: RequestId,
        engine: EngineId,
        timeout_ms: Option<Millis>,
    ) -> Option<Outcome> {
        let repeatable = self.repeat_until(now, id, engine).is_some();
        let ready = self.roster.ready(engine) && !self.gateway.manual_ejections().contains(&engine);
        let cap = self.gateway.settings().max_attempts;
        let open = self.requests.get_mut(&id)?;
        // Guards: one attempt out at a time, also while one waits out its back-off; no second run of what may run
        // once, no more than the cap, none for who has an answer.
        let next = open
            .history
            .next(repeatable, cap)
            .ok()
            .filter(|_| !open.over && open.waiting.is_none());
        let Some(number) = next.filter(|_| ready) else {
            self.metrics.sends_blocked_by_guard.increment();
            return Some(if next.is_none() {
                Outcome::NotSent
            } else {
                Outcome::NoConnection
            });
        };
        match self.narrow(now, id, number, engine) {
            Some(Ok(())) => self.launch(now, id, number, engine, timeout_ms),
            Some(Err(wait)) => {
                self.wait_out(now, id, (number, engine, timeout_ms), wait);
                None
            }
            None => Some(Outcome::NotSent),
        }
    }

    /// Hands an attempt that may go out to its engine's actor.
    fn launch(
        &mut self,
        now: Millis,
        id: RequestId,
        number: u16,
        engine: EngineId,
        timeout_ms: Option<Millis>,
    ) -> Option<Outcome> {
        // Guard: where it has waited out a back-off, its time may be over.
        let Some(until_ms) = self.repeat_until(now, id, engine) else {
            return Some(Outcome::NotSent);
        };
        let (zone, cell) = self.roster.group(engine).unwrap_or_default();
        let open = self.requests.get_mut(&id)?;
        let own = open.keys.attempt_timeout_ms;
        let timeout_ms = timeout_ms.filter(|t| *t > 0.0).or(own);
        let due_ms = timeout_ms.map_or(open.taken.deadline_ms, |t| {
            (now + t).min(open.taken.deadline_ms)
        });
        open.cancellation = CancellationFlag::default();
        let ask = AttemptRequest {
            id,
            attempt: number,
            client_reference: open.taken.client_reference.clone(),
            class: open.taken.class.clone(),
            deadline_ms: due_ms,
            send_before_ms: until_ms,
            memory_mb: open.memory_mb,
            priority: open.priority,
            idempotency_key: open.taken.idempotency_key.clone(),
            statement: open.taken.statement.clone(),
            statement_kind: open.taken.statement_kind,
            cancellation: open.cancellation.clone(),
        };
        if !self.engines.start_attempt(engine, ask) {
            return Some(Outcome::NoConnection);
        }
        open.history.sent(
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
            self.arm(
                now + self.limits.attempt_silence_ms,
                Alarm::Silence(id, number),
            );
        }
        if let Some(own) = own {
            self.arm(now + own, Alarm::AttemptDue(id, number));
        }
        None
    }

    fn terms(&mut self, id: RequestId, memory_mb: f64, priority: u8) {
        let Some(open) = self.requests.get_mut(&id) else {
            return;
        };
        open.memory_mb = memory_mb.clamp(0.0, self.limits.grant_mb);
        let before = std::mem::replace(&mut open.priority, priority.min(3));
        if let Some(out) = open
            .history
            .out()
            .filter(|o| before != open.priority && o.cancelling.is_none())
        {
            self.engines
                .set_priority(out.engine, id, out.number, open.priority);
        }
    }
}

#[cfg(test)]
mod interleavings;
#[cfg(test)]
mod subsets;
#[cfg(test)]
pub(crate) mod tests;
