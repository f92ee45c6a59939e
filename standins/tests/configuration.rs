//! An accepted configuration comes into force at every gateway and never reverts,
//! and a withdrawn key stops working, whichever component fails.

use std::path::Path;
use std::time::{Duration, Instant};

use http::{Method, StatusCode};
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use rattanstall::config::Document;
use rattanstall::error::Error;
use rattanstall_standins::caller::{Caller, RequestOptions, chat};
use rattanstall_standins::faults::Faults;
use rattanstall_standins::fleet::{Fleet, FleetBuilder};
use rustix::process::Signal;

const CHAT: &str = "/v1/chat/completions";
/// Longest wait for an expected state; it only keeps a failing test from hanging.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);

fn document() -> Document {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../examples/ostekaelderen.toml");
    Document::read(&file).expect("a valid file")
}

async fn start() -> Fleet {
    let builder = FleetBuilder::default().engines(1).models(1).step_us(20_000);
    let fleet = builder.start().expect("the fleet starts");
    fleet.apply(document()).await;
    fleet.wait_ready().await;
    fleet
}

fn with_key(key: &str) -> RequestOptions<'_> {
    RequestOptions {
        key: Some(key),
        ..RequestOptions::default()
    }
}

/// Sends requests until the response has the expected result code.
async fn wait_for_code(caller: &Caller, key: &str, code: u64) {
    let deadline = Instant::now() + TEST_TIMEOUT;
    loop {
        let res = caller
            .request(Method::GET, "/v1/models", &with_key(key), "")
            .await;
        let found = res.expect("the gateway responds").code();
        if found == code {
            return;
        }
        assert!(
            Instant::now() < deadline,
            "result code is {found}, expected {code}"
        );
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Opens a stream of 2,000 tokens at 20 ms each and reads its first frame.
/// Token buckets start empty, so the first attempts may be refused and are retried.
async fn open_stream(caller: &Caller, key: &str) -> Incoming {
    let deadline = Instant::now() + TEST_TIMEOUT;
    loop {
        let body = chat("m0", "hello", 2_000, true).to_string();
        let res = caller
            .send(Method::POST, CHAT, &with_key(key), body)
            .await
            .unwrap();
        if res.status() == StatusCode::OK {
            let mut body = res.into_body();
            assert!(body.frame().await.is_some_and(|frame| frame.is_ok()));
            return body;
        }
        assert_eq!(res.status(), StatusCode::TOO_MANY_REQUESTS);
        assert!(Instant::now() < deadline);
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

/// Reads a stream to its end; returns its text and whether it was truncated.
async fn read_to_end(mut body: Incoming) -> (String, bool) {
    let mut text = String::new();
    loop {
        match body.frame().await {
            Some(Ok(frame)) => {
                let data = frame.into_data().unwrap_or_default();
                text.push_str(&String::from_utf8_lossy(&data));
            }
            Some(Err(_)) => return (text, true),
            None => return (text, false),
        }
    }
}

#[tokio::test]
async fn a_withdrawn_key_cuts_running_streams() {
    let fleet = start().await;
    let key = fleet.create_key("aarhus-web").await;
    let caller = Caller::new(fleet.gateways[2].listen);
    let body = open_stream(&caller, &key.secret).await;
    fleet.operator().withdraw_key(&key.digest).await.unwrap();
    let (text, is_truncated) = read_to_end(body).await;
    assert!(is_truncated, "the stream ends in a broken connection");
    assert!(
        text.contains("\"code\":2002"),
        "the stream contains an error event: {text}"
    );
    assert!(!text.contains("[DONE]"));
    for gateway in &fleet.gateways {
        wait_for_code(&Caller::new(gateway.listen), &key.secret, 2001).await;
    }
    wait_for_cancellation(&fleet).await;
}

async fn wait_for_cancellation(fleet: &Fleet) {
    let engine = Caller::new(fleet.endpoints[0].listen);
    let deadline = Instant::now() + TEST_TIMEOUT;
    loop {
        let history = engine.get("/control/history").await.unwrap();
        let run = &history["runs"][0];
        let before = run["tokens"].as_u64().unwrap();
        tokio::time::sleep(Duration::from_millis(300)).await;
        let history = engine.get("/control/history").await.unwrap();
        if history["runs"][0]["tokens"].as_u64().unwrap() == before {
            assert_eq!(run["finished"], false);
            return;
        }
        assert!(
            Instant::now() < deadline,
            "the engine is still generating tokens"
        );
    }
}

#[tokio::test]
async fn withdrawing_a_key_cancels_its_queued_request() {
    let builder = FleetBuilder::default()
        .engines(1)
        .models(1)
        .services(Vec::new());
    let builder = builder.step_us(20_000).max_running(1);
    let fleet = builder.start().expect("the fleet starts");
    fleet.apply(document()).await;
    fleet.wait_ready().await;
    let running = fleet.create_key("aarhus-web").await;
    let waiting = fleet.create_key("aarhus-web").await;
    let caller = Caller::new(fleet.gateways[0].listen);
    // Occupies the engine for 40 s.
    let _stream = open_stream(&caller, &running.secret).await;
    let call = {
        let (caller, secret) = (caller.clone(), waiting.secret.clone());
        tokio::spawn(async move {
            let options = RequestOptions {
                key: Some(&secret),
                class: Some("nightly"),
                ..RequestOptions::default()
            };
            caller
                .post(CHAT, &options, &chat("m0", "hello", 2, false))
                .await
                .unwrap()
        })
    };
    tokio::time::sleep(Duration::from_millis(500)).await;
    fleet
        .operator()
        .withdraw_key(&waiting.digest)
        .await
        .unwrap();
    let res = tokio::time::timeout(Duration::from_secs(10), call).await;
    let res = res
        .expect("the response arrives before the timeout")
        .unwrap();
    assert_eq!(res.code(), 2002, "{res:?}");
    let history = Caller::new(fleet.endpoints[0].listen)
        .get("/control/history")
        .await;
    let runs = history.unwrap()["runs"].as_array().unwrap().len();
    assert_eq!(runs, 1, "the request never reached the engine");
}

#[tokio::test]
async fn a_disconnected_caller_cancels_its_request() {
    let fleet = start().await;
    let key = fleet.create_key("aarhus-web").await;
    let caller = Caller::new(fleet.gateways[0].listen);
    drop(open_stream(&caller, &key.secret).await);
    wait_for_cancellation(&fleet).await;
}

/// Of two changes to the same revision, one must fail instead of being overwritten, and
/// an append whose reply is lost must be recognized as applied and not repeated.
#[tokio::test]
async fn racing_operators_get_a_conflict_and_lost_replies_are_resolved() {
    let fleet = start().await;
    let operator = fleet.operator();
    let base = operator.current().await.unwrap().revision();
    let changed = |rate| {
        let mut document = document();
        document.workspaces[0].rate_tokens_per_s = rate;
        document
    };
    let (one, other) = tokio::join!(
        operator.apply(changed(111), Some(base)),
        operator.apply(changed(222), Some(base)),
    );
    let winners = [&one, &other].iter().filter(|r| r.is_ok()).count();
    assert_eq!(winners, 1, "{one:?} {other:?}");
    let is_conflict = |r: &Result<u64, Error>| matches!(r, Err(Error::Conflict { .. }));
    assert!(is_conflict(&one) || is_conflict(&other));

    let lost = Faults {
        lost_replies: 1,
        ..Faults::default()
    };
    // The lost reply must be the one to the append, so the gateways are frozen and
    // send no calls.
    for gateway in &fleet.gateways {
        gateway.signal(Signal::STOP);
    }
    let copy = operator.current().await.unwrap();
    let change = copy.document().diff(&changed(333));
    Caller::new(fleet.platform.listen).set_faults(&lost).await;
    let platform = rattanstall::platform::Platform::new(fleet.platform.listen);
    let apply = "apply-1".into();
    let revision = rattanstall::configuration::append(&platform, &copy, &apply, &change).await;
    for gateway in &fleet.gateways {
        gateway.signal(Signal::CONT);
    }
    assert_eq!(revision.unwrap(), copy.revision() + 1);
    let rate = operator.current().await.unwrap().document().workspaces[0].rate_tokens_per_s;
    assert_eq!(rate, 333);
}

#[tokio::test]
async fn a_frozen_gateway_does_not_serve_a_key_withdrawn_meanwhile() {
    let fleet = start().await;
    let key = fleet.create_key("aarhus-web").await;
    let caller = Caller::new(fleet.gateways[0].listen);
    wait_for_code(&caller, &key.secret, 0).await;
    fleet.gateways[0].signal(Signal::STOP);
    fleet.operator().withdraw_key(&key.digest).await.unwrap();
    // Longer than a confirmation stays valid.
    tokio::time::sleep(Duration::from_millis(3_500)).await;
    let call = {
        let (caller, secret) = (caller.clone(), key.secret.clone());
        tokio::spawn(async move {
            let options = with_key(&secret);
            caller
                .request(Method::GET, "/v1/models", &options, "")
                .await
                .unwrap()
                .code()
        })
    };
    tokio::time::sleep(Duration::from_millis(100)).await;
    fleet.gateways[0].signal(Signal::CONT);
    let code = call.await.unwrap();
    assert!(
        [2001, 2005].contains(&code),
        "unexpected result code {code}"
    );
    wait_for_code(&caller, &key.secret, 2001).await;
}

#[tokio::test]
async fn gateways_serve_through_an_outage_until_they_are_isolated() {
    let mut fleet = start().await;
    let key = fleet.create_key("aarhus-web").await;
    let caller = Caller::new(fleet.gateways[0].listen);
    wait_for_code(&caller, &key.secret, 0).await;
    let outage = Faults {
        outage: true,
        ..Faults::default()
    };
    let platform = Caller::new(fleet.platform.listen);
    platform.set_faults(&outage).await;
    // Longer than confirmations and leases stay valid.
    let until = Instant::now() + Duration::from_millis(7_000);
    while Instant::now() < until {
        let res = caller
            .post(CHAT, &with_key(&key.secret), &chat("m0", "hello", 2, false))
            .await;
        let res = res.unwrap();
        assert_eq!(res.status, 200, "{res:?}");
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    let stream = open_stream(&caller, &key.secret).await;
    for gateway in &fleet.gateways[1..] {
        gateway.signal(Signal::STOP);
    }
    wait_for_code(&caller, &key.secret, 2005).await;
    let (text, is_truncated) = read_to_end(stream).await;
    assert!(is_truncated && text.contains("\"code\":2005"), "{text}");
    let public = caller
        .request(
            Method::GET,
            "/opening-hours",
            &RequestOptions::default(),
            "",
        )
        .await;
    assert_eq!(
        public.unwrap().status,
        200,
        "public routes are still served"
    );
    for gateway in &fleet.gateways[1..] {
        gateway.signal(Signal::CONT);
    }
    wait_for_code(&caller, &key.secret, 0).await;

    // A gateway that starts during the outage has no configuration and refuses
    // requests with code 2005.
    fleet.gateways[1].kill();
    fleet.restart(|fleet| &mut fleet.gateways[1]).unwrap();
    let restarted = Caller::new(fleet.gateways[1].listen);
    let deadline = Instant::now() + TEST_TIMEOUT;
    while restarted.get("/healthz").await.is_none() {
        assert!(Instant::now() < deadline);
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let res = restarted
        .request(Method::GET, "/v1/models", &with_key(&key.secret), "")
        .await;
    assert_eq!(res.unwrap().code(), 2005);
    platform.set_faults(&Faults::default()).await;
    wait_for_code(&restarted, &key.secret, 0).await;
}
