//! The table of instances: it hands events to their dispatchers, and frames the dispatchers' actions.

use crate::decode::{AnswerFormat, EngineLists, Record, code};
use crate::encode;
use crate::frame::{Batch, FrameError, Reply};
use std::collections::BTreeMap;
use workload_manager::settings_json::{self, ParseSettingsError};
use workload_manager::{Action, Dispatcher, Event, SettingsError};

/// Why an instance cannot start.
#[derive(Debug, thiserror::Error)]
enum StartError {
    /// Its settings cannot be read.
    #[error(transparent)]
    Unreadable(#[from] ParseSettingsError),
    /// Its settings cannot be used.
    #[error(transparent)]
    Unusable(#[from] SettingsError),
}

/// One simulated workload manager.
struct Instance {
    dispatcher: Dispatcher,
    answer_format: AnswerFormat,
}

impl Instance {
    fn new(settings: &[u8], seed: u64) -> Result<Self, StartError> {
        let platform = settings_json::parse(settings)?;
        let dispatcher = Dispatcher::new(platform.settings, seed)?;
        Ok(Instance {
            dispatcher,
            answer_format: AnswerFormat {
                load_report_fields: platform.load_report_fields,
                reports_work: platform.answers_report_work,
            },
        })
    }
}

/// All instances of this process.
#[derive(Default)]
pub(crate) struct Host {
    instances: BTreeMap<u16, Instance>,
    engine_lists: EngineLists,
}

impl Host {
    /// Hands a batch's events to their instances, in order, and frames their actions.
    pub(crate) fn answer(&mut self, batch: &Batch) -> Result<Vec<u8>, FrameError> {
        let mut reply = Reply::default();
        let mut actions = Vec::new();
        for index in 0..batch.record_count {
            let record = Record::new(batch, index);
            match record.code() {
                code::ENGINE_LIST => {
                    let (number, entries) = record.engine_list()?;
                    self.engine_lists.insert(number, entries);
                }
                code::START_INSTANCE => self.start_instance(record, &mut reply, &mut actions)?,
                code::STOP_INSTANCE => {
                    self.instances.remove(&record.instance());
                }
                _ => self.handle_event(record, &mut actions)?,
            }
            for action in actions.drain(..) {
                encode::action(&mut reply, record.instance(), &action);
            }
        }
        Ok(reply.into_bytes(batch.number))
    }

    /// Starts an instance in place of one of the same number.
    fn start_instance(
        &mut self,
        record: Record<'_>,
        reply: &mut Reply,
        actions: &mut Vec<Action>,
    ) -> Result<(), FrameError> {
        let number = record.instance();
        self.instances.remove(&number);
        match Instance::new(record.settings()?, record.fields.u64(3)) {
            Ok(mut instance) => {
                let clock_ms = record.batch.clock_ms;
                instance
                    .dispatcher
                    .handle(clock_ms, Event::Started, actions);
                self.instances.insert(number, instance);
            }
            Err(error) => encode::settings_error(reply, number, &error.to_string()),
        }
        Ok(())
    }

    /// Hands an event to its instance. The record of an unknown instance is checked all the same.
    fn handle_event(
        &mut self,
        record: Record<'_>,
        actions: &mut Vec<Action>,
    ) -> Result<(), FrameError> {
        match self.instances.get_mut(&record.instance()) {
            Some(instance) => {
                let event = record.event(&self.engine_lists, &instance.answer_format)?;
                let clock_ms = record.batch.clock_ms;
                instance.dispatcher.handle(clock_ms, event, actions);
            }
            None => {
                record.event(&self.engine_lists, &AnswerFormat::default())?;
            }
        }
        Ok(())
    }
}
