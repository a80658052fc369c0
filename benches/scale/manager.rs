//! `manager`: one real workload manager before a long list, with churn of the list and clients that offer statements:
//! processor time by statement and for control, memory by connection, bytes of the list feed.

use super::churn::{self, Churn};
use super::clients::Clients;
use super::configuration::{self, Configuration};
use super::engines::Engines;
use super::feed::{Feed, IDLE};
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

/// Half of the descriptors, less those kept for other ends, are for clients, and an eighth of these for connections that
/// are about to leave: 2,351 find room.
const SOCKETS: usize = 5_632;
const LISTED: [usize; 5] = [80, 1_024, 4_096, 10_000, 22_000];
const LISTED_SMALL: [usize; 4] = [16, 32, 64, 128];
/// The rates of the rounds, as parts of what a core gives.
const RATES: [f64; 3] = [USUAL_RATE, 0.5, 1.0];
/// The rate whose cost stands for a statement's: the process is not overloaded by it, though a statement alone costs
/// more than one among many that are open.
const USUAL_RATE: f64 = 0.25;
/// Statements open at once while it is found out what a core gives.
const OPEN_AT_ONCE: u64 = 128;
/// What a manager writes to the list feed for each connection, and nothing else.
const CONNECT_BYTES: u64 = 8;
/// What the list and connections leave behind is over by then.
const SETTLED: Duration = Duration::from_secs(1);

/// How much is played at one size.
#[derive(Clone, Copy)]
struct Effort {
    rest: Duration,
    churn: Duration,
    /// Replaced engines; ten ordinary days in one where none is given.
    replaced: Option<churn::ReplacementRate>,
    /// While what a core gives is found out; none where the rate is given.
    saturated: Option<Duration>,
    /// One round of statements at one rate.
    round: Duration,
    /// Rounds are played with each of these numbers of connections.
    rounds_at: &'static [usize],
    /// Memory is taken with each of these.
    connections: &'static [usize],
    settled: Duration,
}

const LARGEST: Effort = Effort {
    rest: Duration::from_secs(60),
    churn: Duration::from_secs(60),
    replaced: None,
    saturated: Some(Duration::from_secs(10)),
    round: Duration::from_secs(60),
    rounds_at: &[100, 2_351],
    connections: &[100, 500, 1_000, 2_351],
    settled: SETTLED,
};
const SMALLER: Effort = Effort {
    rest: Duration::from_secs(10),
    churn: Duration::from_secs(10),
    saturated: Some(Duration::from_secs(5)),
    round: Duration::from_secs(10),
    rounds_at: &[2_351],
    connections: &[2_351],
    ..LARGEST
};
const SMALL: Effort = Effort {
    rest: Duration::from_millis(100),
    churn: Duration::from_millis(200),
    replaced: Some(churn::ReplacementRate {
        interval: Duration::from_millis(100),
        max_replacements: Some(3),
    }),
    saturated: None,
    round: Duration::from_millis(100),
    rounds_at: &[8],
    connections: &[8],
    settled: Duration::from_millis(10),
};
const SMALL_LARGEST: Effort = Effort {
    rounds_at: &[2, 8],
    connections: &[2, 4, 6, 8],
    ..SMALL
};
/// What a core is taken to give in the small case, where it is not found out.
const SMALL_RATE: f64 = 200.0;

/// Plays all sizes but the largest, predicts that one once it is known how many engines it takes up, and plays it.
pub(super) fn run(options: &Options, output: &mut Output) -> Result<(), ScaleError> {
    let sizes = options.list_sizes_or(&LISTED, &LISTED_SMALL);
    let Some((largest, smaller)) = sizes.split_last() else {
        return Ok(());
    };
    let (of_smaller, of_largest) = if options.small {
        (SMALL, SMALL_LARGEST)
    } else {
        (SMALLER, LARGEST)
    };
    let mut rows = Vec::new();
    for listed in smaller {
        rows.push(ManagerBench::start(options, *listed, of_smaller)?.play(output)?);
    }
    let bench = ManagerBench::start(options, *largest, of_largest)?;
    let predictions = predict(output, &rows, bench.deployment.known)?;
    let measured = bench.play(output)?;
    for (reading, prediction) in predictions {
        prediction.write_error(output, reading(&measured))?;
    }
    Ok(())
}

/// How to read a figure off what a size came to.
type Reading = fn(&SummaryRow) -> f64;

/// The figures that are fitted over the engines taken up.
const FIGURES: [(&str, Reading); 3] = [
    ("us_statement_usual", |row| row.us_statement_usual),
    ("percent_core_control", |row| row.percent_core_control),
    ("mb_before_clients", |row| row.mb_before_clients),
];

