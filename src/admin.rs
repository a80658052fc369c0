//! The admin address, at which on-call staff read figures, eject engines and drain the workload
//! manager. A client sends one line with a command per connection and receives one answer;
//! `docs/on-call.md` lists the commands.
//!
//! One task accepts connections and starts a task for each. The number of connections, the length
//! of a line and the duration of a call are limited. No call waits for the core's regular mailbox:
//! figures are read from the shared metrics, and manual ejections are sent through the core's
//! priority mailbox.

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

/// The data from which commands are answered. Each connection's task has a clone.
#[derive(Clone)]
pub(crate) struct AdminServer {
    pub(crate) core: Handle,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) limits: Arc<Limits>,
    pub(crate) lifecycle: Arc<Lifecycle>,
    pub(crate) state_writer: StateWriter,
    /// The operators' retry policy in force. It was checked against `settings`.
    pub(crate) policy: Arc<Mutex<Arc<Policy>>>,
    pub(crate) settings: tokio::sync::watch::Receiver<Arc<PlatformSettings>>,
}

/// Accepts connections and serves each in its own task, until the program ends.
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

/// Reads the line of a call. It may arrive in any number of parts, and ends at a line feed or at
/// the end of the stream. Returns `None` if the stream ends before the first byte, or if the line
/// is longer than `max_bytes`.
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
    /// Aborts the oldest calls until there is a slot for a new one. A complete call ends quickly,
    /// so the oldest ones are connections that never complete their call.
    fn abort_oldest_calls(&self, calls: &mut VecDeque<JoinHandle<()>>) {
        calls.retain(|call| !call.is_finished());
        while calls.len() >= self.limits.admin_connections {
            if let Some(oldest) = calls.pop_front() {
                oldest.abort();
            }
            self.metrics.admin_bad_calls.increment();
        }
    }

    /// Serves one connection within the time limit of a call. The limit is needed because a peer
    /// may stop in the middle of its line, or never read its answer.
    async fn serve_call(self, stream: TcpStream) {
        let call = timeout(self.limits.admin_call_timeout, self.read_and_answer(stream)).await;
        if !matches!(call, Ok(Ok(()))) {
            self.metrics.admin_bad_calls.increment();
        }
    }

    /// Reads one line, writes its answer and closes the connection.
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
        linger(stream.socket(), self.limits.linger_timeout).await;
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

    /// Ejects an engine manually, or ends its manual ejection. Completes once the dispatcher has
    /// applied the change.
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
        // During a hot restart, the peer process reads the recorded change and applies it too.
        self.state_writer.record(engine, ejection).await;
        Ok(())
    }

    /// Returns the values of the retry policy for requests of a class on the platform front end,
    /// each with its source.
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
