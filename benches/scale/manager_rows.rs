//! The rows of `manager`, and the budget that they are held against.

use super::fleet;
use super::options::Test;
use super::row::{Size, rounded};
use super::statement_counters::OfferedStatements;
use serde::Serialize;
use std::time::Duration;

/// The test's name in its rows.
pub(super) const TEST: &str = Test::Manager.name();
/// Of a core, that a manager may spend on control.
const CONTROL_BUDGET_CORES: f64 = 0.012;
/// Bytes a second, in and out, that a manager may spend on control.
const CONTROL_BUDGET_BYTES_PER_SECOND: f64 = 8_000.0;
const BYTES_PER_MEGABYTE: f64 = 1e6;

/// What all rows of a size have in common.
#[derive(Clone, Copy, Debug, Serialize)]
pub(super) struct Deployment {
    /// Engines in the list.
    #[serde(skip)]
    pub listed: usize,
    /// Engines that the roster has taken up, and those that wait for a place.
    pub known: u64,
    /// See `known`.
    pub waiting: u64,
    /// Managers of the fleet, as the settings say.
    #[serde(skip)]
    pub managers: u32,
    /// Memory of the manager, in MB.
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
    /// The list at rest, no clients.
    Rest,
    /// Churn of the list, no clients.
    Churn,
    /// Connections of clients, idle.
    Connections,
    /// Statements.
    Statements,
    /// Statements, a bounded number open at once, to find out what a core gives.
    Saturated,
    /// What all phases come to, and what is missing to the statements of the size.
    Summary,
}

