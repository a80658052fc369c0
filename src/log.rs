//! The program's log: `tracing` events with fields, each written as one line to standard error.
//!
//! All modules log with the macros of `tracing`. The message describes the event, and the fields
//! identify its subject (`id`, `engine`, `attempt`, `class`, ...). The operators' file sets the
//! lowest level that is logged (`[log] level`):
//!
//! - `error`: the program ends or cannot do its work. This level cannot be turned off.
//! - `warn`: something failed and the program continues, for example when a configuration is
//!   rejected.
//! - `info`: changes during operation, for example the served address or new settings. The default.
//! - `debug`: one line for each decision about a request.
//!
//! Events about a single request have level `debug` or below. At the default level such an event
//! therefore costs only one load of the global level filter. Two kinds of lines are not log events
//! and are printed at every level: errors before the log is set up, and the counters on SIGUSR1 and
//! at exit.

use crate::operator_config::text::{LogFormat, LogLevel, LogTable};
use std::fmt;
use std::io;
use tracing::level_filters::LevelFilter;
use tracing::{Event, Subscriber};
use tracing_subscriber::fmt::MakeWriter;
use tracing_subscriber::fmt::format::{self, FormatEvent, FormatFields, Full, Writer};
use tracing_subscriber::fmt::{FmtContext, Subscriber as FmtSubscriber};
use tracing_subscriber::registry::LookupSpan;

/// Prefix of each operational line in the text format.
const LINE_PREFIX: &str = "workload-manager: ";

/// The crate's name, with which the targets of its own events begin.
const OWN_TARGET: &str = "workload_manager";

/// Why the log cannot be set up.
#[derive(Debug, thiserror::Error)]
pub enum LogError {
    /// A global subscriber has already been set.
    #[error("cannot set up the log: {0}")]
    AlreadySet(#[from] tracing::subscriber::SetGlobalDefaultError),
}

/// Sets up the log for the rest of the process. Returns an error if a log is already set up.
pub fn init(log: &LogTable) -> Result<(), LogError> {
    let subscriber = subscriber(log, io::stderr);
    Ok(tracing::subscriber::set_global_default(subscriber)?)
}

/// Returns bytes from a client as the text of a log field. Invalid UTF-8 is replaced.
pub fn lossy_text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// Creates a subscriber with the level and format from the operators' file.
fn subscriber<W>(log: &LogTable, writer: W) -> Box<dyn Subscriber + Send + Sync>
where
    W: for<'writer> MakeWriter<'writer> + Send + Sync + 'static,
{
    let builder = FmtSubscriber::builder()
        .with_writer(writer)
        .with_max_level(level_filter(log.level))
        .with_ansi(false);
    match log.format {
        LogFormat::Text => Box::new(builder.event_format(TextEventFormat::default()).finish()),
        LogFormat::Json => Box::new(
            builder
                .json()
                .flatten_event(true)
                .with_current_span(false)
                .finish(),
        ),
    }
}

fn level_filter(level: LogLevel) -> LevelFilter {
    match level {
        LogLevel::Error => LevelFilter::ERROR,
        LogLevel::Warn => LevelFilter::WARN,
        LogLevel::Info => LevelFilter::INFO,
        LogLevel::Debug => LevelFilter::DEBUG,
        LogLevel::Trace => LevelFilter::TRACE,
    }
}

/// The text format. The program's own events of level `info` or higher become operational lines,
/// `workload-manager: MESSAGE key=value ...`. The lines of all other events begin with their level.
struct TextEventFormat {
    format_with_level: format::Format<Full, ()>,
}

impl Default for TextEventFormat {
    fn default() -> Self {
        TextEventFormat {
            format_with_level: format::format().without_time().with_target(false),
        }
    }
}

impl<S, N> FormatEvent<S, N> for TextEventFormat
where
    S: Subscriber + for<'span> LookupSpan<'span>,
    N: for<'writer> FormatFields<'writer> + 'static,
{
    fn format_event(
        &self,
        context: &FmtContext<'_, S, N>,
        mut writer: Writer<'_>,
        event: &Event<'_>,
    ) -> fmt::Result {
        if !is_operational(event.metadata()) {
            return self.format_with_level.format_event(context, writer, event);
        }
        writer.write_str(LINE_PREFIX)?;
        context
            .field_format()
            .format_fields(writer.by_ref(), event)?;
        writeln!(writer)
    }
}

/// Returns whether an event comes from the program itself and has level `info` or higher. On-call
/// staff read these events.
fn is_operational(metadata: &tracing::Metadata<'_>) -> bool {
    let target = metadata.target();
    let is_own = target
        .strip_prefix(OWN_TARGET)
        .is_some_and(|rest| rest.is_empty() || rest.starts_with("::"));
    is_own && *metadata.level() <= tracing::Level::INFO
}

#[cfg(test)]
pub(crate) mod capture;

#[cfg(test)]
mod tests;
