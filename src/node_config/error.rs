//! Errors while a configuration is read.

use crate::settings_json::ParseSettingsError;
use std::io;
use std::path::PathBuf;
use thiserror::Error;

/// Why a configuration cannot be used.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The file cannot be read.
    #[error("cannot read the configuration {}: {source}", path.display())]
    Unreadable {
        /// The path of the file.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The file is not JSON of the expected format.
    #[error("configuration: {0}")]
    Malformed(#[from] serde_json::Error),
    /// The settings in the file are invalid.
    #[error(transparent)]
    Settings(#[from] ParseSettingsError),
    /// The seed is not a hexadecimal number of at most 64 bits.
    #[error("configuration: seed {0:?} is not a hexadecimal number of at most 64 bits")]
    InvalidSeed(String),
    /// The id of an engine in the known events is not `s-` and 8 hex digits.
    #[error("known events: engine id {0:?} is not \"s-\" and 8 hex digits")]
    InvalidEngineId(String),
    /// The file of front ends cannot be read.
    #[error("cannot read {}: {source}", path.display())]
    FrontEndsUnreadable {
        /// The path of the file.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The file of front ends is not TOML of the expected format.
    #[error("{}: {}", path.display(), source.message())]
    FrontEndsMalformed {
        /// The path of the file.
        path: PathBuf,
        /// The parser's message.
        source: Box<toml::de::Error>,
    },
    /// The listen address of a front end is not an IP address and port.
    #[error("{front_end}: listen address {text:?} is not an IP address and port")]
    InvalidListenAddress {
        /// The name of the front end, `flight` or `snmp`.
        front_end: &'static str,
        /// The value in the file.
        text: String,
    },
    /// The listen address of a front end is not a loopback address.
    #[error("{front_end}: listen address {text} is not a loopback address")]
    NotLoopback {
        /// The name of the front end, `flight` or `snmp`.
        front_end: &'static str,
        /// The value in the file.
        text: String,
    },
    /// The value of an environment variable is not an IP address and port.
    #[error("{variable} {value:?} is not an IP address and port")]
    EnvironmentAddress {
        /// The variable's name.
        variable: &'static str,
        /// Its value.
        value: String,
    },
    /// `NODE_LISTEN_FD` is not the number of a descriptor above 2, which is standard error.
    #[error("NODE_LISTEN_FD {0:?} is not a descriptor above 2")]
    EnvironmentDescriptor(String),
}
