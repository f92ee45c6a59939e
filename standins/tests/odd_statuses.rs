//! Responses whose status HTTP does not define, to calls of the control thread and of agents.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, StatusCode};
use rattanstall::clock::Millis;
use rattanstall::config::Document;
use rattanstall::direct::connection::{
    CALL_LIMITS, CallClient, ExchangeError, call, call_endpoint,
};
use rattanstall_standins::caller::{Caller, RequestOptions};
use rattanstall_standins::endpoint::{Answer, EndpointSetup, EndpointStandIn, Piece};
use rattanstall_standins::fleet::FleetBuilder;
use serde_json::json;
use tokio::task::LocalSet;

const TIMEOUT: Millis = Millis(2_000);
const ODD_LINES: [&str; 10] = [
    "HTTP/1.1 000 OK",
    "HTTP/1.1 099 OK",
    "HTTP/1.1 101 Switching Protocols",
    "HTTP/1.1 600 Odd",
    "HTTP/1.1 999 Odd",
    "HTTP/1.1 20 OK",
    "HTTP/1.1 2000 OK",
    "HTTP/1.1 OK",
    "200 OK",
    "garbage",
];

fn odd_answer(line: &str) -> Answer {
    let text = format!("{line}\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{{}}");
    Answer {
        script: vec![Piece::after(0, text)],
        ..Answer::default()
    }
}

// Guards against an order, a report or a call of the store that counts as answered.
#[tokio::test]
async fn a_call_with_an_odd_status_is_not_answered() {
    let listen = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = EndpointStandIn::start(listen, EndpointSetup::default()).expect("a free port");
    for line in ODD_LINES {
        let client = RefCell::new(CallClient::new(server.address(), CALL_LIMITS));
        let get = || Request::new(Bytes::new());
        let local = LocalSet::new();
        // On a new connection, and on one that carried a call.
        for is_kept in [false, true] {
            if is_kept {
                server.set_answer(Answer::default());
                let res = local.run_until(call(&client, get(), TIMEOUT)).await;
                assert!(res.is_ok(), "{res:?}");
            }
            server.set_answer(odd_answer(line));
            let res = local.run_until(call(&client, get(), TIMEOUT)).await;
            let is_unanswered = matches!(res, Err(ExchangeError::Unanswered(_)));
            assert!(is_unanswered, "{line}: {res:?}");
        }
        let heard = Cell::new(false);
        let hear = |_, _: &http::HeaderMap| heard.set(true);
        let sent = call_endpoint(server.address(), get(), TIMEOUT, async || true, hear);
        let res = local.run_until(sent).await;
        let is_unanswered = matches!(res, Err(ExchangeError::Unanswered(_)));
        assert!(is_unanswered && !heard.get(), "{line}: {res:?}");
    }
}

// Guards against the same by way of an agent: its caller gets an outcome that is unknown.
#[tokio::test]
async fn an_agent_passes_no_odd_status_on() {
    let service = ("orders".to_owned(), 5);
    let builder = FleetBuilder::default().engines(0).models(0);
    let mut fleet = builder.services(vec![service]).start().expect("a fleet");
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../examples/ostekaelderen.toml");
    let document = Document::read(&file).expect("a valid file");
    fleet.apply(document).await;
    let key = fleet.create_key("aarhus-packing").await.secret;
    fleet.wait_ready().await;
    let address = fleet.endpoints[0].listen;
    fleet.endpoints[0].kill();
    let endpoint = EndpointStandIn::start(address, EndpointSetup::default()).expect("its port");
    endpoint.set_page("/healthz", 200, json!({}));
    let caller = Caller::new(fleet.gateways[0].listen);
    let options = RequestOptions {
        key: Some(&key),
        idempotency_key: None,
        class: None,
    };
    endpoint.set_answer(odd_answer("HTTP/1.1 200 OK"));
    let order = json!({ "order": 1 });
    let mut served = false;
    for _ in 0..100 {
        let res = caller.post("/orders/new", &options, &order).await;
        served = res.expect("a response").status == 200;
        if served {
            break;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    assert!(served);
    for line in ODD_LINES {
        endpoint.set_answer(odd_answer(line));
        let sent_before = endpoint.history().requests.len();
        let res = caller.post("/orders/new", &options, &order).await;
        let res = res.expect("a response");
        assert_eq!(
            (res.status, res.ran().as_str()),
            (StatusCode::BAD_GATEWAY, "unknown"),
            "{line}: {res:?}"
        );
        let history = endpoint.history();
        let sent = history.requests[sent_before..].iter();
        let sent = sent
            .filter(|req| req.head.starts_with("POST /orders"))
            .count();
        assert_eq!(sent, 1, "{line}: an order may run once");
    }
}
