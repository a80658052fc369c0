//! The `manager` test: one real workload manager process with a long endpoint list, churn of that
//! list, and clients that send statements. It measures the processor time per statement and the
//! processor time without clients (control), the memory per client connection, and the bytes of the
//! discovery feed.

use super::churn::{self, Churn};
use super::clients::Clients;
use super::configuration::{self, Configuration};
use super::engines::Engines;
use super::feed::{Feed, HEARTBEAT_INTERVAL};
use super::fit::{Figure, Point, Prediction};
use super::fleet;
use super::manager_process::ManagerProcess;
use super::manager_rows::{
    ConnectionsRow, ControlRow, Cost, Deployment, Phase, Round, RoundResult, RoundTotals, Rounds,
    StatementsRow, SummaryRow, TEST, megabytes,
};
use super::options::Options;
use super::row::{Output, ScaleError};
use super::server_load::ServerTotals;
use super::statement_counters::OfferedStatements;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};
use workload_manager::node_config::EngineRecord;

/// File descriptors of the manager. Half of them, less those reserved for other uses, are for
/// clients, and an eighth of these is reserved for connections that are about to close. That leaves
/// 2,351 client connections.
const SOCKETS: usize = 5_632;
const LIST_SIZES: [usize; 5] = [80, 1_024, 4_096, 10_000, 22_000];
const LIST_SIZES_SMALL: [usize; 4] = [16, 32, 64, 128];
/// Rates of the rounds, as fractions of the rate that one core can serve.
const RATE_FRACTIONS: [f64; 3] = [MODERATE_RATE_FRACTION, 0.5, 1.0];
/// The cost of a statement is measured in the round at this fraction. It does not overload the
/// process, although a single statement costs more than one of many that are open together.
const MODERATE_RATE_FRACTION: f64 = 0.25;
/// Statements that are kept open while the rate that one core can serve is measured.
const SATURATED_OPEN_STATEMENTS: u64 = 128;
/// Bytes that a manager writes to the discovery feed for each connection. It writes nothing else to
/// it.
const CONNECT_BYTES: u64 = 8;
/// Wait after which the effects of a new list or of new connections have ended.
const SETTLE_TIME: Duration = Duration::from_secs(1);

/// Durations and numbers of connections for one size of the list.
#[derive(Clone, Copy)]
struct RunPlan {
    /// Duration of the phase without clients and without changes of the list.
    rest_duration: Duration,
    /// Duration of the phase without clients and with churn of the list.
    churn_duration: Duration,
    /// Rate at which engines are replaced. Without a value, ten ordinary days' replacements are
    /// spread over one day.
    replacement_rate: Option<churn::ReplacementRate>,
    /// Duration of the saturated round, which measures the rate that one core can serve. Without a
    /// value, `SMALL_STATEMENTS_PER_SECOND` is used.
    saturated_duration: Option<Duration>,
    /// Duration of one round of statements at one rate.
    round_duration: Duration,
    /// Numbers of client connections; a round at each rate runs with each of them.
    round_connections: &'static [usize],
    /// Numbers of idle client connections; memory is measured with each of them.
    idle_connections: &'static [usize],
    /// Wait after a new list and after new connections; see [`SETTLE_TIME`].
    settle_time: Duration,
}

/// Plan for the largest list.
const LARGEST_RUN: RunPlan = RunPlan {
    rest_duration: Duration::from_secs(60),
    churn_duration: Duration::from_secs(60),
    replacement_rate: None,
    saturated_duration: Some(Duration::from_secs(10)),
    round_duration: Duration::from_secs(60),
    round_connections: &[100, 2_351],
    idle_connections: &[100, 500, 1_000, 2_351],
    settle_time: SETTLE_TIME,
};
/// Plan for the other lists.
const SMALLER_RUN: RunPlan = RunPlan {
    rest_duration: Duration::from_secs(10),
    churn_duration: Duration::from_secs(10),
    saturated_duration: Some(Duration::from_secs(5)),
    round_duration: Duration::from_secs(10),
    round_connections: &[2_351],
    idle_connections: &[2_351],
    ..LARGEST_RUN
};
/// Plan of the small case for all lists but the largest.
const SMALL_RUN: RunPlan = RunPlan {
    rest_duration: Duration::from_millis(100),
    churn_duration: Duration::from_millis(200),
    replacement_rate: Some(churn::ReplacementRate {
        interval: Duration::from_millis(100),
        max_replacements: Some(3),
    }),
    saturated_duration: None,
    round_duration: Duration::from_millis(100),
    round_connections: &[8],
    idle_connections: &[8],
    settle_time: Duration::from_millis(10),
};
/// Plan of the small case for the largest list.
const SMALL_LARGEST_RUN: RunPlan = RunPlan {
    round_connections: &[2, 8],
    idle_connections: &[2, 4, 6, 8],
    ..SMALL_RUN
};
/// Rate that one core is assumed to serve in the small case, which does not measure it.
const SMALL_STATEMENTS_PER_SECOND: f64 = 200.0;

