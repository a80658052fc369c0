//! Parses the commands of the admin address from the line of a call.

use crate::decision::EngineId;
use crate::node_config::parse_engine_id;
use std::str::FromStr;

/// A command of the admin address.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum AdminCommand {
    /// `READY`: return whether the workload manager is ready for new clients.
    Ready,
    /// `STATS`: return the figures.
    Stats,
    /// `POLICY CLASS [MEMBER]`: return the retry policy for requests of a class, or for those of
    /// one member in this class.
    Policy {
        class: String,
        member: Option<String>,
    },
    /// `DISABLE ID`: eject an engine manually.
    Disable(EngineId),
    /// `ENABLE ID`: end the manual ejection of an engine.
    Enable(EngineId),
    /// `DRAIN`: drain the client connections. Each one that has sent a call is closed as soon as it
    /// has no open request.
    Drain,
    /// `UNDRAIN`: end the draining, so that clients may connect again.
    Undrain,
}

/// Why a line is not a valid command. The error texts are part of the answer that is sent.
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
