//! The descriptors that connections to all engines hold together, and who gives one up. Being listed costs no
//! descriptor, so there may be many more engines than descriptors: a connection on which nothing is out gives way to
//! the one that is needed now, the longest idle first.

use super::load::Load;
use crate::limits::Limits;
use crate::metrics::Metrics;
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
    metrics: Arc<Metrics>,
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
    pub(crate) fn new(limits: Arc<Limits>, metrics: Arc<Metrics>) -> Arc<Slots> {
        Arc::new(Slots {
            limits,
            metrics,
            held: Mutex::default(),
        })
    }

    fn held(&self) -> MutexGuard<'_, Held> {
        self.held.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Connections that have a descriptor, waiting ones left out.
    fn told(&self, held: &Held) {
        self.metrics
            .engine_connections_open
            .set(held.all.values().filter(|e| !e.waits).count());
    }

    /// A descriptor for a connection with this load; none where there is none to be had. Guard: a part of all is kept
    /// for engines that would not be reached otherwise, and only what carries nothing is asked to give way.
    pub(super) fn take(self: &Arc<Slots>, load: &Arc<Load>, need: Need) -> Option<Slot> {
        let mut held = self.held();
        // Whoever was asked to give way hands its descriptor on.
        let open = held.all.values().filter(|e| e.heir.is_none()).count();
        let most = self.limits.share(self.limits.engine_connections);
        let kept = self.limits.share(self.limits.engine_connections_reserved);
        let bound = if need == Need::First {
            most + kept
        } else {
            most
        };
        let free = if open < bound {
            None
        } else if need == Need::More {
            return None;
        } else {
            let idle = held
                .all
                .values_mut()
                .filter(|e| !e.waits && e.heir.is_none() && e.load.idle());
            let victim = idle.min_by_key(|e| e.load.last())?;
            let (heir, free) = oneshot::channel();
            victim.heir = Some(heir);
            victim.load.leave();
            victim.leave.notify_one();
            self.metrics.engine_connections_evicted.increment();
            Some(free)
        };
        let (id, leave) = (held.next, Arc::new(Notify::new()));
        held.next += 1;
        let entry = Entry {
            load: load.clone(),
            leave: leave.clone(),
            waits: free.is_some(),
            heir: None,
        };
        held.all.insert(id, entry);
        self.told(&held);
        Some(Slot {
            slots: self.clone(),
            id,
            leave,
            free,
        })
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
                held.all
                    .get_mut(&id)
                    .into_iter()
                    .for_each(|entry| entry.waits = false);
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
mod tests;
