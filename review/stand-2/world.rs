//! A small deployment on loopback addresses: the store, engines and gateways of the project.

use std::fmt::Display;
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::store::{Store, Way};
use crate::unix_ms;

unsafe extern "C" {
    fn prctl(option: i32, value: u64) -> i32;
}

const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;

/// Lets a process end with this one, however this one ends.
fn end_with_parent(command: &mut Command) -> &mut Command {
    // The function only calls the system.
    unsafe {
        command.pre_exec(|| {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            Ok(())
        })
    }
}

const ENGINE_PORT: u16 = 8_668;

/// Why a case could not run.
pub type Trouble = String;

pub struct World {
    ip: [u8; 3],
    dir: PathBuf,
    pub store: Arc<Store>,
    record: Arc<Mutex<Vec<(u64, String)>>>,
    began: u64,
}

/// A process of the case, ended when it is dropped.
pub struct Process {
    child: Child,
}

impl Process {
    /// Kills it with SIGKILL.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

pub struct Gateway {
    pub process: Process,
    pub callers: SocketAddr,
    ready: SocketAddr,
    /// Its way to the store.
    pub way: Way,
}

impl Gateway {
    pub fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(self.ready) else {
            return false;
        };
        let req = b"GET /rattanstall/ready HTTP/1.1\r\nHost: lb\r\nConnection: close\r\n\r\n";
        let mut text = [0; 12];
        let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
        stream.write_all(req).is_ok()
            && stream.read_exact(&mut text).is_ok()
            && &text == b"HTTP/1.1 200"
    }
}

/// An engine and how it is registered.
pub struct EngineSpec {
    pub id: String,
    pub service: &'static str,
    pub version: &'static str,
    pub step: u64,
    /// Whether it starts without the model, as engines that restart do.
    pub is_empty: bool,
    /// Where it serves.
    pub host: u8,
}

impl EngineSpec {
    pub fn new(id: &str, service: &'static str, host: u8) -> Self {
        Self {
            id: id.to_owned(),
            service,
            version: "v1",
            step: 1,
            is_empty: false,
            host,
        }
    }
}

pub struct EngineProcess {
    pub process: Process,
    pub id: String,
    service: &'static str,
    version: &'static str,
    address: SocketAddr,
    born: u64,
    /// Whether it holds the model.
    has_model: Arc<AtomicBool>,
}

impl World {
    /// A world with a store that holds this configuration.
    pub fn start(config: &str) -> Result<Self, Trouble> {
        let process = std::process::id();
        let ip = [127, 40 + (process >> 8) as u8 % 200, process as u8];
        let dir = std::env::temp_dir().join(format!("review-2-{process}"));
        std::fs::create_dir_all(&dir).map_err(|e| e.to_string())?;
        let mut world = Self {
            ip,
            dir,
            store: Arc::default(),
            record: Arc::default(),
            began: unix_ms(),
        };
        world.store = Store::new();
        world.store.put("op/config", config);
        Ok(world)
    }

    fn address(&self, host: u8, port: u16) -> SocketAddr {
        let [a, b, c] = self.ip;
        SocketAddr::from((Ipv4Addr::new(a, b, c, host), port))
    }

    pub fn note(&self, text: impl Display) {
        let mut record = self.record.lock().expect("no panic");
        record.push((unix_ms(), text.to_string()));
    }

    /// Notes the first line of a request that is sent.
    pub fn note_request(&self, id: &str, text: &str) {
        let line = text.lines().next().unwrap_or_default();
        self.note(format!("client: {id} sends {line}"));
    }

    /// What was noted so far, with Unix times.
    pub fn noted(&self) -> Vec<(u64, String)> {
        self.record.lock().expect("no panic").clone()
    }

    /// Writes what was noted, in the order of time.
    pub fn write_record(&self, path: &str) {
        std::thread::sleep(Duration::from_millis(100));
        let mut record = self.record.lock().expect("no panic").clone();
        record.sort_by_key(|(at, _)| *at);
        let lines = record
            .iter()
            .map(|(at, line)| format!("{:>6} ms  {line}\n", at.saturating_sub(self.began)));
        if let Err(error) = std::fs::write(path, lines.collect::<String>()) {
            eprintln!("{path}: {error}");
        }
    }

    /// Starts a gateway with the command of the deploy file and waits until it is ready.
    pub fn gateway(&self, name: &str, host: u8) -> Result<Gateway, Trouble> {
        let (callers, ready) = (self.address(host, 8221), self.address(host, 8224));
        let store = self.address(100 + host, 8225);
        let way = self
            .store
            .listen(store)
            .map_err(|e| format!("store: {e}"))?;
        let text = settings(name, self.address(host, 0), store);
        let file = self.dir.join(format!("{name}.toml"));
        std::fs::write(&file, text).map_err(|e| e.to_string())?;
        let log = File::create(self.dir.join(format!("{name}.log"))).map_err(|e| e.to_string())?;
        let errors = log.try_clone().map_err(|e| e.to_string())?;
        let mut command = Command::new("target/release/rattanstall-front");
        let child = end_with_parent(&mut command)
            .env("RATTANSTALL_SETTINGS", &file)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .map_err(|e| format!("target/release/rattanstall-front: {e}"))?;
        let process = Process { child };
        let gateway = Gateway {
            process,
            callers,
            ready,
            way,
        };
        self.wait_for(&format!("{name} to be ready"), 15, || gateway.is_ready())?;
        self.note(format!("gateway {name} is ready"));
        Ok(gateway)
    }

