//! Stand-ins of this review: the platform's store, engines, consumers, and the gateway as a
//! process. Only the standard library; all addresses are loopback addresses.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, len: u32) -> i32;
}

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

// ---------------------------------------------------------------- the record

static RECORD: OnceLock<(Mutex<File>, Instant)> = OnceLock::new();

/// Opens `record.txt` in the folder of the case, and sees to it that the case ends.
pub fn open_record() {
    let dir = std::env::var("CASE_DIR").expect("CASE_DIR names the folder of the case");
    let file = File::create(PathBuf::from(dir).join("record.txt")).expect("record.txt");
    let _ = RECORD.set((Mutex::new(file), Instant::now()));
    watch_over();
}

/// Writes a line with the time since the start, to the record and to standard output.
pub fn record(text: &str) {
    let Some((file, began)) = RECORD.get() else {
        return;
    };
    let line = format!("{:8.3} s  {text}", began.elapsed().as_secs_f64());
    let _ = writeln!(file.lock().unwrap(), "{line}");
    println!("{line}");
}

/// Whether the disruption is played.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// The child processes that run, and the temporary folders.
static CHILDREN: Mutex<Vec<u32>> = Mutex::new(Vec::new());
static FOLDERS: Mutex<Vec<PathBuf>> = Mutex::new(Vec::new());

/// Notes a child process, so that it ends with the case.
pub fn note_child(child: &Child) {
    CHILDREN.lock().unwrap().push(child.id());
}

/// Waits for a child process that ends.
fn reap(child: &mut Child) {
    let _ = child.wait();
    CHILDREN.lock().unwrap().retain(|id| *id != child.id());
}

/// Ends all child processes that have not been waited for, and removes the temporary folders.
fn clean_up() {
    for id in CHILDREN.lock().unwrap().drain(..) {
        unsafe { kill(id as i32, SIGKILL) };
    }
    for folder in FOLDERS.lock().unwrap().drain(..) {
        let _ = std::fs::remove_dir_all(folder);
    }
}

/// A case that panics, or takes too long, could not run.
fn watch_over() {
    let report = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        report(panic);
        clean_up();
        std::process::exit(2);
    }));
    thread::spawn(|| {
        thread::sleep(Duration::from_secs(110));
        cannot_run("it took 110 s");
    });
}

/// Ends the case: 0 if the rule held, 1 if it was broken.
pub fn finish(broken: &[String]) -> ! {
    for line in broken {
        record(&format!("BROKEN: {line}"));
    }
    record(match broken.is_empty() {
        true => "the rule held",
        false => "the rule was broken",
    });
    clean_up();
    std::process::exit(i32::from(!broken.is_empty()));
}

/// Ends the case as one that could not run.
pub fn cannot_run(why: &str) -> ! {
    record(&format!("could not run: {why}"));
    clean_up();
    std::process::exit(2);
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

// ---------------------------------------------------------------- JSON, base64

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Num(f64),
    Str(String),
    List(Vec<Json>),
    Map(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &[u8]) -> Option<Self> {
        let mut at = 0;
        let value = Self::value(text, &mut at)?;
        Some(value)
    }

    fn space(text: &[u8], at: &mut usize) {
        while text.get(*at).is_some_and(u8::is_ascii_whitespace) {
            *at += 1;
        }
    }

    fn value(text: &[u8], at: &mut usize) -> Option<Self> {
        Self::space(text, at);
        match *text.get(*at)? {
            b'{' => {
                *at += 1;
                let mut map = Vec::new();
                loop {
                    Self::space(text, at);
                    match *text.get(*at)? {
                        b'}' => break,
                        b',' => *at += 1,
                        _ => {
                            let Self::Str(key) = Self::value(text, at)? else {
                                return None;
                            };
                            Self::space(text, at);
                            if *text.get(*at)? != b':' {
                                return None;
                            }
                            *at += 1;
                            map.push((key, Self::value(text, at)?));
                        }
                    }
                }
                *at += 1;
                Some(Self::Map(map))
            }
            b'[' => {
                *at += 1;
                let mut list = Vec::new();
                loop {
                    Self::space(text, at);
                    match *text.get(*at)? {
                        b']' => break,
                        b',' => *at += 1,
                        _ => list.push(Self::value(text, at)?),
                    }
                }
                *at += 1;
                Some(Self::List(list))
            }
            b'"' => {
                *at += 1;
                let mut out = Vec::new();
                loop {
                    match *text.get(*at)? {
                        b'"' => break,
                        b'\\' => {
                            *at += 1;
                            out.push(match *text.get(*at)? {
                                b'n' => b'\n',
                                b't' => b'\t',
                                b'r' => b'\r',
                                other => other,
                            });
                        }
                        byte => out.push(byte),
                    }
                    *at += 1;
                }
                *at += 1;
                Some(Self::Str(String::from_utf8_lossy(&out).into_owned()))
            }
            _ => {
                let begin = *at;
                while text.get(*at).is_some_and(|b| !b",]} \n\r\t".contains(b)) {
                    *at += 1;
                }
                match &text[begin..*at] {
                    b"true" => Some(Self::Bool(true)),
                    b"false" => Some(Self::Bool(false)),
                    b"null" => Some(Self::Null),
                    number => Some(Self::Num(std::str::from_utf8(number).ok()?.parse().ok()?)),
                }
            }
        }
    }

    pub fn get(&self, key: &str) -> &Json {
        match self {
            Self::Map(map) => map
                .iter()
                .find(|(k, _)| k == key)
                .map_or(&Self::Null, |(_, v)| v),
            _ => &Self::Null,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Self::List(list) => list,
            _ => &[],
        }
    }

    pub fn str(&self) -> &str {
        match self {
            Self::Str(text) => text,
            _ => "",
        }
    }

    pub fn num(&self) -> u64 {
        match self {
            Self::Num(number) => *number as u64,
            _ => 0,
        }
    }
}

pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let word = chunk.iter().fold(0u32, |word, b| word << 8 | u32::from(*b));
        let word = word << (8 * (3 - chunk.len()));
        for n in 0..4 {
            out.push(match n <= chunk.len() {
                true => DIGITS[(word >> (18 - 6 * n) & 63) as usize] as char,
                false => '=',
            });
        }
    }
    out
}

// ---------------------------------------------------------------- HTTP

/// A request as a server received it.
#[derive(Clone, Debug, Default)]
pub struct Received {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Received {
    pub fn header(&self, name: &str) -> &str {
        let mut headers = self.headers.iter();
        headers
            .find(|(n, _)| n.eq_ignore_ascii_case(name))
            .map_or("", |(_, v)| v)
    }

    pub fn id(&self) -> &str {
        self.header("Rattanstall-Request-Id")
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> String {
        let query = self.target.split_once('?').map_or("", |(_, q)| q);
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let value = pairs.find(|(n, _)| *n == name).map_or("", |(_, v)| v);
        let mut out = Vec::new();
        let bytes = value.as_bytes();
        let mut at = 0;
        while at < bytes.len() {
            if bytes[at] == b'%' && at + 2 < bytes.len() {
                let text = std::str::from_utf8(&bytes[at + 1..at + 3]).unwrap_or("00");
                out.push(u8::from_str_radix(text, 16).unwrap_or(0));
                at += 3;
            } else {
                out.push(bytes[at]);
                at += 1;
            }
        }
        String::from_utf8_lossy(&out).into_owned()
    }
}

/// Reads one request with its body; `None` at the end of the channel.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Received> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let mut words = line.split_whitespace();
    let mut req = Received {
        method: words.next()?.to_owned(),
        target: words.next()?.to_owned(),
        ..Received::default()
    };
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        req.headers.push((name.to_owned(), value.trim().to_owned()));
    }
    if req
        .header("Transfer-Encoding")
        .eq_ignore_ascii_case("chunked")
    {
        loop {
            let mut line = String::new();
            reader.read_line(&mut line).ok()?;
            let size = usize::from_str_radix(line.trim(), 16).ok()?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk).ok()?;
            if size == 0 {
                break;
            }
            req.body.extend_from_slice(&chunk[..size]);
        }
    } else {
        let length = req.header("Content-Length").parse().unwrap_or(0);
        req.body = vec![0; length];
        reader.read_exact(&mut req.body).ok()?;
    }
    Some(req)
}

/// Serves each channel in a thread of its own. The handler returns whether the channel is kept.
pub fn serve(
    listener: TcpListener,
    handler: impl Fn(&Received, &mut TcpStream) -> std::io::Result<bool> + Send + Sync + 'static,
) {
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            let _ = stream.set_nodelay(true);
            thread::spawn(move || {
                let Ok(mut out) = stream.try_clone() else {
                    return;
                };
                let mut reader = BufReader::new(stream);
                while let Some(req) = read_request(&mut reader) {
                    match handler(&req, &mut out) {
                        Ok(true) => {}
                        _ => break,
                    }
                }
                let _ = out.shutdown(std::net::Shutdown::Both);
            });
        }
    });
}

pub fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

/// What the store says in `Store-Era`; it says nothing if this is 0.
pub static STORE_ERA: AtomicU64 = AtomicU64::new(0);

fn answer(out: &mut TcpStream, status: &str, body: &str) -> std::io::Result<bool> {
    let era = match STORE_ERA.load(Ordering::Relaxed) {
        0 => String::new(),
        era => format!("Store-Era: {era}\r\n"),
    };
    let head = format!(
        "HTTP/1.1 {status}\r\nContent-Type: application/json\r\n{era}Content-Length: {}\r\n\r\n",
        body.len()
    );
    out.write_all((head + body).as_bytes())?;
    Ok(true)
}

// ---------------------------------------------------------------- the platform's store

