//! A small fleet of real processes on loopback, for tests and the quick start.

use std::collections::HashSet;
use std::fs;
use std::io;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use rattanstall::config::Document;
use rattanstall::instances::{Instance, Role};
use rattanstall::operator::{CreatedKey, Operator};
use rattanstall::weights::Model;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};

use crate::caller::Caller;
use crate::platform::PlatformSetup;

/// How long the fleet may take to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(60);
/// How long a process may take to end by itself.
const STOP_TIMEOUT: Duration = Duration::from_secs(60);
const POLL: Duration = Duration::from_millis(50);

static FLEETS: AtomicU32 = AtomicU32::new(0);
static PORTS: AtomicU32 = AtomicU32::new(0);

/// What a fleet consists of.
#[derive(Clone, Debug)]
pub struct FleetBuilder {
    gateways: usize,
    engines: usize,
    services: Vec<(String, u64)>,
    models: usize,
    model_bytes: u64,
    memory_bytes: u64,
    load_ms: u64,
    step_us: u64,
    max_running: usize,
    obeys_fence: bool,
    last_order_ms: u64,
    log_level: String,
}

impl Default for FleetBuilder {
    fn default() -> Self {
        Self {
            gateways: 3,
            engines: 2,
            services: vec![("orders".to_owned(), 5)],
            models: 3,
            model_bytes: 100,
            memory_bytes: 1_000,
            load_ms: 50,
            step_us: 2_000,
            max_running: 32,
            obeys_fence: true,
            last_order_ms: 200,
            log_level: "info".to_owned(),
        }
    }
}

