//! The cases. Each returns whether the rule held.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::engine::CRASHING_PART;
use crate::http::{Answer, End, exchange};
use crate::world::{EngineProcess, EngineSpec, Trouble, World, config, request};

pub fn run(name: &str, record: &str, has_trouble: bool) -> Result<bool, Trouble> {
    let world = World::start(&config("tenant-one"))?;
    let held = match name {
        "left-stream" => left_stream(&world, has_trouble),
        "taken-up" => taken_up(&world, has_trouble),
        "stale-view" => stale_view(&world, has_trouble),
        "reborn" => reborn(&world, has_trouble),
        "wrong-block" => wrong_block(&world, has_trouble),
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

/// Engines leave and are gone while they write streams without a length.
fn left_stream(world: &World, has_trouble: bool) -> Result<bool, Trouble> {
    // One engine of seven leaves.
    let start = |n: u8| world.engine(EngineSpec::new(&format!("i-llm{n}"), "llm", 10 + n));
    let mut engines = (1..=7).map(start).collect::<Result<Vec<_>, _>>()?;
    let gateway = world.gateway("g1", 2)?;
    let all: Vec<&EngineProcess> = engines.iter().collect();
    world.beat(&all, Duration::from_millis(1_500));
    let to = gateway.callers;
    let clients: Vec<_> = ["stream", "resumed"]
        .iter()
        .flat_map(|route| (0..28).map(move |n| (*route, n)))
        .map(|(route, n)| {
            let id = format!("q-{route}-{n}");
            let query = "events=50&gap=100&frame=close";
            let text = request(route, query, &id, 12_000, "");
            world.note_request(&id, &text);
            thread::spawn(move || (id, exchange(to, &text)))
        })
        .collect();
    pause(500);
    let mut leaver = engines.remove(0);
    let staying: Vec<&EngineProcess> = engines.iter().collect();
    if has_trouble {
        world.register(&leaver, "draining", ",\"RemainingMs\":2000");
        world.note("engine i-llm1 reports draining, RemainingMs 2000");
        world.beat(&staying, Duration::from_millis(2_000));
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
    // One gateway of four is killed.
    let _others = (3..=4)
        .map(|n: u8| world.gateway(&format!("g{n}"), 20 + n))
        .collect::<Result<Vec<_>, _>>()?;
    world.beat(&[&first, &second], Duration::from_millis(4_000));
    let (from, to) = (a.callers, b.callers);
    let streams: Vec<_> = (0..16)
        .map(|n| {
            let id = format!("q-a{n}");
            let text = request("resumed", "events=40&gap=100", &id, 12_000, "");
            world.note_request(&id, &text);
            thread::spawn(move || (id, exchange(from, &text)))
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
        retries.push(thread::spawn(move || (retry, last, exchange(to, &text))));
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
            thread::spawn(move || exchange(to, &text))
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
const LEAVING: usize = 5;
/// `DrainMs` of the settings.
const DRAIN_MS: u64 = 2_000;

/// The store is silent for two seconds. Later, engines leave.
fn stale_view(world: &World, has_trouble: bool) -> Result<bool, Trouble> {
    let start = |n: usize| world.engine(EngineSpec::new(&format!("i-app{n}"), "app", 11 + n as u8));
    let mut engines = (0..ENGINES).map(start).collect::<Result<Vec<_>, _>>()?;
    let gateways = [world.gateway("g1", 2)?, world.gateway("g2", 3)?];
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
                let id = format!("q-{n}");
                let text = request("unsafe", "work=300", &id, 1_500, "");
                world.note_request(&id, &text);
                clients.push(thread::spawn(move || {
                    let sent = crate::unix_ms();
                    (id, sent, exchange(to, &text))
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
        let left = (0..LEAVING).map(|n| format!("i-app{n}"));
        let is_left = left.into_iter().any(|id| Some(id.as_str()) == engine);
        let is_late = at > acked + DRAIN_MS;
        if verb == Some("runs") && is_left && is_late {
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
        "{late} requests reached engines later than {DRAIN_MS} ms after their \
         leaving was acked; {} requests failed",
        failed.len()
    ));
    Ok(late == 0)
}

/// Streams that run at the gateway which the store turns away.
const STREAMS: usize = 64;

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
                    let answer = exchange(to, &text);
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
            thread::spawn(move || (id, exchange(to, &text)))
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

/// A tenant goes over to a new first part. The first three requests with it have a part that
/// crashes engines; sound ones, which share the first part with them, follow a second later.
fn wrong_block(world: &World, has_trouble: bool) -> Result<bool, Trouble> {
    let mut next_id = 0;
    let mut spec = |host: u8, is_empty| {
        next_id += 1;
        EngineSpec {
            is_empty,
            ..EngineSpec::new(&format!("i-llm{next_id}"), "llm", host)
        }
    };
    let mut engines = (0..8)
        .map(|n| Ok((11 + n, world.engine(spec(11 + n, false))?, None)))
        .collect::<Result<Vec<(u8, EngineProcess, Option<Instant>)>, Trouble>>()?;
    let gateways = [
        world.gateway("g1", 2)?,
        world.gateway("g2", 3)?,
        world.gateway("g3", 4)?,
    ];
    let all: Vec<&EngineProcess> = engines.iter().map(|(_, e, _)| e).collect();
    world.beat(&all, Duration::from_secs(4));
    let addresses = gateways.each_ref().map(|g| g.callers);
    let send = |n: usize, id: String, shared: &str| {
        let prompt = format!("Rattanstall-Prompt-Prefix: {shared},{:x}:628", 4096 + n);
        let text = request("stream", "events=10&gap=40", &id, 8_000, "");
        let text: Vec<&str> = text.split("\r\n").collect();
        let is_prompt = |line: &&str| line.starts_with("Rattanstall-Prompt-Prefix");
        let text: Vec<&str> = text
            .iter()
            .map(|line| {
                if is_prompt(line) {
                    prompt.as_str()
                } else {
                    line
                }
            })
            .collect();
        let (text, to) = (text.join("\r\n"), addresses[n % 3]);
        world.note(format!("client: {id} sends {prompt}"));
        let sent = crate::unix_ms();
        thread::spawn(move || (id, sent, exchange(to, &text)))
    };
    let (old_first, new_first) = ("a11ce000:198", "a11ce001:198");
    let with_part = format!("{new_first},{CRASHING_PART}:120");
    let mut sound = Vec::new();
    for n in 0..40 {
        sound.push(send(n, format!("q-before{n}"), old_first));
        if n % 10 == 9 {
            engines
                .iter()
                .for_each(|(_, e, _)| world.register(e, "ready", ""));
        }
        pause(125);
    }
    pause(1_000);
    let changed = crate::unix_ms();
    let began = Instant::now();
    let at = |ms: u64| began.elapsed() >= Duration::from_millis(ms);
    let mut crashing = Vec::new();
    let mut n = 100;
    while !at(20_000) {
        n += 1;
        let now = began.elapsed().as_millis() as u64;
        // Three at first, then one in about 1.5 s.
        let is_due = match crashing.len() {
            0..=2 => now >= 100 * crashing.len() as u64,
            more => now >= 1_500 * (more as u64 - 1) && now < 14_000,
        };
        if has_trouble && is_due {
            crashing.push(send(n, format!("q-crash{}", crashing.len()), &with_part));
        }
        if now >= 1_000 && sound.len() < 40 + ((now - 1_000) / 125) as usize {
            sound.push(send(n, format!("q-sound{}", sound.len() - 40), new_first));
        }
        for (host, engine, gone) in &mut engines {
            if gone.is_none() && engine.process.has_ended() {
                *gone = Some(Instant::now());
            }
            let is_back = gone.is_some_and(|at| at.elapsed() > Duration::from_secs(3));
            if is_back {
                world.store.remove(&format!("servers/{}", engine.id));
                (*engine, *gone) = (world.engine(spec(*host, true))?, None);
            } else if gone.is_none() && n % 60 == 0 {
                world.register(engine, "ready", "");
            }
        }
        pause(20);
    }
    let mut last_crash = 0;
    for (at, line) in world.noted() {
        if line.contains(" crashes under ") {
            last_crash = last_crash.max(at);
        }
    }
    let last_part = crashing.len();
    let mut until = 0;
    for client in crashing {
        let (id, sent, answer) = client.join().map_err(|_| "a client panicked")?;
        until = until.max(sent);
        world.note(format!("client: {id} {}", answer.summary()));
    }
    let (mut within, mut began_within, mut outside, mut began_outside, mut denied) =
        (0, 0, 0, 0, 0);
    let count = sound.len();
    for client in sound {
        let (id, sent, answer) = client.join().map_err(|_| "a client panicked")?;
        let has_begun = !answer.events().is_empty();
        denied += usize::from((400..500).contains(&answer.status) && answer.status != 429);
        if has_trouble && sent > last_crash + 6_000 && sent <= until {
            within += 1;
            began_within += usize::from(has_begun);
        } else if sent < changed || sent > until + 3_000 {
            outside += 1;
            began_outside += usize::from(has_begun);
        }
        world.note(format!("client: {id} {}", answer.summary()));
    }
    world.note(format!(
        "{last_part} requests with the part; sound ones: {denied} of {count} denied with a 4xx; from \
         6 s after the last crash on {began_within} of {within} begin, outside {began_outside} of {outside}"
    ));
    let is_lost =
        within >= 20 && outside >= 20 && 2 * began_within * outside < began_outside * within;
    let is_denied = denied * 500 > 5 * 500 + count;
    world.note(format!(
        "LOST broken: {is_lost}, DENIED broken: {is_denied}"
    ));
    Ok(!is_lost && !is_denied)
}