#[derive(Clone)]
struct Item {
    value: String,
    rev: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct StoreState {
    rev: u64,
    items: BTreeMap<String, Item>,
    leases: BTreeMap<u64, (Duration, Instant)>,
    last_lease: u64,
    history: Vec<(u64, String, String)>,
}

/// The platform's store as PROTOCOL.md has it.
#[derive(Default)]
pub struct Store {
    state: Mutex<StoreState>,
    changed: Condvar,
}

impl StoreState {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        self.rev += 1;
        let created = self.items.get(key).map_or(self.rev, |i| i.created);
        let item = Item {
            value,
            rev: self.rev,
            created,
            lease,
        };
        self.history
            .push((self.rev, key.to_owned(), show(key, &item)));
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

    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let keys = self.items.iter().filter(|(_, i)| i.lease == id);
        let keys: Vec<String> = keys.map(|(k, _)| k.clone()).collect();
        keys.iter().for_each(|key| self.remove(key));
    }
}

fn show(key: &str, item: &Item) -> String {
    format!(
        "{{\"Key\":\"{key}\",\"Value\":\"{}\",\"Rev\":{},\"CreateRev\":{},\"Lease\":{}}}",
        item.value, item.rev, item.created, item.lease
    )
}

impl Store {
    /// Starts the store and returns it with its address.
    pub fn start() -> (Arc<Self>, SocketAddr) {
        let store = Arc::new(Self::default());
        store.state.lock().unwrap().rev = 100;
        let (listener, address) = listen();
        let served = store.clone();
        serve(listener, move |req, out| served.call(req, out));
        let expiring = store.clone();
        thread::spawn(move || {
            loop {
                sleep_ms(20);
                let mut state = expiring.state.lock().unwrap();
                let now = Instant::now();
                let ended = state.leases.iter().filter(|(_, (_, end))| *end <= now);
                let ended: Vec<u64> = ended.map(|(id, _)| *id).collect();
                if !ended.is_empty() {
                    ended.iter().for_each(|id| state.end_lease(*id));
                    expiring.changed.notify_all();
                }
            }
        });
        (store, address)
    }

