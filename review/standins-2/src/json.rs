//! A small JSON reader, and base64.

use std::collections::BTreeMap;

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Num(f64),
    Str(String),
    List(Vec<Json>),
    Map(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let mut p = Parser(text.as_bytes(), 0);
        p.value()
    }

    pub fn get(&self, key: &str) -> &Json {
        match self {
            Json::Map(m) => m.get(key).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(l) => l,
            _ => &[],
        }
    }

    pub fn str(&self) -> &str {
        match self {
            Json::Str(s) => s,
            _ => "",
        }
    }

    pub fn int(&self) -> i64 {
        match self {
            Json::Num(n) => *n as i64,
            _ => 0,
        }
    }
}

struct Parser<'a>(&'a [u8], usize);

impl Parser<'_> {
    fn peek(&mut self) -> Option<u8> {
        while self.0.get(self.1).is_some_and(u8::is_ascii_whitespace) {
            self.1 += 1;
        }
        self.0.get(self.1).copied()
    }

    fn value(&mut self) -> Option<Json> {
        match self.peek()? {
            b'{' => {
                self.1 += 1;
                let mut map = BTreeMap::new();
                while self.peek()? != b'}' {
                    let key = self.string()?;
                    (self.peek()? == b':').then_some(())?;
                    self.1 += 1;
                    map.insert(key, self.value()?);
                    if self.peek()? == b',' {
                        self.1 += 1;
                    }
                }
                self.1 += 1;
                Some(Json::Map(map))
            }
            b'[' => {
                self.1 += 1;
                let mut list = Vec::new();
                while self.peek()? != b']' {
                    list.push(self.value()?);
                    if self.peek()? == b',' {
                        self.1 += 1;
                    }
                }
                self.1 += 1;
                Some(Json::List(list))
            }
            b'"' => self.string().map(Json::Str),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'n' => self.word("null", Json::Null),
            _ => {
                let start = self.1;
                while self
                    .0
                    .get(self.1)
                    .is_some_and(|b| b"+-.eE0123456789".contains(b))
                {
                    self.1 += 1;
                }
                let text = std::str::from_utf8(&self.0[start..self.1]).ok()?;
                text.parse().ok().map(Json::Num)
            }
        }
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        self.1 += word.len();
        Some(value)
    }

    fn string(&mut self) -> Option<String> {
        (self.peek()? == b'"').then_some(())?;
        self.1 += 1;
        let mut out = Vec::new();
        loop {
            let b = *self.0.get(self.1)?;
            self.1 += 1;
            match b {
                b'"' => return String::from_utf8(out).ok(),
                b'\\' => {
                    let e = *self.0.get(self.1)?;
                    self.1 += 1;
                    match e {
                        b'n' => out.push(b'\n'),
                        b'r' => out.push(b'\r'),
                        b't' => out.push(b'\t'),
                        b'u' => {
                            let hex = std::str::from_utf8(self.0.get(self.1..self.1 + 4)?).ok()?;
                            self.1 += 4;
                            let c = char::from_u32(u32::from_str_radix(hex, 16).ok()?)?;
                            out.extend(c.to_string().bytes());
                        }
                        other => out.push(other),
                    }
                }
                b => out.push(b),
            }
        }
    }
}

pub fn quote(text: &str) -> String {
    let mut out = String::from("\"");
    for c in text.chars() {
        match c {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            '\n' => out.push_str("\\n"),
            c => out.push(c),
        }
    }
    out.push('"');
    out
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let mut n = 0u32;
        for i in 0..3 {
            n = n << 8 | u32::from(chunk.get(i).copied().unwrap_or(0));
        }
        for i in 0..4 {
            if i <= chunk.len() {
                out.push(ALPHABET[(n >> (18 - 6 * i) & 63) as usize] as char);
            } else {
                out.push('=');
            }
        }
    }
    out
}
