//! All decisions of the gateway. Its types are in `src/interface.rs`, its design in `docs/design.md`.
//! In order: constants, state, events, admission, choice of engine, health, ends and guards, the fit.

mod interface;

pub use interface::*;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

// Tuned constants: unit and reason behind each. None is read off a deployment; all hold at nine.
const INTERVAL_OUTCOMES: u32 = 25; // outcomes; not a hundred: an engine gives one gateway some ten a second
const INTERVAL_MIN_MS: f64 = 1000.0; // ms; the design's shortest interval
const FADE: f64 = 0.95; // share of its weight an old interval keeps each interval: twenty are remembered
const FIT_PAIRS: f64 = 8.0; // faded intervals before a fit is used: fewer pass through any noise
const POOL_FITS: f64 = 3.5; // the same for the pooled fit, whose intervals span many engines
const FIT_SINGULAR: f64 = 1e-5; // determinant over the product of its diagonal: below, near-singular
const START_PER_CORE: f64 = 2.0; // threads a core; the design's start value
const PRESSURE_STRETCH: f64 = 1.6; // latency over the best seen from which the bound binds
const PRESSURE_CROWD: f64 = 1.3; // threads a core, own and others', from which the bound binds
const PRESSURE_BUSY: f64 = 0.92; // reported share of cores busy from which the bound binds
const LATENCY_GAIN: f64 = 0.08; // an outcome; an engine's latency is followed over about a second
const BEST_RISE: f64 = 0.0002; // log ratio an outcome: how fast the best latency is forgotten
const WORK_GAIN: f64 = 0.03; // an outcome; a class's work is steadier than an engine's latency
const REPORT_GAIN: f64 = 0.3; // a report; reports are noisy, and refreshed a few times a second
const TICK_MS: f64 = 50.0; // ms; housekeeping, well under any promise
const RATE_MS: f64 = 2000.0; // ms; time constant of the served work that the backlog is held against
const TRAFFIC_MS: f64 = 10_000.0; // ms; time constant of a gateway's traffic: dozens of requests
const BACKLOG_SHARE: f64 = 0.5; // of the most urgent class's slack: the rest is for running
const WARM_PRICE: f64 = 0.75; // against 1: a warm engine is worth some crowding
const IDLE_PRICE: f64 = 0.3; // threads a core: keeps nearly empty engines alike
const TIE_PRICE: f64 = 0.02; // at most, so that gateways and requests break ties differently
const HOME_RANKS: f64 = 4.0; // engines whose preference for a data set their holders agree on by its hash
const LOAD_PART: u64 = 4; // one engine in so many takes the loads of a data set, the others its readers
const APART_PRICE: f64 = 4.0; // of the price, where a load and its readers could meet: standing still costs
const HELD_PRICE: f64 = 3.0; // of the price, where a load would stand still behind another one
const OTHERS_PRICE: f64 = 1.3; // of the price, where another gateway's loads of the data set may be
const CROSS_PRICE: f64 = 1.25; // of the price, where crossing zones costs: an equal engine at home wins
const SLOW_RANGE: (f64, f64) = (0.6, 12.0); // bounds of an engine's slowness against the middle one
const DOWN_MS: (f64, f64) = (250.0, 2000.0); // ms; first and longest pause after a failure
const DOWN_FAILS: u32 = 2; // failures in a row that count as down
const OVERDUE_MS: f64 = 500.0; // ms; no attempt is overdue sooner
const HANG_TIMES: (f64, f64) = (2.0, 10.0); // times its usual time: it hangs; on a down engine, elsewhere
const STALL_PAUSES: u32 = 4; // doublings of the first pause, to 4 s: a trial costs a query its time
const UNHEARD_MS: f64 = 1500.0; // ms without a word from which an engine is unheard
const FORGIVE_MS: f64 = 5000.0; // ms; time constant with which an unheard engine's slowness is forgotten
const RETURN_MS: f64 = 4000.0; // ms taken as cold once back: the list may tell a restart that much later
const COLD_MARGIN: f64 = 0.51; // of all cores' budget: capacity is at 85% busy, and the costs are estimates
const COLD_PARTS: f64 = 6.0; // of the whole cold budget: a query that comes in turn is no larger part
const COLD_TURNS: f64 = 3.0; // gateways that a window leads it on by
const PROBE_MS: f64 = 400.0; // ms; news of an engine older than this is worth a probe
const PROBES_SAVED: f64 = 12.0; // probes saved up at most, one earned a request: a small fleet's round
const ASK_MS: f64 = 40.0; // ms that a request waits for the probes sent for it
const NEWS_MS: f64 = 2000.0; // ms; time constant with which a report fades into the fleet's mean
const PLAN_SPREADS: f64 = 2.5; // half-spreads of the estimate's error: beyond it, its time tells a bad plan
const ERROR_GAIN: f64 = 0.2; // an outcome; an engine's share of errors is followed over some five
const ERROR_PRICE: f64 = 4.0; // of the price, at errors only: who fails at once looks free
const ERROR_PROOFS: u32 = 2; // proven errors in a row from which an engine is in doubt
const ERROR_ENGINES: usize = 3; // engines that fail a query until it is held to be at fault itself
const GRANT_SPREADS: f64 = 1.3; // half-spreads over the usual need: four in five queries do not spill
const PLAN_TIMES: (f64, f64) = (1.5, 4.0); // times its usual time: neither sooner nor with worse estimates
const SCATTER_FIRST: f64 = 0.5; // log ratio; spread of an estimate until some are seen: e-fold at twice that
const SCATTER_STEP: f64 = 0.03; // log ratio an outcome; follows within some twenty
const NOTE_AGE_MS: f64 = 400.0; // ms; a younger attempt's progress is not believed
const END_MARGIN_MS: f64 = 60.0; // ms before its client's deadline at which a waiter is ended
const FIRST_WORK: f64 = 0.5; // of the promise: a class's work over threads until some is seen
const HOLD_OFF_MS: f64 = 100.0; // ms; shortest advice to a refused client; usually twice the backlog
const TICK: u64 = 1; // timer token

#[derive(Default)]
struct Try {
    number: u16,
    engine: EngineId,
    sent: Millis,
    work: f64,
    est: f64,         // its work as estimated, before any correction
    seen: (f64, f64), // own threads there and all threads a core, as it was sent
    called_off: bool,
    streaming: bool,
}

#[derive(Default)]
struct Req {
    seq: u64,
    class: usize,
    key: u64,
    arrived: Millis,
    due: Millis,
    est: Option<f64>,
    dataset: u32,
    memory: f64, // estimated, MB; 0 for none
    attempts: u32,
    cap: u32,   // attempts that it may have
    sends: u16, // handed out, those included that were none
    out: Option<Try>,
    done: bool, // answered or left; kept until its attempt's outcome is in
    ran: Option<(u8, u16, Millis)>, // zone, cell, time of the first send that may have run
    aside: bool,
    erred: Vec<EngineId>, // engines that answered it with an error
    asked: Vec<EngineId>, // engines probed for it
    ask_until: Millis,    // and how long it waits for them
}

/// The mechanism: faded moments of (threads, work) pairs, those of the open interval, and the bound.
#[derive(Default)]
struct Fit {
    s: [f64; 5],
    t: [f64; 3],
    open: [f64; 3], // the open interval: time of threads, times the threads, their output
    outcomes: u32,
    since: Millis,
    start: f64,
    bound: f64,
    up: bool,
    last: f64,
}