    /// Writes what the operator or an engine says.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.state.lock().unwrap();
        state.put(key, base64(value.as_bytes()), 0);
        self.changed.notify_all();
    }

    pub fn remove(&self, key: &str) {
        self.state.lock().unwrap().remove(key);
        self.changed.notify_all();
    }

    /// The keys that begin like this.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let state = self.state.lock().unwrap();
        let keys = state.items.keys().filter(|k| k.starts_with(prefix));
        keys.cloned().collect()
    }

    fn call(&self, req: &Received, out: &mut TcpStream) -> std::io::Result<bool> {
        let path = req.path();
        if path == "/rattanstall/kv-watch" {
            return self.watch(req, out);
        }
        // The store takes 4 ms an answer.
        sleep_ms(4);
        let mut state = self.state.lock().unwrap();
        let (status, body) = match (req.method.as_str(), path) {
            ("GET", "/rattanstall/kv-key") => {
                let key = req.query("Key");
                match state.items.get(&key) {
                    Some(item) => {
                        let mut text = show(&key, item);
                        text.pop();
                        ("200 OK", format!("{text},\"AsOf\":{}}}", state.rev))
                    }
                    None => ("404 Not Found", format!("{{\"AsOf\":{}}}", state.rev)),
                }
            }
            ("GET", "/rattanstall/kv-range") => {
                let (prefix, after) = (req.query("Prefix"), req.query("after"));
                let found = state.items.iter();
                let found = found.filter(|(k, _)| k.starts_with(&prefix) && **k > after);
                let items: Vec<String> = found.map(|(k, i)| show(k, i)).collect();
                let items = items.join(",");
                let as_of = state.rev;
                (
                    "200 OK",
                    format!("{{\"items\":[{items}],\"HasMore\":false,\"AsOf\":{as_of}}}"),
                )
            }
            ("POST", "/rattanstall/kv-txn") => self.commit(&mut state, &req.body),
            ("POST", "/rattanstall/kv-lease") => {
                let ttl = Json::parse(&req.body).map_or(0, |b| b.get("TtlMs").num());
                let ttl = ttl.clamp(1_000, 600_000);
                state.last_lease += 1;
                let id = 7_000 + state.last_lease;
                let ttl_time = Duration::from_millis(ttl);
                state
                    .leases
                    .insert(id, (ttl_time, Instant::now() + ttl_time));
                ("200 OK", format!("{{\"Lease\":{id},\"TtlMs\":{ttl}}}"))
            }
            ("POST", path) if path.starts_with("/rattanstall/kv-keep/") => {
                let id = path.rsplit('/').next().and_then(|id| id.parse().ok());
                match id.and_then(|id: u64| state.leases.get_mut(&id)) {
                    Some((ttl, end)) => {
                        *end = Instant::now() + *ttl;
                        ("200 OK", format!("{{\"TtlMs\":{}}}", ttl.as_millis()))
                    }
                    None => ("404 Not Found", "{}".to_owned()),
                }
            }
            ("DELETE", path) if path.starts_with("/rattanstall/kv-lease-end/") => {
                let id = path.rsplit('/').next().and_then(|id| id.parse().ok());
                state.end_lease(id.unwrap_or(0));
                self.changed.notify_all();
                ("200 OK", "{}".to_owned())
            }
            _ => ("404 Not Found", "{}".to_owned()),
        };
        drop(state);
        answer(out, status, &body)
    }

    fn commit(&self, state: &mut StoreState, body: &[u8]) -> (&'static str, String) {
        let Some(body) = Json::parse(body) else {
            return ("400 Bad Request", "{}".to_owned());
        };
        let expected = body.get("Expected").list();
        let rev_of = |key: &str| state.items.get(key).map_or(0, |i| i.rev);
        if expected
            .iter()
            .any(|e| rev_of(e.get("Key").str()) != e.get("Rev").num())
        {
            let rows = expected.iter().filter_map(|e| {
                let key = e.get("Key").str();
                Some(show(key, state.items.get(key)?))
            });
            let rows: Vec<String> = rows.collect();
            return (
                "412 Precondition Failed",
                format!("{{\"items\":[{}]}}", rows.join(",")),
            );
        }
        let puts = body.get("SetKeys").list();
        let is_forbidden = |p: &Json| {
            let key = p.get("Key").str();
            key.starts_with("op/") || key.starts_with("servers/")
        };
        if puts.iter().any(is_forbidden) {
            return ("403 Forbidden", "{}".to_owned());
        }
        let lease_of = |p: &Json| p.get("Lease").num();
        if puts
            .iter()
            .any(|p| lease_of(p) != 0 && !state.leases.contains_key(&lease_of(p)))
        {
            return ("404 Not Found", "{}".to_owned());
        }
        for put in puts {
            let value = put.get("Value").str().to_owned();
            state.put(put.get("Key").str(), value, lease_of(put));
        }
        for key in body.get("Remove").list() {
            state.remove(key.str());
        }
        self.changed.notify_all();
        ("200 OK", format!("{{\"Rev\":{}}}", state.rev))
    }

    fn watch(&self, req: &Received, out: &mut TcpStream) -> std::io::Result<bool> {
        let prefix = req.query("Prefix");
        let after: u64 = req.query("after").parse().unwrap_or(0);
        let wait: u64 = req.query("WaitMs").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait.min(30_000));
        let mut state = self.state.lock().unwrap();
        loop {
            let events = state.history.iter();
            let events = events.filter(|(rev, key, _)| *rev > after && key.starts_with(&prefix));
            let events: Vec<String> = events.map(|(_, _, e)| e.clone()).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let body = format!(
                    "{{\"events\":[{}],\"AsOf\":{}}}",
                    events.join(","),
                    state.rev
                );
                drop(state);
                return answer(out, "200 OK", &body);
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

// ---------------------------------------------------------------- engines

/// The entry of an engine without models.
pub fn entry(service: &str, address: SocketAddr, zone: &str, state: &str) -> String {
    format!(
        "{{\"Service\":\"{service}\",\"Address\":\"{address}\",\"Zone\":\"{zone}\",\
         \"Version\":\"v1\",\"Slots\":6,\"State\":\"{state}\",\"ColdLeftMs\":0,\"Seq\":4,\
         \"born\":1765000000000}}"
    )
}

/// A model engine that writes streams of events, as PROTOCOL.md has it, with one model.
pub struct ModelEngine {
    store: Arc<Store>,
    name: String,
    version: &'static str,
    address: SocketAddr,
    state: Mutex<ModelState>,
}

struct ModelState {
    entry_state: &'static str,
    /// Number of entries written, and of orders accepted.
    beats: u64,
    orders: u64,
    is_busy: bool,
    holds_model: bool,
}

/// Events of a stream, and the pause before each.
pub const EVENTS: usize = 49;
pub const EVENT_PAUSE_MS: u64 = 80;
const BORN: u64 = 1_765_000_000_000;
const LOAD_MS: u64 = 1_200;

impl ModelEngine {
    /// Starts an engine, which registers itself.
    pub fn start(
        store: &Arc<Store>,
        name: &str,
        version: &'static str,
        holds_model: bool,
    ) -> Arc<Self> {
        let (listener, address) = listen();
        let engine = Arc::new(Self {
            store: store.clone(),
            name: name.to_owned(),
            version,
            address,
            state: Mutex::new(ModelState {
                entry_state: "ready",
                beats: 0,
                orders: 0,
                is_busy: false,
                holds_model,
            }),
        });
        let served = engine.clone();
        serve(listener, move |req, out| served.clone().answer(req, out));
        engine.write_entry();
        engine
    }

    /// Reports that it drains.
    pub fn drain(&self) {
        self.state.lock().unwrap().entry_state = "draining";
        self.write_entry();
    }

    /// Removes its entry.
    pub fn leave(&self) {
        self.store.remove(&format!("servers/{}", self.name));
    }

    fn models(holds_model: bool) -> &'static str {
        match holds_model {
            true => "[{\"Name\":\"m-one\",\"Version\":1,\"Adapters\":[]}]",
            false => "[]",
        }
    }

    fn write_entry(&self) {
        let mut state = self.state.lock().unwrap();
        state.beats += 1;
        let (address, version, entry_state) = (self.address, self.version, state.entry_state);
        let models = Self::models(state.holds_model);
        let value = format!(
            "{{\"Service\":\"liquor-llm\",\"Address\":\"{address}\",\"Zone\":\"zone-a\",\
             \"Version\":\"{version}\",\"Slots\":48,\"State\":\"{entry_state}\",\"ColdLeftMs\":0,\
             \"Stage\":\"both\",\"Models\":{models},\"Seq\":{},\"born\":{BORN}}}",
            state.beats
        );
        self.store.put(&format!("servers/{}", self.name), &value);
    }

    fn answer(self: Arc<Self>, req: &Received, out: &mut TcpStream) -> std::io::Result<bool> {
        match req.path() {
            "/rattanstall/report" => {
                let state = self.state.lock().unwrap();
                let body = format!(
                    "{{\"Stage\":\"both\",\"Models\":{},\"Busy\":{},\"Seq\":{},\"Waiting\":0,\
                     \"Running\":0,\"KvUsed\":0,\"KvTotal\":164235,\"Handles\":0,\"born\":{BORN}}}",
                    Self::models(state.holds_model),
                    state.is_busy,
                    state.orders
                );
                drop(state);
                answer(out, "200 OK", &body)
            }
            "/rattanstall/order" => self.take_order(req, out),
            _ => self.write_stream(req, out),
        }
    }

    fn take_order(self: Arc<Self>, req: &Received, out: &mut TcpStream) -> std::io::Result<bool> {
        let order = Json::parse(&req.body).unwrap_or(Json::Null);
        record(&format!(
            "engine {} gets the order {}",
            self.name,
            String::from_utf8_lossy(&req.body)
        ));
        let loads = order.get("Operation").str() == "load";
        let mut state = self.state.lock().unwrap();
        let is_stale =
            *order.get("Expected") != Json::Null && order.get("Expected").num() != state.orders;
        let status = if state.is_busy || is_stale {
            "409 Conflict"
        } else if state.holds_model == loads {
            "200 OK"
        } else {
            state.orders += 1;
            state.is_busy = true;
            let engine = self.clone();
            thread::spawn(move || {
                sleep_ms(LOAD_MS);
                let mut state = engine.state.lock().unwrap();
                state.is_busy = false;
                state.holds_model = loads;
                drop(state);
                engine.write_entry();
            });
            "202 Accepted"
        };
        drop(state);
        answer(out, status, "{}")
    }

    fn write_stream(&self, req: &Received, out: &mut TcpStream) -> std::io::Result<bool> {
        let id = req.id();
        if !self.state.lock().unwrap().holds_model {
            let head = format!(
                "HTTP/1.1 421 Misdirected Request\r\nRattanstall-Request-Id: {id}\r\n\
                 Rattanstall-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
            );
            out.write_all(head.as_bytes())?;
            return Ok(true);
        }
        let after: usize = req.header("Last-Event-Id").parse().unwrap_or(0);
        let (name, version) = (&self.name, self.version);
        record(&format!(
            "engine {name} ({version}) runs {id} after event {after}"
        ));
        let head = format!(
            "HTTP/1.1 200 OK\r\nRattanstall-Request-Id: {id}\r\nRattanstall-Server-Stamp: \
             3e1b.{id}\r\nRattanstall-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\n\
             Transfer-Encoding: chunked\r\n\r\n"
        );
        out.write_all(head.as_bytes())?;
        for event in after + 1..=EVENTS {
            sleep_ms(EVENT_PAUSE_MS);
            let text = format!("id: {event}\ndata: words {event} of {EVENTS}\n\n");
            out.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
        }
        out.write_all(b"0\r\n\r\n")?;
        Ok(true)
    }
}

