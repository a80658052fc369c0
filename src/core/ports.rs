//! What passes between the core and its peers: requests and answers, attempts and their news, orders of staff.

use crate::attempt::End;
use crate::config::{ListEvent, Listed};
use crate::interface::*;
use crate::settings::Named;
use bytes::Bytes;
use std::num::NonZeroU64;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use tokio::sync::{mpsc, oneshot};

/// In which form the pieces of a result stand.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Form {
    /// Rows as text: a tab between columns, a line feed after each row.
    Text,
    /// Arrow data as the Flight format frames it, one message a piece.
    Arrow,
}

/// What follows of a result that streams. A channel that closes without [`Flow::End`] is a result cut off.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Flow {
    /// The next piece.
    Piece(Bytes),
    /// All pieces have come.
    End,
}

/// What a statement is to its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Rows are wanted.
    Query,
    /// A count of changed rows is wanted.
    Update,
}

/// A result, in pieces that pass on unchanged.
#[derive(Debug)]
pub struct Body {
    /// Their form.
    pub form: Form,
    /// The pieces held.
    pub pieces: Vec<Bytes>,
    /// Further pieces of a result too large to hold.
    pub rest: Option<mpsc::Receiver<Flow>>,
}

impl Body {
    /// A result that is held whole.
    pub fn whole(form: Form, pieces: Vec<Bytes>) -> Body {
        Body {
            form,
            pieces,
            rest: None,
        }
    }
}

/// The final answer to a request.
#[derive(Debug)]
pub enum Answer {
    /// Served, with the result as the engine gave it.
    Served(Body),
    /// Refused: trying again is harmless. The client may come back after this many milliseconds, if any.
    Refused {
        /// Advice to stay away this long; 0 for none.
        hold_off_ms: Millis,
    },
    /// Failed; it may have run.
    Failed(Why),
}

/// Why a request failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Why {
    /// Its client's deadline.
    Deadline,
    /// Anything else: an engine's error, a lost attempt, a module that gave it up.
    Lost,
}

/// Where answers go: a client's connection, of whatever protocol.
pub trait ClientPort: Send + Sync {
    /// Takes the one final answer. It must not block; whether the client still is there is its own matter.
    fn answer(&self, id: RequestId, answer: Answer);
}

/// Names the requests of one key among all that keep order: a hash of the client's text, which any front may take.
/// Two texts with one hash run in turn as well, which keeps every rule. The hash is FNV-1a, so that the processes of an
/// upgrade, which may be of two builds, name a key alike.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OrderKey(NonZeroU64);

impl OrderKey {
    /// The key of this text.
    pub fn new(text: &[u8]) -> OrderKey {
        const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
        const PRIME: u64 = 0x0000_0100_0000_01b3;
        let hash = text.iter().fold(OFFSET_BASIS, |hash, byte| {
            (hash ^ u64::from(*byte)).wrapping_mul(PRIME)
        });
        OrderKey(NonZeroU64::new(hash).unwrap_or(NonZeroU64::MIN))
    }

    /// The module's form of it, in which 0 stands for a request without a key.
    pub fn get(self) -> u64 {
        self.0.get()
    }
}

/// A request as a front took it.
pub struct Taken {
    /// The id that the core's handle gave out.
    pub id: RequestId,
    /// The client's own name for it: passed to engines unchanged.
    pub name: Bytes,
    /// Its class.
    pub class: Arc<Named>,
    /// Unix time in ms at which the client gives up.
    pub due_ms: Millis,
    /// Estimated work over all threads.
    pub cost_ms: Option<f64>,
    /// Estimated memory in MB.
    pub memory_mb: Option<f64>,
    /// Its group of tables.
    pub dataset: u32,
    /// Its member's name; empty where the platform names none.
    pub member: Bytes,
    /// The front that it came over.
    pub front: crate::attempts::Front,
    /// The key by which engines tell a repeat of it, where its class may be repeated by key.
    pub idempotency_key: Option<Bytes>,
    /// The key whose requests run one at a time, where its class keeps order.
    pub order_key: Option<OrderKey>,
    /// The statement.
    pub statement: Bytes,
    /// What its client wants of it.
    pub kind: Kind,
    /// Where its answer goes.
    pub client: Arc<dyn ClientPort>,
}

/// Whether an attempt was given up: shared by the core and the actor that is to write the attempt, which reads it just
/// before. So a client that has left is heeded also where the order that says so waits in a mailbox, or found it full.
#[derive(Clone, Debug, Default)]
pub struct Cancellation(Arc<AtomicBool>);

impl Cancellation {
    /// The attempt is not to begin any more.
    pub fn cancel(&self) {
        self.0.store(true, Ordering::Relaxed);
    }

