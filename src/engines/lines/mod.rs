//! The platform's engines: lines of words over TCP. One actor an engine hands attempts to its connections,
//! each an actor too.

mod answers;
mod connection;

use super::context::{House, Order};
use super::gate::Gate;
use super::place::{Conn, Place, place};
use crate::core::EngineNews;
use crate::interface::{Effect, EngineId, Outcome};
use connection::{Back, Connection};
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::sync::mpsc;

/// Runs one engine as long as it has connections, or until the list drops it and its attempts are over.
pub(crate) async fn run(
    engine: EngineId,
    address: SocketAddr,
    mut orders: mpsc::Receiver<Order>,
    house: House,
    gate: Arc<Gate>,
) {
    let mut conns: Vec<Conn> = Vec::new();
    // Holds no more than the core's attempts on this engine.
    let (asks, mut returned) = mpsc::unbounded_channel();
    let back = Back { asks, broken: Arc::default() };
    loop {
        let order = tokio::select! {
            biased;
            // First: what a closed connection gave back is placed before an order that could take it back.
            Some(returned) = returned.recv() => returned.map(Order::Ask),
            order = orders.recv() => match order {
                Some(order) => Some(order),
                None => return,
            },
        };
        conns.retain(|c| !c.orders.is_closed());
        let Some(order) = order else {
            if conns.is_empty() && returned.is_empty() && orders.is_empty() {
                return retire(engine, orders, &house).await;
            }
            continue;
        };
        let Order::Ask(ask) = order else {
            // Each connection knows its own attempts.
            for conn in &conns {
                let _ = conn.orders.try_send(order.clone());
            }
            continue;
        };
        // Guard: what a broken connection gave back finds no new one to what drains or was taken out meanwhile.
        if gate.shut() {
            house.tell_end(engine, &ask, EngineNews::end(Outcome::NoConnection)).await;
            let _ = back.asks.send(None);
            continue;
        }
        let once = ask.class.class.effect == Effect::Once;
        let conn = match place(&conns, once, &house) {
            Place::On(conn) => conn,
            Place::Nowhere => {
                house.tell_end(engine, &ask, EngineNews::end(Outcome::NoRoom)).await;
                let _ = back.asks.send(None); // without a connection it is over
                continue;
            }
            Place::New(slot, load) => {
                let (orders, mailbox) = mpsc::channel(house.limits.mailbox);
                let connection =
                    Connection::new(engine, mailbox, back.clone(), load.clone(), house.clone(), gate.clone());
                tokio::spawn(connection.run(address, slot));
                conns.push(Conn { orders, load });
                conns.len() - 1
            }
        };
        conns[conn].load.add(once, house.core.now());
        if let Err(refused) = conns[conn].orders.try_send(Order::Ask(ask)) {
            conns[conn].load.take_off(once);
            if let Order::Ask(ask) = refused.into_inner() {
                house.tell_end(engine, &ask, EngineNews::end(Outcome::NoConnection)).await;
            }
        }
    }
}

/// The last connection is over. Guard: what is handed over from now on finds the mailbox closed, and begins a new
/// actor; what came just before goes back as it was.
async fn retire(engine: EngineId, mut orders: mpsc::Receiver<Order>, house: &House) {
    orders.close();
    while let Ok(order) = orders.try_recv() {
        if let Order::Ask(ask) = order {
            house.tell_end(engine, &ask, EngineNews::end(Outcome::NoRoom)).await;
        }
    }
}

#[cfg(test)]
mod tests;
