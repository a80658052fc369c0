//! The pages of one result, collected until it is complete.

use crate::core::{AttemptEvent, ResultBody, ResultFormat};
use crate::decision::{LoadReport, Outcome};
use crate::engines::context::EngineContext;
use crate::engines::line_protocol::answer::Answer;
use crate::limits::{Limits, MemoryReservation};
use bytes::Bytes;
use tokio::time::Instant;

/// What became of a page.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PageInsertion {
    /// It is kept.
    Inserted,
    /// The result outgrew what a client takes, or all results together outgrew their memory.
    TooLarge,
}

/// A result of which the first page is in.
pub(super) struct ResultPages {
    /// By number; none where a page has not come yet.
    pages: Vec<Option<Bytes>>,
    /// Work of the statement in ms, where the engine reported it.
    measured_work_ms: Option<f64>,
    /// Memory of the statement in MB, where the engine reported it.
    measured_memory_mb: Option<f64>,
    /// The load report that came with the first page.
    load_report: LoadReport,
    /// When the next page must have come.
    next_page_due: Instant,
    reservation: MemoryReservation,
}

impl ResultPages {
    /// Starts with the first of so many pages.
    pub(super) fn new(first_answer: &Answer, count: usize, context: &EngineContext) -> ResultPages {
        let limits = &context.limits;
        let mut pages = vec![None; count];
        pages[0] = Some(first_answer.body.clone());
        let mut reservation = MemoryReservation::new(&context.partial_results);
        // A first page is never refused: most results have no other.
        reservation.set(first_answer.body.len(), partial_result_bytes(limits));
        ResultPages {
            pages,
            measured_work_ms: first_answer.number("cpu"),
            measured_memory_mb: first_answer.number("used"),
            load_report: first_answer.load_report(),
            next_page_due: Instant::now() + limits.page_timeout,
            reservation,
        }
    }

    /// Whether the page with this number has yet to come.
    pub(super) fn is_missing(&self, number: usize) -> bool {
        self.pages.get(number).is_some_and(Option::is_none)
    }

    /// Inserts a page that is missing.
    pub(super) fn insert(&mut self, number: usize, page: Bytes, limits: &Limits) -> PageInsertion {
        self.pages[number] = Some(page);
        self.next_page_due = Instant::now() + limits.page_timeout;
        let total_bytes = self.total_bytes();
        let has_memory = self
            .reservation
            .set(total_bytes, partial_result_bytes(limits));
        if total_bytes > limits.result_bytes || !has_memory {
            PageInsertion::TooLarge
        } else {
            PageInsertion::Inserted
        }
    }

    fn total_bytes(&self) -> usize {
        self.pages.iter().flatten().map(Bytes::len).sum()
    }

    /// When the next page must have come.
    pub(super) fn next_page_due(&self) -> Instant {
        self.next_page_due
    }

    /// Whether all pages are in.
    pub(super) fn is_complete(&self) -> bool {
        self.pages.iter().all(Option::is_some)
    }

    /// The load report, and the end of the attempt with the complete result; without one where it is too large.
    pub(super) fn finish(self, limits: &Limits) -> (LoadReport, AttemptEvent) {
        let is_within_limit = self.total_bytes() <= limits.result_bytes;
        let pages: Vec<Bytes> = self.pages.into_iter().flatten().collect();
        let body = is_within_limit.then(|| ResultBody::complete(ResultFormat::Text, pages));
        let event = AttemptEvent::Ended {
            outcome: if is_within_limit {
                Outcome::Ok
            } else {
                Outcome::Error
            },
            measured_work_ms: self.measured_work_ms,
            measured_memory_mb: self.measured_memory_mb,
            body,
        };
        (self.load_report, event)
    }
}

/// Bytes that all incomplete results may take together.
fn partial_result_bytes(limits: &Limits) -> usize {
    limits.share(limits.partial_result_bytes)
}
