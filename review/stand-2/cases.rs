//! The cases. Each returns whether the rule held.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Answer, End, Reading, exchange, open, receive};
use crate::world::{EngineProcess, EngineSpec, TERM, Trouble, World, config, request};

pub fn run(name: &str, record: &str, has_trouble: bool) -> Result<bool, Trouble> {
    let world = World::start(&config("tenant-one"))?;
    let held = match name {
        "slow-reader" => slow_reader(&world, has_trouble),
        "left-stream" => left_stream(&world, has_trouble),
        "whole-answer" => whole_answer(&world, has_trouble),
        "taken-up" => taken_up(&world, has_trouble),
        "stale-view" => stale_view(&world, has_trouble),
        "unread" => unread(&world, has_trouble),
        "stalled" => stalled(&world, has_trouble),
        _ => Err(format!("no case {name}")),
    };
    if let Ok(held) = held {
        let verdict = if held { "held" } else { "was broken" };
        world.note(format!("the rule {verdict}"));
        println!("{name}: the rule {verdict}");
    }
    world.write_record(record);
    held
}

fn pause(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// Gateways get SIGTERM while consumers read their answers slowly. Which answer is cut depends
/// on its size, so that each gateway has one of another size.
fn slow_reader(world: &World, has_trouble: bool) -> Result<bool, Trouble> {
    let _engine = world.engine(EngineSpec::new("i-app1", "app"), 11)?;
    let start = |n: u8| world.gateway(&format!("g{n}"), 1 + n);
    let mut gateways = (1..=6).map(start).collect::<Result<Vec<_>, _>>()?;
    pause(4_000);
    let reading = Reading {
        bytes_per_s: 100_000,
        buffer: 16_384,
        ..Reading::default()
    };
    let began = Instant::now();
    let readers: Vec<_> = gateways
        .iter()
        .enumerate()
        .map(|(n, gateway)| {
            let (to, id) = (gateway.callers, format!("q-g{}", n + 1));
            let bytes = 530_000 + 25_000 * n;
            let text = request("safe", &format!("bytes={bytes}"), &id, 10_000, "");
            world.note_request(&id, &text);
            thread::spawn(move || (id, bytes, exchange(to, &text, reading)))
        })
        .collect();
    pause(500);
    if has_trouble {
        gateways.iter().for_each(|g| g.process.signal(TERM));
        world.note("SIGTERM to all gateways");
    }
    let mut has_ended = [false; 6];
    while !readers.iter().all(|reader| reader.is_finished()) {
        for (n, gateway) in gateways.iter_mut().enumerate() {
            if !has_ended[n] && gateway.process.has_ended() {
                has_ended[n] = true;
                let at = began.elapsed().as_millis().saturating_sub(500);
                world.note(format!(
                    "gateway g{} has ended, {at} ms after SIGTERM",
                    n + 1
                ));
            }
        }
        pause(10);
    }
    let mut held = true;
    for reader in readers {
        let (id, bytes, answer) = reader.join().map_err(|_| "a client panicked")?;
        let is_whole =
            answer.status == 200 && answer.end == End::Complete && answer.body.len() == bytes;
        held &= is_whole;
        let what = if is_whole { "whole" } else { "CUT" };
        world.note(format!(
            "client: {id} of {bytes} bytes, {} {what}",
            answer.summary()
        ));
    }
    Ok(held)
}

/// Engines leave and are gone while they write streams without a length.
fn left_stream(world: &World, has_trouble: bool) -> Result<bool, Trouble> {
    let leaver = world.engine(EngineSpec::new("i-llm1", "llm"), 11)?;
    let gateway = world.gateway("g1", 2)?;
    pause(1_500);
    let to = gateway.callers;
    let clients: Vec<_> = ["stream", "resumed"]
        .iter()
        .flat_map(|route| (0..4).map(move |n| (*route, n)))
        .map(|(route, n)| {
            let id = format!("q-{route}-{n}");
            let query = "events=50&gap=100&frame=close";
            let text = request(route, query, &id, 12_000, "");
            world.note_request(&id, &text);
            thread::spawn(move || (id, exchange(to, &text, Reading::default())))
        })
        .collect();
    pause(500);
    let _other = world.engine(EngineSpec::new("i-llm2", "llm"), 12)?;
    let mut leaver = leaver;
    if has_trouble {
        world.register(&leaver, "draining", ",\"RemainingMs\":2000");
        world.note("engine i-llm1 reports draining, RemainingMs 2000");
        pause(2_000);
        leaver.process.kill();
        world.store.remove("servers/i-llm1");
        world.note("engine i-llm1 is gone");
    }
    let mut held = true;
    for client in clients {
        let (id, answer): (String, Answer) = client.join().map_err(|_| "a client panicked")?;
        let events = answer.events();
        let last = events.last().map_or(0, |(number, _)| *number);
        let is_false = answer.status == 200 && answer.end.looks_complete() && last < 50;
        held &= !is_false;
        let what = if is_false { "LOOKS COMPLETE" } else { "" };
        let summary = answer.summary();
        world.note(format!(
            "client: {id} {summary}, last event {last} of 50 {what}"
        ));
    }
    Ok(held)
}

/// An engine is killed while it writes an answer without a length.
fn whole_answer(world: &World, has_trouble: bool) -> Result<bool, Trouble> {
    let mut engine = world.engine(EngineSpec::new("i-app1", "app"), 11)?;
    let gateway = world.gateway("g1", 2)?;
    pause(1_000);
    let to = gateway.callers;
    let clients: Vec<_> = ["safe", "unsafe"]
        .iter()
        .map(|route| {
            let id = format!("q-{route}");
            let text = request(route, "bytes=8000&pause=200&frame=close", &id, 8_000, "");
            thread::spawn(move || (id, exchange(to, &text, Reading::default())))
        })
        .collect();
    pause(900);
    if has_trouble {
        engine.process.kill();
        world.note("engine i-app1 is killed");
    }
    let mut held = true;
    for client in clients {
        let (id, answer): (String, Answer) = client.join().map_err(|_| "a client panicked")?;
        let is_false =
            answer.status == 200 && answer.end.looks_complete() && answer.body.len() < 8_000;
        held &= !is_false;
        let what = if is_false { "LOOKS COMPLETE" } else { "" };
        world.note(format!("client: {id} {} {what}", answer.summary()));
    }
    Ok(held)
}

/// A gateway is killed, and consumers take their streams up at another one.
fn taken_up(world: &World, has_trouble: bool) -> Result<bool, Trouble> {
    let spec = |id: &str| EngineSpec {
        step: 6,
        ..EngineSpec::new(id, "llm")
    };
    let first = world.engine(spec("i-llm1"), 11)?;
    let second = world.engine(spec("i-llm2"), 12)?;
    let mut a = world.gateway("g1", 2)?;
    let b = world.gateway("g2", 3)?;
    world.beat(&[&first, &second], Duration::from_millis(4_000));
    let (from, to) = (a.callers, b.callers);
    let streams: Vec<_> = (0..16)
        .map(|n| {
            let id = format!("q-a{n}");
            let text = request("resumed", "events=40&gap=100", &id, 12_000, "");
            world.note_request(&id, &text);
            thread::spawn(move || (id, exchange(from, &text, Reading::default())))
        })
        .collect();
    pause(1_500);
    if has_trouble {
        a.process.kill();
        world.note("gateway g1 is killed");
    }
    let mut taken = 0;
    let mut gone_on = 0;
    let mut retries = Vec::new();
    for stream in streams {
        let (id, answer) = stream.join().map_err(|_| "a client panicked")?;
        let events = answer.events();
        let last = events.last().map_or(0, |(number, _)| *number);
        world.note(format!("client: {id} {}, last id {last}", answer.summary()));
        if answer.end == End::Complete || last == 0 {
            continue;
        }
        taken += 1;
        let more = format!("Last-Event-Id: {last}\r\nResumes: {id}\r\n");
        let retry = format!("{id}-again");
        let text = request("resumed", "events=40&gap=100", &retry, 9_000, &more);
        world.note_request(&format!("{retry} after {last}"), &text);
        retries.push(thread::spawn(move || {
            (retry, last, exchange(to, &text, Reading::default()))
        }));
    }
    for retry in retries {
        let (id, last, answer) = retry.join().map_err(|_| "a client panicked")?;
        let events = answer.events();
        let next = events.first().map_or(0, |(number, _)| *number);
        gone_on += usize::from(next == last + 6);
        world.note(format!(
            "client: {id} {}, went on after {last} with {next}",
            answer.summary()
        ));
    }
    let fresh: Vec<_> = (0..16)
        .map(|n| {
            let id = format!("q-b{n}");
            let text = request("resumed", "events=5&gap=20", &id, 9_000, "");
            pause(50);
            world.note_request(&id, &text);
            thread::spawn(move || exchange(to, &text, Reading::default()))
        })
        .collect();
    let mut begun = 0;
    for client in fresh {
        let answer = client.join().map_err(|_| "a client panicked")?;
        begun += usize::from(!answer.events().is_empty());
        world.note(format!("client: new {}", answer.summary()));
    }
    world.note(format!(
        "taken up {taken}, gone on {gone_on}; new streams 16, begun {begun}"
    ));
    Ok(taken < 12 || 2 * gone_on * 16 >= begun * taken)
}

const ENGINES: usize = 40;
const LEAVING: usize = 6;
/// `DrainMs` of the settings.
const DRAIN_MS: u64 = 2_000;

/// The store is silent for two seconds. Later, engines leave.
fn stale_view(world: &World, has_trouble: bool) -> Result<bool, Trouble> {
    let start = |n: usize| world.engine(EngineSpec::new(&format!("i-app{n}"), "app"), 11 + n as u8);
    let mut engines = (0..ENGINES).map(start).collect::<Result<Vec<_>, _>>()?;
    let gateways = [world.gateway("g1", 2)?, world.gateway("g2", 3)?];
    let mut is_broken = false;
    for round in 1..=5 {
        let all: Vec<&EngineProcess> = engines.iter().collect();
        world.beat(&all, Duration::from_millis(4_000));
        if has_trouble {
            world.store.set_silent(true);
            world.note("the store is silent");
            pause(2_000);
            world.store.set_silent(false);
            world.note("the store answers again");
        }
        // The core is stable, and the gateways are in touch, after StableWindowMs.
        world.beat(&all, Duration::from_millis(3_200));
        let staying = engines.split_off(LEAVING);
        let leaving = std::mem::replace(&mut engines, staying);
        for engine in &leaving {
            world.register(engine, "draining", "");
        }
        let acked = crate::unix_ms();
        world.note(format!(
            "{LEAVING} engines report draining, and the store has acked it"
        ));
        let clients = thread::scope(|scope| {
            let staying: Vec<&EngineProcess> = engines.iter().collect();
            scope.spawn(move || world.beat(&staying, Duration::from_millis(4_400)));
            let clients = scope.spawn(|| {
                let mut clients = Vec::new();
                for n in 0..400 {
                    let to = gateways[n % 2].callers;
                    let id = format!("q-{round}-{n}");
                    let text = request("unsafe", "work=300", &id, 1_500, "");
                    world.note_request(&id, &text);
                    clients.push(thread::spawn(move || {
                        let sent = crate::unix_ms();
                        (id, sent, exchange(to, &text, Reading::default()))
                    }));
                    pause(10);
                }
                clients
            });
            // They serve for DrainMs and a little longer, and exit.
            pause(DRAIN_MS + 1_500);
            drop(leaving);
            world.note("the engines that left have exited");
            clients.join()
        });
        let mut failed = Vec::new();
        for client in clients.map_err(|_| "a client panicked")? {
            let (id, sent, answer) = client.join().map_err(|_| "a client panicked")?;
            if answer.status != 200 || answer.end != End::Complete {
                world.note(format!(
                    "client: {id}, sent {} ms after the ack, {}",
                    sent.saturating_sub(acked),
                    answer.summary()
                ));
                failed.push(id);
            }
        }
        pause(200);
        let mut late = 0;
        for (at, line) in world.noted() {
            let mut words = line.split(' ').skip(1);
            let (engine, verb, id) = (words.next(), words.next(), words.next());
            let left = (0..LEAVING).map(|n| format!("i-app{}", n + (round - 1) * LEAVING));
            let is_left = left.into_iter().any(|id| Some(id.as_str()) == engine);
            let is_late = at > acked + DRAIN_MS;
            if verb == Some("runs") && is_left && is_late && line.contains(&format!("q-{round}-")) {
                late += 1;
                let is_lost = failed.iter().any(|f| Some(f.as_str()) == id);
                let lost = if is_lost { ", and is LOST with it" } else { "" };
                world.note(format!(
                    "LATE: {} reached {} {} ms after the ack{lost}",
                    id.unwrap_or_default(),
                    engine.unwrap_or_default(),
                    at - acked
                ));
            }
        }
        world.note(format!(
            "round {round}: {late} requests reached engines later than {DRAIN_MS} ms after their \
             leaving was acked; {} requests failed",
            failed.len()
        ));
        is_broken |= late > 0;
        if is_broken {
            break;
        }
    }
    Ok(!is_broken)
}

const CROWD: usize = 250;
/// `MemoryMb` of the smallest machines of souk-fes-grown.
const MEMORY_MB: u32 = 120;

/// Many consumers stop reading their answers half-way.
fn unread(world: &World, has_trouble: bool) -> Result<bool, Trouble> {
    let start = |n: usize| world.engine(EngineSpec::new(&format!("i-app{n}"), "app"), 11 + n as u8);
    let _engines = (0..12).map(start).collect::<Result<Vec<_>, _>>()?;
    let gateway = world.gateway_with_memory("g1", 2, MEMORY_MB)?;
    pause(1_000);
    let mut crowd = Vec::new();
    for n in 0..CROWD {
        let text = request("safe", "bytes=2000000", &format!("q-{n}"), 10_000, "");
        let mut stream = TcpStream::connect(gateway.callers).map_err(|e| e.to_string())?;
        stream
            .write_all(text.as_bytes())
            .map_err(|e| e.to_string())?;
        match has_trouble {
            true => crowd.push(stream),
            false => drop(thread::spawn(move || {
                receive(&mut stream, Reading::default())
            })),
        }
        pause(3);
    }
    let mut most = 0;
    for _ in 0..20 {
        let held = gateway.held_kb();
        world.note(format!("{held:?}"));
        most = most.max(held.resident + held.received);
        pause(100);
    }
    world.note(format!(
        "the gateway held {most} kB at most, of {MEMORY_MB},000 kB"
    ));
    Ok(most <= u64::from(MEMORY_MB) * 1_000)
}

/// Consumers pause once, for two seconds, before they read on.
fn stalled(world: &World, has_trouble: bool) -> Result<bool, Trouble> {
    let _engines = [
        world.engine(EngineSpec::new("i-app1", "app"), 11)?,
        world.engine(EngineSpec::new("i-app2", "app"), 12)?,
    ];
    let gateway = world.gateway("g1", 2)?;
    // The gateway is in touch after StableWindowMs.
    pause(4_000);
    // The usual buffers with a long answer, and small ones with an answer of the usual size.
    let kinds = [(200_000, 0), (4_800, 2_048)];
    let kinds = kinds.iter().flat_map(|kind| [*kind; 5]);
    let to = gateway.callers;
    let clients: Vec<_> = kinds
        .enumerate()
        .map(|(n, (bytes, buffer))| {
            let id = format!("q-{n}");
            pause(20);
            world.note(format!(
                "client: {id} sends a request, then POST /unsafe of {bytes} bytes"
            ));
            thread::spawn(move || {
                (
                    id.clone(),
                    bytes,
                    keep_and_stall(to, &id, bytes, buffer, has_trouble),
                )
            })
        })
        .collect();
    let mut lost = 0;
    for client in clients {
        let (id, bytes, answers) = client.join().map_err(|_| "a client panicked")?;
        let (first, answer) = answers.map_err(|e| e.to_string())?;
        world.note(format!("client: {id}-first {}", first.summary()));
        let is_whole =
            answer.status == 200 && answer.end == End::Complete && answer.body.len() == bytes;
        lost += usize::from(!is_whole);
        let what = if is_whole { "whole" } else { "LOST" };
        world.note(format!(
            "client: {id} of {bytes} bytes, {} {what}",
            answer.summary()
        ));
    }
    world.note(format!(
        "{lost} of 10 channels were closed without a whole answer"
    ));
    Ok(lost <= 3)
}

/// Sends a short request, then another one on the same channel, whose answer it begins to read
/// after a pause.
fn keep_and_stall(
    to: SocketAddr,
    id: &str,
    bytes: usize,
    buffer: i32,
    stalls: bool,
) -> std::io::Result<(Answer, Answer)> {
    let reading = Reading {
        buffer,
        ..Reading::default()
    };
    let mut stream = open(to, reading)?;
    let first = request("safe", "bytes=10", &format!("{id}-first"), 2_000, "");
    stream.write_all(first.as_bytes())?;
    let first = receive(&mut stream, reading);
    let text = request("unsafe", &format!("bytes={bytes}"), id, 10_000, "");
    stream.write_all(text.as_bytes())?;
    if stalls {
        pause(2_000);
    }
    Ok((first, receive(&mut stream, reading)))
}
