//! JSON values as the stand-ins need them.

/// A JSON value; numbers keep their text.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(String),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    /// Parses a text; `Null` if it isn't JSON.
    pub fn parse(text: &str) -> Json {
        let mut parser = Parser {
            bytes: text.as_bytes(),
            at: 0,
        };
        parser.value().unwrap_or(Json::Null)
    }

    /// Returns the field of a table, or `Null`.
    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Table(fields) => fields
                .iter()
                .find(|field| field.0 == name)
                .map_or(&Json::Null, |field| &field.1),
            _ => &Json::Null,
        }
    }

    /// Returns the field of a table for a change; the table gets it if it lacks it.
    pub fn field(&mut self, name: &str) -> &mut Json {
        let Json::Table(fields) = self else {
            panic!("no table");
        };
        let found = fields.iter().position(|field| field.0 == name);
        let index = found.unwrap_or_else(|| {
            fields.push((name.to_owned(), Json::Null));
            fields.len() - 1
        });
        &mut fields[index].1
    }

    /// Returns the entries of a list.
    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(entries) => entries,
            _ => &[],
        }
    }

    /// Returns a text, or an empty one.
    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    /// Returns a whole number.
    pub fn number(&self) -> Option<u64> {
        match self {
            Json::Number(text) => text.parse().ok(),
            _ => None,
        }
    }
}

/// Makes a text.
pub fn text(value: impl Into<String>) -> Json {
    Json::Text(value.into())
}

/// Makes a whole number.
pub fn number(value: u64) -> Json {
    Json::Number(value.to_string())
}

/// Makes a table.
pub fn table<const N: usize>(fields: [(&str, Json); N]) -> Json {
    Json::Table(
        fields
            .into_iter()
            .map(|(name, value)| (name.to_owned(), value))
            .collect(),
    )
}

impl std::fmt::Display for Json {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Json::Null => out.write_str("null"),
            Json::Bool(value) => write!(out, "{value}"),
            Json::Number(text) => out.write_str(text),
            Json::Text(text) => write_text(out, text),
            Json::List(entries) => {
                out.write_str("[")?;
                for (index, entry) in entries.iter().enumerate() {
                    write!(out, "{}{entry}", if index > 0 { "," } else { "" })?;
                }
                out.write_str("]")
            }
            Json::Table(fields) => {
                out.write_str("{")?;
                for (index, (name, value)) in fields.iter().enumerate() {
                    out.write_str(if index > 0 { "," } else { "" })?;
                    write_text(out, name)?;
                    write!(out, ":{value}")?;
                }
                out.write_str("}")
            }
        }
    }
}

fn write_text(out: &mut std::fmt::Formatter<'_>, text: &str) -> std::fmt::Result {
    out.write_str("\"")?;
    for letter in text.chars() {
        match letter {
            '"' => out.write_str("\\\"")?,
            '\\' => out.write_str("\\\\")?,
            '\n' => out.write_str("\\n")?,
            letter if (letter as u32) < 0x20 => write!(out, "\\u{:04x}", letter as u32)?,
            letter => write!(out, "{letter}")?,
        }
    }
    out.write_str("\"")
}

struct Parser<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn next(&mut self) -> Option<u8> {
        while self.bytes.get(self.at)?.is_ascii_whitespace() {
            self.at += 1;
        }
        Some(self.bytes[self.at])
    }

    fn take(&mut self, byte: u8) -> bool {
        let found = self.next() == Some(byte);
        self.at += usize::from(found);
        found
    }

    fn value(&mut self) -> Option<Json> {
        match self.next()? {
            b'{' => self.table(),
            b'[' => self.list(),
            b'"' => self.text().map(Json::Text),
            _ => {
                let start = self.at;
                let is_end = |byte: &u8| b",]} \n\r\t".contains(byte);
                while self.bytes.get(self.at).is_some_and(|byte| !is_end(byte)) {
                    self.at += 1;
                }
                let word = std::str::from_utf8(&self.bytes[start..self.at]).ok()?;
                Some(match word {
                    "null" => Json::Null,
                    "true" => Json::Bool(true),
                    "false" => Json::Bool(false),
                    word => Json::Number(word.to_owned()),
                })
            }
        }
    }

    fn table(&mut self) -> Option<Json> {
        let mut fields = Vec::new();
        self.at += 1;
        while !self.take(b'}') {
            self.take(b',');
            self.next()?;
            let name = self.text()?;
            if !self.take(b':') {
                return None;
            }
            fields.push((name, self.value()?));
        }
        Some(Json::Table(fields))
    }

    fn list(&mut self) -> Option<Json> {
        let mut entries = Vec::new();
        self.at += 1;
        while !self.take(b']') {
            self.take(b',');
            entries.push(self.value()?);
        }
        Some(Json::List(entries))
    }

    fn text(&mut self) -> Option<String> {
        let mut found = Vec::new();
        self.at += 1;
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(found).ok(),
                b'\\' => {
                    let escaped = *self.bytes.get(self.at)?;
                    self.at += 1;
                    let letter = match escaped {
                        b'n' => '\n',
                        b't' => '\t',
                        b'r' => '\r',
                        b'b' => '\u{8}',
                        b'f' => '\u{c}',
                        b'u' => {
                            let digits =
                                std::str::from_utf8(self.bytes.get(self.at..self.at + 4)?).ok()?;
                            self.at += 4;
                            char::from_u32(u32::from_str_radix(digits, 16).ok()?).unwrap_or('?')
                        }
                        other => other as char,
                    };
                    found.extend(letter.to_string().bytes());
                }
                byte => found.push(byte),
            }
        }
    }
}
