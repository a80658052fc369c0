//! Errors of the configuration.

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
        /// The file.
        path: PathBuf,
        /// What the system reported.
        source: io::Error,
    },
    /// The file is not JSON of the expected form.
    #[error("configuration: {0}")]
    Malformed(#[from] serde_json::Error),
    /// The settings in the file cannot be used.
    #[error(transparent)]
    Settings(#[from] ParseSettingsError),
    /// The seed is not a hexadecimal number of 64 bits.
    #[error("configuration: seed {0:?} is not 16 hex digits")]
    InvalidSeed(String),
    /// An engine of the known events has an id of another form than `s-` and 8 hex digits.
    #[error("known events: engine id {0:?}")]
    InvalidEngineId(String),
    /// The file of front ends cannot be read.
    #[error("cannot read {}: {source}", path.display())]
    FrontEndsUnreadable {
        /// The file.
        path: PathBuf,
        /// What the system reported.
        source: io::Error,
    },
    /// The file of front ends is not TOML of the expected form.
    #[error("{}: {}", path.display(), source.message())]
    FrontEndsMalformed {
        /// The file.
        path: PathBuf,
        /// The parser's message.
        source: Box<toml::de::Error>,
    },
    /// The address of a front end is no address.
    #[error("{front_end}: listen address {text:?} is not an address and port")]
    InvalidListenAddress {
        /// `flight` or `snmp`.
        front_end: &'static str,
        /// The value in the file.
        text: String,
    },
    /// The address of a front end is not on loopback.
    #[error("{front_end}: listen address {text} is not a loopback address")]
    NotLoopback {
        /// `flight` or `snmp`.
        front_end: &'static str,
        /// The value in the file.
        text: String,
    },
    /// An environment variable that holds an address has another value.
    #[error("{variable} {value:?} is not an address")]
    EnvironmentAddress {
        /// The variable's name.
        variable: &'static str,
        /// Its value.
        value: String,
    },
    /// `NODE_LISTEN_FD` is not the number of a descriptor above standard error.
    #[error("NODE_LISTEN_FD {0:?} is not a descriptor")]
    EnvironmentDescriptor(String),
}
