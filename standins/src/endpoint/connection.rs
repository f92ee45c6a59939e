//! One connection of the endpoint.

use std::io::{self, BufRead as _, BufReader, Read as _, Write};
use std::net::TcpStream;
use std::sync::atomic::Ordering;
use std::sync::mpsc::{RecvTimeoutError, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use rattanstall::clock::Millis;
use serde::Serialize;

use super::life::{EndCause, Life};
use super::request::Request;
use super::{
    ANSWER_HEADER, ANSWER_PATH, Answer, Ending, Framing, HISTORY_PATH, Outcome, Overflow, Piece,
    Place, ReceivedRequest, Script, Shared, lock,
};

/// Size of the pieces of bytes that never end.
const OVERFLOW_PIECE_BYTES: usize = 8 << 10;
/// Pause after each packet of a limited size.
const PACKET_INTERVAL: Duration = Duration::from_micros(200);

/// What becomes of a connection after an answer.
enum Next {
    Keep,
    Close,
}

pub(super) fn serve(shared: &Shared, life: &Life, stream: TcpStream, number: u64) {
    if let Ok(writer) = stream.try_clone() {
        let connection = Connection {
            shared,
            life,
            writer,
            reader: BufReader::new(stream),
            number,
            packet_bytes: 0,
            is_over: Arc::default(),
            late: Vec::new(),
        };
        serve_requests(shared, connection);
    }
    life.remove_connection(number);
}

fn serve_requests(shared: &Shared, mut connection: Connection<'_>) {
    while let Ok(Some(req)) = connection.read_request() {
        match connection.respond(&req) {
            Ok(Next::Keep) => {}
            Ok(Next::Close) => return,
            Err(_) => {
                shared.history().abandoned += 1;
                return;
            }
        }
    }
}

fn header_lines(headers: &[(String, String)]) -> String {
    let lines = headers.iter();
    lines
        .map(|(name, value)| format!("{name}: {value}\r\n"))
        .collect()
}

struct Connection<'a> {
    shared: &'a Shared,
    life: &'a Life,
    writer: TcpStream,
    reader: BufReader<TcpStream>,
    number: u64,
    packet_bytes: usize,
    /// Locked while an answer is written; `true` once the connection ends.
    is_over: Arc<Mutex<bool>>,
    /// Dropped with the connection, so that late pieces do not keep it open.
    late: Vec<Sender<()>>,
}

