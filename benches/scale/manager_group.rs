//! Many in-process managers, distributed over a few threads.

use super::in_process_manager::{
    AppliedEvent, Manager, ManagerCommand, ManagerPlan, ManagerReport,
};
use super::row::ScaleError;
use std::sync::mpsc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use tokio::sync::mpsc as async_mpsc;
use tokio::task::JoinSet;

/// Threads that the managers share; the feed has its own thread.
const THREADS: usize = 4;
/// Longest wait for a report from every manager.
const REPORT_TIMEOUT: Duration = Duration::from_secs(120);

/// Running managers; they stop when the group is dropped.
pub(super) struct ManagerGroup {
    commands: Vec<async_mpsc::UnboundedSender<ManagerCommand>>,
    reports: mpsc::Receiver<ManagerReport>,
    threads: Vec<JoinHandle<()>>,
    /// When the first manager was started.
    pub started_at: Instant,
}

/// Attempts that all managers dispatched.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct DispatchTotals {
    /// Attempts sent to engines.
    pub dispatched: usize,
    /// Attempts among them whose engine was draining or removed.
    pub dispatched_to_ended: usize,
}

impl ManagerGroup {
    /// Starts this many managers at once; each receives its list from the feed.
    pub(super) fn start(plan: &ManagerPlan, managers: usize) -> Result<ManagerGroup, ScaleError> {
        let (report_sender, reports) = mpsc::channel();
        let mut senders = Vec::new();
        let mut shares: Vec<Vec<_>> = (0..THREADS.min(managers)).map(|_| Vec::new()).collect();
        for ordinal in 0..managers {
            let (sender, receiver) = async_mpsc::unbounded_channel();
            senders.push(sender);
            shares[ordinal % THREADS].push((ordinal as u32, receiver));
        }
        let started_at = Instant::now();
        let mut threads = Vec::new();
        for share in shares {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()?;
            let (plan, report_sender) = (plan.clone(), report_sender.clone());
            threads.push(
                std::thread::Builder::new()
                    .name("managers".to_owned())
                    .spawn(move || {
                        runtime.block_on(async {
                            let mut running = JoinSet::new();
                            for (ordinal, commands) in share {
                                running.spawn(Manager::run(
                                    plan.clone(),
                                    ordinal,
                                    report_sender.clone(),
                                    commands,
                                ));
                            }
                            while running.join_next().await.is_some() {}
                        });
                    })?,
            );
        }
        Ok(ManagerGroup {
            commands: senders,
            reports,
            threads,
            started_at,
        })
    }

    /// Number of managers.
    pub(super) fn size(&self) -> usize {
        self.commands.len()
    }

    /// Waits until all managers have applied an event. Reports of earlier events are ignored.
    pub(super) fn await_event(&self, number: u64) -> Result<Vec<AppliedEvent>, ScaleError> {
        self.collect_reports(|report| match report {
            ManagerReport::Event(applied) if applied.number == number => Some(applied),
            _ => None,
        })
    }

    /// Makes each manager accept and serve this many statements.
    pub(super) fn serve(&self, requests: u32) -> Result<DispatchTotals, ScaleError> {
        self.send_command(ManagerCommand::Serve(requests));
        let all = self.collect_reports(|report| match report {
            ManagerReport::Served {
                dispatched,
                dispatched_to_ended,
            } => Some(DispatchTotals {
                dispatched,
                dispatched_to_ended,
            }),
            _ => None,
        })?;
        let sum = |field: fn(&DispatchTotals) -> usize| all.iter().map(field).sum();
        Ok(DispatchTotals {
            dispatched: sum(|totals| totals.dispatched),
            dispatched_to_ended: sum(|totals| totals.dispatched_to_ended),
        })
    }

    /// Longest processor time among the managers' threads.
    pub(super) fn usage(&self) -> Result<Duration, ScaleError> {
        self.send_command(ManagerCommand::Usage);
        let all = self.collect_reports(|report| match report {
            ManagerReport::Usage(processor) => Some(processor),
            _ => None,
        })?;
        Ok(all.into_iter().max().unwrap_or_default())
    }

    fn send_command(&self, command: ManagerCommand) {
        for commands in &self.commands {
            let _ = commands.send(command);
        }
    }

    /// Waits for one wanted report from each manager; other reports are discarded.
    fn collect_reports<T>(
        &self,
        wanted: impl Fn(ManagerReport) -> Option<T>,
    ) -> Result<Vec<T>, ScaleError> {
        let deadline = Instant::now() + REPORT_TIMEOUT;
        let mut all = Vec::with_capacity(self.size());
        while all.len() < self.size() {
            let remaining = deadline.saturating_duration_since(Instant::now());
            let timed_out = |_| {
                ScaleError::CheckFailed(format!(
                    "only {} of {} managers reported in time",
                    all.len(),
                    self.size()
                ))
            };
            let report = self.reports.recv_timeout(remaining).map_err(timed_out)?;
            all.extend(wanted(report));
        }
        Ok(all)
    }
}

impl Drop for ManagerGroup {
    fn drop(&mut self) {
        self.commands.clear();
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}
