//! The events that a host hands to the dispatcher, and the actions that the dispatcher asks of it.

use super::{EngineEntry, EngineId, ListUpdateKind, Settings};

/// Milliseconds on the host's clock, which never goes back.
pub type Millis = f64;
/// The host's number for one request.
pub type RequestId = u32;

/// An engine's load report.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Queries that run or wait there.
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

/// How an attempt or a health check ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// The engine returned an error; may have run.
    Error,
    /// Rejected; never ran.
    Rejected,
    /// No timely answer; may have run or still run.
    TimedOut,
    /// No connection; never ran.
    NoConnection,
    /// The connection broke; may have run.
    Reset,
    /// Cancelled; may have run.
    Cancelled,
    /// Never sent.
    NotSent,
    /// The host had no connection slot; never sent, does not count as an attempt, and tells nothing of the engine.
    NoConnectionSlot,
}

/// Progress of a running attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Progress {
    /// Rough share done.
    ShareDone(f64),
    /// It spills to disk: missing memory in MB.
    SpillingMb(f64),
    /// It waits for memory.
    WaitingForMemory,
    /// It waits for a bulk load.
    WaitingForBulkLoad,
}

/// A client's request.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Its class, by position.
    pub class: usize,
    /// Its order key; 0 for none.
    pub order_key: u64,
    /// When the client gives up.
    pub deadline_ms: Millis,
    /// Estimated work over all threads in ms, if given.
    pub estimated_work_ms: Option<f64>,
    /// Its data set.
    pub data_set: u32,
    /// Estimated memory in MB, if given.
    pub estimated_memory_mb: Option<f64>,
    /// Attempts that it may have, the first included, if its own policy sets them; else those of the settings.
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
    /// The work that it needed in ms, where answers tell that.
    pub measured_work_ms: Option<f64>,
    /// The memory that it needed in MB, where answers tell that.
    pub measured_memory_mb: Option<f64>,
    /// The engine's load report, if attached.
    pub load_report: LoadReport,
}

/// What happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// The host's first event: the dispatcher may set timers.
    Started,
    /// The engine list, or changes to it.
    EndpointList {
        /// How the entries relate to the held list.
        kind: ListUpdateKind,
        /// The entries.
        entries: Vec<EngineEntry>,
    },
    /// Staff have ejected an engine, or ended that. It holds whatever the endpoint list says.
    ManualEjection {
        /// Which engine.
        engine: EngineId,
        /// Ejected, or given back.
        ejected: bool,
        /// When.
        at_ms: Millis,
    },
    /// A peer process of this workload manager has started, as in a hot restart, or has ended.
    PeerProcesses {
        /// This process has one part in so many of what they have together; 1 where it is alone.
        capacity_divisor: f64,
    },
    /// New settings; unfinished requests keep their class.
    Settings(Box<Settings>),
    /// A client's request.
    Request(Request),
    /// The result has begun to stream to the client; the attempt is not cancelled any more.
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
    /// The client has disconnected; it gets no answer.
    ClientDisconnected {
        /// Which request.
        id: RequestId,
    },
    /// A message from another workload manager.
    PeerMessage {
        /// The payload.
        payload: Vec<u8>,
    },
    /// Progress of a running attempt.
    Progress {
        /// Which request.
        id: RequestId,
        /// Which attempt.
        attempt: u16,
        /// The progress.
        progress: Progress,
    },
    /// An attempt ended.
    AttemptEnded(AttemptEnded),
    /// A health check ended.
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

/// Why the dispatcher ends a request that no attempt has served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndReason {
    /// The settings have no such class.
    UnknownClass,
    /// It would come too late: for its latency objective, or for its client.
    TooLate,
    /// The backlog is too large, and it weighs least for its work.
    LoadShed,
    /// Its last attempt was not sent, and the host allows no other.
    NotSent,
    /// Its last attempt failed, and no other may follow.
    NoRetryAllowed,
}

/// How the dispatcher's view of an engine's health has changed, and why.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineHealthChange {
    /// A health check failed: it is down.
    HealthCheckFailed,
    /// An attempt got no connection: it is down.
    Unreachable,
    /// It answers again.
    Recovered,
    /// It fails what others serve: it is ejected.
    EjectedForErrors,
}

impl EngineHealthChange {
    /// What has happened, as operators read it.
    pub fn event(self) -> &'static str {
        match self {
            Self::HealthCheckFailed | Self::Unreachable => "engine down",
            Self::Recovered => "engine recovered",
            Self::EjectedForErrors => "engine ejected",
        }
    }

    /// Why, as operators read it.
    pub fn reason(self) -> &'static str {
        match self {
            Self::HealthCheckFailed => "health_check",
            Self::Unreachable => "no_connection",
            Self::Recovered => "answered",
            Self::EjectedForErrors => "errors",
        }
    }
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
    /// Sets the terms of a request's next attempts.
    SetAttemptTerms {
        /// Which request.
        id: RequestId,
        /// Memory in MB; 0 for the engine's choice.
        memory_mb: f64,
        /// 0 to 3; 1 is usual. It also holds for the attempt in flight.
        priority: u8,
    },
    /// Final answer: rejected; trying again is harmless.
    Reject {
        /// Which request.
        id: RequestId,
        /// `Retry-After`; 0 for none.
        retry_after_ms: Millis,
        /// Why.
        reason: EndReason,
    },
    /// Final answer: failed; it may have run.
    Fail {
        /// Which request.
        id: RequestId,
        /// Why.
        reason: EndReason,
    },
    /// Cancel an attempt in flight.
    CancelAttempt {
        /// Which request.
        id: RequestId,
        /// Which attempt.
        attempt: u16,
    },
    /// Set a timer.
    SetTimer {
        /// From now.
        after_ms: Millis,
        /// Returned with the timer.
        token: u64,
    },
    /// Send a health check to an engine.
    SendHealthCheck {
        /// Which engine.
        engine: EngineId,
    },
    /// Poll the endpoint list, and subscribe to its changes.
    SubscribeEndpointList,
    /// The state of an engine has changed, which operators are to know.
    EngineHealthChanged {
        /// Which engine.
        engine: EngineId,
        /// How, and why.
        change: EngineHealthChange,
    },
}