impl Connection<'_> {
    /// Reads a request with a body of the stated length; `None` at the end.
    fn read_request(&mut self) -> io::Result<Option<Request>> {
        let mut head = String::new();
        while !head.ends_with("\r\n\r\n") {
            if self.reader.read_line(&mut head)? == 0 {
                return Ok(None);
            }
        }
        let mut req = Request {
            head,
            body: Vec::new(),
        };
        let length = req.header("content-length").and_then(|l| l.parse().ok());
        req.body.resize(length.unwrap_or(0), 0);
        self.reader.read_exact(&mut req.body)?;
        self.life.wait_while_silent(self.number)?;
        Ok(Some(req))
    }

    fn respond(&mut self, req: &Request) -> io::Result<Next> {
        match req.path() {
            ANSWER_PATH => match serde_json::from_slice(&req.body) {
                Ok(answer) => {
                    *self.shared.answer() = answer;
                    self.write_json(200, &"ok")
                }
                Err(error) => self.write_json(400, &error.to_string()),
            },
            HISTORY_PATH => self.write_json(200, &self.shared.snapshot()),
            path => match self.page(path) {
                Some((status, document)) => self.write_json(status, &document),
                None => self.answer(req),
            },
        }
    }

    fn page(&self, path: &str) -> Option<(u16, serde_json::Value)> {
        let pages = lock(&self.shared.pages);
        let found = pages.iter().find(|(known, ..)| known == path);
        found.map(|(_, status, document)| (*status, document.clone()))
    }

    fn write_json<T: Serialize>(&mut self, status: u16, value: &T) -> io::Result<Next> {
        let text = serde_json::to_string(value)?;
        write!(
            self.writer,
            "HTTP/1.1 {status} X\r\n{}Content-Length: {}\r\n\r\n{text}",
            header_lines(&lock(&self.shared.statements)),
            text.len()
        )?;
        Ok(Next::Keep)
    }

    /// Records a request and what becomes of it.
    fn answer(&mut self, req: &Request) -> io::Result<Next> {
        let lifecycle = &self.shared.setup.lifecycle;
        let header = |name: &str| req.header(name).unwrap_or_default();
        let mut received = ReceivedRequest {
            head: req.head.clone(),
            connection: self.number,
            at: self.shared.now(),
            id: header(&lifecycle.id_header).to_owned(),
            parts: req.parts(&lifecycle.parts_header),
            outcome: Outcome::Waiting,
            answered: None,
            statements: Vec::new(),
        };
        let crashing_part = self.shared.crashing_part(&received.parts);
        let expected = header(&lifecycle.instance_header);
        let is_misdirected = !expected.is_empty() && expected != self.life.instance;
        if is_misdirected {
            received.outcome = Outcome::Misdirected;
        }
        let number = {
            let requests = &mut self.shared.history().requests;
            requests.push(received);
            requests.len() - 1
        };
        if is_misdirected {
            self.set_answered(number, 421);
            let refusal = Answer {
                status: 421,
                events: 0,
                framing: Framing::Length,
                ..Answer::default()
            };
            let head = self.head(req, &refusal, 0);
            self.write(head.as_bytes())?;
            self.write(&refusal.pieces("", 0).concat())?;
            return Ok(Next::Keep);
        }
        let Some(_slot) = self.life.take_slot(lifecycle.slots) else {
            return Ok(Next::Close);
        };
        self.set_outcome(number, Outcome::Running);
        let result = self.run(req, number, crashing_part);
        let outcome = match (&result, crashing_part) {
            (Ok(_), _) => Outcome::Sent,
            (Err(_), Some(_)) => Outcome::Crashed,
            (Err(_), None) => Outcome::Broken,
        };
        self.set_outcome(number, outcome);
        result
    }

    fn set_outcome(&self, number: usize, outcome: Outcome) {
        if let Some(req) = self.shared.history().requests.get_mut(number) {
            req.outcome = outcome;
        }
    }

    fn set_answered(&self, number: usize, status: u16) {
        let now = self.shared.now();
        if let Some(req) = self.shared.history().requests.get_mut(number) {
            req.answered = Some((now, status));
            req.statements = lock(&self.shared.statements).clone();
        }
    }

    /// Answers a request, or ends the process under one of its parts.
    fn run(
        &mut self,
        req: &Request,
        number: usize,
        crashing_part: Option<u64>,
    ) -> io::Result<Next> {
        let scripter = lock(&self.shared.scripter).clone();
        if let Some(scripter) = scripter {
            return self.play(&scripter(&req.head));
        }
        let named = req.header(ANSWER_HEADER);
        let named = named.and_then(|text| serde_json::from_str(text).ok());
        let mut answer = self.shared.answer_to(named);
        if self
            .shared
            .is_repeated(req.header(&self.shared.setup.lifecycle.id_header))
            && let Some(repeated) = answer.repeated.take()
        {
            answer = *repeated;
        }
        let shape = *lock(&self.shared.crash_shape);
        let shape = shape.filter(|_| crashing_part.is_some());
        if let Some((_, framing)) = shape {
            answer.framing = framing;
        }
        let after = req.last_event();
        if (1..=answer.continuations.len() as u64).contains(&after) {
            answer = answer.continuations.swap_remove(after as usize - 1);
        }
        self.packet_bytes = answer.packet_bytes;
        if let Some(first) = answer.script.first() {
            self.life.pause(self.number, Millis(first.pause_ms));
        }
        let is_over = self.is_over.clone();
        let mut is_over = lock(&is_over);
        let result = match answer.script.is_empty() {
            true => self.write_answer(req, number, &answer, crashing_part),
            false => self.write_script(number, &answer),
        };
        *is_over = !matches!(result, Ok(Next::Keep));
        result
    }

    fn write_answer(
        &mut self,
        req: &Request,
        number: usize,
        answer: &Answer,
        crashing_part: Option<u64>,
    ) -> io::Result<Next> {
        let after = match req.last_event() {
            0 => 0,
            last => answer.begins_after(last),
        };
        let head = self.head(req, answer, after);
        if let Some(stray) = &answer.stray {
            self.write(stray.as_bytes())?;
        }
        if answer.place == Place::Head {
            self.write(answer.split_head(&head).0)?;
            return self.end(answer);
        }
        if answer.overflow == Some(Overflow::Head) {
            self.write(head.trim_end().as_bytes())?;
            self.write(b"\r\n")?;
            return self.overflow(answer, Overflow::Head, after);
        }
        self.set_answered(number, answer.status);
        self.write_head(answer, &head)?;
        if let Some(part) = crashing_part {
            let lifecycle = &self.shared.setup.lifecycle;
            std::thread::sleep(lifecycle.crash_delay.as_duration());
            let shape = *lock(&self.shared.crash_shape);
            let events = shape.map_or(0, |(events, _)| events);
            let pieces = answer.pieces(&self.life.version, after);
            for piece in pieces.into_iter().take(events) {
                self.write_piece(answer, &piece)?;
            }
            self.shared.end_life(self.life, EndCause::Part(part));
            return Err(io::ErrorKind::BrokenPipe.into());
        }
        if let Some(overflow) = answer.overflow {
            return self.overflow(answer, overflow, after);
        }
        for piece in answer.sent_pieces(&self.life.version, after) {
            self.life.pause(self.number, Millis(answer.pause_ms));
            self.write_piece(answer, &piece)?;
        }
        if answer.place != Place::Complete {
            return self.end(answer);
        }
        if answer.framing == Framing::Chunked {
            self.write(b"0\r\n\r\n")?;
        }
        if answer.leftover_bytes > 0 && answer.framing != Framing::Close {
            self.write(&vec![b'z'; answer.leftover_bytes])?;
        }
        match (answer.framing, answer.ending) {
            (Framing::Length | Framing::Chunked, Ending::Close | Ending::Silence) => {
                self.send_late(&answer.late)?;
                Ok(Next::Keep)
            }
            _ => self.end(answer),
        }
    }

    /// Sends the pieces of an answer as they are.
    fn write_script(&mut self, number: usize, answer: &Answer) -> io::Result<Next> {
        self.writer.set_nodelay(true)?;
        self.set_answered(number, answer.status);
        if let Some(stray) = &answer.stray {
            self.write(stray.as_bytes())?;
        }
        for (index, piece) in answer.script.iter().enumerate() {
            if index > 0 {
                self.life.pause(self.number, Millis(piece.pause_ms));
            }
            self.write(piece.text.as_bytes())?;
        }
        if answer.place != Place::Complete {
            return self.end(answer);
        }
        self.send_late(&answer.late)?;
        Ok(Next::Keep)
    }

    /// Sends pieces while the connection takes further requests.
    fn send_late(&mut self, pieces: &[Piece]) -> io::Result<()> {
        if pieces.is_empty() {
            return Ok(());
        }
        let (mut writer, pieces) = (self.writer.try_clone()?, pieces.to_vec());
        let is_over = self.is_over.clone();
        let (tx, rx) = channel::<()>();
        self.late.push(tx);
        std::thread::spawn(move || {
            for piece in pieces {
                let waited = rx.recv_timeout(Duration::from_millis(piece.pause_ms));
                let is_over = lock(&is_over);
                if waited != Err(RecvTimeoutError::Timeout) || *is_over {
                    return;
                }
                if writer.write_all(piece.text.as_bytes()).is_err() {
                    return;
                }
            }
        });
        Ok(())
    }

    fn head(&self, req: &Request, answer: &Answer, after: u64) -> String {
        let setup = &self.shared.setup;
        let mut head = format!("HTTP/1.1 {} X\r\n", answer.status);
        head += &header_lines(&setup.headers);
        head += &header_lines(&lock(&self.shared.statements));
        head += &header_lines(&answer.headers);
        for name in &setup.echoed_headers {
            let value = req.header(name).unwrap_or_default();
            head += &format!("{name}: {value}\r\n");
        }
        if let Some(content_type) = answer.content_type() {
            head += &format!("Content-Type: {content_type}\r\n");
        }
        let pieces = answer.pieces(&self.life.version, after);
        let length: usize = pieces.iter().map(Vec::len).sum();
        match answer.framing {
            // More than is ever sent of bytes that never end.
            Framing::Length if answer.overflow.is_some() => {
                head += &format!("Content-Length: {}\r\n", u64::MAX / 4);
            }
            Framing::Length => head += &format!("Content-Length: {length}\r\n"),
            Framing::Chunked => head += "Transfer-Encoding: chunked\r\n",
            Framing::Close => {}
        }
        head + "\r\n"
    }

    fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.life.wait_while_silent(self.number)?;
        match self.packet_bytes {
            0 => self.writer.write_all(bytes)?,
            most => self.write_packets(bytes, most)?,
        }
        let sent = &self.shared.sent_bytes;
        sent.fetch_add(bytes.len() as u64, Ordering::Relaxed);
        Ok(())
    }

    fn write_head(&mut self, answer: &Answer, head: &str) -> io::Result<()> {
        if answer.head_pause_ms == 0 {
            return self.write(head.as_bytes());
        }
        let (beginning, rest) = answer.split_head(head);
        self.write(beginning)?;
        self.life.pause(self.number, Millis(answer.head_pause_ms));
        self.write(rest)
    }

    fn write_packets(&mut self, bytes: &[u8], most: usize) -> io::Result<()> {
        self.writer.set_nodelay(true)?;
        for packet in bytes.chunks(most) {
            self.writer.write_all(packet)?;
            std::thread::sleep(PACKET_INTERVAL);
        }
        Ok(())
    }

    fn write_piece(&mut self, answer: &Answer, piece: &[u8]) -> io::Result<()> {
        if answer.framing != Framing::Chunked {
            return self.write(piece);
        }
        let mut chunk = format!("{:x}\r\n", piece.len()).into_bytes();
        chunk.extend_from_slice(piece);
        chunk.extend_from_slice(b"\r\n");
        self.write(&chunk)
    }

    /// Writes until the other side closes the connection.
    fn overflow(&mut self, answer: &Answer, kind: Overflow, after: u64) -> io::Result<Next> {
        let filler = vec![b'y'; OVERFLOW_PIECE_BYTES];
        if kind == Overflow::Event {
            self.write_piece(answer, b"id: 1\ndata: ")?;
        }
        for number in after + 1.. {
            std::thread::sleep(Duration::from_millis(answer.pause_ms));
            match kind {
                Overflow::Head => self.write(format!("x-filler-{number}: y\r\n").as_bytes())?,
                Overflow::Events => {
                    let event = answer.event(&self.life.version, number);
                    self.write_piece(answer, &event)?;
                }
                Overflow::Body | Overflow::Event => self.write_piece(answer, &filler)?,
            }
        }
        Ok(Next::Close)
    }

    fn play(&mut self, script: &Script) -> io::Result<Next> {
        for (pause, bytes) in &script.steps {
            self.life.pause(self.number, *pause);
            self.write(bytes)?;
        }
        match script.ending {
            Some(ending) => self.end_by(ending),
            None => Ok(Next::Keep),
        }
    }

    /// Ends the connection as the answer demands.
    fn end(&mut self, answer: &Answer) -> io::Result<Next> {
        self.end_by(answer.ending)
    }

    fn end_by(&mut self, ending: Ending) -> io::Result<Next> {
        match ending {
            Ending::Close => {}
            Ending::Reset => {
                let linger = Some(Duration::ZERO);
                socket2::SockRef::from(&self.writer).set_linger(linger)?;
            }
            Ending::Silence => {
                // Returns when the other side closes the connection.
                let _ = self.reader.read(&mut [0; 1])?;
                self.shared.history().abandoned += 1;
            }
        }
        Ok(Next::Close)
    }
}
