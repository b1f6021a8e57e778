//! JSON values with numbers kept as written.

use std::fmt;

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(String),
    Text(String),
    List(Vec<Json>),
    Object(Vec<(String, Json)>),
}

impl Json {
    pub fn text(value: &str) -> Json {
        Json::Text(value.to_owned())
    }

    pub fn number(value: u64) -> Json {
        Json::Number(value.to_string())
    }

    pub fn object(fields: Vec<(&str, Json)>) -> Json {
        let fields = fields.into_iter().map(|(name, value)| (name.to_owned(), value));
        Json::Object(fields.collect())
    }

    /// Returns a field of an object; null if there is none.
    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Object(fields) => {
                let found = fields.iter().find(|field| field.0 == name);
                found.map_or(&Json::Null, |field| &field.1)
            }
            _ => &Json::Null,
        }
    }

    pub fn as_text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn as_u64(&self) -> Option<u64> {
        match self {
            Json::Number(number) => number.parse().ok(),
            _ => None,
        }
    }

    pub fn as_list(&self) -> &[Json] {
        match self {
            Json::List(items) => items,
            _ => &[],
        }
    }

    /// Parses a text; null if it isn't JSON.
    pub fn parse(text: &[u8]) -> Json {
        let text = String::from_utf8_lossy(text).into_owned();
        let mut parser = Parser { text: text.as_bytes(), at: 0 };
        parser.value().unwrap_or(Json::Null)
    }
}

impl fmt::Display for Json {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Json::Null => f.write_str("null"),
            Json::Bool(value) => write!(f, "{value}"),
            Json::Number(number) => f.write_str(number),
            Json::Text(text) => write_text(f, text),
            Json::List(items) => {
                f.write_str("[")?;
                for (index, item) in items.iter().enumerate() {
                    let comma = if index > 0 { "," } else { "" };
                    write!(f, "{comma}{item}")?;
                }
                f.write_str("]")
            }
            Json::Object(fields) => {
                f.write_str("{")?;
                for (index, (name, value)) in fields.iter().enumerate() {
                    f.write_str(if index > 0 { "," } else { "" })?;
                    write_text(f, name)?;
                    write!(f, ":{value}")?;
                }
                f.write_str("}")
            }
        }
    }
}

fn write_text(f: &mut fmt::Formatter<'_>, text: &str) -> fmt::Result {
    f.write_str("\"")?;
    for character in text.chars() {
        match character {
            '"' => f.write_str("\\\"")?,
            '\\' => f.write_str("\\\\")?,
            '\n' => f.write_str("\\n")?,
            control if control < ' ' => write!(f, "\\u{:04x}", control as u32)?,
            other => write!(f, "{other}")?,
        }
    }
    f.write_str("\"")
}

struct Parser<'a> {
    text: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn skip_spaces(&mut self) {
        while self.text.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn accept(&mut self, byte: u8) -> bool {
        self.skip_spaces();
        let found = self.text.get(self.at) == Some(&byte);
        self.at += usize::from(found);
        found
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        self.text[self.at..].starts_with(word.as_bytes()).then(|| {
            self.at += word.len();
            value
        })
    }

    fn value(&mut self) -> Option<Json> {
        self.skip_spaces();
        match self.text.get(self.at)? {
            b'{' => self.object(),
            b'[' => self.list(),
            b'"' => self.string().map(Json::Text),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'n' => self.word("null", Json::Null),
            _ => self.number(),
        }
    }

    fn object(&mut self) -> Option<Json> {
        let mut fields = Vec::new();
        self.accept(b'{');
        if self.accept(b'}') {
            return Some(Json::Object(fields));
        }
        loop {
            self.skip_spaces();
            let name = self.string()?;
            self.accept(b':').then_some(())?;
            fields.push((name, self.value()?));
            if self.accept(b'}') {
                return Some(Json::Object(fields));
            }
            self.accept(b',').then_some(())?;
        }
    }

    fn list(&mut self) -> Option<Json> {
        let mut items = Vec::new();
        self.accept(b'[');
        if self.accept(b']') {
            return Some(Json::List(items));
        }
        loop {
            items.push(self.value()?);
            if self.accept(b']') {
                return Some(Json::List(items));
            }
            self.accept(b',').then_some(())?;
        }
    }

    fn number(&mut self) -> Option<Json> {
        let rest = &self.text[self.at..];
        let is_part = |byte: &u8| byte.is_ascii_digit() || b"+-.eE".contains(byte);
        let length = rest.iter().take_while(|byte| is_part(byte)).count();
        let number = std::str::from_utf8(&rest[..length]).ok()?;
        self.at += length;
        (length > 0).then(|| Json::Number(number.to_owned()))
    }

    fn string(&mut self) -> Option<String> {
        (self.text.get(self.at) == Some(&b'"')).then_some(())?;
        self.at += 1;
        let mut bytes = Vec::new();
        loop {
            let byte = *self.text.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(bytes).ok(),
                b'\\' => {
                    let escaped = *self.text.get(self.at)?;
                    self.at += 1;
                    match escaped {
                        b'n' => bytes.push(b'\n'),
                        b'r' => bytes.push(b'\r'),
                        b't' => bytes.push(b'\t'),
                        b'b' => bytes.push(8),
                        b'f' => bytes.push(12),
                        b'u' => {
                            let mut buffer = [0; 4];
                            let character = self.unicode()?;
                            bytes.extend_from_slice(character.encode_utf8(&mut buffer).as_bytes());
                        }
                        other => bytes.push(other),
                    }
                }
                other => bytes.push(other),
            }
        }
    }

    fn unicode(&mut self) -> Option<char> {
        let first = self.hex()?;
        if !(0xd800..0xdc00).contains(&first) {
            return char::from_u32(first);
        }
        self.text[self.at..].starts_with(b"\\u").then_some(())?;
        self.at += 2;
        let second = self.hex()?;
        char::from_u32(0x10000 + ((first - 0xd800) << 10) + (second.checked_sub(0xdc00)?))
    }

    fn hex(&mut self) -> Option<u32> {
        let digits = self.text.get(self.at..self.at + 4)?;
        self.at += 4;
        u32::from_str_radix(std::str::from_utf8(digits).ok()?, 16).ok()
    }
}
