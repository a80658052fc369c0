//! `decision`: processor time of a request and of a tick, through roster and decision module as the program joins
//! them. No socket is opened: the engine port keeps what it is asked, and the answers come from here.

use super::fit::{Figure, Point, Prediction};
use super::fleet;
use super::hollow::{Asked, HollowClient, HollowEngines, TakenUp, served, statement};
use super::row::{Failure, Output, Size, rounded};
use super::{Options, usage};
use serde::Serialize;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, Instant};
use workload_manager::core::{ClientPort, Core, CoreMessage};
use workload_manager::limits::Limits;
use workload_manager::metrics::Metrics;
use workload_manager::settings_json::PlatformSettings;
use workload_manager::{Millis, RequestId};

const TEST: &str = "decision";
/// Time that an engine takes to serve a statement, in ms.
const SERVED_AFTER_MS: Millis = 8.0;

/// How much is played at each size.
struct Effort {
    rounds: usize,
    warm_up: u32,
    requests: u32,
    /// A round that lasts longer ends with the requests that it has.
    longest: Duration,
}

const FULL: Effort = Effort {
    rounds: 5,
    warm_up: 500,
    requests: 4_000,
    longest: Duration::from_secs(15),
};
const SMALL: Effort = Effort {
    rounds: 1,
    warm_up: 50,
    requests: 500,
    longest: Duration::from_secs(15),
};

#[derive(Serialize)]
struct DecisionRow {
    #[serde(flatten)]
    size: Size,
    memory_mb: usize,
    #[serde(flatten)]
    taken_up: TakenUp,
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
pub(super) fn run(options: &Options, output: &mut Output) -> Result<(), Failure> {
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

/// Processor time of one tick with so many listed engines, in us: one short round.
pub(super) fn tick_us(options: &Options, listed: usize) -> f64 {
    let mut rig = Rig::new(options, listed, 0);
    rig.play(SMALL.requests, SMALL.longest);
    rig.in_ticks.mean_us()
}

fn measure(options: &Options, effort: &Effort, listed: usize) -> DecisionRow {
    let mut rigs: Vec<Rig> = Vec::new();
    for round in 0..effort.rounds {
        let mut rig = Rig::new(options, listed, round as u64);
        rig.play(effort.warm_up, effort.longest);
        (rig.in_requests, rig.in_ticks) = Default::default();
        rig.play(effort.requests, effort.longest);
        rigs.push(rig);
    }
    let counted = |count: fn(&Metrics) -> u64| rigs.iter().map(|rig| count(&rig.metrics)).sum();
    let request = Spread::of(rigs.iter().map(|rig| rig.in_requests.mean_us()));
    let tick = Spread::of(rigs.iter().map(|rig| rig.in_ticks.mean_us()));
    DecisionRow {
        size: Size::measured(TEST, "decision", listed, options.managers as usize),
        memory_mb: options.memory_mb,
        taken_up: TakenUp::of(&rigs[0].core, &rigs[0].metrics),
        us_request: request.median,
        us_request_least: request.least,
        us_request_most: request.most,
        us_tick: tick.median,
        us_tick_least: tick.least,
        us_tick_most: tick.most,
        rounds: effort.rounds,
        requests: rigs.iter().map(|rig| rig.in_requests.count).sum(),
        ticks: rigs.iter().map(|rig| rig.in_ticks.count).sum(),
        served: counted(|metrics| metrics.requests_served.get()),
        refused: counted(|metrics| metrics.requests_rejected.get()),
        failed: counted(|metrics| metrics.requests_failed.get()),
        guarded: counted(|metrics| metrics.sends_blocked_by_guard.get()),
    }
}

/// Median, least and most of the rounds.
struct Spread {
    median: f64,
    least: f64,
    most: f64,
}

impl Spread {
    fn of(figures: impl Iterator<Item = f64>) -> Spread {
        let mut figures: Vec<f64> = figures.map(rounded).collect();
        figures.sort_by(f64::total_cmp);
        let (least, most) = (figures[0], figures[figures.len() - 1]);
        Spread {
            median: figures[figures.len() / 2],
            least,
            most,
        }
    }
}

/// Processor time spent in one kind of call.
#[derive(Default)]
struct Spent {
    count: u64,
    time: Duration,
}

impl Spent {
    fn mean_us(&self) -> f64 {
        self.time.as_secs_f64() * 1e6 / self.count.max(1) as f64
    }
}

/// An attempt that an engine has in hand.
struct InHand {
    asked: Asked,
    sent: Millis,
}

/// One core on a clock of its own, with statements that come and are served at the fleet's rate.
struct Rig {
    core: Core<HollowEngines>,
    engines: HollowEngines,
    metrics: Arc<Metrics>,
    parsed: PlatformSettings,
    client: Arc<dyn ClientPort>,
    in_hand: VecDeque<InHand>,
    now: Millis,
    next_id: RequestId,
    in_requests: Spent,
    in_ticks: Spent,
}

impl Rig {
    fn new(options: &Options, listed: usize, seed: u64) -> Rig {
        let parsed = fleet::settings(options.managers, 0);
        let limits = Arc::new(Limits::new(
            fleet::SOCKETS,
            options.memory_mb,
            true,
            &parsed,
        ));
        let metrics: Arc<Metrics> = Arc::default();
        let engines = HollowEngines::default();
        let made = Core::new(
            parsed.settings.clone(),
            seed,
            engines.clone(),
            limits,
            metrics.clone(),
        );
        let mut core = made.expect("settings that were parsed");
        core.begin(0.0);
        core.handle(0.0, CoreMessage::EndpointList(fleet::whole_list(1, listed)));
        Rig {
            core,
            engines,
            metrics,
            parsed,
            client: Arc::new(HollowClient),
            in_hand: VecDeque::new(),
            now: 0.0,
            next_id: 1,
            in_requests: Spent::default(),
            in_ticks: Spent::default(),
        }
    }

    /// Takes so many statements in, or as many as the time allows, serves them, and runs the ticks that come due.
    fn play(&mut self, requests: u32, longest: Duration) {
        let begun = Instant::now();
        for _ in 0..requests {
            if begun.elapsed() > longest {
                return;
            }
            self.now += 1000.0 / fleet::STATEMENTS;
            self.tick();
            let from = usage::thread_time();
            self.serve();
            self.request();
            self.in_requests.count += 1;
            self.in_requests.time += usage::thread_time() - from;
        }
    }

    fn tick(&mut self) {
        if self.core.next_alarm().is_some_and(|at| at <= self.now) {
            let from = usage::thread_time();
            self.core.alarms(self.now);
            self.in_ticks.count += 1;
            self.in_ticks.time += usage::thread_time() - from;
        }
    }

    fn request(&mut self) {
        let id = self.next_id;
        self.next_id += 1;
        self.core.handle(
            self.now,
            statement(id, self.now, &self.parsed.classes[0], &self.client),
        );
        self.collect();
    }

    /// Answers what has been in hand for the time that an engine takes.
    fn serve(&mut self) {
        while self
            .in_hand
            .front()
            .is_some_and(|oldest| oldest.sent + SERVED_AFTER_MS <= self.now)
        {
            let Some(InHand { asked, .. }) = self.in_hand.pop_front() else {
                return;
            };
            self.core.handle(self.now, served(asked));
            self.collect();
        }
    }

    fn collect(&mut self) {
        let sent = self.now;
        self.in_hand.extend(
            self.engines
                .asked()
                .into_iter()
                .map(|asked| InHand { asked, sent }),
        );
    }
}
