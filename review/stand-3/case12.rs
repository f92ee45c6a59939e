//! An engine is taken away at short notice while it writes streams that have neither a length nor
//! chunks.
//!
//! Without arguments this is the case; with `engine` it is the engine's process.

#[path = "stand.rs"]
mod stand;

use std::io::{BufRead as _, BufReader, Write as _};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use stand::*;

/// Events of a stream, and the pause before each.
const EVENTS: usize = 49;
const PAUSE_MS: u64 = 80;
/// When the notice is given, after the requests were sent, and how much time it leaves.
const NOTICE_AT_MS: u64 = 500;
const REMAINING_MS: u64 = 2_000;
const DEADLINE_MS: u64 = 12_000;
const CONSUMERS: usize = 8;
const BORN: u64 = 1_765_000_000_000;

/// Serves streams that end with their channel, until the process is killed.
fn be_engine() -> ! {
    let (listener, address) = listen();
    println!("{address}");
    // The number of orders accepted, and whether it holds the model.
    let state = Mutex::new((0u64, true));
    serve(listener, move |req, out| {
        if req.path() == "/rattanstall/report" {
            let (seq, holds) = *state.lock().unwrap();
            let model = "{\"Name\":\"m-one\",\"Version\":1,\"Adapters\":[]}";
            let body = format!(
                "{{\"Stage\":\"both\",\"Models\":[{}],\"Busy\":false,\"Seq\":{seq},\"Waiting\":0,\
                 \"Running\":0,\"KvUsed\":0,\"KvTotal\":160000,\"Handles\":0,\"born\":{BORN}}}",
                if holds { model } else { "" }
            );
            let head = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            out.write_all((head + &body).as_bytes())?;
            return Ok(true);
        }
        if req.path() == "/rattanstall/order" {
            println!("gets the order {}", String::from_utf8_lossy(&req.body));
            let order = Json::parse(&req.body).unwrap_or(Json::Null);
            let mut state = state.lock().unwrap();
            let wants = order.get("Operation").str() == "load";
            let status = match state.1 == wants {
                true => "200 OK",
                false => {
                    *state = (state.0 + 1, wants);
                    "202 Accepted"
                }
            };
            let head = format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n");
            out.write_all(head.as_bytes())?;
            return Ok(true);
        }
        let after: usize = req.header("Last-Event-Id").parse().unwrap_or(0);
        println!("runs {} ({} {}) after event {after}", req.id(), req.method, req.target);
        let head = format!(
            "HTTP/1.1 200 OK\r\nRattanstall-Request-Id: {}\r\n\
             Rattanstall-Server-Stamp: 3e1b.{}\r\nRattanstall-Weight-Versions: 1\r\n\
             Content-Type: text/event-stream\r\nConnection: close\r\n\r\n",
            req.id(),
            req.id()
        );
        out.write_all(head.as_bytes())?;
        for event in after + 1..=EVENTS {
            sleep_ms(PAUSE_MS);
            out.write_all(format!("id: {event}\ndata: words {event} of {EVENTS}\n\n").as_bytes())?;
        }
        println!("has written the last event of {}", req.id());
        Ok(false)
    });
    loop {
        thread::park();
    }
}

struct Engine {
    process: Child,
    address: SocketAddr,
}

fn start_engine(name: &'static str) -> Engine {
    let program = std::env::current_exe().expect("this program");
    let started = Command::new(program)
        .arg("engine")
        .stdout(Stdio::piped())
        .spawn();
    let mut process = started.unwrap_or_else(|e| cannot_run(&format!("no engine: {e}")));
    note_child(&process);
    let mut lines = BufReader::new(process.stdout.take().expect("piped")).lines();
    let address = lines.next().and_then(Result::ok);
    let address = address.and_then(|text| text.parse().ok());
    let address = address.unwrap_or_else(|| cannot_run("the engine names no address"));
    thread::spawn(move || {
        for line in lines.map_while(Result::ok) {
            record(&format!("engine {name} {line}"));
        }
    });
    Engine { process, address }
}

fn engine_entry(address: SocketAddr, state: &str, seq: u64, remaining: Option<u64>) -> String {
    let remaining = remaining.map_or(String::new(), |ms| format!("\"RemainingMs\":{ms},"));
    format!(
        "{{\"Service\":\"liquor-llm\",\"Address\":\"{address}\",\"Zone\":\"zone-a\",\
         \"Version\":\"v1\",\"Slots\":48,\"State\":\"{state}\",{remaining}\"ColdLeftMs\":0,\
         \"Stage\":\"both\",\"Models\":[{{\"Name\":\"m-one\",\"Version\":1,\"Adapters\":[]}}],\
         \"Seq\":{seq},\"born\":{BORN}}}"
    )
}

