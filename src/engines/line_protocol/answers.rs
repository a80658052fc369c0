//! What an engine answers on a connection: ends, pages of results and notes.

use super::connection::{Attempt, Connection, Pages, once};
use crate::attempt::{AttemptEnd, never_ran};
use crate::core::{AttemptEvent, ResultBody, ResultFormat};
use crate::decision::{LoadReport, Outcome, Progress};
use crate::engines::context::AttemptId;
use crate::engines::reply::{Broken, Reply, number_of, rows_of, take};
use crate::limits::MemoryReservation;
use bytes::Bytes;
use std::sync::atomic::Ordering;
use tokio::time::Instant;

impl Connection {
    pub(super) async fn read(&mut self) -> Result<(), Broken> {
        loop {
            match take(
                &mut self.input,
                self.context.limits.line_bytes,
                self.context.limits.page_bytes,
            ) {
                Ok(Some(reply)) => {
                    self.half_since = None;
                    self.reply(reply).await?;
                    // Guard: answers that never come to an end would keep the attempts behind them out, and the core busy.
                    if self.idle_words > self.context.limits.uneventful_answers {
                        return Err(self.malformed());
                    }
                }
                Ok(None) if self.input.is_empty() => {
                    self.half_since = None;
                    return Ok(());
                }
                Ok(None) => {
                    self.half_since.get_or_insert_with(Instant::now);
                    return Ok(());
                }
                Err(broken) => {
                    self.context.metrics.engine_malformed.increment();
                    return Err(broken);
                }
            }
        }
    }

    async fn reply(&mut self, reply: Reply) -> Result<(), Broken> {
        self.idle_since = Instant::now();
        self.back.broken.store(0, Ordering::Relaxed);
        self.load.record_answer(self.context.core.now());
        if reply.word.as_ref() == b"green" {
            self.confirmed(&reply.name);
            return Ok(());
        }
        let report = self.load_report(reply.field("l"));
        let Some(attempt) = self.attempts.get(&reply.name) else {
            // Given up meanwhile, or never asked: the connection is good all the same.
            self.unasked();
            return Ok(());
        };
        let has_pages = attempt.pages.is_some();
        match reply.word.as_ref() {
            // Guard: a good answer may come twice. The copy says nothing, and what else is open goes on.
            b"served" if has_pages => {
                self.unasked();
                Ok(())
            }
            b"served" => self.first_page(&reply, report).await,
            b"rows" => self.further_page(&reply).await,
            b"update" => self.note(&reply, report).await,
            // An answer after the pages began says that they are lost, and the query has run.
            _ if has_pages => self.not_served(&reply.name, report, Outcome::Error).await,
            b"overload" => {
                self.not_served(&reply.name, report, Outcome::Rejected)
                    .await
            }
            b"crashed" => self.not_served(&reply.name, report, Outcome::Error).await,
            b"nobody" => self.not_served(&reply.name, report, Outcome::NotSent).await,
            _ => Err(self.malformed()),
        }
    }

    /// A good answer with its first page; asks for the others.
    #[expect(clippy::similar_names, reason = "not split yet")]
    async fn first_page(&mut self, reply: &Reply, report: LoadReport) -> Result<(), Broken> {
        let all = reply.field("batches").and_then(number_of).unwrap_or(0) as usize;
        if all == 0 || all > self.context.limits.pages_per_result || !rows_of(&reply.body) {
            return Err(self.malformed());
        }
        let Some(attempt) = self.attempts.get_mut(&reply.name) else {
            return Ok(());
        };
        // Of one that is being given up the engine has let its pages go; what fits the answer is a result.
        if !attempt.life.begin_result() && all > 1 {
            return self
                .over(
                    &reply.name,
                    report,
                    AttemptEvent::Cancelled(AttemptEnd::Answered),
                )
                .await;
        }
        let mut got = vec![None; all];
        got[0] = Some(reply.body.clone());
        let limits = &self.context.limits;
        let until = Instant::now() + limits.page_timeout;
        let figure = |name| {
            reply
                .field(name)
                .and_then(crate::clients::parse_non_negative)
        };
        let (billed_ms, billed_mb) = (figure("cpu"), figure("used"));
        let mut reservation = MemoryReservation::new(&self.context.partial_results);
        reservation.set(reply.body.len(), limits.share(limits.partial_result_bytes));
        attempt.pages = Some(Pages {
            all,
            got,
            billed_ms,
            billed_mb,
            report,
            until,
            reservation,
        });
        for n in 1..all {
            self.context.metrics.result_pages.increment();
            self.line("NEXT", &reply.name, Some(n));
        }
        self.whole(&reply.name).await
    }

    /// A page that was asked for.
    async fn further_page(&mut self, reply: &Reply) -> Result<(), Broken> {
        let Some(pages) = self
            .attempts
            .get_mut(&reply.name)
            .and_then(|a| a.pages.as_mut())
        else {
            self.unasked();
            return Ok(());
        };
        let number = reply.field("batch").and_then(number_of).map(|n| n as usize);
        let missing = |n: &usize| pages.got.get(*n).is_some_and(Option::is_none);
        let Some(number) = number.filter(missing) else {
            self.unasked();
            return Ok(());
        };
        if !rows_of(&reply.body) {
            return Err(self.malformed());
        }
        let limits = &self.context.limits;
        pages.got[number] = Some(reply.body.clone());
        pages.until = Instant::now() + limits.page_timeout;
        // Guard: a result that outgrew what a client takes is not collected to its end.
        let size: usize = pages.got.iter().flatten().map(Bytes::len).sum();
        // Nor where all results together outgrow the memory.
        let fits = pages
            .reservation
            .set(size, limits.share(limits.partial_result_bytes));
        if size > limits.result_bytes || !fits {
            self.free(&reply.name, Outcome::Error);
            return Ok(());
        }
        self.whole(&reply.name).await
    }

