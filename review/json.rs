//! A small JSON reader and base64, as far as the platform's messages need them.

use std::collections::BTreeMap;

/// A JSON value.
#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(BTreeMap<String, Json>),
}

impl Json {
    /// Parses a text; `None` if it is not JSON.
    pub fn parse(text: &str) -> Option<Json> {
        let mut reader = Reader { bytes: text.as_bytes(), at: 0 };
        let value = reader.value()?;
        reader.skip_space();
        (reader.at == reader.bytes.len()).then_some(value)
    }

    /// A field of an object; `Null` if there is none.
    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Object(fields) => fields.get(name).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> u64 {
        match self {
            Json::Number(number) => *number as u64,
            _ => 0,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(items) => items,
            _ => &[],
        }
    }
}

struct Reader<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Reader<'_> {
    fn skip_space(&mut self) {
        while self.bytes.get(self.at).is_some_and(|it| it.is_ascii_whitespace()) {
            self.at += 1;
        }
    }

    fn take(&mut self, text: &str) -> Option<()> {
        self.bytes[self.at..].starts_with(text.as_bytes()).then(|| self.at += text.len())
    }

    fn value(&mut self) -> Option<Json> {
        self.skip_space();
        match *self.bytes.get(self.at)? {
            b'n' => self.take("null").map(|()| Json::Null),
            b't' => self.take("true").map(|()| Json::Bool(true)),
            b'f' => self.take("false").map(|()| Json::Bool(false)),
            b'"' => self.string().map(Json::Text),
            b'[' => self.items(b']', |it| it.value()).map(Json::List),
            b'{' => {
                let field = |it: &mut Self| {
                    it.skip_space();
                    let name = it.string()?;
                    it.skip_space();
                    it.take(":")?;
                    Some((name, it.value()?))
                };
                Some(Json::Object(self.items(b'}', field)?.into_iter().collect()))
            }
            _ => {
                let start = self.at;
                let is_part = |it: &u8| it.is_ascii_alphanumeric() || b"+-.".contains(it);
                while self.bytes.get(self.at).is_some_and(is_part) {
                    self.at += 1;
                }
                let text = std::str::from_utf8(&self.bytes[start..self.at]).ok()?;
                text.parse().ok().map(Json::Number)
            }
        }
    }

    fn items<T>(
        &mut self,
        end: u8,
        item: impl Fn(&mut Self) -> Option<T>,
    ) -> Option<Vec<T>> {
        self.at += 1;
        let mut items = Vec::new();
        loop {
            self.skip_space();
            if *self.bytes.get(self.at)? == end {
                self.at += 1;
                return Some(items);
            }
            if !items.is_empty() {
                self.take(",")?;
            }
            items.push(item(self)?);
        }
    }

    fn string(&mut self) -> Option<String> {
        self.take("\"")?;
        let mut text = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(text).ok(),
                b'\\' => {
                    let escaped = *self.bytes.get(self.at)?;
                    self.at += 1;
                    text.push(match escaped {
                        b'n' => b'\n',
                        b't' => b'\t',
                        b'r' => b'\r',
                        b'u' => {
                            let digits = std::str::from_utf8(self.bytes.get(self.at..self.at + 4)?);
                            self.at += 4;
                            u8::try_from(u32::from_str_radix(digits.ok()?, 16).ok()?).ok()?
                        }
                        other => other,
                    });
                }
                other => text.push(other),
            }
        }
    }
}

const BASE64: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn to_base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let byte = |index: usize| u32::from(part.get(index).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for index in 0..4 {
            match index <= part.len() {
                true => text.push(BASE64[(bits >> (18 - 6 * index) & 63) as usize] as char),
                false => text.push('='),
            }
        }
    }
    text
}

pub fn from_base64(text: &str) -> Vec<u8> {
    let digits: Vec<u32> = text
        .bytes()
        .filter_map(|it| BASE64.iter().position(|one| *one == it))
        .map(|it| it as u32)
        .collect();
    let mut bytes = Vec::new();
    for part in digits.chunks(4) {
        let bits = part.iter().fold(0, |bits, it| bits << 6 | it) << (6 * (4 - part.len()));
        bytes.extend_from_slice(&bits.to_be_bytes()[1..part.len()]);
    }
    bytes
}
