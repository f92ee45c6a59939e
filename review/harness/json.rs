//! A small JSON reader and base64, as the store's calls need them.

use std::collections::BTreeMap;

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(BTreeMap<String, Json>),
}

impl Json {
    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Table(table) => table.get(name).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> Option<u64> {
        match self {
            Json::Number(number) => Some(*number as u64),
            _ => None,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(list) => list,
            _ => &[],
        }
    }
}

pub fn parse(text: &[u8]) -> Json {
    Reader { text, at: 0 }.value()
}

struct Reader<'a> {
    text: &'a [u8],
    at: usize,
}

impl Reader<'_> {
    fn peek(&mut self) -> u8 {
        while self.at < self.text.len() && self.text[self.at].is_ascii_whitespace() {
            self.at += 1;
        }
        *self.text.get(self.at).unwrap_or(&0)
    }

    fn value(&mut self) -> Json {
        match self.peek() {
            b'{' => {
                let mut table = BTreeMap::new();
                self.at += 1;
                while self.peek() == b'"' {
                    let name = self.string();
                    if self.peek() == b':' {
                        self.at += 1;
                    }
                    table.insert(name, self.value());
                    if self.peek() == b',' {
                        self.at += 1;
                    }
                }
                self.at += 1;
                Json::Table(table)
            }
            b'[' => {
                let mut list = Vec::new();
                self.at += 1;
                while !matches!(self.peek(), b']' | 0) {
                    list.push(self.value());
                    if self.peek() == b',' {
                        self.at += 1;
                    }
                }
                self.at += 1;
                Json::List(list)
            }
            b'"' => Json::Text(self.string()),
            _ => {
                let from = self.at;
                while self.at < self.text.len()
                    && !matches!(self.text[self.at], b',' | b'}' | b']' | b' ' | b'\n')
                {
                    self.at += 1;
                }
                let word = std::str::from_utf8(&self.text[from..self.at]).unwrap_or("");
                if self.at == from {
                    self.at += 1;
                }
                match word {
                    "true" => Json::Bool(true),
                    "false" => Json::Bool(false),
                    _ => word.parse().map_or(Json::Null, Json::Number),
                }
            }
        }
    }

    fn string(&mut self) -> String {
        self.at += 1;
        let mut out = Vec::new();
        while let Some(byte) = self.text.get(self.at) {
            self.at += 1;
            match byte {
                b'"' => break,
                b'\\' => {
                    let escaped = *self.text.get(self.at).unwrap_or(&b' ');
                    self.at += 1;
                    out.push(match escaped {
                        b'n' => b'\n',
                        b't' => b'\t',
                        b'r' => b'\r',
                        other => other,
                    });
                }
                byte => out.push(*byte),
            }
        }
        String::from_utf8_lossy(&out).into_owned()
    }
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for part in bytes.chunks(3) {
        let mut word = 0u32;
        for n in 0..3 {
            word = word << 8 | u32::from(*part.get(n).unwrap_or(&0));
        }
        for n in 0..4 {
            let digit = ALPHABET[(word >> (18 - 6 * n) & 63) as usize];
            out.push(if n <= part.len() { digit as char } else { '=' });
        }
    }
    out
}
