//! The descriptors that connections to all engines hold together, and who gives one up. Being listed costs no
//! descriptor, so there may be many more engines than descriptors: a connection on which nothing is out gives way to
//! the one that is needed now, the longest idle first.

use super::place::Load;
use crate::counters::Counters;
use crate::limits::Limits;
use std::collections::BTreeMap;
use std::future::Future;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::{Notify, oneshot};

/// What a connection is wanted for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Need {
    /// Its engine has none that is heard of: without it the engine cannot be reached.
    First,
    /// What may run once only is to have one of its own.
    Own,
    /// The others of its engine carry much already.
    More,
}

/// All descriptors of connections to engines.
#[derive(Debug)]
pub(crate) struct Slots {
    limits: Arc<Limits>,
    counters: Arc<Counters>,
    held: Mutex<Held>,
}

#[derive(Debug, Default)]
struct Held {
    next: u64,
    all: BTreeMap<u64, Entry>,
}

#[derive(Debug)]
struct Entry {
    load: Arc<Load>,
    leave: Arc<Notify>,
    /// It waits for the descriptor of another, and has none itself.
    waits: bool,
    /// Who waits for the descriptor of this one, which was asked to give way.
    heir: Option<oneshot::Sender<()>>,
}

/// One connection's descriptor, free again once this is dropped: after its socket.
#[derive(Debug)]
pub(super) struct Slot {
    slots: Arc<Slots>,
    id: u64,
    leave: Arc<Notify>,
    free: Option<oneshot::Receiver<()>>,
}

impl Slots {
    pub(crate) fn new(limits: Arc<Limits>, counters: Arc<Counters>) -> Arc<Slots> {
        Arc::new(Slots { limits, counters, held: Mutex::default() })
    }

    fn held(&self) -> MutexGuard<'_, Held> {
        self.held.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Connections that have a descriptor, waiting ones left out.
    fn told(&self, held: &Held) {
        self.counters.engine_conns_open.set(held.all.values().filter(|e| !e.waits).count());
    }

    /// A descriptor for a connection with this load; none where there is none to be had. Guard: a part of all is kept
    /// for engines that would not be reached otherwise, and only what carries nothing is asked to give way.
    pub(super) fn take(self: &Arc<Slots>, load: &Arc<Load>, need: Need) -> Option<Slot> {
        let mut held = self.held();
        // Whoever was asked to give way hands its descriptor on.
        let open = held.all.values().filter(|e| e.heir.is_none()).count();
        let most = self.limits.share(self.limits.engine_conns);
        let kept = self.limits.share(self.limits.engine_conns_kept);
        let bound = if need == Need::First { most + kept } else { most };
        let free = if open < bound {
            None
        } else if need == Need::More {
            return None;
        } else {
            let idle = held.all.values_mut().filter(|e| !e.waits && e.heir.is_none() && e.load.idle());
            let victim = idle.min_by_key(|e| e.load.last())?;
            let (heir, free) = oneshot::channel();
            victim.heir = Some(heir);
            victim.load.leave();
            victim.leave.notify_one();
            self.counters.engine_evicted.up();
            Some(free)
        };
        let (id, leave) = (held.next, Arc::new(Notify::new()));
        held.next += 1;
        let entry = Entry { load: load.clone(), leave: leave.clone(), waits: free.is_some(), heir: None };
        held.all.insert(id, entry);
        self.told(&held);
        Some(Slot { slots: self.clone(), id, leave, free })
    }
}

impl Slot {
    /// Resolves once the descriptor is free.
    pub(super) fn free(&mut self) -> impl Future<Output = ()> + Send + 'static {
        let (free, slots, id) = (self.free.take(), self.slots.clone(), self.id);
        async move {
            if let Some(free) = free {
                let _ = free.await;
                let mut held = slots.held();
                held.all.get_mut(&id).into_iter().for_each(|entry| entry.waits = false);
                slots.told(&held);
            }
        }
    }

    /// Resolves once another connection needs the descriptor. Nothing is out then, and nothing more will be.
    pub(super) async fn leaves(&self) {
        self.leave.notified().await;
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let mut held = self.slots.held();
        let heir = held.all.remove(&self.id).and_then(|e| e.heir);
        self.slots.told(&held);
        if let Some(heir) = heir {
            let _ = heir.send(());
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::core::{Clock, Handle};
    use crate::engines::House;
    use futures::FutureExt;

    fn slots() -> (Arc<Slots>, usize, usize) {
        let house = House::for_tests(Handle::new(1, Clock::new()).0);
        let (most, kept) = (house.limits.engine_conns, house.limits.engine_conns_kept);
        (house.slots, most, kept)
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
        let all: Vec<_> = (0..most).map(|_| slots.take(&busy(1.0), Need::More).expect("a slot")).collect();
        assert!(slots.take(&busy(1.0), Need::More).is_none() && slots.take(&busy(1.0), Need::Own).is_none());
        let first: Vec<_> = (0..kept).map(|_| slots.take(&busy(1.0), Need::First).expect("a slot")).collect();
        assert!(slots.take(&busy(1.0), Need::First).is_none(), "all carry something");
        drop(first);
        assert!(slots.take(&busy(1.0), Need::First).is_some() && all.len() == most);
        assert_eq!(slots.counters.engine_evicted.get(), 0);
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
        [7, 3, 5].into_iter().for_each(|n: usize| all[n].1.take_off(false));
        let mut heir = slots.take(&busy(2000.0), Need::First).expect("a slot");
        assert!(all[3].1.leaving() && !all[5].1.leaving());
        assert!(all[3].0.leaves().now_or_never().is_some() && all[5].0.leaves().now_or_never().is_none());
        let mut free = Box::pin(heir.free());
        assert!(free.as_mut().now_or_never().is_none(), "the socket is still open");
        let next = slots.take(&busy(2000.0), Need::Own).expect("a slot");
        assert!(all[5].1.leaving(), "the next one, as that one goes already");
        drop(all.remove(3));
        assert!(free.now_or_never().is_some());
        drop((heir, next, all));
        assert_eq!(slots.counters.engine_conns_open.get(), 0);
        assert!(slots.held().all.is_empty());
    }
}
