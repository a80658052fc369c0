//! The commands of the admin address, parsed from the line of a call.

use crate::decision::EngineId;
use crate::node_config::parse_engine_id;
use std::str::FromStr;

/// One command.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum AdminCommand {
    /// `READY`: whether clients are to come.
    Ready,
    /// `STATS`: the figures.
    Stats,
    /// `POLICY CLASS [MEMBER]`: the retry policy for requests of a class, and of a member where one is named.
    Policy {
        class: String,
        member: Option<String>,
    },
    /// `DISABLE ID`: eject an engine.
    Disable(EngineId),
    /// `ENABLE ID`: end the ejection of an engine.
    Enable(EngineId),
    /// `DRAIN`: send clients away.
    Drain,
    /// `UNDRAIN`: accept clients again.
    Undrain,
}

/// Why a line is no command. The texts are part of the answer at the admin address.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum ParseCommandError {
    #[error("an empty line")]
    EmptyLine,
    #[error(
        "no such call: READY, STATS, POLICY CLASS [MEMBER], DISABLE ID, ENABLE ID, DRAIN, UNDRAIN"
    )]
    UnknownCommand,
    #[error("no engine has such an id")]
    InvalidEngineId,
}

impl FromStr for AdminCommand {
    type Err = ParseCommandError;

    fn from_str(line: &str) -> Result<AdminCommand, ParseCommandError> {
        let words: Vec<&str> = line.split_ascii_whitespace().collect();
        match words[..] {
            ["READY"] => Ok(AdminCommand::Ready),
            ["STATS"] => Ok(AdminCommand::Stats),
            ["POLICY", class] => Ok(policy_command(class, None)),
            ["POLICY", class, member] => Ok(policy_command(class, Some(member))),
            ["DISABLE", id] => parse_engine(id).map(AdminCommand::Disable),
            ["ENABLE", id] => parse_engine(id).map(AdminCommand::Enable),
            ["DRAIN"] => Ok(AdminCommand::Drain),
            ["UNDRAIN"] => Ok(AdminCommand::Undrain),
            [] => Err(ParseCommandError::EmptyLine),
            _ => Err(ParseCommandError::UnknownCommand),
        }
    }
}

fn policy_command(class: &str, member: Option<&str>) -> AdminCommand {
    AdminCommand::Policy {
        class: class.to_owned(),
        member: member.map(str::to_owned),
    }
}

fn parse_engine(id: &str) -> Result<EngineId, ParseCommandError> {
    parse_engine_id(id).ok_or(ParseCommandError::InvalidEngineId)
}
