//! Planned stops of each role under load interrupt no request.

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use rattanstall::config::Document;
use rattanstall_standins::caller::{Caller, RequestOptions, chat};
use rattanstall_standins::fleet::{Fleet, FleetBuilder};
use rustix::process::Signal;
use serde_json::{Value, json};

const CALLERS: usize = 6;

async fn start() -> (Fleet, String) {
    let builder = FleetBuilder::default().models(4).step_us(5_000);
    let fleet = builder.start().expect("the fleet starts");
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../examples/ostekaelderen.toml");
    let mut document = Document::read(&file).expect("a valid file");
    for workspace in &mut document.workspaces {
        (workspace.rate_tokens_per_s, workspace.burst_tokens) = (1_000_000, 1_000_000);
    }
    fleet.apply(document).await;
    let key = fleet.create_key("aarhus-web").await.secret;
    fleet.wait_ready().await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    (fleet, key)
}

/// Sends streams and orders until it is stopped; every response must be complete.
/// Like a load balancer, it skips gateways that do not connect or are not ready.
struct BackgroundLoad {
    is_stopped: Arc<AtomicBool>,
    tasks: Vec<tokio::task::JoinHandle<u64>>,
}

impl BackgroundLoad {
    fn start(fleet: &Fleet, key: &str) -> Self {
        let is_stopped = Arc::new(AtomicBool::new(false));
        let gateways: Vec<Caller> = fleet
            .gateways
            .iter()
            .map(|g| Caller::new(g.listen))
            .collect();
        let tasks = (0..CALLERS)
            .map(|n| {
                let (gateways, key) = (gateways.clone(), key.to_owned());
                let is_stopped = is_stopped.clone();
                tokio::spawn(async move {
                    let mut completed = 0u64;
                    while !is_stopped.load(Ordering::Relaxed) {
                        send_one(&gateways, n, &key, completed).await;
                        completed += 1;
                    }
                    completed
                })
            })
            .collect();
        Self { is_stopped, tasks }
    }

    async fn finish(self) -> u64 {
        self.is_stopped.store(true, Ordering::Relaxed);
        let mut completed = 0;
        for task in self.tasks {
            completed += task.await.expect("no request is interrupted");
        }
        completed
    }
}

async fn send_one(gateways: &[Caller], caller: usize, key: &str, completed: u64) {
    let options = RequestOptions {
        key: Some(key),
        ..RequestOptions::default()
    };
    let gateway = ready_gateway(gateways, caller).await;
    if completed.is_multiple_of(3) {
        let order = json!({ "order": completed, "caller": caller });
        let res = gateway.post("/orders/new", &options, &order).await.unwrap();
        assert_eq!(res.status, 200, "{res:?}");
        return;
    }
    // One caller's streams last longer than the time a process announces its shutdown.
    let tokens = if caller == 0 { 800 } else { 30 };
    let body = chat(&format!("m{}", caller % 4), "hello", tokens, true);
    let res = gateway
        .post("/v1/chat/completions", &options, &body)
        .await
        .unwrap();
    let text = String::from_utf8_lossy(&res.body).into_owned();
    assert_eq!(res.status, 200, "{text}");
    assert!(res.is_complete && text.ends_with("[DONE]\n\n"), "{text}");
}

async fn ready_gateway(gateways: &[Caller], first: usize) -> &Caller {
    for n in 0.. {
        let gateway = &gateways[(first + n) % gateways.len()];
        let health = gateway.get("/healthz").await.unwrap_or_default();
        if health["may_charge"] == json!(true) && health["draining"] == json!(false) {
            return gateway;
        }
    }
    unreachable!()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stopping_gateway_interrupts_no_request() {
    let (mut fleet, key) = start().await;
    let load = BackgroundLoad::start(&fleet, &key);
    tokio::time::sleep(Duration::from_millis(500)).await;
    fleet.gateways[0].signal(Signal::TERM);
    let exit = tokio::task::block_in_place(|| fleet.gateways[0].wait());
    assert!(exit.unwrap().success());
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert!(load.finish().await > 20);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stopping_agent_interrupts_no_request_and_its_models_stay_reachable() {
    let (mut fleet, key) = start().await;
    let load = BackgroundLoad::start(&fleet, &key);
    tokio::time::sleep(Duration::from_millis(500)).await;
    fleet.agents[0].signal(Signal::TERM);
    let exit = tokio::task::block_in_place(|| fleet.agents[0].wait());
    assert!(exit.unwrap().success());
    let before = run_count(&fleet, 0).await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert!(load.finish().await > 20);
    assert_eq!(
        run_count(&fleet, 0).await,
        before,
        "the endpoint of a stopped agent receives no requests"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_instance_listed_as_leaving_gets_no_new_work() {
    let (fleet, key) = start().await;
    let mut instances = fleet.instances.clone();
    for instance in instances.iter_mut().filter(|i| i.name == "agent-0") {
        instance.leaving = true;
    }
    fleet.set_instances(&instances).await;
    // Its models become ready elsewhere before it stops receiving requests.
    fleet
        .wait_for(|state| {
            let agents = state["agents"].as_array().cloned().unwrap_or_default();
            let is_remaining = |a: &&Value| a["name"] == "agent-1";
            let models = agents
                .iter()
                .find(is_remaining)
                .map(|a| a["models"].clone());
            let models = models
                .unwrap_or_default()
                .as_array()
                .cloned()
                .unwrap_or_default();
            models.iter().filter(|m| m["state"] == "ready").count() == 4
        })
        .await;
    let load = BackgroundLoad::start(&fleet, &key);
    tokio::time::sleep(Duration::from_millis(300)).await;
    let before = run_count(&fleet, 0).await;
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    assert_eq!(run_count(&fleet, 0).await, before);
    assert!(load.finish().await > 20);
}

/// Returns the number of requests that an engine has run.
async fn run_count(fleet: &Fleet, engine: usize) -> usize {
    let history = Caller::new(fleet.endpoints[engine].listen)
        .get("/control/history")
        .await;
    let runs = history.unwrap_or_default()["runs"].as_array().cloned();
    runs.unwrap_or_default().len()
}