/// A config with a service of model engines and a route whose streams may be resumed.
pub fn stream_config() -> String {
    "{\"Version\":7,\"Routes\":[{\"Name\":\"night\",\"Host\":\"mill.example\",\"Prefix\":\"/night/\",\
     \"Kind\":\"stream\",\"TimeoutMs\":15000,\"TargetLatencyMs\":1200,\"Priority\":0,\
     \"Service\":\"liquor-llm\",\"MaxAttempts\":2,\"Public\":false,\"Sticky\":true,\
     \"CanResume\":true,\"GapAimMs\":250}],\"Services\":[{\"Name\":\"liquor-llm\",\
     \"HealthPath\":\"/healthz\",\"MaxConns\":300,\"Protocol\":\"h1\",\"Tls\":false,\"Engine\":{\
     \"Slots\":48,\"KvCapacity\":164235,\"WeightMb\":200000.0,\"AdapterSlots\":8,\"LoadsPerS\":2.6,\
     \"Models\":[{\"Name\":\"m-one\",\"WeightMb\":65100.0,\"LoadS\":1.2,\"Adapters\":0,\
     \"AdapterMb\":12.0}]}}],\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\
     \"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000},\"Tenants\":[{\"Name\":\"mill-one\",\
     \"ApiKeys\":[\"key-one\"],\"Priority\":1,\"Unit\":\"tokens\",\"PlainTokens\":200,\
     \"RatePerS\":106857,\"Burst\":106857}]}"
        .to_owned()
}