#[derive(Default)]
struct Engine {
    line: EngineEntry,
    cold: Option<(Millis, Millis)>, // taken as cold since, until
    threads: u32,
    running: BTreeSet<RequestId>,
    others: f64,
    busy: f64,
    reported: Millis,
    asking: bool, // a probe is out
    cores: f64,   // when warm
    share: f64,   // this gateway's share of the start value, in threads, among its holders
    fit: Fit,
    slow: f64, // log of latency over work, less the crowding
    samples: u32,
    fails: u32,
    shut_until: Millis,
    stalls: u32, // pauses since it last served
    stalled_until: Millis,
    errors: f64, // share of its ends that are errors
    proofs: u32, // errors on what another engine then served, since it last served
    heard: Millis,
    probed_at: Millis,
    cold_sends: Vec<(Millis, f64)>,
    hash: u64,
    banned: bool, // as in the gateway's own list
}

#[derive(Clone, Default)]
struct ClassStat {
    mean: f64,
    seen: u32,
    window: Millis,  // longest time that a client had left on arrival
    memory: Scatter, // of the memory needed about its estimate
    work: Scatter,   // of the work, or of the latency where none is billed, about the estimate
}

/// Middle and spread of a log ratio, followed by steps of equal size: a tail of giants moves neither.
#[derive(Clone, Default)]
struct Scatter {
    middle: f64,
    spread: f64, // half of all ratios lie within it
    seen: u32,
}

/// One gateway: feed it events, carry out its actions.
#[derive(Default)]
pub struct Dispatcher {
    set: Settings,
    seed: u64,
    now: Millis,
    seq: u64,
    reqs: BTreeMap<RequestId, Req>,
    line: BTreeMap<u64, RequestId>,
    keys: BTreeMap<u64, (BTreeMap<u64, RequestId>, Millis)>,
    engines: BTreeMap<EngineId, Engine>,
    beside: f64, // beside another process of this gateway: its part is one in so many
    bans: BTreeSet<EngineId>, // taken out by hand, listed or not
    stats: Vec<ClassStat>,
    best: f64,
    rate: f64,
    taken: VecDeque<Millis>,
    extras: VecDeque<Millis>,
    asked: bool,
    counted: bool,    // reports count queries
    bills: bool,      // answers bill the work
    held: (f64, f64), // faded sums of threads x time and of time: what a held query runs on
    fleet: f64,       // mean of others' queries a core, as warm engines report it
    told: Millis,     // when one last did
    pool: Fit,        // over all engines: threads a core against START_PER_CORE
    stretch: f64,     // latency over work, all engines
    samples: u32,
    widest: f64,
    shares: f64,              // of all engines, in threads
    own: f64,                 // threads of all its running queries
    came: (f64, f64),         // faded: requests taken, ms passed
    probes: f64,              // earned and unspent
    middle_slow: Option<f64>, // the middle engine's
}

