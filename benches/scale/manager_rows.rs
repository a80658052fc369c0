//! Rows of the `manager` test, and the budgets that they are compared with. Control is the work of
//! the manager without clients.

use super::fleet;
use super::options::Test;
use super::row::{Size, rounded};
use super::statement_counters::OfferedStatements;
use serde::Serialize;
use std::time::Duration;

/// The test's name in its rows.
pub(super) const TEST: &str = Test::Manager.name();
/// Cores that a manager may spend on control.
const CONTROL_BUDGET_CORES: f64 = 0.012;
/// Bytes per second, received and sent together, that a manager may spend on control.
const CONTROL_BUDGET_BYTES_PER_SECOND: f64 = 8_000.0;
const BYTES_PER_MEGABYTE: f64 = 1e6;

/// Fields that all rows of a size have in common.
#[derive(Clone, Copy, Debug, Serialize)]
pub(super) struct Deployment {
    /// Engines in the list.
    #[serde(skip)]
    pub listed: usize,
    /// Number of engines that the roster has taken up.
    pub known: u64,
    /// Number of listed engines that wait for a place in the roster.
    pub waiting: u64,
    /// Number of managers in the fleet, as given in the settings.
    #[serde(skip)]
    pub managers: u32,
    /// Memory that the manager may use, in MB.
    pub memory_mb: usize,
}

impl Deployment {
    fn size(&self, phase: Phase) -> Size {
        Size::measured(TEST, phase.part(), self.listed, self.managers as usize)
    }
}

/// Phases of the test.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// No changes of the list, no clients.
    Rest,
    /// Churn of the list, no clients.
    Churn,
    /// Idle client connections.
    Connections,
    /// Statements at a given rate.
    Statements,
    /// A fixed number of statements is kept open, to measure the rate that one core can serve.
    Saturated,
    /// Summary of all phases, compared with the rate that clients offer to one manager of the
    /// fleet.
    Summary,
}

impl Phase {
    /// Name of the phase in the field `part` of its rows.
    fn part(self) -> &'static str {
        match self {
            Phase::Rest => "rest",
            Phase::Churn => "churn",
            Phase::Connections => "connections",
            Phase::Statements => "statements",
            Phase::Saturated => "saturated",
            Phase::Summary => "summary",
        }
    }
}

/// What an interval of time cost the manager process.
#[derive(Clone, Copy, Debug)]
pub(super) struct Cost {
    /// Length of the interval.
    pub duration: Duration,
    /// Processor time that the process used.
    pub processor_time: Duration,
    /// Time that runnable threads of the process waited for a processor while other threads ran.
    pub processor_wait: Duration,
    /// Bytes that the discovery feed sent to the manager.
    pub feed_sent: u64,
    /// Bytes that the discovery feed received from the manager.
    pub feed_received: u64,
    /// List events that the feed published.
    pub list_events: u64,
}

impl Cost {
    /// Processor time as a share of one core.
    pub(super) fn core_share(&self) -> f64 {
        self.processor_time.as_secs_f64() / self.duration.as_secs_f64()
    }

    fn percent_waited(&self) -> f64 {
        rounded(self.processor_wait.as_secs_f64() / self.duration.as_secs_f64() * 100.0)
    }

    fn per_second(&self, count: u64) -> f64 {
        rounded(count as f64 / self.duration.as_secs_f64())
    }
}

/// The manager without clients.
#[derive(Clone, Debug, Serialize)]
pub(super) struct ControlRow {
    #[serde(flatten)]
    size: Size,
    #[serde(flatten)]
    deployment: Deployment,
    seconds: f64,
    /// Engines that would be replaced in a day at the rate of the phase; see [`super::churn`].
    replaced_a_day: f64,
    list_events: u64,
    /// Share of one core, in percent.
    pub percent_core: f64,
    /// Time that runnable threads waited for a processor, in percent of the duration.
    percent_waited: f64,
    budget_percent_core: f64,
    /// Bytes that the discovery feed sent to the manager.
    bytes_in_per_second: f64,
    /// Bytes that the discovery feed received from the manager.
    bytes_out_per_second: f64,
    budget_bytes_per_second: f64,
    mb_resident: f64,
    /// Whether processor time, bytes and memory are within their budgets.
    fits: bool,
}

