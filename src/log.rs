//! The program's log: `tracing` events with fields, written to standard error, one line each.
//!
//! Every module logs with the macros of `tracing`: the message says what happened, the fields name what it happened
//! to (`id`, `engine`, `attempt`, `class`, ...). The levels are those of `[log] level` in the operators' file:
//!
//! - `error`: the program cannot do its work, or ends. The least that an operator can ask for.
//! - `warn`: something failed and the program goes on, as with a configuration that is rejected.
//! - `info`: what changes during operation, as the address served or new settings in force. The usual level.
//! - `debug`: one line for each decision about a request.
//!
//! No event on the path of a request stands above `debug`, so at the usual level such an event costs one load of the
//! global bound on levels. Two kinds of lines are no events and come at every level: errors before the log is set up,
//! and the counters that are printed on SIGUSR1 and at exit.

use crate::operator_config::text::{LogFormat, LogLevel, LogTable};
use std::fmt;
use std::io;
use tracing::level_filters::LevelFilter;
use tracing::{Event, Subscriber};
use tracing_subscriber::fmt::MakeWriter;
use tracing_subscriber::fmt::format::{self, FormatEvent, FormatFields, Full, Writer};
use tracing_subscriber::fmt::{FmtContext, Subscriber as FmtSubscriber};
use tracing_subscriber::registry::LookupSpan;

/// Begins each operational line in text form.
const LINE_PREFIX: &str = "workload-manager: ";

/// The crate's name as it begins the target of its events.
const OWN_TARGET: &str = "workload_manager";

/// Why the log cannot be set up.
#[derive(Debug, thiserror::Error)]
pub enum LogError {
    /// A global subscriber stands already.
    #[error("cannot set up the log: {0}")]
    AlreadySet(#[from] tracing::subscriber::SetGlobalDefaultError),
}

/// Sets up the log for the life of the process. Errors: a log was set up already.
pub fn init(log: &LogTable) -> Result<(), LogError> {
    let subscriber = subscriber(log, io::stderr);
    Ok(tracing::subscriber::set_global_default(subscriber)?)
}

/// A request's or client's own bytes as a field's value; what is not UTF-8 in them is replaced.
pub fn lossy_text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// A subscriber with the operators' level and format.
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

/// The text form. The program's own events from `info` up are operational lines, `workload-manager: MESSAGE
/// key=value ...`; all others begin with their level.
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

/// Whether an event is one of the program's own at a level that on-call staff read.
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
