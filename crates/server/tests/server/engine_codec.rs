//! The engine protocol: the bytes of each message that is sent, and the decoding or rejection of received ones.

use pebblevane::interface::{ActualCost, LoadReport, ProgressUpdate};
use pebblevane::time::TimeDelta;
use pebblevane_server::codec::engine::{
    EngineMessage, EngineProtocolError, HealthCheckKind, encode_end, encode_fetch, encode_health_check,
    encode_request, encode_stop, parse_message,
};

const ID: &str = "0123456789abcdef";

fn text(bytes: Vec<u8>) -> String {
    String::from_utf8(bytes).expect("requests are text")
}

/// Decodes the message in these bytes, which must contain nothing else.
fn parsed(bytes: &str) -> EngineMessage {
    let parsed = parse_message(bytes.as_bytes()).expect("a valid message").expect("a complete message");
    assert_eq!((parsed.length, parsed.id.as_str()), (bytes.len(), ID));
    parsed.message
}

/// The error with which these bytes are rejected.
fn error(bytes: &str) -> EngineProtocolError {
    parse_message(bytes.as_bytes()).expect_err("an invalid message")
}

#[test]
fn a_request_carries_class_timeout_priority_and_statement() {
    let timeout = TimeDelta(1_500_900);
    let plain = encode_request(ID, "lookup", timeout, None, b"select 1");
    assert_eq!(text(plain), "REQ 0123456789abcdef cls=lookup,limit=1500 8\r\nselect 1\r\n");
    let with_priority = encode_request(ID, "lookup", timeout, Some(3), b"select 1");
    assert_eq!(text(with_priority), "REQ 0123456789abcdef cls=lookup,limit=1500,urgency=3 8\r\nselect 1\r\n");
}

#[test]
fn a_timeout_that_has_passed_is_sent_as_one_millisecond() {
    for timeout in [TimeDelta(999), TimeDelta(0), TimeDelta(-5_000_000)] {
        let request = encode_request(ID, "load", timeout, None, b"");
        assert_eq!(text(request), "REQ 0123456789abcdef cls=load,limit=1 0\r\n\r\n");
    }
}

#[test]
fn commands_and_health_checks_are_single_lines() {
    assert_eq!(text(encode_stop(ID)), "STOP 0123456789abcdef\r\n");
    assert_eq!(text(encode_end(ID)), "END 0123456789abcdef\r\n");
    assert_eq!(text(encode_fetch(ID, 2)), "FETCH 0123456789abcdef 2\r\n");
    assert_eq!(text(encode_health_check("p7", HealthCheckKind::LoadReport)), "STAT p7\r\n");
    assert_eq!(text(encode_health_check("p7", HealthCheckKind::Liveness)), "HELO p7\r\n");
}

#[test]
fn a_first_page_contains_page_count_cost_and_load() {
    let bytes =
        format!("{ID} HIT sheets=2,toil=12.5,room=64,meter=inflight:7;util:0.6;x0:0.2 6\r\na\tb\tc\n\r\n");
    let expected = EngineMessage::FirstPage {
        page: b"a\tb\tc\n".to_vec(),
        page_count: 2,
        actual_cost: Some(ActualCost { work: TimeDelta(12_500), memory_mb: 64.0 }),
        load_report: Some(LoadReport {
            jobs_in_flight: Some(7.0),
            processor_utilization: Some(0.6),
            memory_utilization: Some(0.2),
        }),
    };
    assert_eq!(parsed(&bytes), expected);
}

#[test]
fn a_first_page_may_lack_all_fields_but_the_page_count() {
    let expected =
        EngineMessage::FirstPage { page: Vec::new(), page_count: 1, actual_cost: None, load_report: None };
    assert_eq!(parsed(&format!("{ID} HIT sheets=1 0\r\n\r\n")), expected);
}

/// Noise in the field of the page count made the first page pass for the complete result.
#[test]
fn a_first_page_without_a_page_count_is_rejected() {
    for fields in
        ["-", "toil=12.5,room=64", "sheetp=3", "sheet=3", "sheets", "sheets=", "sheets=0", "sheets=+3"]
    {
        let bytes = format!("{ID} HIT {fields} 6\r\na\tb\tc\n\r\n");
        assert_eq!(error(&bytes), EngineProtocolError::InvalidPageCount, "{fields}");
    }
}

