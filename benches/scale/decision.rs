//! `decision`: processor time of a request and of a tick, through roster and decision module as the program joins
//! them. No socket is opened: the engine port records the attempts, and this test completes them.

use super::fit::{Figure, Point, Prediction};
use super::fleet;
use super::in_process_manager::RosterSize;
use super::options::{Options, Test};
use super::recording_ports::{
    DispatchedAttempt, NullClient, RecordingEngines, completion_message, request_message,
};
use super::row::{Output, ScaleError, Size, rounded};
use super::usage;
use serde::Serialize;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, Instant};
use workload_manager::core::{ClientPort, Core, CoreMessage};
use workload_manager::limits::Limits;
use workload_manager::metrics::Metrics;
use workload_manager::settings_json::PlatformSettings;
use workload_manager::{Millis, RequestId};

const TEST: &str = Test::Decision.name();
/// Time that an engine takes to serve a statement, in ms.
const SERVED_AFTER_MS: Millis = 8.0;

/// How much is played at each size.
struct Effort {
    rounds: usize,
    warm_up: u32,
    requests: u32,
    /// A round that lasts longer ends with the requests that it has.
    max_duration: Duration,
}

const FULL: Effort = Effort {
    rounds: 5,
    warm_up: 500,
    requests: 4_000,
    max_duration: Duration::from_secs(15),
};
const SMALL: Effort = Effort {
    rounds: 1,
    warm_up: 50,
    requests: 500,
    max_duration: Duration::from_secs(15),
};

#[derive(Serialize)]
struct DecisionRow {
    #[serde(flatten)]
    size: Size,
    memory_mb: usize,
    #[serde(flatten)]
    taken_up: RosterSize,
    /// Median of the rounds' means, and their least and most.
    us_request: f64,
    us_request_least: f64,
    us_request_most: f64,
    us_tick: f64,
    us_tick_least: f64,
    us_tick_most: f64,
    rounds: usize,
    /// Of all rounds.
    requests: u64,
    ticks: u64,
    served: u64,
    refused: u64,
    failed: u64,
    /// Sends that a guard of the core stopped.
    guarded: u64,
}

/// Plays all sizes, and predicts the largest from the others.
pub(super) fn run(options: &Options, output: &mut Output) -> Result<(), ScaleError> {
    let effort = if options.small { &SMALL } else { &FULL };
    let sizes = options.listed();
    let (mut requests, mut ticks): (Vec<Point>, Vec<Point>) = (Vec::new(), Vec::new());
    let figure = |figure| Figure {
        test: TEST,
        figure,
        over: "listed",
    };
    let mut predictions = None;
    for (at, listed) in sizes.iter().copied().enumerate() {
        let size = listed as f64;
        if at + 1 == sizes.len() && requests.len() >= 2 {
            let request = Prediction::write(output, figure("us_request"), &requests, size)?;
            let tick = Prediction::write(output, figure("us_tick"), &ticks, size)?;
            predictions = Some((request, tick));
        }
        let row = measure(options, effort, listed);
        output.row(&row)?;
        requests.push((size, row.us_request));
        ticks.push((size, row.us_tick));
        if let Some((request, tick)) = &predictions {
            request.check(output, row.us_request)?;
            tick.check(output, row.us_tick)?;
        }
    }
    Ok(())
}

/// Processor time of one tick with this many listed engines, in us: one short round.
pub(super) fn tick_us(options: &Options, listed: usize) -> f64 {
    let mut bench = TestBench::new(options, listed, 0);
    bench.play(SMALL.requests, SMALL.max_duration);
    bench.in_ticks.mean_us()
}

fn measure(options: &Options, effort: &Effort, listed: usize) -> DecisionRow {
    let mut benches: Vec<TestBench> = Vec::new();
    for round in 0..effort.rounds {
        let mut bench = TestBench::new(options, listed, round as u64);
        bench.play(effort.warm_up, effort.max_duration);
        (bench.in_requests, bench.in_ticks) = Default::default();
        bench.play(effort.requests, effort.max_duration);
        benches.push(bench);
    }
    let counted =
        |count: fn(&Metrics) -> u64| benches.iter().map(|bench| count(&bench.metrics)).sum();
    let request = RoundSummary::of(benches.iter().map(|bench| bench.in_requests.mean_us()));
    let tick = RoundSummary::of(benches.iter().map(|bench| bench.in_ticks.mean_us()));
    DecisionRow {
        size: Size::measured(TEST, "decision", listed, options.managers as usize),
        memory_mb: options.memory_mb,
        taken_up: RosterSize::of(&benches[0].core, &benches[0].metrics),
        us_request: request.median,
        us_request_least: request.least,
        us_request_most: request.most,
        us_tick: tick.median,
        us_tick_least: tick.least,
        us_tick_most: tick.most,
        rounds: effort.rounds,
        requests: benches.iter().map(|bench| bench.in_requests.count).sum(),
        ticks: benches.iter().map(|bench| bench.in_ticks.count).sum(),
        served: counted(|metrics| metrics.requests_served.get()),
        refused: counted(|metrics| metrics.requests_rejected.get()),
        failed: counted(|metrics| metrics.requests_failed.get()),
        guarded: counted(|metrics| metrics.sends_blocked_by_guard.get()),
    }
}

