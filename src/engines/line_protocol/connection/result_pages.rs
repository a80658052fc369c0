//! Collects the pages of one result until the result is complete.

use crate::core::{AttemptEvent, ResultBody, ResultFormat};
use crate::decision::{LoadReport, Outcome};
use crate::engines::context::EngineContext;
use crate::engines::line_protocol::answer::Answer;
use crate::limits::{Limits, MemoryReservation};
use bytes::Bytes;
use tokio::time::Instant;

/// The result of inserting a page.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PageInsertion {
    /// The page was inserted.
    Inserted,
    /// The result exceeds the size that a client accepts, or all incomplete results together exceed
    /// their memory.
    TooLarge,
}

/// A result whose first page has arrived.
pub(super) struct ResultPages {
    /// Pages by number. `None` for a page that has not arrived yet.
    pages: Vec<Option<Bytes>>,
    /// Work of the statement in ms, if the engine reported it.
    measured_work_ms: Option<f64>,
    /// Memory of the statement in MB, if the engine reported it.
    measured_memory_mb: Option<f64>,
    /// The load report that came with the first page.
    load_report: LoadReport,
    /// When the next page must have arrived.
    next_page_due: Instant,
    reservation: MemoryReservation,
}

impl ResultPages {
    /// Creates a result of `page_count` pages from the answer with the first page.
    pub(super) fn new(
        first_answer: &Answer,
        page_count: usize,
        context: &EngineContext,
    ) -> ResultPages {
        let limits = &context.limits;
        let mut pages = vec![None; page_count];
        pages[0] = Some(first_answer.body.clone());
        let mut reservation = MemoryReservation::new(&context.partial_results.add_owner());
        // A first page is always accepted, because most results have only one.
        reservation.set(first_answer.body.len());
        ResultPages {
            pages,
            measured_work_ms: first_answer.number("cpu"),
            measured_memory_mb: first_answer.number("used"),
            load_report: first_answer.load_report(),
            next_page_due: Instant::now() + limits.page_timeout,
            reservation,
        }
    }

    /// Whether the page with this number has not arrived yet.
    pub(super) fn is_missing(&self, number: usize) -> bool {
        self.pages.get(number).is_some_and(Option::is_none)
    }

    /// Inserts a page that is missing.
    pub(super) fn insert(&mut self, number: usize, page: Bytes, limits: &Limits) -> PageInsertion {
        self.pages[number] = Some(page);
        self.next_page_due = Instant::now() + limits.page_timeout;
        let total_bytes = self.total_bytes();
        let has_memory = self.reservation.set(total_bytes);
        if total_bytes > limits.result_bytes || !has_memory {
            PageInsertion::TooLarge
        } else {
            PageInsertion::Inserted
        }
    }

    fn total_bytes(&self) -> usize {
        self.pages.iter().flatten().map(Bytes::len).sum()
    }

    /// When the next page must have arrived.
    pub(super) fn next_page_due(&self) -> Instant {
        self.next_page_due
    }

    /// Whether all pages have arrived.
    pub(super) fn is_complete(&self) -> bool {
        self.pages.iter().all(Option::is_some)
    }

    /// Returns the load report and the end of the attempt. The end contains the complete result, or
    /// no result if that is too large.
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