/// Runs all sizes but the largest. The figures of the largest size are predicted as soon as its
/// manager reports how many engines it has taken up, and then measured.
pub(super) fn run(options: &Options, output: &mut Output) -> Result<(), ScaleError> {
    let sizes = options.list_sizes_or(&LIST_SIZES, &LIST_SIZES_SMALL);
    let Some((largest, smaller)) = sizes.split_last() else {
        return Ok(());
    };
    let (smaller_plan, largest_plan) = if options.small {
        (SMALL_RUN, SMALL_LARGEST_RUN)
    } else {
        (SMALLER_RUN, LARGEST_RUN)
    };
    let mut rows = Vec::new();
    for listed in smaller {
        rows.push(ManagerBench::start(options, *listed, smaller_plan)?.run_phases(output)?);
    }
    let bench = ManagerBench::start(options, *largest, largest_plan)?;
    let predictions = predict(output, &rows, bench.deployment.known)?;
    let measured = bench.run_phases(output)?;
    for (read_figure, prediction) in predictions {
        prediction.write_error(output, read_figure(&measured))?;
    }
    Ok(())
}

/// Reads one figure from the summary of a size.
type FigureReader = fn(&SummaryRow) -> f64;

/// Figures that are fitted as a function of the number of engines taken up.
const FITTED_FIGURES: [(&str, FigureReader); 3] = [
    ("us_statement_usual", |row| row.us_statement_usual),
    ("percent_core_control", |row| row.percent_core_control),
    ("mb_before_clients", |row| row.mb_before_clients),
];

/// Predicts the fitted figures for a manager that has taken up `known` engines.
fn predict(
    output: &mut Output,
    rows: &[SummaryRow],
    known: u64,
) -> Result<Vec<(FigureReader, Prediction)>, ScaleError> {
    let mut predictions = Vec::new();
    for (figure, read_figure) in FITTED_FIGURES {
        let points: Vec<Point> = rows
            .iter()
            .map(|row| (row.known() as f64, read_figure(row)))
            .collect();
        let figure = Figure {
            test: TEST,
            figure,
            over: "known",
        };
        predictions.push((
            read_figure,
            Prediction::write(output, figure, &points, known as f64)?,
        ));
    }
    Ok(predictions)
}

/// Statements served per second, limited to the rate that clients offer to one manager of the
/// fleet.
fn attainable_rate(saturated: &StatementsRow) -> f64 {
    saturated
        .served_per_second
        .min(fleet::STATEMENTS_PER_SECOND)
}

/// A manager process with its discovery feed and engines.
struct ManagerBench {
    // Fields are dropped in order: the manager ends before the feed and the engines that it is
    // connected to.
    manager: ManagerProcess,
    feed: Arc<Mutex<Feed>>,
    engines: Engines,
    list: Vec<EngineRecord>,
    deployment: Deployment,
    plan: RunPlan,
}

impl ManagerBench {
    fn start(options: &Options, listed: usize, plan: RunPlan) -> Result<ManagerBench, ScaleError> {
        let engines = Engines::start()?;
        let list = configuration::ready_engines(listed, engines.port);
        let feed = Feed::start(&configuration::first_event(&list), HEARTBEAT_INTERVAL)?;
        let configuration = Configuration {
            feed: feed.address,
            sockets: SOCKETS,
            memory_mb: options.memory_mb,
            managers: options.managers,
            listed: &list,
        };
        let manager = ManagerProcess::start(TEST, &configuration.to_json().to_string())?;
        thread::sleep(plan.settle_time);
        let counters = manager.counters()?;
        let count = |name| counters.get(name).copied().unwrap_or_default();
        let deployment = Deployment {
            listed,
            known: count("engines"),
            waiting: count("engines_waiting"),
            managers: options.managers,
            memory_mb: options.memory_mb,
        };
        if deployment.known + deployment.waiting != listed as u64 {
            return Err(ScaleError::CheckFailed(format!(
                "{TEST}: the manager does not count all {listed} listed engines: {deployment:?}"
            )));
        }
        let feed = Arc::new(Mutex::new(feed));
        Ok(ManagerBench {
            manager,
            feed,
            engines,
            list,
            deployment,
            plan,
        })
    }