fn predict(
    output: &mut Output,
    rows: &[SummaryRow],
    known: u64,
) -> Result<Vec<(Reading, Prediction)>, ScaleError> {
    let mut predictions = Vec::new();
    for (figure, reading) in FIGURES {
        let points: Vec<Point> = rows
            .iter()
            .map(|row| (row.known() as f64, reading(row)))
            .collect();
        let figure = Figure {
            test: TEST,
            figure,
            over: "known",
        };
        predictions.push((
            reading,
            Prediction::write(output, figure, &points, known as f64)?,
        ));
    }
    Ok(predictions)
}

/// Statements a second that were served, or those of the size where they were more.
fn most(saturated: &StatementsRow) -> f64 {
    saturated
        .served_per_second
        .min(fleet::STATEMENTS_PER_SECOND)
}

/// A manager with its list feed and engines.
struct ManagerBench {
    // Ends before what it is connected to.
    manager: ManagerProcess,
    feed: Arc<Mutex<Feed>>,
    engines: Engines,
    list: Vec<EngineRecord>,
    deployment: Deployment,
    effort: Effort,
}

impl ManagerBench {
    fn start(options: &Options, listed: usize, effort: Effort) -> Result<ManagerBench, ScaleError> {
        let engines = Engines::start()?;
        let list = configuration::ready_engines(listed, engines.port);
        let feed = Feed::start(&configuration::first_event(&list), IDLE)?;
        let configuration = Configuration {
            feed: feed.address,
            sockets: SOCKETS,
            memory_mb: options.memory_mb,
            managers: options.managers,
            listed: &list,
        };
        let manager = ManagerProcess::start(TEST, &configuration.to_json().to_string())?;
        thread::sleep(effort.settled);
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
                "{TEST}: of {listed} engines it knows {deployment:?}"
            )));
        }
        let feed = Arc::new(Mutex::new(feed));
        Ok(ManagerBench {
            manager,
            feed,
            engines,
            list,
            deployment,
            effort,
        })
    }

    /// All phases, those of control first.
    fn play(&self, output: &mut Output) -> Result<SummaryRow, ScaleError> {
        let mb_before_clients = megabytes(self.manager.memory()?.resident);
        self.control(output, Phase::Rest, None)?;
        let rate = self
            .effort
            .replaced
            .unwrap_or_else(churn::ReplacementRate::ten_days_in_one);
        let churn = Churn::start(&self.feed, &self.list, self.engines.port, rate);
        let control = self.control(output, Phase::Churn, Some((&churn, rate)))?;
        self.connections(output)?;
        let rounds = self.rounds(output, &churn, control.percent_core / 100.0)?;
        self.check_list(churn.finish())?;
        let summary = SummaryRow::new(&self.deployment, &rounds, &control, mb_before_clients);
        output.row(&summary)?;
        Ok(summary)
    }

    /// The process without clients.
    fn control(
        &self,
        output: &mut Output,
        phase: Phase,
        churn: Option<(&Churn, churn::ReplacementRate)>,
    ) -> Result<ControlRow, ScaleError> {
        let lasts = if churn.is_some() {
            self.effort.churn
        } else {
            self.effort.rest
        };
        let replaced_a_day = churn.map_or(0.0, |(_, rate)| rate.replacements_per_day());
        let ((), cost) = self.measured(churn.map(|(churn, _)| churn), || {
            thread::sleep(lasts);
            Ok(())
        })?;
        let resident = self.manager.memory()?.resident;
        let row = ControlRow::new(phase, &self.deployment, &cost, (replaced_a_day, resident));
        output.row(&row)?;
        Ok(row)
    }

    /// Memory by idle connections; fitted on all numbers but the largest.
    fn connections(&self, output: &mut Output) -> Result<(), ScaleError> {
        let before = self.manager.memory()?.resident;
        let Some((largest, smaller)) = self.effort.connections.split_last() else {
            return Ok(());
        };
        let mut points: Vec<Point> = Vec::new();
        for connections in smaller {
            points.push(self.idle_connections(output, *connections, before)?);
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
        let (_, measured) = self.idle_connections(output, *largest, before)?;
        prediction.map_or(Ok(()), |prediction| {
            prediction.write_error(output, measured)
        })
    }

    fn idle_connections(
        &self,
        output: &mut Output,
        count: usize,
        before: u64,
    ) -> Result<Point, ScaleError> {
        let clients = Clients::connect(self.manager.listen, count)?;
        self.manager
            .await_counter("client_connections_open", count as u64)?;
        thread::sleep(self.effort.settled);
        let resident = self.manager.memory()?.resident;
        output.row(&ConnectionsRow::new(
            &self.deployment,
            count,
            (before, resident),
        ))?;
        drop(clients);
        self.manager.await_counter("client_connections_open", 0)?;
        Ok((count as f64, megabytes(resident)))
    }

    /// Three rates with each number of connections.
    fn rounds(
        &self,
        output: &mut Output,
        churn: &Churn,
        control: f64,
    ) -> Result<Rounds, ScaleError> {
        let (mut usual, mut saturated) = (None, None);
        for connections in self.effort.rounds_at {
            let most = match &saturated {
                None => self.saturated(output, *connections, churn, control, &mut saturated)?,
                Some(row) => most(row),
            };
            for part in RATES {
                let (rate, lasts) = (part * most, self.effort.round);
                let of = Round {
                    phase: Phase::Statements,
                    connections: *connections,
                    rate,
                };
                let row = self.round(output, churn, of, control, |clients| {
                    clients.offer(rate, lasts)
                })?;
                usual = if part == USUAL_RATE { Some(row) } else { usual };
            }
        }
        let usual = usual.ok_or_else(|| ScaleError::CheckFailed(format!("{TEST}: no rounds")))?;
        Ok(Rounds { usual, saturated })
    }

    /// The statements a second that a core gives, or those of the size where it gives more.
    fn saturated(
        &self,
        output: &mut Output,
        connections: usize,
        churn: &Churn,
        control: f64,
        row: &mut Option<StatementsRow>,
    ) -> Result<f64, ScaleError> {
        let Some(lasts) = self.effort.saturated else {
            return Ok(SMALL_RATE);
        };
        let of = Round {
            phase: Phase::Saturated,
            connections,
            rate: fleet::STATEMENTS_PER_SECOND,
        };
        let keep_open = |clients: &mut Clients| clients.keep_open(OPEN_AT_ONCE, lasts);
        Ok(most(row.insert(
            self.round(output, churn, of, control, keep_open)?,
        )))
    }

    /// One round of statements, over connections of its own.
    fn round(
        &self,
        output: &mut Output,
        churn: &Churn,
        of: Round,
        control: f64,
        offer: impl FnOnce(&mut Clients) -> Result<OfferedStatements, ScaleError>,
    ) -> Result<StatementsRow, ScaleError> {
        let mut clients = Clients::connect(self.manager.listen, of.connections)?;
        self.manager
            .await_counter("client_connections_open", of.connections as u64)?;
        self.manager.reset_peak()?;
        let (engines, taken) = (self.engines.totals(), self.accepted_requests()?);
        let (offered, cost) = self.measured(Some(churn), || offer(&mut clients))?;
        let (now, memory) = (self.engines.totals(), self.manager.memory()?);
        let taken = self.accepted_requests()? - taken;
        drop(clients);
        // What was open has no client any more, so the next round begins with nothing open.
        self.manager.await_counter("client_connections_open", 0)?;
        self.manager.await_counter("requests_open", 0)?;
        let seen = RoundTotals {
            attempts: now.statements - engines.statements,
            engine_connections: now.connections - engines.connections,
            engines_used: now.used,
            engine_bytes_in: now.sent - engines.sent,
            engine_bytes_out: now.received - engines.received,
            resident: memory.resident,
            peak: memory.peak,
        };
        let measured = RoundResult {
            taken,
            offered,
            cost,
            seen,
        };
        let row = StatementsRow::new(&self.deployment, of, measured, control);
        output.row(&row)?;
        match row.offered.stray {
            0 => Ok(row),
            stray => Err(ScaleError::CheckFailed(format!(
                "{TEST}: {stray} answers to what was not asked, or again"
            ))),
        }
    }

    /// What a stretch of time costs the process.
    fn measured<T>(
        &self,
        churn: Option<&Churn>,
        stretch: impl FnOnce() -> Result<T, ScaleError>,
    ) -> Result<(T, Cost), ScaleError> {
        let events = || churn.map_or(0, Churn::events);
        let (begun, feed_before, events_before) = (Instant::now(), self.feed_totals(), events());
        let (processor, waited) = (self.manager.processor_time()?, self.manager.waited());
        let done = stretch()?;
        let processor = self.manager.processor_time()? - processor;
        let waited = self.manager.waited() - waited;
        let (lasted, now) = (begun.elapsed(), self.feed_totals());
        let cost = Cost {
            lasted,
            processor,
            waited,
            feed_sent: now.bytes - feed_before.bytes,
            feed_received: (now.connections - feed_before.connections) * CONNECT_BYTES,
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

    /// Every event was applied once, and as many engines are listed as at the start.
    fn check_list(&self, events: u64) -> Result<(), ScaleError> {
        self.manager.await_counter("feed_events", events)?;
        self.manager
            .await_counter("engines", self.deployment.known)?;
        self.manager
            .await_counter("engines_waiting", self.deployment.waiting)?;
        Ok(())
    }
}
