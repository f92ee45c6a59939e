//! Processes of the system's one role, with the command of the deploy file.

use std::fs::File;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::{open, read_head};
use crate::record::Record;
use crate::store::{Store, Way};

/// Processes that were started, so that the end of the harness ends them.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

pub fn end_all() {
    for pid in STARTED.lock().unwrap().drain(..) {
        signal(pid, "KILL");
    }
}

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// Sends a signal to a process that this one started.
fn signal(pid: u32, name: &str) {
    let number = match name {
        "TERM" => 15,
        _ => 9,
    };
    unsafe {
        kill(pid as i32, number);
    }
}

/// The command of the deploy file.
fn command() -> String {
    let text = std::fs::read_to_string("deploy/system.toml").expect("the deploy file");
    let line = text.lines().find_map(|line| line.strip_prefix("run = \""));
    line.expect("a command").trim_end_matches('"').to_owned()
}

pub struct Front {
    pub name: String,
    pub callers: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    process: Mutex<Option<Child>>,
    pub way: Arc<Way>,
    record: Arc<Record>,
}

/// The settings of DEPLOY.md, with the figures of the sheets.
const BOUNDS: &str = "[Limits]\nCpuShare = 0.19\nCpuCores = 1\nMemoryMb = 260\nMaxFds = 4200\n\
LinkMbps = 1000.0\nDiskMb = 0\n[Tolerate]\nMachines = 1\nZones = 0\nRegions = 0\n[Bounds]\n\
SeedLagS = 3\nReuseAfterS = 2\nStableWindowMs = 3000\nAckMs = 4000\nCatchupS = 4\nDrainMs = 2000\n\
GraceS = 8\nLossSlackMs = 200\nConfigMs = 2000\nRollbackSlackMs = 250\nStretchMs = 5000\n\
StrictRevoke = false\nRevokeMs = 5000\nBudgetRatio = 0.2\nBudgetWindowS = 10\nBudgetSlack = 54\n\
QuotaWindowS = 8\nQuotaOver = 0.1\nQuotaSlack = 17000\nRecoverS = 12\nPassMs = 120\nAgainS = 0\n\
RequireFence = true\nLeaseMs = 3000\nThawMs = 300\nCeilingWindowS = 5\nCeilingOver = 1.1\n";

impl Front {
    pub fn create(
        folder: &Path,
        store: &Arc<Store>,
        record: &Arc<Record>,
        ip: &str,
        name: &str,
        zone: &str,
    ) -> Arc<Self> {
        let port = || {
            TcpListener::bind(format!("{ip}:0"))
                .and_then(|l| l.local_addr())
                .expect("a free port")
        };
        let (callers, ready, peers) = (port(), port(), port().port());
        let (address, way) = store.way(name);
        let text = format!(
            "NodeName = \"{name}\"\nRole = \"gateway\"\nMachineClass = \"front\"\nServes = [\"front\"]\n\
             Ip = \"{ip}\"\nZone = \"{zone}\"\nRegion = \"r\"\nPortRange = [{peers},{}]\nSeedAddrs = []\n\
             Bootstrap = true\nInTolerance = false\nDiscovery = \"platform\"\nEntry = \"vip\"\n\
             HeartbeatIntervalMs = 1200\nContracts = [\"base\"]\n[Listen]\nFront = \"{callers}\"\n\
             Ready = \"{ready}\"\n{BOUNDS}[Platform]\nAddress = \"{address}\"\nform = \"kv\"\n\
             WritesPerS = 400\nReadsPerS = 2000\nHistoryS = 20\nValueBytes = 1048576\nTtlMinMs = 1000\n",
            peers + 1
        );
        let settings = folder.join(format!("{name}.toml"));
        std::fs::write(&settings, text).expect("a settings file");
        Arc::new(Self {
            name: name.to_owned(),
            callers,
            ready,
            settings,
            log: folder.join(format!("{name}.log")),
            process: Mutex::default(),
            way,
            record: record.clone(),
        })
    }

    pub fn start(&self) {
        let log = File::options()
            .create(true)
            .append(true)
            .open(&self.log)
            .expect("a log");
        let command = command();
        let mut words = command.split(' ');
        let process = Command::new(words.next().unwrap_or_default())
            .args(words)
            .env_clear()
            .env("RATTANSTALL_SETTINGS", &self.settings)
            .stdout(log.try_clone().expect("a handle"))
            .stderr(log)
            .spawn()
            .expect("the program of the deploy file");
        STARTED.lock().unwrap().push(process.id());
        *self.process.lock().unwrap() = Some(process);
        self.record.line(&format!("{}: started", self.name));
    }

    pub fn signal(&self, name: &str) {
        let process = self.process.lock().unwrap();
        if let Some(process) = &*process {
            signal(process.id(), name);
            self.record.line(&format!("{}: SIG{name}", self.name));
        }
    }

    /// Waits until the process has ended.
    pub fn wait_for_end(&self) {
        if let Some(mut process) = self.process.lock().unwrap().take() {
            let id = process.id();
            let _ = process.wait();
            STARTED.lock().unwrap().retain(|pid| *pid != id);
            self.record.line(&format!("{}: ended", self.name));
        }
    }

    pub fn is_ready(&self) -> bool {
        let text = "GET /rattanstall/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        let answer = open(self.ready, text)
            .ok()
            .and_then(|mut reader| read_head(&mut reader));
        answer.is_some_and(|head| head.status() == 200)
    }

    pub fn wait_until_ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(15);
        while Instant::now() < until {
            if self.is_ready() {
                self.record.line(&format!("{}: ready", self.name));
                return true;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        false
    }
}
