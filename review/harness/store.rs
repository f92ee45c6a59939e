//! The platform's store, as PROTOCOL.md tells it. Each front reaches it over a way of its own.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{read_head, read_sized, respond};
use crate::json::{Json, base64, parse};
use crate::record::Record;

#[derive(Clone, Debug)]
struct Item {
    value: String,
    rev: u64,
    created: u64,
    lease: u64,
}

#[derive(Clone, Default)]
pub struct State {
    era: u64,
    rev: u64,
    items: BTreeMap<String, Item>,
    /// When each lease ends, and how long it lasts.
    leases: BTreeMap<u64, (Option<Instant>, u64)>,
    history: Vec<(u64, String, String)>,
    next_lease: u64,
}

pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    is_away: AtomicBool,
    open: Mutex<BTreeMap<u64, TcpStream>>,
    next_channel: AtomicU64,
    record: Arc<Record>,
}

/// What the store does with the next write under a lease that comes over a way.
#[derive(Default)]
pub struct Way {
    pub name: String,
    /// If not 0: the answer is lost, and the write is carried out that many ms later.
    pub lose_and_delay_ms: AtomicU64,
}

fn item_json(key: &str, item: &Item) -> String {
    format!(
        "{{\"Key\":\"{key}\",\"Value\":\"{}\",\"Rev\":{},\"CreateRev\":{},\"Lease\":{}}}",
        item.value, item.rev, item.created, item.lease
    )
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        self.rev += 1;
        let rev = self.rev;
        let created = self.items.get(key).map_or(rev, |item| item.created);
        let item = Item {
            value,
            rev,
            created,
            lease,
        };
        self.history
            .push((rev, key.to_owned(), item_json(key, &item)));
        self.items.insert(key.to_owned(), item);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.rev += 1;
            let event = format!(
                "{{\"Key\":\"{key}\",\"Rev\":{},\"Removed\":true}}",
                self.rev
            );
            self.history.push((self.rev, key.to_owned(), event));
        }
    }

    fn commit(&mut self, body: &Json) -> (u16, String) {
        for expected in body.get("Expected").list() {
            let key = expected.get("Key").text();
            let found = self.items.get(key).map_or(0, |item| item.rev);
            if Some(found) != expected.get("Rev").number() {
                return (412, "{\"items\":[]}".to_owned());
            }
        }
        for put in body.get("SetKeys").list() {
            let key = put.get("Key").text();
            if key.starts_with("op/") || key.starts_with("servers/") {
                return (403, "{}".to_owned());
            }
            let lease = put.get("Lease").number().unwrap_or(0);
            if lease != 0 && !self.leases.contains_key(&lease) {
                return (404, "{}".to_owned());
            }
        }
        for put in body.get("SetKeys").list() {
            let lease = put.get("Lease").number().unwrap_or(0);
            self.put(
                put.get("Key").text(),
                put.get("Value").text().to_owned(),
                lease,
            );
        }
        for key in body.get("Remove").list() {
            self.remove(key.text());
        }
        (200, format!("{{\"Rev\":{}}}", self.rev))
    }

    fn expire(&mut self, now: Instant) -> bool {
        let ended = self
            .leases
            .iter()
            .filter(|(_, (end, _))| end.is_some_and(|end| end <= now));
        let ended: Vec<u64> = ended.map(|(id, _)| *id).collect();
        for lease in &ended {
            self.end_lease(*lease);
        }
        !ended.is_empty()
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = keys.map(|(key, _)| key.clone()).collect();
        keys.iter().for_each(|key| self.remove(key));
    }
}

fn parameter<'a>(query: &'a str, name: &str) -> &'a str {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs
        .find(|(key, _)| *key == name)
        .map_or("", |(_, value)| value)
}

fn decoded(text: &str) -> String {
    text.replace("%2F", "/").replace("%2f", "/")
}

