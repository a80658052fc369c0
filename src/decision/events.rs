//! The events that the host passes to the dispatcher, and the actions that the dispatcher requests
//! from the host.

use super::{EngineEntry, EngineId, ListUpdateKind, Settings};

/// Milliseconds on the host's monotonic clock.
pub type Millis = f64;
/// The host's id of a request.
pub type RequestId = u32;

/// An engine's load report. A figure that the engine does not report is `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Number of queries that run or wait on the engine.
    pub inflight: Option<f64>,
    /// Share of the engine's cores that are busy.
    pub cpu_busy: Option<f64>,
    /// Share of the engine's disks that are busy.
    pub disk_busy: Option<f64>,
    /// Number of queries that wait for memory.
    pub memory_queue: Option<f64>,
    /// Share of the engine's memory that is granted to queries.
    pub memory_granted: Option<f64>,
}

/// How an attempt or a health check ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The engine served it.
    Ok,
    /// The engine returned an error; the attempt may have run.
    Error,
    /// The engine rejected the attempt; it never ran.
    Rejected,
    /// No answer arrived before the timeout; the attempt may have run or may still run.
    TimedOut,
    /// No connection to the engine; the attempt never ran.
    NoConnection,
    /// The connection broke; the attempt may have run.
    Reset,
    /// The attempt was cancelled; it may have run.
    Cancelled,
    /// The host never sent the attempt.
    NotSent,
    /// The host had no free connection slot, so it never sent the attempt. It does not count as an
    /// attempt and gives no information about the engine.
    NoConnectionSlot,
}

/// Progress of a running attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Progress {
    /// Approximate share of the attempt's work that is done, from 0 to 1.
    ShareDone(f64),
    /// The attempt spills to disk; the memory that it lacks, in MB.
    SpillingMb(f64),
    /// The attempt waits for memory.
    WaitingForMemory,
    /// The attempt waits for a bulk load.
    WaitingForBulkLoad,
}

/// A client's request.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Its class, as an index into [`Settings::classes`].
    pub class: usize,
    /// Its order key; 0 for none.
    pub order_key: u64,
    /// Its deadline, after which its client no longer waits.
    pub deadline_ms: Millis,
    /// Estimated work in ms, summed over all threads, if the client gives it.
    pub estimated_work_ms: Option<f64>,
    /// Its data set.
    pub data_set: u32,
    /// Estimated memory in MB, if the client gives it.
    pub estimated_memory_mb: Option<f64>,
    /// Maximum number of attempts, the first included, if the request's own attempt policy sets
    /// one. Otherwise [`Settings::max_attempts`] applies.
    pub max_attempts: Option<u32>,
}

/// The end of an attempt.
#[derive(Clone, Debug)]
pub struct AttemptEnded {
    /// The request.
    pub id: RequestId,
    /// The attempt's number within the request, from 0.
    pub attempt: u16,
    /// The engine that it was sent to.
    pub engine: EngineId,
    /// How the attempt ended.
    pub outcome: Outcome,
    /// Time from sending the attempt to its end.
    pub elapsed_ms: Millis,
    /// Whether the request has its final answer.
    pub answered: bool,
    /// Work in ms that the attempt needed, if the engine's answers report it.
    pub measured_work_ms: Option<f64>,
    /// Memory in MB that the attempt needed, if the engine's answers report it.
    pub measured_memory_mb: Option<f64>,
    /// The load report that came with the answer; empty if there was none.
    pub load_report: LoadReport,
}

