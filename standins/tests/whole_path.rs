//! Requests from end to end through real processes, and the refusal of invalid input.

use std::path::Path;

use http::Method;
use rattanstall::config::Document;
use rattanstall_standins::caller::{Caller, RequestOptions, chat};
use rattanstall_standins::fleet::{Fleet, FleetBuilder};
use serde_json::json;

const CHAT: &str = "/v1/chat/completions";

async fn start() -> (Fleet, Caller, String) {
    let fleet = FleetBuilder::default().start().expect("the fleet starts");
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../examples/ostekaelderen.toml");
    fleet
        .apply(Document::read(&file).expect("a valid file"))
        .await;
    let key = fleet.create_key("aarhus-web").await.secret;
    fleet.wait_ready().await;
    let caller = Caller::new(fleet.gateways[0].listen);
    (fleet, caller, key)
}

fn with_key(key: &str) -> RequestOptions<'_> {
    RequestOptions {
        key: Some(key),
        ..RequestOptions::default()
    }
}

#[tokio::test]
async fn requests_pass_and_bad_input_is_refused() {
    let (fleet, caller, key) = start().await;
    let options = with_key(&key);

    let res = caller
        .post(CHAT, &options, &chat("m1", "hello", 8, true))
        .await
        .unwrap();
    assert_eq!(res.status, 200);
    assert!(res.is_complete);
    assert!(res.body.ends_with(b"data: [DONE]\n\n"));
    let id = res.headers["x-request-id"].to_str().unwrap().to_owned();
    let text = String::from_utf8_lossy(&res.body);
    assert!(text.contains(&format!("chatcmpl-{id}")), "{text}");

    let res = caller
        .post(CHAT, &options, &chat("m2", "hello", 8, false))
        .await
        .unwrap();
    assert_eq!(res.json()["usage"]["completion_tokens"], 8);

    let res = caller
        .post("/orders/new", &options, &json!({ "wheel": 1 }))
        .await
        .unwrap();
    assert_eq!(res.json()["ok"], true);
    let public = RequestOptions::default();
    let res = caller
        .request(Method::GET, "/opening-hours", &public, "")
        .await
        .unwrap();
    assert_eq!(res.status, 200);

    assert_bad_input_is_refused(&caller, &options).await;
    assert_endpoints_saw_no_key(&fleet).await;
    assert_key_is_not_exposed(&fleet, &key).await;
    fleet.stop().expect("every process ends with success");
}

async fn assert_bad_input_is_refused(caller: &Caller, options: &RequestOptions<'_>) {
    let body = chat("m0", "hello", 4, false);
    let cases = [
        (CHAT, RequestOptions::default(), body.to_string(), 401, 2001),
        (CHAT, with_key("wrong"), body.to_string(), 401, 2001),
        (CHAT, options.clone(), "{".to_owned(), 400, 1001),
        (CHAT, options.clone(), "{}".to_owned(), 400, 1001),
        (CHAT, options.clone(), "x".repeat(3 << 20), 413, 1002),
        (
            CHAT,
            options.clone(),
            chat("m99", "hello", 4, false).to_string(),
            404,
            1005,
        ),
        (
            CHAT,
            options.clone(),
            chat("m0", "hello", 40_000, false).to_string(),
            400,
            2004,
        ),
        ("/nowhere", options.clone(), body.to_string(), 404, 1004),
    ];
    for (path, options, body, status, code) in cases {
        let res = caller
            .request(Method::POST, path, &options, body)
            .await
            .unwrap();
        assert_eq!((res.status.as_u16(), res.code()), (status, code), "{path}");
        assert_eq!(res.ran(), "no");
    }
    let bad_class = RequestOptions {
        class: Some("no-such-class"),
        ..options.clone()
    };
    let res = caller.post(CHAT, &bad_class, &body).await.unwrap();
    assert_eq!(res.code(), 1006);
    let res = caller
        .request(Method::GET, CHAT, options, "")
        .await
        .unwrap();
    assert_eq!(res.code(), 1007);
    let res = caller.post(CHAT, options, &body).await.unwrap();
    assert_eq!(res.status, 200, "the gateway still serves requests");
}

async fn assert_endpoints_saw_no_key(fleet: &Fleet) {
    for endpoint in &fleet.endpoints {
        let control = Caller::new(endpoint.listen);
        for path in ["/control/history", "/control/runs"] {
            let seen = control.get(path).await.unwrap_or_default().to_string();
            assert!(!seen.contains("authorization"), "{}: {seen}", endpoint.name);
        }
    }
}

/// Searches logs, state dumps, metrics and the platform's store for the secret.
async fn assert_key_is_not_exposed(fleet: &Fleet, key: &str) {
    let mut sources = Vec::new();
    for file in std::fs::read_dir(fleet.dir()).expect("the fleet's directory") {
        let file = file.expect("an entry").path();
        let text = std::fs::read_to_string(&file).expect("a readable file");
        sources.push((file.display().to_string(), text));
    }
    for process in fleet.gateways.iter().chain(&fleet.agents) {
        let caller = Caller::new(process.admin.expect("an operators' port"));
        for path in ["/state", "/metrics"] {
            let res = caller
                .request(Method::GET, path, &RequestOptions::default(), "")
                .await;
            let text = String::from_utf8_lossy(&res.unwrap().body).into_owned();
            sources.push((format!("{} {path}", process.name), text));
        }
    }
    let stored = fleet.operator().current().await.unwrap();
    sources.push(("store".to_owned(), format!("{:?}", stored.document())));
    assert!(sources.len() > 20);
    for (source, text) in sources {
        assert!(!text.contains(key), "{source} contains the key");
    }
}
