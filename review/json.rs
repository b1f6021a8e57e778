//! Reads the parts of JSON texts that the stand-ins need. Values are kept as the text that was received.

/// Returns the text of a member of an object.
pub fn field<'a>(object: &'a str, name: &str) -> Option<&'a str> {
    let mut rest = object.trim_start().strip_prefix('{')?;
    loop {
        rest = rest.trim_start_matches(|c: char| c.is_whitespace() || c == ',');
        let key_length = value_length(rest).filter(|_| rest.starts_with('"'))?;
        let key = &rest[1..key_length - 1];
        rest = rest[key_length..]
            .trim_start()
            .strip_prefix(':')?
            .trim_start();
        let length = value_length(rest)?;
        if key == name {
            return Some(&rest[..length]);
        }
        rest = &rest[length..];
    }
}

/// Returns the text of a member that is a string without escapes.
pub fn string<'a>(object: &'a str, name: &str) -> Option<&'a str> {
    field(object, name)?.strip_prefix('"')?.strip_suffix('"')
}

/// Returns a member that is a whole number.
pub fn number(object: &str, name: &str) -> Option<u64> {
    field(object, name)?.parse().ok()
}

/// Returns the texts of the elements of an array.
pub fn elements(array: &str) -> Vec<&str> {
    let mut found = Vec::new();
    let mut rest = array.trim_start().strip_prefix('[').unwrap_or("");
    loop {
        rest = rest.trim_start_matches(|c: char| c.is_whitespace() || c == ',');
        let Some(length) = value_length(rest) else {
            return found;
        };
        found.push(&rest[..length]);
        rest = &rest[length..];
    }
}

/// Returns the length of the value at the start of a text.
fn value_length(text: &str) -> Option<usize> {
    let (mut depth, mut in_string, mut escaped) = (0, false, false);
    for (index, byte) in text.bytes().enumerate() {
        if in_string {
            match byte {
                _ if escaped => escaped = false,
                b'\\' => escaped = true,
                b'"' => in_string = false,
                _ => continue,
            }
            if !in_string && depth == 0 {
                return Some(index + 1);
            }
            continue;
        }
        match byte {
            b'"' => in_string = true,
            b'{' | b'[' => depth += 1,
            b'}' | b']' if depth == 0 => return (index > 0).then_some(index),
            b'}' | b']' => {
                depth -= 1;
                if depth == 0 {
                    return Some(index + 1);
                }
            }
            b',' if depth == 0 => return (index > 0).then_some(index),
            _ => {}
        }
    }
    (depth == 0 && !in_string && !text.trim().is_empty()).then(|| text.trim_end().len())
}