/// A request for a stream, which goes on after an event if `resumes` names the first attempt.
pub fn stream_request(id: &str, deadline_ms: u64, resumes: Option<(&str, usize)>) -> Vec<u8> {
    let resumes = resumes.map_or(String::new(), |(first, last)| {
        format!("Resumes: {first}\r\nLast-Event-Id: {last}\r\n")
    });
    // The last part of the prompt belongs to the request.
    let own = id
        .bytes()
        .fold(7u32, |hash, b| hash.wrapping_mul(31).wrapping_add(b.into()));
    format!(
        "POST /night/sum HTTP/1.1\r\nHost: mill.example\r\nRattanstall-Request-Id: {id}\r\n\
         Rattanstall-Model: m-one\r\nRattanstall-Token-Count: 826,294\r\n\
         Rattanstall-Prompt-Prefix: 5c1e07a2:198,{own:08x}:628\r\n\
         Rattanstall-Deadline-Ms: {deadline_ms}\r\n{resumes}Authorization: Bearer key-one\r\n\
         Content-Length: 6\r\n\r\nprompt"
    )
    .into_bytes()
}

/// A body in which each line has its number, so that any cut or mix shows.
pub fn numbered_body(bytes: usize) -> Vec<u8> {
    let mut out = Vec::with_capacity(bytes + 16);
    let mut line = 0;
    while out.len() < bytes {
        out.extend_from_slice(format!("line {line:09}\n").as_bytes());
        line += 1;
    }
    out.truncate(bytes);
    out
}

// ---------------------------------------------------------------- the gateway

/// The folder of the repository.
pub fn root() -> PathBuf {
    PathBuf::from(std::env::var("REPO").expect("REPO names the repository"))
}

/// A process of the command that the deploy file names.
pub struct Gateway {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    process: Child,
    dir: PathBuf,
}

/// A loopback address at which the gateway's ports are free.
fn free_ip() -> Ipv4Addr {
    let seed = std::process::id() as u64 ^ Instant::now().elapsed().as_nanos() as u64;
    let time = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .map_or(0, |d| d.subsec_nanos() as u64);
    let mut word = seed
        .wrapping_mul(6_364_136_223_846_793_005)
        .wrapping_add(time);
    for _ in 0..100 {
        word = word.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        let ip = Ipv4Addr::new(127, (word >> 40) as u8 | 1, (word >> 32) as u8, 7);
        let ports = [8_221, 8_224, 8_229, 7_600, 9_464];
        if ports.iter().all(|p| TcpListener::bind((ip, *p)).is_ok()) {
            return ip;
        }
    }
    cannot_run("no free loopback address")
}