fn stream_config() -> String {
    let route = |name: &str, prefix: &str, can_resume: bool, attempts: u32| {
        format!(
            "{{\"Name\":\"{name}\",\"Host\":\"mill.example\",\"Prefix\":\"{prefix}\",\
             \"Kind\":\"stream\",\"TimeoutMs\":12000,\"TargetLatencyMs\":250,\"Priority\":0,\
             \"Service\":\"liquor-llm\",\"MaxAttempts\":{attempts},\"Public\":false,\
             \"Sticky\":true,\"CanResume\":{can_resume},\"GapAimMs\":250}}"
        )
    };
    let routes = [
        route("shift", "/shift/", false, 1),
        route("night", "/night/", true, 2),
    ];
    format!(
        "{{\"Version\":7,\"Routes\":[{}],\"Services\":[{{\"Name\":\"liquor-llm\",\
         \"HealthPath\":\"/healthz\",\"MaxConns\":300,\"Protocol\":\"h1\",\"Tls\":false,\
         \"Engine\":{{\"Slots\":48,\"KvCapacity\":164235,\"WeightMb\":200000.0,\
         \"AdapterSlots\":8,\"LoadsPerS\":2.6,\"Models\":[{{\"Name\":\"m-one\",\
         \"WeightMb\":65100.0,\"LoadS\":1.2,\"Adapters\":0,\"AdapterMb\":12.0}}]}}}}],\
         \"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\
         \"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}},\
         \"Tenants\":[{{\"Name\":\"mill-one\",\"ApiKeys\":[\"key-one\"],\"Priority\":1,\
         \"Unit\":\"tokens\",\"PlainTokens\":200,\"RatePerS\":106857,\"Burst\":106857}}]}}",
        routes.join(",")
    )
}

fn stream_request(path: &str, id: &str, index: usize) -> Vec<u8> {
    format!(
        "POST {path} HTTP/1.1\r\nHost: mill.example\r\nRattanstall-Request-Id: {id}\r\n\
         Rattanstall-Model: m-one\r\nRattanstall-Token-Count: 826,294\r\n\
         Rattanstall-Prompt-Prefix: 5c1e07a2:198,e4402b{index:02x}:628\r\n\
         Rattanstall-Deadline-Ms: {DEADLINE_MS}\r\nAuthorization: Bearer key-one\r\n\
         Content-Length: 6\r\n\r\nprompt"
    )
    .into_bytes()
}

fn main() {
    if std::env::args().nth(1).as_deref() == Some("engine") {
        be_engine();
    }
    open_record();
    let (store, store_address) = Store::start();
    let mut engines = ["i-1", "i-2"].map(start_engine);
    for (index, engine) in engines.iter().enumerate() {
        let key = format!("servers/i-{}", index + 1);
        store.put(&key, &engine_entry(engine.address, "ready", 1, None));
    }
    store.put("op/config", &stream_config());
    let mut gateway = Gateway::start("front-zone-a-1", "zone-a", store_address);
    sleep_ms(3_500);

    let consumers: Vec<_> = (0..CONSUMERS)
        .map(|index| {
            let to = gateway.front;
            thread::spawn(move || {
                let path = ["/shift/sum", "/night/sum"][index % 2];
                let id = format!("c{index}-{}", &path[1..6]);
                let stream = connect(to, Pace::default()).expect("the gateway accepts");
                record(&format!("consumer sends {id} (POST {path})"));
                (&stream)
                    .write_all(&stream_request(path, &id, index))
                    .expect("sent");
                let within = Duration::from_millis(DEADLINE_MS);
                let answer = read_answer(&stream, Pace::default(), within);
                let text = String::from_utf8_lossy(&answer.body).into_owned();
                let ids = text.lines().filter_map(|l| l.strip_prefix("id: "));
                let ids: Vec<usize> = ids.filter_map(|id| id.parse().ok()).collect();
                record(&format!(
                    "consumer got {id}: status {}, stamp {:?}, {} events, the last {:?}, end {:?}",
                    answer.status,
                    answer.header("Rattanstall-Server-Stamp"),
                    ids.len(),
                    ids.last(),
                    answer.end
                ));
                (id, answer, ids)
            })
        })
        .collect();
    sleep_ms(NOTICE_AT_MS);
    if has_trouble() {
        record("engine i-1 reports draining with RemainingMs 2000");
        let notice = engine_entry(engines[0].address, "draining", 2, Some(REMAINING_MS));
        store.put("servers/i-1", &notice);
        sleep_ms(REMAINING_MS);
        record("the time runs out: engine i-1 is gone (SIGKILL)");
        kill_child(&mut engines[0].process);
        store.remove("servers/i-1");
    }
    let all: Vec<usize> = (1..=EVENTS).collect();
    let mut broken = Vec::new();
    for consumer in consumers {
        let (id, answer, ids) = consumer.join().expect("a consumer");
        if !all.starts_with(&ids) {
            broken.push(format!("{id}: ORDER: a piece is missing or comes twice: {ids:?}"));
        }
        let is_success = (200..300).contains(&answer.status);
        if is_success && answer.looks_complete() && ids.len() < EVENTS {
            let last = ids.last().copied().unwrap_or(0);
            broken.push(format!(
                "{id}: ORDER: the stream ends as complete after event {last} of {EVENTS}"
            ));
        }
    }
    gateway.end();
    engines.iter_mut().for_each(|engine| kill_child(&mut engine.process));
    finish(&broken);
}
