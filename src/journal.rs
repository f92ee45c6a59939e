//! Structured log lines on standard output.
//!
//! A line is a JSON object. Lines are collected in a bounded buffer that one
//! thread writes out, so a reader that stops reading never blocks a request.
//! Lines that do not fit are dropped; their number is logged.

use std::fmt::Write as _;
use std::io::Write as _;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, mpsc};
use std::time::Duration;

use crate::clock::unix_now;

/// Maximum bytes waiting to be written: about two seconds of lines at
/// `REQUEST_LINES_PER_S`.
const BUFFER_BYTES: usize = 256 << 10;
/// The most bytes of a text in a line. Texts of others, such as a value in the store that cannot
/// be read, may be as long as the buffer.
const MAX_TEXT_BYTES: usize = 2 << 10;
/// Time between two writes. A killed process loses the lines since the last one.
const FLUSH_INTERVAL: Duration = Duration::from_millis(200);
/// How long a process that ends waits for its last lines to be written.
const LAST_FLUSH_TIMEOUT: Duration = Duration::from_millis(200);
/// Request lines that are logged per second. Above this bound, new requests are not
/// logged at all: one line costs about as much as forwarding two events of a
/// response stream.
const REQUEST_LINES_PER_S: u64 = 400;

/// The value of a field.
#[derive(Clone, Copy, Debug)]
pub enum Value<'a> {
    /// Text.
    Text(&'a str),
    /// An unsigned integer.
    Number(u64),
    /// A floating-point number, written with three decimals.
    Float(f64),
    /// A boolean.
    Bool(bool),
}

impl<'a> From<&'a str> for Value<'a> {
    fn from(text: &'a str) -> Self {
        Self::Text(text)
    }
}

impl<'a> From<&'a compact_str::CompactString> for Value<'a> {
    fn from(text: &'a compact_str::CompactString) -> Self {
        Self::Text(text)
    }
}

impl<'a> From<&'a String> for Value<'a> {
    fn from(text: &'a String) -> Self {
        Self::Text(text)
    }
}

impl From<u64> for Value<'_> {
    fn from(number: u64) -> Self {
        Self::Number(number)
    }
}

impl From<u32> for Value<'_> {
    fn from(number: u32) -> Self {
        Self::Number(number.into())
    }
}

impl From<u16> for Value<'_> {
    fn from(number: u16) -> Self {
        Self::Number(number.into())
    }
}

impl From<usize> for Value<'_> {
    fn from(number: usize) -> Self {
        Self::Number(number as u64)
    }
}

impl From<crate::clock::Millis> for Value<'_> {
    fn from(span: crate::clock::Millis) -> Self {
        Self::Number(span.0)
    }
}

impl From<f64> for Value<'_> {
    fn from(number: f64) -> Self {
        Self::Float(number)
    }
}

impl From<bool> for Value<'_> {
    fn from(value: bool) -> Self {
        Self::Bool(value)
    }
}

static BUFFER: Mutex<Vec<u8>> = Mutex::new(Vec::new());
static DROPPED: AtomicU64 = AtomicU64::new(0);
static CURRENT_SECOND: AtomicU64 = AtomicU64::new(0);
static REQUEST_LINES: AtomicU64 = AtomicU64::new(0);

/// Starts the thread that writes the buffered lines.
pub fn start() {
    std::thread::spawn(|| {
        loop {
            std::thread::sleep(FLUSH_INTERVAL);
            flush();
        }
    });
}

/// Writes the buffered lines to standard output.
pub fn flush() {
    let dropped = DROPPED.swap(0, Ordering::Relaxed);
    if dropped > 0 {
        write("log.dropped", &[("lines", dropped.into())]);
    }
    let lines = match BUFFER.lock() {
        Ok(mut buf) => std::mem::take(&mut *buf),
        Err(poisoned) => std::mem::take(&mut *poisoned.into_inner()),
    };
    if lines.is_empty() {
        return;
    }
    // Errors are ignored: once standard output is closed, nothing can report it.
    let _ = std::io::stdout().write_all(&lines);
    let _ = std::io::stdout().flush();
}

/// Writes the buffered lines before the process ends. Gives up after
/// `LAST_FLUSH_TIMEOUT`, so that an output that nobody reads does not keep the process.
pub fn flush_at_end() {
    let (done, is_done) = mpsc::channel();
    let write = move || {
        flush();
        // Fails if the receiver has given up.
        let _ = done.send(());
    };
    if std::thread::Builder::new().spawn(write).is_ok() {
        let _ = is_done.recv_timeout(LAST_FLUSH_TIMEOUT);
    }
}

/// Appends one line with the event's name and its fields to the buffer.
pub fn write(event: &str, fields: &[(&str, Value<'_>)]) {
    let line = format_line(event, fields);
    let mut buf = match BUFFER.lock() {
        Ok(buf) => buf,
        Err(poisoned) => poisoned.into_inner(),
    };
    if buf.len() + line.len() > BUFFER_BYTES {
        DROPPED.fetch_add(1, Ordering::Relaxed);
        return;
    }
    buf.extend_from_slice(line.as_bytes());
}

/// The line with an event's name and its fields, in which long texts are cut.
pub fn format_line(event: &str, fields: &[(&str, Value<'_>)]) -> String {
    let mut line = String::with_capacity(128);
    let _ = write!(line, "{{\"t\":{},\"event\":\"{event}\"", unix_now().0);
    for (name, value) in fields {
        let _ = write!(line, ",\"{name}\":");
        let _ = match value {
            Value::Text(text) => write_text(&mut line, text),
            Value::Number(number) => write!(line, "{number}"),
            Value::Float(number) => write!(line, "{number:.3}"),
            Value::Bool(value) => write!(line, "{value}"),
        };
    }
    line.push_str("}\n");
    line
}

fn write_text(line: &mut String, text: &str) -> std::fmt::Result {
    let shown = &text[..text.floor_char_boundary(MAX_TEXT_BYTES)];
    let quoted = serde_json::to_string(shown).map_err(|_| std::fmt::Error)?;
    line.push_str(&quoted);
    Ok(())
}

/// Whether a request that starts now is logged. The decision holds for all of its lines.
pub fn should_log_request() -> bool {
    let second = unix_now().as_secs_ceil();
    if CURRENT_SECOND.swap(second, Ordering::Relaxed) != second {
        let counted = REQUEST_LINES.swap(0, Ordering::Relaxed);
        if counted > REQUEST_LINES_PER_S {
            let lines = counted - REQUEST_LINES_PER_S;
            write("log.sampled", &[("lines_over_bound", lines.into())]);
        }
    }
    REQUEST_LINES.load(Ordering::Relaxed) < REQUEST_LINES_PER_S
}

/// Counts one request line against `REQUEST_LINES_PER_S`.
pub fn count_request_line() {
    REQUEST_LINES.fetch_add(1, Ordering::Relaxed);
}
