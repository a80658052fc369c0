//! The module's actor: one task with a mailbox round the core.

use super::{Core, CoreMessage, EnginePort, PriorityMessage};
use crate::decision::{EngineId, Millis, RequestId};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep_until};

/// Unix time that never goes back: the system's clock at the start, carried on by the monotonic one.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    unix_ms: Millis,
    start: Instant,
}

impl Clock {
    /// Reads the system's clock once.
    pub fn new() -> Clock {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            unix_ms: unix.as_secs_f64() * 1000.0,
            start: Instant::now(),
        }
    }

    /// Unix time in ms.
    pub fn now(&self) -> Millis {
        self.unix_ms + self.start.elapsed().as_secs_f64() * 1000.0
    }

    fn instant(&self, at: Millis) -> Instant {
        let after = (at - self.unix_ms).clamp(0.0, 1e12);
        self.start + Duration::from_micros((after * 1000.0).ceil() as u64)
    }
}

impl Default for Clock {
    fn default() -> Self {
        Clock::new()
    }
}

/// Orders of staff that wait at most.
const URGENT: usize = 16;

/// Where the core's actor reads.
pub struct Mailbox {
    messages: mpsc::Receiver<CoreMessage>,
    priority_messages: mpsc::Receiver<PriorityMessage>,
}

impl Mailbox {
    /// The next ordinary input, for whoever drives a core without [`run`]; none once every [`Handle`] is dropped.
    pub async fn next_message(&mut self) -> Option<CoreMessage> {
        self.messages.recv().await
    }
}

/// The way into the core's mailbox, for fronts, engines and the list.
#[derive(Clone)]
pub struct Handle {
    mailbox: mpsc::Sender<CoreMessage>,
    priority: mpsc::Sender<PriorityMessage>,
    ids: Arc<AtomicU32>,
    clock: Clock,
}

impl Handle {
    /// A mailbox of this size, and a small one that overtakes it; their receivers go to [`run`].
    pub fn new(size: usize, clock: Clock) -> (Handle, Mailbox) {
        let (mailbox, inputs) = mpsc::channel(size);
        let (urgent, orders) = mpsc::channel(URGENT);
        (
            Handle {
                mailbox,
                priority: urgent,
                ids: Arc::new(AtomicU32::new(1)),
                clock,
            },
            Mailbox {
                messages: inputs,
                priority_messages: orders,
            },
        )
    }

    /// Takes an engine out or gives it back, past all that waits in the mailbox; false where nothing is known of
    /// the engine. `told` is what need not be known, as it was said elsewhere.
    pub async fn set_manual_ejection(
        &self,
        engine: EngineId,
        out: bool,
        at: Millis,
        told: bool,
    ) -> bool {
        let (done, said) = oneshot::channel();
        let _ = self
            .priority
            .send(PriorityMessage::ManualEjection {
                engine,
                ejected: out,
                at_ms: at,
                from_peer: told,
                done,
            })
            .await;
        said.await.unwrap_or(false)
    }

    /// A new request's id.
    pub fn next_id(&self) -> RequestId {
        self.ids.fetch_add(1, Ordering::Relaxed)
    }

    /// The clock that all deadlines are on.
    pub fn now(&self) -> Millis {
        self.clock.now()
    }

    /// Puts one input into the mailbox, waiting while it is full. The core never waits for its peers, so this
    /// cannot lock up.
    pub async fn send(&self, input: CoreMessage) {
        let _ = self.mailbox.send(input).await;
    }

    /// The same where nothing may wait: false where the mailbox is full.
    pub fn try_send(&self, input: CoreMessage) -> bool {
        self.mailbox.try_send(input).is_ok()
    }
}

impl Handle {
    /// A place in the mailbox, for what has to be said at one moment to the core and to others.
    pub async fn reserve(&self) -> Option<mpsc::Permit<'_, CoreMessage>> {
        self.mailbox.reserve().await.ok()
    }

    /// The process ends at this time, in Unix ms.
    pub async fn set_shutdown_deadline(&self, at: Millis) {
        let _ = self
            .priority
            .send(PriorityMessage::ShutdownDeadline(at))
            .await;
    }

    /// Another process of this workload manager works beside this one, or no longer.
    pub async fn set_peer_processes(&self, parts: f64) {
        let _ = self
            .priority
            .send(PriorityMessage::PeerProcesses(parts))
            .await;
    }
}

/// Runs the core until its mailbox closes.
pub async fn run<E: EnginePort>(mut core: Core<E>, from: Mailbox, clock: Clock) {
    let Mailbox {
        messages: mut inputs,
        priority_messages: mut orders,
    } = from;
    core.start(clock.now());
    loop {
        let alarm = core.next_timer().unwrap_or_else(|| clock.now() + 1000.0);
        tokio::select! {
            biased;
            // Guard: staff wait for a second, and a mailbox may stay full for as long as there is load.
            Some(order) = orders.recv() => core.handle_priority(clock.now(), order),
            input = inputs.recv() => match input {
                Some(input) => core.handle(clock.now(), input),
                None => return,
            },
            () = sleep_until(clock.instant(alarm)) => {}
        }
        core.run_due_timers(clock.now());
    }
}
