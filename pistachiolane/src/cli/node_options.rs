//! Options of a node process, read from flags, the environment and the settings file.

use {
    super::{Adapter, args::NodeArgs},
    crate::settings::{DerivedSettings, ProcessSettings, SettingsFile, SettingsSource},
    log::LevelFilter,
    std::path::PathBuf,
};

/// Environment variable with the path of the settings file.
const CONFIG_VARIABLE: &str = "PISTACHIOLANE_CONFIG";

/// Environment variable of the log level.
const LOG_LEVEL_VARIABLE: &str = "PISTACHIOLANE_LOG_LEVEL";

/// Options of a node process.
#[derive(Debug)]
pub struct NodeOptions {
    /// Settings of the node.
    pub settings: ProcessSettings,
    /// Log level.
    pub log_level: LevelFilter,
    /// Values that were skipped, each with the reason.
    pub skipped: Vec<String>,
}

impl NodeOptions {
    /// Logs the values that were skipped.
    pub fn log_skipped(&self) {
        for reason in &self.skipped {
            log::warn!(target: "node", "setting skipped: {reason}");
        }
    }
}

/// Returns the path of the settings file, if one is configured.
pub fn settings_file_path(args: &NodeArgs) -> Option<PathBuf> {
    let path = args.config.clone().or_else(|| std::env::var(CONFIG_VARIABLE).ok());
    path.filter(|p| !p.is_empty()).map(PathBuf::from)
}

/// Reads all options. Flags take precedence over the environment, and the environment over the file.
///
/// # Errors
/// Returns all faults at once.
pub fn read(args: &NodeArgs, adapter: &Adapter) -> Result<NodeOptions, Vec<String>> {
    let file = match settings_file_path(args) {
        Some(path) => SettingsFile::read(&path).map_err(|e| vec![format!("--config: {e}")])?,
        None => SettingsFile::default(),
    };
    let env = |name: &str| std::env::var(name).ok().or_else(|| file.get(name));
    let DerivedSettings { values, skipped } = (adapter.derive_settings)(&env);
    let derived = |name: &str| values.iter().find(|(n, _)| *n == name).map(|(_, v)| v.clone());
    let flag = |name: &str| args.flag(name);
    let source = SettingsSource { flag: &flag, env: &env, derived: &derived };
    let log_level = flag("log-level").or_else(|| env(LOG_LEVEL_VARIABLE));
    let log_level = log_level.map_or(Some(LevelFilter::Info), |l| l.parse().ok());
    match (ProcessSettings::new(&source), log_level) {
        (Ok(settings), Some(log_level)) => Ok(NodeOptions { settings, log_level, skipped }),
        (settings, log_level) => {
            let mut faults = settings.err().map(|e| e.faults).unwrap_or_default();
            if log_level.is_none() {
                faults.push("--log-level: expected error, warn, info, debug or trace".to_owned());
            }
            Err(faults)
        }
    }
}