/// Median, least and most of the rounds.
struct RoundSummary {
    median: f64,
    least: f64,
    most: f64,
}

impl RoundSummary {
    fn of(figures: impl Iterator<Item = f64>) -> RoundSummary {
        let mut figures: Vec<f64> = figures.map(rounded).collect();
        figures.sort_by(f64::total_cmp);
        let (least, most) = (figures[0], figures[figures.len() - 1]);
        RoundSummary {
            median: figures[figures.len() / 2],
            least,
            most,
        }
    }
}

/// Processor time spent in one kind of call.
#[derive(Default)]
struct ProcessorTime {
    count: u64,
    time: Duration,
}

impl ProcessorTime {
    fn mean_us(&self) -> f64 {
        self.time.as_secs_f64() * 1e6 / self.count.max(1) as f64
    }
}

/// An attempt that an engine has not answered yet.
struct AttemptInFlight {
    attempt: DispatchedAttempt,
    sent: Millis,
}

/// One core on a clock of its own, with statements that come and are served at the fleet's rate.
struct TestBench {
    core: Core<RecordingEngines>,
    engines: RecordingEngines,
    metrics: Arc<Metrics>,
    parsed: PlatformSettings,
    client: Arc<dyn ClientPort>,
    in_flight: VecDeque<AttemptInFlight>,
    now: Millis,
    next_id: RequestId,
    in_requests: ProcessorTime,
    in_ticks: ProcessorTime,
}

impl TestBench {
    fn new(options: &Options, listed: usize, seed: u64) -> TestBench {
        let parsed = fleet::settings(options.managers, 0);
        let limits = Arc::new(Limits::new(
            fleet::SOCKETS,
            options.memory_mb,
            true,
            &parsed,
        ));
        let metrics: Arc<Metrics> = Arc::default();
        let engines = RecordingEngines::default();
        let made = Core::new(
            parsed.settings.clone(),
            seed,
            engines.clone(),
            limits,
            metrics.clone(),
        );
        let mut core = made.expect("settings that were parsed");
        core.start(0.0);
        core.handle(0.0, CoreMessage::EndpointList(fleet::full_list(1, listed)));
        TestBench {
            core,
            engines,
            metrics,
            parsed,
            client: Arc::new(NullClient),
            in_flight: VecDeque::new(),
            now: 0.0,
            next_id: 1,
            in_requests: ProcessorTime::default(),
            in_ticks: ProcessorTime::default(),
        }
    }

    /// Accepts this many statements, or as many as the time allows, serves them, and runs the ticks that come due.
    fn play(&mut self, requests: u32, max_duration: Duration) {
        let begun = Instant::now();
        for _ in 0..requests {
            if begun.elapsed() > max_duration {
                return;
            }
            self.now += 1000.0 / fleet::STATEMENTS;
            self.run_due_tick();
            let from = usage::thread_time();
            self.complete_due_attempts();
            self.accept_statement();
            self.in_requests.count += 1;
            self.in_requests.time += usage::thread_time() - from;
        }
    }

    fn run_due_tick(&mut self) {
        if self.core.next_timer().is_some_and(|at| at <= self.now) {
            let from = usage::thread_time();
            self.core.run_due_timers(self.now);
            self.in_ticks.count += 1;
            self.in_ticks.time += usage::thread_time() - from;
        }
    }

    fn accept_statement(&mut self) {
        let id = self.next_id;
        self.next_id += 1;
        self.core.handle(
            self.now,
            request_message(id, self.now, &self.parsed.classes[0], &self.client),
        );
        self.collect_dispatched();
    }

    /// Completes the attempts whose service time is over.
    fn complete_due_attempts(&mut self) {
        while self
            .in_flight
            .front()
            .is_some_and(|oldest| oldest.sent + SERVED_AFTER_MS <= self.now)
        {
            let Some(AttemptInFlight { attempt, .. }) = self.in_flight.pop_front() else {
                return;
            };
            self.core.handle(self.now, completion_message(attempt));
            self.collect_dispatched();
        }
    }

    fn collect_dispatched(&mut self) {
        let sent = self.now;
        self.in_flight.extend(
            self.engines
                .take_dispatched()
                .into_iter()
                .map(|attempt| AttemptInFlight { attempt, sent }),
        );
    }
}
