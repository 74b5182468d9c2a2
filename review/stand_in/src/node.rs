//! One machine of the system: its settings file and its process, started as the deploy file says.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use crate::http::exchange;
use crate::record::Record;

/// Ports of the addresses in the settings, the same on all machines.
const FRONTEND_PORT: u16 = 8144;
const READY_PORT: u16 = 8140;
const CONTROL_PORT: u16 = 8146;
const DIRECTORY_PORT: u16 = 8143;
const METRICS_PORT: u16 = 9464;

static NODES: AtomicU32 = AtomicU32::new(0);

pub struct Node {
    pub name: String,
    ip: Ipv4Addr,
    store: SocketAddr,
    folder: PathBuf,
    record: Record,
    child: Option<Child>,
}

impl Node {
    /// Chooses a loopback address of its own for a machine, whose process is not started yet.
    pub fn new(name: &str, store: SocketAddr, folder: &std::path::Path, record: &Record) -> Self {
        let process = std::process::id();
        let ip = (0..100)
            .map(|_| {
                let number = process * 7 + NODES.fetch_add(1, Ordering::Relaxed);
                Ipv4Addr::new(
                    127,
                    (20 + number / 62_500 % 200) as u8,
                    (number / 250 % 250) as u8,
                    (number % 250 + 2) as u8,
                )
            })
            .find(|ip| {
                let ports = [
                    FRONTEND_PORT,
                    READY_PORT,
                    CONTROL_PORT,
                    DIRECTORY_PORT,
                    METRICS_PORT,
                ];
                ports.iter().all(|port| TcpListener::bind((*ip, *port)).is_ok())
            });
        Self {
            name: name.to_owned(),
            ip: ip.expect("a loopback address with free ports"),
            store,
            folder: folder.to_owned(),
            record: record.clone(),
            child: None,
        }
    }

    fn address(&self, port: u16) -> SocketAddr {
        SocketAddr::from((self.ip, port))
    }

    pub fn frontend(&self) -> SocketAddr {
        self.address(FRONTEND_PORT)
    }

    pub fn control(&self) -> SocketAddr {
        self.address(CONTROL_PORT)
    }

    fn settings_path(&self) -> PathBuf {
        self.folder.join(format!("{}.toml", self.name))
    }

    /// Writes the settings file as the platform does, with the figures of a small installation.
    pub fn write_settings(&self, seeds: &[SocketAddr], bootstrap: bool) {
        let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        let (name, ip, store, seeds) = (&self.name, self.ip, self.store, seeds.join(","));
        let text = format!(
            "nodeName = \"{name}\"\nrole = \"gateway\"\ninstanceClass = \"front\"\n\
             serves = [\"front\",\"directory\",\"control\"]\nip = \"{ip}\"\nzone = \"asahikawa\"\n\
             region = \"dohoku\"\ninternalPorts = [7660,7675]\nseeds = [{seeds}]\nbootstrap = {bootstrap}\n\
             inTolerance = false\ndiscovery = \"platform\"\nentry = \"directory\"\nheartbeatMs = 1200\n\
             contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"split\",\"stream\",\"engine\",\"platform\"]\n\
             [zones]\nasahikawa = \"dohoku\"\n\
             [listen]\nfrontend = \"{ip}:{FRONTEND_PORT}\"\nready = \"{ip}:{READY_PORT}\"\n\
             control = \"{ip}:{CONTROL_PORT}\"\ndirectory = \"{ip}:{DIRECTORY_PORT}\"\n\
             [limits]\ncpuShare = 0.17\ncores = 1\nmemoryMb = 96\nmaxFds = 2870\nlinkMbps = 700.0\ndiskMb = 0\n\
             [faultTolerance]\nmachines = 1\nzones = 0\nregions = 0\n\
             [contractParams]\nseedStalenessS = 3\naddrReuseS = 2\nstableWindowMs = 3000\nackMs = 4000\n\
             syncS = 4\ndrainMs = 2000\ngraceS = 8\nlossSlackMs = 200\nconfigApplyMs = 2000\n\
             rollbackSlackMs = 250\nmaxSkewMs = 5000\nretryBudgetRatio = 0.2\nretryWindowS = 10\n\
             budgetSlack = 135\nrecoveryS = 12\ntransitMs = 120\nretryAfterS = 5.9\nrequireFencing = false\n\
             leaseMs = 3000\nthawMs = 300\nttl_max_s = 5\n\
             [platform]\naddress = \"{store}\"\nform = \"read\"\nwritesPerS = 400\nreadsPerS = 2000\n\
             historyS = 20\nvalueBytes = 1048576\nttlMinMs = 1000\n"
        );
        std::fs::write(self.settings_path(), text).expect("the settings can be written");
    }

    /// Starts the process in the repository's root.
    pub fn start(&mut self) {
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{}.log", self.name)))
            .expect("a log can be opened");
        let child = Command::new("target/release/dotterelspan")
            .arg("gateway")
            .env("DOTTERELSPAN_SETTINGS", self.settings_path())
            .env("MALLOC_ARENA_MAX", "1")
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::null())
            .spawn()
            .expect("target/release/dotterelspan can be started");
        self.record
            .line(&format!("{}: process {} started", self.name, child.id()));
        self.child = Some(child);
    }

    pub fn wait_ready(&self) {
        let until = Instant::now() + Duration::from_secs(15);
        while self.readiness() != 200 {
            assert!(Instant::now() < until, "{} is not ready in time", self.name);
            std::thread::sleep(Duration::from_millis(50));
        }
        self.record.line(&format!("{}: ready", self.name));
    }

    fn readiness(&self) -> u16 {
        let head = "GET /readiness HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
        let answer = exchange(self.address(READY_PORT), head, b"", Duration::from_secs(1));
        answer.map_or(0, |answer| answer.status())
    }

    /// Resident memory of the process, in kilobytes; zero if it does not run.
    pub fn memory_kb(&self) -> u64 {
        let id = self.child.as_ref().map_or(0, Child::id);
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let text = line.and_then(|line| line.trim().strip_suffix("kB"));
        text.and_then(|text| text.trim().parse().ok()).unwrap_or_default()
    }

    /// Sends a signal to the process by its id.
    pub fn signal(&self, name: &str) {
        let Some(child) = &self.child else {
            return;
        };
        self.record.line(&format!("{}: signal {name}", self.name));
        let _ = Command::new("kill")
            .arg(format!("-{name}"))
            .arg(child.id().to_string())
            .status();
    }

    /// Waits until the process has exited, and kills it after the grace of the settings.
    pub fn wait_exit(&mut self, grace: Duration) {
        let until = Instant::now() + grace;
        if let Some(mut child) = self.child.take() {
            while child.try_wait().expect("a child of ours").is_none() {
                if Instant::now() >= until {
                    let _ = child.kill();
                }
                std::thread::sleep(Duration::from_millis(20));
            }
        }
        self.record.line(&format!("{}: process ended", self.name));
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