    /// Runs all phases; those without clients come first.
    fn run_phases(&self, output: &mut Output) -> Result<SummaryRow, ScaleError> {
        let mb_before_clients = megabytes(self.manager.memory()?.resident);
        self.measure_control(output, Phase::Rest, None)?;
        let rate = self
            .plan
            .replacement_rate
            .unwrap_or_else(churn::ReplacementRate::ten_days_in_one);
        let churn = Churn::start(&self.feed, &self.list, self.engines.port, rate);
        let control = self.measure_control(output, Phase::Churn, Some((&churn, rate)))?;
        self.measure_connections(output)?;
        let rounds = self.run_rounds(output, &churn, control.percent_core / 100.0)?;
        self.check_list(churn.finish())?;
        let summary = SummaryRow::new(&self.deployment, &rounds, &control, mb_before_clients);
        output.row(&summary)?;
        Ok(summary)
    }

    /// Measures the process without clients, for the duration of the phase.
    fn measure_control(
        &self,
        output: &mut Output,
        phase: Phase,
        churn: Option<(&Churn, churn::ReplacementRate)>,
    ) -> Result<ControlRow, ScaleError> {
        let duration = if churn.is_some() {
            self.plan.churn_duration
        } else {
            self.plan.rest_duration
        };
        let replaced_a_day = churn.map_or(0.0, |(_, rate)| rate.replacements_per_day());
        let ((), cost) = self.measure_cost(churn.map(|(churn, _)| churn), || {
            thread::sleep(duration);
            Ok(())
        })?;
        let resident = self.manager.memory()?.resident;
        let row = ControlRow::new(phase, &self.deployment, &cost, (replaced_a_day, resident));
        output.row(&row)?;
        Ok(row)
    }

    /// Measures the memory with each number of idle connections. The line is fitted to all numbers
    /// but the largest, which it predicts.
    fn measure_connections(&self, output: &mut Output) -> Result<(), ScaleError> {
        let resident_before = self.manager.memory()?.resident;
        let Some((largest, smaller)) = self.plan.idle_connections.split_last() else {
            return Ok(());
        };
        let mut points: Vec<Point> = Vec::new();
        for connections in smaller {
            points.push(self.measure_idle_connections(output, *connections, resident_before)?);
        }
        let prediction = match points.len() {
            0 => None,
            _ => {
                let figure = Figure {
                    test: TEST,
                    figure: "mb_with_clients",
                    over: "connections",
                };
                Some(Prediction::write(output, figure, &points, *largest as f64)?)
            }
        };
        let (_, measured) = self.measure_idle_connections(output, *largest, resident_before)?;
        prediction.map_or(Ok(()), |prediction| {
            prediction.write_error(output, measured)
        })
    }

    fn measure_idle_connections(
        &self,
        output: &mut Output,
        count: usize,
        resident_before: u64,
    ) -> Result<Point, ScaleError> {
        let clients = Clients::connect(self.manager.listen, count)?;
        self.manager
            .await_counter("client_connections_open", count as u64)?;
        thread::sleep(self.plan.settle_time);
        let resident = self.manager.memory()?.resident;
        output.row(&ConnectionsRow::new(
            &self.deployment,
            count,
            (resident_before, resident),
        ))?;
        drop(clients);
        self.manager.await_counter("client_connections_open", 0)?;
        Ok((count as f64, megabytes(resident)))
    }

    /// Runs a round at each rate in `RATE_FRACTIONS`, with each number of connections.
    fn run_rounds(
        &self,
        output: &mut Output,
        churn: &Churn,
        control_core: f64,
    ) -> Result<Rounds, ScaleError> {
        let (mut moderate, mut saturated) = (None, None);
        for connections in self.plan.round_connections {
            let attainable_rate = match &saturated {
                None => self.measure_saturated(
                    output,
                    *connections,
                    churn,
                    control_core,
                    &mut saturated,
                )?,
                Some(row) => attainable_rate(row),
            };
            for rate_fraction in RATE_FRACTIONS {
                let (rate, duration) = (rate_fraction * attainable_rate, self.plan.round_duration);
                let round = Round {
                    phase: Phase::Statements,
                    connections: *connections,
                    rate,
                };
                let row = self.run_round(output, churn, round, control_core, |clients| {
                    clients.offer(rate, duration)
                })?;
                moderate = if rate_fraction == MODERATE_RATE_FRACTION {
                    Some(row)
                } else {
                    moderate
                };
            }
        }
        let moderate = moderate.ok_or_else(|| {
            ScaleError::CheckFailed(format!("{TEST}: no round ran at the moderate rate"))
        })?;
        Ok(Rounds {
            moderate,
            saturated,
        })
    }

