//! The line protocol of the engines.

use pebblevane::interface::{ActualCost, LoadReport, ProgressUpdate};
use pebblevane::time::TimeDelta;

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
pub enum EngineMessage {
    /// Page 0, the number of all pages, and work (ms) and memory (MB) that the job needed.
    Hit {
        page: Vec<u8>,
        sheets: u32,
        bill: Option<ActualCost>,
        report: Option<LoadReport>,
    },
    Part {
        page: Vec<u8>,
        sheet: u32,
    },
    Info(Option<ProgressUpdate>),
    Shed(Option<LoadReport>),
    Fault(Option<LoadReport>),
    Late(Option<LoadReport>),
    Pong(Option<LoadReport>),
    Sick(Option<LoadReport>),
}

/// The first answer with its id, and how many bytes it takes; none if it has not come whole. What can't become
/// an answer is told as soon as it shows.
pub fn next(bytes: &[u8]) -> Result<Option<(usize, String, EngineMessage)>, &'static str> {
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
    let report = || get("meter").and_then(report);
    let word = match word {
        "HIT" => EngineMessage::Hit {
            page,
            sheets: match get("sheets") {
                None => 1,
                Some(told) => told.parse().map_err(|_| "an odd number of pages")?,
            },
            bill: number("toil").zip(number("room")).map(|(work_ms, memory_mb)| ActualCost {
                work: TimeDelta::from_millis_f64(work_ms),
                memory_mb,
            }),
            report: report(),
        },
        "PART" => {
            let sheet = get("sheet").and_then(|told| told.parse().ok());
            EngineMessage::Part { page, sheet: sheet.ok_or("a page without its number")? }
        }
        "INFO" => EngineMessage::Info(match (get("tell"), number("val")) {
            (Some("advance"), Some(share)) => Some(ProgressUpdate::CompletedFraction(share)),
            (Some("disk"), Some(missing)) => Some(ProgressUpdate::SpillingToDisk(missing)),
            (Some("stall"), Some(1.0)) => Some(ProgressUpdate::WaitingForMemory),
            (Some("stall"), Some(2.0)) => Some(ProgressUpdate::WaitingForBulkLoad),
            _ => None,
        }),
        "SHED" => EngineMessage::Shed(report()),
        "FAULT" => EngineMessage::Fault(report()),
        "LATE" => EngineMessage::Late(report()),
        "PONG" => EngineMessage::Pong(report()),
        "SICK" => EngineMessage::Sick(report()),
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

/// A load report as in `inflight:7;util:0.61`; none if it holds no numbers.
fn report(fields: &str) -> Option<LoadReport> {
    let pairs = fields.split(';').filter_map(|pair| pair.split_once(':'));
    let values = pairs.filter_map(|(name, value)| Some((name, value.parse::<f64>().ok()?)));
    let values: Vec<(&str, f64)> = values.filter(|(_, value)| value.is_finite()).collect();
    let value =
        |names: &[&str]| values.iter().find(|(name, _)| names.contains(name)).map(|(_, value)| *value);
    (!values.is_empty()).then(|| LoadReport {
        jobs_in_flight: value(&["inflight", "concurrent"]),
        processor_utilization: value(&["util", "load_share"]),
        memory_utilization: value(&["x0"]),
    })
}
