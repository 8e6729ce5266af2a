//! The line protocol of the engines.

use pebblevane::interface::{Note, Report};

const LONGEST_LINE: usize = 4096;
const LONGEST_PAGE: usize = 6_000;
const COLUMNS: usize = 3;

pub fn request(id: &str, class: &str, limit_ms: i64, rank: Option<u8>, statement: &[u8]) -> Vec<u8> {
    let urgency = rank.map(|rank| format!(",urgency={rank}")).unwrap_or_default();
    let head = format!("REQ {id} cls={class},limit={limit_ms}{urgency} {}\r\n", statement.len());
    [head.as_bytes(), statement, b"\r\n"].concat()
}

pub fn stop(id: &str) -> Vec<u8> {
    format!("STOP {id}\r\n").into()
}

pub fn fetch(id: &str, page: u32) -> Vec<u8> {
    format!("FETCH {id} {page}\r\n").into()
}

pub fn end(id: &str) -> Vec<u8> {
    format!("END {id}\r\n").into()
}

/// Asks for a load report, or only whether the engine is well.
pub fn probe(tag: &str, report: bool) -> Vec<u8> {
    format!("{} {tag}\r\n", if report { "STAT" } else { "HELO" }).into()
}

/// An answer, without the id that it is for.
#[derive(Debug, PartialEq)]
pub enum Word {
    /// Page 0, the number of all pages, and work (ms) and memory (MB) that the job needed.
    Hit {
        page: Vec<u8>,
        sheets: u32,
        bill: Option<(f64, f64)>,
        report: Report,
    },
    Part {
        page: Vec<u8>,
        sheet: u32,
    },
    Info(Option<Note>),
    Shed(Report),
    Fault(Report),
    Late(Report),
    Pong(Report),
    Sick(Report),
}

/// The first answer with its id, and how many bytes it takes; none if it has not come whole. What can't become
/// an answer is told as soon as it shows.
pub fn next(bytes: &[u8]) -> Result<Option<(usize, String, Word)>, &'static str> {
    let Some(end) = bytes.iter().take(LONGEST_LINE).position(|byte| *byte == b'\n') else {
        return if bytes.len() < LONGEST_LINE { Ok(None) } else { Err("a line that does not end") };
    };
    let line = bytes[..end].strip_suffix(b"\r").and_then(|line| std::str::from_utf8(line).ok());
    let words: Vec<&str> = line.ok_or("a line that is no text")?.split(' ').collect();
    let [id, word, fields, length] = words[..] else { return Err("a line without four words") };
    let length = length.parse::<usize>().ok().filter(|length| *length <= LONGEST_PAGE);
    let all = end + 1 + length.ok_or("a length that is odd or too long")? + 2;
    let Some(payload) = bytes.get(end + 1..all) else { return Ok(None) };
    let page = payload.strip_suffix(b"\r\n").ok_or("a payload that does not end where it should")?;
    if !is_page(page) {
        return Err("a payload that is not made of whole rows");
    }
    let page = page.to_vec();
    let get = |name: &str| {
        let fields = fields.split(',').filter_map(|field| field.split_once('='));
        fields.into_iter().find(|(told, _)| *told == name).map(|(_, value)| value)
    };
    let number = |name: &str| get(name).and_then(|value| value.parse::<f64>().ok()).filter(|x| x.is_finite());
    let report = || get("meter").map(report).unwrap_or_default();
    let word = match word {
        "HIT" => Word::Hit {
            page,
            sheets: match get("sheets") {
                None => 1,
                Some(told) => told.parse().map_err(|_| "an odd number of pages")?,
            },
            bill: number("toil").zip(number("room")),
            report: report(),
        },
        "PART" => {
            let sheet = get("sheet").and_then(|told| told.parse().ok());
            Word::Part { page, sheet: sheet.ok_or("a page without its number")? }
        }
        "INFO" => Word::Info(match (get("tell"), number("val")) {
            (Some("advance"), Some(share)) => Some(Note::Share(share)),
            (Some("disk"), Some(missing)) => Some(Note::Spills(missing)),
            (Some("stall"), Some(1.0)) => Some(Note::WaitsForMemory),
            (Some("stall"), Some(2.0)) => Some(Note::WaitsForLoad),
            _ => None,
        }),
        "SHED" => Word::Shed(report()),
        "FAULT" => Word::Fault(report()),
        "LATE" => Word::Late(report()),
        "PONG" => Word::Pong(report()),
        "SICK" => Word::Sick(report()),
        _ => return Err("an unknown word"),
    };
    Ok(Some((all, id.to_string(), word)))
}

/// Whole rows of text, a tab between columns and a line feed after each row.
fn is_page(page: &[u8]) -> bool {
    let row = |row: &str| {
        let columns = row.strip_suffix('\n').map(|row| row.split('\t').collect::<Vec<&str>>());
        columns.is_some_and(|columns| {
            columns.len() == COLUMNS && !columns.iter().any(|text| text.chars().any(char::is_control))
        })
    };
    std::str::from_utf8(page).is_ok_and(|text| text.split_inclusive('\n').all(row))
}

/// A load report as in `inflight:7;util:0.61`, under the names that the settings use.
fn report(told: &str) -> Report {
    let pairs = told.split(';').filter_map(|pair| pair.split_once(':'));
    let values = pairs.filter_map(|(name, value)| Some((name, value.parse::<f64>().ok()?)));
    values
        .filter(|(_, value)| value.is_finite())
        .map(|(name, value)| {
            let name = match name {
                "inflight" => "concurrent",
                "queue" => "depth",
                "util" => "load_share",
                "latency_ms" => "mean_ms",
                "qps" => "tps",
                "eps" => "err_ps",
                other => other,
            };
            (name.to_string(), value)
        })
        .collect()
}
