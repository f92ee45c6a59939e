//! A stand-in for the platform's store, as PROTOCOL.md describes it.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use crate::http::{Reader, Received, respond};
use crate::json::{Json, base64};

#[derive(Clone)]
struct Entry {
    /// As base64.
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Entry>,
    /// Each lease with its duration and its end.
    leases: BTreeMap<u64, (Duration, Instant)>,
    last_lease: u64,
    /// Changes: revision, key and event.
    history: Vec<(u64, String, String)>,
}

/// The store, shared by its connections.
#[derive(Default)]
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    /// Whether answers are lost. A channel on which one is lost returns nothing further.
    is_silent: AtomicBool,
}

/// A machine's way to the store, which turns it away if this is set.
pub type Way = Arc<AtomicBool>;

impl State {
    fn item(key: &str, entry: &Entry) -> String {
        let Entry {
            value,
            revision,
            created,
            lease,
        } = entry;
        format!(
            "{{\"Key\":\"{key}\",\"Value\":\"{value}\",\"Rev\":{revision},\"CreateRev\":{created},\"Lease\":{lease}}}"
        )
    }

    fn put(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let created = self
            .items
            .get(key)
            .map_or(self.revision, |entry| entry.created);
        let entry = Entry {
            value,
            revision: self.revision,
            created,
            lease,
        };
        let event = Self::item(key, &entry);
        self.items.insert(key.to_owned(), entry);
        self.history.push((self.revision, key.to_owned(), event));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_none() {
            return;
        }
        self.revision += 1;
        let event = format!(
            "{{\"Key\":\"{key}\",\"Rev\":{},\"Removed\":true}}",
            self.revision
        );
        self.history.push((self.revision, key.to_owned(), event));
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let ended = self.leases.iter().filter(|(_, (_, end))| *end <= now);
        let ended: Vec<u64> = ended.map(|(id, _)| *id).collect();
        ended.into_iter().for_each(|id| self.end_lease(id));
    }

    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let keys = self.items.iter().filter(|(_, entry)| entry.lease == id);
        let keys: Vec<String> = keys.map(|(key, _)| key.clone()).collect();
        keys.iter().for_each(|key| self.remove(key));
    }
}

impl Store {
    /// An empty store.
    pub fn new() -> Arc<Self> {
        let store = Arc::new(Self::default());
        store.state().revision = 100;
        store
    }