    /// Measures how many statements per second one core serves, limited to the rate that clients
    /// offer to one manager of the fleet.
    fn measure_saturated(
        &self,
        output: &mut Output,
        connections: usize,
        churn: &Churn,
        control_core: f64,
        row: &mut Option<StatementsRow>,
    ) -> Result<f64, ScaleError> {
        let Some(duration) = self.plan.saturated_duration else {
            return Ok(SMALL_STATEMENTS_PER_SECOND);
        };
        let round = Round {
            phase: Phase::Saturated,
            connections,
            rate: fleet::STATEMENTS_PER_SECOND,
        };
        let keep_open =
            |clients: &mut Clients| clients.keep_open(SATURATED_OPEN_STATEMENTS, duration);
        Ok(attainable_rate(row.insert(self.run_round(
            output,
            churn,
            round,
            control_core,
            keep_open,
        )?)))
    }

    /// Runs one round of statements over connections that are opened for it.
    fn run_round(
        &self,
        output: &mut Output,
        churn: &Churn,
        round: Round,
        control_core: f64,
        offer: impl FnOnce(&mut Clients) -> Result<OfferedStatements, ScaleError>,
    ) -> Result<StatementsRow, ScaleError> {
        let mut clients = Clients::connect(self.manager.listen, round.connections)?;
        self.manager
            .await_counter("client_connections_open", round.connections as u64)?;
        self.manager.reset_peak()?;
        let (engines_before, accepted_before) = (self.engines.totals(), self.accepted_requests()?);
        let (offered, cost) = self.measure_cost(Some(churn), || offer(&mut clients))?;
        let (engines_after, memory) = (self.engines.totals(), self.manager.memory()?);
        let taken = self.accepted_requests()? - accepted_before;
        drop(clients);
        // All clients have disconnected. The next round starts once the requests that were still
        // open have ended, so that it starts with no open requests.
        self.manager.await_counter("client_connections_open", 0)?;
        self.manager.await_counter("requests_open", 0)?;
        let totals = RoundTotals {
            attempts: engines_after.statements - engines_before.statements,
            engine_connections: engines_after.connections - engines_before.connections,
            engines_used: engines_after.engines_used,
            engine_bytes_in: engines_after.bytes_sent - engines_before.bytes_sent,
            engine_bytes_out: engines_after.bytes_received - engines_before.bytes_received,
            resident: memory.resident,
            peak: memory.peak,
        };
        let measured = RoundResult {
            taken,
            offered,
            cost,
            totals,
        };
        let row = StatementsRow::new(&self.deployment, round, measured, control_core);
        output.row(&row)?;
        match row.offered.stray {
            0 => Ok(row),
            stray => Err(ScaleError::CheckFailed(format!(
                "{TEST}: {stray} answers to unknown or already answered messages"
            ))),
        }
    }

    /// Runs an action, and measures what the manager process uses while the action runs.
    fn measure_cost<T>(
        &self,
        churn: Option<&Churn>,
        action: impl FnOnce() -> Result<T, ScaleError>,
    ) -> Result<(T, Cost), ScaleError> {
        let events = || churn.map_or(0, Churn::events);
        let (started_at, feed_before, events_before) =
            (Instant::now(), self.feed_totals(), events());
        let (processor_time, processor_wait) = (
            self.manager.processor_time()?,
            self.manager.processor_wait(),
        );
        let done = action()?;
        let processor_time = self.manager.processor_time()? - processor_time;
        let processor_wait = self.manager.processor_wait() - processor_wait;
        let (duration, feed_after) = (started_at.elapsed(), self.feed_totals());
        let cost = Cost {
            duration,
            processor_time,
            processor_wait,
            feed_sent: feed_after.bytes - feed_before.bytes,
            feed_received: (feed_after.connections - feed_before.connections) * CONNECT_BYTES,
            list_events: events() - events_before,
        };
        Ok((done, cost))
    }

    fn feed_totals(&self) -> ServerTotals {
        self.feed
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .totals()
    }

    fn accepted_requests(&self) -> Result<u64, ScaleError> {
        Ok(self
            .manager
            .counters()?
            .get("requests_accepted")
            .copied()
            .unwrap_or_default())
    }

    /// Waits until every event has been applied once and as many engines are listed as at the
    /// start; fails if that does not happen in time.
    fn check_list(&self, events: u64) -> Result<(), ScaleError> {
        self.manager.await_counter("feed_events", events)?;
        self.manager
            .await_counter("engines", self.deployment.known)?;
        self.manager
            .await_counter("engines_waiting", self.deployment.waiting)?;
        Ok(())
    }
}
