//! The core's actor: one task that runs the core on the messages of its mailbox.

use super::{Core, CoreMessage, EnginePort, PriorityMessage};
use crate::decision::{EngineId, Millis, RequestId};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep_until};

/// Unix time that never goes back: the system's clock at the start, continued by the monotonic clock.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start_unix_ms: Millis,
    start: Instant,
}

impl Clock {
    /// Reads the system's clock once.
    pub fn new() -> Clock {
        Clock {
            start_unix_ms: system_unix_ms(),
            start: Instant::now(),
        }
    }

    /// Unix time in ms.
    pub fn now(&self) -> Millis {
        self.start_unix_ms + self.start.elapsed().as_secs_f64() * 1000.0
    }

    /// By how much the system's clock is ahead of this one, in ms: it was stepped by so much since.
    pub fn wall_clock_step_ms(&self) -> Millis {
        system_unix_ms() - self.now()
    }

    fn instant_at(&self, at_ms: Millis) -> Instant {
        let after_start_ms = (at_ms - self.start_unix_ms).clamp(0.0, 1e12);
        self.start + Duration::from_micros((after_start_ms * 1000.0).ceil() as u64)
    }
}

/// The system's clock, in Unix ms.
fn system_unix_ms() -> Millis {
    let unix = SystemTime::now().duration_since(UNIX_EPOCH);
    unix.unwrap_or_default().as_secs_f64() * 1000.0
}

impl Default for Clock {
    fn default() -> Self {
        Clock::new()
    }
}

/// Priority messages that wait at most.
const PRIORITY_MAILBOX_SIZE: usize = 16;

/// The receiving end of the core's mailbox.
pub struct Mailbox {
    messages: mpsc::Receiver<CoreMessage>,
    priority_messages: mpsc::Receiver<PriorityMessage>,
}

impl Mailbox {
    /// The next ordinary message, for callers that drive a core without [`run`]; none once every [`Handle`] is dropped.
    pub async fn next_message(&mut self) -> Option<CoreMessage> {
        self.messages.recv().await
    }
}

/// The sending end of the core's mailbox, for front ends, engines' actors and discovery.
#[derive(Clone)]
pub struct Handle {
    mailbox: mpsc::Sender<CoreMessage>,
    priority: mpsc::Sender<PriorityMessage>,
    next_request_id: Arc<AtomicU32>,
    clock: Clock,
}

impl Handle {
    /// A mailbox for this many messages, and a small one for priority messages; the receiving end goes to [`run`].
    pub fn new(size: usize, clock: Clock) -> (Handle, Mailbox) {
        let (mailbox, mailbox_receiver) = mpsc::channel(size);
        let (priority_sender, priority_receiver) = mpsc::channel(PRIORITY_MAILBOX_SIZE);
        (
            Handle {
                mailbox,
                priority: priority_sender,
                next_request_id: Arc::new(AtomicU32::new(1)),
                clock,
            },
            Mailbox {
                messages: mailbox_receiver,
                priority_messages: priority_receiver,
            },
        )
    }

    /// Ejects an engine manually or returns it, ahead of the mailbox, as ordered at this Unix time in ms. False where
    /// the engine is not known, which it need not be if a peer process passes the order on.
    pub async fn set_manual_ejection(
        &self,
        engine: EngineId,
        ejected: bool,
        at_ms: Millis,
        from_peer: bool,
    ) -> bool {
        let (reply, reply_receiver) = oneshot::channel();
        let _ = self
            .priority
            .send(PriorityMessage::ManualEjection {
                engine,
                ejected,
                at_ms,
                from_peer,
                reply,
            })
            .await;
        reply_receiver.await.unwrap_or(false)
    }

    /// An id for a new request.
    pub fn next_id(&self) -> RequestId {
        // The counter orders no other memory: distinct values are enough.
        self.next_request_id.fetch_add(1, Ordering::Relaxed)
    }

    /// The time on the clock of all deadlines, in Unix ms.
    pub fn now(&self) -> Millis {
        self.clock.now()
    }

    /// By how much the system's clock was stepped since the start, in ms.
    pub fn wall_clock_step_ms(&self) -> Millis {
        self.clock.wall_clock_step_ms()
    }

    /// Puts a message into the mailbox, and waits while it is full. The core never waits for its peers, so this
    /// cannot deadlock.
    pub async fn send(&self, message: CoreMessage) {
        let _ = self.mailbox.send(message).await;
    }

    /// Puts a message into the mailbox without waiting; false where it is full.
    pub fn try_send(&self, message: CoreMessage) -> bool {
        self.mailbox.try_send(message).is_ok()
    }

    /// Reserves a slot in the mailbox, for a message that must reach the core at the same time as other peers.
    pub async fn reserve(&self) -> Option<mpsc::Permit<'_, CoreMessage>> {
        self.mailbox.reserve().await.ok()
    }

    /// Sets the time at which the process ends, in Unix ms.
    pub async fn set_shutdown_deadline(&self, deadline_ms: Millis) {
        let _ = self
            .priority
            .send(PriorityMessage::ShutdownDeadline(deadline_ms))
            .await;
    }

    /// Sets the divisor of the engines' capacity: more than 1 while a peer process shares them.
    pub async fn set_peer_processes(&self, capacity_divisor: f64) {
        let _ = self
            .priority
            .send(PriorityMessage::PeerProcesses(capacity_divisor))
            .await;
    }
}

/// Runs the core until its mailbox closes.
pub async fn run<E: EnginePort>(mut core: Core<E>, mailbox: Mailbox, clock: Clock) {
    let Mailbox {
        mut messages,
        mut priority_messages,
    } = mailbox;
    core.start(clock.now());
    loop {
        let next_timer = core.next_timer().unwrap_or_else(|| clock.now() + 1000.0);
        tokio::select! {
            biased;
            // On-call staff wait for a second at most, and the mailbox may stay full under load.
            Some(message) = priority_messages.recv() => core.handle_priority(clock.now(), message),
            message = messages.recv() => match message {
                Some(message) => core.handle(clock.now(), message),
                None => return,
            },
            () = sleep_until(clock.instant_at(next_timer)) => {}
        }
        core.run_due_timers(clock.now());
    }
}
