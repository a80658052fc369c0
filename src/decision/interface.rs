//! The plain types between a gateway and its host: settings, events and actions. No decision lives here.

use std::fmt;

/// Milliseconds on the host's clock, which never goes back.
pub type Millis = f64;
/// The host's name for one request.
pub type RequestId = u32;

/// Address of one SQL engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EngineId {
    /// Four bytes of address.
    pub addr: [u8; 4],
    /// Port.
    pub port: u16,
}

impl fmt::Display for EngineId {
    #[expect(clippy::many_single_char_names, reason = "not split yet")]
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let [a, b, c, d] = self.addr;
        write!(f, "{a}.{b}.{c}.{d}:{}", self.port)
    }
}

/// How safe a repeat of a request is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// May run any number of times.
    Idempotent,
    /// A group of engines drops repeats for a while.
    WithKey(DedupScope),
    /// May run once only.
    NonIdempotent,
}

/// The engines that drop repeats of a keyed request together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// All engines.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Worth of one request.
    pub priority_weight: f64,
    /// Share of the worth kept by an answer after the aim.
    pub late_weight_factor: f64,
    /// An answer within this time, plus `aim_stretch` times work over threads, has full worth.
    pub latency_objective_ms: Millis,
    /// Growth of the aim by the request's work over its threads.
    pub objective_work_factor: f64,
    /// Total time a client waits.
    pub client_timeout_ms: Millis,
    /// Threads a query runs on.
    pub threads: u32,
    /// Whether and where repeats are harmless.
    pub idempotency: Idempotency,
    /// How long a repeat is dropped, from the first send that may have run.
    pub dedup_window_ms: Millis,
    /// Requests with one key run one at a time, in order.
    pub ordered_by_key: bool,
    /// It holds its data set on its engine until it ends.
    pub is_bulk_load: bool,
    /// It stands still where a load holds its data set.
    pub waits_for_bulk_loads: bool,
    /// The only zones allowed, if bound.
    pub allowed_zones: Option<Vec<u8>>,
    /// The only machine kinds allowed, if bound.
    pub allowed_machine_types: Option<Vec<u16>>,
}

/// A budget of attempts beyond each request's first.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    /// Attempts free in any window.
    pub free_retries: f64,
    /// Further attempts per request taken in the window.
    pub retries_per_request: f64,
    /// The window.
    pub window_ms: Millis,
}

/// Where load reports come from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LoadReportMode {
    /// Nowhere.
    #[default]
    Off,
    /// With every answer and probe.
    Inline,
    /// With probes only.
    OnHealthCheck,
}

/// What a gateway is told when it starts.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// Gateways in this tier.
    pub instances: u32,
    /// This gateway's place among them, from 0.
    pub ordinal: u32,
    /// Request classes.
    pub classes: Vec<Class>,
    /// Their names, by which new settings find them.
    pub class_names: Vec<String>,
    /// Cores of each machine kind.
    pub machine_type_cores: Vec<f64>,
    /// Engines heed a memory grant.
    pub memory_grants_supported: bool,
    /// Time between notes of progress; 0 for none.
    pub progress_interval_ms: Millis,
    /// Requests a second within each tenant's share, over all gateways; empty where there are no tenants.
    pub tenant_quotas_per_s: Vec<f64>,
    /// This gateway's zone.
    pub zone: u8,
    /// Price of an attempt that crosses zones, in shares of all worth.
    pub cross_zone_cost: f64,
    /// Engine lists come only when asked for.
    pub must_poll_list: bool,
    /// Attempts a request may have.
    pub max_attempts: u32,
    /// Attempts may be called off.
    pub cancellation_allowed: bool,
    /// Engines may be probed.
    pub health_checks_allowed: bool,
    /// Longest hold-off that clients honour; 0 where they are told none.
    pub max_retry_after_ms: Millis,
    /// Where load reports come from.
    pub load_reports: LoadReportMode,
    /// A cold engine starts at this share of its capacity or more.
    pub slow_start_initial_share: f64,
    /// And is warm within this time.
    pub slow_start_ms: Millis,
    /// A cold engine sent more than this multiple of its capacity ...
    pub overload_multiple: f64,
    /// ... for this long falls over.
    pub overload_window_ms: Millis,
    /// A key rests this long after an attempt that may still run.
    pub order_key_pause_ms: Millis,
    /// Budget of further attempts, if rationed.
    pub retry_budget: Option<RetryBudget>,
}

/// Why settings cannot be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SettingsError {
    /// There are no request classes.
    NoClasses,
    /// There are no gateways.
    NoInstances,
    /// A figure is negative, not finite or otherwise impossible.
    BadFigure(&'static str),
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoClasses => write!(f, "settings name no request class"),
            Self::NoInstances => write!(f, "settings name no gateway instance"),
            Self::BadFigure(what) => write!(f, "settings hold an impossible figure: {what}"),
        }
    }
}

