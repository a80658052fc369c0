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

use crate::attempt::{AttemptHistory, Sent, never_ran};
use crate::attempts::{Keys, Policy, Where};
use crate::config::{ListEvent, engine_text};
use crate::counters::Counters;
use crate::interface::*;
use crate::limits::Limits;
use crate::subset::{Membership, Subset};
use alarms::{Alarm, At};
use bytes::Bytes;
use leases::Leases;
use roster::{News, Roster};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet};
use std::sync::Arc;

struct Open {
    taken: Taken,
    history: AttemptHistory,
    streaming: bool,
    /// Its client has the final answer, or has left; it is held for the attempt that is not proven over.
    over: bool,
    memory_mb: f64,
    priority: u8,
    /// What its policy allows, resolved when it was taken; a reload may lower its attempts.
    keys: Keys,
    /// How, and where, its last attempt ended.
    last: Option<(Outcome, EngineId)>,
    /// An attempt that waits out its back-off: its number, engine and time-out.
    waiting: Option<(u16, EngineId, Option<Millis>)>,
    /// Reaches the attempt that is out, past its engine's mailbox.
    cancellation: Cancellation,
}

/// A repeat by key is written so much before engines may have forgotten the first, in ms.
const REPEAT_MARGIN_MS: Millis = 1.0;

/// The core of one workload manager.
pub struct Core<E> {
    gateway: Gateway,
    engines: E,
    limits: Arc<Limits>,
    counters: Arc<Counters>,
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

use crate::choice::Gateway;

impl<E: EnginePort> Core<E> {
    /// A core round a new module with these settings.
    pub fn new(
        settings: Settings,
        seed: u64,
        engines: E,
        limits: Arc<Limits>,
        counters: Arc<Counters>,
    ) -> Result<Self, SettingsError> {
        let membership = Membership::from(&settings);
        let core = Core {
            gateway: Gateway::new(settings, seed)?,
            engines,
            roster: Roster::new(limits.engines, Subset::new(limits.subset, membership)),
            limits,
            counters,
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
        self.counters.open.get() as usize
    }

    /// How many entries are held for requests, engines and alarms: here, and in the module.
    pub fn held(&self) -> ([usize; 4], [usize; 4]) {
        let core = [
            self.requests.len(),
            self.names.len(),
            self.roster.entries(),
            self.alarms.len(),
        ];
        (core, self.gateway.held())
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
            self.counters.engines_skipped.set(self.gateway.avoided());
        }
    }

