//! A real server process with its settings file.

use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::path::Path;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::mpsc::channel;
use std::time::Duration;

use rustix::process::Pid;
use rustix::process::Signal;
use rustix::process::kill_process;

/// Longest time until a process tells its addresses.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// A process that is killed when it is dropped.
#[derive(Debug)]
pub struct ServerProcess {
    child: Child,
    /// Where it takes control calls.
    pub control: SocketAddr,
    /// Where it takes requests.
    pub data: SocketAddr,
}

impl ServerProcess {
    /// Starts a process with the given settings and waits until it listens.
    ///
    /// # Panics
    /// Panics if it does not start.
    #[must_use]
    pub fn start(binary: &Path, settings: &Path) -> Self {
        let mut child = Command::new(binary)
            .arg("run")
            .arg(settings)
            .stderr(Stdio::piped())
            .spawn()
            .expect("the binary can be run");
        let errors = BufReader::new(child.stderr.take().expect("a pipe"));
        let (sender, receiver) = channel();
        std::thread::spawn(move || {
            // The pipe is read to its end, so that the process never waits for room in it.
            for line in errors.lines().map_while(Result::ok) {
                if let Some(addresses) = parse_addresses(&line) {
                    let _ = sender.send(addresses);
                }
            }
        });
        let (data, control) = receiver.recv_timeout(START_TIMEOUT).expect("the process listens");
        Self { child, control, data }
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) {
        if let Some(pid) = Pid::from_raw(self.child.id().cast_signed()) {
            // A process that has ended needs no signal.
            let _ = kill_process(pid, signal);
        }
    }

    /// Waits until the process has ended and tells whether it succeeded.
    ///
    /// # Panics
    /// Panics if the process cannot be waited for.
    #[must_use]
    pub fn wait(&mut self) -> bool {
        self.child.wait().expect("the process can be waited for").success()
    }

    /// Returns what the process's descriptors stand for.
    #[must_use]
    pub fn descriptors(&self) -> Vec<String> {
        let folder = format!("/proc/{}/fd", self.child.id());
        let Ok(entries) = std::fs::read_dir(folder) else { return Vec::new() };
        let links = entries.filter_map(|entry| std::fs::read_link(entry.ok()?.path()).ok());
        links.map(|link| link.to_string_lossy().into_owned()).collect()
    }
}

impl Drop for ServerProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Finds the addresses in a line of the log.
fn parse_addresses(line: &str) -> Option<(SocketAddr, SocketAddr)> {
    let rest = line.split_once("listening data=")?.1;
    let (data, rest) = rest.split_once(" control=")?;
    let end = rest.find(|letter: char| !letter.is_ascii_digit() && letter != '.' && letter != ':');
    let control = &rest[..end.unwrap_or(rest.len())];
    Some((data.parse().ok()?, control.parse().ok()?))
}
