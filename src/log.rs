//! Structured logs, on tracing. The program's usual lines stay as they are, one `workload-manager: ...` line each on
//! standard error; the operators' file may ask for more (`[log] level = "debug"`: one line for each decision about
//! a request, with its ref, class, member, engine and attempt as fields) and for JSON lines. At the usual level
//! no event on the path of a request is enabled, which costs a load of the level's bound and no more.

use crate::operator_config::text::{Format, Level, LogText};
use tracing::level_filters::LevelFilter;

/// Sets up the log for the life of the process. Errors: a log was set up already.
pub fn init(log: &LogText) -> Result<(), String> {
    let level = match log.level {
        Level::Error => LevelFilter::ERROR,
        Level::Warn => LevelFilter::WARN,
        Level::Info => LevelFilter::INFO,
        Level::Debug => LevelFilter::DEBUG,
        Level::Trace => LevelFilter::TRACE,
    };
    let builder = tracing_subscriber::fmt()
        .with_writer(std::io::stderr)
        .with_max_level(level)
        .with_ansi(false);
    let done = match log.format {
        Format::Text => builder.without_time().with_target(false).try_init(),
        Format::Json => builder
            .json()
            .flatten_event(true)
            .with_current_span(false)
            .try_init(),
    };
    done.map_err(|e| format!("cannot set up the log: {e}"))
}

/// A request's name as its client gave it, for a log line.
pub fn name(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}
