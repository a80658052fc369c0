//! Counters of offered statements and their answers.

use super::messages::AnswerKind;
use super::row::{ScaleError, rounded};
use hdrhistogram::Histogram;
use serde::Serialize;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

/// Smallest latency that the histogram records, in microseconds.
const MIN_LATENCY_US: u64 = 1;
/// Largest latency that the histogram records, in microseconds.
const MAX_LATENCY_US: u64 = 60_000_000;
/// Significant decimal digits of the histogram.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Counters of one round of statements. The counters are independent of each other, so relaxed
/// ordering is enough.
#[derive(Debug)]
pub(super) struct StatementCounters {
    pub sent: AtomicU64,
    served: AtomicU64,
    refused: AtomicU64,
    failed: AtomicU64,
    /// Statements whose connection ended before they were answered.
    pub lost: AtomicU64,
    /// Answers to an unknown message, or further answers to the same one.
    pub stray: AtomicU64,
    pub health_answers: AtomicU64,
    pub bytes_sent: AtomicU64,
    pub bytes_received: AtomicU64,
    latencies: Mutex<Histogram<u64>>,
}

/// Result of one round of statements.
#[derive(Clone, Debug, Default, Serialize)]
pub(super) struct OfferedStatements {
    /// Seconds from the start of the round to the last answer, or to the end of the wait for it.
    pub seconds: f64,
    /// Statements sent.
    pub offered: u64,
    /// Statements that were due but were not sent because too many were open.
    pub held_back: u64,
    /// Answers with a result.
    pub served: u64,
    /// Answers `Overloaded`.
    pub refused: u64,
    /// Answers with any other error.
    pub failed: u64,
    /// Statements without an answer.
    pub unanswered: u64,
    /// Answers to an unknown message, or further answers to the same one.
    pub stray: u64,
    /// Answered `health` calls, which keep connections open.
    pub health_calls: u64,
    /// Bytes sent to the manager.
    pub bytes_sent: u64,
    /// Bytes received from the manager.
    pub bytes_received: u64,
    /// Median latency of the answers, in ms.
    pub p50_ms: f64,
    /// 99th percentile of the latencies, in ms.
    pub p99_ms: f64,
}

impl OfferedStatements {
    /// Statements that have been answered.
    pub(super) fn answered(&self) -> u64 {
        self.served + self.refused + self.failed
    }
}

impl StatementCounters {
    /// Counters with the value zero.
    pub(super) fn new() -> Result<StatementCounters, ScaleError> {
        let latencies =
            Histogram::new_with_bounds(MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
                .map_err(|e| {
                    ScaleError::CheckFailed(format!("cannot create the latency histogram: {e}"))
                })?;
        let zero = AtomicU64::default;
        Ok(StatementCounters {
            sent: zero(),
            served: zero(),
            refused: zero(),
            failed: zero(),
            lost: zero(),
            stray: zero(),
            health_answers: zero(),
            bytes_sent: zero(),
            bytes_received: zero(),
            latencies: Mutex::new(latencies),
        })
    }

    fn counters(&self) -> [&AtomicU64; 9] {
        let StatementCounters {
            sent,
            served,
            refused,
            failed,
            lost,
            stray,
            health_answers,
            bytes_sent,
            bytes_received,
            ..
        } = self;
        [
            sent,
            served,
            refused,
            failed,
            lost,
            stray,
            health_answers,
            bytes_sent,
            bytes_received,
        ]
    }

    /// Resets all counters and latencies.
    pub(super) fn clear(&self) {
        self.counters()
            .iter()
            .for_each(|count| count.store(0, Ordering::Relaxed));
        self.latencies
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .reset();
    }

    /// Statements that have been answered or can no longer be answered.
    pub(super) fn finished(&self) -> u64 {
        [&self.served, &self.refused, &self.failed, &self.lost]
            .iter()
            .map(|count| count.load(Ordering::Relaxed))
            .sum()
    }

    /// Records an answer to a statement and its latency.
    pub(super) fn record(&self, kind: AnswerKind, latency: Duration) {
        let count = match kind {
            AnswerKind::Served => &self.served,
            AnswerKind::Rejected => &self.refused,
            AnswerKind::Failed | AnswerKind::Health(_) => &self.failed,
        };
        count.fetch_add(1, Ordering::Relaxed);
        let mut latencies = self
            .latencies
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        latencies.saturating_record(latency.as_micros() as u64);
    }

    /// The counts and latencies so far. The caller adds the duration and the held back and
    /// unanswered statements.
    pub(super) fn offered(&self) -> OfferedStatements {
        let [
            sent,
            served,
            refused,
            failed,
            _,
            stray,
            health_answers,
            bytes_sent,
            bytes_received,
        ] = self.counters().map(|count| count.load(Ordering::Relaxed));
        let latencies = self
            .latencies
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let quantile_ms = |quantile: f64| latencies.value_at_quantile(quantile) as f64 / 1000.0;
        OfferedStatements {
            offered: sent,
            served,
            refused,
            failed,
            stray,
            health_calls: health_answers,
            bytes_sent,
            bytes_received,
            p50_ms: rounded(quantile_ms(0.5)),
            p99_ms: rounded(quantile_ms(0.99)),
            ..OfferedStatements::default()
        }
    }
}