#[test]
fn every_other_kind_of_message_is_decoded() {
    let load_report = Some(LoadReport {
        jobs_in_flight: Some(3.0),
        processor_utilization: Some(0.5),
        memory_utilization: None,
    });
    let meter = "meter=concurrent:3;load_share:0.5";
    let progress = |update| EngineMessage::Progress(Some(update));
    let cases = [
        ("INFO tell=advance,val=0.25".to_string(), progress(ProgressUpdate::CompletedFraction(0.25))),
        ("INFO tell=disk,val=9".to_string(), progress(ProgressUpdate::SpillingToDisk(9.0))),
        ("INFO tell=stall,val=1".to_string(), progress(ProgressUpdate::WaitingForMemory)),
        ("INFO tell=stall,val=2".to_string(), progress(ProgressUpdate::WaitingForBulkLoad)),
        ("INFO tell=stall,val=3".to_string(), EngineMessage::Progress(None)),
        ("INFO tell=other,val=1".to_string(), EngineMessage::Progress(None)),
        ("INFO tell=disk,val=inf".to_string(), EngineMessage::Progress(None)),
        ("INFO -".to_string(), EngineMessage::Progress(None)),
        (format!("SHED {meter}"), EngineMessage::Overloaded(load_report)),
        (format!("FAULT {meter}"), EngineMessage::Failed(load_report)),
        (format!("LATE {meter}"), EngineMessage::Expired(load_report)),
        (format!("PONG {meter}"), EngineMessage::Healthy(load_report)),
        (format!("SICK {meter}"), EngineMessage::Unhealthy(load_report)),
        ("SHED meter=util:none".to_string(), EngineMessage::Overloaded(None)),
    ];
    for (line, expected) in cases {
        assert_eq!(parsed(&format!("{ID} {line} 0\r\n\r\n")), expected, "{line}");
    }
    let page = EngineMessage::FurtherPage { page: b"a\tb\tc\n".to_vec(), page_number: 4 };
    assert_eq!(parsed(&format!("{ID} PART sheet=4 6\r\na\tb\tc\n\r\n")), page);
}

#[test]
fn an_incomplete_message_is_neither_decoded_nor_rejected() {
    let bytes = format!("{ID} HIT sheets=1 6\r\na\tb\tc\n\r\n");
    for length in 0..bytes.len() {
        assert_eq!(parse_message(&bytes.as_bytes()[..length]), Ok(None), "{length} bytes");
    }
}

#[test]
fn malformed_messages_are_rejected_with_a_reason() {
    let cases = [
        ("x".repeat(4096), EngineProtocolError::UnterminatedLine, "no line end within 4096 bytes"),
        (
            format!("{ID} HIT sheets=1 0\n"),
            EngineProtocolError::LineNotText,
            "line is not UTF-8 or does not end with CR LF",
        ),
        (
            format!("{ID} HIT 0\r\n"),
            EngineProtocolError::MalformedLine,
            "line does not consist of id, kind, fields and payload length",
        ),
        (
            format!("{ID} HIT sheets=1 x\r\n"),
            EngineProtocolError::InvalidLength,
            "payload length is not a number or exceeds 6000 bytes",
        ),
        (
            format!("{ID} HIT sheets=1 6001\r\n"),
            EngineProtocolError::InvalidLength,
            "payload length is not a number or exceeds 6000 bytes",
        ),
        (
            format!("{ID} HIT sheets=1 0\r\nxx"),
            EngineProtocolError::UnterminatedPayload,
            "payload is not followed by CR LF",
        ),
        (
            format!("{ID} HIT sheets=1 4\r\na\tb\n\r\n"),
            EngineProtocolError::MalformedRows,
            "payload does not consist of complete rows",
        ),
        (
            format!("{ID} HIT sheets=x 0\r\n\r\n"),
            EngineProtocolError::InvalidPageCount,
            "page count is missing or malformed",
        ),
        (
            format!("{ID} PART - 0\r\n\r\n"),
            EngineProtocolError::InvalidPageNumber,
            "page number is missing or malformed",
        ),
        (
            format!("{ID} PART sheet=+1 0\r\n\r\n"),
            EngineProtocolError::InvalidPageNumber,
            "page number is missing or malformed",
        ),
        (format!("{ID} WORD - 0\r\n\r\n"), EngineProtocolError::UnknownKind, "unknown message kind"),
    ];
    for (bytes, expected, reason) in cases {
        assert_eq!(error(&bytes), expected, "{bytes}");
        assert_eq!(expected.to_string(), reason);
    }
}
