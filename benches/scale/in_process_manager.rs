//! An in-process manager: the real feed reader and the real core with its roster and dispatcher,
//! without sockets to clients and engines.

use super::fleet;
use super::recording_ports::{NullClient, RecordingEngines, completion_message, request_message};
use super::usage;
use serde::Serialize;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::{Arc, mpsc};
use std::time::{Duration, Instant};
use tokio::sync::{mpsc as async_mpsc, watch};
use workload_manager::core::{ClientPort, Clock, Core, CoreMessage, Handle, Mailbox};
use workload_manager::discovery;
use workload_manager::limits::Limits;
use workload_manager::metrics::Metrics;
use workload_manager::node_config::EndpointListEvent;
use workload_manager::settings_json::{NamedClass, PlatformSettings};
use workload_manager::{EngineId, EngineState, ListUpdateKind, Millis, RequestId};

/// Delay until the timers are checked again while no timer is set, in ms.
const NO_TIMER_DELAY_MS: Millis = 1000.0;

/// Configuration of an in-process manager.
#[derive(Clone, Debug)]
pub(super) struct ManagerPlan {
    /// Number of managers in the fleet, as given in the settings.
    pub instances: u32,
    /// Memory that each manager may use, in MB.
    pub memory_mb: usize,
    /// Address of the discovery feed.
    pub feed: SocketAddr,
    /// Whether the core is started and its timers run.
    pub ticks: bool,
}

/// A command to an in-process manager.
#[derive(Clone, Copy, Debug)]
pub(super) enum ManagerCommand {
    /// Accept and serve this many statements.
    Serve(u32),
    /// Report the processor time of the manager's thread.
    Usage,
}

/// What an in-process manager reports.
#[derive(Clone, Debug)]
pub(super) enum ManagerReport {
    /// The dispatcher has applied a list event.
    Event(AppliedEvent),
    /// Statements were served.
    Served {
        /// Attempts sent to engines.
        dispatched: usize,
        /// Attempts so far whose engine was draining or removed.
        dispatched_to_ended: usize,
    },
    /// Processor time of the manager's thread so far.
    Usage(Duration),
}

/// A list event that one manager has applied.
#[derive(Clone, Copy, Debug)]
pub(super) struct AppliedEvent {
    /// The event's number.
    pub number: u64,
    /// When the manager had applied it.
    pub applied_at: Instant,
    /// Processor time of the manager's thread since the manager was created.
    pub processor_time: Duration,
    /// Number of engines that the event removes: they get no more attempts.
    pub removed_count: usize,
    /// Number of engines that the event lists as ready: they may get attempts.
    pub ready_count: usize,
    /// Numbers of engines that the manager has taken up.
    pub taken_up: RosterSize,
}

/// Numbers of engines that a core has taken up.
#[derive(Clone, Copy, Debug, Serialize)]
pub(super) struct RosterSize {
    /// Engines that the roster has taken up.
    known: usize,
    /// Engines among them that the dispatcher has.
    heard: usize,
}

impl RosterSize {
    /// The numbers of this core, whose metrics these are.
    pub(super) fn of(core: &Core<RecordingEngines>, metrics: &Metrics) -> RosterSize {
        RosterSize {
            known: metrics.engines.get() as usize,
            heard: core.state_sizes().dispatcher[3],
        }
    }
}

/// An in-process manager.
pub(super) struct Manager {
    core: Core<RecordingEngines>,
    engines: RecordingEngines,
    metrics: Arc<Metrics>,
    class: Arc<NamedClass>,
    client: Arc<dyn ClientPort>,
    clock: Clock,
    ticks: bool,
    /// Processor time of its thread when the manager was created.
    processor_time_at_start: Duration,
    next_id: RequestId,
    reports: mpsc::Sender<ManagerReport>,
}

impl Manager {
    /// Starts its feed reader on the current runtime and runs the manager until `commands` closes.
    pub(super) async fn run(
        plan: ManagerPlan,
        ordinal: u32,
        reports: mpsc::Sender<ManagerReport>,
        mut commands: async_mpsc::UnboundedReceiver<ManagerCommand>,
    ) {
        let parsed = fleet::settings(plan.instances, ordinal);
        let limits = Arc::new(Limits::new(fleet::SOCKETS, plan.memory_mb, true, &parsed));
        let metrics: Arc<Metrics> = Arc::default();
        let clock = Clock::new();
        let (handle, mut mailbox) = Handle::new(limits.mailbox_messages, clock);
        let mut manager =
            Manager::new(&plan, ordinal, &parsed, (&limits, &metrics), clock, reports);
        let (_feed, address) = watch::channel(plan.feed);
        let (_settings, settings) = watch::channel(Arc::new(parsed));
        let (first_frame_received, _first_frame) = watch::channel(false);
        let context = discovery::FollowerContext {
            core: handle,
            limits,
            metrics,
            first_frame_received,
            settings,
        };
        let reader = tokio::spawn(discovery::follow(address, 0, context));
        manager.run_until_closed(&mut mailbox, &mut commands).await;
        reader.abort();
    }

