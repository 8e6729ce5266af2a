//! Finds the table group that a statement reads or writes: the number after the last underscore in the name of a
//! schema, such as 17 in `sales_17.orders`. Strings, comments, and schemas without a number, such as `staging`, are
//! ignored.

/// Keywords after which a table is named.
const TABLE_KEYWORDS: [&[u8]; 9] =
    [b"from", b"join", b"into", b"update", b"table", b"only", b"using", b"copy", b"truncate"];

/// Returns the group of the first table that has one. If no table has one, returns the group of the first other
/// qualified name whose schema has one, if any.
pub fn table_group(statement: &[u8]) -> Option<u64> {
    let mut search = GroupSearch::default();
    let found = Tokens { rest: statement }.find_map(|token| search.add(token));
    found.or_else(|| search.finish())
}

/// The state of the search through a statement.
#[derive(Default)]
struct GroupSearch<'a> {
    /// The parts so far of a name with dots: schemas, then a table or column.
    qualified_name: Vec<&'a [u8]>,
    /// Whether the previous token was a dot within a qualified name.
    after_dot: bool,
    /// The keyword or unqualified name immediately before the qualified name; empty if there is none.
    previous_word: &'a [u8],
    /// The group to return if no table has one: the first in the schemas of any other qualified name.
    fallback: Option<u64>,
}

impl<'a> GroupSearch<'a> {
    /// Adds a token. Returns the group if the token ends the name of a table that has one.
    fn add(&mut self, token: Token<'a>) -> Option<u64> {
        match token {
            Token::Name(name) if self.after_dot || self.qualified_name.is_empty() => {
                self.qualified_name.push(name);
                self.after_dot = false;
                None
            }
            Token::Name(name) => {
                let group = self.end_qualified_name();
                self.qualified_name.push(name);
                group
            }
            Token::Dot if !self.qualified_name.is_empty() => {
                self.after_dot = true;
                None
            }
            Token::Dot | Token::Other => {
                let group = self.end_qualified_name();
                self.previous_word = b"";
                group
            }
        }
    }

    /// Ends the search at the end of the statement, and returns the group that was found, if any.
    fn finish(mut self) -> Option<u64> {
        self.end_qualified_name().or(self.fallback)
    }

    /// Ends the qualified name. Returns the group if it is the name of a table that has one.
    fn end_qualified_name(&mut self) -> Option<u64> {
        let names = std::mem::take(&mut self.qualified_name);
        self.after_dot = false;
        let (_, schemas) = names.split_last()?;
        if is_table_keyword(self.previous_word)
            && let Some(group) = schemas.last().and_then(|schema| schema_group(schema))
        {
            return Some(group);
        }
        self.fallback = self.fallback.or_else(|| schemas.iter().find_map(|schema| schema_group(schema)));
        self.previous_word = if schemas.is_empty() { names[0] } else { b"" };
        None
    }
}

fn is_table_keyword(word: &[u8]) -> bool {
    TABLE_KEYWORDS.iter().any(|keyword| keyword.eq_ignore_ascii_case(word))
}

/// The number after the last underscore of a schema's name.
fn schema_group(schema: &[u8]) -> Option<u64> {
    let (name, digits) = std::str::from_utf8(schema).ok()?.rsplit_once('_')?;
    let is_number = digits.bytes().all(|byte| byte.is_ascii_digit());
    if is_number && !name.is_empty() { digits.parse().ok() } else { None }
}

#[derive(Clone, Copy)]
enum Token<'a> {
    /// A keyword, a number, or a name with or without quotes.
    Name(&'a [u8]),
    Dot,
    /// A string or a symbol.
    Other,
}

/// The tokens of a statement. Whitespace and comments are skipped.
struct Tokens<'a> {
    rest: &'a [u8],
}

impl<'a> Iterator for Tokens<'a> {
    type Item = Token<'a>;

    fn next(&mut self) -> Option<Token<'a>> {
        loop {
            match self.rest {
                [] => return None,
                [b'-', b'-', ..] => {
                    let line_length = length_until(self.rest, |byte| byte == b'\n');
                    self.rest = &self.rest[line_length..];
                }
                [b'/', b'*', after @ ..] => self.rest = skip_block_comment(after),
                [first, after @ ..] if first.is_ascii_whitespace() => self.rest = after,
                [first, after @ ..] => return Some(self.take_token(*first, after)),
            }
        }
    }
}

impl<'a> Tokens<'a> {
    fn take_token(&mut self, first: u8, after: &'a [u8]) -> Token<'a> {
        match first {
            b'\'' => {
                self.rest = split_quoted(after, first).1;
                Token::Other
            }
            b'"' | b'`' => {
                let (name, rest) = split_quoted(after, first);
                self.rest = rest;
                Token::Name(name)
            }
            b'.' => {
                self.rest = after;
                Token::Dot
            }
            _ if is_name_byte(first) => {
                let (name, rest) = self.rest.split_at(length_until(self.rest, |byte| !is_name_byte(byte)));
                self.rest = rest;
                Token::Name(name)
            }
            _ => {
                self.rest = after;
                Token::Other
            }
        }
    }
}

/// The number of bytes before the first one for which `is_end` is true.
fn length_until(bytes: &[u8], is_end: impl Fn(u8) -> bool) -> usize {
    bytes.iter().position(|byte| is_end(*byte)).unwrap_or(bytes.len())
}

fn is_name_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || byte == b'_' || byte == b'$' || byte >= 0x80
}

/// Splits the bytes after an opening quote into those before and those after the closing quote. A doubled quote belongs
/// to the quoted text.
fn split_quoted(bytes: &[u8], quote: u8) -> (&[u8], &[u8]) {
    let mut position = 0;
    loop {
        position += length_until(&bytes[position..], |byte| byte == quote);
        match bytes.get(position + 1) {
            Some(next) if *next == quote => position += 2,
            _ => return (&bytes[..position], bytes.get(position + 1..).unwrap_or_default()),
        }
    }
}

/// Skips the rest of a block comment after its `/*`, and returns what follows. Block comments may be nested.
fn skip_block_comment(mut rest: &[u8]) -> &[u8] {
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