impl Dispatcher {
    /// A gateway with these settings; `seed` breaks ties differently at each gateway.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        let set = settings;
        set.check()?;
        Ok(Dispatcher {
            stats: set.classes.iter().map(ClassStat::first).collect(),
            pool: Fit::new(1.0, 0.0),
            probes: PROBES_SAVED,
            widest: set.max_class_threads(),
            best: f64::INFINITY,
            set,
            seed,
            ..Dispatcher::default()
        })
    }

    /// Takes one event at `now_ms` and appends what the host is to do.
    pub fn handle(&mut self, now_ms: Millis, event: Event, actions: &mut Vec<Action>) {
        self.now = self.now.max(now_ms);
        match event {
            Event::EndpointList { kind, entries } => self.on_list(kind, entries),
            Event::ManualEjection {
                engine,
                ejected: out,
                at_ms: at,
            } => self.on_ban(engine, out, at),
            Event::PeerProcesses {
                capacity_divisor: parts,
            } => self.beside = parts,
            Event::Settings(new) => self.on_settings(*new),
            Event::Request(r) => self.on_request(&r, actions),
            Event::ResultStreaming { id, attempt: n } => self
                .try_of(id, n)
                .iter_mut()
                .for_each(|t| t.streaming = true),
            Event::Started | Event::Timer { token: TICK } => self.on_tick(actions),
            Event::Timer { .. } | Event::PeerMessage { .. } => {}
            Event::ClientDisconnected { id } => self.finish(id),
            Event::Progress {
                id,
                attempt,
                progress: note,
            } => self.on_note(id, attempt, note, actions),
            Event::AttemptEnded(e) => {
                self.on_report(e.engine, e.load_report);
                if self
                    .try_of(e.id, e.attempt)
                    .is_some_and(|t| t.engine == e.engine)
                {
                    self.on_ended(&e, actions);
                }
            }
            Event::HealthCheckEnded {
                engine,
                outcome,
                load_report: report,
                ..
            } => {
                self.on_report(engine, report);
                self.engines
                    .get_mut(&engine)
                    .into_iter()
                    .for_each(|e| e.asking = false);
                match outcome {
                    Outcome::Ok => self.answers(engine, actions),
                    Outcome::Rejected | Outcome::NotSent => {}
                    _ => self.fails(engine, "probe", actions),
                }
            }
        }
        self.pump(actions);
    }

    /// Listed engines that it sends nothing at present, by hand or by choice.
    pub fn ejected_engines(&self) -> usize {
        let listed = self
            .engines
            .values()
            .filter(|e| e.line.state != EngineState::Removed);
        listed
            .filter(|e| e.banned || e.usable() && self.now < e.shut_until.max(e.stalled_until))
            .count()
    }

    /// The settings in use.
    pub fn settings(&self) -> &Settings {
        &self.set
    }

    /// The engines that staff have taken out.
    pub fn manual_ejections(&self) -> &BTreeSet<EngineId> {
        &self.bans
    }

    /// Guard: no list, address or start of the engine undoes a ban. It was restarted while it was out, and
    /// the list tells that late or not at all, so it is cold from the call back on.
    fn on_ban(&mut self, engine: EngineId, out: bool, at: Millis) {
        let new = if out {
            self.bans.insert(engine)
        } else {
            self.bans.remove(&engine)
        };
        let Some(e) = self.engines.get_mut(&engine).filter(|_| new) else {
            return;
        };
        e.banned = out;
        if !out {
            e.restart(at, at + self.set.slow_start_ms, e.fit.start, self.now);
        }
    }

    /// How many requests, waiters, keys and engines it holds.
    pub fn state_sizes(&self) -> [usize; 4] {
        [
            self.reqs.len(),
            self.line.len(),
            self.keys.len(),
            self.engines.len(),
        ]
    }

    fn on_list(&mut self, kind: ListUpdateKind, entries: Vec<EngineEntry>) {
        if kind == ListUpdateKind::PollFailed {
            self.asked = false;
            return;
        }
        if matches!(kind, ListUpdateKind::Full | ListUpdateKind::Cached) {
            let named: BTreeSet<EngineId> = entries.iter().map(|e| e.engine).collect();
            let missing = self
                .engines
                .iter_mut()
                .filter(|(id, _)| !named.contains(id));
            missing.for_each(|(_, e)| e.line.state = EngineState::Removed);
        }
        for line in entries {
            let listed = if line.nominal_capacity.is_finite() {
                line.nominal_capacity.max(1.0)
            } else {
                1.0
            };
            let named = self
                .set
                .machine_type_cores
                .get(usize::from(line.machine_type))
                .copied();
            let cores = named.filter(|c| *c > 0.0).unwrap_or(listed);
            let share = cores * START_PER_CORE / self.set.sharing(&line).mean_managers;
            let start = share.max(self.widest);
            let (now, fresh) = (self.now, !self.engines.contains_key(&line.engine));
            let e = self.engines.entry(line.engine).or_default();
            if fresh {
                (e.fit, e.heard) = (Fit::new(start, now), now);
                (e.reported, e.probed_at) = (f64::NEG_INFINITY, f64::NEG_INFINITY);
                e.banned = self.bans.contains(&line.engine);
                let EngineId { addr, port } = line.engine;
                e.hash = mix(u64::from(u32::from_be_bytes(addr)) ^ u64::from(port) << 32);
            }
            let at = line.started_at_ms;
            if at > 0.0 && (fresh || at != e.line.started_at_ms) {
                e.restart(at, at + self.set.slow_start_ms, start, now);
            }
            (e.cores, e.share, e.line) = (cores, share, line);
        }
    }

    /// What was learned of a class goes by its name, and a request's class is the one that it came with.
    fn on_settings(&mut self, new: Settings) {
        let (set, places) =
            new.replacing(&self.set, |at| self.reqs.values().any(|r| r.class == at));
        let known = |name| {
            self.set
                .class_names
                .iter()
                .position(|n| n == name)
                .map(|at| self.stats[at].clone())
        };
        let stats = set.class_names.iter().zip(&set.classes);
        self.stats = stats
            .map(|(name, c)| known(name).unwrap_or_else(|| ClassStat::first(c)))
            .collect();
        self.reqs
            .values_mut()
            .for_each(|r| r.class = places[r.class]);
        (self.widest, self.set) = (set.max_class_threads(), set);
    }

    fn on_request(&mut self, q: &Request, actions: &mut Vec<Action>) {
        let (id, now, class) = (q.id, self.now, q.class);
        if self.reqs.contains_key(&id) {
            return;
        }
        let window = self.set.retry_budget.map_or(0.0, |b| b.window_ms + 10.0);
        for list in [&mut self.taken, &mut self.extras] {
            list.drain(..list.partition_point(|t| now - t > window));
        }
        self.taken.push_back(now);
        self.came.0 += 1.0;
        let Some(c) = self.set.classes.get(class) else {
            return actions.push(Action::Fail { id });
        };
        let due = if q.deadline_ms.is_finite() {
            q.deadline_ms
        } else {
            now + c.client_timeout_ms
        };
        let est = q
            .estimated_work_ms
            .filter(|w| w.is_finite() && *w > 0.0 && *w < 1e9);
        let memory = q
            .estimated_memory_mb
            .filter(|mb| mb.is_finite() && *mb > 0.0)
            .unwrap_or(0.0);
        self.seq += 1;
        let (seq, key, cap) = (
            self.seq,
            q.order_key,
            q.max_attempts.unwrap_or(self.set.max_attempts),
        );
        if c.ordered_by_key && key != 0 {
            self.keys.entry(key).or_default().0.insert(seq, id);
        }
        let s = &mut self.stats[class];
        // What lacks of its client's patience has passed: on an earlier try, or in a pause of this gateway's
        // (id20f69). Its aim runs from there. Harms where a class's clients differ in patience.
        s.window = s.window.max((due - now).min(c.client_timeout_ms));
        let arrived = now.min(due - s.window);
        let r = Req {
            seq,
            class,
            key,
            cap,
            arrived,
            due,
            est,
            dataset: q.data_set,
            memory,
            ..Req::default()
        };
        self.line.insert(seq, id);
        self.reqs.insert(id, r);
        self.probes = (self.probes + 1.0).min(PROBES_SAVED);
        self.shed(actions);
        self.ask(id, actions);
        self.pump(actions);
        // A client with no patience left may be gone before the next tick (18f1f014: no answer in its time).
        if self.hopeless(id) {
            self.end(id, actions);
        }
    }

    #[expect(clippy::too_many_lines, reason = "not split yet")]
    fn on_ended(&mut self, ended: &AttemptEnded, actions: &mut Vec<Action>) {
        let AttemptEnded {
            id,
            outcome,
            elapsed_ms: took,
            answered: finished,
            measured_work_ms: billed,
            measured_memory_mb: billed_mb,
            ..
        } = *ended;
        let now = self.now;
        let crowd = self
            .engines
            .get(&ended.engine)
            .map_or(1.0, |e| (self.load(e) / self.cores(e)).max(1.0));
        let Some(r) = self.reqs.get_mut(&id) else {
            return;
        };
        let Some(t) = r.out.take() else { return };
        let (class, key, seq, done, hinted) =
            (r.class, r.key, r.seq, r.done || finished, r.est.is_some());
        if let Some(mb) = billed_mb.filter(|mb| mb.is_finite() && *mb > 0.0 && r.memory > 0.0) {
            self.stats[class].memory.see((mb / r.memory).ln());
        }
        let threads = self.set.classes[class].threads;
        let ran = matches!(
            outcome,
            Outcome::Error | Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled
        );
        if let Some(e) = self.engines.get_mut(&t.engine) {
            e.threads = e.threads.saturating_sub(threads);
            self.own -= f64::from(threads);
            e.running.remove(&id);
            r.ran = r.ran.or(ran.then_some((e.line.zone, e.line.cell, t.sent)));
        }
        if let Some((_, rest)) = self
            .keys
            .get_mut(&key)
            .filter(|_| ran && outcome != Outcome::Error)
        {
            *rest = rest.max(now + self.set.order_key_pause_ms);
        }
        match outcome {
            Outcome::Ok => {
                self.learn(class, &t, hinted, took, billed, crowd);
                self.answers(t.engine, actions);
                if let Some(e) = self.engines.get_mut(&t.engine) {
                    (e.stalls, e.stalled_until, e.proofs) = (0, 0.0, 0);
                    e.errors -= ERROR_GAIN * e.errors;
                }
                self.convict(id, actions);
            }
            Outcome::Error => {
                if let Some(e) = self.engines.get_mut(&t.engine) {
                    e.errors += ERROR_GAIN * (1.0 - e.errors);
                    if e.proofs >= ERROR_PROOFS {
                        e.stall(now);
                    }
                }
                self.reqs.get_mut(&id).expect("ended").erred.push(t.engine);
            }
            Outcome::Rejected => {
                self.engines
                    .get_mut(&t.engine)
                    .into_iter()
                    .for_each(|e| e.stall(now));
                self.crowded(t.engine);
            }
            Outcome::NoConnection => self.fails(t.engine, "no_connection", actions),
            Outcome::NoConnectionSlot => {
                // It was none. Who has a query there has a connection; for a tick no other engine is reached.
                let none = |e: &&mut Engine| e.running.is_empty() || e.line.engine == t.engine;
                let shut = |e: &mut Engine| e.shut_until = e.shut_until.max(now + TICK_MS);
                self.engines.values_mut().filter(none).for_each(shut);
                self.reqs.get_mut(&id).expect("ended").attempts -= 1;
            }
            _ => {}
        }
        if done || outcome == Outcome::Ok {
            return self.finish(id);
        }
        self.line.insert(seq, id); // at its first age
        if outcome == Outcome::NotSent || !self.may_repeat(id) || self.hopeless(id) {
            return self.end(id, actions);
        }
        self.ask(id, actions);
    }

    /// Engines that failed what another serves are at fault. Guard: an error alone proves nothing, as engines
    /// answer so to what clients send and nobody can use; yet one that fails everything at once looks free.
    fn convict(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let erred = self
            .reqs
            .get_mut(&id)
            .map_or(Vec::new(), |r| std::mem::take(&mut r.erred));
        for at in erred {
            let Some(e) = self.engines.get_mut(&at) else {
                continue;
            };
            e.proofs = e.proofs.saturating_add(1);
            if e.proofs == ERROR_PROOFS {
                e.stall(self.now);
                actions.push(Action::Log {
                    line: format!("engine={at} state=doubted why=errors"),
                });
            }
        }
    }

    /// What a served attempt teaches: the class's work, the engine's latency, the interval's output.
    fn learn(
        &mut self,
        class: usize,
        t: &Try,
        hinted: bool,
        took: f64,
        bill: Option<f64>,
        crowd: f64,
    ) {
        let threads = self.threads(class);
        let took = if took.is_finite() {
            took.max(0.1)
        } else {
            return;
        };
        let bill = bill.filter(|w| w.is_finite() && *w > 0.0);
        self.bills |= bill.is_some();
        // Guard: an estimate counts once its query is served: anyone may send one, engines serve no nonsense.
        self.stats[class].see(if hinted {
            t.est
        } else {
            bill.unwrap_or(took * threads / crowd)
        });
        let work = bill.unwrap_or(t.work);
        let ratio = (took * threads / work.max(0.1)).ln().clamp(-3.0, 5.0);
        if hinted {
            // A bill tells the estimate's error, else latency against all others'.
            self.stats[class]
                .work
                .see(bill.map_or(ratio - self.stretch, |w| (w / t.est).ln()));
        }
        self.rate += work / RATE_MS;
        self.samples = self.samples.saturating_add(1);
        self.stretch += LATENCY_GAIN.max(1.0 / f64::from(self.samples)) * (ratio - self.stretch);
        if f64::from(self.samples) > 1.0 / LATENCY_GAIN {
            self.best = (self.best + BEST_RISE).min(self.stretch);
        }
        let Some(e) = self.engines.get_mut(&t.engine) else {
            return;
        };
        e.samples = e.samples.saturating_add(1);
        e.slow += LATENCY_GAIN.max(1.0 / f64::from(e.samples)) * (ratio - crowd.ln() - e.slow);
        // It adds to its interval the threads while it ran and their output; what vanished leaves no
        // trace. So to the engine's own fit and one pooled over all, with others' threads, where it has few.
        let e = &self.engines[&t.engine];
        let own = (t.seen.0 + f64::from(e.threads) + threads) / 2.0;
        let all = (t.seen.1 + (self.load(e) + threads) / self.cores(e)) / 2.0;
        let (now, cores) = (self.now, e.cores);
        let time = (took * threads).min(4.0 * work * self.usual_stretch()); // a giant: four usual queries
        self.pool.pair(
            all / START_PER_CORE,
            time,
            work,
            (now, POOL_FITS, threads / START_PER_CORE / cores),
        );
        if let Some(e) = self.engines.get_mut(&t.engine).filter(|e| e.warm(now)) {
            e.fit.pair(
                own / e.fit.start,
                time,
                work,
                (now, FIT_PAIRS, threads / e.fit.start),
            );
        }
    }

    fn on_report(&mut self, engine: EngineId, report: LoadReport) {
        let sane = |x: &f64| x.is_finite() && *x >= 0.0;
        // What hangs holds memory while cores and disks idle: its engine must not look free (29742104).
        let shares = [report.cpu_busy, report.disk_busy, report.memory_granted];
        let busy = shares.into_iter().flatten().filter(sane).reduce(f64::max);
        let each = if self.held.1 > 0.0 {
            self.held.0 / self.held.1
        } else {
            1.0
        };
        let full = START_PER_CORE * self.pool.bound;
        let Some(e) = self.engines.get_mut(&engine) else {
            return;
        };
        // Busy cores or disks stand in for threads; at the ceiling, where more do not show, for all that fit.
        let by_busy = |b: f64| e.cores * if b < PRESSURE_BUSY { b } else { full };
        let waiting = report.memory_queue.filter(sane).unwrap_or(0.0) * each;
        let told = report
            .inflight
            .filter(sane)
            .map(|n| (n - e.running.len() as f64) * each);
        self.counted |= told.is_some();
        let Some(others) = told.or(busy.map(|b| by_busy(b) - f64::from(e.threads) + waiting))
        else {
            return;
        };
        let gain = REPORT_GAIN.max(1.0 - (-(self.now - e.reported) / PROBE_MS).exp());
        e.reported = self.now;
        if self.set.instances > 1 {
            e.others += gain * (others.max(0.0) - e.others);
            // Guard: what has just started answers soonest, and would hide who drowns.
            if e.warm(self.now) {
                let gain = LATENCY_GAIN.max(1.0 - (-(self.now - self.told) / NEWS_MS).exp());
                self.fleet += gain * (others.max(0.0) / e.cores - self.fleet);
                self.told = self.now;
            }
        }
        let busy = if told.is_some() {
            report.cpu_busy.filter(sane)
        } else {
            busy
        }; // a count tells more
        e.busy += busy.map_or(0.0, |b| gain * (b - e.busy));
    }

    /// What counts as a report of an engine as crowded.
    fn crowded(&mut self, at: EngineId) {
        if let Some(e) = self.engines.get_mut(&at) {
            (e.others, e.reported) = (
                e.others.max(e.cores * START_PER_CORE * self.pool.bound),
                self.now,
            );
        }
    }

    /// A query on a bad plan is called off and sent again: the one case in which a healthy engine's query is.
    fn on_note(&mut self, id: RequestId, attempt: u16, note: Progress, actions: &mut Vec<Action>) {
        // A wait for memory reports the engine as crowded, whatever its cores tell; so where nothing reports.
        let Some(engine) = self.try_of(id, attempt).map(|t| t.engine) else {
            return;
        };
        if note == Progress::WaitingForMemory {
            self.crowded(engine);
        }
        let (Progress::ShareDone(share), Some(r)) = (note, self.reqs.get(&id)) else {
            return;
        };
        let Some(t) = r.out.as_ref() else { return };
        let age = self.now - t.sent;
        let lone = t.work / self.threads(r.class);
        let whole = age / share.clamp(1e-3, 1.0);
        let afresh = lone * self.usual_stretch().max(1.0);
        let here = lone
            * self.engines.get(&engine).map_or(1.0, |e| self.slowness(e))
            * self.usual_stretch();
        let slow_plan = whole > self.plan_times(r) * here.max(afresh) && whole - age > 1.5 * afresh;
        // What may run once only is never called off: late is worth more than lost (31d1870b).
        let sure = !r.done && share.is_finite() && age >= NOTE_AGE_MS && self.repeatable(r);
        let too_late = self.now + (whole - age) * 0.7 > r.due;
        if sure && slow_plan && (self.again(r) && self.now + afresh < r.due || too_late) {
            self.call_off(id, actions);
        }
    }

    fn on_tick(&mut self, actions: &mut Vec<Action>) {
        actions.push(Action::SetTimer {
            after_ms: TICK_MS,
            token: TICK,
        });
        self.rate *= 1.0 - TICK_MS / RATE_MS;
        // Guard: a key outlives its last request by its rest, and no longer.
        self.keys
            .retain(|_, (held, rest)| !held.is_empty() || *rest > self.now);
        self.came.0 *= 1.0 - TICK_MS / TRAFFIC_MS;
        self.came.1 += TICK_MS - self.came.1 * TICK_MS / TRAFFIC_MS;
        if self.set.must_poll_list && !std::mem::replace(&mut self.asked, true) {
            actions.push(Action::SubscribeEndpointList);
        }
        let mut slow: Vec<f64> = self
            .engines
            .values()
            .filter(|e| e.samples > 4)
            .map(|e| e.slow)
            .collect();
        slow.sort_by(f64::total_cmp);
        self.middle_slow = slow.get(slow.len() / 2).copied();
        let usable = self.engines.values().filter(|e| e.usable());
        self.shares = usable.map(|e| e.share * self.cores(e) / e.cores).sum();
        self.watch(actions);
        self.line
            .values()
            .next()
            .copied()
            .into_iter()
            .for_each(|id| self.ask(id, actions));
        let late: Vec<RequestId> = self
            .line
            .values()
            .copied()
            .filter(|id| self.hopeless(*id))
            .collect();
        late.into_iter().for_each(|id| self.end(id, actions));
        self.shed(actions);
    }

    /// Waiters go oldest first while the head fits; those blocked by key, placement or a guard step aside.
    fn pump(&mut self, actions: &mut Vec<Action>) {
        let waiting: Vec<RequestId> = self.line.values().copied().collect();
        for id in waiting {
            let r = &self.reqs[&id];
            let asking = |at: &EngineId| self.engines.get(at).is_some_and(|e| e.asking);
            if self.now < r.ask_until && r.asked.iter().any(asking) {
                break;
            }
            let turn =
                self.turn(id, r) && (r.attempts == 0 || self.may_extra() && self.may_repeat(id));
            let open = |e: &&Engine| turn && self.takes(r, e) && self.cold_room(r, e);
            let fits = |e: &Engine| self.room(r.class, e) || !self.pressed(e);
            let homes = self.homes(r);
            let priced = self.engines.values().filter(open).filter(|e| fits(e));
            let pick = priced.map(|e| (self.price(r, e, &homes), e.line.engine));
            let head = self.engines.values().any(|e| open(&e));
            if let Some((_, engine)) = pick.min_by(|a, b| a.0.total_cmp(&b.0)) {
                self.send(id, engine, actions);
                continue;
            }
            self.reqs.get_mut(&id).expect("waiting").aside = !head;
            if head {
                break;
            }
        }
    }

    /// Whether a class's threads fit under n*. Where an engine's share is less than the widest query, own
    /// threads on all engines fit under all their n*, or an engine's reported ones under all gateways':
    /// who holds back all that it has gets no more news (ecd87ede).
    fn room(&self, class: usize, e: &Engine) -> bool {
        let threads = self.threads(class);
        // Busy cores say nothing of what waits there for memory or a load.
        let all = self.counted
            && self.load(e) + threads <= START_PER_CORE * self.pool.bound * self.cores(e);
        let own =
            self.own + threads <= (self.shares * self.weight() * self.pool.bound).max(self.widest);
        f64::from(e.threads) + threads <= e.fit.bound && (e.share >= self.widest || all || own)
    }

    /// This gateway's traffic against the mean one's, where the tenants' quotas tell what all take together.
    fn weight(&self) -> f64 {
        let quota: f64 = self.set.tenant_quotas_per_s.iter().sum();
        let usual = quota / 1000.0 / f64::from(self.set.instances) * self.came.1;
        if quota > 0.0 {
            (1.0 + self.came.0) / (1.0 + usual)
        } else {
            1.0
        }
    }

    /// The engines that their holders prefer for a request's data set, as they keep it warm: by hash.
    fn homes(&self, r: &Req) -> Vec<EngineId> {
        let rank = |e: &Engine| (mix(e.hash ^ u64::from(r.dataset)), e.line.engine);
        let mut best: Vec<_> = self
            .engines
            .values()
            .filter(|e| e.usable())
            .map(rank)
            .collect();
        best.sort_unstable_by(|a, b| b.cmp(a));
        best.into_iter()
            .take(HOME_RANKS as usize)
            .map(|(_, at)| at)
            .collect()
    }

    /// Probes what a request may be sent to and has not been heard of lately: two that prefer its data set
    /// and one by chance. Where own answers bring the news, none is due.
    fn ask(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(r) = self
            .reqs
            .get(&id)
            .filter(|r| self.set.health_checks_allowed && r.out.is_none() && !r.done)
        else {
            return;
        };
        let open: Vec<EngineId> = self
            .engines
            .values()
            .filter(|e| self.takes(r, e))
            .map(|e| e.line.engine)
            .collect();
        let chance = mix(self.seed ^ self.now.to_bits() ^ r.seq) as usize;
        let mut asked: Vec<EngineId> = self
            .homes(r)
            .into_iter()
            .filter(|at| open.contains(at))
            .take(2)
            .collect();
        asked.extend(open.get(chance % open.len().max(1)));
        let now = self.now;
        let stale = |e: &Engine| now - e.reported >= PROBE_MS;
        asked.retain(|at| self.engines.get(at).is_some_and(stale) && self.probe(*at, actions));
        let r = self.reqs.get_mut(&id).expect("asks");
        (r.asked, r.ask_until) = (asked, now + ASK_MS);
    }

    fn send(&mut self, id: RequestId, engine: EngineId, actions: &mut Vec<Action>) {
        let now = self.now;
        let r = &self.reqs[&id];
        let (class, work) = (r.class, self.work_of(r));
        let (usual, threads) = (self.stats[class].mean, self.set.classes[class].threads);
        let lone = usual / f64::from(threads);
        self.held.0 += lone * f64::from(threads) - WORK_GAIN * self.held.0;
        self.held.1 += lone - WORK_GAIN * self.held.1;
        if r.attempts > 0 {
            self.extras.push_back(now);
        }
        let crowd = |e| (self.load(e) + f64::from(threads)) / self.cores(e);
        let all = self.engines.get(&engine).map_or(0.0, crowd);
        let Some(e) = self.engines.get_mut(&engine) else {
            return;
        };
        e.threads += threads;
        let seen = (f64::from(e.threads), all);
        self.own += f64::from(threads);
        e.running.insert(id);
        e.cold_sends
            .retain(|(t, _)| now - t <= self.set.overload_window_ms);
        e.cold_sends.push((now, (usual / 4.0).max(work)));
        if e.fails > 0 {
            e.shut_until = now + e.pause();
        }
        let r = self.reqs.get_mut(&id).expect("waiting");
        let number = r.sends;
        let est = r.est.unwrap_or(work);
        r.out = Some(Try {
            number,
            engine,
            sent: now,
            work,
            est,
            seen,
            ..Try::default()
        });
        (r.attempts, r.sends, r.aside) = (r.attempts + 1, r.sends.saturating_add(1), false);
        self.line.remove(&r.seq);
        let error = &self.stats[class].memory;
        if self.set.memory_grants_supported && r.memory > 0.0 && error.seen > 4 {
            let memory_mb = r.memory * (error.middle + GRANT_SPREADS * error.spread).exp();
            actions.push(Action::SetAttemptTerms {
                id,
                memory_mb,
                priority: 1,
            });
        }
        actions.push(Action::StartAttempt {
            id,
            engine,
            timeout_ms: None,
        });
    }

    fn turn(&self, id: RequestId, r: &Req) -> bool {
        let free = !self.set.classes[r.class].ordered_by_key || r.key == 0;
        free || self.keys.get(&r.key).is_none_or(|(held, rest)| {
            held.values().next() == Some(&id) && (r.attempts > 0 || self.now >= *rest)
        })
    }

    /// Whether the rules and the engine's health let this request go there.
    fn takes(&self, r: &Req, e: &Engine) -> bool {
        let c = &self.set.classes[r.class];
        let placed = c
            .allowed_zones
            .as_ref()
            .is_none_or(|z| z.contains(&e.line.zone))
            && c.allowed_machine_types
                .as_ref()
                .is_none_or(|k| k.contains(&e.line.machine_type));
        let group = match (c.idempotency, r.ran) {
            (Idempotency::WithKey(DedupScope::Zone), Some((zone, _, _))) => e.line.zone == zone,
            (Idempotency::WithKey(DedupScope::Cell), Some((_, cell, _))) => e.line.cell == cell,
            _ => true,
        };
        // One in doubt is tried with one query at a time that may be sent again.
        let doubt = e.proofs >= ERROR_PROOFS
            && !(e.running.is_empty() && c.idempotency == Idempotency::Idempotent);
        e.usable() && placed && group && !doubt && self.now >= e.shut_until.max(e.stalled_until)
    }

    fn price(&self, r: &Req, e: &Engine, homes: &[EngineId]) -> f64 {
        let after = self.load(e) + self.threads(r.class);
        // Readers of a data set may stand still behind its loads: a hash that all gateways share parts them.
        let c = &self.set.classes[r.class];
        let kept = mix(e.hash.rotate_left(17) ^ u64::from(r.dataset)).is_multiple_of(LOAD_PART);
        let load = c.is_bulk_load && self.set.classes.iter().any(|c| c.waits_for_bulk_loads);
        let apart = if load && !kept || c.waits_for_bulk_loads && kept {
            APART_PRICE
        } else {
            1.0
        };
        let rank = homes
            .iter()
            .position(|at| *at == e.line.engine)
            .map_or(1.0, |k| k as f64 / HOME_RANKS);
        // With no reports nothing tells a crowded home, and a hot data set would sink its four (04dbf6b8).
        let homeless = load || self.set.load_reports == LoadReportMode::Off;
        let home = if homeless {
            1.0
        } else {
            WARM_PRICE + (1.0 - WARM_PRICE) * rank
        };
        let near = self.set.cross_zone_cost <= 0.0 || e.line.zone == self.set.zone;
        let crossing = if near { 1.0 } else { CROSS_PRICE };
        // It goes elsewhere after an error, where there is another engine.
        let again = if r.erred.contains(&e.line.engine) {
            ERROR_PRICE
        } else {
            0.0
        };
        let errors = 1.0 + ERROR_PRICE * e.errors + again;
        let tie = 1.0 + TIE_PRICE * (mix(e.hash ^ self.seed ^ r.seq) >> 11) as f64 / 2f64.powi(53);
        let held = if c.is_bulk_load {
            self.load_price(r, e)
        } else {
            1.0
        };
        let crowd = (IDLE_PRICE + after / self.cores(e)) * self.slowness(e);
        crowd * home * tie * apart * crossing * errors * held
    }

    /// A load stands still while another one of its data set runs there. Own ones are known; those of other
    /// holders are kept apart by a hash that all share: each has its part of the engines for a data set.
    fn load_price(&self, r: &Req, e: &Engine) -> f64 {
        let same =
            |other: &Req| other.dataset == r.dataset && self.set.classes[other.class].is_bulk_load;
        let EngineSharing {
            max_managers: most,
            rank: place,
            ..
        } = self.set.sharing(&e.line);
        let own = mix(e.hash.rotate_left(11) ^ u64::from(r.dataset)) % u64::from(most)
            == u64::from(place);
        let held = if e.running.iter().any(|id| same(&self.reqs[id])) {
            HELD_PRICE
        } else {
            1.0
        };
        held * if own { 1.0 } else { OTHERS_PRICE }
    }

    /// How much an engine's last report still tells; the rest is the fleet's mean.
    fn trust(&self, e: &Engine) -> f64 {
        (-(self.now - e.reported) / NEWS_MS).exp()
    }

    /// Threads on an engine: own, and others' as reported. With no reports, latency alone tells of them.
    fn load(&self, e: &Engine) -> f64 {
        let usual = if e.warm(self.now) {
            self.fleet * self.cores(e)
        } else {
            0.0
        };
        f64::from(e.threads) + usual + (e.others - usual) * self.trust(e)
    }

    /// Cores an engine has to give now: while it is cold, a climb below the straight line.
    fn cores(&self, e: &Engine) -> f64 {
        let cold = e
            .cold
            .filter(|_| !e.warm(self.now) && self.set.slow_start_ms > 0.0);
        let Some((from, _)) = cold else {
            return e.cores;
        };
        let age = ((self.now - from) / self.set.slow_start_ms).clamp(0.0, 1.0);
        let share = self.set.slow_start_initial_share.clamp(0.01, 1.0);
        e.cores * (share + (1.0 - share) * age * age)
    }

    /// How much slower than the middle engine: a common cause slows all, so none stands out.
    fn slowness(&self, e: &Engine) -> f64 {
        let middle = self.middle_slow.filter(|_| e.samples > 4);
        middle.map_or(1.0, |m| {
            (e.slow - m).exp().clamp(SLOW_RANGE.0, SLOW_RANGE.1)
        })
    }

    fn usual_stretch(&self) -> f64 {
        if self.samples > 4 {
            self.stretch.exp().clamp(0.8, 8.0)
        } else {
            1.5
        }
    }

    fn pressed(&self, e: &Engine) -> bool {
        let crowded = self.load(e) > PRESSURE_CROWD * self.cores(e);
        let far_above = self.stretch + self.slowness(e).ln() > self.best + PRESSURE_STRETCH.ln();
        far_above || crowded || e.busy * self.trust(e) > PRESSURE_BUSY || e.stalls > 0
    }

    fn threads(&self, class: usize) -> f64 {
        f64::from(self.set.classes[class].threads)
    }

    fn work_of(&self, r: &Req) -> f64 {
        let s = &self.stats[r.class];
        let error = if self.bills && s.work.seen > 4 {
            s.work.middle
        } else {
            0.0
        };
        r.est.map_or(s.mean, |w| w * error.exp()).max(0.1)
    }

    fn answers(&mut self, at: EngineId, actions: &mut Vec<Action>) {
        let now = self.now;
        let Some(e) = self.engines.get_mut(&at) else {
            return;
        };
        e.heard = now;
        if e.fails >= DOWN_FAILS {
            // It may have restarted, and the list tells so seconds late: for that long it is taken as cold.
            let cold = e.cold.filter(|(_, until)| *until >= now);
            e.cold = cold.or(Some((now, now + RETURN_MS.min(self.set.slow_start_ms))));
            actions.push(Action::Log {
                line: format!("engine={at} state=back why=answered"),
            });
        }
        (e.fails, e.shut_until) = (0, 0.0);
    }

    fn fails(&mut self, at: EngineId, why: &str, actions: &mut Vec<Action>) {
        let now = self.now;
        let Some(e) = self.engines.get_mut(&at) else {
            return;
        };
        let was = e.fails;
        let unheard = now - e.heard > UNHEARD_MS; // where news is rare, one failure has to tell
        e.fails = was.saturating_add(if unheard { DOWN_FAILS } else { 1 });
        e.shut_until = now + e.pause();
        if was < DOWN_FAILS && e.fails >= DOWN_FAILS {
            actions.push(Action::Log {
                line: format!("engine={at} state=down why={why}"),
            });
        }
    }

    /// Calls off what hangs, and probes: where attempts hang, where a failure's pause is over, and the whole
    /// fleet where that is a small share of the traffic.
    fn watch(&mut self, actions: &mut Vec<Action>) {
        let now = self.now;
        let round = self.set.load_reports == LoadReportMode::OnHealthCheck
            && self.probes > PROBES_SAVED / 2.0;
        let untold = self.set.progress_interval_ms == 0.0 && !self.bills;
        let ids: Vec<EngineId> = self.engines.keys().copied().collect();
        for at in ids {
            let e = &self.engines[&at];
            // What hangs on an engine that is down is called off; elsewhere what takes far too long, as its
            // answer is lost (i89ce4e, i40a09d). Harms where a fault makes queries hang, yet end.
            let slow = self.slowness(e).max(1.0) * self.usual_stretch().max(1.0);
            let hangs = |id: &RequestId| {
                let r = &self.reqs[id];
                let plan = Some(self.plan_times(r)).filter(|plan| untold && *plan < PLAN_TIMES.1);
                let times = if e.fails >= DOWN_FAILS {
                    HANG_TIMES.0
                } else {
                    plan.unwrap_or(HANG_TIMES.1)
                };
                let due = |t: &Try| (t.work / self.threads(r.class) * slow * times).max(OVERDUE_MS);
                let late = |t: &Try| now - t.sent > due(t);
                !r.done && r.out.as_ref().is_some_and(late) && self.again(r)
            };
            let hung: Vec<RequestId> = e.running.iter().copied().filter(hangs).collect();
            let wanted = round || !hung.is_empty() || e.fails > 0 && now >= e.shut_until;
            hung.into_iter().for_each(|id| self.call_off(id, actions));
            let _ = wanted && self.probe(at, actions);
            let e = self.engines.get_mut(&at).expect("listed");
            if now - e.heard > UNHEARD_MS {
                e.slow *= 1.0 - TICK_MS / FORGIVE_MS;
            }
        }
        self.engines
            .retain(|_, e| e.line.state != EngineState::Removed || !e.running.is_empty());
    }

    /// Times its usual time from which an attempt is given up. Where neither notes nor bills tell of bad
    /// plans, elapsed time does, past the estimates' error; also covers lost answers and slow engines.
    /// Harms where latency rises faster than answers tell, as it then calls off what is crowded (0f513397).
    fn plan_times(&self, r: &Req) -> f64 {
        let error = &self.stats[r.class].work;
        let times = (error.middle * f64::from(!self.bills) + PLAN_SPREADS * error.spread)
            .exp()
            .max(PLAN_TIMES.0);
        if r.est.is_some() {
            times.min(HANG_TIMES.1)
        } else {
            HANG_TIMES.1
        }
    }

    /// Probes an engine that was not heard of lately, if a probe is to be had.
    fn probe(&mut self, at: EngineId, actions: &mut Vec<Action>) -> bool {
        let (now, usable) = (
            self.now,
            self.set.health_checks_allowed && self.probes >= 1.0,
        );
        let due = |e: &&mut Engine| usable && e.usable() && now - e.probed_at >= PROBE_MS;
        let Some(e) = self.engines.get_mut(&at).filter(due) else {
            return false;
        };
        self.probes -= 1.0;
        (e.probed_at, e.asking) = (now, true);
        actions.push(Action::SendHealthCheck { engine: at });
        true
    }

    fn call_off(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let out = self.reqs.get_mut(&id).and_then(|r| r.out.as_mut());
        if let Some(t) =
            out.filter(|t| self.set.cancellation_allowed && !t.called_off && !t.streaming)
        {
            t.called_off = true;
            actions.push(Action::CancelAttempt {
                id,
                attempt: t.number,
            });
        }
    }

    /// The cold budget: a multiple of present capacity in any window, divided among its holders. A query
    /// counts for its own estimate, yet a quarter of its class's mean at least, as anyone may send one.
    fn cold_room(&self, r: &Req, e: &Engine) -> bool {
        if e.warm(self.now) {
            return true;
        }
        let window = self.set.overload_window_ms;
        let w = (self.stats[r.class].mean / 4.0).max(self.work_of(r));
        let holders = self.set.sharing(&e.line);
        let all = f64::from(holders.max_managers);
        let whole = self.set.overload_multiple * self.cores(e) * window;
        let sent: f64 = e
            .cold_sends
            .iter()
            .filter(|(t, _)| self.now - t <= window)
            .map(|(_, w)| w)
            .sum();
        // A share of less than one query comes in turn, by a clock and a hash that all share.
        let room = whole * COLD_MARGIN / all / self.beside.max(1.0); // two processes share one part
        let at = self.now / window * COLD_TURNS + f64::from(holders.rank) + (e.hash % 4096) as f64;
        let place = at.rem_euclid(all);
        sent + w <= room || sent == 0.0 && w * COLD_PARTS <= whole && place * w < room * all
    }

    /// Rule 7: whether a further attempt stays within its budget.
    fn may_extra(&self) -> bool {
        let Some(b) = self.set.retry_budget else {
            return true;
        };
        let from = self.now - b.window_ms;
        // The window's edge is drawn tight for what is taken and wide for what is spent.
        let taken = (self.taken.len() - self.taken.partition_point(|t| *t <= from)) as f64;
        let spent = (self.extras.len() - self.extras.partition_point(|t| *t < from - 1.0)) as f64;
        spent + 1.0 <= (b.free_retries + b.retries_per_request * taken).floor()
    }

    fn repeatable(&self, r: &Req) -> bool {
        let c = &self.set.classes[r.class];
        let remembered = r
            .ran
            .is_none_or(|(_, _, sent)| self.now < sent + c.dedup_window_ms - 1.0);
        c.idempotency == Idempotency::Idempotent
            || c.idempotency != Idempotency::NonIdempotent && remembered
    }

    /// Whether an attempt that is out may be given up for another.
    fn again(&self, r: &Req) -> bool {
        self.repeatable(r) && r.attempts < r.cap && self.may_extra()
    }

    fn may_repeat(&self, id: RequestId) -> bool {
        let r = &self.reqs[&id];
        let rule = r.ran.is_none() || self.repeatable(r);
        rule && r.erred.len() < ERROR_ENGINES
            && r.attempts < r.cap
            && self.now + END_MARGIN_MS < r.due
    }

    /// Whether a waiter earns no place any more: in line once it would miss its aim, aside its client.
    fn hopeless(&self, id: RequestId) -> bool {
        let Some(r) = self.reqs.get(&id).filter(|r| r.out.is_none()) else {
            return false;
        };
        let c = &self.set.classes[r.class];
        let lone = self.work_of(r) / f64::from(c.threads);
        let left = r.due - END_MARGIN_MS - self.now;
        if left <= lone.min(self.stats[r.class].mean * 4.0)
            || r.attempts > 0 && !self.may_repeat(id)
        {
            return true;
        }
        !r.aside
            && self.now + lone * self.usual_stretch()
                > r.arrived + (c.latency_objective_ms + c.objective_work_factor * lone)
    }

    /// Past the backlog that the most urgent class stands, the least worth for its work is refused.
    fn shed(&mut self, actions: &mut Vec<Action>) {
        loop {
            let (mut work, mut slack) = (0.0, f64::INFINITY);
            let mut worst: Option<(f64, RequestId)> = None;
            let middle = self.usual_stretch();
            for (id, r) in self
                .line
                .values()
                .map(|id| (*id, &self.reqs[id]))
                .filter(|(_, r)| !r.aside)
            {
                let c = &self.set.classes[r.class];
                let w = self.work_of(r);
                work += w;
                let lone = self.stats[r.class].mean / self.threads(r.class);
                slack =
                    slack.min(c.latency_objective_ms + (c.objective_work_factor - middle) * lone);
                let density = c.priority_weight / w;
                if self.refusable(r) && worst.is_none_or(|(d, _)| density <= d) {
                    worst = Some((density, id));
                }
            }
            let over = work / self.service_rate() > slack * BACKLOG_SHARE && self.line.len() > 1;
            let Some((_, id)) = worst.filter(|_| over) else {
                return;
            };
            self.end(id, actions);
        }
    }

    /// Work served a millisecond, as measured, but no less than a part of what the usable cores give.
    fn service_rate(&self) -> f64 {
        let part = |e: &Engine| {
            self.cores(e)
                * (f64::from(self.set.instances) / self.set.sharing(&e.line).mean_managers)
        };
        let cores: f64 = self.engines.values().filter(|e| e.usable()).map(part).sum();
        self.rate
            .max(cores * 0.3 * self.weight() / f64::from(self.set.instances))
            .max(0.01)
    }

    fn refusable(&self, r: &Req) -> bool {
        let anywhere = Idempotency::WithKey(DedupScope::All);
        r.ran.is_none()
            || [Idempotency::Idempotent, anywhere].contains(&self.set.classes[r.class].idempotency)
    }

    /// The final answer, at once: refused with advice where the rules allow, else failed.
    fn end(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(r) = self.reqs.get(&id) else { return };
        let alive = self.now < r.due;
        // What several engines failed would only come back as it is.
        let useless = r.erred.len() >= ERROR_ENGINES;
        if self.refusable(r) && alive && !useless {
            let work: f64 = self
                .line
                .values()
                .map(|i| self.work_of(&self.reqs[i]))
                .sum();
            let wait = (2.0 * work / self.service_rate())
                .max(HOLD_OFF_MS)
                .min(self.set.max_retry_after_ms);
            actions.push(Action::Reject {
                id,
                retry_after_ms: wait,
            });
        } else {
            actions.push(Action::Fail { id });
        }
        self.finish(id);
    }

    /// The request is over; its attempt, if any is out, is still counted until its outcome.
    fn finish(&mut self, id: RequestId) {
        let Some(r) = self.reqs.get_mut(&id) else {
            return;
        };
        r.done = true;
        self.line.remove(&r.seq);
        if r.out.is_some() {
            return;
        }
        let (key, seq) = (r.key, r.seq);
        self.reqs.remove(&id);
        if let Some((held, _)) = self.keys.get_mut(&key) {
            held.remove(&seq);
        }
    }

    fn try_of(&mut self, id: RequestId, attempt: u16) -> Option<&mut Try> {
        self.reqs
            .get_mut(&id)?
            .out
            .as_mut()
            .filter(|t| t.number == attempt)
    }
}