    /// Takes one input.
    pub fn handle(&mut self, now: Millis, input: Input) {
        match input {
            Input::Take(taken) => self.take(now, taken),
            Input::Left(id) => self.left(now, id),
            Input::List(event) => self.list(now, event),
            Input::Settings { settings, policy } => {
                if let Some(settings) = settings {
                    self.settings(now, settings);
                }
                self.policy_in_force(policy);
            }
            Input::Engine {
                engine,
                id,
                attempt,
                report,
                news,
            } => {
                let Some(open) = self.requests.get_mut(&id) else {
                    return;
                };
                let over = open.over;
                let Some(out) = open.history.out_as(attempt, Some(engine)) else {
                    return; // proven over before this came
                };
                out.heard = now;
                let quitting = out.quitting;
                match news {
                    EngineNews::Note(Some(note)) if quitting.is_none() => {
                        self.tell(now, Event::Note { id, attempt, note })
                    }
                    EngineNews::Note(_) => {}
                    EngineNews::Streaming(_) if over || quitting.is_some() => {}
                    EngineNews::Streaming(body) => self.streaming(now, id, attempt, body),
                    // A good answer that crossed the cancellation is one all the same, as long as an answer is owed.
                    EngineNews::Ended {
                        outcome: Outcome::Ok,
                        billed_ms,
                        billed_mb,
                        body,
                    } => self.served(now, id, attempt, report, (billed_ms, billed_mb), body),
                    EngineNews::Ended {
                        outcome,
                        billed_ms,
                        billed_mb,
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
                    EngineNews::GivenUp(end) => {
                        let (since, outcome) = quitting.unwrap_or((now, Outcome::Cancelled));
                        self.counters.given_up.up();
                        self.counters.proofs.see(now - since);
                        let end = (outcome, end.may_have_run());
                        self.ended(now, id, attempt, end, report, (None, None))
                    }
                }
            }
        }
    }

    /// Takes an order that did not wait in the mailbox.
    pub fn urgent(&mut self, now: Millis, order: Urgent) {
        match order {
            Urgent::Ends(at) => {
                self.ends = Some(at);
                for id in self.requests.keys().copied().collect::<Vec<_>>() {
                    self.arm(at, Alarm::Deadline(id));
                }
            }
            Urgent::Beside(parts) => {
                self.look_beside(now);
                self.tell(now, Event::Beside { parts });
            }
            Urgent::Ban {
                engine,
                out,
                at,
                told,
                done,
            } => {
                let held = self.gateway.bans().contains(&engine);
                let known = held || self.roster.named(engine) || told && out;
                // Guard: what is not listed grows with nothing; it holds a ban only while there is room.
                let fits = !out || held || self.gateway.bans().len() < self.limits.engines;
                if known && fits || told && !out {
                    self.tell(now, Event::Ban { engine, out, at });
                    if !out {
                        self.roster.given_back(engine, at);
                    }
                    self.engines.banned(engine, out);
                    self.counters.engines_skipped.set(self.gateway.avoided());
                }
                let _ = done.send(known && fits);
            }
        }
    }

    fn take(&mut self, now: Millis, mut taken: Taken) {
        self.counters.taken.up();
        let id = taken.id;
        // Guard: a kept connection on which there always is something open brings requests to the very end, and what
        // that finds open is lost. So none outlives it.
        if let Some(ends) = self.ends {
            taken.due_ms = taken.due_ms.min(ends);
            if ends <= now {
                self.counters.refused.up();
                return taken
                    .client
                    .answer(id, Answer::Refused { hold_off_ms: 0.0 });
            }
        }
        // Guard: engines tell attempts apart by this name, so one that is open already may not come again.
        if self.names.contains(&taken.name) {
            self.counters.client_bad_calls.up();
            self.counters.failed.up();
            return taken.client.answer(id, Answer::Failed(Why::Lost));
        }
        let bytes = self.held_bytes + taken.statement.len();
        if self.requests.len() >= self.limits.open
            || bytes > self.limits.share(self.limits.open_bytes)
        {
            self.counters.client_over_limit.up();
            self.counters.refused.up();
            return taken
                .client
                .answer(id, Answer::Refused { hold_off_ms: 0.0 });
        }
        // Guard: a class that went as its request was on its way; nothing of it has run.
        let Some(class) = self
            .gateway
            .settings()
            .position(&taken.class.name, &taken.class.class)
        else {
            self.counters.refused.up();
            return taken
                .client
                .answer(id, Answer::Refused { hold_off_ms: 0.0 });
        };
        let at = Where {
            class,
            member: self.policy.member(&taken.member),
            front: taken.front,
            data_set: taken.dataset,
        };
        let keys = self.policy.resolve(&at);
        if let Some(whole) = keys.timeout_ms {
            taken.due_ms = taken.due_ms.min(now + whole);
        }
        self.arm(
            taken.due_ms - self.limits.answer_margin_ms,
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
            cancellation: Cancellation::default(),
        };
        let t = &open.taken;
        let (name, member) = (|| crate::log::name(&t.name), || crate::log::name(&t.member));
        tracing::debug!(id, r#ref = %name(), class = %t.class.name, member = %member(), due_ms = t.due_ms, cost_ms = t.cost_ms, data_set = t.dataset, "taken");
        self.counters.open.up();
        self.held_bytes = bytes;
        self.names.insert(open.taken.name.clone());
        self.requests.insert(id, open);
        self.admit(now, id);
    }

    /// The client left: nothing is owed, and what is out is given up at once, as it would only take room.
    fn left(&mut self, now: Millis, id: RequestId) {
        if self.close(now, id, Outcome::Cancelled).is_some() {
            self.counters.left.up();
            self.tell(now, Event::ClientGone { id });
        }
    }

    fn list(&mut self, now: Millis, event: ListEvent) {
        let step = self.roster.take(&event);
        step.dropped.iter().for_each(|id| self.engines.dropped(*id));
        for line in &step.lines {
            // Guard: sends to what drains or is gone end here, whatever the module holds.
            self.engines.listed(line);
            if self.gateway.bans().contains(&line.entry.engine) {
                self.engines.banned(line.entry.engine, true); // a new address has a new actor
            }
        }
        let counters = &self.counters;
        let (held, waiting) = self.roster.sizes();
        counters.engines.set(held);
        counters.engines_waiting.set(waiting);
        counters.engines_passed.add(step.passed.len());
        counters.list_unknown.add(step.unknown);
        counters.list_repeated.add(step.repeated);
        counters.list_shared.add(step.shared);
        counters.list_unusable.add(event.unusable.len());
        counters.list_cut.add(usize::from(step.cut));
        if let [first, rest @ ..] = &step.passed[..] {
            let (first, more, all) = (engine_text(*first), rest.len(), self.limits.engines);
            eprintln!(
                "magpiechute: engine={first} state=passed_over more={more} why=all {all} places are taken"
            );
        }
        if let [first, rest @ ..] = &event.unusable[..] {
            let (first, more) = (engine_text(*first), rest.len());
            eprintln!(
                "magpiechute: engine={first} state=unusable more={more} why=unknown state, zone or kind"
            );
        }
        self.subset_news(now, step.news);
    }

    /// Takes new settings. What they change of the subset is told after them.
    fn settings(&mut self, now: Millis, settings: Box<Settings>) {
        let membership = Membership::from(&*settings);
        self.tell(now, Event::Settings(settings));
        if let Some(news) = self.roster.set_membership(membership) {
            self.counters.subset_recast.up();
            self.check_membership(membership);
            self.subset_news(now, news);
        }
    }

    /// Shows this manager's place in its fleet, and whether it can be one.
    fn check_membership(&self, membership: Membership) {
        let Membership { instances, ordinal } = membership;
        self.counters.ordinal.set(ordinal as usize);
        if membership.out_of_range() {
            self.counters.subset_ordinal_over.up();
            eprintln!(
                "magpiechute: ordinal={ordinal} state=out_of_range why=nInstances is {instances}"
            );
        }
    }

    /// Tells the module what it hears of the list, and shows the size of that.
    fn subset_news(&mut self, now: Millis, news: News) {
        let counters = &self.counters;
        let (size, zones) = self.roster.subset_sizes();
        let all = f64::from(self.gateway.settings().instances);
        counters.subset_size.set(size);
        counters.subset_zones.set(zones);
        counters
            .subset_holders
            .set(self.roster.holders().unwrap_or(all).round() as usize);
        counters.subset_joined.add(news.joined);
        counters.subset_left.add(news.left);
        counters.subset_lost.add(usize::from(news.lost));
        self.tell(
            now,
            Event::List {
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
                Action::Send {
                    id,
                    engine,
                    timeout_ms,
                } => {
                    if let Some(outcome) = self.send(now, id, engine, timeout_ms) {
                        moot.push((id, engine, outcome));
                    }
                }
                Action::Terms {
                    id,
                    memory_mb,
                    priority,
                } => self.terms(id, memory_mb, priority),
                Action::Refuse { id, hold_off_ms } => {
                    // Guard: a refusal says that a repeat is harmless, so it may not cover a load that may have run.
                    let ran = self
                        .requests
                        .get(&id)
                        .is_none_or(|o| o.history.may_have_run());
                    let sure = !ran || self.repeatable(id);
                    let answer = if sure {
                        Answer::Refused { hold_off_ms }
                    } else {
                        Answer::Failed(Why::Lost)
                    };
                    self.answer(now, id, answer, Outcome::Cancelled);
                }
                Action::Fail { id } => {
                    self.answer(now, id, Answer::Failed(Why::Lost), Outcome::Cancelled)
                }
                Action::Cancel { id, attempt } => self.call_off(now, id, attempt),
                Action::Timer { after_ms, token } => {
                    self.arm(now + after_ms.max(1.0), Alarm::Module(token))
                }
                Action::Log { line } => eprintln!("magpiechute: {line}"),
                // Engines may not be probed, and the feed pushes: nothing to do.
                Action::Probe { .. } | Action::Subscribe => {}
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
        self.count_end(outcome).up();
        tracing::debug!(id, %engine, attempt, ?outcome, "not sent");
        if let Some(open) = self.requests.get_mut(&id) {
            open.last = Some((outcome, engine));
        }
        let ended = Ended {
            id,
            attempt,
            engine,
            outcome,
            took_ms: 0.0,
            finished: self.requests.get(&id).is_none_or(|o| o.over),
            billed_ms: None,
            billed_mb: None,
            report: LoadReport::default(),
        };
        self.tell(now, Event::Ended(ended));
    }

    fn repeatable(&self, id: RequestId) -> bool {
        self.requests
            .get(&id)
            .is_some_and(|o| o.taken.class.class.effect == Effect::Repeatable)
    }

    /// Until when an attempt may be written at this engine: infinite where none that may have run went before, or the
    /// request may be repeated at any time; none where it may not, or no more. By key a repeat is dropped by the engines of
    /// one group, and for a while from the first attempt that may have run.
    fn repeat_until(&self, now: Millis, id: RequestId, engine: EngineId) -> Option<Millis> {
        let open = self.requests.get(&id)?;
        let class = &open.taken.class.class;
        if !open.history.has_run() || class.effect == Effect::Repeatable {
            return Some(Millis::INFINITY);
        }
        let (Effect::Keyed(scope), Some(first)) = (class.effect, open.history.first_ran()) else {
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
            .then_some(first.at + class.memory_span_ms - REPEAT_MARGIN_MS)
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
        let ready = self.roster.ready(engine) && !self.gateway.bans().contains(&engine);
        let cap = self.gateway.settings().attempts_cap;
        let open = self.requests.get_mut(&id)?;
        // Guards: one attempt out at a time, also while one waits out its back-off; no second run of what may run
        // once, no more than the cap, none for who has an answer.
        let next = open
            .history
            .next(repeatable, cap)
            .ok()
            .filter(|_| !open.over && open.waiting.is_none());
        let Some(number) = next.filter(|_| ready) else {
            self.counters.guarded.up();
            return Some(if next.is_none() {
                Outcome::Moot
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
            None => Some(Outcome::Moot),
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
            return Some(Outcome::Moot);
        };
        let (zone, cell) = self.roster.group(engine).unwrap_or_default();
        let open = self.requests.get_mut(&id)?;
        let own = open.keys.attempt_timeout_ms;
        let timeout_ms = timeout_ms.filter(|t| *t > 0.0).or(own);
        let due_ms = timeout_ms.map_or(open.taken.due_ms, |t| (now + t).min(open.taken.due_ms));
        open.cancellation = Cancellation::default();
        let ask = Ask {
            id,
            attempt: number,
            name: open.taken.name.clone(),
            class: open.taken.class.clone(),
            due_ms,
            until_ms,
            memory_mb: open.memory_mb,
            priority: open.priority,
            idempotency_key: open.taken.idempotency_key.clone(),
            statement: open.taken.statement.clone(),
            kind: open.taken.kind,
            cancellation: open.cancellation.clone(),
        };
        if !self.engines.ask(engine, ask) {
            return Some(Outcome::NoConnection);
        }
        open.history.sent(
            number,
            engine,
            Sent {
                zone,
                cell,
                at: now,
            },
        );
        tracing::debug!(id, %engine, attempt = number, due_ms, "sent");
        self.counters.sent.up();
        if self.limits.silence_ms.is_finite() {
            self.arm(now + self.limits.silence_ms, Alarm::Silence(id, number));
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
            .filter(|o| before != open.priority && o.quitting.is_none())
        {
            self.engines
                .priority(out.engine, id, out.number, open.priority);
        }
    }
}

#[cfg(test)]
mod interleavings;
#[cfg(test)]
mod subsets;
#[cfg(test)]
pub(crate) mod tests;