impl Store {
    pub fn start(record: Arc<Record>) -> Arc<Self> {
        let state = State {
            era: 1,
            rev: 100,
            next_lease: 1_000,
            ..State::default()
        };
        let store = Arc::new(Self {
            state: Mutex::new(state),
            changed: Condvar::new(),
            is_away: AtomicBool::new(false),
            open: Mutex::default(),
            next_channel: AtomicU64::new(0),
            record,
        });
        let expiring = store.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(10));
                if expiring.state.lock().unwrap().expire(Instant::now()) {
                    expiring.changed.notify_all();
                }
            }
        });
        store
    }

    /// What the operator and the engines write.
    pub fn put(&self, key: &str, value: &str) {
        if self.is_away.load(Ordering::Acquire) {
            return;
        }
        self.state
            .lock()
            .unwrap()
            .put(key, base64(value.as_bytes()), 0);
        self.changed.notify_all();
    }

    pub fn remove(&self, key: &str) {
        self.state.lock().unwrap().remove(key);
        self.changed.notify_all();
    }

    /// A copy, as a backup has it.
    pub fn copy(&self) -> State {
        self.state.lock().unwrap().clone()
    }

    /// The store is away: it ends all channels and takes none.
    pub fn go_away(&self) {
        self.is_away.store(true, Ordering::Release);
        for stream in std::mem::take(&mut *self.open.lock().unwrap()).into_values() {
            let _ = stream.shutdown(Shutdown::Both);
        }
        self.changed.notify_all();
    }

    /// The store comes back from a copy, in a new era.
    pub fn return_from(&self, copy: State) {
        let mut state = self.state.lock().unwrap();
        let era = state.era + 1;
        *state = State { era, ..copy };
        let now = Instant::now();
        for (end, ttl) in state.leases.values_mut() {
            *end = Some(now + Duration::from_millis(*ttl));
        }
        drop(state);
        self.is_away.store(false, Ordering::Release);
        self.changed.notify_all();
    }

    /// A way to the store at a port of its own.
    pub fn way(self: &Arc<Self>, name: &str) -> (SocketAddr, Arc<Way>) {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let way = Arc::new(Way {
            name: name.to_owned(),
            ..Way::default()
        });
        let (store, of_way) = (self.clone(), way.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, way) = (store.clone(), of_way.clone());
                std::thread::spawn(move || store.serve(&way, stream));
            }
        });
        (address, way)
    }

    fn serve(self: &Arc<Self>, way: &Way, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(handle) = stream.try_clone() else {
            return;
        };
        let number = self.next_channel.fetch_add(1, Ordering::AcqRel);
        self.open.lock().unwrap().insert(number, handle);
        self.serve_channel(way, stream);
        self.open.lock().unwrap().remove(&number);
    }

    fn serve_channel(self: &Arc<Self>, way: &Way, stream: TcpStream) {
        let mut out = stream.try_clone().expect("a handle");
        let mut reader = BufReader::new(stream);
        while let Some(head) = read_head(&mut reader) {
            let Some(body) = read_sized(&mut reader, &head) else {
                return;
            };
            if self.is_away.load(Ordering::Acquire) {
                let _ = out.shutdown(Shutdown::Both);
                return;
            }
            // The store takes 4 ms for an answer.
            std::thread::sleep(Duration::from_millis(4));
            let target = head.word(1).to_owned();
            let (path, query) = target.split_once('?').unwrap_or((&target, ""));
            let is_leased_write = path == "/rattanstall/kv-txn"
                && parse(&body)
                    .get("SetKeys")
                    .list()
                    .iter()
                    .any(|put| put.get("Lease").number() > Some(0));
            let delay = match is_leased_write {
                true => way.lose_and_delay_ms.swap(0, Ordering::AcqRel),
                false => 0,
            };
            if delay > 0 {
                self.carry_out_late(way, body, delay);
                // This channel returns nothing further.
                while read_head(&mut reader).is_some() {}
                return;
            }
            let (status, text) = self.answer(head.word(0), path, query, &body);
            let era = self.state.lock().unwrap().era;
            let fields = format!("Content-Type: application/json\r\nStore-Era: {era}\r\n");
            if respond(&mut out, status, &fields, text.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn carry_out_late(self: &Arc<Self>, way: &Way, body: Vec<u8>, delay: u64) {
        let keys = parse(&body);
        let keys: Vec<String> = keys
            .get("SetKeys")
            .list()
            .iter()
            .map(|put| put.get("Key").text().to_owned())
            .collect();
        self.record.line(&format!(
            "store: answer to a write of {} lost: {keys:?}",
            way.name
        ));
        let store = self.clone();
        std::thread::spawn(move || {
            std::thread::sleep(Duration::from_millis(delay));
            let (status, _) = store.state.lock().unwrap().commit(&parse(&body));
            store.changed.notify_all();
            store.record.line(&format!(
                "store: that write carried out {delay} ms later: {status}"
            ));
        });
    }

    fn answer(&self, method: &str, path: &str, query: &str, body: &[u8]) -> (u16, String) {
        if let Some(lease) = path.strip_prefix("/rattanstall/kv-keep/") {
            let mut state = self.state.lock().unwrap();
            let found = lease
                .parse()
                .ok()
                .and_then(|id: u64| state.leases.get_mut(&id));
            let Some((end, ttl)) = found else {
                return (404, "{}".to_owned());
            };
            *end = Some(Instant::now() + Duration::from_millis(*ttl));
            return (200, format!("{{\"TtlMs\":{ttl}}}"));
        }
        if let Some(lease) = path.strip_prefix("/rattanstall/kv-lease-end/") {
            let lease = lease.parse().unwrap_or(0);
            self.state.lock().unwrap().end_lease(lease);
            self.changed.notify_all();
            return (200, "{}".to_owned());
        }
        match (method, path) {
            ("GET", "/rattanstall/kv-key") => {
                let state = self.state.lock().unwrap();
                let key = decoded(parameter(query, "Key"));
                match state.items.get(&key) {
                    Some(item) => {
                        let text = item_json(&key, item);
                        (
                            200,
                            format!("{},\"AsOf\":{}}}", &text[..text.len() - 1], state.rev),
                        )
                    }
                    None => (404, format!("{{\"AsOf\":{}}}", state.rev)),
                }
            }
            ("GET", "/rattanstall/kv-range") => {
                let state = self.state.lock().unwrap();
                let prefix = decoded(parameter(query, "Prefix"));
                let after = decoded(parameter(query, "after"));
                let items = state
                    .items
                    .iter()
                    .filter(|(k, _)| k.starts_with(&prefix) && **k > after);
                let items: Vec<String> = items.map(|(k, item)| item_json(k, item)).collect();
                let list = items.join(",");
                (
                    200,
                    format!(
                        "{{\"items\":[{list}],\"HasMore\":false,\"AsOf\":{}}}",
                        state.rev
                    ),
                )
            }
            ("GET", "/rattanstall/kv-watch") => self.watch(query),
            ("POST", "/rattanstall/kv-txn") => {
                let answer = self.state.lock().unwrap().commit(&parse(body));
                self.changed.notify_all();
                answer
            }
            ("POST", "/rattanstall/kv-lease") => {
                let ttl = parse(body)
                    .get("TtlMs")
                    .number()
                    .unwrap_or(3_000)
                    .max(1_000);
                let mut state = self.state.lock().unwrap();
                state.next_lease += 1;
                let lease = state.next_lease;
                let end = Instant::now() + Duration::from_millis(ttl);
                state.leases.insert(lease, (Some(end), ttl));
                (200, format!("{{\"Lease\":{lease},\"TtlMs\":{ttl}}}"))
            }
            _ => (404, "{}".to_owned()),
        }
    }

    fn watch(&self, query: &str) -> (u16, String) {
        let prefix = decoded(parameter(query, "Prefix"));
        let after: u64 = parameter(query, "after").parse().unwrap_or(0);
        let wait: u64 = parameter(query, "WaitMs").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait);
        let mut state = self.state.lock().unwrap();
        let era = state.era;
        loop {
            if after > state.rev || state.era != era || self.is_away.load(Ordering::Acquire) {
                return (410, "{}".to_owned());
            }
            let events = state
                .history
                .iter()
                .filter(|(rev, key, _)| *rev > after && key.starts_with(&prefix));
            let events: Vec<&str> = events.map(|(_, _, event)| event.as_str()).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return (
                    200,
                    format!(
                        "{{\"events\":[{}],\"AsOf\":{}}}",
                        events.join(","),
                        state.rev
                    ),
                );
            }
            drop(events);
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }
}