impl Scatter {
    fn see(&mut self, ratio: f64) {
        self.seen = self.seen.saturating_add(1);
        let step = SCATTER_STEP.max(SCATTER_FIRST / f64::from(self.seen));
        self.middle += (ratio - self.middle).clamp(-step, step);
        let wide = if (ratio - self.middle).abs() > self.spread {
            0.5
        } else {
            -0.5
        };
        self.spread = (self.spread + step * wide).max(0.02);
    }
}

impl ClassStat {
    fn first(c: &Class) -> Self {
        let mean = (c.latency_objective_ms * FIRST_WORK * f64::from(c.threads)).max(1.0);
        let error = Scatter {
            spread: SCATTER_FIRST,
            ..Scatter::default()
        };
        ClassStat {
            mean,
            memory: error.clone(),
            work: error,
            ..ClassStat::default()
        }
    }

    /// Takes one query's work into the mean; a rare giant counts as twenty usual ones.
    fn see(&mut self, work: f64) {
        self.seen += 1;
        let gain = WORK_GAIN.max(1.0 / f64::from(self.seen));
        self.mean += gain * (work.min(self.mean * 20.0) - self.mean);
    }
}

impl Engine {
    fn restart(&mut self, from: Millis, until: Millis, start: f64, now: Millis) {
        self.cold = Some((from, until));
        self.fit = Fit::new(start, now);
        (self.samples, self.slow, self.others, self.busy) = (0, 0.0, 0.0, 0.0);
        (self.fails, self.shut_until, self.errors, self.proofs) = (0, 0.0, 0.0, 0);
    }

