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

/// Environment variable with the path of the settings file.
const CONFIG_VARIABLE: &str = "PISTACHIOLANE_CONFIG";

/// A child process, which is killed on drop.
#[derive(Debug)]
pub struct Program {
    child: Child,
}

/// Returns the path of the program under test, in the directory of the running executable.
pub fn sibling_program() -> PathBuf {
    let executable = std::env::current_exe().unwrap_or_default();
    executable.with_file_name("pistachiolane")
}

impl Program {
    /// Starts a node with a settings file; stdout and stderr go to the log file.
    ///
    /// # Errors
    /// Fails when the log file cannot be created or the program cannot be started.
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

    /// Sends a signal, unless the exit of the process was observed.
    ///
    /// # Errors
    /// Fails when the signal cannot be sent.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        // Only this value waits for the child, so its id can't have been reused by another process.
        self.id().map_or(Ok(()), |pid| Ok(kill_process(pid, signal)?))
    }

    /// Returns the id of the process; `None` if its exit was observed.
    pub fn id(&self) -> Option<Pid> {
        self.child.id().and_then(|id| Pid::from_raw(i32::try_from(id).ok()?))
    }

    /// Waits for the exit of the process; returns `None` if it is still running after `limit`.
    ///
    /// # Errors
    /// Fails when the process cannot be waited for.
    pub async fn wait_for_exit(&mut self, limit: Duration) -> io::Result<Option<ExitStatus>> {
        timeout(limit, self.child.wait()).await.map_or(Ok(None), |status| status.map(Some))
    }

    /// Whether the process has exited.
    pub fn has_exited(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }
}
