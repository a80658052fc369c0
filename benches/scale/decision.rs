//! `decision`: processor time of a request and of a timer tick, through the roster and the
//! dispatcher, connected as in the program. No socket is opened: the engine port records the
//! attempts, and this test completes them.

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
const SERVICE_TIME_MS: Millis = 8.0;

/// How much is measured at each size.
struct RunPlan {
    rounds: usize,
    warm_up_requests: u32,
    requests: u32,
    /// A round that reaches this time ends with fewer requests.
    max_duration: Duration,
}

const FULL_RUN: RunPlan = RunPlan {
    rounds: 5,
    warm_up_requests: 500,
    requests: 4_000,
    max_duration: Duration::from_secs(15),
};
const SMALL_RUN: RunPlan = RunPlan {
    rounds: 1,
    warm_up_requests: 50,
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
    /// Median, minimum and maximum of the rounds' means, in microseconds.
    us_request: f64,
    us_request_least: f64,
    us_request_most: f64,
    us_tick: f64,
    us_tick_least: f64,
    us_tick_most: f64,
    rounds: usize,
    /// Totals over all rounds.
    requests: u64,
    ticks: u64,
    served: u64,
    refused: u64,
    failed: u64,
    /// Sends that a guard of the core blocked.
    guarded: u64,
}

/// Measures all sizes, and predicts the figures of the largest from the others.
pub(super) fn run(options: &Options, output: &mut Output) -> Result<(), ScaleError> {
    let run_plan = if options.small { &SMALL_RUN } else { &FULL_RUN };
    let sizes = options.list_sizes();
    let (mut requests, mut ticks): (Vec<Point>, Vec<Point>) = (Vec::new(), Vec::new());
    let figure = |figure| Figure {
        test: TEST,
        figure,
        over: "listed",
    };
    let mut predictions = None;
    for (index, listed) in sizes.iter().copied().enumerate() {
        let size = listed as f64;
        if index + 1 == sizes.len() && requests.len() >= 2 {
            let request = Prediction::write(output, figure("us_request"), &requests, size)?;
            let tick = Prediction::write(output, figure("us_tick"), &ticks, size)?;
            predictions = Some((request, tick));
        }
        let row = measure(options, run_plan, listed);
        output.row(&row)?;
        requests.push((size, row.us_request));
        ticks.push((size, row.us_tick));
        if let Some((request, tick)) = &predictions {
            request.write_error(output, row.us_request)?;
            tick.write_error(output, row.us_tick)?;
        }
    }
    Ok(())
}

/// Mean processor time of one tick with this many listed engines, in microseconds, over one short
/// round.
pub(super) fn tick_us(options: &Options, listed: usize) -> f64 {
    let mut bench = DecisionBench::new(options, listed, 0);
    bench.run_requests(SMALL_RUN.requests, SMALL_RUN.max_duration);
    bench.tick_time.mean_us()
}

fn measure(options: &Options, run_plan: &RunPlan, listed: usize) -> DecisionRow {
    let mut benches: Vec<DecisionBench> = Vec::new();
    for round in 0..run_plan.rounds {
        let mut bench = DecisionBench::new(options, listed, round as u64);
        bench.run_requests(run_plan.warm_up_requests, run_plan.max_duration);
        (bench.request_time, bench.tick_time) = Default::default();
        bench.run_requests(run_plan.requests, run_plan.max_duration);
        benches.push(bench);
    }
    let sum_metric =
        |count: fn(&Metrics) -> u64| benches.iter().map(|bench| count(&bench.metrics)).sum();
    let request = RoundSummary::of(benches.iter().map(|bench| bench.request_time.mean_us()));
    let tick = RoundSummary::of(benches.iter().map(|bench| bench.tick_time.mean_us()));
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
        rounds: run_plan.rounds,
        requests: benches.iter().map(|bench| bench.request_time.count).sum(),
        ticks: benches.iter().map(|bench| bench.tick_time.count).sum(),
        served: sum_metric(|metrics| metrics.requests_served.get()),
        refused: sum_metric(|metrics| metrics.requests_rejected.get()),
        failed: sum_metric(|metrics| metrics.requests_failed.get()),
        guarded: sum_metric(|metrics| metrics.sends_blocked_by_guard.get()),
    }
}

