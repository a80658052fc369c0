//! Places for client connections. A newcomer finds one as long as any connection idles: the one that is least
//! likely to be missed is asked to leave for it. So neither clients that keep a connection for good nor those
//! that connect and say nothing keep others out.

use crate::lifecycle::Lifecycle;
use crate::limits::Limits;
use crate::metrics::Metrics;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep};

/// One place in so many is for connections that were asked to leave and have not gone yet.
const LEAVING_PART: usize = 8;

/// The places of one front.
pub(crate) struct Slots {
    places: usize,
    limits: Arc<Limits>,
    held: Mutex<Held>,
    freed: Notify,
    metrics: Arc<Metrics>,
}

#[derive(Default)]
struct Held {
    /// Clients are sent away.
    leaving: bool,
    next: u64,
    slots: HashMap<u64, State>,
}

struct State {
    /// An answer `served` went over it, or it was told that this program is fit.
    known: bool,
    /// It has brought a call.
    heard: bool,
    /// Requests open.
    busy: u32,
    since: Instant,
    asked: bool,
    leave: Arc<Notify>,
}

/// One connection's place, free again once this is dropped.
pub(crate) struct Slot {
    slots: Arc<Slots>,
    id: u64,
    leave: Arc<Notify>,
}

impl Slots {
    pub(crate) fn new(places: usize, limits: Arc<Limits>, metrics: Arc<Metrics>) -> Arc<Slots> {
        let (held, freed) = (Mutex::default(), Notify::new());
        Arc::new(Slots {
            places,
            limits,
            held,
            freed,
            metrics,
        })
    }

    fn held(&self) -> MutexGuard<'_, Held> {
        self.held.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until a newcomer may be let in: at once, unless every place has a request open or is about to be left.
    pub(crate) async fn room(&self) {
        loop {
            let freed = self.freed.notified();
            if self.make_room() {
                return;
            }
            freed.await;
        }
    }

    /// Whether there is a place now; where those that stay fill theirs, one of them is asked to leave. Guard: strangers
    /// make room for strangers first, so that a flood of them costs the clients that are served here nothing. Those with
    /// a request open are never asked. Guard: one that was asked holds its descriptor until it has gone, so it counts to
    /// the end; a part of the places is for those, so that a newcomer seldom waits for them.
    fn make_room(&self) -> bool {
        let mut held = self.held();
        let places = self.limits.share(self.places);
        let most_staying = places - places.div_ceil(LEAVING_PART);
        // Of these, for connections that have not been served yet.
        let most_strangers = most_staying.div_ceil(2);
        let strangers = held.slots.values().filter(|s| !s.known && !s.asked).count();
        let staying = held.slots.values().filter(|s| !s.asked).count();
        // Above their part a stranger goes, else whoever idles longest; a stranger before the others.
        let only_strangers = strangers >= most_strangers;
        if only_strangers || staying >= most_staying {
            let idle = held.slots.values_mut().filter(|s| s.busy == 0 && !s.asked);
            let victim = idle
                .filter(|s| !(only_strangers && s.known))
                .min_by_key(|s| (s.known, s.since));
            if let Some(victim) = victim {
                victim.asked = true;
                victim.leave.notify_one();
                self.metrics.client_connections_evicted.increment();
            }
        }
        held.slots.len() < places
    }

    /// Asks one idle connection to leave though there is a place: descriptors ran out first.
    pub(crate) fn squeeze(&self) {
        let mut held = self.held();
        let idle = held.slots.values_mut().filter(|s| s.busy == 0 && !s.asked);
        if let Some(victim) = idle.min_by_key(|s| (s.known, s.since)) {
            victim.asked = true;
            victim.leave.notify_one();
            self.metrics.client_connections_evicted.increment();
        }
    }

    /// Sends clients away from now on, or no longer: each leaves once nothing is open on its connection. One that
    /// has brought no call yet is served first, as it was on its way.
    pub(crate) fn drain(&self, leaving: bool) {
        let mut held = self.held();
        held.leaving = leaving;
        if leaving {
            held.slots.values_mut().for_each(State::send_away);
        }
    }

    /// Does so for as long as the front is there.
    pub(crate) async fn follow(self: Arc<Slots>, lifecycle: Arc<Lifecycle>) {
        let mut state = lifecycle.follow();
        loop {
            self.drain(state.borrow_and_update().leaving());
            if state.changed().await.is_err() {
                return;
            }
        }
    }

    /// Takes a place for a connection that has been accepted.
    pub(crate) fn take(self: &Arc<Slots>) -> Slot {
        let mut held = self.held();
        let (id, leave) = (held.next, Arc::new(Notify::new()));
        held.next += 1;
        let state = State {
            known: false,
            heard: false,
            busy: 0,
            since: Instant::now(),
            asked: false,
            leave: leave.clone(),
        };
        held.slots.insert(id, state);
        Slot {
            slots: self.clone(),
            id,
            leave,
        }
    }
}

impl State {
    fn send_away(&mut self) {
        if self.busy == 0 && self.heard && !self.asked {
            self.asked = true;
            self.leave.notify_one();
        }
    }
}

impl Slot {
    fn with(&self, change: impl FnOnce(&mut State)) {
        let mut held = self.slots.held();
        let leaving = held.leaving;
        if let Some(state) = held.slots.get_mut(&self.id) {
            state.since = Instant::now();
            change(state);
            if leaving {
                state.send_away();
            }
        }
    }

    /// So many requests are open now.
    pub(crate) fn busy(&self, open: usize) {
        self.with(|s| s.busy = open as u32);
        if open == 0 {
            self.slots.freed.notify_one();
        }
    }

    /// One more request is open, or one less.
    pub(crate) fn opened(&self) {
        self.with(|s| (s.busy, s.heard) = (s.busy + 1, true));
    }

    /// See `opened`.
    pub(crate) fn closed(&self) {
        self.with(|s| s.busy = s.busy.saturating_sub(1));
        self.slots.freed.notify_one();
    }

    /// It has brought a call that opens no request.
    pub(crate) fn speaks(&self) {
        self.with(|s| s.heard = true);
    }

    /// Whether it has brought a call.
    pub(crate) fn heard(&self) -> bool {
        self.slots
            .held()
            .slots
            .get(&self.id)
            .is_some_and(|s| s.heard)
    }

    /// It has been served: no stranger any more.
    pub(crate) fn known(&self) {
        self.with(|s| s.known = true);
    }

    /// Resolves once another needs the place.
    pub(crate) async fn asked_to_leave(&self) {
        self.leave.notified().await;
    }

    /// Resolves once it was asked and nothing has gone on for this long. Guard: on a connection whose answers are
    /// written elsewhere, an end of what is open is not yet the end of the answer; nor is a plan the whole call.
    pub(crate) async fn leaves(&self, quiet: Duration) {
        loop {
            self.asked_to_leave().await;
            let state = || {
                self.slots
                    .held()
                    .slots
                    .get(&self.id)
                    .map(|s| (s.busy, s.since))
            };
            loop {
                let before = state();
                sleep(quiet).await;
                match before {
                    Some((1.., _)) => break self.stays(),
                    _ if before == state() => return,
                    _ => {}
                }
            }
        }
    }

    /// It was asked, and goes on as a request came in: it may be asked again.
    pub(crate) fn stays(&self) {
        self.with(|s| s.asked = false);
        // Whoever waits for its place has another one asked.
        self.slots.freed.notify_one();
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.slots.held().slots.remove(&self.id);
        self.slots.freed.notify_one();
    }
}

#[cfg(test)]
mod tests;
