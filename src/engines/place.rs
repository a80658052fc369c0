//! Which of an engine's connections carries one more attempt.

use super::context::{EngineContext, Order};
use super::load::Load;
use super::slots::{Need, Slot};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use tokio::sync::mpsc;

/// One connection, as its engine's actor sees it.
pub(super) struct Conn {
    pub(super) orders: mpsc::Sender<Order>,
    pub(super) load: Arc<Load>,
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
pub(super) fn place(conns: &[Conn], once: bool, context: &EngineContext) -> Place {
    let limits = &context.limits;
    let now = context.core.now();
    let heard = |i: usize| !conns[i].load.mute(now, limits);
    let stays = |c: &Conn| !c.load.leaving();
    let all = || {
        conns
            .iter()
            .enumerate()
            .filter(|(_, c)| stays(c))
            .map(|(i, c)| (i, c.load.now()))
    };
    let loads = || all().filter(|(i, _)| heard(*i));
    let shared = limits
        .shared_attempts_per_connection
        .min(limits.attempts_per_connection);
    let fits = |(i, (all, loads)): (usize, (usize, usize))| match once {
        true => all == 0 && conns[i].load.proven(now, limits),
        false => loads == 0 && all < shared,
    };
    // The fullest of those that fit, then the one heard last, so that the others idle out.
    let rank = |(i, load): &(usize, (usize, usize))| {
        (load.0, conns[*i].load.heard.load(Ordering::Relaxed))
    };
    if let Some((i, _)) = loads().filter(|at| fits(*at)).max_by_key(rank) {
        return Place::On(i);
    }
    // One that is heard of there is, or is tried for.
    let need = match (loads().next(), once) {
        (None, _) => Need::First,
        (_, true) => Need::Own,
        (_, false) => Need::More,
    };
    if conns.len() < limits.connections_per_engine {
        let load = Arc::<Load>::default();
        if let Some(slot) = context.slots.take(&load, need) {
            return Place::New(slot, load);
        }
    }
    let room = all().filter(|(_, (all, _))| *all < limits.attempts_per_connection);
    let least = room.min_by_key(|(i, (all, loads))| (!heard(*i), *loads, *all));
    least.map_or(Place::Nowhere, |(i, _)| Place::On(i))
}