    /// Serves the store at an address.
    pub fn listen(self: &Arc<Self>, address: SocketAddr) -> std::io::Result<Way> {
        let (store, way) = (self.clone(), Way::default());
        let listener = TcpListener::bind(address)?;
        let shared_way = way.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, way) = (store.clone(), shared_way.clone());
                std::thread::spawn(move || store.serve(stream, &way));
            }
        });
        Ok(way)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Writes a value as the operator or an engine does.
    pub fn put(&self, key: &str, value: &str) {
        self.state().put(key, base64(value.as_bytes()), 0);
        self.changed.notify_all();
    }

    /// Removes a key.
    pub fn remove(&self, key: &str) {
        self.state().remove(key);
        self.changed.notify_all();
    }

    /// Loses all answers from now on, or none. Nothing is done that is asked meanwhile.
    pub fn set_silent(&self, is_silent: bool) {
        self.is_silent.store(is_silent, Ordering::Release);
    }

    fn is_silent(&self) -> bool {
        self.is_silent.load(Ordering::Acquire)
    }

    fn serve(&self, stream: TcpStream, way: &AtomicBool) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = Reader::new(stream);
        while let Some(req) = reader.request() {
            let is_lost = self.is_silent();
            let is_refused = way.load(Ordering::Acquire);
            let (status, body) = match is_lost || is_refused {
                true => (503, "{}".to_owned()),
                false => self.answer(&req),
            };
            if is_lost || self.is_silent() {
                while reader.request().is_some() {}
                return;
            }
            // A watch that was waiting is turned away as well.
            let (status, body) = match way.load(Ordering::Acquire) {
                true => (503, "{}".to_owned()),
                false => (status, body),
            };
            let headers = "Content-Type: application/json\r\nStore-Era: 1\r\n";
            if !respond(&mut writer, status, headers, body.as_bytes()) {
                return;
            }
        }
    }

    fn answer(&self, req: &Received) -> (u16, String) {
        self.state().expire();
        let body = Json::parse(&String::from_utf8_lossy(&req.body)).unwrap_or(Json::Null);
        let path = req.path();
        let (call, id) = match path.rsplit_once('/') {
            Some((call, id)) => (call, id.parse().unwrap_or(0)),
            None => (path, 0),
        };
        match path {
            "/rattanstall/kv-key" => self.key(&req.query("Key")),
            "/rattanstall/kv-range" => self.range(req),
            "/rattanstall/kv-watch" => self.watch(req),
            "/rattanstall/kv-txn" => self.commit(&body),
            "/rattanstall/kv-lease" => self.open_lease(body.get("TtlMs").number()),
            _ if call == "/rattanstall/kv-keep" => self.keep_lease(id),
            _ if call == "/rattanstall/kv-lease-end" => {
                self.state().end_lease(id);
                self.changed.notify_all();
                (200, "{}".to_owned())
            }
            _ => (404, "{}".to_owned()),
        }
    }

    fn key(&self, key: &str) -> (u16, String) {
        let state = self.state();
        match state.items.get(key) {
            Some(entry) => (200, State::item(key, entry)),
            None => (404, format!("{{\"AsOf\":{}}}", state.revision)),
        }
    }

    fn range(&self, req: &Received) -> (u16, String) {
        let (prefix, after) = (req.query("Prefix"), req.query("after"));
        let state = self.state();
        let items = state.items.iter();
        let items = items.filter(|(key, _)| key.starts_with(&prefix) && **key > after);
        let items: Vec<String> = items.map(|(key, e)| State::item(key, e)).collect();
        let text = format!(
            "{{\"items\":[{}],\"HasMore\":false,\"AsOf\":{}}}",
            items.join(","),
            state.revision
        );
        (200, text)
    }

    fn watch(&self, req: &Received) -> (u16, String) {
        let prefix = req.query("Prefix");
        let after = req.number("after", 0);
        let until = Instant::now() + Duration::from_millis(req.number("WaitMs", 0));
        let mut state = self.state();
        loop {
            if after > state.revision {
                return (410, "{}".to_owned());
            }
            let events = state.history.iter();
            let events = events.filter(|(rev, key, _)| *rev > after && key.starts_with(&prefix));
            let events: Vec<&str> = events.map(|(_, _, event)| event.as_str()).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let text = format!(
                    "{{\"events\":[{}],\"AsOf\":{}}}",
                    events.join(","),
                    state.revision
                );
                return (200, text);
            }
            let step = left.min(Duration::from_millis(20));
            let waited = self.changed.wait_timeout(state, step);
            state = waited.unwrap_or_else(|e| e.into_inner()).0;
            state.expire();
        }
    }

    fn commit(&self, body: &Json) -> (u16, String) {
        let mut state = self.state();
        for expected in body.get("Expected").list() {
            let key = expected.get("Key").text();
            let found = state.items.get(key).map_or(0, |entry| entry.revision);
            if found != expected.get("Rev").number() {
                return (412, "{\"items\":[]}".to_owned());
            }
        }
        let puts = body.get("SetKeys").list();
        let has_lease = |put: &Json| {
            let lease = put.get("Lease").number();
            lease == 0 || state.leases.contains_key(&lease)
        };
        if !puts.iter().all(has_lease) {
            return (404, "{}".to_owned());
        }
        for put in puts {
            let value = put.get("Value").text().to_owned();
            state.put(put.get("Key").text(), value, put.get("Lease").number());
        }
        for key in body.get("Remove").list() {
            state.remove(key.text());
        }
        let revision = state.revision;
        drop(state);
        self.changed.notify_all();
        (200, format!("{{\"Rev\":{revision}}}"))
    }

    fn open_lease(&self, ttl_ms: u64) -> (u16, String) {
        let ttl = Duration::from_millis(ttl_ms.clamp(1_000, 600_000));
        let mut state = self.state();
        state.last_lease += 1;
        let id = state.last_lease;
        state.leases.insert(id, (ttl, Instant::now() + ttl));
        let text = format!("{{\"Lease\":{id},\"TtlMs\":{}}}", ttl.as_millis());
        (200, text)
    }

    fn keep_lease(&self, id: u64) -> (u16, String) {
        let mut state = self.state();
        match state.leases.get_mut(&id) {
            Some((ttl, end)) => {
                *end = Instant::now() + *ttl;
                (200, format!("{{\"TtlMs\":{}}}", ttl.as_millis()))
            }
            None => (404, "{}".to_owned()),
        }
    }
}
