//! A small JSON reader and the escaping of texts.

/// A JSON value.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(Vec<(String, Json)>),
}

impl Json {
    /// Parses a text; null if it is not JSON.
    pub fn parse(text: &str) -> Json {
        let mut reader = Reader {
            bytes: text.as_bytes(),
            at: 0,
        };
        reader.value().unwrap_or(Json::Null)
    }

    /// A field of an object; null if there is none.
    pub fn field(&self, name: &str) -> &Json {
        const NULL: Json = Json::Null;
        match self {
            Json::Object(fields) => {
                let found = fields.iter().find(|(key, _)| key == name);
                found.map_or(&NULL, |(_, value)| value)
            }
            _ => &NULL,
        }
    }

    /// The items of a list; none of anything else.
    pub fn items(&self) -> &[Json] {
        match self {
            Json::List(items) => items,
            _ => &[],
        }
    }

    /// A number, or 0.
    pub fn number(&self) -> u64 {
        match self {
            Json::Number(number) => *number as u64,
            _ => 0,
        }
    }

    /// A text, or the empty one.
    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }
}

/// A text as a JSON string.
pub fn quoted(text: &str) -> String {
    let mut quoted = String::from("\"");
    for character in text.chars() {
        match character {
            '"' => quoted.push_str("\\\""),
            '\\' => quoted.push_str("\\\\"),
            other if (other as u32) < 32 => quoted.push_str(&format!("\\u{:04x}", other as u32)),
            other => quoted.push(other),
        }
    }
    quoted.push('"');
    quoted
}

struct Reader<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Reader<'_> {
    fn peek(&mut self) -> Option<u8> {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
        self.bytes.get(self.at).copied()
    }

    fn take(&mut self, wanted: u8) -> Option<()> {
        (self.peek()? == wanted).then(|| self.at += 1)
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        let end = self.at + word.len();
        (self.bytes.get(self.at..end)? == word.as_bytes()).then(|| self.at = end)?;
        Some(value)
    }

    fn value(&mut self) -> Option<Json> {
        match self.peek()? {
            b'{' => self.object(),
            b'[' => self.list(),
            b'"' => self.string().map(Json::Text),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'n' => self.word("null", Json::Null),
            _ => self.read_number(),
        }
    }

    fn object(&mut self) -> Option<Json> {
        self.take(b'{')?;
        let mut fields = Vec::new();
        while self.peek()? != b'}' {
            let name = self.string()?;
            self.take(b':')?;
            fields.push((name, self.value()?));
            if self.take(b',').is_none() {
                break;
            }
        }
        self.take(b'}')?;
        Some(Json::Object(fields))
    }

    fn list(&mut self) -> Option<Json> {
        self.take(b'[')?;
        let mut items = Vec::new();
        while self.peek()? != b']' {
            items.push(self.value()?);
            if self.take(b',').is_none() {
                break;
            }
        }
        self.take(b']')?;
        Some(Json::List(items))
    }

    fn string(&mut self) -> Option<String> {
        self.take(b'"')?;
        let mut bytes = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(bytes).ok(),
                b'\\' => {
                    let escaped = *self.bytes.get(self.at)?;
                    self.at += 1;
                    match escaped {
                        b'n' => bytes.push(b'\n'),
                        b't' => bytes.push(b'\t'),
                        b'r' => bytes.push(b'\r'),
                        b'u' => {
                            let digits = self.bytes.get(self.at..self.at + 4)?;
                            self.at += 4;
                            let text = std::str::from_utf8(digits).ok()?;
                            let code = u32::from_str_radix(text, 16).ok()?;
                            let character = char::from_u32(code).unwrap_or('?');
                            bytes.extend_from_slice(character.to_string().as_bytes());
                        }
                        other => bytes.push(other),
                    }
                }
                other => bytes.push(other),
            }
        }
    }

    fn read_number(&mut self) -> Option<Json> {
        let start = self.at;
        let is_part = |byte: &u8| byte.is_ascii_digit() || b"+-.eE".contains(byte);
        while self.bytes.get(self.at).is_some_and(is_part) {
            self.at += 1;
        }
        let text = std::str::from_utf8(&self.bytes[start..self.at]).ok()?;
        text.parse().ok().map(Json::Number)
    }
}
