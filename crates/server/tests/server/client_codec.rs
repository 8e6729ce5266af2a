//! The client protocol: the bytes of each reply, the decoding of requests, and the reasons given for invalid ones.

use pebblevane::time::TimeDelta;
use pebblevane_server::codec::client::{
    FailureReason, Frame, FrameScanner, InvalidRequest, MAX_MESSAGE_BYTES, Message, ProtocolError, Reply,
    RequestId, ScanProgress, contains_cancellation, decode, decode_request_id, encode, frame,
};

const REQUEST: &[u8] =
    b"\x94\x00\x07\xa6lookup\x92\x82\xa1i\xb09b1f03aa5c7e2d41\xa1d\xa41500\xc4\x08select 1";

fn decode_with_lookup_class(bytes: &[u8]) -> Option<Message> {
    assert_eq!(frame(bytes), Frame::Complete(bytes.len()));
    decode(bytes, &["lookup".to_string()])
}

#[test]
fn replies_have_the_bytes_of_the_protocol() {
    let duplicate = FailureReason::from(InvalidRequest::DuplicateJobId);
    let table: [(Reply, &[u8]); 7] = [
        (Reply::Completed { rows: b"a\tb\tc\n" }, b"\x94\x01\x07\xc0\x92\xc4\x06a\tb\tc\n\x80"),
        (Reply::Health(true), b"\x94\x01\x07\xc0\x92\xc3\x80"),
        (Reply::Health(false), b"\x94\x01\x07\xc0\x92\xc2\x80"),
        (
            Reply::Rejected { retry_after: TimeDelta(999_001) },
            b"\x94\x01\x07\x92\xa4Busy\x81\xa1w\xa41000\xc0",
        ),
        (Reply::Rejected { retry_after: TimeDelta(0) }, b"\x94\x01\x07\x92\xa4Busy\x80\xc0"),
        (
            Reply::Failed { reason: FailureReason::Cancelled },
            b"\x94\x01\x07\x92\xa6Failed\x81\xa3why\xa9cancelled\xc0",
        ),
        (
            Reply::Failed { reason: duplicate },
            b"\x94\x01\x07\x92\xa6Failed\x81\xa3why\xd9\"field i is that of an open request\xc0",
        ),
    ];
    for (reply, expected) in table {
        assert_eq!(encode(RequestId(7), &reply), expected, "{}", reply.kind());
    }
}

#[test]
fn a_request_is_decoded_with_its_fields() {
    let Some(Message::Submit(request)) = decode_with_lookup_class(REQUEST) else { panic!("no job") };
    assert_eq!(request.request_id, RequestId(7));
    assert_eq!(&*request.client_job_id, "9b1f03aa5c7e2d41");
    assert_eq!(request.client_timeout, TimeDelta(1_500_000));
    assert_eq!(&*request.statement, b"select 1");
    assert_eq!((request.class, request.is_retry), (0, false));
    assert_eq!((request.estimated_cost, request.memory_mb), (None, None));
}

#[test]
fn the_answer_to_an_invalid_request_says_what_is_wrong() {
    let table: [(&[u8], &str); 8] = [
        (b"\x94\x00\x07\xa5other\x92\x80\xa0", "unknown reservation type other"),
        (b"\x94\x00\x07\xa6lookup\x91\x80", "the list of fields and body is missing or odd"),
        (b"\x94\x00\x07\xa6lookup\x92\xa0\xa0", "the map of fields is missing or odd"),
        (b"\x94\x00\x07\xa6lookup\x92\x81\x01\xa0\xa0", "the name of a field is missing or odd"),
        (b"\x94\x00\x07\xa6lookup\x92\x81\xa1d\x05\xa0", "field d is missing or odd"),
        (b"\x94\x00\x07\xa6lookup\x92\x81\xa1h\xa2-1\xa0", "field h is missing or odd"),
        (b"\x94\x00\x07\xa6lookup\x92\x80\xa0", "field i is missing or odd"),
        (b"\x94\x00\x07\xa6lookup\x92\x80\x01", "the body is missing or odd"),
    ];
    for (bytes, expected) in table {
        let Some(Message::Invalid { request_id, reason }) = decode_with_lookup_class(bytes) else {
            panic!("accepted: {bytes:?}")
        };
        assert_eq!((request_id, reason.to_string().as_str()), (RequestId(7), expected));
    }
}

#[test]
fn invalid_bytes_are_rejected_before_their_message_is_complete() {
    let too_long = (MAX_MESSAGE_BYTES as u32 + 1).to_be_bytes();
    let table: [(Vec<u8>, ProtocolError); 5] = [
        (b"\x80".to_vec(), ProtocolError::NotAMessage),
        (b"\x93\xc1".to_vec(), ProtocolError::UnsupportedValue),
        ([b"\x93\xc6".as_slice(), &too_long].concat(), ProtocolError::UnsupportedValue),
        (b"\x93\xdc\x00\x41".to_vec(), ProtocolError::UnsupportedValue),
        (b"\x93\x91\x91\x91\x91\x91".to_vec(), ProtocolError::NestedTooDeep),
    ];
    for (bytes, error) in table {
        assert_eq!(frame(&bytes), Frame::Invalid(error), "{bytes:?}");
    }
}

#[test]
fn a_cancellation_is_found_after_other_messages() {
    let bytes = [REQUEST, b"\x93\x02\xa6forget\x92\x05\x07", b"\x94\x00"].concat();
    assert!(contains_cancellation(&bytes, RequestId(7)));
    assert!(!contains_cancellation(&bytes, RequestId(6)));
    assert!(!contains_cancellation(&bytes[..bytes.len() - 3], RequestId(7)), "an incomplete message");
}

#[test]
fn the_end_of_a_message_is_found_in_parts_of_any_length() {
    let bytes = [REQUEST, REQUEST].concat();
    for part_length in 1..=bytes.len() {
        let (mut scanner, mut scanned, mut received) = (FrameScanner::default(), 0, 0);
        loop {
            received = (received + part_length).min(bytes.len());
            match scanner.scan(&bytes[scanned..received]).expect("a valid message") {
                ScanProgress::Complete { scanned: last } => {
                    scanned += last;
                    break;
                }
                ScanProgress::Incomplete { scanned: more } => scanned += more,
            }
        }
        assert_eq!(scanned, REQUEST.len(), "parts of {part_length} bytes");
    }
}

#[test]
fn the_id_of_a_request_is_decoded_from_its_beginning() {
    assert_eq!(decode_request_id(&REQUEST[..3]), Some(RequestId(7)));
    assert_eq!(decode_request_id(&REQUEST[..2]), None);
    assert_eq!(decode_request_id(b"\x93\x02\xa6forget\x91\x07"), None, "a notification");
}
