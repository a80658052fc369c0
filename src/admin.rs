//! The operations address, where staff ask and tell. One actor takes callers, each call a task of its own with a
//! place, a bound on its line and a time by which it is done. Nothing here waits for the core's ordinary mailbox:
//! what is asked is read off published figures, and what is told goes past the queue.

use crate::core::Handle;
use crate::hot_restart::{ManualEjection, StateWriter};
use crate::lifecycle::Lifecycle;
use crate::limits::Limits;
use crate::metrics::Metrics;
use crate::net::linger;
use crate::node_config::parse_engine_id;
use crate::retry_policy::{FrontendKind, Policy, RequestAttributes};
use crate::settings_json::PlatformSettings;
use std::collections::VecDeque;
use std::sync::{Arc, Mutex, PoisonError};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;
use tokio::time::timeout;

/// Answers calls at the operations address, from what it holds here.
#[derive(Clone)]
pub(crate) struct OperationsServer {
    pub(crate) core: Handle,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) limits: Arc<Limits>,
    pub(crate) lifecycle: Arc<Lifecycle>,
    pub(crate) state_writer: StateWriter,
    /// The operators' policy of attempts in force, and the settings that it was held against.
    pub(crate) policy: Arc<Mutex<Arc<Policy>>>,
    pub(crate) parsed: tokio::sync::watch::Receiver<Arc<PlatformSettings>>,
}

/// Takes callers until the program ends.
pub(crate) async fn listen(listener: TcpListener, server: OperationsServer) {
    let mut callers: VecDeque<JoinHandle<()>> = VecDeque::new();
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(server.limits.admin_accept_retry_delay).await;
            continue;
        };
        callers.retain(|caller| !caller.is_finished());
        // Guard: some connect and complete no call. They hold a place each, so the one that has been at it for
        // longest leaves: a call that is whole is answered within a moment, and no such one is still here.
        while callers.len() >= server.limits.admin_connections {
            callers
                .pop_front()
                .into_iter()
                .for_each(|caller| caller.abort());
            server.metrics.admin_bad_calls.increment();
        }
        let server = server.clone();
        callers.push_back(tokio::spawn(async move {
            // Guard: whoever stops halfway, or takes no answer, is left to himself in time.
            if !matches!(
                timeout(server.limits.admin_call_timeout, server.serve(stream)).await,
                Ok(Ok(()))
            ) {
                server.metrics.admin_bad_calls.increment();
            }
        }));
    }
}

impl OperationsServer {
    /// One connection: one line, one answer.
    async fn serve(&self, mut stream: TcpStream) -> std::io::Result<()> {
        let mut line = Vec::new();
        // The line may come in pieces of any size, and end with the connection's end.
        let whole = loop {
            if let Some(end) = line.iter().position(|b| *b == b'\n') {
                break end <= self.limits.admin_line_bytes && {
                    line.truncate(end);
                    true
                };
            }
            if line.len() > self.limits.admin_line_bytes {
                break false;
            }
            if stream.read_buf(&mut line).await? == 0 {
                break !line.is_empty();
            }
        };
        let line = std::str::from_utf8(&line)
            .ok()
            .filter(|_| whole)
            .map(str::trim);
        let answer = match line {
            Some(line) => self.answer(line).await,
            None => "400 no line that can be read\n".to_owned(),
        };
        if answer.starts_with("400") {
            self.metrics.admin_bad_calls.increment();
        } else {
            self.metrics.admin_calls.increment();
        }
        stream.write_all(answer.as_bytes()).await?;
        stream.shutdown().await?;
        linger(&stream, self.limits.linger).await;
        Ok(())
    }

    /// Says yes only once the module has it.
    async fn ban(&self, id: &str, out: bool) -> Result<(), &'static str> {
        let engine = parse_engine_id(id).ok_or("no engine has such an id")?;
        let ejection = ManualEjection {
            ejected: out,
            decided_at_ms: self.core.now(),
        };
        if !self
            .core
            .set_manual_ejection(engine, out, ejection.decided_at_ms, false)
            .await
        {
            return Err("no such engine is known");
        }
        // A successor, or the process that this one succeeds, is to have it as well.
        self.state_writer.record(engine, ejection).await;
        Ok(())
    }

    /// The keys of attempts that hold for a request of the platform's front, each with the table that it comes from.
    fn policy(&self, class: &str, member: Option<&str>) -> String {
        let parsed = self.parsed.borrow().clone();
        let Some(class) = parsed
            .settings
            .class_names
            .iter()
            .position(|name| name == class)
        else {
            return "400 no class has such a name\n".to_owned();
        };
        if member.is_some_and(|m| !parsed.tenants.iter().any(|t| t == m)) {
            return "400 no member has such a name\n".to_owned();
        }
        let policy = self
            .policy
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        let member = member.map_or(usize::MAX, |m| policy.member_position(m.as_bytes()));
        let at = RequestAttributes {
            class,
            member,
            frontend: FrontendKind::Platform,
            data_set: 0,
        };
        let mut text = String::from("200 keys of attempts, their values and tables\n");
        for source in policy.explain(&at) {
            text.push_str(&format!(
                "{} {} {}\n",
                source.key, source.value, source.from
            ));
        }
        text + "EOF\n"
    }

    async fn answer(&self, line: &str) -> String {
        let words: Vec<&str> = line.split_ascii_whitespace().collect();
        let said = match words[..] {
            ["READY"] if self.lifecycle.is_ready() => Ok("ready"),
            ["READY"] => Err("not ready"),
            ["STATS"] => return format!("{}EOF\n", self.metrics.admin_figures()),
            ["POLICY", class] => return self.policy(class, None),
            ["POLICY", class, member] => return self.policy(class, Some(member)),
            ["DISABLE", id] => self.ban(id, true).await.map(|()| "taken out"),
            ["ENABLE", id] => self.ban(id, false).await.map(|()| "may serve again"),
            ["DRAIN"] => {
                self.lifecycle.update(|state| state.drained = true);
                Ok("clients are sent away")
            }
            ["UNDRAIN"] => {
                self.lifecycle.update(|state| state.drained = false);
                Ok("clients may come")
            }
            [] => Err("an empty line"),
            _ => Err(
                "no such call: READY, STATS, POLICY CLASS [MEMBER], DISABLE ID, ENABLE ID, DRAIN, UNDRAIN",
            ),
        };
        match said {
            Ok(what) => format!("200 {what}\n"),
            Err(what) => format!("400 {what}\n"),
        }
    }
}
