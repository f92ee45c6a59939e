//! An engine's process ends while it writes a plain answer that has neither a length nor chunks.
//!
//! Without arguments this is the case; with `engine` it is the engine's process, and the number that
//! may follow says which of its answers is unframed.

#[path = "stand.rs"]
mod stand;

use std::io::{BufRead as _, BufReader, Write as _};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use stand::*;

/// Pieces of an answer, and the pause before each.
const PIECES: usize = 8;
const PIECE_BYTES: usize = 100;
const PAUSE_MS: u64 = 100;
/// When the engine's process is killed, after the last request was sent: in the middle of the
/// unframed answer, which begins among the first.
const KILL_AT_MS: u64 = 300;
const DEADLINE_MS: u64 = 4_000;
const ENGINES: usize = 7;
const CONSUMERS: usize = 168;
/// The one answer without length, by its number at the engine that crashes: one of about 24.
const UNFRAMED: usize = 5;

/// Serves plain answers until the process is killed. The one named ends with its channel, the others
/// have a length.
fn be_engine(unframed: Option<usize>) -> ! {
    let (listener, address) = listen();
    println!("{address}");
    let so_far = AtomicUsize::new(0);
    serve(listener, move |req, out| {
        let number = so_far.fetch_add(1, Ordering::AcqRel) + 1;
        let is_unframed = unframed == Some(number);
        println!(
            "runs {} ({} {}), its answer {number}, unframed: {is_unframed}",
            req.id(),
            req.method,
            req.target
        );
        let body = numbered_body(PIECES * PIECE_BYTES);
        let framing = match is_unframed {
            true => "Connection: close".to_owned(),
            false => format!("Content-Length: {}", body.len()),
        };
        let head = format!(
            "HTTP/1.1 200 OK\r\nRattanstall-Request-Id: {}\r\n\
             Rattanstall-Server-Stamp: 3e1b.{}\r\nContent-Type: text/plain\r\n{framing}\r\n\r\n",
            req.id(),
            req.id()
        );
        out.write_all(head.as_bytes())?;
        for piece in body.chunks(PIECE_BYTES) {
            sleep_ms(PAUSE_MS);
            out.write_all(piece)?;
        }
        println!("has written the whole answer to {}", req.id());
        // The end of the channel is the end of an unframed answer.
        Ok(!is_unframed)
    });
    loop {
        thread::park();
    }
}

struct Engine {
    process: Child,
    address: std::net::SocketAddr,
}

fn start_engine(index: usize) -> Engine {
    let program = std::env::current_exe().expect("this program");
    let started = Command::new(program)
        .arg("engine")
        .args((index == 0).then(|| UNFRAMED.to_string()))
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
            record(&format!("engine i-{index} {line}"));
        }
    });
    Engine { process, address }
}

fn main() {
    let mut arguments = std::env::args().skip(1);
    if arguments.next().as_deref() == Some("engine") {
        be_engine(arguments.next().and_then(|number| number.parse().ok()));
    }
    open_record();
    let (store, store_address) = Store::start();
    let mut engines: Vec<Engine> = (0..ENGINES).map(start_engine).collect();
    for (index, engine) in engines.iter().enumerate() {
        let key = format!("servers/i-{index}");
        store.put(
            &key,
            &entry("recovery-desk", engine.address, "zone-a", "ready"),
        );
    }
    store.put("op/config", &config(7, "recovery-desk", 4_000));
    let mut gateway = Gateway::start("front-zone-a-1", "zone-a", store_address);
    sleep_ms(3_500);

    let consumers: Vec<_> = (0..CONSUMERS)
        .map(|index| {
            let to = gateway.front;
            // So that the queue of channels to accept doesn't overflow.
            sleep_ms(1);
            thread::spawn(move || {
                let (method, path) = [("GET", "/lookup/day"), ("POST", "/filing/day")][index % 2];
                let id = format!("c{index:03}-{}", &path[1..7]);
                let body: &[u8] = if method == "POST" { b"report" } else { b"" };
                let stream = connect(to, Pace::default()).expect("the gateway accepts");
                record(&format!("consumer sends {id} ({method} {path})"));
                (&stream)
                    .write_all(&request(method, path, &id, DEADLINE_MS, body))
                    .expect("sent");
                let within = Duration::from_millis(DEADLINE_MS);
                let answer = read_answer(&stream, Pace::default(), within);
                record(&format!(
                    "consumer got {id}: status {}, stamp {:?}, {} of {} bytes, end {:?}",
                    answer.status,
                    answer.header("Rattanstall-Server-Stamp"),
                    answer.body.len(),
                    PIECES * PIECE_BYTES,
                    answer.end
                ));
                (id, answer)
            })
        })
        .collect();
    sleep_ms(KILL_AT_MS);
    if has_trouble() {
        record("engine i-0 crashes (SIGKILL)");
        kill_child(&mut engines[0].process);
    }
    let whole = numbered_body(PIECES * PIECE_BYTES);
    let mut broken = Vec::new();
    for consumer in consumers {
        let (id, answer) = consumer.join().expect("a consumer");
        let is_success = (200..300).contains(&answer.status);
        if is_success && answer.looks_complete() && answer.body != whole {
            let (got, all) = (answer.body.len(), whole.len());
            broken.push(format!(
                "{id}: MIXED: a success that looks complete has {got} of the engine's {all} bytes"
            ));
        }
    }
    gateway.end();
    engines
        .iter_mut()
        .for_each(|engine| kill_child(&mut engine.process));
    finish(&broken);
}