/// An event that the host reports to the dispatcher.
#[derive(Clone, Debug)]
pub enum Event {
    /// The host's first event; from then on the dispatcher may set timers.
    Started,
    /// The endpoint list, or changes to it.
    EndpointList {
        /// How the entries relate to the list that the dispatcher holds.
        kind: ListUpdateKind,
        /// The entries.
        entries: Vec<EngineEntry>,
    },
    /// On-call staff have ejected an engine or returned it to service. An ejection stays in force
    /// whatever the endpoint list contains.
    ManualEjection {
        /// The engine.
        engine: EngineId,
        /// `true` if the engine is ejected, `false` if it returns to service.
        ejected: bool,
        /// Time of the change.
        at_ms: Millis,
    },
    /// A peer process of this workload manager has started, as in a hot restart, or has ended. The
    /// processes share the workload manager's part of the engines' capacity, not always equally.
    PeerProcesses {
        /// Number by which the workload manager's part is divided to give that of this process; 1
        /// if it has no peer.
        capacity_divisor: f64,
    },
    /// New settings. Unfinished requests keep their class.
    Settings(Box<Settings>),
    /// A client's request.
    Request(Request),
    /// The attempt's result has begun to stream to the client; from then on the attempt is not
    /// cancelled.
    ResultStreaming {
        /// The request.
        id: RequestId,
        /// The attempt's number within the request, from 0.
        attempt: u16,
    },
    /// A timer has expired.
    Timer {
        /// The token of [`Action::SetTimer`].
        token: u64,
    },
    /// The client has disconnected and gets no answer.
    ClientDisconnected {
        /// The request.
        id: RequestId,
    },
    /// A message from another workload manager.
    PeerMessage {
        /// The message's content.
        payload: Vec<u8>,
    },
    /// A running attempt has reported its progress.
    Progress {
        /// The request.
        id: RequestId,
        /// The attempt's number within the request, from 0.
        attempt: u16,
        /// The reported progress.
        progress: Progress,
    },
    /// An attempt has ended.
    AttemptEnded(AttemptEnded),
    /// A health check has ended.
    HealthCheckEnded {
        /// The engine.
        engine: EngineId,
        /// How the health check ended.
        outcome: Outcome,
        /// Time from sending the health check to its end.
        elapsed_ms: Millis,
        /// The load report that came with the answer; empty if there was none.
        load_report: LoadReport,
    },
}

/// Why the dispatcher ends a request that no attempt has served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndReason {
    /// The settings have no such class.
    UnknownClass,
    /// Its answer would miss its latency objective or its client's deadline.
    TooLate,
    /// The backlog is too large, and the request has the lowest priority weight per ms of work.
    LoadShed,
    /// Its last attempt was not sent, and the host allows no further attempt.
    NotSent,
    /// Its last attempt failed, and no retry is allowed.
    NoRetryAllowed,
}

/// A change of an engine's health in the dispatcher's view, with its cause.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineHealthChange {
    /// A health check failed; the engine counts as down.
    HealthCheckFailed,
    /// An attempt got no connection; the engine counts as down.
    Unreachable,
    /// The engine was down and answers again.
    Recovered,
    /// The engine failed queries that other engines served; it is ejected.
    EjectedForErrors,
}

impl EngineHealthChange {
    /// The event's name in the operators' log.
    pub fn event(self) -> &'static str {
        match self {
            Self::HealthCheckFailed | Self::Unreachable => "engine down",
            Self::Recovered => "engine recovered",
            Self::EjectedForErrors => "engine ejected",
        }
    }

    /// The cause's name in the operators' log.
    pub fn reason(self) -> &'static str {
        match self {
            Self::HealthCheckFailed => "health_check",
            Self::Unreachable => "no_connection",
            Self::Recovered => "answered",
            Self::EjectedForErrors => "errors",
        }
    }
}

/// An action for the host. The host carries out the actions in the order in which it gets them.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Starts an attempt.
    StartAttempt {
        /// The request.
        id: RequestId,
        /// The engine to send it to.
        engine: EngineId,
        /// Timeout of the attempt; if `None`, the attempt may last until the request's deadline.
        timeout_ms: Option<Millis>,
    },
    /// Sets the memory grant and the priority of a request's next attempts.
    SetAttemptTerms {
        /// The request.
        id: RequestId,
        /// Memory grant in MB; 0 leaves the choice to the engine.
        memory_mb: f64,
        /// Priority from 0 to 3; 1 is the default. It also applies to the attempt in flight.
        priority: u8,
    },
    /// Gives the final answer: the request is rejected and may safely be repeated.
    Reject {
        /// The request.
        id: RequestId,
        /// `Retry-After` for the client; 0 for none.
        retry_after_ms: Millis,
        /// Why the request ends.
        reason: EndReason,
    },
    /// Gives the final answer: the request has failed and may have run.
    Fail {
        /// The request.
        id: RequestId,
        /// Why the request ends.
        reason: EndReason,
    },
    /// Cancels an attempt in flight.
    CancelAttempt {
        /// The request.
        id: RequestId,
        /// The attempt's number within the request, from 0.
        attempt: u16,
    },
    /// Sets a timer.
    SetTimer {
        /// Time from now until the timer expires.
        after_ms: Millis,
        /// Returned in [`Event::Timer`].
        token: u64,
    },
    /// Sends a health check to an engine.
    SendHealthCheck {
        /// The engine.
        engine: EngineId,
    },
    /// Polls the endpoint list and subscribes to its changes.
    SubscribeEndpointList,
    /// Reports a change of an engine's health to the operators.
    EngineHealthChanged {
        /// The engine.
        engine: EngineId,
        /// The change and its cause.
        change: EngineHealthChange,
    },
}
