//! A demo engine, event bus and client for trying out pebblevane:
//!
//!     cargo run --example demo engine 127.0.0.1:7101
//!     cargo run --example demo bus 127.0.0.1:7200
//!     cargo run --example demo ask 127.0.0.1:7300 lookup "select * from sales_17.orders"
//!
//! The engine prints each command that it receives, and answers each job with the same few rows after 100 ms. The event
//! bus reads events from standard input, one on each line, and sends them and a heartbeat once a second.

use rmp::{decode, encode};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

fn main() -> io::Result<()> {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    match words[..] {
        ["engine", address] => run_engine(address),
        ["bus", address] => run_event_bus(address),
        ["ask", address, class, statement] => submit_job(address, class, statement),
        _ => Err(io::Error::other("usage: demo engine ADDRESS | bus ADDRESS | ask ADDRESS CLASS STATEMENT")),
    }
}

/// Accepts connections from gateways as an engine.
fn run_engine(address: &str) -> io::Result<()> {
    for stream in TcpListener::bind(address)?.incoming() {
        let stream = stream?;
        std::thread::spawn(move || serve_commands(&stream));
    }
    Ok(())
}

/// Executes the commands that a gateway sends on one connection to the engine.
fn serve_commands(stream: &TcpStream) -> io::Result<()> {
    let writer = Arc::new(Mutex::new(stream.try_clone()?));
    // Holds the lock for a whole message, as several threads write to the connection.
    let respond = |writer: &Mutex<TcpStream>, id: &str, kind: &str, fields: &str, body: &str| {
        let mut writer = writer.lock().expect("no thread panics while it writes");
        write!(writer, "{id} {kind} {fields} {}\r\n{body}\r\n", body.len())
    };
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    while reader.read_line(&mut line)? > 0 {
        let words: Vec<&str> = line.trim_end().split(' ').collect();
        println!("{}", line.trim_end());
        match words[..] {
            ["REQ", id, _, length] => {
                let mut body = vec![0; length.parse::<usize>().map_err(io::Error::other)? + 2];
                reader.read_exact(&mut body)?;
                let (writer, id) = (writer.clone(), id.to_string());
                std::thread::spawn(move || {
                    std::thread::sleep(Duration::from_millis(100));
                    respond(&writer, &id, "HIT", "sheets=2,toil=100.0,room=64", "1\tapples\t3\n2\tpears\t5\n")
                });
            }
            ["FETCH", id, page] => respond(&writer, id, "PART", &format!("sheet={page}"), "3\tplums\t8\n")?,
            ["HELO" | "STAT", tag] => respond(&writer, tag, "PONG", "meter=queue:0;util:0.1", "")?,
            _ => {}
        }
        line.clear();
    }
    Ok(())
}

/// Accepts connections from gateways as the event bus, and reads the events to send from standard input.
fn run_event_bus(address: &str) -> io::Result<()> {
    let events = Arc::new(Mutex::new(Vec::<String>::new()));
    let listener = TcpListener::bind(address)?;
    let events_to_send = events.clone();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let events = events_to_send.clone();
            std::thread::spawn(move || serve_events(&stream, &events));
        }
    });
    for line in io::stdin().lock().lines() {
        events.lock().expect("no thread panics while it holds the events").push(line?);
    }
    // After the end of the input, the other threads continue to send heartbeats.
    loop {
        std::thread::park();
    }
}

/// Sends one gateway all events after the last one that it has received. The first line of standard input is event 2,
/// as event 1 is the endpoint list in the gateway's configuration.
fn serve_events(mut stream: &TcpStream, events: &Mutex<Vec<String>>) -> io::Result<()> {
    let mut line = String::new();
    BufReader::new(stream).read_line(&mut line)?;
    let last_received = line.trim().strip_prefix("from ").and_then(|number| number.parse().ok());
    let mut last_sent: usize = last_received.ok_or_else(|| io::Error::other("expected \"from N\""))?;
    loop {
        let new = events
            .lock()
            .expect("no thread panics while it holds the events")
            .get(last_sent.max(1) - 1..)
            .map(<[_]>::to_vec);
        for event in new.unwrap_or_default() {
            last_sent += 1;
            writeln!(stream, "{event}")?;
        }
        writeln!(stream, "{{\"offset\":{last_sent}}}")?;
        std::thread::sleep(Duration::from_secs(1));
    }
}

/// Submits one job as a client and prints its rows. Fails with the error that the gateway answered.
fn submit_job(address: &str, class: &str, statement: &str) -> io::Result<()> {
    let stream = TcpStream::connect(address)?;
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).map_err(io::Error::other)?;
    let id = format!("{:016x}", now.as_nanos() as u64);
    // A MessagePack-RPC request is an array of four: 0, the message id, the method and the parameters. The method is the
    // job class. The parameters are a map of fields, here the request id and the timeout (ms), and the statement.
    let mut bytes = vec![0x94, 0, 1];
    encode::write_str(&mut bytes, class).map_err(io::Error::other)?;
    bytes.push(0x92);
    encode::write_map_len(&mut bytes, 2).map_err(io::Error::other)?;
    for part in ["i", &id, "d", "10000"] {
        encode::write_str(&mut bytes, part).map_err(io::Error::other)?;
    }
    encode::write_bin(&mut bytes, statement.as_bytes()).map_err(io::Error::other)?;
    (&stream).write_all(&bytes)?;
    // A MessagePack-RPC response is an array of four: 1, the message id, the error or nil, and the result or nil.
    let mut reader = BufReader::new(&stream);
    reader.read_exact(&mut [0; 3])?;
    if reader.fill_buf()?.first() == Some(&0xc0) {
        reader.read_exact(&mut [0; 2])?;
        let length = decode::read_bin_len(&mut reader).map_err(io::Error::other)?;
        let mut rows = vec![0; length as usize];
        reader.read_exact(&mut rows)?;
        return io::stdout().write_all(&rows);
    }
    reader.read_exact(&mut [0; 1])?;
    let mut error = vec![0; decode::read_str_len(&mut reader).map_err(io::Error::other)? as usize];
    reader.read_exact(&mut error)?;
    Err(io::Error::other(String::from_utf8_lossy(&error).into_owned()))
}