    /// Starts an engine and registers it.
    pub fn engine(&self, spec: EngineSpec) -> Result<EngineProcess, Trouble> {
        let (address, born) = (self.address(spec.host, ENGINE_PORT), unix_ms());
        let own = std::env::current_exe().map_err(|e| e.to_string())?;
        let mut command = Command::new(own);
        let mut child = end_with_parent(&mut command)
            .arg("engine")
            .args([address.to_string(), spec.id.clone()])
            .args([spec.version.to_owned(), born.to_string()])
            .args([spec.step.to_string(), spec.is_empty.to_string()])
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()
            .map_err(|e| e.to_string())?;
        let output = child.stdout.take().ok_or("no output")?;
        let record = self.record.clone();
        let has_model = Arc::new(AtomicBool::new(!spec.is_empty));
        let is_loaded = has_model.clone();
        std::thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                if let Some((at, text)) = line.split_once(' ') {
                    let at = at.parse().unwrap_or_default();
                    if text.ends_with("holds m0") {
                        is_loaded.store(true, Ordering::Release);
                    }
                    let mut record = record.lock().expect("no panic");
                    record.push((at, format!("engine {text}")));
                }
            }
        });
        let process = Process { child };
        self.wait_for("an engine", 5, || TcpStream::connect(address).is_ok())?;
        let engine = EngineProcess {
            process,
            id: spec.id,
            service: spec.service,
            version: spec.version,
            address,
            born,
            has_model,
        };
        self.register(&engine, "ready", "");
        Ok(engine)
    }

    /// Writes the registration of an engine.
    pub fn register(&self, engine: &EngineProcess, state: &str, more: &str) {
        let EngineProcess {
            id,
            service,
            version,
            address,
            born,
            has_model,
            ..
        } = engine;
        let models = match has_model.load(Ordering::Acquire) {
            true => "[{\"Name\":\"m0\",\"Version\":1,\"Adapters\":[]}]",
            false => "[]",
        };
        let entry = format!(
            "{{\"Service\":\"{service}\",\"Address\":\"{address}\",\"Zone\":\"z0\",\
             \"Version\":\"{version}\",\"Slots\":48,\"State\":\"{state}\",\"ColdLeftMs\":0,\
             \"Stage\":\"both\",\"Models\":{models},\"Seq\":{},\"born\":{born}{more}}}",
            unix_ms()
        );
        self.store.put(&format!("servers/{id}"), &entry);
    }

    /// Rewrites the registrations as engines do, each of them once in 1,200 ms, for some time.
    pub fn beat(&self, engines: &[&EngineProcess], time: Duration) {
        let until = Instant::now() + time;
        let pause = Duration::from_millis(1_200) / engines.len().max(1) as u32;
        for engine in engines.iter().cycle() {
            if Instant::now() >= until {
                return;
            }
            self.register(engine, "ready", "");
            std::thread::sleep(pause);
        }
    }

    pub fn wait_for(
        &self,
        what: &str,
        secs: u64,
        mut is_so: impl FnMut() -> bool,
    ) -> Result<(), Trouble> {
        let until = Instant::now() + Duration::from_secs(secs);
        while !is_so() {
            if Instant::now() > until {
                return Err(format!("waited in vain for {what}"));
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        Ok(())
    }
}

impl Drop for World {
    fn drop(&mut self) {
        if std::env::var("KEEP").is_err() {
            let _ = std::fs::remove_dir_all(&self.dir);
        } else {
            eprintln!("kept {}", self.dir.display());
        }
    }
}

/// A settings file as `fleetbench wire` shows it, with the bounds of nilecrest-logs.
fn settings(name: &str, host: SocketAddr, store: SocketAddr) -> String {
    let ip = host.ip();
    format!(
        "NodeName = \"{name}\"\nRole = \"gateway\"\nMachineClass = \"front\"\n\
         Serves = [\"front\"]\nIp = \"{ip}\"\nZone = \"z0\"\nRegion = \"r0\"\n\
         PortRange = [7600,7615]\nSeedAddrs = []\nBootstrap = true\nInTolerance = false\n\
         Discovery = \"platform\"\nEntry = \"vip\"\nHeartbeatIntervalMs = 1200\n\
         Contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"fleet\",\
         \"stream\",\"engine\",\"tenants\",\"quota\",\"platform\"]\n\
         [Zones]\nz0 = \"r0\"\n\
         [Listen]\nFront = \"{ip}:8221\"\nReady = \"{ip}:8224\"\n\
         [Limits]\nCpuShare = 0.19\nCpuCores = 1\nMemoryMb = 260\nMaxFds = 4200\n\
         LinkMbps = 1000.0\nDiskMb = 0\n\
         [Tolerate]\nMachines = 1\nZones = 0\nRegions = 0\n\
         [Bounds]\nSeedLagS = 3\nReuseAfterS = 2\nStableWindowMs = 3000\nAckMs = 4000\n\
         CatchupS = 4\nDrainMs = 2000\nGraceS = 8\nLossSlackMs = 200\nConfigMs = 2000\n\
         RollbackSlackMs = 250\nStretchMs = 5000\nStrictRevoke = false\nRevokeMs = 5000\n\
         BudgetRatio = 0.2\nBudgetWindowS = 10\nBudgetSlack = 54\nQuotaWindowS = 8\n\
         QuotaOver = 0.1\nQuotaSlack = 17000\nRecoverS = 12\nPassMs = 120\nAgainS = 0\n\
         RequireFence = true\nLeaseMs = 3000\nThawMs = 300\nCeilingWindowS = 5\n\
         CeilingOver = 1.1\n\
         [Platform]\nAddress = \"{store}\"\nform = \"kv\"\nWritesPerS = 400\n\
         ReadsPerS = 2000\nHistoryS = 20\nValueBytes = 1048576\nTtlMinMs = 1000\n"
    )
}

/// A configuration with a route of each kind and two services: engines of models, and an
/// application.
pub fn config(tenant: &str) -> String {
    let route = |name: &str, kind: &str, service: &str, timeout: u64, attempts: u64, more: &str| {
        format!(
            "{{\"Name\":\"{name}\",\"Host\":\"h.example\",\"Prefix\":\"/{name}/\",\
             \"Kind\":\"{kind}\",\"TimeoutMs\":{timeout},\"TargetLatencyMs\":300,\"Priority\":0,\
             \"Service\":\"{service}\",\"MaxAttempts\":{attempts},\"Public\":false,{more}}}"
        )
    };
    let plain = "\"Sticky\":false,\"CanResume\":false";
    let stream = "\"Sticky\":true,\"CanResume\":false,\"GapAimMs\":250";
    let resumed = "\"Sticky\":true,\"CanResume\":true,\"GapAimMs\":250";
    let routes = [
        route("stream", "stream", "llm", 12_000, 1, stream),
        route("resumed", "stream", "llm", 12_000, 2, resumed),
        route("safe", "safe", "app", 10_000, 2, plain),
        route("unsafe", "unsafe", "app", 10_000, 1, plain),
    ];
    format!(
        "{{\"Version\":7,\"Routes\":[{}],\"Services\":[\
         {{\"Name\":\"llm\",\"HealthPath\":\"/healthz\",\"MaxConns\":300,\"Protocol\":\"h1\",\
         \"Tls\":false,\"Engine\":{{\"Slots\":48,\"KvCapacity\":164235,\"KvTokenBytes\":163840,\
         \"Models\":[{{\"Name\":\"m0\",\"WeightMb\":65100.0,\"LoadS\":1.2,\"Adapters\":0,\
         \"AdapterMb\":12.0}}],\"WeightMb\":200000.0,\"AdapterSlots\":8,\"LoadsPerS\":2.6}}}},\
         {{\"Name\":\"app\",\"HealthPath\":\"/healthz\",\"MaxConns\":100,\"Protocol\":\"h1\",\
         \"Tls\":false}}],\
         \"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\
         \"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}},\
         \"Tenants\":[{{\"Name\":\"{tenant}\",\"ApiKeys\":[\"key-one\"],\"Priority\":1}}]}}",
        routes.join(",")
    )
}

/// A request on a route, as consumers send it. Those for models name the model and their prompt.
pub fn request(route: &str, query: &str, id: &str, deadline_ms: u64, more: &str) -> String {
    let prompt = match route {
        "stream" | "resumed" => format!(
            "Rattanstall-Model: m0\r\nRattanstall-Token-Count: 826,80\r\n\
             Rattanstall-Prompt-Prefix: 5c1e07a2:198,{:x}:628\r\n",
            id.bytes().fold(7u64, |h, b| h
                .wrapping_mul(1_099_511_628_211)
                .wrapping_add(b.into()))
        ),
        _ => String::new(),
    };
    let method = if route == "safe" { "GET" } else { "POST" };
    let body = if route == "safe" { "" } else { "{}" };
    format!(
        "{method} /{route}/x?{query} HTTP/1.1\r\nHost: h.example\r\n\
         Rattanstall-Request-Id: {id}\r\nRattanstall-Deadline-Ms: {deadline_ms}\r\n\
         Authorization: Bearer key-one\r\n{prompt}{more}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}
