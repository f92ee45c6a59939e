//! The cases. Each returns whether the rule held.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Answer, End, Reading, exchange};
use crate::world::{EngineProcess, EngineSpec, TERM, Trouble, World, config, request};

pub fn run(name: &str, record: &str, has_trouble: bool) -> Result<bool, Trouble> {
    let world = World::start(&config("tenant-one"))?;
    let held = match name {
        "left-stream" => left_stream(&world, has_trouble),
        "taken-up" => taken_up(&world, has_trouble),
        "stale-view" => stale_view(&world, has_trouble),
        "slow-reader" => slow_reader(&world, has_trouble),
        "reborn" => reborn(&world, has_trouble),
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
    let _engine = world.engine(EngineSpec::new("i-app1", "app", 11))?;
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
    let leaver = world.engine(EngineSpec::new("i-llm1", "llm", 11))?;
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
    let _other = world.engine(EngineSpec::new("i-llm2", "llm", 12))?;
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

/// A gateway is killed, and consumers take their streams up at another one.
fn taken_up(world: &World, has_trouble: bool) -> Result<bool, Trouble> {
    let spec = |id: &str, host| EngineSpec {
        step: 6,
        ..EngineSpec::new(id, "llm", host)
    };
    let first = world.engine(spec("i-llm1", 11))?;
    let second = world.engine(spec("i-llm2", 12))?;
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
    let start = |n: usize| world.engine(EngineSpec::new(&format!("i-app{n}"), "app", 11 + n as u8));
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

/// Streams that run at the gateway which the store turns away.
const STREAMS: usize = 40;

/// The software versions of a stream's events, in their order.
fn versions_of(events: &[(u64, String)]) -> Vec<&str> {
    let mut versions: Vec<&str> = Vec::new();
    for (_, data) in events {
        let version = data.split(':').next().unwrap_or_default();
        if versions.last() != Some(&version) {
            versions.push(version);
        }
    }
    versions
}

/// Engines are restarted in turn with another software version, under their identifiers, while
/// the store turns one gateway of three away.
fn reborn(world: &World, has_trouble: bool) -> Result<bool, Trouble> {
    let spec = |n: usize| EngineSpec::new(&format!("i-llm{n}"), "llm", 10 + n as u8);
    let mut engines = (1..=4)
        .map(|n| world.engine(spec(n)))
        .collect::<Result<Vec<_>, _>>()?;
    let gateways = [
        world.gateway("g1", 2)?,
        world.gateway("g2", 3)?,
        world.gateway("g3", 4)?,
    ];
    let beat = |engines: &[EngineProcess], ms| {
        let engines: Vec<&EngineProcess> = engines.iter().collect();
        world.beat(&engines, Duration::from_millis(ms));
    };
    beat(&engines, 4_000);
    // Short streams run at all gateways all the time.
    let is_over = Arc::new(AtomicBool::new(false));
    let others: Vec<_> = (0..30)
        .map(|n| {
            let (to, is_over) = (gateways[n % 3].callers, is_over.clone());
            thread::spawn(move || {
                let mut ended = Vec::new();
                while !is_over.load(Ordering::Acquire) {
                    let id = format!("q-o{n}-{}", ended.len());
                    let text = request("resumed", "events=10&gap=50", &id, 12_000, "");
                    let answer = exchange(to, &text, Reading::default());
                    if answer.status != 200 {
                        // Consumers wait as they are told.
                        pause(1_000);
                    }
                    ended.push((id, answer));
                }
                ended
            })
        })
        .collect();
    let to = gateways[2].callers;
    let clients: Vec<_> = (0..STREAMS)
        .map(|n| {
            let id = format!("q-{n}");
            let text = request("resumed", "events=110&gap=100", &id, 12_000, "");
            world.note_request(&id, &text);
            pause(20);
            thread::spawn(move || (id, exchange(to, &text, Reading::default())))
        })
        .collect();
    if has_trouble {
        gateways[2].way.store(true, Ordering::Release);
        world.note("the store turns gateway g3 away");
    }
    // The lease of g3 lapses, and the others count it as gone.
    beat(&engines, 3_500);
    for n in [2, 3, 1] {
        engines[n - 1].process.kill();
        world.note(format!("engine i-llm{n} is stopped"));
        pause(300);
        engines[n - 1] = world.engine(EngineSpec {
            version: "v2",
            is_empty: true,
            ..spec(n)
        })?;
        world.note(format!(
            "engine i-llm{n} is back at v2, empty, and registered"
        ));
        // The leader lets it load the model.
        beat(&engines, if n == 1 { 500 } else { 1_700 });
    }
    gateways[2].way.store(false, Ordering::Release);
    world.note("the store serves gateway g3");
    beat(&engines, 2_500);
    is_over.store(true, Ordering::Release);
    let mut answers: Vec<(String, Answer)> = Vec::new();
    for client in clients {
        answers.push(client.join().map_err(|_| "a client panicked")?);
    }
    for other in others {
        answers.extend(other.join().map_err(|_| "a client panicked")?);
    }
    let mut mixed = 0;
    for (id, answer) in answers {
        let events = answer.events();
        let versions = versions_of(&events);
        mixed += usize::from(versions.len() > 1);
        let what = if versions.len() > 1 { "MIXED" } else { "" };
        world.note(format!(
            "client: {id} {}, {} events of {} {what}",
            answer.summary(),
            events.len(),
            versions.join(", then ")
        ));
    }
    world.note(format!("{mixed} streams hold events of two versions"));
    Ok(mixed <= 2)
}
