//! Sends signals to gateways and agents and checks that open responses are complete.

use std::path::Path;
use std::time::Duration;

use http::StatusCode;
use rattanstall::config::Document;
use rattanstall_standins::caller::{Caller, RequestOptions, chat};
use rattanstall_standins::fleet::{Fleet, FleetBuilder};
use rustix::process::Signal;
use serde_json::json;

/// Duration of a call to the service, in milliseconds.
const CALL_MS: u64 = 1_500;
/// Tokens of a stream, each of which takes one step.
const STREAM_TOKENS: u64 = 30;
const STEP_US: u64 = 50_000;

async fn start() -> (Fleet, String) {
    let builder = FleetBuilder::default().gateways(2).engines(1).models(1);
    let services = vec![("orders".to_owned(), CALL_MS)];
    let builder = builder.step_us(STEP_US).services(services);
    let fleet = builder.start().expect("the fleet starts");
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../examples/ostekaelderen.toml");
    let document = Document::read(&file).expect("a valid file");
    fleet.apply(document).await;
    let key = fleet.create_key("aarhus-web").await.secret;
    fleet.wait_ready().await;
    (fleet, key)
}

// Guards against SIGHUP ending a gateway or an agent, which cuts all of their open responses.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn sighup_of_gateways_and_agents_cuts_no_response() {
    let (fleet, key) = start().await;
    let caller = Caller::new(fleet.gateways[0].listen);
    let options = RequestOptions {
        key: Some(&key),
        ..RequestOptions::default()
    };
    let body = chat("m0", "Which cheese goes with quince?", STREAM_TOKENS, true);
    let stream = caller.post("/v1/chat/completions", &options, &body);
    let body = json!({ "wheel": "Vesterhavsost" });
    let order = caller.post("/orders/new", &options, &body);
    let body = json!({ "wheel": "Danbo" });
    let lookup = caller.post("/stock/danbo", &options, &body);
    let signals = async {
        tokio::time::sleep(Duration::from_millis(500)).await;
        for process in fleet.gateways.iter().chain(&fleet.agents) {
            process.signal(Signal::HUP);
        }
    };
    let (stream, order, lookup, ()) = tokio::join!(stream, order, lookup, signals);
    let stream = stream.expect("a response to the stream");
    assert_eq!((stream.status, stream.is_complete), (StatusCode::OK, true));
    assert!(stream.body.ends_with(b"[DONE]\n\n"));
    for call in [order, lookup] {
        let call = call.expect("a response to the call");
        assert_eq!((call.status, call.is_complete), (StatusCode::OK, true));
    }
    fleet.stop().expect("all processes exit with code 0");
}
