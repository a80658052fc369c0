//! Tests of this module.

use super::*;
use crate::core::{Clock, Handle};
use crate::engines::EngineContext;
use futures::FutureExt;

fn slots() -> (Arc<Slots>, usize, usize) {
    let context = EngineContext::for_tests(Handle::new(1, Clock::new()).0);
    let (most, kept) = (
        context.limits.engine_connections,
        context.limits.engine_connections_reserved,
    );
    (context.slots, most, kept)
}

fn busy(at: f64) -> Arc<Load> {
    let load = Arc::<Load>::default();
    load.add(false, at);
    load
}

/// The part that is kept is for engines without a connection alone, and what carries an attempt keeps its own.
#[test]
fn what_is_kept_and_who_stays() {
    let (slots, most, kept) = slots();
    let all: Vec<_> = (0..most)
        .map(|_| slots.take(&busy(1.0), Need::More).expect("a slot"))
        .collect();
    assert!(
        slots.take(&busy(1.0), Need::More).is_none() && slots.take(&busy(1.0), Need::Own).is_none()
    );
    let first: Vec<_> = (0..kept)
        .map(|_| slots.take(&busy(1.0), Need::First).expect("a slot"))
        .collect();
    assert!(
        slots.take(&busy(1.0), Need::First).is_none(),
        "all carry something"
    );
    drop(first);
    assert!(slots.take(&busy(1.0), Need::First).is_some() && all.len() == most);
    assert_eq!(slots.metrics.engine_connections_evicted.get(), 0);
}

/// The one that idles longest gives way, once, and nobody connects before its descriptor is free.
#[test]
fn the_longest_idle_gives_way() {
    let (slots, most, kept) = slots();
    let mut all = Vec::new();
    for n in 0..most + kept {
        let load = busy(1000.0 + n as f64);
        all.push((slots.take(&load, Need::First).expect("a slot"), load));
    }
    [7, 3, 5]
        .into_iter()
        .for_each(|n: usize| all[n].1.take_off(false));
    let mut heir = slots.take(&busy(2000.0), Need::First).expect("a slot");
    assert!(all[3].1.leaving() && !all[5].1.leaving());
    assert!(
        all[3].0.leaves().now_or_never().is_some() && all[5].0.leaves().now_or_never().is_none()
    );
    let mut free = Box::pin(heir.free());
    assert!(
        free.as_mut().now_or_never().is_none(),
        "the socket is still open"
    );
    let next = slots.take(&busy(2000.0), Need::Own).expect("a slot");
    assert!(all[5].1.leaving(), "the next one, as that one goes already");
    drop(all.remove(3));
    assert!(free.now_or_never().is_some());
    drop((heir, next, all));
    assert_eq!(slots.metrics.engine_connections_open.get(), 0);
    assert!(slots.held().all.is_empty());
}
