//! A VM of the product in a process of its own.

use std::{
    fs::File,
    io,
    path::{
        Path,
        PathBuf, //
    },
    process::{
        Child,
        Command,
        Stdio, //
    },
};

use nix::{
    sys::signal::{
        kill,
        Signal, //
    },
    unistd::Pid, //
};
use serde_json::Value;

use crate::ports;

/// A VM process, which is killed when this value is dropped.
#[derive(Debug)]
pub struct VmProcess {
    program: PathBuf,
    settings: PathBuf,
    log: Option<PathBuf>,
    child: Option<Child>,
}

impl VmProcess {
    /// Writes the settings file `settings` and starts a program with it. Its log is appended to the file `log`, if one
    /// is given.
    ///
    /// # Errors
    ///
    /// Returns the error of a file or of the start.
    pub fn start(
        program: &Path,
        settings: &Path,
        values: &Value,
        log: Option<&Path>,
    ) -> io::Result<VmProcess> {
        std::fs::write(settings, values.to_string())?;
        let mut process = VmProcess {
            program: program.into(),
            settings: settings.into(),
            log: log.map(Into::into),
            child: None,
        };
        process.restart()?;
        Ok(process)
    }

    /// Starts the program again after its end.
    ///
    /// # Errors
    ///
    /// As [`VmProcess::start`].
    pub fn restart(&mut self) -> io::Result<()> {
        self.kill();
        let output = match &self.log {
            Some(path) => File::options().create(true).append(true).open(path)?.into(),
            None => Stdio::null(),
        };
        let mut command = Command::new(&self.program);
        command.arg("--settings").arg(&self.settings).stdout(output);
        self.child = Some(ports::spawn(&mut command)?);
        Ok(())
    }

    /// Returns whether the process runs.
    pub fn is_running(&mut self) -> bool {
        let status = self.child.as_mut().map(Child::try_wait);
        matches!(status, Some(Ok(None)))
    }

    /// Returns the id of the process.
    ///
    /// # Panics
    ///
    /// Panics when the process doesn't exist.
    pub fn id(&self) -> u32 {
        self.child
            .as_ref()
            .expect("a process that was started")
            .id()
    }

    /// Sends a signal to the process.
    ///
    /// # Panics
    ///
    /// Panics when the process doesn't exist.
    pub fn signal(&self, signal: Signal) {
        let child = self.child.as_ref().expect("a process that was started");
        let id = i32::try_from(child.id()).expect("a process id");
        kill(Pid::from_raw(id), signal).expect("a signal to a child");
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // Errors are ignored: the process may have exited already.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for VmProcess {
    fn drop(&mut self) {
        self.kill();
        // An error leaves a file in the folder for temporary files.
        let _ = std::fs::remove_file(&self.settings);
    }
}
