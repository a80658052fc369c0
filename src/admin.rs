//! The admin address, at which on-call staff read figures, eject engines and drain the workload manager. A connection
//! carries one line with a command and gets one answer; `docs/on-call.md` has the commands.
//!
//! One task accepts connections and gives each a task of its own, within a bound on connections, on the length of the
//! line and on the time of the call. No call waits for the core's ordinary mailbox: figures are read from the shared
//! metrics, and a manual ejection takes the core's priority queue.

mod answer;
mod command;

#[cfg(test)]
mod tests;

use crate::core::Handle;
use crate::decision::EngineId;
use crate::hot_restart::{ManualEjection, StateWriter};
use crate::lifecycle::Lifecycle;
use crate::limits::Limits;
use crate::metrics::Metrics;
use crate::net::{RetryingStream, linger};
use crate::retry_policy::{EffectiveValue, FrontendKind, Policy, RequestAttributes};
use crate::settings_json::PlatformSettings;
use answer::{AdminAnswer, AdminError};
use command::AdminCommand;
use std::collections::VecDeque;
use std::io;
use std::sync::{Arc, Mutex, PoisonError};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;
use tokio::time::timeout;

/// What the answers are made from. Each connection has a clone.
#[derive(Clone)]
pub(crate) struct AdminServer {
    pub(crate) core: Handle,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) limits: Arc<Limits>,
    pub(crate) lifecycle: Arc<Lifecycle>,
    pub(crate) state_writer: StateWriter,
    /// The operators' retry policy in force, and the settings that it was checked against.
    pub(crate) policy: Arc<Mutex<Arc<Policy>>>,
    pub(crate) settings: tokio::sync::watch::Receiver<Arc<PlatformSettings>>,
}

/// Accepts connections until the program ends.
pub(crate) async fn serve(listener: TcpListener, server: AdminServer) {
    let mut calls: VecDeque<JoinHandle<()>> = VecDeque::new();
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(server.limits.admin_accept_retry_delay).await;
            continue;
        };
        server.abort_oldest_calls(&mut calls);
        calls.push_back(tokio::spawn(server.clone().serve_call(stream)));
    }
}

/// Reads the line of a call, which may come in pieces of any size and end with the connection's end. `None`: the line
/// is empty at the connection's end, or longer than `max_bytes`.
async fn read_line(stream: &mut RetryingStream, max_bytes: usize) -> io::Result<Option<Vec<u8>>> {
    let mut line = Vec::new();
    loop {
        if let Some(end) = line.iter().position(|byte| *byte == b'\n') {
            line.truncate(end);
            return Ok((end <= max_bytes).then_some(line));
        }
        if line.len() > max_bytes {
            return Ok(None);
        }
        if stream.read_buf(&mut line).await? == 0 {
            return Ok((!line.is_empty()).then_some(line));
        }
    }
}

impl AdminServer {
    /// Ends the oldest calls while there is no slot for another. A complete call is answered within a moment, so
    /// these are connections that never complete one.
    fn abort_oldest_calls(&self, calls: &mut VecDeque<JoinHandle<()>>) {
        calls.retain(|call| !call.is_finished());
        while calls.len() >= self.limits.admin_connections {
            if let Some(oldest) = calls.pop_front() {
                oldest.abort();
            }
            self.metrics.admin_bad_calls.increment();
        }
    }

    /// Serves one connection within the time of a call: a peer may stop inside its line, or never read its answer.
    async fn serve_call(self, stream: TcpStream) {
        let call = timeout(self.limits.admin_call_timeout, self.read_and_answer(stream)).await;
        if !matches!(call, Ok(Ok(()))) {
            self.metrics.admin_bad_calls.increment();
        }
    }

    /// One line, one answer.
    async fn read_and_answer(&self, stream: TcpStream) -> io::Result<()> {
        let mut stream = RetryingStream::new(stream);
        let line = read_line(&mut stream, self.limits.admin_line_bytes).await?;
        let response = match self.answer_to_line(line).await {
            Ok(answer) => {
                self.metrics.admin_calls.increment();
                answer.to_string()
            }
            Err(error) => {
                self.metrics.admin_bad_calls.increment();
                error.to_line()
            }
        };
        stream.write_all(response.as_bytes()).await?;
        stream.shutdown().await?;
        linger(stream.socket(), self.limits.linger).await;
        Ok(())
    }

    async fn answer_to_line(&self, line: Option<Vec<u8>>) -> Result<AdminAnswer, AdminError> {
        let line = line
            .and_then(|bytes| String::from_utf8(bytes).ok())
            .ok_or(AdminError::UnreadableLine)?;
        self.execute(line.trim().parse()?).await
    }

    async fn execute(&self, command: AdminCommand) -> Result<AdminAnswer, AdminError> {
        match command {
            AdminCommand::Ready if self.lifecycle.is_ready() => Ok(AdminAnswer::Ready),
            AdminCommand::Ready => Err(AdminError::NotReady),
            AdminCommand::Stats => Ok(AdminAnswer::Figures(self.metrics.admin_figures())),
            AdminCommand::Policy { class, member } => self
                .effective_policy(&class, member.as_deref())
                .map(AdminAnswer::Policy),
            AdminCommand::Disable(engine) => {
                self.set_ejected(engine, true).await?;
                Ok(AdminAnswer::EngineDisabled)
            }
            AdminCommand::Enable(engine) => {
                self.set_ejected(engine, false).await?;
                Ok(AdminAnswer::EngineEnabled)
            }
            AdminCommand::Drain => {
                self.lifecycle.update(|state| state.drained = true);
                Ok(AdminAnswer::Draining)
            }
            AdminCommand::Undrain => {
                self.lifecycle.update(|state| state.drained = false);
                Ok(AdminAnswer::DrainEnded)
            }
        }
    }

    /// Ejects an engine manually, or ends that. Returns once the dispatcher has applied it.
    async fn set_ejected(&self, engine: EngineId, ejected: bool) -> Result<(), AdminError> {
        let ejection = ManualEjection {
            ejected,
            decided_at_ms: self.core.now(),
        };
        let known = self
            .core
            .set_manual_ejection(engine, ejected, ejection.decided_at_ms, false)
            .await;
        if !known {
            return Err(AdminError::UnknownEngine);
        }
        // The peer process of a hot restart applies it as well.
        self.state_writer.record(engine, ejection).await;
        Ok(())
    }

    /// The retry policy's values for requests of a class on the platform's front end, each with its source.
    fn effective_policy(
        &self,
        class: &str,
        member: Option<&str>,
    ) -> Result<Vec<EffectiveValue>, AdminError> {
        let settings = self.settings.borrow().clone();
        let class = settings
            .settings
            .class_names
            .iter()
            .position(|name| name == class)
            .ok_or(AdminError::UnknownClass)?;
        if member.is_some_and(|member| !settings.tenants.iter().any(|tenant| tenant == member)) {
            return Err(AdminError::UnknownMember);
        }
        let policy = self.policy_in_force();
        let member = member.map_or(usize::MAX, |member| {
            policy.member_position(member.as_bytes())
        });
        Ok(policy.explain(&RequestAttributes {
            class,
            member,
            frontend: FrontendKind::Platform,
            data_set: 0,
        }))
    }

    fn policy_in_force(&self) -> Arc<Policy> {
        self.policy
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }
}
