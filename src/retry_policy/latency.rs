//! How long the attempts of a class take, for second copies that go out past a share of the usual ones.

use crate::decision::Millis;
use hdrhistogram::Histogram;
use std::fmt;

/// Longest time that is told apart, in ms.
const LONGEST: u64 = 600_000;
/// Attempts seen from which a share of them says anything.
const ENOUGH: u64 = 50;

/// Times of a class, of the period that runs and the one before. Of fixed size: some 14 kB.
pub struct Latency {
    period_ms: Millis,
    since: Millis,
    now: Histogram<u32>,
    before: Histogram<u32>,
}

impl fmt::Debug for Latency {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Latency(n:{},{})", self.now.len(), self.before.len())
    }
}

fn empty() -> Histogram<u32> {
    Histogram::new_with_bounds(1, LONGEST, 2).unwrap_or_else(|_| unreachable!("fixed bounds"))
}

impl Latency {
    /// None seen yet; what is older than two periods is forgotten.
    pub fn new(period_ms: Millis) -> Latency {
        Latency {
            period_ms: period_ms.max(1.0),
            since: 0.0,
            now: empty(),
            before: empty(),
        }
    }

    /// An attempt was served after so long.
    pub fn record(&mut self, took_ms: Millis, now: Millis) {
        self.slide(now);
        let took = if took_ms.is_finite() {
            took_ms.max(1.0).round() as u64
        } else {
            LONGEST
        };
        self.now.saturating_record(took);
    }

    /// The time in ms that this share of the attempts did not pass, from 0 to 1; none while too few were seen.
    pub fn quantile(&mut self, share: f64, now: Millis) -> Option<Millis> {
        self.slide(now);
        // The period that runs tells the present best; before it has enough, the one before stands in.
        let from = [&self.now, &self.before]
            .into_iter()
            .find(|h| h.len() >= ENOUGH)?;
        Some(from.value_at_quantile(share.clamp(0.0, 1.0)) as f64)
    }

    fn slide(&mut self, now: Millis) {
        let passed = (now - self.since) / self.period_ms;
        if passed < 1.0 {
            return;
        }
        std::mem::swap(&mut self.now, &mut self.before);
        self.now.reset();
        if passed >= 2.0 {
            self.before.reset();
        }
        self.since = now;
    }
}