impl Phase {
    /// The part of the test in its rows.
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

/// What a stretch of time cost the process.
#[derive(Clone, Copy, Debug)]
pub(super) struct Cost {
    /// How long it was.
    pub duration: Duration,
    /// Processor time of the process.
    pub processor_time: Duration,
    /// Time in which the process could run and had no processor, as others ran.
    pub processor_wait: Duration,
    /// Bytes of the list feed.
    pub feed_sent: u64,
    /// See `feed_sent`.
    pub feed_received: u64,
    /// Events of the list that were published.
    pub list_events: u64,
}

impl Cost {
    /// The share of a core.
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

/// Control alone.
#[derive(Clone, Debug, Serialize)]
pub(super) struct ControlRow {
    #[serde(flatten)]
    size: Size,
    #[serde(flatten)]
    deployment: Deployment,
    seconds: f64,
    /// Engines replaced in a day at the rate that was played; see [`super::churn`].
    replaced_a_day: f64,
    list_events: u64,
    /// Of a core, in percent.
    pub percent_core: f64,
    percent_waited: f64,
    budget_percent_core: f64,
    /// Bytes of the list feed.
    bytes_in_per_second: f64,
    bytes_out_per_second: f64,
    budget_bytes_per_second: f64,
    mb_resident: f64,
    fits: bool,
}

impl ControlRow {
    /// What a stretch without clients comes to, at this rate of replaced engines and with this much memory resident.
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

/// Idle connections of clients.
#[derive(Clone, Debug, Serialize)]
pub(super) struct ConnectionsRow {
    #[serde(flatten)]
    size: Size,
    #[serde(flatten)]
    deployment: Deployment,
    /// How many.
    pub connections: usize,
    /// Resident before the first one and with all of them.
    mb_before: f64,
    mb_with_clients: f64,
    /// What one takes.
    kb_connection: f64,
}

impl ConnectionsRow {
    /// Memory before and with these connections.
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
    /// Connections of clients.
    pub connections: usize,
    /// The rate that clients were to offer; what they did offer is below.
    pub rate: f64,
    /// Statements that the manager counts as accepted.
    taken: u64,
    /// What clients observed.
    #[serde(flatten)]
    pub offered: OfferedStatements,
    /// Statements served, by the time from the first one to the last answer.
    pub served_per_second: f64,
    list_events: u64,
    percent_core: f64,
    /// Of the time, in which the process could run and had no processor: what the machine's other load took.
    percent_waited: f64,
    /// Processor time of a statement that was answered, without what control takes.
    pub us_statement: f64,
    /// Attempts written to engines, connections opened to them, and engines that were used.
    attempts: u64,
    engine_connections: u64,
    engines_used: usize,
    engine_bytes_in: u64,
    engine_bytes_out: u64,
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
    /// Engines that were used since the start.
    pub engines_used: usize,
    /// Bytes from engines.
    pub engine_bytes_in: u64,
    /// Bytes to engines.
    pub engine_bytes_out: u64,
    /// Bytes resident after the round.
    pub resident: u64,
    /// The most that were during it.
    pub peak: u64,
}

/// A round to be played.
#[derive(Clone, Copy, Debug)]
pub(super) struct Round {
    /// At a rate, or saturated.
    pub phase: Phase,
    /// Connections of clients.
    pub connections: usize,
    /// Statements a second.
    pub rate: f64,
}

/// The result of a round.
#[derive(Clone, Debug)]
pub(super) struct RoundResult {
    /// Statements that the manager counts as accepted.
    pub taken: u64,
    /// What clients observed.
    pub offered: OfferedStatements,
    /// What it cost.
    pub cost: Cost,
    /// Traffic of the engines and memory.
    pub totals: RoundTotals,
}

impl StatementsRow {
    /// What a round comes to, where control alone takes this share of a core.
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

/// What all rounds of a size come to.
#[derive(Clone, Debug)]
pub(super) struct Rounds {
    /// The last one at the usual rate.
    pub usual: StatementsRow,
    /// The one that found out what a core gives.
    pub saturated: Option<StatementsRow>,
}

/// What is missing to the statements that one manager has at the size.
#[derive(Clone, Debug, Serialize)]
pub(super) struct SummaryRow {
    #[serde(flatten)]
    size: Size,
    #[serde(flatten)]
    deployment: Deployment,
    connections: usize,
    needed_per_second: f64,
    /// Served a second with a bounded number always open, and the cost of a statement then.
    most_per_second: Option<f64>,
    us_statement_saturated: Option<f64>,
    /// The cost of a statement at a quarter of that.
    pub us_statement_usual: f64,
    /// Of a core, under churn and without clients.
    pub percent_core_control: f64,
    /// Resident with the list, before the first client.
    pub mb_before_clients: f64,
    /// Cores that the statements of the size and control would take at the usual cost.
    cores_needed: f64,
    /// And at that of the saturated process.
    cores_needed_saturated: Option<f64>,
    fits: bool,
}

impl SummaryRow {
    /// Engines that the roster has taken up.
    pub(super) fn known(&self) -> u64 {
        self.deployment.known
    }

    /// Summary of control and all rounds.
    pub(super) fn new(
        deployment: &Deployment,
        Rounds { usual, saturated }: &Rounds,
        control: &ControlRow,
        mb_before_clients: f64,
    ) -> SummaryRow {
        let cores_at = |us_statement: f64| {
            rounded(us_statement * fleet::STATEMENTS / 1e6 + control.percent_core / 100.0)
        };
        let most_per_second = saturated.as_ref().map(|row| row.served_per_second);
        let us_statement_saturated = saturated.as_ref().map(|row| row.us_statement);
        SummaryRow {
            size: deployment.size(Phase::Summary),
            deployment: *deployment,
            connections: usual.connections,
            needed_per_second: fleet::STATEMENTS,
            most_per_second,
            us_statement_saturated,
            us_statement_usual: usual.us_statement,
            percent_core_control: control.percent_core,
            mb_before_clients,
            cores_needed: cores_at(usual.us_statement),
            cores_needed_saturated: us_statement_saturated.map(cores_at),
            fits: most_per_second.is_some_and(|rate| rate >= fleet::STATEMENTS),
        }
    }
}

/// Megabytes of 1,000,000 bytes.
pub(super) fn megabytes(bytes: u64) -> f64 {
    rounded(bytes as f64 / BYTES_PER_MEGABYTE)
}
