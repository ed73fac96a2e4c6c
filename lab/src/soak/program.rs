//! A process of the program under test.

use {
    rustix::process::{Pid, Signal, kill_process},
    std::{
        fs::File,
        io,
        path::{Path, PathBuf},
        process::{ExitStatus, Stdio},
        time::Duration,
    },
    tokio::{
        process::{Child, Command},
        time::timeout,
    },
};

/// Variable that names the settings file.
const CONFIG_VARIABLE: &str = "PISTACHIOLANE_CONFIG";

/// A running process; killed when it is dropped.
#[derive(Debug)]
pub struct Program {
    child: Child,
}

/// The program in the directory of the one that runs.
pub fn sibling_program() -> PathBuf {
    let own = std::env::current_exe().unwrap_or_default();
    own.with_file_name("pistachiolane")
}

impl Program {
    /// Starts a node with a settings file; its log is written to a file.
    ///
    /// # Errors
    /// Fails when the log cannot be written or the program cannot be started.
    pub fn start(program: &Path, settings: &Path, log: &Path) -> io::Result<Self> {
        let log = File::create(log)?;
        let child = Command::new(program)
            .arg("node")
            .env(CONFIG_VARIABLE, settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone()?)
            .stdout(log)
            .kill_on_drop(true)
            .spawn()?;
        Ok(Self { child })
    }

    /// Sends a signal, unless the process has ended.
    ///
    /// # Errors
    /// Fails when the signal cannot be sent.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        // The process is waited for only by this value, so that its id is not another's.
        let pid = self.child.id().and_then(|id| Pid::from_raw(i32::try_from(id).ok()?));
        pid.map_or(Ok(()), |pid| Ok(kill_process(pid, signal)?))
    }

    /// Waits for the end of the process; `None` if it still runs after `limit`.
    ///
    /// # Errors
    /// Fails when the process cannot be waited for.
    pub async fn wait_for_exit(&mut self, limit: Duration) -> io::Result<Option<ExitStatus>> {
        timeout(limit, self.child.wait()).await.map_or(Ok(None), |ended| ended.map(Some))
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }
}