impl Settings {
    /// Whether the figures make sense at all.
    pub fn check(&self) -> Result<(), SettingsError> {
        let fine = |all: &[f64]| all.iter().all(|x| x.is_finite() && *x >= 0.0);
        let class = |c: &Class| {
            let times = [
                c.latency_objective_ms,
                c.objective_work_factor,
                c.client_timeout_ms,
                c.dedup_window_ms,
            ];
            fine(&times) && fine(&[c.priority_weight, c.late_weight_factor]) && c.threads > 0
        };
        let rules = [
            self.slow_start_initial_share,
            self.slow_start_ms,
            self.overload_multiple,
            self.overload_window_ms,
        ];
        let budget = self.retry_budget.map_or([0.0; 3], |x| {
            [x.free_retries, x.retries_per_request, x.window_ms]
        });
        match self {
            s if s.classes.is_empty() => Err(SettingsError::NoClasses),
            s if s.instances == 0 => Err(SettingsError::NoInstances),
            s if !s.classes.iter().all(class) => Err(SettingsError::BadFigure("classes")),
            s if !fine(&rules) || !fine(&[s.order_key_pause_ms, s.max_retry_after_ms]) => {
                Err(SettingsError::BadFigure("guarantees or limits"))
            }
            _ if !fine(&budget) => Err(SettingsError::BadFigure("budget of further attempts")),
            s if !fine(&[s.progress_interval_ms, s.cross_zone_cost]) => {
                Err(SettingsError::BadFigure("notes or prices"))
            }
            s if !fine(&s.tenant_quotas_per_s) => Err(SettingsError::BadFigure("tenants")),
            s if !fine(&s.machine_type_cores) => Err(SettingsError::BadFigure("cores")),
            _ => Ok(()),
        }
    }
}

impl Settings {
    /// Threads of the widest class.
    pub fn max_class_threads(&self) -> f64 {
        self.classes
            .iter()
            .map(|c| f64::from(c.threads))
            .fold(1.0, f64::max)
    }

    /// The gateways that hold an engine.
    pub fn sharing(&self, line: &EngineEntry) -> EngineSharing {
        let all = EngineSharing {
            mean_managers: f64::from(self.instances),
            max_managers: self.instances,
            rank: self.ordinal,
        };
        line.sharing.unwrap_or(all)
    }

    /// The position of a class that has this name and reads just so.
    pub fn class_position(&self, name: &str, class: &Class) -> Option<usize> {
        self.class_names
            .iter()
            .zip(&self.classes)
            .position(|(n, c)| n == name && c == class)
    }

    /// These settings in place of `old`, with the classes of those that are still used and are not in these behind
    /// their own; and for each position in `old` the one here, as far as it is used.
    pub fn replacing(
        mut self,
        old: &Settings,
        used: impl Fn(usize) -> bool,
    ) -> (Settings, Vec<usize>) {
        let mut places = Vec::new();
        for (at, (name, class)) in old.class_names.iter().zip(&old.classes).enumerate() {
            let place = self
                .class_position(name, class)
                .unwrap_or(self.classes.len());
            places.push(place);
            if place == self.classes.len() && used(at) {
                self.class_names.push(name.clone());
                self.classes.push(class.clone());
            }
        }
        (self, places)
    }
}

impl std::error::Error for SettingsError {}

/// An engine's state in the list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EngineState {
    /// Takes work.
    #[default]
    Ready,
    /// Completes its work; nothing new.
    Draining,
    /// Removed.
    Removed,
}

/// The gateways that hold an engine, where they hold subsets of the list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineSharing {
    /// Their mean number over the engines of the list.
    pub mean_managers: f64,
    /// A bound on their number, also while their lists differ.
    pub max_managers: u32,
    /// This gateway's place among them, from 0.
    pub rank: u32,
}

/// One line of an engine list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineEntry {
    /// Which engine.
    pub engine: EngineId,
    /// Its zone.
    pub zone: u8,
    /// Its machine kind.
    pub machine_type: u16,
    /// Its cell.
    pub cell: u16,
    /// Its state.
    pub state: EngineState,
    /// Its listed size, comparable between engines.
    pub nominal_capacity: f64,
    /// Time of its latest start; 0 for long ago.
    pub started_at_ms: Millis,
    /// The gateways that hold it; none where all do.
    pub sharing: Option<EngineSharing>,
}

/// How a list event relates to the list held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListUpdateKind {
    /// Changed entries only.
    Delta,
    /// The complete list.
    Full,
    /// The complete list as last held; may be stale.
    Cached,
    /// Asking failed; the held list stays.
    PollFailed,
}

/// An engine's load report.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Queries in hand.
    pub inflight: Option<f64>,
    /// Share of cores busy.
    pub cpu_busy: Option<f64>,
    /// Share of disks busy.
    pub disk_busy: Option<f64>,
    /// Queries waiting for memory.
    pub memory_queue: Option<f64>,
    /// Share of memory granted.
    pub memory_granted: Option<f64>,
}

/// How an attempt or probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// The engine returned an error; may have run.
    Error,
    /// Turned away unseen; never ran.
    Rejected,
    /// No timely answer; may have run or still run.
    TimedOut,
    /// No connection; never ran.
    NoConnection,
    /// Connection broke; possibly ran.
    Reset,
    /// Called off; may have run.
    Cancelled,
    /// Never sent.
    NotSent,
    /// The host had no descriptor for a connection there; never sent, no attempt, and no word of the engine.
    NoConnectionSlot,
}

