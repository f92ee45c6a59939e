//! All gateways are killed some time after an engine of another software version was added and
//! taken away again. Consumers take their streams up again.

#[path = "stand.rs"]
mod stand;

use std::io::Write as _;
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use stand::*;

/// Engines of v1.
const ENGINES: usize = 8;
const STREAMS: usize = 16;
/// When the channels break, after the requests were sent.
const BREAK_AT_MS: u64 = 1_000;
const STABLE_WINDOW_MS: u64 = 3_000;
const DEADLINE_MS: u64 = 15_000;
/// Tries of a consumer that takes its stream up.
const TRIES: usize = 3;
/// Time from then until the streams begin: all streams of v2, of which each lasts 15 s at most, are
/// over.
const QUIET_MS: u64 = 36_000;

fn events_of(answer: &Answer) -> Vec<usize> {
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    let ids = text.lines().filter_map(|l| l.strip_prefix("id: "));
    ids.filter_map(|id| id.parse().ok()).collect()
}

/// Sends a request and reads the answer for so long.
fn exchange(to: SocketAddr, req: &[u8], within: Duration) -> Option<Answer> {
    let stream = connect(to, Pace::default()).ok()?;
    (&stream).write_all(req).ok()?;
    Some(read_answer(&stream, Pace::default(), within))
}

/// Begins streams, one thread each, and reads them for so long. Returns the events of each.
fn begin(name: &str, fronts: &[SocketAddr], within: Duration) -> Vec<(String, Vec<usize>)> {
    let began: Vec<_> = (0..STREAMS)
        .map(|index| {
            let (id, to) = (format!("{name}{index:02}"), fronts[index % fronts.len()]);
            thread::spawn(move || {
                let answer = exchange(to, &stream_request(&id, DEADLINE_MS, None), within);
                let events = answer.as_ref().map(events_of).unwrap_or_default();
                let status = answer.map_or(0, |a| a.status);
                record(&format!(
                    "consumer got {id}: status {status}, {} events",
                    events.len()
                ));
                (id, events)
            })
        })
        .collect();
    began
        .into_iter()
        .map(|t| t.join().expect("a consumer"))
        .collect()
}

fn main() {
    open_record();
    let (store, store_address) = Store::start();
    for index in 0..ENGINES {
        ModelEngine::start(&store, &format!("i-{index}"), "v1", true);
    }
    store.put("op/config", &stream_config());
    let names = ["front-zone-a-1", "front-zone-a-2", "front-zone-a-3"];
    let mut gateways = names.map(|name| Gateway::start(name, "zone-a", store_address));
    let fronts: Vec<SocketAddr> = gateways.iter().map(|g| g.front).collect();
    sleep_ms(4_000);
    record("scale_out: an engine with v2 is added");
    let added = ModelEngine::start(&store, "i-new", "v2", false);
    sleep_ms(4_000);
    record("scale_in: it drains and leaves");
    added.drain();
    sleep_ms(2_500);
    added.leave();
    record("all engines have v1");
    sleep_ms(QUIET_MS);

    let sent_at = Instant::now();
    let reading = {
        let fronts = fronts.clone();
        // Without trouble, the consumers' channels break by themselves at that time.
        let within = match has_trouble() {
            true => Duration::from_millis(DEADLINE_MS),
            false => Duration::from_millis(BREAK_AT_MS),
        };
        thread::spawn(move || begin("first", &fronts, within))
    };
    sleep_ms(BREAK_AT_MS);
    if has_trouble() {
        gateways.iter_mut().for_each(Gateway::kill);
        sleep_ms(500);
        gateways.iter_mut().for_each(Gateway::start_again);
        gateways.iter_mut().for_each(Gateway::wait_until_ready);
    }
    let first = reading.join().expect("the consumers");
    sleep_ms(STABLE_WINDOW_MS + 500);
    record("all gateways are in touch");

    let new = {
        let fronts = fronts.clone();
        thread::spawn(move || begin("new", &fronts, Duration::from_millis(DEADLINE_MS)))
    };
    let taken_up: Vec<_> = first
        .into_iter()
        .enumerate()
        .filter(|(_, (_, events))| !events.is_empty() && events.len() < EVENTS)
        .map(|(index, (id, events))| {
            let fronts = fronts.clone();
            thread::spawn(move || {
                let last = events.len();
                for attempt in 0..TRIES {
                    let to = fronts[(index + 1 + attempt) % fronts.len()];
                    let spent = sent_at.elapsed().as_millis() as u64;
                    let left = DEADLINE_MS.saturating_sub(spent);
                    if left == 0 {
                        break;
                    }
                    let again = format!("{id}-again{attempt}");
                    let req = stream_request(&again, left, Some((&id, last)));
                    let Some(answer) = exchange(to, &req, Duration::from_millis(left)) else {
                        continue;
                    };
                    let events = events_of(&answer);
                    let after = answer.header("Retry-After").to_owned();
                    record(&format!(
                        "consumer takes up {id} after event {last}: status {}, Retry-After \
                         {after:?}, {} events, the first {:?}, {}",
                        answer.status,
                        events.len(),
                        events.first(),
                        String::from_utf8_lossy(&answer.body[..answer.body.len().min(110)])
                            .replace('\n', " ")
                    ));
                    if answer.status == 200 && events.first() == Some(&(last + 1)) {
                        return true;
                    }
                    let after: f64 = after.parse().unwrap_or(0.0);
                    sleep_ms((after * 1_000.0) as u64);
                }
                false
            })
        })
        .collect();
    let count = taken_up.len();
    let goes_on = taken_up.into_iter().filter_map(|t| t.join().ok());
    let goes_on = goes_on.filter(|goes_on| *goes_on).count();
    let begun = new.join().expect("the consumers");
    let begun = begun
        .iter()
        .filter(|(_, events)| !events.is_empty())
        .count();
    record(&format!(
        "{goes_on} of {count} streams that were taken up go on; {begun} of {STREAMS} new ones began"
    ));
    gateways.iter_mut().for_each(Gateway::end);
    if count < 12 || begun == 0 {
        cannot_run("too few streams");
    }
    let mut broken = Vec::new();
    let share = goes_on as f64 / count as f64;
    if share < begun as f64 / STREAMS as f64 / 2.0 {
        broken.push(format!(
            "LOST: of {count} streams that consumers take up, {goes_on} go on, while {begun} of \
             {STREAMS} new ones begin and eight engines of their version serve"
        ));
    }
    finish(&broken);
}
