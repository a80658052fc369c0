//! What the core is to do at a time: one heap for the module's timers, deadlines, and the looks at what is out.

use super::{Core, EnginePort, Millis, RequestId, Reverse};

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Alarm {
    Module(u64),
    Deadline(RequestId),
    /// Looks whether what is being given up is proven over.
    Quit(RequestId, u16),
    Silence(RequestId, u16),
    /// The back-off of an attempt is over.
    BackOff(RequestId, u16),
    /// An attempt has had the time that its policy gives it.
    AttemptDue(RequestId, u16),
    /// Looks whether leases on order keys are over, or can be had.
    Leases,
}

/// Alarms kept at most, for each request that is open and besides.
const ALARMS_EACH: usize = 8;
const ALARMS_SPARE: usize = 1024;

/// A point in time with a total order.
#[derive(Clone, Copy, PartialEq)]
pub(super) struct At(pub(super) Millis);

impl Eq for At {}

impl PartialOrd for At {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for At {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.0.total_cmp(&other.0)
    }
}

impl<E: EnginePort> Core<E> {
    pub(super) fn arm(&mut self, at: Millis, alarm: Alarm) {
        self.armed += 1;
        self.alarms.push(Reverse((At(at), self.armed, alarm)));
        // Guard: alarms of requests that are over wait for a time that may be far; many short requests would pile
        // them up. Each request has its deadline, and for the attempt that is out two more.
        if self.alarms.len() > ALARMS_SPARE + ALARMS_EACH * self.requests.len() {
            let requests = &self.requests;
            self.alarms.retain(|Reverse((.., alarm))| match alarm {
                Alarm::Module(_) | Alarm::Leases => true,
                Alarm::Deadline(id) => requests.contains_key(id),
                Alarm::Quit(id, n) | Alarm::Silence(id, n) | Alarm::AttemptDue(id, n) => requests
                    .get(id)
                    .and_then(|r| r.history.out())
                    .is_some_and(|out| out.number == *n),
                Alarm::BackOff(id, n) => requests
                    .get(id)
                    .and_then(|r| r.waiting)
                    .is_some_and(|w| w.0 == *n),
            });
        }
    }
}
