//! One gateway process with the settings of a small deployment.

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::store::Store;
use crate::wire::Reader;

/// Memory of the node's machine, in MB.
pub const MEMORY_MB: usize = 96;

pub struct Node {
    pub callers: SocketAddr,
    ready: SocketAddr,
    process: Child,
    folder: PathBuf,
}

impl Node {
    /// Starts a node alone on a loopback address of its own.
    pub fn start(store: &Store, name: &str, ip: &str) -> Self {
        Self::start_among(store, name, ip, free_ports(ip), &[ip])
    }

    /// Starts a node on a loopback address of its own; the first node of each of the addresses is a seed.
    pub fn start_among(store: &Store, name: &str, ip: &str, ports: [u16; 4], ips: &[&str]) -> Self {
        let folder = std::env::temp_dir().join(format!("review-2-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a temporary folder");
        let address = |port: u16| SocketAddr::new(ip.parse().expect("an address"), port);
        let [frontend, ready, control, directory] = ports.map(address);
        let seeds: Vec<String> = ips.iter().map(|ip| format!("\"{ip}:{}\"", ports[2])).collect();
        let seeds = seeds.join(",");
        let settings = format!(
            "nodeName = \"{name}\"\nrole = \"gateway\"\ninstanceClass = \"front\"\n\
             serves = [\"front\",\"control\",\"directory\"]\nip = \"{ip}\"\nzone = \"asahikawa\"\nregion = \"dohoku\"\n\
             internalPorts = [7660,7675]\nseeds = [{seeds}]\nbootstrap = true\ninTolerance = false\n\
             discovery = \"platform\"\nentry = \"directory\"\nheartbeatMs = 1200\n\
             contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"split\",\"stream\",\"engine\",\"platform\"]\n\
             [zones]\nasahikawa = \"dohoku\"\nfurano = \"dohoku\"\nnayoro = \"dohoku\"\n\
             [listen]\nfrontend = \"{frontend}\"\nready = \"{ready}\"\ncontrol = \"{control}\"\ndirectory = \"{directory}\"\n\
             [limits]\ncpuShare = 0.17\ncores = 1\nmemoryMb = {MEMORY_MB}\nmaxFds = 2870\nlinkMbps = 700.0\ndiskMb = 0\n\
             [faultTolerance]\nmachines = 1\nzones = 0\nregions = 0\n\
             [contractParams]\nseedStalenessS = 3\naddrReuseS = 2\nstableWindowMs = 3000\nackMs = 4000\nsyncS = 4\n\
             drainMs = 2000\ngraceS = 8\nlossSlackMs = 200\nconfigApplyMs = 2000\nrollbackSlackMs = 250\nmaxSkewMs = 5000\n\
             retryBudgetRatio = 0.2\nretryWindowS = 10\nbudgetSlack = 135\nrecoveryS = 12\ntransitMs = 120\n\
             retryAfterS = 5.9\nrequireFencing = false\nleaseMs = 3000\nthawMs = 300\nttl_max_s = 5\n\
             [platform]\naddress = \"{}\"\nform = \"read\"\nwritesPerS = 400\nreadsPerS = 2000\nhistoryS = 20\n\
             valueBytes = 1048576\nttlMinMs = 1000\n",
            store.address
        );
        let file = folder.join("boot.toml");
        std::fs::write(&file, settings).expect("a settings file");
        let process = spawn(&folder);
        Self {
            callers: frontend,
            ready,
            process,
            folder,
        }
    }

    /// Kills the process and starts it again, as the platform does with one that exceeds its memory.
    pub fn kill_and_restart(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
        std::thread::sleep(Duration::from_millis(500));
        self.process = spawn(&self.folder);
    }

    pub fn process_id(&self) -> u32 {
        self.process.id()
    }

    /// Waits until the readiness check says 200; false if it does not within 15 seconds.
    pub fn wait_ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(15);
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }

    fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(self.ready) else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
        let request = b"GET /readiness HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
        stream.write_all(request).is_ok()
            && Reader::new(stream)
                .read()
                .is_some_and(|answer| answer.status() == 200)
    }

    /// Whether the process is still running.
    pub fn is_running(&mut self) -> bool {
        matches!(self.process.try_wait(), Ok(None))
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// Four ports that are free at an address.
pub fn free_ports(ip: &str) -> [u16; 4] {
    let listeners = [0; 4].map(|_| TcpListener::bind((ip, 0)).expect("a free port"));
    listeners.map(|listener| listener.local_addr().expect("an address").port())
}

/// Starts `target/release/dotterelspan gateway`, the command of the deploy file.
fn spawn(folder: &Path) -> Child {
    let log = std::fs::OpenOptions::new()
        .create(true)
        .append(true)
        .open(folder.join("log.txt"))
        .expect("a log file");
    Command::new(program())
        .arg("gateway")
        .env("DOTTERELSPAN_SETTINGS", folder.join("boot.toml"))
        .stdin(Stdio::null())
        .stdout(log.try_clone().expect("a copy"))
        .stderr(log)
        .spawn()
        .expect("the built program")
}

/// The program that the deploy file builds.
fn program() -> PathBuf {
    let named = std::env::var_os("DOTTERELSPAN").map(PathBuf::from);
    named.unwrap_or_else(|| PathBuf::from("target/release/dotterelspan"))
}
