//! A child process that prints the addresses it listens on.

use std::ffi::OsStr;
use std::io::{BufRead, BufReader};
use std::path::Path;
use std::process::{Child, ChildStdout, Command, Stdio};
use std::sync::mpsc;
use std::time::{Duration, Instant};

use banyannotch::http::{Client, ClientSettings};
use banyannotch::pipeline::Address;
use serde_json::Value;

use super::{HarnessError, Result, wait_for};

/// Timeout from the start of a process to the last expected `listening` line.
const START_TIMEOUT: Duration = Duration::from_secs(10);

/// Timeout of a control request, in milliseconds.
const CONTROL_TIMEOUT_MS: u64 = 5_000;

/// A listener that a process announced in a line `listening [name] <ip:port>`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Listener {
    /// Name of the listener; empty when the line has none.
    pub name: String,
    /// Address that it listens on.
    pub address: Address,
}

/// Kills the child when it is dropped, so that no process is left behind when [`Process`] fails to start.
#[derive(Debug)]
struct KillOnDrop(Child);

impl Drop for KillOnDrop {
    fn drop(&mut self) {
        // Both calls fail only if the process has already ended.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// A running child process. It is killed with SIGKILL when it is dropped.
#[derive(Debug)]
pub struct Process {
    child: KillOnDrop,
    address: Address,
    listeners: Vec<Listener>,
}

impl Process {
    /// Starts a binary and waits for a single `listening` line.
    ///
    /// # Errors
    /// Returns [`HarnessError`] when it does not start or prints no such line in time.
    pub fn start<S: AsRef<OsStr>>(binary: &Path, arguments: impl IntoIterator<Item = S>) -> Result<Self> {
        Self::start_listening(binary, arguments, 1)
    }

    /// Starts a binary and waits for the expected number of `listening` lines.
    ///
    /// # Errors
    /// Returns [`HarnessError`] when it does not start or prints fewer such lines in time.
    pub fn start_listening<S: AsRef<OsStr>>(
        binary: &Path,
        arguments: impl IntoIterator<Item = S>,
        expected: usize,
    ) -> Result<Self> {
        Self::start_logging(binary, arguments, expected, Stdio::inherit())
    }

    /// Starts a binary with its standard error directed to `log`, and waits for the expected number of
    /// `listening` lines.
    ///
    /// # Errors
    /// Returns [`HarnessError`] when it does not start or prints fewer such lines in time.
    pub fn start_logging<S: AsRef<OsStr>>(
        binary: &Path,
        arguments: impl IntoIterator<Item = S>,
        expected: usize,
        log: Stdio,
    ) -> Result<Self> {
        let start_error = |source| HarnessError::Start { binary: binary.to_owned(), source };
        let child = Command::new(binary)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log)
            .spawn()
            .map_err(start_error)?;
        let mut child = KillOnDrop(child);
        let lines = child.0.stdout.take().map(read_lines).transpose().map_err(start_error)?;
        let listeners = lines.map(|lines| wait_for_listeners(&lines, expected)).unwrap_or_default();
        match listeners.first().map(|listener| listener.address) {
            Some(address) if listeners.len() >= expected => Ok(Self { child, address, listeners }),
            _ => Err(HarnessError::NotListening {
                binary: binary.to_owned(),
                found: listeners.len(),
                expected,
                limit: START_TIMEOUT,
            }),
        }
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.0.id()
    }

    /// Returns the listeners that the process announced.
    pub fn listeners(&self) -> &[Listener] {
        &self.listeners
    }

    /// Returns the address of the first listener.
    pub fn address(&self) -> Address {
        self.address
    }

    /// Returns the address of a named listener.
    pub fn address_of(&self, name: &str) -> Option<Address> {
        self.listeners.iter().find(|listener| listener.name == name).map(|listener| listener.address)
    }

    /// Kills the process with SIGKILL and waits for it to exit.
    ///
    /// # Errors
    /// Returns [`HarnessError::Observe`] when the operating system refuses.
    pub fn kill(&mut self) -> Result<()> {
        let id = self.id();
        let observe = |source| HarnessError::Observe { id, source };
        self.child.0.kill().map_err(observe)?;
        self.child.0.wait().map_err(observe)?;
        Ok(())
    }

    /// Suspends the process with SIGSTOP; its connections stay open.
    ///
    /// # Errors
    /// Returns [`HarnessError::Signal`] when the signal cannot be sent.
    pub fn suspend(&self) -> Result<()> {
        self.signal("STOP")
    }

    /// Resumes the process with SIGCONT.
    ///
    /// # Errors
    /// Returns [`HarnessError::Signal`] when the signal cannot be sent.
    pub fn resume(&self) -> Result<()> {
        self.signal("CONT")
    }

    /// Requests an orderly stop with SIGTERM.
    ///
    /// # Errors
    /// Returns [`HarnessError::Signal`] when the signal cannot be sent.
    pub fn terminate(&self) -> Result<()> {
        self.signal("TERM")
    }

    /// Sends a signal with the `kill` command, because a direct system call would need unsafe code.
    fn signal(&self, signal: &'static str) -> Result<()> {
        let id = self.id();
        let error = |reason: String| HarnessError::Signal { signal, id, reason };
        let status = Command::new("kill")
            .args(["-s", signal, &id.to_string()])
            .status()
            .map_err(|source| error(source.to_string()))?;
        if status.success() { Ok(()) } else { Err(error(status.to_string())) }
    }

    /// Returns whether the process has ended.
    ///
    /// # Errors
    /// Returns [`HarnessError::Observe`] when the operating system refuses.
    pub fn has_ended(&mut self) -> Result<bool> {
        let id = self.id();
        let status = self.child.0.try_wait().map_err(|source| HarnessError::Observe { id, source })?;
        Ok(status.is_some())
    }

    /// Waits for the process to exit and returns its exit code, or `None` if a signal terminated it.
    ///
    /// # Errors
    /// Returns [`HarnessError::TimedOut`] when it does not end within the limit.
    pub async fn wait_exit(&mut self, limit: Duration) -> Result<Option<i32>> {
        let id = self.id();
        let child = &mut self.child.0;
        let status = wait_for(limit, async || child.try_wait().transpose()).await?;
        status.map(|status| status.code()).map_err(|source| HarnessError::Observe { id, source })
    }

    /// Changes the given faults of a stand-in, keeps the others, and returns all faults in effect.
    ///
    /// # Errors
    /// Returns [`HarnessError`] when there is no response, or when a fault is unknown.
    pub async fn set_faults(&self, faults: &Value) -> Result<Value> {
        self.post("/control/faults", faults).await
    }

    /// Posts JSON to the first listener.
    ///
    /// # Errors
    /// Returns [`HarnessError`] when there is no response or its status is not 200.
    pub async fn post(&self, path: &str, body: &Value) -> Result<Value> {
        let client = Client::new(ClientSettings::default());
        json_body(path, client.post(self.address(), path, body, CONTROL_TIMEOUT_MS).await)
    }

    /// Fetches JSON from the first listener.
    ///
    /// # Errors
    /// Returns [`HarnessError`] when there is no response or its status is not 200.
    pub async fn get(&self, path: &str) -> Result<Value> {
        let client = Client::new(ClientSettings::default());
        json_body(path, client.get(self.address(), path, CONTROL_TIMEOUT_MS).await)
    }
}

fn wait_for_listeners(lines: &mpsc::Receiver<String>, expected: usize) -> Vec<Listener> {
    let started = Instant::now();
    let mut listeners = Vec::new();
    while listeners.len() < expected {
        match lines.recv_timeout(START_TIMEOUT.saturating_sub(started.elapsed())) {
            Ok(line) => listeners.extend(parse_listener(&line)),
            Err(_) => break,
        }
    }
    listeners
}

/// Returns the JSON body of a response with status 200, and an error for any other result.
fn json_body(
    path: &str,
    answer: std::result::Result<banyannotch::http::Answer, banyannotch::http::CallError>,
) -> Result<Value> {
    let control = |source| HarnessError::Control { path: path.to_owned(), source };
    let answer = answer.map_err(control)?;
    if answer.status != 200 {
        let body = String::from_utf8_lossy(&answer.body).into_owned();
        return Err(HarnessError::ControlStatus { path: path.to_owned(), status: answer.status, body });
    }
    answer.json().map_err(control)
}

/// Reads lines on a separate thread until the pipe is closed, so that a full pipe never blocks the child.
fn read_lines(output: ChildStdout) -> std::io::Result<mpsc::Receiver<String>> {
    let (sender, receiver) = mpsc::channel();
    std::thread::Builder::new().name("child-output".to_owned()).spawn(move || {
        for line in BufReader::new(output).lines().map_while(std::result::Result::ok) {
            // The receiver is dropped after the last expected line; later lines are discarded.
            let _ = sender.send(line);
        }
    })?;
    Ok(receiver)
}

/// Parses a line `listening [name] <ip:port>`.
pub(super) fn parse_listener(line: &str) -> Option<Listener> {
    let words: Vec<&str> = line.split_whitespace().collect();
    let (name, address) = match words.as_slice() {
        ["listening", address] => ("", address),
        ["listening", name, address] => (*name, address),
        _ => return None,
    };
    Some(Listener { name: name.to_owned(), address: address.parse().ok()? })
}
