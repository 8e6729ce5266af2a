//! A client of the program, and the encoding of its requests.

use super::RECEIVE_TIMEOUT;
use rmp::{decode, encode};
use socket2::SockRef;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::time::Duration;

/// The statement of all requests for which a test needs no other.
pub const SELECT: &str = "select * from sales_17.orders";

/// Encodes a request that submits a job. `message` is its message number, which the answer repeats.
pub fn encode_request(message: u32, class: &str, fields: &[(&str, &str)], statement: &str) -> Vec<u8> {
    let mut bytes = vec![0x94, 0];
    encode::write_uint(&mut bytes, message.into()).unwrap();
    encode::write_str(&mut bytes, class).unwrap();
    encode::write_array_len(&mut bytes, 2).unwrap();
    encode::write_map_len(&mut bytes, fields.len() as u32).unwrap();
    for part in fields.iter().flat_map(|(name, value)| [name, value]) {
        encode::write_str(&mut bytes, part).unwrap();
    }
    encode::write_bin(&mut bytes, statement.as_bytes()).unwrap();
    bytes
}

/// The job id with which [`Client::submit`] submits the job of this message number. Engines receive it too.
pub fn wire_id(message: u32) -> String {
    format!("{message:016x}")
}

/// A client's connection to the program.
pub struct Client {
    reader: BufReader<TcpStream>,
}

impl Client {
    pub fn new(stream: TcpStream) -> Client {
        stream.set_nodelay(true).unwrap();
        stream.set_read_timeout(Some(RECEIVE_TIMEOUT)).unwrap();
        Client { reader: BufReader::new(stream) }
    }
    pub fn send_raw(&mut self, bytes: &[u8]) {
        self.reader.get_ref().write_all(bytes).unwrap();
    }
    /// Submits a job whose client waits for this long, and panics if the connection has failed.
    pub fn submit(&mut self, message: u32, class: &str, timeout_ms: u32) {
        assert!(self.try_submit(message, class, timeout_ms), "the connection has failed");
    }
    /// As [`Client::submit`], but returns whether the request could be written to the connection.
    pub fn try_submit(&mut self, message: u32, class: &str, timeout_ms: u32) -> bool {
        let (id, timeout) = (wire_id(message), timeout_ms.to_string());
        let fields = [("i", id.as_str()), ("d", &timeout), ("h", "100.0"), ("mem", "96")];
        self.reader.get_ref().write_all(&encode_request(message, class, &fields, SELECT)).is_ok()
    }
    /// Sends a health check.
    pub fn request_health(&mut self, message: u32) {
        let mut bytes = vec![0x94, 0];
        encode::write_uint(&mut bytes, message.into()).unwrap();
        bytes.extend(b"\xa6isWell\x91\x80");
        self.send_raw(&bytes);
    }
    /// Sends the cancellation of a request.
    pub fn cancel(&mut self, message: u32) {
        let mut bytes = b"\x93\x02\xa6forget\x91".to_vec();
        encode::write_uint(&mut bytes, message.into()).unwrap();
        self.send_raw(&bytes);
    }
    /// Closes the connection in both directions.
    pub fn disconnect(&self) {
        let _ = self.reader.get_ref().shutdown(Shutdown::Both);
    }
    /// Ends the connection with a reset.
    pub fn reset(self) {
        SockRef::from(self.reader.get_ref()).set_linger(Some(Duration::ZERO)).unwrap();
    }
    /// Reads until the program closes the connection. A reset is an error.
    pub fn read_to_end(&mut self) -> std::io::Result<usize> {
        self.reader.read_to_end(&mut Vec::new())
    }
    /// Reads the next answer and returns it as text: message number, result and fields. Returns `closed` if there is
    /// none.
    pub fn next_answer(&mut self) -> String {
        let reader = &mut self.reader;
        let Ok(4) = decode::read_array_len(reader) else { return "closed".to_string() };
        assert_eq!(decode::read_int::<u8, _>(reader).unwrap(), 1);
        let message: u32 = decode::read_int(reader).unwrap();
        let no_error = reader.fill_buf().unwrap()[0] == 0xc0;
        if no_error {
            decode::read_nil(reader).unwrap();
        }
        assert_eq!(decode::read_array_len(reader).unwrap(), 2);
        let result = match reader.fill_buf().unwrap()[0] {
            0xc2 | 0xc3 => format!("well {}", decode::read_bool(reader).unwrap()),
            0xc4..=0xc6 => {
                let length = decode::read_bin_len(reader).unwrap();
                format!("done {}", read_text(reader, length))
            }
            _ => read_string(reader),
        };
        let mut fields = String::new();
        for _ in 0..decode::read_map_len(reader).unwrap() {
            fields.extend([" ", &read_string(reader), "=", &read_string(reader)]);
        }
        if !no_error {
            decode::read_nil(reader).unwrap();
        }
        format!("{message}: {}{fields}", result.escape_debug())
    }
}

fn read_string(reader: &mut impl Read) -> String {
    let length = decode::read_str_len(reader).unwrap();
    read_text(reader, length)
}

fn read_text(reader: &mut impl Read, length: u32) -> String {
    let mut bytes = vec![0; length as usize];
    reader.read_exact(&mut bytes).unwrap();
    String::from_utf8(bytes).unwrap()
}
