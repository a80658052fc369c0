//! The sub-commands of `workload-manager` besides serving: `check`, `schema` and `explain`. Each returns what it prints
//! and its exit code, so that tests need no process.

use crate::node_config::NodeConfig;
use crate::operator_config::{self, Fault, Faults, PlatformConstraints};
use crate::retry_policy::{FrontendKind, RequestAttributes};
use std::path::Path;

/// What a command printed, and how it ends.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Done {
    /// 0 where all is well, 2 where the file or the call cannot be used.
    pub code: u8,
    /// Standard output.
    pub out: String,
    /// Standard error.
    pub err: String,
}

impl Done {
    fn refused(err: String) -> Done {
        Done {
            code: 2,
            out: String::new(),
            err,
        }
    }
}

/// What the settings of a platform's configuration tell; without one, nothing.
fn known(config: Option<&Path>) -> Result<Option<PlatformConstraints>, String> {
    config
        .map(|path| {
            NodeConfig::load(path)
                .map(|c| PlatformConstraints::from_settings(&c.settings))
                .map_err(|e| e.to_string())
        })
        .transpose()
}

fn shown(faults: &Faults, json: bool) -> String {
    if !json {
        return format!("{faults}\n");
    }
    let each = |f: &Fault| serde_json::json!({"file": faults.file, "line": f.line, "key": f.key, "what": f.problem, "mend": f.suggestion});
    let all: Vec<serde_json::Value> = faults.faults.iter().map(each).collect();
    format!("{}\n", serde_json::Value::Array(all))
}

/// `check [--config JSON] FILE`: the file alone, or held against the settings of the configuration as well.
pub fn check(config: Option<&Path>, path: &Path, json: bool) -> Done {
    let known = match known(config) {
        Ok(known) => known,
        Err(e) => return Done::refused(format!("workload-manager: {e}\n")),
    };
    let named = |all| Faults {
        file: path.display().to_string(),
        faults: all,
    };
    let source = match operator_config::read(path) {
        Ok(Some(source)) => source,
        Ok(None) => {
            return Done::refused(format!(
                "workload-manager: there is no file {}\n",
                path.display()
            ));
        }
        Err(fault) => return Done::refused(shown(&named(vec![fault]), json)),
    };
    let checked = operator_config::parse_and_check(&source, known.as_ref()).map(|_| ());
    match checked {
        Ok(()) => {
            let against = if known.is_some() {
                " and the settings"
            } else {
                "; the settings were not given"
            };
            Done {
                code: 0,
                out: format!("{}: sound in itself{against}\n", path.display()),
                err: String::new(),
            }
        }
        Err(all) => Done::refused(shown(&named(all), json)),
    }
}

/// `schema`: the JSON Schema of the file.
pub fn schema() -> Done {
    Done {
        code: 0,
        out: operator_config::schema(),
        err: String::new(),
    }
}

/// What `explain` is asked about.
#[derive(Clone, Debug, Default)]
pub struct Asked {
    /// A class by name.
    pub class: String,
    /// A member by name.
    pub member: Option<String>,
    /// `platform` or `flight`.
    pub front: Option<String>,
    /// A data set.
    pub data_set: Option<u32>,
}

/// `explain --config JSON FILE --class C ...`: the keys that hold for such a request, each with its table.
pub fn explain(config: &Path, path: &Path, asked: &Asked) -> Done {
    let known = match known(Some(config)) {
        Ok(Some(known)) => known,
        Ok(None) => unreachable!("a configuration was given"),
        Err(e) => return Done::refused(format!("workload-manager: {e}\n")),
    };
    let loaded = match operator_config::load(path, &known) {
        Ok(loaded) => loaded.unwrap_or_default(),
        Err(faults) => return Done::refused(shown(&faults, false)),
    };
    let Some(class) = known.classes.iter().position(|c| c.name == asked.class) else {
        return Done::refused(format!(
            "workload-manager: {:?} is no class of the settings\n",
            asked.class
        ));
    };
    let member = match &asked.member {
        None => usize::MAX,
        Some(name) => match known.members.iter().position(|m| m == name) {
            Some(at) => at,
            None => {
                return Done::refused(format!(
                    "workload-manager: {name:?} is no member of the settings\n"
                ));
            }
        },
    };
    let front = match asked.front.as_deref() {
        None | Some("platform") => FrontendKind::Platform,
        Some("flight") => FrontendKind::Flight,
        Some(other) => {
            return Done::refused(format!(
                "workload-manager: {other:?} is no front: platform or flight\n"
            ));
        }
    };
    let at = RequestAttributes {
        class,
        member,
        frontend: front,
        data_set: asked.data_set.unwrap_or(0),
    };
    let mut out = String::new();
    for source in loaded.policy.explain(&at) {
        out.push_str(&format!(
            "{:<20} {:<60} {}\n",
            source.key, source.value, source.from
        ));
    }
    Done {
        code: 0,
        out,
        err: String::new(),
    }
}
