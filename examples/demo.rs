//! A demo engine, a demo event bus and a demo client, to try the workload manager with:
//!
//!     cargo run --example demo engine 127.0.0.1:7101
//!     cargo run --example demo bus 127.0.0.1:7200
//!     cargo run --example demo ask 127.0.0.1:7300 lookup "select * from sales_17.orders"
//!
//! The engine answers each job with a few rows after a moment. The bus passes on the events that it reads from
//! standard input, a line each, and beats once a second.

use rmp::{decode, encode};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

fn main() -> io::Result<()> {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    match words[..] {
        ["engine", address] => engine(address),
        ["bus", address] => bus(address),
        ["ask", address, class, statement] => ask(address, class, statement),
        _ => Err(io::Error::other("wanted: engine ADDRESS | bus ADDRESS | ask ADDRESS TYPE STATEMENT")),
    }
}

fn engine(address: &str) -> io::Result<()> {
    for stream in TcpListener::bind(address)?.incoming() {
        let stream = stream?;
        std::thread::spawn(move || commands(&stream));
    }
    Ok(())
}

/// Carries out the commands of one connection.
fn commands(stream: &TcpStream) -> io::Result<()> {
    let to = Arc::new(Mutex::new(stream.try_clone()?));
    let say = |to: &Mutex<TcpStream>, id: &str, word: &str, fields: &str, page: &str| {
        let mut to = to.lock().expect("nobody panics while writing");
        write!(to, "{id} {word} {fields} {}\r\n{page}\r\n", page.len())
    };
    let mut from = BufReader::new(stream);
    let mut line = String::new();
    while from.read_line(&mut line)? > 0 {
        let words: Vec<&str> = line.trim_end().split(' ').collect();
        println!("{}", line.trim_end());
        match words[..] {
            ["REQ", id, _, length] => {
                let mut body = vec![0; length.parse::<usize>().map_err(io::Error::other)? + 2];
                from.read_exact(&mut body)?;
                let (to, id) = (to.clone(), id.to_string());
                std::thread::spawn(move || {
                    std::thread::sleep(Duration::from_millis(100));
                    say(&to, &id, "HIT", "sheets=2,toil=100.0,room=64", "1\tapples\t3\n2\tpears\t5\n")
                });
            }
            ["FETCH", id, page] => say(&to, id, "PART", &format!("sheet={page}"), "3\tplums\t8\n")?,
            ["HELO" | "STAT", tag] => say(&to, tag, "PONG", "meter=queue:0;util:0.1", "")?,
            _ => {}
        }
        line.clear();
    }
    Ok(())
}

fn bus(address: &str) -> io::Result<()> {
    let events = Arc::new(Mutex::new(Vec::<String>::new()));
    let listener = TcpListener::bind(address)?;
    let told = events.clone();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let told = told.clone();
            std::thread::spawn(move || follow(&stream, &told));
        }
    });
    for line in io::stdin().lock().lines() {
        events.lock().expect("nobody panics with the events").push(line?);
    }
    // Without further events it goes on beating.
    loop {
        std::thread::park();
    }
}

/// Tells one workload manager all events after the one that it has. The configuration holds event 1.
fn follow(mut stream: &TcpStream, events: &Mutex<Vec<String>>) -> io::Result<()> {
    let mut line = String::new();
    BufReader::new(stream).read_line(&mut line)?;
    let from = line.trim().strip_prefix("from ").and_then(|last| last.parse().ok());
    let mut last: usize = from.ok_or_else(|| io::Error::other("wanted: from N"))?;
    loop {
        let new =
            events.lock().expect("nobody panics with the events").get(last.max(1) - 1..).map(<[_]>::to_vec);
        for event in new.unwrap_or_default() {
            last += 1;
            writeln!(stream, "{event}")?;
        }
        writeln!(stream, "{{\"offset\":{last}}}")?;
        std::thread::sleep(Duration::from_secs(1));
    }
}

fn ask(address: &str, class: &str, statement: &str) -> io::Result<()> {
    let stream = TcpStream::connect(address)?;
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).map_err(io::Error::other)?;
    let id = format!("{:016x}", now.as_nanos() as u64);
    let mut bytes = vec![0x94, 0, 1];
    encode::write_str(&mut bytes, class).map_err(io::Error::other)?;
    bytes.push(0x92);
    encode::write_map_len(&mut bytes, 2).map_err(io::Error::other)?;
    for part in ["i", &id, "d", "10000"] {
        encode::write_str(&mut bytes, part).map_err(io::Error::other)?;
    }
    encode::write_bin(&mut bytes, statement.as_bytes()).map_err(io::Error::other)?;
    (&stream).write_all(&bytes)?;
    // An answer is a list of four: 1, the message id, the error or nil, and the result or nil.
    let mut from = BufReader::new(&stream);
    from.read_exact(&mut [0; 3])?;
    if from.fill_buf()?.first() == Some(&0xc0) {
        from.read_exact(&mut [0; 2])?;
        let length = decode::read_bin_len(&mut from).map_err(io::Error::other)?;
        let mut rows = vec![0; length as usize];
        from.read_exact(&mut rows)?;
        return io::stdout().write_all(&rows);
    }
    from.read_exact(&mut [0; 1])?;
    let mut word = vec![0; decode::read_str_len(&mut from).map_err(io::Error::other)? as usize];
    from.read_exact(&mut word)?;
    Err(io::Error::other(String::from_utf8_lossy(&word).into_owned()))
}
