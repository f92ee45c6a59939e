//! One request from end to end through real processes, and bad input at each step.

use std::path::Path;

use http::Method;
use rattanstall::config::Document;
use rattanstall_standins::caller::{Ask, Caller, chat};
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

fn keyed(key: &str) -> Ask<'_> {
    Ask {
        key: Some(key),
        ..Ask::default()
    }
}

#[tokio::test]
async fn requests_pass_and_bad_input_is_refused() {
    let (fleet, caller, key) = start().await;
    let ask = keyed(&key);

    let answer = caller
        .post(CHAT, &ask, &chat("m1", "hello", 8, true))
        .await
        .unwrap();
    assert_eq!(answer.status, 200);
    assert!(answer.is_whole);
    assert!(answer.body.ends_with(b"data: [DONE]\n\n"));
    let id = answer.headers["x-request-id"].to_str().unwrap().to_owned();
    let text = String::from_utf8_lossy(&answer.body);
    assert!(text.contains(&format!("chatcmpl-{id}")), "{text}");

    let answer = caller
        .post(CHAT, &ask, &chat("m2", "hello", 8, false))
        .await
        .unwrap();
    assert_eq!(answer.json()["usage"]["completion_tokens"], 8);

    let answer = caller
        .post("/orders/new", &ask, &json!({ "wheel": 1 }))
        .await
        .unwrap();
    assert_eq!(answer.json()["ok"], true);
    let open = Ask::default();
    let answer = caller
        .ask(Method::GET, "/opening-hours", &open, "")
        .await
        .unwrap();
    assert_eq!(answer.status, 200);

    refuses_bad_input(&caller, &ask).await;
    endpoints_saw_no_key(&fleet).await;
    nothing_shows_the_key(&fleet, &key).await;
    fleet.stop().expect("every process ends with success");
}

async fn refuses_bad_input(caller: &Caller, ask: &Ask<'_>) {
    let body = chat("m0", "hello", 4, false);
    let cases = [
        (CHAT, Ask::default(), body.to_string(), 401, 2001),
        (CHAT, keyed("wrong"), body.to_string(), 401, 2001),
        (CHAT, ask.clone(), "{".to_owned(), 400, 1001),
        (CHAT, ask.clone(), "{}".to_owned(), 400, 1001),
        (CHAT, ask.clone(), "x".repeat(3 << 20), 413, 1002),
        (
            CHAT,
            ask.clone(),
            chat("m99", "hello", 4, false).to_string(),
            404,
            1005,
        ),
        (
            CHAT,
            ask.clone(),
            chat("m0", "hello", 40_000, false).to_string(),
            400,
            2004,
        ),
        ("/nowhere", ask.clone(), body.to_string(), 404, 1004),
    ];
    for (path, ask, body, status, code) in cases {
        let answer = caller.ask(Method::POST, path, &ask, body).await.unwrap();
        assert_eq!(
            (answer.status.as_u16(), answer.code()),
            (status, code),
            "{path}"
        );
        assert_eq!(answer.ran(), "no");
    }
    let bad_class = Ask {
        class: Some("no-such-class"),
        ..ask.clone()
    };
    let answer = caller.post(CHAT, &bad_class, &body).await.unwrap();
    assert_eq!(answer.code(), 1006);
    let answer = caller.ask(Method::GET, CHAT, ask, "").await.unwrap();
    assert_eq!(answer.code(), 1007);
    let answer = caller.post(CHAT, ask, &body).await.unwrap();
    assert_eq!(answer.status, 200, "the gateway goes on");
}

async fn endpoints_saw_no_key(fleet: &Fleet) {
    for endpoint in &fleet.endpoints {
        let control = Caller::new(endpoint.listen);
        for path in ["/control/history", "/control/runs"] {
            let seen = control.get(path).await.unwrap_or_default().to_string();
            assert!(!seen.contains("authorization"), "{}: {seen}", endpoint.name);
        }
    }
}

/// Searches logs, state dumps, metrics and the platform's store for the secret.
async fn nothing_shows_the_key(fleet: &Fleet, key: &str) {
    let mut places = Vec::new();
    for file in std::fs::read_dir(fleet.dir()).expect("the fleet's directory") {
        let file = file.expect("an entry").path();
        let text = std::fs::read_to_string(&file).expect("a readable file");
        places.push((file.display().to_string(), text));
    }
    for process in fleet.gateways.iter().chain(&fleet.agents) {
        let caller = Caller::new(process.admin.expect("an operators' port"));
        for path in ["/state", "/metrics"] {
            let answer = caller.ask(Method::GET, path, &Ask::default(), "").await;
            let text = String::from_utf8_lossy(&answer.unwrap().body).into_owned();
            places.push((format!("{} {path}", process.name), text));
        }
    }
    let stored = fleet.operator().current().await.unwrap();
    places.push(("store".to_owned(), format!("{:?}", stored.document())));
    assert!(places.len() > 20);
    for (place, text) in places {
        assert!(!text.contains(key), "{place} shows the key");
    }
}
