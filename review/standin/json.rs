//! As much JSON and base64 as the stand-ins need.

#[derive(Debug, Clone)]
pub enum Json {
    Null,
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(Vec<(String, Json)>),
}

impl Json {
    fn get(&self, name: &str) -> &Json {
        let Json::Object(fields) = self else { return &Json::Null };
        fields.iter().find(|(k, _)| k == name).map_or(&Json::Null, |(_, v)| v)
    }

    pub fn text(&self, name: &str) -> String {
        match self.get(name) {
            Json::Text(text) => text.clone(),
            _ => String::new(),
        }
    }

    pub fn number(&self, name: &str) -> u64 {
        match self.get(name) {
            Json::Number(number) => *number as u64,
            _ => 0,
        }
    }

    pub fn list(&self, name: &str) -> &[Json] {
        match self.get(name) {
            Json::List(list) => list,
            _ => &[],
        }
    }
}

pub fn parse(text: &str) -> Json {
    value(&mut text.chars().peekable())
}

type Input<'a> = std::iter::Peekable<std::str::Chars<'a>>;

fn skip(input: &mut Input<'_>) {
    while input.peek().is_some_and(|c| c.is_whitespace() || *c == ',' || *c == ':') {
        input.next();
    }
}

fn value(input: &mut Input<'_>) -> Json {
    skip(input);
    match input.peek() {
        Some('{') => {
            input.next();
            let mut fields = Vec::new();
            loop {
                skip(input);
                if matches!(input.peek(), Some('}') | None) {
                    input.next();
                    return Json::Object(fields);
                }
                let Json::Text(name) = value(input) else { return Json::Null };
                fields.push((name, value(input)));
            }
        }
        Some('[') => {
            input.next();
            let mut list = Vec::new();
            loop {
                skip(input);
                if matches!(input.peek(), Some(']') | None) {
                    input.next();
                    return Json::List(list);
                }
                list.push(value(input));
            }
        }
        Some('"') => {
            input.next();
            let mut text = String::new();
            while let Some(c) = input.next() {
                match c {
                    '"' => break,
                    '\\' => text.extend(input.next()),
                    c => text.push(c),
                }
            }
            Json::Text(text)
        }
        Some(_) => {
            let mut word = String::new();
            while input.peek().is_some_and(|c| !",]}".contains(*c) && !c.is_whitespace()) {
                word.extend(input.next());
            }
            word.parse().map_or(Json::Null, Json::Number)
        }
        None => Json::Null,
    }
}

pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from(group[0]) << 16 | u32::from(group[1]) << 8 | u32::from(group[2]);
        for at in 0..4 {
            if at > chunk.len() {
                out.push('=');
            } else {
                out.push(char::from(DIGITS[(bits >> (18 - 6 * at) & 63) as usize]));
            }
        }
    }
    out
}
