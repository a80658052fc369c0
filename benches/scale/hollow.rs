//! A hollow manager: the real feed reader and the real core with roster and decision module, without sockets to
//! clients and engines.

use super::fleet;
use super::usage;
use bytes::Bytes;
use serde::Serialize;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, mpsc};
use std::time::{Duration, Instant};
use tokio::sync::{mpsc as orders, watch};
use workload_manager::core::{
    AcceptedRequest, Answer, AttemptEvent, AttemptRequest, ClientPort, Clock, Core, CoreMessage,
    EnginePort, Handle, Inputs, ResultBody, ResultFormat, StatementKind,
};
use workload_manager::discovery;
use workload_manager::limits::Limits;
use workload_manager::metrics::Metrics;
use workload_manager::node_config::{EndpointListEvent, EngineRecord};
use workload_manager::retry_policy::Front;
use workload_manager::settings_json::{NamedClass, PlatformSettings};
use workload_manager::{
    EngineId, EngineState, ListUpdateKind, LoadReport, Millis, Outcome, RequestId,
};

/// Work that a statement is estimated at, and billed, in ms.
pub(super) const WORK_MS: f64 = 5.0;
/// Statements that other managers have in hand at each engine, and the share of its cores that is busy.
const OTHERS_IN_HAND: f64 = 4.0;
const BUSY: f64 = 0.5;
/// Without an alarm a manager looks again this much later, in ms.
const NO_ALARM_MS: Millis = 1000.0;

/// An attempt that was handed to an engine.
#[derive(Clone, Copy, Debug)]
pub(super) struct Asked {
    /// Which engine.
    pub engine: EngineId,
    /// Which request.
    pub id: RequestId,
    /// Which attempt.
    pub attempt: u16,
}

#[derive(Default)]
struct Port {
    asked: Vec<Asked>,
    /// Engines told as ready since the last look.
    ready: BTreeSet<EngineId>,
    /// Engines that were told to end, or are no longer listed, and did not come back.
    ended: BTreeSet<EngineId>,
    /// Attempts that were handed to one of those.
    asked_of_ended: usize,
}

/// Engines that take every attempt and keep what they are told.
#[derive(Clone, Default)]
pub(super) struct HollowEngines(Arc<Mutex<Port>>);

impl HollowEngines {
    fn port(&self) -> MutexGuard<'_, Port> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The attempts since the last call.
    pub(super) fn asked(&self) -> Vec<Asked> {
        std::mem::take(&mut self.port().asked)
    }
}

impl EnginePort for HollowEngines {
    fn start_attempt(&mut self, engine: EngineId, ask: AttemptRequest) -> bool {
        let mut port = self.port();
        port.asked_of_ended += usize::from(port.ended.contains(&engine));
        port.asked.push(Asked {
            engine,
            id: ask.id,
            attempt: ask.attempt,
        });
        true
    }
    fn cancel_attempt(&mut self, _: EngineId, _: RequestId, _: u16, _: bool) {}
    fn set_priority(&mut self, _: EngineId, _: RequestId, _: u16, _: u8) {}
    fn engine_listed(&mut self, line: &EngineRecord) {
        let mut port = self.port();
        let engine = line.entry.engine;
        match line.entry.state {
            EngineState::Ready => {
                port.ended.remove(&engine);
                port.ready.insert(engine);
            }
            EngineState::Draining | EngineState::Removed => {
                port.ended.insert(engine);
            }
        }
    }
    fn engine_removed(&mut self, engine: EngineId) {
        self.port().ended.insert(engine);
    }
    fn set_manually_ejected(&mut self, _: EngineId, _: bool) {}
}

/// A client that drops its answers; the core counts them.
pub(super) struct HollowClient;

impl ClientPort for HollowClient {
    fn answer(&self, _: RequestId, _: Answer) {}
}

/// A statement of this class.
pub(super) fn statement(
    id: RequestId,
    now: Millis,
    class: &Arc<NamedClass>,
    client: &Arc<dyn ClientPort>,
) -> CoreMessage {
    CoreMessage::Request(AcceptedRequest {
        id,
        client_reference: id.to_be_bytes().to_vec().into(),
        deadline_ms: now + class.class.client_timeout_ms,
        class: class.clone(),
        estimated_work_ms: Some(WORK_MS),
        estimated_memory_mb: None,
        data_set: id % fleet::DATA_SETS,
        member: Bytes::new(),
        front: Front::Platform,
        idempotency_key: None,
        order_key: None,
        statement: Bytes::from_static(b"SELECT 1"),
        statement_kind: StatementKind::Query,
        client: client.clone(),
    })
}