/// News of a running attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Progress {
    /// Rough share done.
    ShareDone(f64),
    /// It spills: MB missing.
    SpillingMb(f64),
    /// It waits for memory.
    WaitingForMemory,
    /// It waits for a load.
    WaitingForBulkLoad,
}

/// A client's request.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Its class, by position.
    pub class: usize,
    /// Its key; 0 for none.
    pub order_key: u64,
    /// When the client gives up.
    pub deadline_ms: Millis,
    /// Estimated work over all threads, if given.
    pub estimated_work_ms: Option<f64>,
    /// Its data set.
    pub data_set: u32,
    /// Estimated memory in MB, if given.
    pub estimated_memory_mb: Option<f64>,
    /// Attempts that it may have, the first included, where its own policy says so; none for the settings' cap.
    pub max_attempts: Option<u32>,
}

/// How an attempt ended.
#[derive(Clone, Debug)]
pub struct AttemptEnded {
    /// Which request.
    pub id: RequestId,
    /// Which attempt.
    pub attempt: u16,
    /// On which engine.
    pub engine: EngineId,
    /// How.
    pub outcome: Outcome,
    /// Time since it was sent.
    pub elapsed_ms: Millis,
    /// The request has its final answer.
    pub answered: bool,
    /// The work it needed, where answers bill it.
    pub measured_work_ms: Option<f64>,
    /// The memory it needed in MB, where answers bill it.
    pub measured_memory_mb: Option<f64>,
    /// The engine's load report, if attached.
    pub load_report: LoadReport,
}

/// What happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// The host's first event: the gateway may set timers.
    Started,
    /// The engine list, or changes to it.
    EndpointList {
        /// How the entries relate to the held list.
        kind: ListUpdateKind,
        /// The entries.
        entries: Vec<EngineEntry>,
    },
    /// Staff took an engine out, or gave it back, at this time. It holds whatever the list says.
    ManualEjection {
        /// Which engine.
        engine: EngineId,
        /// Taken out, or given back.
        ejected: bool,
        /// When.
        at_ms: Millis,
    },
    /// Another process of this gateway works beside it, as in an upgrade, or no longer.
    PeerProcesses {
        /// Its own part of what both have together is one in so many; 1 where it is alone.
        capacity_divisor: f64,
    },
    /// New settings; what is under way keeps its class.
    Settings(Box<Settings>),
    /// A client's request.
    Request(Request),
    /// The answer has begun to stream; the attempt belongs to the client.
    ResultStreaming {
        /// Which request.
        id: RequestId,
        /// Which attempt.
        attempt: u16,
    },
    /// A timer came due.
    Timer {
        /// As set.
        token: u64,
    },
    /// The client left; no answer is owed.
    ClientDisconnected {
        /// Which request.
        id: RequestId,
    },
    /// A message from another gateway.
    PeerMessage {
        /// The payload.
        payload: Vec<u8>,
    },
    /// News of a running attempt.
    Progress {
        /// Which request.
        id: RequestId,
        /// Which attempt.
        attempt: u16,
        /// The news.
        progress: Progress,
    },
    /// An attempt ended.
    AttemptEnded(AttemptEnded),
    /// A probe ended.
    HealthCheckEnded {
        /// Which engine.
        engine: EngineId,
        /// How.
        outcome: Outcome,
        /// Time since it was sent.
        elapsed_ms: Millis,
        /// The engine's load report, if attached.
        load_report: LoadReport,
    },
}

/// What the host is to do, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt.
    StartAttempt {
        /// Which request.
        id: RequestId,
        /// Where.
        engine: EngineId,
        /// Time-out; `None` until the client gives up.
        timeout_ms: Option<Millis>,
    },
    /// Names what a request's next attempts get.
    SetAttemptTerms {
        /// Which request.
        id: RequestId,
        /// Memory in MB; 0 for the engine's choice.
        memory_mb: f64,
        /// 0 to 3; 1 is usual. Also for what is out.
        priority: u8,
    },
    /// Final answer: refused; trying again is harmless.
    Reject {
        /// Which request.
        id: RequestId,
        /// Advice to stay away this long; 0 for none.
        retry_after_ms: Millis,
    },
    /// Final answer: failed; promises nothing.
    Fail {
        /// Which request.
        id: RequestId,
    },
    /// Quit waiting on an attempt.
    CancelAttempt {
        /// Which request.
        id: RequestId,
        /// Which attempt.
        attempt: u16,
    },
    /// Ask for a timer.
    SetTimer {
        /// From now.
        after_ms: Millis,
        /// Returned with the timer.
        token: u64,
    },
    /// Probe an engine.
    SendHealthCheck {
        /// Which engine.
        engine: EngineId,
    },
    /// Ask for list changes from now on.
    SubscribeEndpointList,
    /// A line for the operators.
    Log {
        /// The line.
        line: String,
    },
}