/// Median, minimum and maximum over the rounds.
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

/// Number of calls of one kind, and the processor time that they took.
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

/// An attempt that no engine has answered yet, and when it was sent.
struct AttemptInFlight {
    attempt: DispatchedAttempt,
    sent_ms: Millis,
}

/// One core on a simulated clock, with statements that arrive at the fleet's rate and are served
/// after a fixed time.
struct DecisionBench {
    core: Core<RecordingEngines>,
    engines: RecordingEngines,
    metrics: Arc<Metrics>,
    parsed: PlatformSettings,
    client: Arc<dyn ClientPort>,
    in_flight: VecDeque<AttemptInFlight>,
    now: Millis,
    next_id: RequestId,
    request_time: ProcessorTime,
    tick_time: ProcessorTime,
}

impl DecisionBench {
    fn new(options: &Options, listed: usize, seed: u64) -> DecisionBench {
        let parsed = fleet::settings(options.managers, 0);
        let limits = Arc::new(Limits::new(
            fleet::SOCKETS,
            options.memory_mb,
            true,
            &parsed,
        ));
        let metrics: Arc<Metrics> = Arc::default();
        let engines = RecordingEngines::default();
        let built_core = Core::new(
            parsed.settings.clone(),
            seed,
            engines.clone(),
            limits,
            metrics.clone(),
        );
        let mut core = built_core.expect("the parsed settings are valid");
        core.start(0.0);
        core.handle(0.0, CoreMessage::EndpointList(fleet::full_list(1, listed)));
        DecisionBench {
            core,
            engines,
            metrics,
            parsed,
            client: Arc::new(NullClient),
            in_flight: VecDeque::new(),
            now: 0.0,
            next_id: 1,
            request_time: ProcessorTime::default(),
            tick_time: ProcessorTime::default(),
        }
    }

    /// Accepts up to this many statements within `max_duration`, completes the attempts that are
    /// due, and runs the ticks that are due.
    fn run_requests(&mut self, requests: u32, max_duration: Duration) {
        let started = Instant::now();
        for _ in 0..requests {
            if started.elapsed() > max_duration {
                return;
            }
            self.now += 1000.0 / fleet::STATEMENTS_PER_SECOND;
            self.run_due_tick();
            let time_before = usage::thread_processor_time();
            self.complete_due_attempts();
            self.accept_statement();
            self.request_time.count += 1;
            self.request_time.time += usage::thread_processor_time() - time_before;
        }
    }

    fn run_due_tick(&mut self) {
        if self.core.next_timer().is_some_and(|due| due <= self.now) {
            let time_before = usage::thread_processor_time();
            self.core.run_due_timers(self.now);
            self.tick_time.count += 1;
            self.tick_time.time += usage::thread_processor_time() - time_before;
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

    /// Completes the attempts whose service time has passed.
    fn complete_due_attempts(&mut self) {
        while self
            .in_flight
            .front()
            .is_some_and(|oldest| oldest.sent_ms + SERVICE_TIME_MS <= self.now)
        {
            let Some(AttemptInFlight { attempt, .. }) = self.in_flight.pop_front() else {
                return;
            };
            self.core.handle(self.now, completion_message(attempt));
            self.collect_dispatched();
        }
    }

    fn collect_dispatched(&mut self) {
        let sent_ms = self.now;
        self.in_flight.extend(
            self.engines
                .take_dispatched()
                .into_iter()
                .map(|attempt| AttemptInFlight { attempt, sent_ms }),
        );
    }
}
