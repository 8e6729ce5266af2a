//! What is spoken on the wire: each file decodes one protocol into small typed values and encodes them.

pub mod bus;
pub mod client;
pub mod engine;
pub mod sql;

#[cfg(test)]
mod tests {
    use super::{bus, client, engine, sql};

    /// A generator of chance numbers (xorshift), the same for each run.
    struct Chance(u64);

    impl Chance {
        fn below(&mut self, most: usize) -> usize {
            self.0 ^= self.0 << 13;
            self.0 ^= self.0 >> 7;
            self.0 ^= self.0 << 17;
            (self.0 % most.max(1) as u64) as usize
        }
        /// Changes a byte, cuts, repeats a part or puts one elsewhere, up to three times.
        fn spoil(&mut self, mut bytes: Vec<u8>) -> Vec<u8> {
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

    /// Bytes from outside that are spoilt in any way are refused or read as something that is whole: nothing
    /// panics, nothing is read past the end, and no page is passed on but one of whole rows.
    #[test]
    fn spoilt_bytes_are_refused_or_whole() {
        let request = b"\x94\x00\x07\xa6lookup\x92\x83\xa1i\xb09b1f03aa5c7e2d41\xa1d\xa41500\xa1h\xa5820.0\
            \xc4\x1dselect * from sales_17.orders\x93\x02\xa6forget\x91\x07";
        let answer = b"9b1f03aa5c7e2d41 HIT sheets=2,toil=12.5,room=64,meter=queue:7;util:0.6 12\r\na\tb\tc\nd\te\tf\n\r\n\
            9b1f03aa5c7e2d41 PART sheet=1 6\r\ng\th\ti\n\r\np1 PONG meter=util:0.1 0\r\n\r\n9b1f03aa5c7e2d41 INFO tell=disk,val=9 0\r\n\r\n";
        let event = br#"{"offset":41,"topology":{"generation":7,"reset":false,"instances":[{"instanceId":"s-1","hostPort":"127.0.0.1:9",
            "zone":"east","machineType":"std","cell":2,"lifecycle":"in_service","weight":4,"startedAtMs":0}]}}"#;
        let (types, mut chance) = (["lookup".to_string()], Chance(0x9e3779b97f4a7c15));
        let (mut jobs, mut pages, mut events) = (0, 0, 0);
        for _ in 0..30_000 {
            let bytes = chance.spoil(request.to_vec());
            let mut rest = &bytes[..];
            while let client::Frame::Whole(length) = client::frame(rest) {
                if let Some(client::Message::Job(ask)) = client::decode(&rest[..length], &types) {
                    assert!(ask.id.len() == 16 && ask.left.0 >= 0 && ask.statement.len() <= length);
                    sql::group(&ask.statement);
                    jobs += 1;
                }
                rest = &rest[length..];
            }
            let bytes = chance.spoil(answer.to_vec());
            let mut rest = &bytes[..];
            while let Ok(Some((length, _, word))) = engine::next(rest) {
                if let engine::Word::Hit { page, .. } | engine::Word::Part { page, .. } = word {
                    let text = String::from_utf8(page).unwrap();
                    assert!(text.is_empty() || text.ends_with('\n'));
                    assert!(text.lines().all(|row| row.split('\t').count() == 3));
                    pages += 1;
                }
                rest = &rest[length..];
            }
            let bytes = chance.spoil(event.to_vec());
            events += usize::from(bus::line(&String::from_utf8_lossy(&bytes)).is_ok());
        }
        // Some come through, or nothing was tried.
        assert!(jobs > 1000 && pages > 1000 && events > 1000, "{jobs} {pages} {events}");
    }
}
