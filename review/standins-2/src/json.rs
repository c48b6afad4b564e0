//! A small JSON reader, and a writer of strings.

use std::collections::BTreeMap;

/// A JSON value. Numbers are kept as floating point.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let bytes: Vec<char> = text.chars().collect();
        let mut at = 0;
        let value = value(&bytes, &mut at)?;
        skip(&bytes, &mut at);
        (at == bytes.len()).then_some(value)
    }

    pub fn get(&self, key: &str) -> Option<&Json> {
        match self {
            Json::Object(fields) => fields.get(key),
            _ => None,
        }
    }

    pub fn number(&self) -> u64 {
        match self {
            Json::Number(number) => *number as u64,
            _ => 0,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(items) => items,
            _ => &[],
        }
    }

    pub fn number_at(&self, key: &str) -> u64 {
        self.get(key).map_or(0, Json::number)
    }

    pub fn list_at(&self, key: &str) -> &[Json] {
        self.get(key).map_or(&[], Json::list)
    }
}

/// A text as a JSON string.
pub fn quote(text: &str) -> String {
    let mut quoted = String::from("\"");
    for character in text.chars() {
        match character {
            '"' => quoted.push_str("\\\""),
            '\\' => quoted.push_str("\\\\"),
            '\n' => quoted.push_str("\\n"),
            other if (other as u32) < 32 => quoted.push_str(&format!("\\u{:04x}", other as u32)),
            other => quoted.push(other),
        }
    }
    quoted.push('"');
    quoted
}

fn skip(text: &[char], at: &mut usize) {
    while text.get(*at).is_some_and(|c| c.is_whitespace()) {
        *at += 1;
    }
}

fn value(text: &[char], at: &mut usize) -> Option<Json> {
    skip(text, at);
    match text.get(*at)? {
        '{' => object(text, at),
        '[' => list(text, at),
        '"' => string(text, at).map(Json::Text),
        't' => word(text, at, "true", Json::Bool(true)),
        'f' => word(text, at, "false", Json::Bool(false)),
        'n' => word(text, at, "null", Json::Null),
        _ => number(text, at),
    }
}

fn word(text: &[char], at: &mut usize, word: &str, value: Json) -> Option<Json> {
    let end = *at + word.len();
    let found: String = text.get(*at..end)?.iter().collect();
    *at = end;
    (found == word).then_some(value)
}

fn number(text: &[char], at: &mut usize) -> Option<Json> {
    let start = *at;
    while text
        .get(*at)
        .is_some_and(|c| c.is_ascii_digit() || "+-.eE".contains(*c))
    {
        *at += 1;
    }
    let digits: String = text[start..*at].iter().collect();
    digits.parse().ok().map(Json::Number)
}

fn string(text: &[char], at: &mut usize) -> Option<String> {
    *at += 1;
    let mut string = String::new();
    loop {
        let character = *text.get(*at)?;
        *at += 1;
        match character {
            '"' => return Some(string),
            '\\' => {
                let escaped = *text.get(*at)?;
                *at += 1;
                match escaped {
                    'n' => string.push('\n'),
                    't' => string.push('\t'),
                    'r' => string.push('\r'),
                    'b' => string.push('\u{8}'),
                    'f' => string.push('\u{c}'),
                    'u' => {
                        let digits: String = text.get(*at..*at + 4)?.iter().collect();
                        *at += 4;
                        string.push(char::from_u32(u32::from_str_radix(&digits, 16).ok()?)?);
                    }
                    other => string.push(other),
                }
            }
            other => string.push(other),
        }
    }
}

fn list(text: &[char], at: &mut usize) -> Option<Json> {
    *at += 1;
    let mut items = Vec::new();
    skip(text, at);
    if text.get(*at) == Some(&']') {
        *at += 1;
        return Some(Json::List(items));
    }
    loop {
        items.push(value(text, at)?);
        skip(text, at);
        match text.get(*at)? {
            ',' => *at += 1,
            ']' => {
                *at += 1;
                return Some(Json::List(items));
            }
            _ => return None,
        }
    }
}

fn object(text: &[char], at: &mut usize) -> Option<Json> {
    *at += 1;
    let mut fields = BTreeMap::new();
    skip(text, at);
    if text.get(*at) == Some(&'}') {
        *at += 1;
        return Some(Json::Object(fields));
    }
    loop {
        skip(text, at);
        let name = string(text, at)?;
        skip(text, at);
        if text.get(*at) != Some(&':') {
            return None;
        }
        *at += 1;
        fields.insert(name, value(text, at)?);
        skip(text, at);
        match text.get(*at)? {
            ',' => *at += 1,
            '}' => {
                *at += 1;
                return Some(Json::Object(fields));
            }
            _ => return None,
        }
    }
}
