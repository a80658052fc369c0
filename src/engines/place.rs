//! Which of an engine's connections carries one more attempt.

use super::slots::{Need, Slot};
use super::{House, Order};
use crate::limits::Limits;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use tokio::sync::mpsc;

/// One connection, as its engine's actor sees it.
pub(super) struct Conn {
    pub(super) orders: mpsc::Sender<Order>,
    pub(super) load: Arc<Load>,
}

/// Attempts that a connection carries: all, and those that may run once only.
#[derive(Debug, Default)]
pub(super) struct Load {
    all: AtomicUsize,
    once: AtomicUsize,
    /// Unix time in ms of its last answer; 0 before the first.
    pub(super) heard: AtomicU64,
    /// Unix time in ms since which it has carried any.
    busy: AtomicU64,
    /// It gives its descriptor up: nothing more goes on it.
    leaving: AtomicBool,
}

impl Load {
    pub(super) fn add(&self, once: bool, now: f64) {
        // What was given up unheard leaves the clock running: the next one would be as unheard.
        let (heard, busy) = (self.heard.load(Ordering::Relaxed), self.busy.load(Ordering::Relaxed));
        if self.all.fetch_add(1, Ordering::Relaxed) == 0 && (busy == 0 || heard >= busy) {
            self.busy.store(now as u64, Ordering::Relaxed);
        }
        self.once.fetch_add(usize::from(once), Ordering::Relaxed);
    }

    pub(super) fn take_off(&self, once: bool) {
        self.all.fetch_sub(1, Ordering::Relaxed);
        self.once.fetch_sub(usize::from(once), Ordering::Relaxed);
    }

    /// Whether it carries nothing.
    pub(super) fn idle(&self) -> bool {
        self.all.load(Ordering::Relaxed) == 0
    }

    /// Unix time in ms at which it last began to carry anything, or was heard of.
    pub(super) fn last(&self) -> u64 {
        self.heard.load(Ordering::Relaxed).max(self.busy.load(Ordering::Relaxed))
    }

    /// It is to give its descriptor up.
    pub(super) fn leave(&self) {
        self.leaving.store(true, Ordering::Relaxed);
    }

    pub(super) fn leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    fn now(&self) -> (usize, usize) {
        (self.all.load(Ordering::Relaxed), self.once.load(Ordering::Relaxed))
    }

    /// Whether what it carries should have been heard of by now, if only by a note. Guard: a machine that vanished
    /// leaves its connections open and silent; only a new one, which never comes up, tells that it has.
    fn mute(&self, now: f64, limits: &Limits) -> bool {
        self.now().0 > 0 && now - self.last() as f64 > limits.conn_mute_ms
    }

    /// Whether it answered so lately that it can be relied on.
    fn proven(&self, now: f64, limits: &Limits) -> bool {
        now - self.heard.load(Ordering::Relaxed) as f64 <= limits.conn_proven_ms
    }
}

/// What carries an attempt.
pub(super) enum Place {
    /// The connection at this place.
    On(usize),
    /// A new one, with its descriptor.
    New(Slot, Arc<Load>),
    /// Nothing: its engine has no connection, and there is no descriptor for one.
    Nowhere,
}

/// Which connection carries one more attempt. Guard: one answer that cannot be read
/// ends its connection and all that is on it, so what may run once only has one of its own, and others share one
/// in small groups, as far as descriptors go. Guard: a connection that idles may be reset by the request that ends
/// that, unread or not; what may run once only is then lost, so it takes a new one unless this one just answered.
pub(super) fn place(conns: &[Conn], once: bool, house: &House) -> Place {
    let limits = &house.limits;
    let now = house.core.now();
    let heard = |i: usize| !conns[i].load.mute(now, limits);
    let stays = |c: &Conn| !c.load.leaving();
    let all = || conns.iter().enumerate().filter(|(_, c)| stays(c)).map(|(i, c)| (i, c.load.now()));
    let loads = || all().filter(|(i, _)| heard(*i));
    let shared = limits.streams_shared.min(limits.streams_per_conn);
    let fits = |(i, (all, loads)): (usize, (usize, usize))| match once {
        true => all == 0 && conns[i].load.proven(now, limits),
        false => loads == 0 && all < shared,
    };
    // The fullest of those that fit, then the one heard last, so that the others idle out.
    let rank = |(i, load): &(usize, (usize, usize))| (load.0, conns[*i].load.heard.load(Ordering::Relaxed));
    if let Some((i, _)) = loads().filter(|at| fits(*at)).max_by_key(rank) {
        return Place::On(i);
    }
    // One that is heard of there is, or is tried for.
    let need = match (loads().next(), once) {
        (None, _) => Need::First,
        (_, true) => Need::Own,
        (_, false) => Need::More,
    };
    if conns.len() < limits.conns_per_engine {
        let load = Arc::<Load>::default();
        if let Some(slot) = house.slots.take(&load, need) {
            return Place::New(slot, load);
        }
    }
    let room = all().filter(|(_, (all, _))| *all < limits.streams_per_conn);
    let least = room.min_by_key(|(i, (all, loads))| (!heard(*i), *loads, *all));
    least.map_or(Place::Nowhere, |(i, _)| Place::On(i))
}
