//! Planned stops of each role under load cut no request.

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use rattanstall::config::Document;
use rattanstall_standins::caller::{Ask, Caller, chat};
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

/// Sends streams and orders until told to stop; every answer must be whole.
/// Like a balancer, it goes on to the next gateway when one does not connect
/// or is not ready.
struct Load {
    is_over: Arc<AtomicBool>,
    tasks: Vec<tokio::task::JoinHandle<u64>>,
}

impl Load {
    fn start(fleet: &Fleet, key: &str) -> Self {
        let is_over = Arc::new(AtomicBool::new(false));
        let gateways: Vec<Caller> = fleet
            .gateways
            .iter()
            .map(|g| Caller::new(g.listen))
            .collect();
        let tasks = (0..CALLERS)
            .map(|n| {
                let (gateways, key) = (gateways.clone(), key.to_owned());
                let is_over = is_over.clone();
                tokio::spawn(async move {
                    let mut done = 0u64;
                    while !is_over.load(Ordering::Relaxed) {
                        send_one(&gateways, n, &key, done).await;
                        done += 1;
                    }
                    done
                })
            })
            .collect();
        Self { is_over, tasks }
    }

    async fn finish(self) -> u64 {
        self.is_over.store(true, Ordering::Relaxed);
        let mut done = 0;
        for task in self.tasks {
            done += task.await.expect("no request is cut");
        }
        done
    }
}

async fn send_one(gateways: &[Caller], caller: usize, key: &str, done: u64) {
    let ask = Ask {
        key: Some(key),
        ..Ask::default()
    };
    let gateway = ready_gateway(gateways, caller).await;
    if done.is_multiple_of(3) {
        let order = json!({ "order": done, "caller": caller });
        let answer = gateway.post("/orders/new", &ask, &order).await.unwrap();
        assert_eq!(answer.status, 200, "{answer:?}");
        return;
    }
    // One caller's streams last longer than any announcement.
    let tokens = if caller == 0 { 800 } else { 30 };
    let body = chat(&format!("m{}", caller % 4), "hello", tokens, true);
    let answer = gateway
        .post("/v1/chat/completions", &ask, &body)
        .await
        .unwrap();
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    assert_eq!(answer.status, 200, "{text}");
    assert!(answer.is_whole && text.ends_with("[DONE]\n\n"), "{text}");
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
async fn a_stopping_gateway_cuts_nothing() {
    let (mut fleet, key) = start().await;
    let load = Load::start(&fleet, &key);
    tokio::time::sleep(Duration::from_millis(500)).await;
    fleet.gateways[0].signal(Signal::TERM);
    let ended = tokio::task::block_in_place(|| fleet.gateways[0].wait());
    assert!(ended.unwrap().success());
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert!(load.finish().await > 20);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_leaving_engine_cuts_nothing_and_its_models_stay_reachable() {
    let (mut fleet, key) = start().await;
    let load = Load::start(&fleet, &key);
    tokio::time::sleep(Duration::from_millis(500)).await;
    fleet.agents[0].signal(Signal::TERM);
    let ended = tokio::task::block_in_place(|| fleet.agents[0].wait());
    assert!(ended.unwrap().success());
    let before = runs(&fleet, 0).await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert!(load.finish().await > 20);
    assert_eq!(
        runs(&fleet, 0).await,
        before,
        "a stopped endpoint gets no work"
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
    // Its models are ready elsewhere before it gets nothing any more.
    fleet
        .wait_for(|state| {
            let agents = state["agents"].as_array().cloned().unwrap_or_default();
            let stays = |a: &&Value| a["name"] == "agent-1";
            let held = agents.iter().find(stays).map(|a| a["models"].clone());
            let held = held
                .unwrap_or_default()
                .as_array()
                .cloned()
                .unwrap_or_default();
            held.iter().filter(|m| m["state"] == "ready").count() == 4
        })
        .await;
    let load = Load::start(&fleet, &key);
    tokio::time::sleep(Duration::from_millis(300)).await;
    let before = runs(&fleet, 0).await;
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    assert_eq!(runs(&fleet, 0).await, before);
    assert!(load.finish().await > 20);
}

/// Requests that an engine has run.
async fn runs(fleet: &Fleet, engine: usize) -> usize {
    let history = Caller::new(fleet.endpoints[engine].listen)
        .get("/control/history")
        .await;
    let runs = history.unwrap_or_default()["runs"].as_array().cloned();
    runs.unwrap_or_default().len()
}