    /// A note of progress.
    async fn note(&mut self, reply: &Reply, report: LoadReport) -> Result<(), Broken> {
        let Some(attempt) = self.attempts.get(&reply.name) else {
            return Ok(());
        };
        let key = AttemptId::from(&*attempt.ask);
        let level = reply
            .field("num")
            .and_then(crate::clients::parse_non_negative);
        let note = match (reply.field("n"), level) {
            (Some(b"pct"), Some(share)) => Some(Progress::ShareDone(share)),
            (Some(b"overflow"), Some(mb)) => Some(Progress::SpillingMb(mb)),
            (Some(b"queued"), Some(2.0)) => Some(Progress::WaitingForBulkLoad),
            (Some(b"queued"), Some(_)) => Some(Progress::WaitingForMemory),
            _ => None,
        };
        self.context.metrics.progress_notes.increment();
        self.idle_words += 1;
        self.context
            .send_event(self.engine, key, report, AttemptEvent::Progress(note))
            .await;
        Ok(())
    }

    /// An answer without a result.
    async fn not_served(
        &mut self,
        name: &Bytes,
        report: LoadReport,
        outcome: Outcome,
    ) -> Result<(), Broken> {
        let Some(attempt) = self.attempts.get_mut(name) else {
            return Ok(());
        };
        let given_up = attempt.life.is_cancelling();
        let end = attempt.life.answered(!never_ran(outcome));
        let told = if given_up {
            AttemptEvent::Cancelled(end)
        } else {
            AttemptEvent::end(outcome)
        };
        self.over(name, report, told).await
    }

    /// The engine told the end of an attempt.
    async fn over(
        &mut self,
        name: &Bytes,
        report: LoadReport,
        news: AttemptEvent,
    ) -> Result<(), Broken> {
        let Some(attempt) = self.answered(name) else {
            return Ok(());
        };
        self.load.end_attempt(once(&attempt.ask));
        self.context
            .send_event(self.engine, AttemptId::from(&*attempt.ask), report, news)
            .await;
        Ok(())
    }

    /// Counts an answer that nothing asked for, or that was given already.
    pub(super) fn unasked(&mut self) {
        self.context.metrics.engine_unexpected_answers.increment();
        self.idle_words += self.context.limits.unexpected_answer_weight;
    }

    pub(super) fn malformed(&self) -> Broken {
        self.context.metrics.engine_malformed.increment();
        Broken
    }

    /// Passes a result on once all its pages are in.
    #[expect(clippy::similar_names, reason = "not split yet")]
    async fn whole(&mut self, name: &Bytes) -> Result<(), Broken> {
        let pages = self.attempts.get_mut(name).map(|a| &mut a.pages);
        let whole = |p: &mut Pages| p.got.iter().all(Option::is_some);
        let Some(pages) = pages.and_then(|pages| pages.take_if(whole)) else {
            return Ok(());
        };
        let pieces: Vec<Bytes> = pages.got.into_iter().flatten().collect();
        let fits = pages.all == pieces.len()
            && pieces.iter().map(Bytes::len).sum::<usize>() <= self.context.limits.result_bytes;
        let (outcome, body) = if fits {
            (
                Outcome::Ok,
                Some(ResultBody::complete(ResultFormat::Text, pieces)),
            )
        } else {
            (Outcome::Error, None)
        };
        let (billed_ms, billed_mb) = (pages.billed_ms, pages.billed_mb);
        let news = AttemptEvent::Ended {
            outcome,
            measured_work_ms: billed_ms,
            measured_memory_mb: billed_mb,
            body,
        };
        self.over(name, pages.report, news).await
    }

    /// Gives up results whose next page does not come.
    pub(super) fn late_pages(&mut self, now: Instant) {
        let late = |a: &Attempt| a.pages.as_ref().is_some_and(|p| p.until <= now);
        let names: Vec<Bytes> = self
            .attempts
            .iter()
            .filter(|(_, a)| late(a))
            .map(|(n, _)| n.clone())
            .collect();
        for name in names {
            self.free(&name, Outcome::TimedOut);
        }
    }

    /// A load report as `inflight:7;util:0.61`, by the settings' names or the protocol's own.
    fn load_report(&self, text: Option<&[u8]>) -> LoadReport {
        let mut report = LoadReport::default();
        for part in text.unwrap_or_default().split(|b| *b == b';') {
            let Some(colon) = part.iter().position(|b| *b == b':') else {
                continue;
            };
            let value = crate::clients::parse_non_negative(&part[colon + 1..]);
            match &part[..colon] {
                b"rif" | b"inflight" => report.inflight = value,
                b"busy" | b"util" => report.cpu_busy = value,
                b"x1" => report.disk_busy = value,
                b"q" | b"queue" => report.memory_queue = value,
                b"x0" => report.memory_granted = value,
                _ => {}
            }
        }
        report
    }
}
