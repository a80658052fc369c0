//! The core's actor: one task that passes the messages of its mailbox to the core and runs the
//! core's timers.

use super::{Core, CoreMessage, EnginePort, PriorityMessage};
use crate::decision::{EngineId, Millis, RequestId};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep_until};

/// A clock of Unix time that never goes back. It reads the system's clock once, at the start, and
/// then follows the monotonic clock.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start_unix_ms: Millis,
    start: Instant,
}

impl Clock {
    /// Creates a clock from the current time of the system's clock.
    pub fn new() -> Clock {
        Clock {
            start_unix_ms: system_unix_ms(),
            start: Instant::now(),
        }
    }

    /// The current Unix time in ms.
    pub fn now(&self) -> Millis {
        self.start_unix_ms + self.start.elapsed().as_secs_f64() * 1000.0
    }

    /// How far the system's clock is ahead of this one, in ms. This is the sum of the wall clock
    /// steps since the start; it is negative if the system's clock was set back.
    pub fn wall_clock_step_ms(&self) -> Millis {
        system_unix_ms() - self.now()
    }

    fn instant_at(&self, at_ms: Millis) -> Instant {
        let after_start_ms = (at_ms - self.start_unix_ms).clamp(0.0, 1e12);
        self.start + Duration::from_micros((after_start_ms * 1000.0).ceil() as u64)
    }
}

/// The current time of the system's clock, in Unix ms.
fn system_unix_ms() -> Millis {
    let unix = SystemTime::now().duration_since(UNIX_EPOCH);
    unix.unwrap_or_default().as_secs_f64() * 1000.0
}

impl Default for Clock {
    fn default() -> Self {
        Clock::new()
    }
}

/// Maximum number of priority messages that wait for the core.
const PRIORITY_MAILBOX_SIZE: usize = 16;

/// The receiving end of the core's mailbox.
pub struct Mailbox {
    messages: mpsc::Receiver<CoreMessage>,
    priority_messages: mpsc::Receiver<PriorityMessage>,
}

impl Mailbox {
    /// The next ordinary message, for callers that run a core without [`run`]; `None` once every
    /// [`Handle`] is dropped.
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
    /// Creates a mailbox for `size` messages and a small one for priority messages. The receiving
    /// end is passed to [`run`].
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

    /// Ejects an engine manually or returns it to service, ahead of the messages in the mailbox.
    /// `at_ms` is when the command was given, in Unix ms. Returns false if the engine is not known
    /// or too many engines are ejected. An ejection that a peer process forwards (`from_peer`)
    /// applies to an engine that is not known too.
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

    /// Returns an id for a new request.
    pub fn next_id(&self) -> RequestId {
        // Relaxed ordering: the ids only have to be distinct; the counter guards no other memory.
        self.next_request_id.fetch_add(1, Ordering::Relaxed)
    }

    /// The current time on the clock that all deadlines refer to, in Unix ms.
    pub fn now(&self) -> Millis {
        self.clock.now()
    }

    /// The sum of the wall clock steps since the start, in ms; see [`Clock::wall_clock_step_ms`].
    pub fn wall_clock_step_ms(&self) -> Millis {
        self.clock.wall_clock_step_ms()
    }

    /// Puts a message into the mailbox, and waits while it is full. The core never waits for other
    /// actors, so this cannot deadlock.
    pub async fn send(&self, message: CoreMessage) {
        let _ = self.mailbox.send(message).await;
    }

    /// Puts a message into the mailbox without waiting. Returns false if it is full or closed.
    pub fn try_send(&self, message: CoreMessage) -> bool {
        self.mailbox.try_send(message).is_ok()
    }

    /// Notifies the core that the clients of these requests have disconnected, for callers that
    /// cannot wait, as in a drop.
    pub(crate) fn notify_disconnects(&self, ids: Vec<RequestId>) {
        let mut ids = ids.into_iter();
        let Some(unsent) = ids.find(|id| !self.try_send(CoreMessage::ClientDisconnected(*id)))
        else {
            return;
        };
        // The mailbox is full, so a task waits for space in it. If there is no runtime, the program
        // is ending and the core has already ended.
        if let Ok(runtime) = tokio::runtime::Handle::try_current() {
            let core = self.clone();
            runtime.spawn(async move {
                for id in std::iter::once(unsent).chain(ids) {
                    core.send(CoreMessage::ClientDisconnected(id)).await;
                }
            });
        }
    }

    /// Reserves a slot in the mailbox, for a message that must reach the core at the same time as
    /// it reaches other actors.
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
            // Priority messages come first: on-call staff wait for one second at most, and the
            // mailbox may stay full under load.
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
