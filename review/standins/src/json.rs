//! A small JSON reader for the answers that the stand-ins get.

use std::collections::BTreeMap;

/// A JSON value.
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
    /// A field of an object.
    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Object(fields) => fields.get(name),
            _ => None,
        }
    }

    /// The number, or 0.
    pub fn number(&self) -> u64 {
        match self {
            Json::Number(number) => *number as u64,
            _ => 0,
        }
    }

    /// The text, or an empty one.
    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    /// The items, or none.
    pub fn items(&self) -> &[Json] {
        match self {
            Json::List(items) => items,
            _ => &[],
        }
    }
}

/// A field of an object as a number; 0 if it is missing.
pub fn number(object: &Json, name: &str) -> u64 {
    object.get(name).map_or(0, Json::number)
}

/// A field of an object as a list; empty if it is missing.
pub fn items<'a>(object: &'a Json, name: &str) -> &'a [Json] {
    object.get(name).map_or(&[], Json::items)
}

/// A text as a JSON string.
pub fn quote(text: &str) -> String {
    let mut quoted = String::from("\"");
    for character in text.chars() {
        match character {
            '"' => quoted.push_str("\\\""),
            '\\' => quoted.push_str("\\\\"),
            control if (control as u32) < 0x20 => {
                quoted.push_str(&format!("\\u{:04x}", control as u32));
            }
            other => quoted.push(other),
        }
    }
    quoted.push('"');
    quoted
}

/// Reads a JSON text.
pub fn parse(text: &str) -> Option<Json> {
    let characters: Vec<char> = text.chars().collect();
    let mut at = 0;
    let value = value(&characters, &mut at)?;
    skip_space(&characters, &mut at);
    (at == characters.len()).then_some(value)
}

fn skip_space(text: &[char], at: &mut usize) {
    while text.get(*at).is_some_and(|c| c.is_whitespace()) {
        *at += 1;
    }
}

fn expect(text: &[char], at: &mut usize, wanted: char) -> Option<()> {
    skip_space(text, at);
    (text.get(*at) == Some(&wanted)).then(|| *at += 1)
}

fn value(text: &[char], at: &mut usize) -> Option<Json> {
    skip_space(text, at);
    match text.get(*at)? {
        '{' => object(text, at),
        '[' => list(text, at),
        '"' => string(text, at).map(Json::Text),
        _ => word(text, at),
    }
}

fn object(text: &[char], at: &mut usize) -> Option<Json> {
    expect(text, at, '{')?;
    let mut fields = BTreeMap::new();
    if expect(text, at, '}').is_some() {
        return Some(Json::Object(fields));
    }
    loop {
        skip_space(text, at);
        let name = string(text, at)?;
        expect(text, at, ':')?;
        fields.insert(name, value(text, at)?);
        if expect(text, at, ',').is_none() {
            expect(text, at, '}')?;
            return Some(Json::Object(fields));
        }
    }
}

fn list(text: &[char], at: &mut usize) -> Option<Json> {
    expect(text, at, '[')?;
    let mut items = Vec::new();
    if expect(text, at, ']').is_some() {
        return Some(Json::List(items));
    }
    loop {
        items.push(value(text, at)?);
        if expect(text, at, ',').is_none() {
            expect(text, at, ']')?;
            return Some(Json::List(items));
        }
    }
}

fn string(text: &[char], at: &mut usize) -> Option<String> {
    expect(text, at, '"')?;
    let mut read = String::new();
    loop {
        let character = *text.get(*at)?;
        *at += 1;
        match character {
            '"' => return Some(read),
            '\\' => {
                let escaped = *text.get(*at)?;
                *at += 1;
                read.push(match escaped {
                    'n' => '\n',
                    't' => '\t',
                    'r' => '\r',
                    'b' => '\u{8}',
                    'f' => '\u{c}',
                    'u' => {
                        let digits: String = text.get(*at..*at + 4)?.iter().collect();
                        *at += 4;
                        char::from_u32(u32::from_str_radix(&digits, 16).ok()?)?
                    }
                    other => other,
                });
            }
            other => read.push(other),
        }
    }
}

fn word(text: &[char], at: &mut usize) -> Option<Json> {
    let start = *at;
    while text
        .get(*at)
        .is_some_and(|c| c.is_ascii_alphanumeric() || "+-.".contains(*c))
    {
        *at += 1;
    }
    let word: String = text[start..*at].iter().collect();
    match word.as_str() {
        "null" => Some(Json::Null),
        "true" => Some(Json::Bool(true)),
        "false" => Some(Json::Bool(false)),
        number => number.parse().ok().map(Json::Number),
    }
}
