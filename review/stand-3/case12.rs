//! A gateway stands still while an engine crashes and comes back, in the middle of streams of which one
//! has neither a length nor chunks.
//!
//! Without arguments this is the case; with `engine` it is the engine's process, at the address that
//! follows if there is one.

#[path = "stand.rs"]
mod stand;

use std::io::{BufRead as _, BufReader, Write as _};
use std::net::{SocketAddr, TcpListener};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use stand::*;

const GATEWAYS: usize = 4;
/// Engines beside the one that crashes.
const OTHERS: usize = 6;
/// Streams of a wave. Two waves come before the one in which the engine crashes, so that its one
/// stream without chunks, the first of the last wave there, is one of about 24.
const CONSUMERS: usize = 56;
const LAST_WAVE: char = 'c';
/// From one wave to the next: a stream takes 4 s.
const WAVE_MS: u64 = 5_000;
/// When the gateway is suspended, after the requests were sent, and for how long.
const FREEZE_AT_MS: u64 = 1_000;
const FREEZE_MS: u64 = 3_400;
/// When the engine crashes after that, and how long it is down.
const CRASH_AFTER_MS: u64 = 600;
const DOWN_MS: u64 = 2_000;
const DEADLINE_MS: u64 = 15_000;
const SIGSTOP: i32 = 19;
const SIGCONT: i32 = 18;
const BORN: u64 = 1_765_000_000_000;

/// What an engine's process holds: the model, an order under way, and the orders so far.
static HOLDS: AtomicBool = AtomicBool::new(false);
static IS_BUSY: AtomicBool = AtomicBool::new(false);
static ORDERS: AtomicU64 = AtomicU64::new(0);
/// Whether the process has begun its unframed stream.
static HAS_BEGUN: AtomicBool = AtomicBool::new(false);
/// What it says when it has loaded the model.
const LOADED: &str = "has loaded the model";

/// Serves streams until the process is killed; one of them ends with its channel, the others have
/// chunks. After a restart it holds no model until it is ordered to load it.
fn be_engine(address: Option<&str>) -> ! {
    let is_back = address.is_some();
    HOLDS.store(!is_back, Ordering::Release);
    let listener = TcpListener::bind(address.unwrap_or("127.0.0.1:0")).expect("an address");
    println!("{}", listener.local_addr().expect("an address"));
    serve(listener, move |req, out| {
        let (status, body) = match req.path() {
            "/rattanstall/report" => ("200 OK", report(is_back)),
            "/rattanstall/order" => (take_order(), "{}".to_owned()),
            _ if !HOLDS.load(Ordering::Acquire) => ("421 Misdirected Request", String::new()),
            _ => return write_stream(req, out),
        };
        let id = req.id();
        let head = format!(
            "HTTP/1.1 {status}\r\nRattanstall-Request-Id: {id}\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        out.write_all((head + &body).as_bytes())?;
        Ok(true)
    });
    loop {
        thread::park();
    }
}

/// Takes the order to load the model. No other comes: there is one model.
fn take_order() -> &'static str {
    if HOLDS.load(Ordering::Acquire) {
        return "200 OK";
    }
    if IS_BUSY.swap(true, Ordering::AcqRel) {
        return "409 Conflict";
    }
    ORDERS.fetch_add(1, Ordering::AcqRel);
    thread::spawn(|| {
        sleep_ms(1_200);
        HOLDS.store(true, Ordering::Release);
        IS_BUSY.store(false, Ordering::Release);
        println!("{LOADED}");
    });
    "202 Accepted"
}

fn models(holds: bool) -> &'static str {
    match holds {
        true => "[{\"Name\":\"m-one\",\"Version\":1,\"Adapters\":[]}]",
        false => "[]",
    }
}

fn born(is_back: bool) -> u64 {
    BORN + 60_000 * u64::from(is_back)
}

fn report(is_back: bool) -> String {
    format!(
        "{{\"Stage\":\"both\",\"Models\":{},\"Busy\":{},\"Seq\":{},\"Waiting\":0,\"Running\":0,\
         \"KvUsed\":0,\"KvTotal\":164235,\"Handles\":0,\"born\":{}}}",
        models(HOLDS.load(Ordering::Acquire)),
        IS_BUSY.load(Ordering::Acquire),
        ORDERS.load(Ordering::Acquire),
        born(is_back)
    )
}

fn write_stream(req: &Received, out: &mut std::net::TcpStream) -> std::io::Result<bool> {
    let after: usize = req.header("Last-Event-Id").parse().unwrap_or(0);
    let is_unframed = req.id().starts_with(LAST_WAVE) && !HAS_BEGUN.swap(true, Ordering::AcqRel);
    println!(
        "runs {} after event {after}, unframed: {is_unframed}",
        req.id()
    );
    let framing = match is_unframed {
        true => "Connection: close",
        false => "Transfer-Encoding: chunked",
    };
    let head = format!(
        "HTTP/1.1 200 OK\r\nRattanstall-Request-Id: {}\r\nRattanstall-Server-Stamp: 3e1b.{}\r\n\
         Rattanstall-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\n{framing}\r\n\r\n",
        req.id(),
        req.id()
    );
    out.write_all(head.as_bytes())?;
    for event in after + 1..=EVENTS {
        sleep_ms(EVENT_PAUSE_MS);
        let text = format!("id: {event}\ndata: words {event} of {EVENTS}\n\n");
        let piece = match is_unframed {
            true => text,
            false => format!("{:x}\r\n{text}\r\n", text.len()),
        };
        out.write_all(piece.as_bytes())?;
    }
    if !is_unframed {
        out.write_all(b"0\r\n\r\n")?;
    }
    Ok(!is_unframed)
}

