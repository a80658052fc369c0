//! Tests of the log's levels and formats.

use super::capture::LogCapture;
use crate::operator_config::text::{LogFormat, LogLevel};
use rstest::rstest;
use tracing::{debug, error, info, warn};

fn captured_text(level: LogLevel, format: LogFormat, log_events: impl FnOnce()) -> String {
    let log = LogCapture::new(level, format);
    log_events();
    log.text()
}

#[test]
fn own_events_from_info_up_are_prefixed_lines_in_text_format() {
    let text = captured_text(LogLevel::Info, LogFormat::Text, || {
        info!("manager-1 serves on 127.0.0.1:1");
        info!(engine = %"s-1", state = "down", "engine changed state");
        warn!(reason = %"line 3", "settings rejected");
        error!("no longer receives signals");
    });
    let expected = "workload-manager: manager-1 serves on 127.0.0.1:1\n\
        workload-manager: engine changed state engine=s-1 state=\"down\"\n\
        workload-manager: settings rejected reason=line 3\n\
        workload-manager: no longer receives signals\n";
    assert_eq!(text, expected);
}

#[test]
fn debug_lines_begin_with_their_level_in_text_format() {
    let text = captured_text(LogLevel::Debug, LogFormat::Text, || {
        debug!(id = 7, "attempt started");
    });
    assert_eq!(text, "DEBUG attempt started id=7\n");
}

#[test]
fn events_of_other_crates_begin_with_their_level_in_text_format() {
    let text = captured_text(LogLevel::Info, LogFormat::Text, || {
        info!(target: "workload_manager_client", "connected");
        info!(target: "h2::proto", "connected");
    });
    assert_eq!(text, " INFO connected\n INFO connected\n");
}

#[test]
fn operational_lines_are_objects_in_json_format() {
    let text = captured_text(LogLevel::Info, LogFormat::Json, || {
        info!(ordinal = 2, "new settings in force");
    });
    let line: serde_json::Value = serde_json::from_str(&text).expect("one JSON object");
    assert_eq!(line["level"], "INFO");
    assert_eq!(line["message"], "new settings in force");
    assert_eq!(line["ordinal"], 2);
}

#[rstest]
#[case(LogLevel::Error, 1)]
#[case(LogLevel::Warn, 2)]
#[case(LogLevel::Info, 3)]
#[case(LogLevel::Debug, 4)]
#[case(LogLevel::Trace, 4)]
fn a_level_includes_all_more_severe_levels(#[case] level: LogLevel, #[case] lines: usize) {
    let text = captured_text(level, LogFormat::Text, || {
        error!("at error");
        warn!("at warn");
        info!("at info");
        debug!("at debug");
    });
    assert_eq!(text.lines().count(), lines, "{text}");
}
