//! What is decoded from bytes of others: the codecs alone, without the program.

use pebblevane_server::codec::engine::EngineMessage;
use pebblevane_server::codec::{client, engine, event_bus, sql};

/// A generator of random numbers (xorshift), the same for each run.
struct Xorshift(u64);

impl Xorshift {
    fn below(&mut self, most: usize) -> usize {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 % most.max(1) as u64) as usize
    }
    /// Changes a byte, cuts, repeats a part or puts one elsewhere, up to three times.
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

/// Bytes of others that are corrupted in any way are rejected or decoded as something complete: nothing panics, nothing is
/// read past the end, and no page is passed on but one of complete rows.
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
    for _ in 0..30_000 {
        let bytes = random.corrupt(request.to_vec());
        let mut rest = &bytes[..];
        while let client::Frame::Complete(length) = client::frame(rest) {
            if let Some(client::Message::Submit(request)) = client::decode(&rest[..length], &types) {
                assert!(
                    request.job_id.len() == 16
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
    // Some are decoded, or nothing was tried.
    assert!(jobs > 1000 && pages > 1000 && events > 1000, "{jobs} {pages} {events}");
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
    for (statement, wanted) in table {
        assert_eq!(sql::table_group(statement.as_bytes()), wanted, "{statement}");
    }
}
