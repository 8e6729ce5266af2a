//! Finds the group of tables that a statement reads or writes: the number behind the underscore in the name
//! of its schema, as 17 in `sales_17.orders`. Strings, comments and the schema `staging` do not count.

/// The group of the first schema that has one; none if no schema has.
pub fn group(statement: &[u8]) -> Option<u64> {
    let mut rest = statement;
    let mut schema: Option<Vec<u8>> = None; // a name that a dot may follow
    while let Some((&first, after)) = rest.split_first() {
        match first {
            b'\'' => {
                rest = quoted(after, b'\'').1;
                schema = None;
            }
            b'"' | b'`' => {
                let (name, after) = quoted(after, first);
                (schema, rest) = (Some(name), after);
            }
            b'-' if after.first() == Some(&b'-') => {
                let end = after.iter().position(|byte| *byte == b'\n').unwrap_or(after.len());
                rest = &after[end..];
            }
            b'/' if after.first() == Some(&b'*') => rest = comment(&after[1..]),
            b'.' => {
                if let Some(group) = schema.take().and_then(|name| number(&name)) {
                    return Some(group);
                }
                rest = after;
            }
            _ if word(first) => {
                let end = rest.iter().position(|byte| !word(*byte)).unwrap_or(rest.len());
                (schema, rest) = (Some(rest[..end].to_vec()), &rest[end..]);
            }
            _ if first.is_ascii_whitespace() => rest = after,
            _ => (schema, rest) = (None, after),
        }
    }
    None
}

fn word(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || byte == b'_' || byte == b'$' || byte >= 0x80
}

/// What stands before the closing mark, where a doubled one stands for itself, and what comes after it.
fn quoted(mut rest: &[u8], mark: u8) -> (Vec<u8>, &[u8]) {
    let mut inside = Vec::new();
    while let Some((&byte, after)) = rest.split_first() {
        rest = after;
        if byte == mark {
            match rest.split_first() {
                Some((&next, after)) if next == mark => rest = after,
                _ => break,
            }
        }
        inside.push(byte);
    }
    (inside, rest)
}

/// What comes after a block comment, in which others may nest.
fn comment(mut rest: &[u8]) -> &[u8] {
    let mut depth = 1;
    while depth > 0 && !rest.is_empty() {
        let step = match rest {
            [b'*', b'/', ..] => {
                depth -= 1;
                2
            }
            [b'/', b'*', ..] => {
                depth += 1;
                2
            }
            _ => 1,
        };
        rest = &rest[step..];
    }
    rest
}

fn number(schema: &[u8]) -> Option<u64> {
    let schema = std::str::from_utf8(schema).ok()?;
    let (name, digits) = schema.rsplit_once('_')?;
    let plain = !name.is_empty() && !name.eq_ignore_ascii_case("staging");
    (plain && !digits.is_empty() && digits.bytes().all(|byte| byte.is_ascii_digit()))
        .then(|| digits.parse().ok())
        .flatten()
}
