//! What all engines' actors share, and the orders that an actor takes.

use super::slots::Slots;
use crate::core::{AttemptEvent, AttemptRequest, CoreMessage, Handle};
use crate::decision::{EngineId, EngineState, LoadReport, RequestId};
use crate::limits::{Limits, MemoryPool};
use crate::metrics::Metrics;
use std::sync::Arc;

/// What all engines' actors share.
#[derive(Clone)]
pub(crate) struct EngineContext {
    pub(crate) core: Handle,
    pub(crate) limits: Arc<Limits>,
    pub(crate) metrics: Arc<Metrics>,
    /// Whether the engines speak Flight SQL and not lines.
    pub(crate) flight: bool,
    /// Memory for results that are not complete yet.
    pub(crate) held: Arc<MemoryPool>,
    /// Descriptors of connections to engines.
    pub(crate) slots: Arc<Slots>,
}

impl EngineContext {
    pub(crate) fn new(
        core: Handle,
        limits: Arc<Limits>,
        metrics: Arc<Metrics>,
        flight: bool,
    ) -> EngineContext {
        let slots = Slots::new(limits.clone(), metrics.clone());
        EngineContext {
            core,
            limits,
            metrics,
            flight,
            held: Arc::default(),
            slots,
        }
    }

    /// Tells the core news of an attempt.
    pub(crate) async fn tell(
        &self,
        engine: EngineId,
        (id, attempt): (RequestId, u16),
        report: LoadReport,
        news: AttemptEvent,
    ) {
        self.core
            .send(CoreMessage::Attempt {
                engine,
                id,
                attempt,
                load_report: report,
                event: news,
            })
            .await;
    }

    /// Tells the core the end of an attempt about which its engine reported nothing.
    pub(crate) async fn tell_end(
        &self,
        engine: EngineId,
        ask: &AttemptRequest,
        news: AttemptEvent,
    ) {
        self.tell(engine, (ask.id, ask.attempt), LoadReport::default(), news)
            .await;
    }
}

#[cfg(test)]
impl EngineContext {
    /// One for tests of engines' actors.
    pub(crate) fn for_tests(core: Handle) -> EngineContext {
        EngineContext::with_sockets(core, 256)
    }

    /// The same with so many descriptors.
    pub(crate) fn with_sockets(core: Handle, sockets: usize) -> EngineContext {
        let limits = Arc::new(Limits::new(
            sockets,
            32,
            true,
            &EngineContext::settings_for_tests(),
        ));
        EngineContext::new(core, limits, Arc::default(), false)
    }

    /// Settings with one class.
    pub(crate) fn settings_for_tests() -> crate::settings_json::PlatformSettings {
        let text = r#"{"nInstances":1,"classes":[{"name":"a","effect":"repeatable","promiseMs":5000,"giveUpMs":15000}],
            "guarantees":{"coldMs":1,"coldShare":0.3,"overloadForMs":1,"tipMultiple":3},
            "limits":{"attemptsCap":6},"shapes":["std-8c"],"specifics":{"sizeCores":[8]}}"#;
        crate::settings_json::parse(text.as_bytes()).expect("settings")
    }
}

/// What an engine's actor is told.
#[derive(Clone, Debug)]
pub(crate) enum Order {
    /// Boxed, as a mailbox has room for some orders from the start.
    Ask(Box<AttemptRequest>),
    /// Given up; and whether another attempt may follow.
    Quit(RequestId, u16, bool),
    Priority(RequestId, u16, u8),
    /// What the list says of the engine.
    Listed(EngineState),
    /// Staff took it out, or gave it back.
    Banned,
}
