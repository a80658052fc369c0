//! The configuration of the front ends that operators may enable.

use super::ConfigError;
use serde::Deserialize;
use std::io;
use std::net::SocketAddr;
use std::path::Path;

/// The configuration of the optional front ends. They are disabled unless a file enables them.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OptionalFrontEnds {
    /// The Arrow Flight SQL front end.
    pub flight: Option<FlightFrontEndConfig>,
    /// The SNMP agent, which serves the metrics.
    pub snmp: Option<SnmpAgentConfig>,
}

/// The Arrow Flight SQL front end.
#[derive(Clone, Debug, Deserialize, schemars::JsonSchema)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "FlightFront")]
pub struct FlightFrontEndConfig {
    /// The loopback address and port at which it listens.
    pub listen: String,
    /// The protocol of the engines in the endpoint list.
    #[serde(default)]
    pub engines: EngineProtocol,
}

/// The protocol of the engines in the endpoint list.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq, schemars::JsonSchema)]
#[serde(rename_all = "lowercase")]
#[schemars(rename = "Speech")]
pub enum EngineProtocol {
    /// The platform's line protocol.
    #[default]
    Lines,
    /// Arrow Flight SQL.
    Flight,
}

/// The SNMP agent.
#[derive(Clone, Debug, Deserialize, schemars::JsonSchema)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "Agent")]
pub struct SnmpAgentConfig {
    /// The loopback address and port at which it listens.
    pub listen: String,
    /// The community string that grants read access.
    pub community: String,
}

impl OptionalFrontEnds {
    /// Reads the configuration file. If it does not exist, both front ends are off.
    ///
    /// # Errors
    ///
    /// The file cannot be read, or is not TOML of this format.
    pub fn load(path: &Path) -> Result<OptionalFrontEnds, ConfigError> {
        let text = match std::fs::read_to_string(path) {
            Ok(text) => text,
            Err(error) if error.kind() == io::ErrorKind::NotFound => {
                return Ok(OptionalFrontEnds::default());
            }
            Err(source) => {
                return Err(ConfigError::FrontEndsUnreadable {
                    path: path.to_owned(),
                    source,
                });
            }
        };
        toml::from_str(&text).map_err(|error| ConfigError::FrontEndsMalformed {
            path: path.to_owned(),
            source: Box::new(error),
        })
    }
}

/// Parses the listen address of a front end, which must be a loopback address.
///
/// # Errors
///
/// The text is not an IP address and port, or the address is not a loopback address.
pub fn parse_loopback_address(
    text: &str,
    front_end: &'static str,
) -> Result<SocketAddr, ConfigError> {
    let owned_text = || text.to_owned();
    let address: SocketAddr = text
        .parse()
        .map_err(|_| ConfigError::InvalidListenAddress {
            front_end,
            text: owned_text(),
        })?;
    if address.ip().is_loopback() {
        Ok(address)
    } else {
        Err(ConfigError::NotLoopback {
            front_end,
            text: owned_text(),
        })
    }
}