impl ControlRow {
    /// The row of an interval without clients, with the number of engines replaced per day and the
    /// resident memory in bytes.
    pub(super) fn new(
        phase: Phase,
        deployment: &Deployment,
        cost: &Cost,
        (replaced_a_day, resident): (f64, u64),
    ) -> ControlRow {
        let bytes = cost.per_second(cost.feed_sent) + cost.per_second(cost.feed_received);
        let fits = cost.core_share() <= CONTROL_BUDGET_CORES
            && bytes <= CONTROL_BUDGET_BYTES_PER_SECOND
            && resident as f64 <= deployment.memory_mb as f64 * BYTES_PER_MEGABYTE;
        ControlRow {
            size: deployment.size(phase),
            deployment: *deployment,
            seconds: rounded(cost.duration.as_secs_f64()),
            replaced_a_day: rounded(replaced_a_day),
            list_events: cost.list_events,
            percent_core: rounded(cost.core_share() * 100.0),
            percent_waited: cost.percent_waited(),
            budget_percent_core: CONTROL_BUDGET_CORES * 100.0,
            bytes_in_per_second: cost.per_second(cost.feed_sent),
            bytes_out_per_second: cost.per_second(cost.feed_received),
            budget_bytes_per_second: CONTROL_BUDGET_BYTES_PER_SECOND,
            mb_resident: megabytes(resident),
            fits,
        }
    }
}

/// Memory with idle client connections.
#[derive(Clone, Debug, Serialize)]
pub(super) struct ConnectionsRow {
    #[serde(flatten)]
    size: Size,
    #[serde(flatten)]
    deployment: Deployment,
    /// Number of connections.
    pub connections: usize,
    /// Resident memory before the first connection.
    mb_before: f64,
    /// Resident memory with all of them.
    mb_with_clients: f64,
    /// Memory per connection.
    kb_connection: f64,
}

impl ConnectionsRow {
    /// The row of this number of connections, with the resident memory in bytes before the first
    /// one and with all of them.
    pub(super) fn new(
        deployment: &Deployment,
        connections: usize,
        (before, resident): (u64, u64),
    ) -> ConnectionsRow {
        let bytes_per_connection = resident.saturating_sub(before) as f64 / connections as f64;
        ConnectionsRow {
            size: deployment.size(Phase::Connections),
            deployment: *deployment,
            connections,
            mb_before: megabytes(before),
            mb_with_clients: megabytes(resident),
            kb_connection: rounded(bytes_per_connection / 1000.0),
        }
    }
}

/// One round of statements.
#[derive(Clone, Debug, Serialize)]
pub(super) struct StatementsRow {
    #[serde(flatten)]
    size: Size,
    #[serde(flatten)]
    deployment: Deployment,
    /// Number of client connections.
    pub connections: usize,
    /// Rate that clients should offer, in statements per second. `offered` contains the number of
    /// statements that they sent.
    pub rate: f64,
    /// Statements that the manager counted as accepted.
    taken: u64,
    /// Counts and latencies that clients measured.
    #[serde(flatten)]
    pub offered: OfferedStatements,
    /// Statements served, divided by the duration of the round.
    pub served_per_second: f64,
    list_events: u64,
    /// Share of one core, in percent.
    percent_core: f64,
    /// Time that runnable threads waited for a processor, in percent of the duration: the effect of
    /// other load on the machine.
    percent_waited: f64,
    /// Processor time per answered statement in microseconds, without that of control.
    pub us_statement: f64,
    /// Attempts that reached engines.
    attempts: u64,
    /// Connections opened to engines.
    engine_connections: u64,
    /// Engines that received a statement since the engines were started.
    engines_used: usize,
    /// Bytes that engines sent to the manager, and that they received from it.
    engine_bytes_in: u64,
    engine_bytes_out: u64,
    /// Resident memory after the round, and its peak during the round.
    mb_resident: f64,
    mb_peak: f64,
}

/// Traffic of the engines and memory of the manager in one round.
#[derive(Clone, Copy, Debug)]
pub(super) struct RoundTotals {
    /// Statements that reached engines.
    pub attempts: u64,
    /// Connections opened to engines.
    pub engine_connections: u64,
    /// Engines that received a statement since the engines were started.
    pub engines_used: usize,
    /// Bytes from engines.
    pub engine_bytes_in: u64,
    /// Bytes to engines.
    pub engine_bytes_out: u64,
    /// Resident memory after the round, in bytes.
    pub resident: u64,
    /// Peak of the resident memory during the round, in bytes.
    pub peak: u64,
}

/// Parameters of a round.
#[derive(Clone, Copy, Debug)]
pub(super) struct Round {
    /// `Statements` or `Saturated`.
    pub phase: Phase,
    /// Number of client connections.
    pub connections: usize,
    /// Rate that clients should offer, in statements per second.
    pub rate: f64,
}

/// The result of a round.
#[derive(Clone, Debug)]
pub(super) struct RoundResult {
    /// Statements that the manager counted as accepted.
    pub taken: u64,
    /// Counts and latencies that clients measured.
    pub offered: OfferedStatements,
    /// What the round cost the manager process.
    pub cost: Cost,
    /// Traffic of the engines and memory of the manager.
    pub totals: RoundTotals,
}

