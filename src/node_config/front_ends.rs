//! The front ends that operators may turn on.

use super::ConfigError;
use serde::Deserialize;
use std::io;
use std::net::SocketAddr;
use std::path::Path;

/// The front ends that are off unless a file under `deploy/` turns them on.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OptionalFronts {
    /// Arrow Flight SQL.
    pub flight: Option<FlightFrontConfig>,
    /// The SNMP agent.
    pub snmp: Option<SnmpAgentConfig>,
}

/// The Flight SQL front.
#[derive(Clone, Debug, Deserialize, schemars::JsonSchema)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "FlightFront")]
pub struct FlightFrontConfig {
    /// Where it listens.
    pub listen: String,
    /// What the engines of the list speak.
    #[serde(default)]
    pub engines: EngineProtocol,
}

/// What the engines of a list speak.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq, schemars::JsonSchema)]
#[serde(rename_all = "lowercase")]
#[schemars(rename = "Speech")]
pub enum EngineProtocol {
    /// The platform's lines.
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
    /// Where it listens.
    pub listen: String,
    /// The community that may read.
    pub community: String,
}

impl OptionalFronts {
    /// Reads the file; where there is none, both are off.
    ///
    /// # Errors
    ///
    /// The file cannot be read, or is not TOML of this form.
    pub fn load(path: &Path) -> Result<OptionalFronts, ConfigError> {
        let text = match std::fs::read_to_string(path) {
            Ok(text) => text,
            Err(error) if error.kind() == io::ErrorKind::NotFound => {
                return Ok(OptionalFronts::default());
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

/// The listen address of a front end, which has to be on loopback.
///
/// # Errors
///
/// The text is no address, or the address is not on loopback.
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
