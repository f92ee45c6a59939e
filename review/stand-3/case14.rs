//! The gateways are stopped and started in turn while consumers read long answers slowly.

#[path = "stand.rs"]
mod stand;

use std::io::Write as _;
use std::thread;
use std::time::{Duration, Instant};

use stand::*;

const GATEWAYS: usize = 6;
/// Consumers at each gateway, and by how many bytes the answer of each is longer.
const CONSUMERS: usize = 8;
const BODY_BYTES: usize = 700_000;
const MORE_BYTES: usize = 6_000;
/// Bytes that a consumer reads each 50 ms: 120 kB a second, so that an answer takes 6 s.
const STEP: usize = 6_000;
/// How long before SIGTERM the requests are sent, and the time from one stop to the next.
const BEFORE_MS: u64 = 500;
const GAP_MS: u64 = 2_000;
const DEADLINE_MS: u64 = 20_000;
const GRACE: Duration = Duration::from_secs(8);

fn body_of(id: &str) -> Vec<u8> {
    let (gateway, consumer) = id.split_once('-').expect("two numbers");
    let gateway: usize = gateway.trim_start_matches('g').parse().expect("a number");
    let consumer: usize = consumer.trim_start_matches('c').parse().expect("a number");
    numbered_body(BODY_BYTES + consumer * MORE_BYTES + gateway * 1_700)
}

fn main() {
    open_record();
    let (store, store_address) = Store::start();
    for name in ["i-1", "i-2"] {
        let (listener, engine) = listen();
        serve(listener, move |req, out| {
            record(&format!("engine {name} runs {} ({})", req.id(), req.method));
            let body = body_of(req.id());
            let head = format!(
                "HTTP/1.1 200 OK\r\nRattanstall-Request-Id: {}\r\n\
                 Rattanstall-Server-Stamp: 3e1b.{}\r\nContent-Length: {}\r\n\r\n",
                req.id(),
                req.id(),
                body.len()
            );
            out.write_all(head.as_bytes())?;
            let written = out.write_all(&body);
            if let Err(error) = &written {
                record(&format!(
                    "engine {name} cannot write to {}: {error}",
                    req.id()
                ));
            }
            written.map(|()| true)
        });
        store.put(
            &format!("servers/{name}"),
            &entry("recovery-desk", engine, "zone-a", "ready")
                .replace("\"Slots\":6", "\"Slots\":24"),
        );
    }
    store.put("op/config", &config(7, "recovery-desk", 20_000));
    let gateways: Vec<Gateway> = (0..GATEWAYS)
        .map(|n| Gateway::start(&format!("front-zone-a-{n}"), "zone-a", store_address))
        .collect();
    sleep_ms(3_500);

    let began = Instant::now();
    let stops: Vec<_> = gateways
        .into_iter()
        .enumerate()
        .map(|(index, mut gateway)| {
            thread::spawn(move || {
                let stop_at = Duration::from_millis(BEFORE_MS + GAP_MS * index as u64);
                let send_at = stop_at - Duration::from_millis(BEFORE_MS);
                thread::sleep(send_at.saturating_sub(began.elapsed()));
                let to = gateway.front;
                let consumers: Vec<_> = (0..CONSUMERS)
                    .map(|consumer| thread::spawn(move || consume(index, consumer, to)))
                    .collect();
                thread::sleep(stop_at.saturating_sub(began.elapsed()));
                let stopped_at = Instant::now();
                if has_trouble() {
                    gateway.signal(SIGTERM);
                    while !gateway.has_ended() && stopped_at.elapsed() < GRACE {
                        sleep_ms(5);
                    }
                    let after = stopped_at.elapsed().as_secs_f64();
                    record(&format!(
                        "gateway {} ended {after:.2} s after SIGTERM",
                        gateway.name
                    ));
                    gateway.kill();
                    gateway.start_again();
                }
                let answers = consumers.into_iter().map(|c| c.join().expect("a consumer"));
                let answers: Vec<_> = answers.collect();
                gateway.end();
                (stopped_at, answers)
            })
        })
        .collect();
    let mut broken = Vec::new();
    let mut all = 0;
    for stop in stops {
        let (stopped_at, answers) = stop.join().expect("a gateway");
        for (id, answer, ended_at) in answers {
            all += 1;
            let body = body_of(&id);
            if !body.starts_with(&answer.body) {
                broken.push(format!("{id}: the bytes are not the engine's"));
            }
            let after = ended_at.saturating_duration_since(stopped_at);
            let is_cut = answer.end != End::Framed || answer.body.len() != body.len();
            // Planned work lasts until 1 s after GraceS.
            if is_cut && after < GRACE + Duration::from_secs(1) {
                broken.push(format!(
                    "LOST: {id} was passed on to an engine, and its channel ended ({:?}) {:.1} s \
                     after SIGTERM with {} of {} bytes",
                    answer.end,
                    after.as_secs_f64(),
                    answer.body.len(),
                    body.len()
                ));
            }
        }
    }
    record(&format!("{all} answers, {} of them cut", broken.len()));
    finish(&broken);
}

fn consume(gateway: usize, consumer: usize, to: std::net::SocketAddr) -> (String, Answer, Instant) {
    let (method, path) = [("GET", "/lookup/day"), ("POST", "/filing/day")][consumer % 2];
    let id = format!("g{gateway}-c{consumer}");
    let pace = Pace {
        bytes_per_step: STEP,
        receive_buffer: 0,
    };
    let sent: &[u8] = if method == "POST" { b"report" } else { b"" };
    let stream = connect(to, pace).expect("the gateway accepts");
    (&stream)
        .write_all(&request(method, path, &id, DEADLINE_MS, sent))
        .expect("sent");
    let answer = read_answer(&stream, pace, Duration::from_millis(DEADLINE_MS));
    record(&format!(
        "consumer got {id} ({method}): status {}, {} of {} bytes, end {:?}, after {:.1} s",
        answer.status,
        answer.body.len(),
        body_of(&id).len(),
        answer.end,
        answer.took.as_secs_f64()
    ));
    (id, answer, Instant::now())
}
