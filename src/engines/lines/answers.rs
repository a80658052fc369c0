//! What an engine answers on a connection: ends, pages of results and notes.

use super::connection::{Attempt, Connection, Pages, once};
use crate::attempt::{End, never_ran};
use crate::core::{Body, EngineNews, Form};
use crate::engines::reply::{Broken, Reply, number_of, rows_of, take};
use crate::interface::{LoadReport, Note, Outcome};
use crate::limits::Hold;
use bytes::Bytes;
use std::sync::atomic::Ordering;
use tokio::time::Instant;

impl Connection {
    pub(super) async fn read(&mut self) -> Result<(), Broken> {
        loop {
            match take(&mut self.input, self.house.limits.line_bytes, self.house.limits.page_bytes) {
                Ok(Some(reply)) => {
                    self.half_since = None;
                    self.reply(reply).await?;
                    // Guard: answers that never come to an end would keep the attempts behind them out, and the core busy.
                    if self.idle_words > self.house.limits.idle_words {
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
                    self.house.counters.engine_malformed.up();
                    return Err(broken);
                }
            }
        }
    }

    async fn reply(&mut self, reply: Reply) -> Result<(), Broken> {
        self.idle_since = Instant::now();
        self.back.broken.store(0, Ordering::Relaxed);
        self.load.heard.store(self.house.core.now() as u64, Ordering::Relaxed);
        if reply.word.as_ref() == b"green" {
            self.heard(&reply.name);
            return Ok(());
        }
        let report = self.load_report(reply.field("l"));
        let Some(attempt) = self.attempts.get_mut(&reply.name) else {
            // Given up meanwhile, or never asked: the connection is good all the same.
            self.unasked();
            return Ok(());
        };
        let key = (attempt.ask.id, attempt.ask.attempt);
        let given_up = attempt.life.giving_up();
        let outcome = match reply.word.as_ref() {
            // Guard: a good answer may come twice. The copy says nothing, and what else is open goes on.
            b"served" if attempt.pages.is_some() => {
                self.unasked();
                return Ok(());
            }
            b"served" => {
                let all = reply.field("batches").and_then(number_of).unwrap_or(0) as usize;
                if all == 0 || all > self.house.limits.pages || !rows_of(&reply.body) {
                    return Err(self.malformed());
                }
                // Of one that is being given up the engine has let its pages go; what fits the answer is a result.
                if !attempt.life.tell() && all > 1 {
                    return self.over(&reply.name, report, EngineNews::GivenUp(End::Answered)).await;
                }
                let mut got = vec![None; all];
                got[0] = Some(reply.body.clone());
                let until = Instant::now() + self.house.limits.page_wait;
                let figure = |name| reply.field(name).and_then(crate::clients::figure);
                let (billed_ms, billed_mb) = (figure("cpu"), figure("used"));
                let mut hold = Hold::new(&self.house.held);
                hold.set(reply.body.len(), self.house.limits.share(self.house.limits.held_bytes));
                attempt.pages = Some(Pages { all, got, billed_ms, billed_mb, report, until, hold });
                for n in 1..all {
                    self.house.counters.pages.up();
                    self.line("NEXT", &reply.name, Some(n));
                }
                return self.whole(&reply.name).await;
            }
            b"rows" => {
                let page = reply.field("batch").and_then(number_of).map(|n| n as usize);
                let place = page.and_then(|n| attempt.pages.as_mut().and_then(|p| p.got.get_mut(n)));
                let Some(place) = place.filter(|p| p.is_none()) else {
                    self.unasked();
                    return Ok(());
                };
                if !rows_of(&reply.body) {
                    return Err(self.malformed());
                }
                *place = Some(reply.body.clone());
                if let Some(pages) = &mut attempt.pages {
                    pages.until = Instant::now() + self.house.limits.page_wait;
                    // Guard: a result that outgrew what a client takes is not collected to its end.
                    let size: usize = pages.got.iter().flatten().map(Bytes::len).sum();
                    // Nor where all results together outgrow the memory.
                    let fits = pages.hold.set(size, self.house.limits.share(self.house.limits.held_bytes));
                    if size > self.house.limits.answer_bytes || !fits {
                        self.free(&reply.name, Outcome::Error);
                        return Ok(());
                    }
                }
                return self.whole(&reply.name).await;
            }
            b"update" => {
                let level = reply.field("num").and_then(crate::clients::figure);
                let note = match (reply.field("n"), level) {
                    (Some(b"pct"), Some(share)) => Some(Note::Progress(share)),
                    (Some(b"overflow"), Some(mb)) => Some(Note::Spills(mb)),
                    (Some(b"queued"), Some(2.0)) => Some(Note::WaitsForLoad),
                    (Some(b"queued"), Some(_)) => Some(Note::WaitsForMemory),
                    _ => None,
                };
                self.house.counters.notes.up();
                self.idle_words += 1;
                let news = EngineNews::Note(note);
                self.house.tell(self.engine, key, report, news).await;
                return Ok(());
            }
            // An answer after the pages began says that they are lost, and the query has run.
            _ if attempt.pages.is_some() => Outcome::Error,
            b"overload" => Outcome::Full,
            b"crashed" => Outcome::Error,
            b"nobody" => Outcome::Moot,
            _ => return Err(self.malformed()),
        };
        let end = attempt.life.answered(!never_ran(outcome));
        let told = if given_up { EngineNews::GivenUp(end) } else { EngineNews::end(outcome) };
        self.over(&reply.name, report, told).await
    }

    /// The engine told the end of an attempt.
    async fn over(&mut self, name: &Bytes, report: LoadReport, news: EngineNews) -> Result<(), Broken> {
        let Some(attempt) = self.answered(name) else { return Ok(()) };
        self.load.take_off(once(&attempt.ask));
        self.house.tell(self.engine, (attempt.ask.id, attempt.ask.attempt), report, news).await;
        Ok(())
    }

    /// Counts an answer that nothing asked for, or that was given already.
    pub(super) fn unasked(&mut self) {
        self.house.counters.engine_unasked.up();
        self.idle_words += self.house.limits.idle_word_unasked;
    }

    pub(super) fn malformed(&self) -> Broken {
        self.house.counters.engine_malformed.up();
        Broken
    }

    /// Passes a result on once all its pages are in.
    async fn whole(&mut self, name: &Bytes) -> Result<(), Broken> {
        let pages = self.attempts.get_mut(name).map(|a| &mut a.pages);
        let whole = |p: &mut Pages| p.got.iter().all(Option::is_some);
        let Some(pages) = pages.and_then(|pages| pages.take_if(whole)) else { return Ok(()) };
        let pieces: Vec<Bytes> = pages.got.into_iter().flatten().collect();
        let fits = pages.all == pieces.len()
            && pieces.iter().map(Bytes::len).sum::<usize>() <= self.house.limits.answer_bytes;
        let (outcome, body) =
            if fits { (Outcome::Ok, Some(Body::whole(Form::Text, pieces))) } else { (Outcome::Error, None) };
        let (billed_ms, billed_mb) = (pages.billed_ms, pages.billed_mb);
        let news = EngineNews::Ended { outcome, billed_ms, billed_mb, body };
        self.over(name, pages.report, news).await
    }

    /// Gives up results whose next page does not come.
    pub(super) fn late_pages(&mut self, now: Instant) {
        let late = |a: &Attempt| a.pages.as_ref().is_some_and(|p| p.until <= now);
        let names: Vec<Bytes> =
            self.attempts.iter().filter(|(_, a)| late(a)).map(|(n, _)| n.clone()).collect();
        for name in names {
            self.free(&name, Outcome::TimedOut);
        }
    }

    /// A load report as `inflight:7;util:0.61`, by the settings' names or the protocol's own.
    fn load_report(&self, text: Option<&[u8]>) -> LoadReport {
        let mut report = LoadReport::default();
        for part in text.unwrap_or_default().split(|b| *b == b';') {
            let Some(colon) = part.iter().position(|b| *b == b':') else { continue };
            let value = crate::clients::figure(&part[colon + 1..]);
            match &part[..colon] {
                b"rif" | b"inflight" => report.inflight = value,
                b"busy" | b"util" => report.busy = value,
                b"x1" => report.disks = value,
                b"q" | b"queue" => report.queued = value,
                b"x0" => report.granted = value,
                _ => {}
            }
        }
        report
    }
}
