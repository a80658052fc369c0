//! Holds the instances, passes each event to its instance's dispatcher, and encodes the
//! dispatcher's actions.

use crate::decode::{AnswerFormat, EngineLists, Record, code};
use crate::encode;
use crate::frame::{Batch, FrameError, Reply};
use std::collections::BTreeMap;
use workload_manager::settings_json::{self, ParseSettingsError};
use workload_manager::{Action, Dispatcher, Event, SettingsError};

/// Why an instance cannot start.
#[derive(Debug, thiserror::Error)]
enum StartError {
    /// The settings cannot be parsed.
    #[error(transparent)]
    Unreadable(#[from] ParseSettingsError),
    /// The dispatcher does not accept the settings.
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

/// All instances in this process, and the engine lists that they share.
#[derive(Default)]
pub(crate) struct Host {
    instances: BTreeMap<u16, Instance>,
    engine_lists: EngineLists,
}

impl Host {
    /// Passes the events of a batch to their instances, in order, and returns the encoded reply
    /// with the resulting actions.
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

    /// Starts an instance. It replaces an instance with the same number.
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

    /// Passes an event to its instance. The record is validated even if the instance is unknown.
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
