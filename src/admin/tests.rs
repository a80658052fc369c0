//! Tests of parsing commands and formatting answers. Calls on real connections are tested in
//! `tests/scenarios/admin_address.rs`.

use super::answer::{AdminAnswer, AdminError};
use super::command::{AdminCommand, ParseCommandError};
use crate::node_config::parse_engine_id;
use crate::retry_policy::EffectiveValue;
use rstest::rstest;

#[rstest]
#[case::plain("READY", AdminCommand::Ready)]
#[case::white_space_around("  STATS\r", AdminCommand::Stats)]
#[case::class_alone("POLICY a", AdminCommand::Policy { class: "a".to_owned(), member: None })]
#[case::class_and_member(
    "POLICY a b",
    AdminCommand::Policy { class: "a".to_owned(), member: Some("b".to_owned()) }
)]
#[case::drain("DRAIN", AdminCommand::Drain)]
#[case::undrain("UNDRAIN", AdminCommand::Undrain)]
fn complete_lines_are_parsed(#[case] line: &str, #[case] command: AdminCommand) {
    assert_eq!(line.parse(), Ok(command));
}

#[test]
fn engine_ids_are_parsed_as_in_the_endpoint_list() {
    let engine = parse_engine_id("s-00c41f7a").expect("a valid engine id");
    let parsed = ["DISABLE s-00c41f7a", "ENABLE s-00c41f7a"].map(str::parse);
    let expected = [AdminCommand::Disable(engine), AdminCommand::Enable(engine)];
    assert_eq!(parsed, expected.map(Ok));
}

#[rstest]
#[case::empty("", ParseCommandError::EmptyLine)]
#[case::blank(" \t", ParseCommandError::EmptyLine)]
#[case::lower_case("ready", ParseCommandError::UnknownCommand)]
#[case::one_word_too_many("READY now", ParseCommandError::UnknownCommand)]
#[case::no_class("POLICY", ParseCommandError::UnknownCommand)]
#[case::no_id("DISABLE", ParseCommandError::UnknownCommand)]
#[case::short_id("DISABLE s-1", ParseCommandError::InvalidEngineId)]
fn invalid_lines_are_rejected_with_the_cause(#[case] line: &str, #[case] error: ParseCommandError) {
    assert_eq!(line.parse::<AdminCommand>(), Err(error));
}

#[test]
fn answers_have_the_documented_text() {
    let figures = AdminAnswer::Figures("node.loads=0\n".to_owned());
    assert_eq!(figures.to_string(), "node.loads=0\nEOF\n");
    let value = EffectiveValue {
        key: "timeout_ms",
        value: "9000".to_owned(),
        source: "default".to_owned(),
    };
    let policy = AdminAnswer::Policy(vec![value]).to_string();
    let expected = "200 keys of attempts, their values and tables\ntimeout_ms 9000 default\nEOF\n";
    assert_eq!(policy, expected);
    assert_eq!(AdminAnswer::Ready.to_string(), "200 ready\n");
    assert_eq!(AdminError::NotReady.to_line(), "400 not ready\n");
    let empty = AdminError::from(ParseCommandError::EmptyLine);
    assert_eq!(empty.to_line(), "400 an empty line\n");
}
