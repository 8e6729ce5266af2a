//! Finds the group of tables that a statement reads or writes: the number behind the underscore in the name
//! of its schema, as 17 in `sales_17.orders`. Strings, comments and the schema `staging` do not count.

/// Words after which a table is named.
const BEFORE_TABLES: [&[u8]; 9] =
    [b"from", b"join", b"into", b"update", b"table", b"only", b"using", b"copy", b"truncate"];

/// The group of the first table that has one; where none is named as a table, of the first schema.
pub fn group(statement: &[u8]) -> Option<u64> {
    let mut rest = statement;
    let mut names: Vec<&[u8]> = Vec::new(); // a chain of names with dots between, as far as it has come
    let (mut dot, mut word_before, mut fallback): (bool, &[u8], _) = (false, b"", None);
    loop {
        let (token, after) = next(rest);
        rest = after;
        match token {
            Token::ClientJobId(name) if dot || names.is_empty() => {
                names.push(name);
                dot = false;
                continue;
            }
            Token::Dot if !names.is_empty() => {
                dot = true;
                continue;
            }
            _ => {}
        }
        // The chain has ended: the schema is what stands before a table's own name.
        let schemas = &names[..names.len().saturating_sub(1)];
        if BEFORE_TABLES.iter().any(|word| word.eq_ignore_ascii_case(word_before))
            && let Some(group) = schemas.last().and_then(|schema| number(schema))
        {
            return Some(group);
        }
        fallback = fallback.or_else(|| schemas.iter().find_map(|schema| number(schema)));
        if let [only] = names[..] {
            word_before = only;
        } else if !names.is_empty() {
            word_before = b"";
        }
        (names, dot) = (Vec::new(), false);
        match token {
            Token::ClientJobId(name) => names.push(name),
            Token::End => return fallback,
            // A list of tables goes on; anything else does not lead to one.
            Token::Other | Token::Dot => word_before = b"",
        }
    }
}

enum Token<'a> {
    ClientJobId(&'a [u8]),
    Dot,
    /// A string, number or sign.
    Other,
    End,
}

/// The next token and what comes after it.
fn next(mut rest: &[u8]) -> (Token<'_>, &[u8]) {
    loop {
        match rest {
            [] => return (Token::End, rest),
            [b'-', b'-', ..] => rest = &rest[end(rest, |byte| byte == b'\n')..],
            [b'/', b'*', after @ ..] => rest = comment(after),
            [b'\'', after @ ..] => return (Token::Other, quoted(after, b'\'').1),
            [mark @ (b'"' | b'`'), after @ ..] => {
                let (name, after) = quoted(after, *mark);
                return (Token::ClientJobId(name), after);
            }
            [b'.', after @ ..] => return (Token::Dot, after),
            [first, after @ ..] if first.is_ascii_whitespace() => rest = after,
            [first, ..] if in_name(*first) => {
                let (name, after) = rest.split_at(end(rest, |byte| !in_name(byte)));
                return (Token::ClientJobId(name), after);
            }
            [_, after @ ..] => return (Token::Other, after),
        }
    }
}

fn end(rest: &[u8], is_end: impl Fn(u8) -> bool) -> usize {
    rest.iter().position(|byte| is_end(*byte)).unwrap_or(rest.len())
}

fn in_name(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || byte == b'_' || byte == b'$' || byte >= 0x80
}

/// What stands before the closing mark, in which a doubled one does not close, and what comes after.
fn quoted(rest: &[u8], mark: u8) -> (&[u8], &[u8]) {
    let mut at = 0;
    loop {
        at += end(&rest[at..], |byte| byte == mark);
        match rest.get(at + 1) {
            Some(next) if *next == mark => at += 2,
            _ => return (&rest[..at], rest.get(at + 1..).unwrap_or_default()),
        }
    }
}

/// What comes after a block comment, in which others may nest.
fn comment(mut rest: &[u8]) -> &[u8] {
    let mut depth = 1;
    while depth > 0 {
        rest = match rest {
            [] => return rest,
            [b'*', b'/', after @ ..] => {
                depth -= 1;
                after
            }
            [b'/', b'*', after @ ..] => {
                depth += 1;
                after
            }
            [_, after @ ..] => after,
        };
    }
    rest
}

fn number(schema: &[u8]) -> Option<u64> {
    let (name, digits) = std::str::from_utf8(schema).ok()?.rsplit_once('_')?;
    let digits = Some(digits).filter(|digits| digits.bytes().all(|byte| byte.is_ascii_digit()));
    digits.filter(|_| !name.is_empty())?.parse().ok()
}