impl StatementsRow {
    /// The row of a round. `control_core` is the share of a core that control takes; it is not
    /// attributed to statements.
    pub(super) fn new(
        deployment: &Deployment,
        Round {
            phase,
            connections,
            rate,
        }: Round,
        RoundResult {
            taken,
            offered,
            cost,
            totals,
        }: RoundResult,
        control_core: f64,
    ) -> StatementsRow {
        let control_seconds = control_core * cost.duration.as_secs_f64();
        let statement_seconds = (cost.processor_time.as_secs_f64() - control_seconds).max(0.0);
        let us_statement = statement_seconds * 1e6 / offered.answered().max(1) as f64;
        StatementsRow {
            size: deployment.size(phase),
            deployment: *deployment,
            connections,
            rate: rounded(rate),
            taken,
            served_per_second: cost.per_second(offered.served),
            offered,
            list_events: cost.list_events,
            percent_core: rounded(cost.core_share() * 100.0),
            percent_waited: cost.percent_waited(),
            us_statement: rounded(us_statement),
            attempts: totals.attempts,
            engine_connections: totals.engine_connections,
            engines_used: totals.engines_used,
            engine_bytes_in: totals.engine_bytes_in,
            engine_bytes_out: totals.engine_bytes_out,
            mb_resident: megabytes(totals.resident),
            mb_peak: megabytes(totals.peak),
        }
    }
}

/// Rounds of a size that the summary uses.
#[derive(Clone, Debug)]
pub(super) struct Rounds {
    /// The last round at a quarter of the rate that one core can serve.
    pub moderate: StatementsRow,
    /// The round that measured the rate that one core can serve.
    pub saturated: Option<StatementsRow>,
}

/// Summary of a size: the served rate and the cores needed, compared with the rate that clients
/// offer to one manager of the fleet.
#[derive(Clone, Debug, Serialize)]
pub(super) struct SummaryRow {
    #[serde(flatten)]
    size: Size,
    #[serde(flatten)]
    deployment: Deployment,
    /// Number of client connections in the round that gives `us_statement_usual`.
    connections: usize,
    /// Rate that clients offer to one manager of the fleet, in statements per second.
    needed_per_second: f64,
    /// Statements served per second in the saturated round.
    most_per_second: Option<f64>,
    /// Processor time per statement in microseconds in that round.
    us_statement_saturated: Option<f64>,
    /// Processor time per statement in microseconds in the last round at a quarter of that rate.
    pub us_statement_usual: f64,
    /// Share of one core under churn and without clients, in percent.
    pub percent_core_control: f64,
    /// Resident memory with the list, before the first client connects.
    pub mb_before_clients: f64,
    /// Cores needed for control and for the rate that clients offer, if a statement costs
    /// `us_statement_usual`.
    cores_needed: f64,
    /// The same if a statement costs `us_statement_saturated`.
    cores_needed_saturated: Option<f64>,
    /// Whether the saturated round served at least the rate that clients offer.
    fits: bool,
}

impl SummaryRow {
    /// Number of engines that the roster has taken up.
    pub(super) fn known(&self) -> u64 {
        self.deployment.known
    }

    /// Summary of control and all rounds.
    pub(super) fn new(
        deployment: &Deployment,
        Rounds {
            moderate,
            saturated,
        }: &Rounds,
        control: &ControlRow,
        mb_before_clients: f64,
    ) -> SummaryRow {
        let cores_at = |us_statement: f64| {
            rounded(
                us_statement * fleet::STATEMENTS_PER_SECOND / 1e6 + control.percent_core / 100.0,
            )
        };
        let most_per_second = saturated.as_ref().map(|row| row.served_per_second);
        let us_statement_saturated = saturated.as_ref().map(|row| row.us_statement);
        SummaryRow {
            size: deployment.size(Phase::Summary),
            deployment: *deployment,
            connections: moderate.connections,
            needed_per_second: fleet::STATEMENTS_PER_SECOND,
            most_per_second,
            us_statement_saturated,
            us_statement_usual: moderate.us_statement,
            percent_core_control: control.percent_core,
            mb_before_clients,
            cores_needed: cores_at(moderate.us_statement),
            cores_needed_saturated: us_statement_saturated.map(cores_at),
            fits: most_per_second.is_some_and(|rate| rate >= fleet::STATEMENTS_PER_SECOND),
        }
    }
}

/// Converts bytes to megabytes of 1,000,000 bytes, rounded.
pub(super) fn megabytes(bytes: u64) -> f64 {
    rounded(bytes as f64 / BYTES_PER_MEGABYTE)
}
