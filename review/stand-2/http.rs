//! Messages of HTTP/1.1 on plain sockets.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A request as a server received it.
pub struct Received {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Received {
    pub fn header(&self, name: &str) -> &str {
        header(&self.headers, name)
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> String {
        let query = self.target.split_once('?').map_or("", |(_, q)| q);
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let mut found = pairs.filter(|(key, _)| *key == name);
        decode_percent(found.next().map_or("", |(_, value)| value))
    }

    pub fn number(&self, name: &str, default: u64) -> u64 {
        self.query(name).parse().unwrap_or(default)
    }
}

fn decode_percent(text: &str) -> String {
    let mut out = Vec::new();
    let bytes = text.as_bytes();
    let mut at = 0;
    while at < bytes.len() {
        let hex = text.get(at + 1..at + 3);
        let byte = hex.and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match (bytes[at], byte) {
            (b'%', Some(byte)) => {
                out.push(byte);
                at += 3;
            }
            (other, _) => {
                out.push(other);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

pub fn header<'a>(headers: &'a [(String, String)], name: &str) -> &'a str {
    let mut found = headers
        .iter()
        .filter(|(key, _)| key.eq_ignore_ascii_case(name));
    found.next().map_or("", |(_, value)| value)
}

fn parse_head(head: &str) -> (String, Vec<(String, String)>) {
    let mut lines = head.split("\r\n");
    let first = lines.next().unwrap_or_default().to_owned();
    let fields = lines.filter_map(|line| line.split_once(':'));
    let fields = fields.map(|(name, value)| (name.to_owned(), value.trim().to_owned()));
    (first, fields.collect())
}

/// Bytes of a connection that were read and not used yet.
pub struct Reader {
    pub stream: TcpStream,
    pub buffer: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    fn fill(&mut self) -> bool {
        let mut buf = [0; 16_384];
        match self.stream.read(&mut buf) {
            Ok(0) | Err(_) => false,
            Ok(count) => {
                self.buffer.extend_from_slice(&buf[..count]);
                true
            }
        }
    }

    /// Reads a request with a body of a stated length.
    pub fn request(&mut self) -> Option<Received> {
        let end = loop {
            if let Some(at) = find(&self.buffer, b"\r\n\r\n") {
                break at;
            }
            if !self.fill() {
                return None;
            }
        };
        let head = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        let (first, headers) = parse_head(&head);
        let length = header(&headers, "Content-Length").parse().unwrap_or(0);
        while self.buffer.len() < end + 4 + length {
            if !self.fill() {
                return None;
            }
        }
        let body = self.buffer[end + 4..end + 4 + length].to_vec();
        self.buffer.drain(..end + 4 + length);
        let mut words = first.split(' ');
        Some(Received {
            method: words.next().unwrap_or_default().to_owned(),
            target: words.next().unwrap_or_default().to_owned(),
            headers,
            body,
        })
    }
}

pub fn find(bytes: &[u8], what: &[u8]) -> Option<usize> {
    bytes.windows(what.len()).position(|w| w == what)
}

/// Writes a response with a length.
pub fn respond(stream: &mut TcpStream, status: u16, headers: &str, body: &[u8]) -> bool {
    let head = format!(
        "HTTP/1.1 {status} X\r\n{headers}Content-Length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes()).is_ok() && stream.write_all(body).is_ok()
}

/// How an answer ended at a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Its length was reached or its last chunk came.
    Complete,
    /// It has neither length nor chunks, and its connection was closed in order.
    Closed,
    /// Its connection ended before it did.
    Cut,
    /// Its connection was reset.
    Reset,
    /// Nothing more came in time.
    Silent,
}

impl End {
    /// Whether a client takes the answer for complete.
    pub fn looks_complete(self) -> bool {
        matches!(self, End::Complete | End::Closed)
    }
}

/// An answer as a client received it.
#[derive(Clone, Debug)]
pub struct Answer {
    /// 0 if no head came.
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    pub end: End,
    pub took: Duration,
}

impl Answer {
    /// The events that came whole, each as its identifier and its data.
    pub fn events(&self) -> Vec<(u64, String)> {
        let text = String::from_utf8_lossy(&self.body);
        let Some((whole, _)) = text.rsplit_once("\n\n") else {
            return Vec::new();
        };
        let event = |text: &str| {
            let field = |name: &str| {
                let mut lines = text.lines();
                lines.find_map(|line| Some(line.strip_prefix(name)?.trim().to_owned()))
            };
            Some((field("id:")?.parse().ok()?, field("data:")?))
        };
        whole.split("\n\n").filter_map(event).collect()
    }

    /// What a client notes of it.
    pub fn summary(&self) -> String {
        let error = match self.status {
            200 => String::new(),
            _ => String::from_utf8_lossy(&self.body)
                .chars()
                .take(120)
                .collect(),
        };
        format!(
            "status {} end {:?} body {} after {} ms {error}",
            self.status,
            self.end,
            self.body.len(),
            self.took.as_millis()
        )
    }
}

/// The longest time for a whole answer.
const READ_TIME: Duration = Duration::from_secs(15);

/// Sends a request on a new connection and reads the answer.
pub fn exchange(to: SocketAddr, request: &str) -> Answer {
    let began = Instant::now();
    let failed = |end| Answer {
        status: 0,
        headers: Vec::new(),
        body: Vec::new(),
        end,
        took: began.elapsed(),
    };
    let Ok(mut stream) = TcpStream::connect(to) else {
        return failed(End::Cut);
    };
    if stream.write_all(request.as_bytes()).is_err() {
        return failed(End::Reset);
    }
    receive(&mut stream)
}

/// Reads an answer to its end.
fn receive(stream: &mut TcpStream) -> Answer {
    let began = Instant::now();
    let mut bytes = Vec::new();
    let mut buf = [0; 16_384];
    let end = loop {
        if let Some(parsed) = parse(&bytes, began).filter(|p| p.end == End::Complete) {
            return parsed;
        }
        let left = READ_TIME.saturating_sub(began.elapsed());
        if left.is_zero() {
            break End::Silent;
        }
        let _ = stream.set_read_timeout(Some(left));
        match stream.read(&mut buf) {
            Ok(0) => break End::Cut,
            Ok(count) => bytes.extend_from_slice(&buf[..count]),
            Err(error) if error.kind() == std::io::ErrorKind::ConnectionReset => break End::Reset,
            Err(_) => break End::Silent,
        }
    };
    let Some(parsed) = parse(&bytes, began) else {
        return Answer {
            status: 0,
            headers: Vec::new(),
            body: bytes,
            end,
            took: began.elapsed(),
        };
    };
    let is_framed = !header(&parsed.headers, "Content-Length").is_empty()
        || !header(&parsed.headers, "Transfer-Encoding").is_empty();
    let end = match end {
        End::Cut if !is_framed => End::Closed,
        end => end,
    };
    Answer { end, ..parsed }
}

fn parse(bytes: &[u8], began: Instant) -> Option<Answer> {
    let at = find(bytes, b"\r\n\r\n")?;
    let head = String::from_utf8_lossy(&bytes[..at]).into_owned();
    let (first, headers) = parse_head(&head);
    let status = first.split(' ').nth(1)?.parse().ok()?;
    let rest = &bytes[at + 4..];
    let length: Option<usize> = header(&headers, "Content-Length").parse().ok();
    let is_chunked = header(&headers, "Transfer-Encoding").eq_ignore_ascii_case("chunked");
    let (body, is_whole) = match (is_chunked, length) {
        (true, _) => unchunk(rest),
        (false, Some(length)) => (
            rest[..rest.len().min(length)].to_vec(),
            rest.len() >= length,
        ),
        (false, None) => (rest.to_vec(), false),
    };
    Some(Answer {
        status,
        headers,
        body,
        end: match is_whole {
            true => End::Complete,
            false => End::Cut,
        },
        took: began.elapsed(),
    })
}

fn unchunk(mut rest: &[u8]) -> (Vec<u8>, bool) {
    let mut body = Vec::new();
    loop {
        let Some(at) = find(rest, b"\r\n") else {
            return (body, false);
        };
        let size = std::str::from_utf8(&rest[..at]).ok();
        let Some(size) = size.and_then(|s| usize::from_str_radix(s.trim(), 16).ok()) else {
            return (body, false);
        };
        let data = &rest[at + 2..];
        if size == 0 {
            return (body, data.starts_with(b"\r\n"));
        }
        body.extend_from_slice(&data[..size.min(data.len())]);
        if data.len() < size + 2 {
            return (body, false);
        }
        rest = &data[size + 2..];
    }
}