    /// Whether it is not to begin any more.
    pub fn is_cancelled(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// One attempt, for an engine.
#[derive(Clone, Debug)]
pub struct Ask {
    /// The core's id of the request.
    pub id: RequestId,
    /// Which attempt.
    pub attempt: u16,
    /// The client's name for the request.
    pub name: Bytes,
    /// Its class.
    pub class: Arc<Named>,
    /// Unix time in ms at which the attempt is over.
    pub due_ms: Millis,
    /// Unix time in ms from which it may not be written any more, as engines drop a repeat only for a while; infinite
    /// where it is none, or may be repeated at any time.
    pub until_ms: Millis,
    /// Memory to grant in MB; 0 for the engine's choice.
    pub memory_mb: f64,
    /// Priority, 0 to 3.
    pub priority: u8,
    /// See [`Taken::idempotency_key`].
    pub idempotency_key: Option<Bytes>,
    /// The statement.
    pub statement: Bytes,
    /// What its client wants of it.
    pub kind: Kind,
    /// Whether it was given up meanwhile.
    pub cancellation: Cancellation,
}

impl Ask {
    /// Why it may not be written any more, if so: it was given up, its request's time is over, or engines may have
    /// forgotten the attempt that it repeats. It never ran then.
    pub fn late(&self, now: Millis) -> Option<EngineNews> {
        if self.cancellation.is_cancelled() || now >= self.due_ms {
            return Some(EngineNews::GivenUp(End::Unsent));
        }
        (now >= self.until_ms).then(|| EngineNews::end(Outcome::Moot))
    }
}

/// Where attempts go: all engines, of whatever protocol. No call blocks.
pub trait EnginePort: Send {
    /// Starts an attempt; false where it provably was not sent.
    fn ask(&mut self, engine: EngineId, ask: Ask) -> bool;
    /// Gives an attempt up. [`EngineNews::GivenUp`] comes back once that is proven, unless an end of its own does;
    /// given twice it is done once. Where another attempt may follow, `again`, the proof is that the engine has read it.
    fn quit(&mut self, engine: EngineId, id: RequestId, attempt: u16, again: bool);
    /// Names a new priority for an attempt that is out.
    fn priority(&mut self, engine: EngineId, id: RequestId, attempt: u16, priority: u8);
    /// What the list says of an engine: nothing new may go where it is not ready.
    fn listed(&mut self, line: &Listed);
    /// The list names it no longer.
    fn dropped(&mut self, engine: EngineId);
    /// Staff took it out, or gave it back: nothing new, not even what waits for a connection.
    fn banned(&mut self, engine: EngineId, out: bool);
}

/// What an engine's actor tells the core of an attempt.
#[derive(Debug)]
pub enum EngineNews {
    /// A running attempt's note, or a mere sign of life.
    Note(Option<Note>),
    /// The result outgrew what is held and streams to the client from now on.
    Streaming(Body),
    /// What was given up is proven over.
    GivenUp(End),
    /// The end of an attempt.
    Ended {
        /// How.
        outcome: Outcome,
        /// The work it needed, where told.
        billed_ms: Option<f64>,
        /// The memory it needed in MB, where told.
        billed_mb: Option<f64>,
        /// The result, where it ended well and did not stream.
        body: Option<Body>,
    },
}

impl EngineNews {
    /// An end that brings neither a result nor figures.
    pub fn end(outcome: Outcome) -> EngineNews {
        EngineNews::Ended {
            outcome,
            billed_ms: None,
            billed_mb: None,
            body: None,
        }
    }
}

/// What comes into the core's mailbox.
pub enum Input {
    /// A client's request.
    Take(Taken),
    /// The client of a request left or no longer waits.
    Left(RequestId),
    /// News of an attempt.
    Engine {
        /// Which engine.
        engine: EngineId,
        /// Which request.
        id: RequestId,
        /// Which attempt.
        attempt: u16,
        /// The engine's load report, if one came along.
        report: LoadReport,
        /// The news.
        news: EngineNews,
    },
    /// An event of the list.
    List(ListEvent),
    /// New settings and policy of attempts, swapped together: in the mailbox's order, so that what came under the
    /// old ones is taken under them.
    Settings {
        /// The platform's settings, where they changed.
        settings: Option<Box<Settings>>,
        /// The operators' policy of attempts.
        policy: Arc<crate::attempts::Policy>,
    },
}

/// What overtakes the mailbox.
pub enum Urgent {
    /// Another process of this workload manager works beside this one, or no longer; see [`Event::Beside`].
    Beside(f64),
    /// The process is ended at this Unix time in ms: what is not answered by then is lost.
    Ends(Millis),
    /// Staff take an engine out, or give it back.
    Ban {
        /// Which engine.
        engine: EngineId,
        /// Taken out, or given back.
        out: bool,
        /// Unix time in ms at which it was said.
        at: Millis,
        /// It was said elsewhere, and holds for an engine that is not known here too.
        told: bool,
        /// Whether it was known, once the module has it.
        done: oneshot::Sender<bool>,
    },
}
