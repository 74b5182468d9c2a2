//! Processes of a fleet: programs from the folder of the running program, signalled by process id.

use std::fs::File;
use std::net::TcpStream;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// A child process, or none if it wasn't started yet.
pub struct Process {
    child: Option<Child>,
}

/// A loopback address that nothing listens on.
///
/// Each test process has a loopback IP address of its own, derived from its process id, so that two processes
/// never choose the same address. The ports lie outside the system's ephemeral range. Connecting shows
/// whether a port is free: a trial listener would be inherited by processes that other threads fork
/// meanwhile, until they exec.
pub fn free_address() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    const FIRST_PORT: u64 = 10_000;
    const PORTS: u64 = 22_000;
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    loop {
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let port = FIRST_PORT + number % PORTS;
        // 127.0.0.0/16 is left to other programs.
        let address = format!("127.{}.{middle}.{low}:{port}", high + 1);
        if TcpStream::connect(&address).is_err() {
            return address;
        }
    }
}

/// Creates a temporary folder for journals and logs.
pub fn make_folder() -> PathBuf {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let folder = std::env::temp_dir().join(format!("dotterelspan-{}-{number}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a temporary folder can be made");
    folder
}

/// Path of a program that was built with this one; test binaries are in the subfolder `deps`.
fn program_path(name: &str) -> PathBuf {
    let own = std::env::current_exe().expect("a program knows where it is");
    let mut folder = own.parent().expect("a program is in a folder").to_owned();
    if folder.ends_with("deps") {
        folder.pop();
    }
    folder.join(name)
}

impl Process {
    /// A process that wasn't started yet.
    pub fn none() -> Self {
        Self { child: None }
    }

    fn start(folder: &Path, name: &str, mut command: Command) -> Self {
        let log = File::options()
            .create(true)
            .append(true)
            .open(folder.join(format!("{name}.log")));
        let log = log.expect("a log can be opened");
        let lines = log.try_clone().expect("a log's handle can be copied");
        let child = command.stdin(Stdio::null()).stdout(lines).stderr(log).spawn();
        Self {
            child: Some(child.expect("a program of this build can be started")),
        }
    }

    /// Starts a stand-in; its output is appended to `name.log` in the folder.
    pub fn stand_in(folder: &Path, name: &str, arguments: &[&str]) -> Self {
        let mut command = Command::new(program_path("stand-in"));
        command.args(arguments);
        Self::start(folder, name, command)
    }

    /// Starts an entry; its output is appended to `name.log` in the folder.
    pub fn entry(folder: &Path, name: &str, arguments: &[&str], shared_key: &str) -> Self {
        let mut command = Command::new(program_path("dotterelspan"));
        command.args(arguments).env("DOTTERELSPAN_SHARED_KEY", shared_key);
        Self::start(folder, name, command)
    }

    /// Whether a process was started, and neither killed nor waited for since.
    pub fn is_started(&self) -> bool {
        self.child.is_some()
    }

    /// The process id; zero if there is no process.
    pub fn id(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    fn signal(&self, signal: &str) {
        let Some(child) = &self.child else { return };
        let id = child.id().to_string();
        let status = Command::new("kill").args([signal, &id]).status();
        assert!(
            status.is_ok_and(|status| status.success()),
            "can't send signal {signal} to process {id}"
        );
    }

    /// Sends SIGKILL and reaps the process.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // Killing fails if the process has already exited.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends SIGTERM, which makes an entry shut down gracefully.
    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Sends SIGSTOP, which suspends the process.
    pub fn pause(&self) {
        self.signal("-STOP");
    }

    /// Sends SIGCONT, which resumes a suspended process.
    pub fn wake(&self) {
        self.signal("-CONT");
    }

    /// The exit status; `None` while the process runs or if there is none.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.as_mut()?.try_wait().ok()?
    }

    /// Waits for the process to exit, and reaps it; `None` if it still runs when the limit is over.
    pub async fn wait_for_exit(&mut self, limit: Duration) -> Option<ExitStatus> {
        let until = std::time::Instant::now() + limit;
        while std::time::Instant::now() < until {
            if let Some(status) = self.exit_status() {
                self.child = None;
                return Some(status);
            }
            async_std::task::sleep(Duration::from_millis(20)).await;
        }
        None
    }
}