fn engine_entry(address: SocketAddr, is_back: bool, holds: bool) -> String {
    format!(
        "{{\"Service\":\"liquor-llm\",\"Address\":\"{address}\",\"Zone\":\"zone-a\",\
         \"Version\":\"v1\",\"Slots\":48,\"State\":\"ready\",\"ColdLeftMs\":0,\"Stage\":\"both\",\
         \"Models\":{},\"Seq\":1,\"born\":{}}}",
        models(holds),
        born(is_back)
    )
}

fn start_engine(store: &Arc<Store>, at: Option<SocketAddr>) -> (Child, SocketAddr) {
    let program = std::env::current_exe().expect("this program");
    let started = Command::new(program)
        .arg("engine")
        .args(at.map(|address| address.to_string()))
        .stdout(Stdio::piped())
        .spawn();
    let mut process = started.unwrap_or_else(|e| cannot_run(&format!("no engine: {e}")));
    note_child(&process);
    let mut lines = BufReader::new(process.stdout.take().expect("piped")).lines();
    let address = lines.next().and_then(Result::ok);
    let address = address.and_then(|text| text.parse().ok());
    let address = address.unwrap_or_else(|| cannot_run("the engine names no address"));
    let store = store.clone();
    thread::spawn(move || {
        for line in lines.map_while(Result::ok) {
            if line == LOADED {
                store.put("servers/i-back", &engine_entry(address, true, true));
            }
            record(&format!("engine at {address} {line}"));
        }
    });
    (process, address)
}

type Consumer = thread::JoinHandle<(String, Answer, Vec<usize>)>;

fn start_wave(to: SocketAddr, wave: char) -> Vec<Consumer> {
    (0..CONSUMERS)
        .map(|index| {
            thread::spawn(move || {
                let id = format!("{wave}{index:02}-night");
                let stream = connect(to, Pace::default()).expect("the gateway accepts");
                (&stream)
                    .write_all(&stream_request(&id, DEADLINE_MS, None))
                    .expect("sent");
                let within = Duration::from_millis(DEADLINE_MS);
                let answer = read_answer(&stream, Pace::default(), within);
                let text = String::from_utf8_lossy(&answer.body).into_owned();
                let ids = text.lines().filter_map(|l| l.strip_prefix("id: "));
                let ids: Vec<usize> = ids.filter_map(|id| id.parse().ok()).collect();
                record(&format!(
                    "consumer got {id}: status {}, {} events, the last {:?}, end {:?}",
                    answer.status,
                    ids.len(),
                    ids.last(),
                    answer.end
                ));
                (id, answer, ids)
            })
        })
        .collect()
}

fn main() {
    let mut arguments = std::env::args().skip(1);
    if arguments.next().as_deref() == Some("engine") {
        be_engine(arguments.next().as_deref());
    }
    open_record();
    let (store, store_address) = Store::start();
    for index in 0..OTHERS {
        ModelEngine::start(&store, &format!("i-{index}"), "v1", true);
    }
    let (mut engine, address) = start_engine(&store, None);
    store.put("servers/i-crash", &engine_entry(address, false, true));
    store.put("op/config", &stream_config());
    let mut gateways: Vec<Gateway> = (0..GATEWAYS)
        .map(|n| Gateway::start(&format!("front-zone-a-{n}"), "zone-a", store_address))
        .collect();
    sleep_ms(5_000);

    let to = gateways[0].front;
    let mut consumers = start_wave(to, 'a');
    for wave in ['b', LAST_WAVE] {
        sleep_ms(WAVE_MS);
        consumers.extend(start_wave(to, wave));
    }
    sleep_ms(FREEZE_AT_MS);
    if has_trouble() {
        gateways[0].signal(SIGSTOP);
        sleep_ms(CRASH_AFTER_MS);
        record("engine i-crash crashes (SIGKILL)");
        kill_child(&mut engine);
        sleep_ms(DOWN_MS);
        let (back, _) = start_engine(&store, Some(address));
        engine = back;
        record("engine i-crash is back at its address, as i-back");
        store.remove("servers/i-crash");
        store.put("servers/i-back", &engine_entry(address, true, false));
        sleep_ms(FREEZE_MS - CRASH_AFTER_MS - DOWN_MS);
        gateways[0].signal(SIGCONT);
    }
    let all: Vec<usize> = (1..=EVENTS).collect();
    let mut broken = Vec::new();
    for consumer in consumers {
        let (id, answer, ids) = consumer.join().expect("a consumer");
        if !all.starts_with(&ids) {
            broken.push(format!(
                "{id}: ORDER: a piece is missing or comes twice: {ids:?}"
            ));
        }
        let is_success = (200..300).contains(&answer.status);
        if is_success && answer.looks_complete() && ids.len() < EVENTS {
            let last = ids.last().copied().unwrap_or(0);
            broken.push(format!(
                "{id}: ORDER: the stream ends as complete after event {last} of {EVENTS}"
            ));
        }
    }
    gateways.iter_mut().for_each(Gateway::end);
    kill_child(&mut engine);
    finish(&broken);
}