/// The good end of an attempt, with the load report of its engine.
#[expect(clippy::similar_names, reason = "not split yet")]
pub(super) fn served(
    Asked {
        engine,
        id,
        attempt,
    }: Asked,
) -> CoreMessage {
    let report = LoadReport {
        inflight: Some(OTHERS_IN_HAND),
        cpu_busy: Some(BUSY),
        ..LoadReport::default()
    };
    let body = Some(ResultBody::complete(ResultFormat::Text, Vec::new()));
    let (billed_ms, billed_mb) = (Some(WORK_MS), None);
    let news = AttemptEvent::Ended {
        outcome: Outcome::Ok,
        measured_work_ms: billed_ms,
        measured_memory_mb: billed_mb,
        body,
    };
    CoreMessage::Attempt {
        engine,
        id,
        attempt,
        load_report: report,
        event: news,
    }
}

/// What a hollow manager is made of.
#[derive(Clone, Debug)]
pub(super) struct Plan {
    /// Managers of the fleet, as the settings say.
    pub instances: u32,
    /// Memory of each, in MB.
    pub memory_mb: usize,
    /// The feed.
    pub feed: SocketAddr,
    /// Whether the module's timer runs.
    pub ticks: bool,
}

/// What a hollow manager is told to do.
#[derive(Clone, Copy, Debug)]
pub(super) enum Order {
    /// Take so many statements in and serve them.
    Serve(u32),
    /// Say what its thread has used.
    Usage,
}

/// What a hollow manager tells.
#[derive(Clone, Debug)]
pub(super) enum News {
    /// An event of the list is in force: the module has it.
    Event(Sighting),
    /// Statements were served.
    Served {
        /// Attempts handed to engines.
        asked: usize,
        /// Those among them whose engine had ended.
        asked_of_ended: usize,
    },
    /// Processor time of the manager's thread so far.
    Usage(Duration),
}

/// An event that is in force at one manager.
#[derive(Clone, Copy, Debug)]
pub(super) struct Sighting {
    /// The event's number.
    pub number: u64,
    /// When.
    pub at: Instant,
    /// Processor time of the manager's thread since it began to follow the feed.
    pub processor: Duration,
    /// Engines that the event ends, and that get nothing from now on.
    pub ended: usize,
    /// Engines that it names as ready, and that may get attempts from now on.
    pub ready: usize,
    /// Engines that it knows and hears of.
    pub taken_up: TakenUp,
}

/// How many engines a core has taken up.
#[derive(Clone, Copy, Debug, Serialize)]
pub(super) struct TakenUp {
    /// By the roster.
    known: usize,
    /// Those that the decision module hears of.
    heard: usize,
}

impl TakenUp {
    /// Of this core, which counts here.
    pub(super) fn of(core: &Core<HollowEngines>, metrics: &Metrics) -> TakenUp {
        TakenUp {
            known: metrics.engines.get() as usize,
            heard: core.held().1[3],
        }
    }
}

/// One hollow manager.
pub(super) struct Manager {
    core: Core<HollowEngines>,
    engines: HollowEngines,
    metrics: Arc<Metrics>,
    class: Arc<NamedClass>,
    client: Arc<dyn ClientPort>,
    clock: Clock,
    ticks: bool,
    /// Processor time of its thread when it began.
    began: Duration,
    next_id: RequestId,
    news: mpsc::Sender<News>,
}

