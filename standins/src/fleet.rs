//! A small fleet of real processes on loopback, for tests and the quick start.

mod process;
mod settings;

use std::collections::HashSet;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use rattanstall::config::Document;
use rattanstall::instances::{Instance, Role};
use rattanstall::operator::{CreatedKey, Operator};
use rustix::process::Signal;
use serde_json::{Value, json};

use crate::caller::Caller;
use crate::platform::PlatformSetup;

pub use process::{Process, program_dir, spawn};
use settings::{
    PortAllocator, agent_settings, endpoint_process, gateway_settings, instance, models,
    write_settings,
};
pub use settings::{free_address, loopback_address};

/// How long the fleet may take to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(60);
const POLL_INTERVAL: Duration = Duration::from_millis(50);

static NEXT_FLEET_NUMBER: AtomicU32 = AtomicU32::new(0);

/// Builder of a [`Fleet`].
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
        /// Number of gateways, spread over the availability zones in turn.
        gateways: usize,
        /// Number of model engines.
        engines: usize,
        /// Services without models by name, each with the duration of a call in milliseconds.
        services: Vec<(String, u64)>,
        /// Number of models, named `m0`, `m1` and so on.
        models: usize,
        /// Memory of one model, in bytes.
        model_bytes: u64,
        /// Memory of one engine, in bytes.
        memory_bytes: u64,
        /// Duration of a load, in milliseconds.
        load_ms: u64,
        /// Duration of an engine's step, in microseconds.
        step_us: u64,
        /// Requests that an endpoint runs at once.
        max_running: usize,
        /// Whether engines refuse old fencing numbers.
        obeys_fence: bool,
        /// How long an order may still take effect after it was sent, in milliseconds.
        last_order_ms: u64,
    }

    /// Writes the settings and starts the processes, without waiting for them to be ready.
    pub fn start(self) -> io::Result<Fleet> {
        Fleet::start(self)
    }
}

/// The processes of a fleet; dropping it kills them.
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
    fn start(builder: FleetBuilder) -> io::Result<Self> {
        let number = NEXT_FLEET_NUMBER.fetch_add(1, Ordering::Relaxed);
        let name = format!("rattanstall-{}-{number}", std::process::id());
        let dir = std::env::temp_dir().join(name);
        fs::create_dir_all(&dir)?;
        rattanstall::tls::create_material(&dir).map_err(io::Error::other)?;
        let mut ports = PortAllocator;
        let platform_addr = ports.next_free()?;
        let mut instances = Vec::new();
        let mut gateways = Vec::new();
        for n in 0..builder.gateways {
            let name = format!("gw-{n}");
            let (listen, peer, admin) =
                (ports.next_free()?, ports.next_free()?, ports.next_free()?);
            let text = gateway_settings(&builder, &dir, n, [listen, peer, admin, platform_addr]);
            instances.push(instance(&name, Role::Gateway, n, peer, admin));
            let args = write_settings(&dir, &name, &text)?;
            let program = "rattanstall-gateway";
            gateways.push(Process::new(&name, listen, Some(admin), program, args));
        }
        let mut endpoints = Vec::new();
        let mut agents = Vec::new();
        for n in 0..builder.engines + builder.services.len() {
            let listen = ports.next_free()?;
            let service = n.checked_sub(builder.engines).map(|s| &builder.services[s]);
            endpoints.push(endpoint_process(
                &builder,
                n,
                listen,
                platform_addr,
                service,
            ));
            let name = format!("agent-{n}");
            let (peer, admin) = (ports.next_free()?, ports.next_free()?);
            let service = service.map(|s| s.0.as_str());
            let addrs = [peer, admin, platform_addr, listen];
            let text = agent_settings(&builder, &dir, n, addrs, service);
            instances.push(instance(&name, Role::Agent, n, peer, admin));
            let args = write_settings(&dir, &name, &text)?;
            agents.push(Process::new(
                &name,
                peer,
                Some(admin),
                "rattanstall-agent",
                args,
            ));
        }
        let setup = PlatformSetup {
            concurrent_loads: 3,
            load_ms: builder.load_ms,
            models: models(&builder),
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

    /// Returns an operator client for this fleet.
    pub fn operator(&self) -> Operator {
        Operator::new(self.platform.listen, Some(self.platform.listen))
    }

    /// Applies a configuration and waits until it is in force at all gateways.
    pub async fn apply(&self, document: Document) -> u64 {
        let operator = self.operator();
        let deadline = Instant::now() + READY_TIMEOUT;
        let revision = loop {
            match operator.apply(document.clone(), None).await {
                Ok(revision) => break revision,
                Err(error) if Instant::now() < deadline => {
                    eprintln!("applying the configuration failed, retrying: {error}");
                    tokio::time::sleep(POLL_INTERVAL).await;
                }
                Err(error) => panic!("applying the configuration failed: {error}"),
            }
        };
        let result = operator
            .wait_for_revision(revision, READY_TIMEOUT, |_, _| {})
            .await;
        result.expect("all gateways have the configuration");
        revision
    }

    /// Creates a key and waits until all gateways know it.
    pub async fn create_key(&self, workspace: &str) -> CreatedKey {
        let operator = self.operator();
        let key = operator.create_key(workspace).await.expect("a key");
        let result = operator
            .wait_for_revision(key.revision, READY_TIMEOUT, |_, _| {})
            .await;
        result.expect("all gateways have the key");
        key
    }

    /// Waits until every gateway may charge and sees every agent healthy and
    /// every model ready somewhere.
    pub async fn wait_ready(&self) {
        let agents = self.agents.len();
        self.wait_for(move |state| {
            let agents_seen = state["agents"].as_array().cloned().unwrap_or_default();
            let is_up = |a: &Value| a["healthy"] == json!(true) && a["draining"] == json!(false);
            let ready: HashSet<String> = agents_seen
                .iter()
                .flat_map(|a| a["models"].as_array().cloned().unwrap_or_default())
                .filter(|m| m["state"] == json!("ready"))
                .filter_map(|m| m["model"].as_str().map(str::to_owned))
                .collect();
            state["may_charge"] == json!(true)
                && state["shares_active"] == json!(true)
                && state["is_current"] == json!(true)
                && agents_seen.iter().filter(|a| is_up(a)).count() == agents
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
                "the condition was not met in time; logs are in {}: {states:#?}",
                self.dir.display()
            );
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Starts a process that has exited or been killed, with the same settings.
    pub fn restart(&mut self, select: impl Fn(&mut Self) -> &mut Process) -> io::Result<()> {
        let dir = self.dir.clone();
        select(self).spawn(&dir)
    }

    /// Replaces the instance list.
    pub async fn set_instances(&self, instances: &[Instance]) {
        let body = serde_json::to_string(instances).expect("instances are JSON");
        let caller = Caller::new(self.platform.listen);
        let options = crate::caller::RequestOptions::default();
        let path = "/control/instances";
        let res = caller
            .request(http::Method::PUT, path, &options, body)
            .await;
        assert_eq!(res.expect("the platform responds").status, 200);
    }

    /// Shuts all processes down gracefully: gateways, agents, endpoints, then the platform.
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
