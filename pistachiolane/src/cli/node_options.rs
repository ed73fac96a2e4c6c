//! The options of a node's process, read from flags, the environment and the settings file.

use {
    super::{Adapter, args::NodeArgs},
    crate::settings::{DerivedSettings, ProcessSettings, SettingsFile, SettingsSource},
    log::LevelFilter,
    std::path::PathBuf,
};

/// Environment variable that names the settings file.
const CONFIG_VARIABLE: &str = "PISTACHIOLANE_CONFIG";

/// Environment variable of the log level.
const LOG_LEVEL_VARIABLE: &str = "PISTACHIOLANE_LOG_LEVEL";

/// Options of a node's process.
#[derive(Debug)]
pub struct NodeOptions {
    /// Settings of the node.
    pub settings: ProcessSettings,
    /// Log level.
    pub level: LevelFilter,
    /// What was given and not used, and why.
    pub skipped: Vec<String>,
}

impl NodeOptions {
    /// Logs what was given and not used.
    pub fn log_skipped(&self) {
        for why in &self.skipped {
            log::warn!(target: "node", "setting skipped: {why}");
        }
    }
}

/// Path of the settings file, if there is one.
pub fn file_path(args: &NodeArgs) -> Option<PathBuf> {
    let named = args.config.clone().or_else(|| std::env::var(CONFIG_VARIABLE).ok());
    named.filter(|p| !p.is_empty()).map(PathBuf::from)
}

/// Reads all options; flags win over the environment, and the environment over the file.
///
/// # Errors
/// Gives every fault at once.
pub fn read(args: &NodeArgs, adapter: &Adapter) -> Result<NodeOptions, Vec<String>> {
    let file = match file_path(args) {
        Some(path) => SettingsFile::read(&path).map_err(|e| vec![format!("--config: {e}")])?,
        None => SettingsFile::default(),
    };
    let env = |name: &str| std::env::var(name).ok().or_else(|| file.get(name));
    let DerivedSettings { values, skipped } = (adapter.derive_settings)(&env);
    let derived = |name: &str| values.iter().find(|(n, _)| *n == name).map(|(_, v)| v.clone());
    let flag = |name: &str| args.flag(name);
    let source = SettingsSource { flag: &flag, env: &env, derived: &derived };
    let level = flag("log-level").or_else(|| env(LOG_LEVEL_VARIABLE));
    let level = level.map_or(Some(LevelFilter::Info), |l| l.parse().ok());
    match (ProcessSettings::new(&source), level) {
        (Ok(settings), Some(level)) => Ok(NodeOptions { settings, level, skipped }),
        (settings, level) => {
            let mut faults = settings.err().map(|e| e.faults).unwrap_or_default();
            if level.is_none() {
                faults.push("--log-level: expected error, warn, info, debug or trace".to_owned());
            }
            Err(faults)
        }
    }
}
