//! The read-only SNMP agent, version 2c. Its objects are the metrics in the order of their table,
//! the outcomes by class, and four objects of the standard `system` group.
//! `mibs/MAGPIECHUTE-MIB.txt` describes the metrics and outcomes.
//!
//! [`Agent::serve`] receives and sends messages, [`mib_view`] takes a snapshot of all objects, and
//! [`request`] answers one message from the snapshot.

mod mib_view;
mod request;

#[cfg(test)]
mod tests;

use crate::limits::Limits;
use crate::metrics::Metrics;
use mib_view::{MibView, SystemGroup};
use request::{AnswerLimits, answer};
use std::sync::Arc;
use tokio::net::UdpSocket;
use tokio::time::Instant;

/// The SNMP agent, with the data that its answers are built from.
pub(crate) struct Agent {
    community: String,
    /// The workload manager's name, which is the value of `sysName`.
    name: String,
    metrics: Arc<Metrics>,
    limits: Arc<Limits>,
    started_at: Instant,
}

impl Agent {
    /// Creates an agent whose up time begins now. It drops messages with another community.
    pub(crate) fn new(
        community: String,
        name: String,
        metrics: Arc<Metrics>,
        limits: Arc<Limits>,
    ) -> Agent {
        Agent {
            community,
            name,
            metrics,
            limits,
            started_at: Instant::now(),
        }
    }

    /// Answers messages until the process ends.
    pub(crate) async fn serve(self, socket: UdpSocket) {
        let mut buffer = vec![0; self.limits.snmp_message_bytes];
        loop {
            // An error comes from a peer's ICMP message about an earlier answer, so it is ignored.
            let Ok((length, peer)) = socket.recv_from(&mut buffer).await else {
                continue;
            };
            match self.answer(&buffer[..length]) {
                Some(answer) => {
                    self.metrics.snmp_answered.increment();
                    // A send error is ignored: the SNMP client repeats a request without an answer.
                    let _ = socket.send_to(&answer, peer).await;
                }
                None => self.metrics.snmp_dropped.increment(),
            }
        }
    }

    fn answer(&self, message: &[u8]) -> Option<Vec<u8>> {
        let limits = AnswerLimits {
            max_bytes: self.limits.snmp_message_bytes,
            max_variables: self.limits.snmp_bulk_variables,
        };
        answer(message, self.community.as_bytes(), limits, || self.view())
    }

    fn view(&self) -> MibView {
        let system = SystemGroup {
            up_time: self.started_at.elapsed(),
            name: &self.name,
        };
        MibView::new(&system, &self.metrics)
    }
}