impl Gateway {
    /// Starts the program with the settings of a small installation and waits until it is ready.
    pub fn start(name: &str, zone: &str, store: SocketAddr) -> Self {
        let ip = free_ip();
        let dir =
            std::env::temp_dir().join(format!("rattanstall-r3-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&dir).expect("a temporary folder");
        FOLDERS.lock().unwrap().push(dir.clone());
        let settings = dir.join("boot.toml");
        let text = format!(
            "NodeName = \"{name}\"\nRole = \"gateway\"\nMachineClass = \"front\"\n\
             Serves = [\"front\"]\nIp = \"{ip}\"\nZone = \"{zone}\"\nRegion = \"r0\"\n\
             PortRange = [7600,7615]\nSeedAddrs = []\nBootstrap = true\nInTolerance = false\n\
             Discovery = \"platform\"\nEntry = \"vip\"\nHeartbeatIntervalMs = 1200\n\
             [Listen]\nFront = \"{ip}:8221\"\nReady = \"{ip}:8224\"\nControl = \"{ip}:8229\"\n\
             [Limits]\nCpuShare = 0.19\nCpuCores = 1\nMemoryMb = 260\nMaxFds = 4200\n\
             LinkMbps = 1000.0\nDiskMb = 0\n[Tolerate]\nMachines = 1\nZones = 0\nRegions = 0\n\
             [Bounds]\nSeedLagS = 3\nReuseAfterS = 2\nStableWindowMs = 3000\nAckMs = 4000\n\
             CatchupS = 4\nDrainMs = 2000\nGraceS = 8\nLossSlackMs = 200\nConfigMs = 2000\n\
             RollbackSlackMs = 250\nStretchMs = 5000\nStrictRevoke = false\nRevokeMs = 5000\n\
             BudgetRatio = 0.2\nBudgetWindowS = 10\nBudgetSlack = 54\nQuotaWindowS = 8\n\
             QuotaOver = 0.1\nQuotaSlack = 17000\nRecoverS = 12\nPassMs = 120\nAgainS = 0\n\
             RequireFence = true\nLeaseMs = 3000\nThawMs = 300\nCeilingWindowS = 5\n\
             CeilingOver = 1.1\n[Platform]\nAddress = \"{store}\"\nform = \"kv\"\n\
             WritesPerS = 400\nReadsPerS = 2000\nHistoryS = 20\nValueBytes = 1048576\n\
             TtlMinMs = 1000\n"
        );
        std::fs::write(&settings, text).expect("a settings file");
        let process = Self::spawn(&dir);
        let mut gateway = Self {
            name: name.to_owned(),
            front: SocketAddr::from((ip, 8_221)),
            ready: SocketAddr::from((ip, 8_224)),
            process,
            dir,
        };
        gateway.wait_until_ready();
        gateway
    }

    /// Starts the command of deploy/system.toml in the root of the repository.
    fn spawn(dir: &std::path::Path) -> Child {
        let mut log = File::options();
        let log = log.create(true).append(true).open(dir.join("log"));
        let process = Command::new(root().join("target/release/rattanstall-front"))
            .current_dir(root())
            .env("RATTANSTALL_SETTINGS", dir.join("boot.toml"))
            .stdout(log.expect("a log file"))
            .stderr(Stdio::null())
            .spawn();
        let process = process.unwrap_or_else(|e| cannot_run(&format!("no gateway: {e}")));
        note_child(&process);
        process
    }

    /// Starts the process again after its end. The system does not start for the first time now.
    pub fn start_again(&mut self) {
        let settings = self.dir.join("boot.toml");
        let text = std::fs::read_to_string(&settings).expect("a settings file");
        let text = text.replace("Bootstrap = true", "Bootstrap = false");
        std::fs::write(&settings, text).expect("a settings file");
        self.process = Self::spawn(&self.dir);
    }

    /// Waits until the process says that it is ready.
    pub fn wait_until_ready(&mut self) {
        let began = Instant::now();
        while !self.is_ready() {
            if began.elapsed() > Duration::from_secs(20) {
                self.end();
                cannot_run("the gateway is not ready after 20 s");
            }
            sleep_ms(50);
        }
        record(&format!("gateway {} is ready at {}", self.name, self.front));
    }

    pub fn pid(&self) -> u32 {
        self.process.id()
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        record(&format!("gateway {} is killed (SIGKILL)", self.name));
        let _ = self.process.kill();
        reap(&mut self.process);
    }

    /// Asks as the platform does.
    pub fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect_timeout(&self.ready, Duration::from_secs(1)) else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
        let req = b"GET /rattanstall/ready HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n";
        let mut buf = [0; 64];
        stream.write_all(req).is_ok()
            && stream.read(&mut buf).is_ok_and(|n| n > 12)
            && buf.starts_with(b"HTTP/1.1 200")
    }

    pub fn signal(&self, signal: i32) {
        record(&format!("signal {signal} to gateway {}", self.name));
        unsafe { kill(self.process.id() as i32, signal) };
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        self.process.try_wait().is_ok_and(|status| status.is_some())
    }

    /// The lines of its log with an event.
    pub fn log_lines(&self, event: &str) -> Vec<String> {
        let text = std::fs::read_to_string(self.dir.join("log")).unwrap_or_default();
        let wanted = format!("\"event\":\"{event}\"");
        let lines = text.lines().filter(|l| l.contains(&wanted));
        lines.map(str::to_owned).collect()
    }

    /// Ends the process, if it still runs, and removes its folder.
    pub fn end(&mut self) {
        if !self.has_ended() {
            let _ = self.process.kill();
        }
        reap(&mut self.process);
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

/// Kills a child process of this case.
pub fn kill_child(child: &mut Child) {
    if child.try_wait().is_ok_and(|status| status.is_none()) {
        let _ = child.kill();
    }
    reap(child);
}

// ---------------------------------------------------------------- consumers

/// How an answer ended for the consumer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// All bytes of the stated length, or the last chunk, came.
    Framed,
    /// The channel ended in order and nothing stated a length.
    InOrder,
    /// The channel ended in order before the stated end.
    Early,
    /// The channel was reset.
    Reset,
    /// Nothing came for as long as the consumer waits.
    TimedOut,
}

/// What a consumer got.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub head: String,
    pub body: Vec<u8>,
    pub end: End,
    pub took: Duration,
}

impl Answer {
    pub fn header(&self, name: &str) -> &str {
        let mut lines = self.head.lines().skip(1).filter_map(|l| l.split_once(':'));
        lines
            .find(|(n, _)| n.eq_ignore_ascii_case(name))
            .map_or("", |(_, v)| v.trim())
    }

    /// Whether the consumer takes it for a complete answer.
    pub fn looks_complete(&self) -> bool {
        matches!(self.end, End::Framed | End::InOrder)
    }
}

/// How a consumer reads: at most so many bytes each 50 ms; as fast as it can if it is 0.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pace {
    pub bytes_per_step: usize,
    /// Capacity of the socket's buffer of received bytes; the system's default if it is 0.
    pub receive_buffer: i32,
}

