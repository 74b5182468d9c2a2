//! Gateways as the platform starts them: processes with a settings file, each on a loopback address of its own.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::http;
use crate::note;

pub const FRONTEND_PORT: u16 = 8144;
const READY_PORT: u16 = 8140;
const CONTROL_PORT: u16 = 8146;
const DIRECTORY_PORT: u16 = 8143;

pub struct Node {
    pub name: String,
    pub ip: String,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// The settings of one node of a small deployment, with the bounds of the first sites.
pub struct NodeSettings<'a> {
    pub folder: &'a Path,
    pub name: &'a str,
    pub ip: &'a str,
    pub seeds: &'a [String],
    pub store: SocketAddr,
}

impl Node {
    /// Writes the settings and starts the process.
    pub fn start(given: &NodeSettings<'_>) -> Self {
        let seeds: Vec<String> = given
            .seeds
            .iter()
            .map(|ip| format!("\"{ip}:{CONTROL_PORT}\""))
            .collect();
        let ip = given.ip;
        let text = format!(
            "nodeName = \"{name}\"\nrole = \"gateway\"\ninstanceClass = \"front\"\n\
             serves = [\"front\",\"control\",\"directory\"]\nip = \"{ip}\"\nzone = \"z1\"\nregion = \"r1\"\n\
             internalPorts = [7660,7675]\nseeds = [{seeds}]\nbootstrap = true\ninTolerance = false\n\
             discovery = \"platform\"\nentry = \"directory\"\nheartbeatMs = 1200\n\
             contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"split\",\"stream\",\"engine\",\"platform\"]\n\
             [zones]\nz1 = \"r1\"\n[listen]\nfrontend = \"{ip}:{FRONTEND_PORT}\"\nready = \"{ip}:{READY_PORT}\"\n\
             control = \"{ip}:{CONTROL_PORT}\"\ndirectory = \"{ip}:{DIRECTORY_PORT}\"\n\
             [limits]\ncpuShare = 0.17\ncores = 1\nmemoryMb = 182\nmaxFds = 2870\nlinkMbps = 700.0\ndiskMb = 0\n\
             [faultTolerance]\nmachines = 1\nzones = 0\nregions = 0\n\
             [contractParams]\nseedStalenessS = 3\naddrReuseS = 2\nstableWindowMs = 3000\nackMs = 4000\nsyncS = 4\n\
             drainMs = 2000\ngraceS = 8\nlossSlackMs = 200\nconfigApplyMs = 2000\nrollbackSlackMs = 250\n\
             maxSkewMs = 5000\nretryBudgetRatio = 0.2\nretryWindowS = 10\nbudgetSlack = 126\nrecoveryS = 12\n\
             transitMs = 120\nretryAfterS = 9\nrequireFencing = false\nleaseMs = 3000\nthawMs = 300\nttl_max_s = 5\n\
             [platform]\naddress = \"{store}\"\nform = \"read\"\nwritesPerS = 400\nreadsPerS = 2000\nhistoryS = 20\n\
             valueBytes = 1048576\nttlMinMs = 1000\n",
            name = given.name,
            seeds = seeds.join(","),
            store = given.store,
        );
        let settings = given.folder.join(format!("{}.toml", given.name));
        std::fs::write(&settings, text).expect("the settings can be written");
        let mut node = Self {
            name: given.name.to_owned(),
            ip: ip.to_owned(),
            settings,
            log: given.folder.join(format!("{}.log", given.name)),
            child: None,
        };
        node.launch();
        node
    }

    /// Starts the process, with the command of the deploy file.
    pub fn launch(&mut self) {
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log)
            .expect("a log file");
        let program =
            std::env::var("DOTTERELSPAN").unwrap_or_else(|_| "target/release/dotterelspan".to_owned());
        let child = Command::new(program)
            .arg("gateway")
            .env("DOTTERELSPAN_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a second handle"))
            .stderr(log)
            .spawn()
            .expect("the deploy file's program is built");
        note!("node {}: process {} starts at {}", self.name, child.id(), self.ip);
        self.child = Some(child);
    }

    pub fn frontend(&self) -> SocketAddr {
        format!("{}:{FRONTEND_PORT}", self.ip)
            .parse()
            .expect("an address")
    }

    fn is_ready(&self) -> bool {
        let address = format!("{}:{READY_PORT}", self.ip).parse().expect("an address");
        let request = format!(
            "GET /readiness HTTP/1.1\r\nHost: {}\r\nConnection: close\r\n\r\n",
            self.ip
        );
        http::ask(address, &request, Duration::from_millis(500)).is_ok_and(|answer| answer.status() == 200)
    }

    /// Waits until the node is ready; false if that takes too long.
    pub fn wait_ready(&self) -> bool {
        let deadline = Instant::now() + Duration::from_secs(15);
        while Instant::now() < deadline {
            if self.is_ready() {
                note!("node {}: ready", self.name);
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        note!("node {}: not ready", self.name);
        false
    }

    /// Names another address of the store in the settings file and sends SIGHUP.
    pub fn change_store(&self, before: &str, after: &str) {
        let text = std::fs::read_to_string(&self.settings).expect("the settings can be read");
        let line = |ip: &str| format!("[platform]\naddress = \"{ip}:8142\"");
        let draft = self.settings.with_extension("draft");
        std::fs::write(&draft, text.replace(&line(before), &line(after)))
            .expect("the settings can be written");
        std::fs::rename(&draft, &self.settings).expect("the settings can be replaced");
        if let Some(child) = &self.child {
            let sent = Command::new("kill")
                .args(["-HUP", &child.id().to_string()])
                .status();
            note!(
                "node {}: its settings name the store at {after}, SIGHUP {sent:?}",
                self.name
            );
        }
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            note!("node {}: killed", self.name);
        }
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}