    /// A pause for new work, longer each time until it serves again.
    fn stall(&mut self, now: Millis) {
        self.stalls = (self.stalls + 1).min(STALL_PAUSES);
        self.stalled_until = now + DOWN_MS.0 * f64::from(1 << self.stalls);
    }

    fn warm(&self, now: Millis) -> bool {
        self.cold.is_none_or(|(_, until)| now >= until)
    }

    fn usable(&self) -> bool {
        self.line.state == EngineState::Ready && !self.banned
    }

    fn pause(&self) -> Millis {
        (DOWN_MS.0 * f64::from(1u32 << self.fails.clamp(1, 8)) / 2.0).min(DOWN_MS.1)
    }
}

impl Fit {
    fn new(start: f64, since: Millis) -> Self {
        Fit {
            start,
            since,
            bound: start,
            up: true,
            ..Fit::default()
        }
    }

    /// Takes a pair of threads, against the start value, and output, weighed by the time behind it. A full
    /// interval fades what came before, and from `enough` of them on sets the bound anew.
    fn pair(&mut self, x: f64, time: f64, work: f64, (now, enough, step): (Millis, f64, f64)) {
        for (sum, part) in self.open.iter_mut().zip([time, time * x, work * x]) {
            *sum += part;
        }
        self.outcomes += 1;
        if self.outcomes < INTERVAL_OUTCOMES || now - self.since < INTERVAL_MIN_MS {
            return;
        }
        let [all, threads, output] = self.open;
        let (x, output) = (threads / all.max(1e-9), output / all.max(1e-9));
        let powers = [1.0, x, x * x, x.powi(3), x.powi(4)];
        self.s = std::array::from_fn(|k| self.s[k] * FADE + powers[k]);
        self.t = std::array::from_fn(|k| self.t[k] * FADE + powers[k] * output);
        let rose = output > self.last;
        (self.last, self.outcomes, self.since, self.open) = (output, 0, now, [0.0; 3]);
        if self.s[0] < enough {
            return;
        }
        let Some((a1, a2)) = self.solve() else { return };
        if a2 < 0.0 {
            self.bound = (-a1 / (2.0 * a2) * self.start).clamp(self.start / 2.0, self.start * 4.0);
        } else {
            // Opens upward: step on in the direction that last raised work, never below the start.
            self.up = self.up == rose;
            let step = if self.up { step } else { -step } * self.start;
            self.bound = (self.bound + step).clamp(self.start, self.start * 4.0);
        }
    }

    /// Slope and curvature of the least-squares parabola; none where the pairs lie too close together.
    fn solve(&self) -> Option<(f64, f64)> {
        let [s0, s1, s2, s3, s4] = self.s;
        let [t0, t1, t2] = self.t;
        let (p, q, r) = (s2 * s4 - s3 * s3, s1 * s4 - s2 * s3, s1 * s3 - s2 * s2);
        let det = s0 * p - s1 * q + s2 * r;
        let a1 = (-q * t0 + (s0 * s4 - s2 * s2) * t1 - (s0 * s3 - s1 * s2) * t2) / det;
        let a2 = (r * t0 - (s0 * s3 - s1 * s2) * t1 + (s0 * s2 - s1 * s1) * t2) / det;
        (det.abs() > FIT_SINGULAR * s0 * s2 * s4).then_some((a1, a2))
    }
}

/// A well spread hash (splitmix64's finish).
pub(crate) fn mix(x: u64) -> u64 {
    let x = (x ^ (x >> 30))
        .wrapping_add(0x9e37_79b9_7f4a_7c15)
        .wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
