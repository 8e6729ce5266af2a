//! Decoding of bytes that were received from clients, engines and the event bus: the codecs alone, without the program.

use pebblevane_server::codec::engine::EngineMessage;
use pebblevane_server::codec::{client, engine, event_bus, sql};

/// The number of corrupted inputs for each codec.
const CORRUPTED_INPUTS: usize = 30_000;
/// More than this many messages of each codec have to be decoded: if nearly all were rejected, the checks of decoded
/// ones would show nothing.
const MIN_DECODED: usize = 1000;

/// A generator of random numbers (xorshift) with a fixed seed, so that each run has the same inputs.
struct Xorshift(u64);

impl Xorshift {
    /// A random number less than `bound`.
    fn below(&mut self, bound: usize) -> usize {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 % bound.max(1) as u64) as usize
    }
    /// Corrupts the bytes one to three times: changes a byte, truncates them, inserts a copy of a part, or removes a
    /// part.
    fn corrupt(&mut self, mut bytes: Vec<u8>) -> Vec<u8> {
        for _ in 0..=self.below(3) {
            let (at, other) = (self.below(bytes.len()), self.below(bytes.len()));
            let part = bytes[at.min(other)..at.max(other)].to_vec();
            match self.below(5) {
                _ if bytes.is_empty() => {}
                0 => bytes[at] = self.below(256) as u8,
                1 => bytes[at] ^= 1 << self.below(8),
                2 => bytes.truncate(at),
                3 => drop(bytes.splice(at..at, part)),
                _ => drop(bytes.drain(at.min(other)..at.max(other))),
            }
        }
        bytes
    }
}

/// Corrupted bytes must be rejected or decoded to complete values. They must not cause a panic or a read past their
/// end, and no page with incomplete rows may be passed on to a client.
#[test]
fn malformed_bytes_are_rejected_or_decoded_completely() {
    let request = b"\x94\x00\x07\xa6lookup\x92\x83\xa1i\xb09b1f03aa5c7e2d41\xa1d\xa41500\xa1h\xa5820.0\
        \xc4\x1dselect * from sales_17.orders\x93\x02\xa6forget\x91\x07";
    let answer = b"9b1f03aa5c7e2d41 HIT sheets=2,toil=12.5,room=64,meter=queue:7;util:0.6 12\r\na\tb\tc\nd\te\tf\n\r\n\
        9b1f03aa5c7e2d41 PART sheet=1 6\r\ng\th\ti\n\r\np1 PONG meter=util:0.1 0\r\n\r\n9b1f03aa5c7e2d41 INFO tell=disk,val=9 0\r\n\r\n";
    let event = br#"{"offset":41,"topology":{"generation":7,"reset":false,"instances":[{"instanceId":"s-1","hostPort":"127.0.0.1:9",
        "zone":"east","machineType":"std","cell":2,"lifecycle":"in_service","weight":4,"startedAtMs":0}]}}"#;
    let (types, mut random) = (["lookup".to_string()], Xorshift(0x9e37_79b9_7f4a_7c15));
    let (mut jobs, mut pages, mut events) = (0, 0, 0);
    for _ in 0..CORRUPTED_INPUTS {
        let bytes = random.corrupt(request.to_vec());
        let mut rest = &bytes[..];
        while let client::Frame::Complete(length) = client::frame(rest) {
            if let Some(client::Message::Submit(request)) = client::decode(&rest[..length], &types) {
                assert!(
                    request.client_job_id.len() == 16
                        && request.client_timeout.0 >= 0
                        && request.statement.len() <= length
                );
                sql::table_group(&request.statement);
                jobs += 1;
            }
            rest = &rest[length..];
        }
        let bytes = random.corrupt(answer.to_vec());
        let mut rest = &bytes[..];
        while let Ok(Some(parsed)) = engine::parse_message(rest) {
            if let EngineMessage::FirstPage { page, .. } | EngineMessage::FurtherPage { page, .. } =
                parsed.message
            {
                let text = String::from_utf8(page).unwrap();
                assert!(text.is_empty() || text.ends_with('\n'));
                assert!(text.lines().all(|row| row.split('\t').count() == 3));
                pages += 1;
            }
            rest = &rest[parsed.length..];
        }
        let bytes = random.corrupt(event.to_vec());
        events += usize::from(event_bus::decode_line(&String::from_utf8_lossy(&bytes)).is_ok());
    }
    let decoded = [jobs, pages, events];
    assert!(decoded.iter().all(|count| *count > MIN_DECODED), "{jobs} jobs, {pages} pages, {events} events");
}

#[test]
fn the_table_group_is_found_in_unusual_statements() {
    let table = [
        ("select * from sales_17.orders", Some(17)),
        ("SELECT id, n\n  FROM\n mart_4 . lines", Some(4)),
        ("insert into ops_7.stock select * from staging.batch_3", Some(7)),
        ("insert into staging.batch_3 select * from ops_7.stock", Some(7)),
        ("merge into lake_7.events d using staging.delta s on d.id = s.id", Some(7)),
        ("select a.id, 'from lake_0.decoy' as note from a_1.b", Some(1)),
        ("select 'it''s from lake_0.decoy' from a_1.b", Some(1)),
        ("select n -- was: from mart_1.old\n from mart_2.new", Some(2)),
        ("select /* from x_1.y /* nested */ from x_2.y */ 1 from x_3.y", Some(3)),
        ("select 1 from \"sales_5\".\"orders\"", Some(5)),
        ("select 1 from \"sales\"\"_5\".orders join b_6.c on true", Some(5)),
        ("select o_1.n from sales_9.orders o_1", Some(9)),
        ("with w as (select * from lake_3.stock) select sum(n) from w", Some(3)),
        ("update core.sales_12.orders set n = 1", Some(12)),
        ("select 1 from a.b, sales_8.orders", Some(8)),
        ("delete from only sales_10.orders", Some(10)),
        ("select 1 from staging.orders_17", None),
        ("select 1.5 from orders_17", None),
        ("select 1 from sales_.orders", None),
        ("select 1 from _17.orders", None),
        ("select 1 from sales_99999999999999999999999.orders", None),
        ("select 'never closed from a_1.b", None),
        ("select 1 /* never closed from a_1.b", None),
        ("select \"never closed", None),
        ("", None),
    ];
    for (statement, expected) in table {
        assert_eq!(sql::table_group(statement.as_bytes()), expected, "{statement}");
    }
}