impl Manager {
    /// Starts its feed reader on the running runtime and runs it until `orders` closes.
    pub(super) async fn run(
        plan: Plan,
        ordinal: u32,
        news: mpsc::Sender<News>,
        mut orders: orders::UnboundedReceiver<Order>,
    ) {
        let parsed = fleet::settings(plan.instances, ordinal);
        let limits = Arc::new(Limits::new(fleet::SOCKETS, plan.memory_mb, true, &parsed));
        let metrics: Arc<Metrics> = Arc::default();
        let clock = Clock::new();
        let (handle, mut inputs) = Handle::new(limits.mailbox_messages, clock);
        let mut manager = Manager::new(&plan, ordinal, &parsed, (&limits, &metrics), clock, news);
        let (_feed, address) = watch::channel(plan.feed);
        let (_settings, settings) = watch::channel(Arc::new(parsed));
        let (spoken, _spoken) = watch::channel(false);
        let reader = discovery::follow(address, 0, handle, limits, metrics, spoken, settings);
        let reader = tokio::spawn(reader);
        manager.work(&mut inputs, &mut orders).await;
        reader.abort();
    }

    fn new(
        plan: &Plan,
        ordinal: u32,
        parsed: &PlatformSettings,
        (limits, metrics): (&Arc<Limits>, &Arc<Metrics>),
        clock: Clock,
        news: mpsc::Sender<News>,
    ) -> Manager {
        let engines = HollowEngines::default();
        let (settings, seed) = (parsed.settings.clone(), u64::from(ordinal));
        let core = Core::new(
            settings,
            seed,
            engines.clone(),
            limits.clone(),
            metrics.clone(),
        );
        Manager {
            core: core.expect("settings that were parsed"),
            engines,
            metrics: metrics.clone(),
            class: parsed.classes[0].clone(),
            client: Arc::new(HollowClient),
            clock,
            ticks: plan.ticks,
            began: usage::thread_time(),
            next_id: 1,
            news,
        }
    }

    async fn work(&mut self, inputs: &mut Inputs, orders: &mut orders::UnboundedReceiver<Order>) {
        if self.ticks {
            self.core.begin(self.clock.now());
        }
        loop {
            let now = self.clock.now();
            let due = self
                .core
                .next_alarm()
                .map_or(NO_ALARM_MS, |at| (at - now).max(0.0));
            tokio::select! {
                biased;
                order = orders.recv() => match order {
                    Some(order) => self.obey(order),
                    None => return,
                },
                input = inputs.input() => match input {
                    Some(input) => self.take(input),
                    None => return,
                },
                () = tokio::time::sleep(Duration::from_secs_f64(due / 1000.0)), if self.ticks => {
                    self.core.alarms(self.clock.now());
                }
            }
        }
    }

    fn take(&mut self, input: CoreMessage) {
        let CoreMessage::EndpointList(event) = input else {
            return self.core.handle(self.clock.now(), input);
        };
        let (number, changes) = (event.number, changes(&event));
        self.engines.port().ready.clear();
        self.core
            .handle(self.clock.now(), CoreMessage::EndpointList(event));
        let at = Instant::now();
        let port = self.engines.port();
        let in_force = |of: &BTreeSet<EngineId>, state: EngineState| {
            changes
                .iter()
                .filter(|(engine, told)| *told == state && of.contains(engine))
                .count()
        };
        let sighting = Sighting {
            number,
            at,
            processor: usage::thread_time().saturating_sub(self.began),
            ended: in_force(&port.ended, EngineState::Removed),
            ready: in_force(&port.ready, EngineState::Ready),
            taken_up: TakenUp::of(&self.core, &self.metrics),
        };
        let _ = self.news.send(News::Event(sighting));
    }

    fn obey(&mut self, order: Order) {
        let news = match order {
            Order::Usage => News::Usage(usage::thread_time()),
            Order::Serve(requests) => self.serve(requests),
        };
        let _ = self.news.send(news);
    }

    fn serve(&mut self, requests: u32) -> News {
        let mut all = 0;
        for _ in 0..requests {
            let (id, now) = (self.next_id, self.clock.now());
            self.next_id += 1;
            self.core
                .handle(now, statement(id, now, &self.class, &self.client));
            for asked in self.engines.asked() {
                all += 1;
                self.core.handle(now, served(asked));
            }
        }
        News::Served {
            asked: all,
            asked_of_ended: self.engines.port().asked_of_ended,
        }
    }
}

/// The engines that a change names; none of a whole list, which names all.
fn changes(event: &EndpointListEvent) -> Vec<(EngineId, EngineState)> {
    match event.kind {
        ListUpdateKind::Delta => event
            .records
            .iter()
            .map(|l| (l.entry.engine, l.entry.state))
            .collect(),
        _ => Vec::new(),
    }
}