/// Connects as a consumer.
pub fn connect(to: SocketAddr, pace: Pace) -> std::io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
    if pace.receive_buffer > 0 {
        const SOL_SOCKET: i32 = 1;
        const SO_RCVBUF: i32 = 8;
        unsafe {
            setsockopt(
                stream.as_raw_fd(),
                SOL_SOCKET,
                SO_RCVBUF,
                &pace.receive_buffer,
                4,
            )
        };
    }
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Reads an answer to its end.
pub fn read_answer(mut stream: &TcpStream, pace: Pace, within: Duration) -> Answer {
    let began = Instant::now();
    let mut got: Vec<u8> = Vec::new();
    let mut head_end = None;
    let mut framing = (None, false);
    let mut buf = vec![0; 64 << 10];
    let end = loop {
        if let Some(at) = head_end {
            let body = &got[at..];
            match framing {
                (Some(length), _) if body.len() >= length => break End::Framed,
                (None, true) if dechunk(body).1 => break End::Framed,
                _ => {}
            }
        }
        let left = within.saturating_sub(began.elapsed());
        if left.is_zero() {
            break End::TimedOut;
        }
        let _ = stream.set_read_timeout(Some(left));
        let room = match pace.bytes_per_step {
            0 => buf.len(),
            bytes => bytes.min(buf.len()),
        };
        match stream.read(&mut buf[..room]) {
            Ok(0) => {
                break match framing {
                    (None, false) if head_end.is_some() => End::InOrder,
                    _ => End::Early,
                };
            }
            Ok(count) => got.extend_from_slice(&buf[..count]),
            Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => break End::TimedOut,
            Err(e) if e.kind() == std::io::ErrorKind::TimedOut => break End::TimedOut,
            Err(_) => break End::Reset,
        }
        if head_end.is_none()
            && let Some(at) = got.windows(4).position(|w| w == b"\r\n\r\n")
        {
            head_end = Some(at + 4);
            let head = String::from_utf8_lossy(&got[..at]).to_ascii_lowercase();
            let length = head.split("\r\ncontent-length:").nth(1);
            let length = length.and_then(|rest| rest.lines().next()?.trim().parse().ok());
            framing = (length, head.contains("\r\ntransfer-encoding: chunked"));
        }
        if pace.bytes_per_step > 0 {
            sleep_ms(50);
        }
    };
    let at = head_end.unwrap_or(got.len());
    let head = String::from_utf8_lossy(&got[..at]).into_owned();
    let body = match framing {
        (None, true) => dechunk(&got[at..]).0,
        _ => got[at..].to_vec(),
    };
    let status = head.split_whitespace().nth(1).and_then(|s| s.parse().ok());
    Answer {
        status: status.unwrap_or(0),
        head,
        body,
        end,
        took: began.elapsed(),
    }
}

/// The bytes in chunks that came, and whether the last chunk did.
fn dechunk(mut rest: &[u8]) -> (Vec<u8>, bool) {
    let mut out = Vec::new();
    loop {
        let Some(at) = rest.windows(2).position(|w| w == b"\r\n") else {
            return (out, false);
        };
        let size = std::str::from_utf8(&rest[..at]).unwrap_or("");
        let Ok(size) = usize::from_str_radix(size.trim(), 16) else {
            return (out, false);
        };
        rest = &rest[at + 2..];
        if size == 0 {
            return (out, true);
        }
        let has = size.min(rest.len());
        out.extend_from_slice(&rest[..has]);
        if rest.len() < size + 2 {
            return (out, false);
        }
        rest = &rest[size + 2..];
    }
}

/// The head of a consumer's request.
pub fn request(method: &str, path: &str, id: &str, deadline_ms: u64, body: &[u8]) -> Vec<u8> {
    let mut req = format!(
        "{method} {path} HTTP/1.1\r\nHost: mill.example\r\nRattanstall-Request-Id: {id}\r\n\
         Rattanstall-Deadline-Ms: {deadline_ms}\r\nAuthorization: Bearer key-one\r\n"
    );
    if !body.is_empty() {
        req.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    req.push_str("\r\n");
    let mut req = req.into_bytes();
    req.extend_from_slice(body);
    req
}

/// A config with one service without models, a safe and an unsafe route, and one tenant.
pub fn config(version: u64, service: &str, timeout_ms: u64) -> String {
    let route = |name: &str, prefix: &str, kind: &str, attempts: u32| {
        format!(
            "{{\"Name\":\"{name}\",\"Host\":\"mill.example\",\"Prefix\":\"{prefix}\",\
             \"Kind\":\"{kind}\",\"TimeoutMs\":{timeout_ms},\"TargetLatencyMs\":300,\
             \"Priority\":2,\"Service\":\"{service}\",\"MaxAttempts\":{attempts},\
             \"Public\":false,\"Sticky\":false,\"CanResume\":false}}"
        )
    };
    let routes = [
        route("lookup", "/lookup/", "safe", 2),
        route("filing", "/filing/", "unsafe", 1),
    ];
    format!(
        "{{\"Version\":{version},\"Routes\":[{}],\"Services\":[{{\"Name\":\"{service}\",\
         \"HealthPath\":\"/healthz\",\"MaxConns\":100,\"Protocol\":\"h1\",\"Tls\":false}}],\
         \"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\
         \"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}},\
         \"Tenants\":[{{\"Name\":\"mill-one\",\"ApiKeys\":[\"key-one\"],\"Priority\":1,\
         \"Unit\":\"tokens\",\"PlainTokens\":200,\"RatePerS\":106857,\"Burst\":106857}}]}}",
        routes.join(",")
    )
}