macro_rules! setters {
    ($($(#[$doc:meta])* $name:ident: $ty:ty,)*) => {
        $($(#[$doc])*
        pub fn $name(mut self, $name: $ty) -> Self {
            self.$name = $name;
            self
        })*
    };
}

impl FleetBuilder {
    setters! {
        /// Gateways, one in each availability zone in turn.
        gateways: usize,
        /// Model engines.
        engines: usize,
        /// Plain services by name, each with the time of one call in milliseconds.
        services: Vec<(String, u64)>,
        /// Models `m0`, `m1` and so on.
        models: usize,
        /// Memory of one model, in bytes.
        model_bytes: u64,
        /// Memory of one engine, in bytes.
        memory_bytes: u64,
        /// Time of one load, in milliseconds.
        load_ms: u64,
        /// Time of one step of an engine, in microseconds.
        step_us: u64,
        /// Requests that an endpoint runs at once.
        max_running: usize,
        /// Whether engines refuse old fencing numbers.
        obeys_fence: bool,
        /// How long after it was sent an order may still take effect, in milliseconds.
        last_order_ms: u64,
    }

    /// Writes the settings, starts the processes and returns at once.
    pub fn start(self) -> io::Result<Fleet> {
        Fleet::start(self)
    }
}

/// A running process of the fleet.
pub struct Process {
    /// The instance's name.
    pub name: String,
    /// Where callers or agents connect.
    pub listen: SocketAddr,
    /// The operators' port, for gateways and agents.
    pub admin: Option<SocketAddr>,
    program: String,
    args: Vec<String>,
    child: Option<Child>,
}

/// The processes, which end with this value.
pub struct Fleet {
    dir: PathBuf,
    /// The platform stand-in.
    pub platform: Process,
    /// The gateways.
    pub gateways: Vec<Process>,
    /// The endpoints: engines first, then services.
    pub endpoints: Vec<Process>,
    /// The agents, one for each endpoint.
    pub agents: Vec<Process>,
    /// The instance list.
    pub instances: Vec<Instance>,
}

impl Fleet {
    fn start(plan: FleetBuilder) -> io::Result<Self> {
        let number = FLEETS.fetch_add(1, Ordering::Relaxed);
        let name = format!("rattanstall-{}-{number}", std::process::id());
        let dir = std::env::temp_dir().join(name);
        fs::create_dir_all(&dir)?;
        rattanstall::tls::create_material(&dir).map_err(io::Error::other)?;
        let mut ports = Ports;
        let platform_addr = ports.next()?;
        let mut instances = Vec::new();
        let mut gateways = Vec::new();
        for n in 0..plan.gateways {
            let name = format!("gw-{n}");
            let (listen, peer, admin) = (ports.next()?, ports.next()?, ports.next()?);
            let text = gateway_settings(&plan, &dir, n, [listen, peer, admin, platform_addr]);
            instances.push(instance(&name, Role::Gateway, n, peer, admin));
            let args = settings_args(&dir, &name, &text)?;
            let program = "rattanstall-gateway";
            gateways.push(Process::new(&name, listen, Some(admin), program, args));
        }
        let mut endpoints = Vec::new();
        let mut agents = Vec::new();
        for n in 0..plan.engines + plan.services.len() {
            let listen = ports.next()?;
            let service = n.checked_sub(plan.engines).map(|s| &plan.services[s]);
            endpoints.push(endpoint(&plan, n, listen, platform_addr, service));
            let name = format!("agent-{n}");
            let (peer, admin) = (ports.next()?, ports.next()?);
            let service = service.map(|s| s.0.as_str());
            let addrs = [peer, admin, platform_addr, listen];
            let text = agent_settings(&plan, &dir, n, addrs, service);
            instances.push(instance(&name, Role::Agent, n, peer, admin));
            let args = settings_args(&dir, &name, &text)?;
            agents.push(Process::new(
                &name,
                peer,
                Some(admin),
                "rattanstall-agent",
                args,
            ));
        }
        let setup = PlatformSetup {
            loads_at_once: 3,
            load_ms: plan.load_ms,
            models: models(&plan),
            instances: instances.clone(),
        };
        let file = dir.join("platform.toml");
        fs::write(&file, toml::to_string(&setup).map_err(io::Error::other)?)?;
        let args = vec![
            "--listen".to_owned(),
            platform_addr.to_string(),
            "--setup".to_owned(),
            file.display().to_string(),
        ];
        let platform = Process::new("platform", platform_addr, None, "standin-platform", args);
        let mut fleet = Self {
            dir,
            platform,
            gateways,
            endpoints,
            agents,
            instances,
        };
        fleet.spawn_all()?;
        Ok(fleet)
    }

    fn spawn_all(&mut self) -> io::Result<()> {
        let dir = self.dir.clone();
        self.platform.spawn(&dir)?;
        let rest = self.endpoints.iter_mut().chain(&mut self.agents);
        for process in rest.chain(&mut self.gateways) {
            process.spawn(&dir)?;
        }
        Ok(())
    }

    /// The directory that holds settings and logs.
    pub fn dir(&self) -> &Path {
        &self.dir
    }

    /// An operator of this fleet.
    pub fn operator(&self) -> Operator {
        Operator::new(self.platform.listen, Some(self.platform.listen))
    }

    /// Applies a configuration and waits until all gateways have it in force.
    pub async fn apply(&self, document: Document) -> u64 {
        let operator = self.operator();
        let deadline = Instant::now() + READY_TIMEOUT;
        let revision = loop {
            match operator.apply(document.clone(), None).await {
                Ok(revision) => break revision,
                Err(error) if Instant::now() < deadline => {
                    eprintln!("apply: {error}");
                    tokio::time::sleep(POLL).await;
                }
                Err(error) => panic!("apply: {error}"),
            }
        };
        let waited = operator.wait(revision, READY_TIMEOUT, |_, _| {}).await;
        waited.expect("all gateways have the configuration");
        revision
    }

    /// Creates a key and waits until all gateways know it.
    pub async fn create_key(&self, workspace: &str) -> CreatedKey {
        let operator = self.operator();
        let key = operator.create_key(workspace).await.expect("a key");
        let waited = operator.wait(key.revision, READY_TIMEOUT, |_, _| {}).await;
        waited.expect("all gateways have the key");
        key
    }

    /// Waits until every gateway may charge and sees every agent healthy and
    /// every model ready somewhere.
    pub async fn wait_ready(&self) {
        let agents = self.agents.len();
        self.wait_for(move |state| {
            let seen = state["agents"].as_array().cloned().unwrap_or_default();
            let is_up = |a: &Value| a["healthy"] == json!(true) && a["draining"] == json!(false);
            let ready: HashSet<String> = seen
                .iter()
                .flat_map(|a| a["models"].as_array().cloned().unwrap_or_default())
                .filter(|m| m["state"] == json!("ready"))
                .filter_map(|m| m["model"].as_str().map(str::to_owned))
                .collect();
            state["may_charge"] == json!(true)
                && state["shares_active"] == json!(true)
                && state["is_current"] == json!(true)
                && seen.iter().filter(|a| is_up(a)).count() == agents
                && ready.len() as u64 == state["models"].as_u64().unwrap_or_default()
        })
        .await;
    }

    /// Waits until the state of every running gateway satisfies a condition.
    pub async fn wait_for(&self, condition: impl Fn(&Value) -> bool) {
        let deadline = Instant::now() + READY_TIMEOUT;
        loop {
            let mut states = Vec::new();
            for gateway in self.gateways.iter().filter(|g| g.is_started()) {
                states.push(gateway.state().await);
            }
            let holds = |state: &Option<Value>| state.as_ref().is_some_and(&condition);
            if states.iter().all(holds) {
                return;
            }
            assert!(
                Instant::now() < deadline,
                "not reached; see {}: {states:#?}",
                self.dir.display()
            );
            tokio::time::sleep(POLL).await;
        }
    }

    /// Starts a process again with the settings it had.
    pub fn restart(&mut self, pick: impl Fn(&mut Self) -> &mut Process) -> io::Result<()> {
        let dir = self.dir.clone();
        pick(self).spawn(&dir)
    }

    /// Replaces the instance list.
    pub async fn set_instances(&self, instances: &[Instance]) {
        let body = serde_json::to_string(instances).expect("instances are JSON");
        let caller = Caller::new(self.platform.listen);
        let ask = crate::caller::Ask::default();
        let path = "/control/instances";
        let answer = caller.ask(http::Method::PUT, path, &ask, body).await;
        assert_eq!(answer.expect("the platform answers").status, 200);
    }

    /// Shuts all processes down gracefully: gateways, agents, then the rest.
    pub fn stop(mut self) -> io::Result<()> {
        let stages = [&mut self.gateways, &mut self.agents, &mut self.endpoints];
        for stage in stages {
            for process in stage.iter_mut() {
                process.signal(Signal::TERM);
            }
            for process in stage.iter_mut() {
                process.wait_for_success()?;
            }
        }
        self.platform.signal(Signal::TERM);
        self.platform.wait_for_success()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        let all = self.gateways.iter_mut().chain(&mut self.agents);
        let all = all.chain(&mut self.endpoints).chain([&mut self.platform]);
        for process in all {
            process.kill();
        }
        if !std::thread::panicking() {
            let _ = fs::remove_dir_all(&self.dir);
        }
    }
}

impl Process {
    fn new(
        name: &str,
        listen: SocketAddr,
        admin: Option<SocketAddr>,
        program: &str,
        args: Vec<String>,
    ) -> Self {
        Self {
            name: name.to_owned(),
            listen,
            admin,
            program: program.to_owned(),
            args,
            child: None,
        }
    }

    /// The process's state dump, if it answers.
    pub async fn state(&self) -> Option<Value> {
        Caller::new(self.admin?).get("/state").await
    }

    /// The process's identifier while it runs.
    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) {
        let pid = self.pid().and_then(|pid| Pid::from_raw(pid as i32));
        if let Some(pid) = pid {
            let _ = kill_process(pid, signal);
        }
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Waits for the process to end by itself.
    pub fn wait(&mut self) -> io::Result<ExitStatus> {
        let deadline = Instant::now() + STOP_TIMEOUT;
        let Some(child) = &mut self.child else {
            return Err(io::Error::other(format!("{} does not run", self.name)));
        };
        loop {
            if let Some(status) = child.try_wait()? {
                self.child = None;
                return Ok(status);
            }
            if Instant::now() >= deadline {
                return Err(io::Error::other(format!("{} does not end", self.name)));
            }
            std::thread::sleep(POLL);
        }
    }

    fn wait_for_success(&mut self) -> io::Result<()> {
        if self.child.is_none() {
            return Ok(());
        }
        let status = self.wait()?;
        match status.success() {
            true => Ok(()),
            false => Err(io::Error::other(format!("{}: {status}", self.name))),
        }
    }

    fn is_started(&self) -> bool {
        self.child.is_some()
    }

    fn spawn(&mut self, dir: &Path) -> io::Result<()> {
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(dir.join(format!("{}.log", self.name)))?;
        let child = Command::new(program_dir()?.join(&self.program))
            .args(&self.args)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }
}

/// Ports for TCP and UDP that nothing listens on. They lie below the range from
/// which the system takes the ports of outgoing connections, so that none of
/// those can take one before its process is up.
struct Ports;

impl Ports {
    const FIRST: u32 = 10_000;
    const COUNT: u32 = 20_000;

    fn next(&mut self) -> io::Result<SocketAddr> {
        // Runs side by side begin at different places.
        let start = std::process::id().wrapping_mul(7_919);
        for _ in 0..Self::COUNT {
            let number = start.wrapping_add(PORTS.fetch_add(1, Ordering::Relaxed));
            let port = (Self::FIRST + number % Self::COUNT) as u16;
            let addr = SocketAddr::from(([127, 0, 0, 1], port));
            if TcpListener::bind(addr).is_ok() && UdpSocket::bind(addr).is_ok() {
                return Ok(addr);
            }
        }
        Err(io::Error::other("no free port"))
    }
}

/// Where the programs are: beside this one, or above a test's directory.
pub fn program_dir() -> io::Result<PathBuf> {
    let mut dir = std::env::current_exe()?;
    dir.pop();
    if dir.ends_with("deps") || dir.ends_with("examples") {
        dir.pop();
    }
    Ok(dir)
}

fn models(plan: &FleetBuilder) -> Vec<Model> {
    let model = |n| Model {
        name: format!("m{n}").into(),
        bytes: plan.model_bytes,
    };
    (0..plan.models).map(model).collect()
}

fn zone(n: usize) -> String {
    format!("zone-{}", n % 3)
}

fn instance(name: &str, role: Role, n: usize, peer: SocketAddr, admin: SocketAddr) -> Instance {
    Instance {
        name: name.into(),
        role,
        zone: zone(n).into(),
        ip: peer.ip(),
        peer_port: peer.port(),
        admin_port: admin.port(),
        leaving: false,
    }
}

fn settings_args(dir: &Path, name: &str, text: &str) -> io::Result<Vec<String>> {
    let file = dir.join(format!("{name}.toml"));
    fs::write(&file, text)?;
    Ok(vec!["--settings".to_owned(), file.display().to_string()])
}

fn tls_section(dir: &Path) -> String {
    let dir = dir.display();
    format!("[tls]\nca = \"{dir}/ca.pem\"\ncert = \"{dir}/cert.pem\"\nkey = \"{dir}/cert.key\"\n")
}

fn gateway_settings(plan: &FleetBuilder, dir: &Path, n: usize, addrs: [SocketAddr; 4]) -> String {
    let [listen, peer, admin, platform] = addrs;
    format!(
        "name = \"gw-{n}\"\nzone = \"{}\"\nlisten = \"{listen}\"\npeer = \"{peer}\"\n\
         admin = \"{admin}\"\nplatform = \"{platform}\"\ninstances = \"{platform}\"\n\
         weights = \"{platform}\"\n\n[log]\nlevel = \"{}\"\n\n{}",
        zone(n),
        plan.log_level,
        tls_section(dir)
    )
}

fn agent_settings(
    plan: &FleetBuilder,
    dir: &Path,
    n: usize,
    addrs: [SocketAddr; 4],
    service: Option<&str>,
) -> String {
    let [peer, admin, platform, endpoint] = addrs;
    let kind = match service {
        Some(name) => format!("kind = \"service\"\nservice = \"{name}\""),
        None => "kind = \"engine\"".to_owned(),
    };
    format!(
        "name = \"agent-{n}\"\nzone = \"{}\"\npeer = \"{peer}\"\nadmin = \"{admin}\"\n\
         platform = \"{platform}\"\nmax_running = {}\nlast_order_ms = {}\n\n[endpoint]\n{kind}\n\
         address = \"{endpoint}\"\n\n[log]\nlevel = \"{}\"\n\n{}",
        zone(n),
        plan.max_running,
        plan.last_order_ms,
        plan.log_level,
        tls_section(dir)
    )
}

fn endpoint(
    plan: &FleetBuilder,
    n: usize,
    listen: SocketAddr,
    platform: SocketAddr,
    service: Option<&(String, u64)>,
) -> Process {
    let (program, options) = match service {
        Some((_, work_ms)) => (
            "standin-service",
            vec![
                ("listen", listen.to_string()),
                ("work-ms", work_ms.to_string()),
            ],
        ),
        None => (
            "standin-engine",
            vec![
                ("listen", listen.to_string()),
                ("weights", platform.to_string()),
                ("memory-bytes", plan.memory_bytes.to_string()),
                ("step-us", plan.step_us.to_string()),
                ("obeys-fence", plan.obeys_fence.to_string()),
            ],
        ),
    };
    let args = options
        .into_iter()
        .flat_map(|(name, value)| [format!("--{name}"), value])
        .collect();
    Process::new(&format!("endpoint-{n}"), listen, None, program, args)
}
