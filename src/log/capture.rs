//! Captures the log events of one thread, for tests.

use super::subscriber;
use crate::operator_config::text::{LogFormat, LogLevel, LogTable};
use std::io::{self, Write};
use std::sync::{Arc, Mutex};
use tracing::subscriber::DefaultGuard;

/// The captured lines of all events, in place of standard error.
#[derive(Clone, Default)]
struct Output(Arc<Mutex<Vec<u8>>>);

impl Write for Output {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().expect("output").extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Captures the log events of the current thread until it is dropped.
pub(crate) struct LogCapture {
    output: Output,
    _subscriber: DefaultGuard,
    /// Keeps a second subscriber alive. With only one, a log call that the thread of another test
    /// reaches first is disabled for all threads.
    _second_subscriber: tracing::Dispatch,
}

impl LogCapture {
    /// Starts to capture events of this level or higher, in this format.
    pub(crate) fn new(level: LogLevel, format: LogFormat) -> LogCapture {
        let output = Output::default();
        let writer = output.clone();
        let second_subscriber = tracing_subscriber::fmt().with_writer(io::sink).finish();
        let second_subscriber = tracing::Dispatch::new(second_subscriber);
        let subscriber = subscriber(&LogTable { level, format }, move || writer.clone());
        LogCapture {
            output,
            _subscriber: tracing::subscriber::set_default(subscriber),
            _second_subscriber: second_subscriber,
        }
    }

    /// Returns all lines captured so far.
    pub(crate) fn text(&self) -> String {
        String::from_utf8(self.output.0.lock().expect("output").clone()).expect("UTF-8")
    }

    /// Returns all events with this message captured so far. The format must be JSON.
    pub(crate) fn events(&self, message: &str) -> Vec<serde_json::Value> {
        self.text()
            .lines()
            .map(|line| serde_json::from_str(line).expect("one JSON object a line"))
            .filter(|event: &serde_json::Value| event["message"] == message)
            .collect()
    }
}
