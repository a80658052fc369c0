//! Manual ejections: on-call staff, or the peer process of a hot restart, take an engine out of
//! service or return it.

use super::{Core, EnginePort, Event, Millis};
use crate::decision::EngineId;

/// A command to eject an engine or to return it to service.
pub(super) struct EjectionCommand {
    pub(super) engine: EngineId,
    pub(super) ejected: bool,
    /// When it was given, in Unix ms.
    pub(super) at_ms: Millis,
    /// Whether a peer process forwards the command. The engine need not be known here then.
    pub(super) from_peer: bool,
}

impl<E: EnginePort> Core<E> {
    /// Applies a command. Returns whether the engine is known and the command could be recorded.
    pub(super) fn apply_manual_ejection(&mut self, now: Millis, command: &EjectionCommand) -> bool {
        let &EjectionCommand {
            engine,
            ejected,
            from_peer,
            ..
        } = command;
        let ejections = self.dispatcher.manual_ejections();
        let already_ejected = ejections.contains(&engine);
        let known = already_ejected || self.roster.is_listed(engine) || from_peer && ejected;
        // The number of ejections is limited, because engines that are not listed can be ejected
        // too.
        let within_limit = !ejected || already_ejected || ejections.len() < self.limits.engines;
        let accepted = known && within_limit;
        if accepted || from_peer && !ejected {
            self.set_manual_ejection(now, command);
        }
        accepted
    }

    fn set_manual_ejection(&mut self, now: Millis, command: &EjectionCommand) {
        let &EjectionCommand {
            engine,
            ejected,
            at_ms,
            ..
        } = command;
        // A peer's time may be in the future if the wall clock was stepped back. A slow start
        // begins now at the latest.
        let at_ms = at_ms.min(now);
        self.notify_dispatcher(
            now,
            Event::ManualEjection {
                engine,
                ejected,
                at_ms,
            },
        );
        if !ejected {
            self.roster.reset_slow_start(engine, at_ms);
        }
        self.engines.set_manually_ejected(engine, ejected);
        let ejected_engines = self.dispatcher.ejected_engines();
        self.metrics.engines_ejected.set(ejected_engines);
    }
}
