//! A runner as a process of its own. It answers without a length, and ends its answers with their connections.

use std::{
    io::{Read, Write},
    net::{TcpListener, TcpStream},
    time::Duration,
};

/// The body of a sound answer, in two parts.
pub const FIRST_PART: &str = "a quote of 120.00, ";
pub const SECOND_PART: &str = "valid until noon";
/// The path of requests whose answers pause for longer.
pub const LONG: &str = "/quote/long";
const LONG_PAUSE: Duration = Duration::from_millis(1_000);
const PAUSE: Duration = Duration::from_millis(60);

/// Serves on `address` as the runner `id`; never returns.
pub fn run(address: &str, id: &str) -> std::io::Result<()> {
    let listener = TcpListener::bind(address)?;
    for stream in listener.incoming() {
        let (stream, id) = (stream?, id.to_owned());
        std::thread::Builder::new().stack_size(64 << 10).spawn(move || serve(stream, &id))?;
    }
    Ok(())
}

fn serve(mut stream: TcpStream, id: &str) {
    let mut bytes = Vec::new();
    let mut part = [0; 4 << 10];
    while !bytes.windows(4).any(|window| window == b"\r\n\r\n") {
        match stream.read(&mut part) {
            Ok(count) if count > 0 => bytes.extend_from_slice(&part[..count]),
            _ => return,
        }
    }
    let head = String::from_utf8_lossy(&bytes).to_lowercase();
    let header = |name: &str| {
        let mut lines = head.lines().filter_map(|line| line.split_once(':'));
        lines.find(|(key, _)| *key == name).map(|(_, value)| value.trim().to_owned()).unwrap_or_default()
    };
    let start = format!("X-Request-Id: {}\r\nX-Instance-Id: {id}\r\n", header("x-request-id"));
    if header("x-expected-instance") != id {
        let refusal = format!(
            "HTTP/1.1 421 Misdirected Request\r\n{start}X-Not-Executed: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
        );
        let _ = stream.write_all(refusal.as_bytes());
        return;
    }
    let answer = format!(
        "HTTP/1.1 200 OK\r\n{start}X-Server-Signature: sig-{id}\r\nConnection: close\r\n\r\n{FIRST_PART}"
    );
    let _ = stream.write_all(answer.as_bytes());
    // Whoever wants a crash kills the process meanwhile.
    std::thread::sleep(if head.starts_with(&format!("get {LONG} ")) { LONG_PAUSE } else { PAUSE });
    let _ = stream.write_all(SECOND_PART.as_bytes());
}
