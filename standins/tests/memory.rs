//! Engine memory is not overcommitted and lost models are loaded again, with real
//! processes.

use std::path::Path;
use std::time::Duration;

use rattanstall::config::Document;
use rattanstall_standins::caller::Caller;
use rattanstall_standins::faults::Faults;
use rattanstall_standins::fleet::{Fleet, FleetBuilder};
use rustix::process::Signal;
use serde_json::Value;

/// Models of the fleet; the memory of one engine holds four.
const MODELS: usize = 6;

fn builder(obeys_fence: bool) -> FleetBuilder {
    let builder = FleetBuilder::default().engines(3).services(Vec::new());
    let builder = builder.models(MODELS).model_bytes(100).memory_bytes(450);
    builder.obeys_fence(obeys_fence)
}

async fn start(builder: FleetBuilder) -> Fleet {
    let fleet = builder.start().expect("the fleet starts");
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../examples/nilecrest.toml");
    fleet
        .apply(Document::read(&file).expect("a valid file"))
        .await;
    fleet
}

async fn overcommit_count(fleet: &Fleet) -> u64 {
    let mut sum = 0;
    for endpoint in fleet.endpoints.iter().filter(|e| e.pid().is_some()) {
        let history = Caller::new(endpoint.listen).get("/control/history").await;
        let history = history.expect("the engine responds");
        sum += history["overcommits"].as_u64().expect("a number");
    }
    sum
}

/// Returns the number of models that a gateway's state dump shows as ready on a
/// healthy agent.
fn ready_model_count(state: &Value) -> usize {
    let agents = state["agents"].as_array().cloned().unwrap_or_default();
    let healthy = agents.iter().filter(|a| a["healthy"] == true);
    let models = healthy.flat_map(|a| a["models"].as_array().cloned().unwrap_or_default());
    let mut ready: Vec<String> = models
        .filter(|m| m["state"] == "ready")
        .filter_map(|m| m["model"].as_str().map(str::to_owned))
        .collect();
    ready.sort();
    ready.dedup();
    ready.len()
}

/// Returns the index of the gateway that leads placement.
async fn leader_index(fleet: &Fleet) -> usize {
    for _ in 0..600 {
        for (n, gateway) in fleet.gateways.iter().enumerate() {
            let state = gateway.state().await.unwrap_or_default();
            if state["leader_fence"].is_u64() {
                return n;
            }
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    panic!("no leader");
}

#[tokio::test]
async fn models_of_a_dead_endpoint_are_loaded_elsewhere() {
    let mut fleet = start(builder(true)).await;
    fleet.wait_ready().await;
    fleet.agents[0].kill();
    fleet.endpoints[0].kill();
    fleet
        .wait_for(|state| {
            let agents = state["agents"].as_array().map_or(0, Vec::len);
            agents == 2 && ready_model_count(state) == MODELS
        })
        .await;
    assert_eq!(overcommit_count(&fleet).await, 0);
}

/// A leader that was frozen beyond its term must not issue orders when it resumes. The
/// engines here accept old fencing numbers, so they would carry out such orders.
#[tokio::test]
async fn a_leader_resumed_after_its_term_issues_no_orders() {
    let mut fleet = start(builder(false)).await;
    let old = leader_index(&fleet).await;
    fleet.wait_ready().await;
    let old_fence = fleet.gateways[old].state().await.unwrap()["leader_fence"].as_u64();
    fleet.gateways[old].signal(Signal::STOP);
    let mut frozen = fleet.gateways.remove(old);
    let new = leader_index(&fleet).await;
    let new_fence = fleet.gateways[new].state().await.unwrap()["leader_fence"].as_u64();
    assert!(new_fence > old_fence, "{new_fence:?} {old_fence:?}");
    // The loss of an engine gives both the old and the new leader orders to issue.
    fleet.agents[1].kill();
    fleet.endpoints[1].kill();
    frozen.signal(Signal::CONT);
    fleet
        .wait_for(|state| ready_model_count(state) == MODELS)
        .await;
    let orders_issued = frozen.state().await.unwrap()["moves"].as_u64();
    tokio::time::sleep(Duration::from_secs(1)).await;
    let state = frozen.state().await.unwrap();
    assert!(state["leader_fence"].is_null(), "{state}");
    assert_eq!(state["moves"].as_u64(), orders_issued);
    assert_eq!(overcommit_count(&fleet).await, 0);
    frozen.kill();
}

/// A restarted agent does not know the orders that its predecessor sent. It must not
/// assign their memory again while they may still take effect.
#[tokio::test]
async fn late_orders_and_restarted_agents_do_not_overcommit() {
    for obeys_fence in [true, false] {
        // Orders take effect after the agent has stopped waiting for their responses.
        let mut fleet = start(builder(obeys_fence).last_order_ms(4_000)).await;
        let faults = Faults {
            late_orders_ms: 3_000,
            ..Faults::default()
        };
        for endpoint in &fleet.endpoints {
            Caller::new(endpoint.listen).set_faults(&faults).await;
        }
        for round in 0..2 {
            tokio::time::sleep(Duration::from_millis(4_500)).await;
            fleet.agents[round].kill();
            fleet.restart(|fleet| &mut fleet.agents[round]).unwrap();
        }
        fleet
            .wait_for(|state| ready_model_count(state) == MODELS)
            .await;
        assert_eq!(
            overcommit_count(&fleet).await,
            0,
            "obeys fences: {obeys_fence}"
        );
    }
}