    fn new(
        plan: &ManagerPlan,
        ordinal: u32,
        parsed: &PlatformSettings,
        (limits, metrics): (&Arc<Limits>, &Arc<Metrics>),
        clock: Clock,
        reports: mpsc::Sender<ManagerReport>,
    ) -> Manager {
        let engines = RecordingEngines::default();
        let (settings, seed) = (parsed.settings.clone(), u64::from(ordinal));
        let core = Core::new(
            settings,
            seed,
            engines.clone(),
            limits.clone(),
            metrics.clone(),
        );
        Manager {
            core: core.expect("the settings are valid"),
            engines,
            metrics: metrics.clone(),
            class: parsed.classes[0].clone(),
            client: Arc::new(NullClient),
            clock,
            ticks: plan.ticks,
            processor_time_at_start: usage::thread_processor_time(),
            next_id: 1,
            reports,
        }
    }

    async fn run_until_closed(
        &mut self,
        mailbox: &mut Mailbox,
        commands: &mut async_mpsc::UnboundedReceiver<ManagerCommand>,
    ) {
        if self.ticks {
            self.core.start(self.clock.now());
        }
        loop {
            let now = self.clock.now();
            let delay_ms = self
                .core
                .next_timer()
                .map_or(NO_TIMER_DELAY_MS, |at| (at - now).max(0.0));
            tokio::select! {
                biased;
                command = commands.recv() => match command {
                    Some(command) => self.execute(command),
                    None => return,
                },
                message = mailbox.next_message() => match message {
                    Some(message) => self.handle(message),
                    None => return,
                },
                () = tokio::time::sleep(Duration::from_secs_f64(delay_ms / 1000.0)), if self.ticks => {
                    self.core.run_due_timers(self.clock.now());
                }
            }
        }
    }

    fn handle(&mut self, message: CoreMessage) {
        let CoreMessage::EndpointList(event) = message else {
            return self.core.handle(self.clock.now(), message);
        };
        let (number, changed) = (event.number, changed_engines(&event));
        self.engines.state().ready.clear();
        self.core
            .handle(self.clock.now(), CoreMessage::EndpointList(event));
        let applied_at = Instant::now();
        let state = self.engines.state();
        let count_applied = |of: &BTreeSet<EngineId>, wanted: EngineState| {
            changed
                .iter()
                .filter(|(engine, listed)| *listed == wanted && of.contains(engine))
                .count()
        };
        let applied = AppliedEvent {
            number,
            applied_at,
            processor_time: usage::thread_processor_time()
                .saturating_sub(self.processor_time_at_start),
            removed_count: count_applied(&state.ended, EngineState::Removed),
            ready_count: count_applied(&state.ready, EngineState::Ready),
            taken_up: RosterSize::of(&self.core, &self.metrics),
        };
        let _ = self.reports.send(ManagerReport::Event(applied));
    }

    fn execute(&mut self, command: ManagerCommand) {
        let report = match command {
            ManagerCommand::Usage => ManagerReport::Usage(usage::thread_processor_time()),
            ManagerCommand::Serve(statements) => self.serve(statements),
        };
        let _ = self.reports.send(report);
    }

    fn serve(&mut self, statements: u32) -> ManagerReport {
        let mut dispatched = 0;
        for _ in 0..statements {
            let (id, now) = (self.next_id, self.clock.now());
            self.next_id += 1;
            self.core
                .handle(now, request_message(id, now, &self.class, &self.client));
            for attempt in self.engines.take_dispatched() {
                dispatched += 1;
                self.core.handle(now, completion_message(attempt));
            }
        }
        ManagerReport::Served {
            dispatched,
            dispatched_to_ended: self.engines.state().dispatched_to_ended,
        }
    }
}

/// The engines of a delta with their states. A full list contains all engines and gives an empty
/// result.
fn changed_engines(event: &EndpointListEvent) -> Vec<(EngineId, EngineState)> {
    match event.kind {
        ListUpdateKind::Delta => event
            .records
            .iter()
            .map(|record| (record.entry.engine, record.entry.state))
            .collect(),
        _ => Vec::new(),
    }
}
