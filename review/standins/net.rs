//! HTTP over blocking sockets, for the stand-ins and the callers.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// A request or response. `first_line` is the request line or the status line.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers.find(|(known, _)| known.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }

    /// Method and target of a request.
    pub fn request(&self) -> (&str, &str) {
        let mut words = self.first_line.split(' ');
        (words.next().unwrap_or_default(), words.next().unwrap_or_default())
    }

    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

/// Reads a message with a length. `buffer` keeps the bytes after it. Returns none if the connection ends before it does.
pub fn read_message(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Message> {
    let mut message = read_head(stream, buffer)?;
    read_body(stream, buffer, &mut message)?;
    Some(message)
}

/// Reads the head of a message.
pub fn read_head(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Message> {
    let size = loop {
        if let Some(at) = buffer.windows(4).position(|window| window == b"\r\n\r\n") {
            break at + 4;
        }
        fill(stream, buffer)?;
    };
    let head = String::from_utf8_lossy(&buffer[..size]).into_owned();
    buffer.drain(..size);
    let mut lines = head.split("\r\n");
    let first_line = lines.next().unwrap_or_default().to_owned();
    let headers = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()))
        .collect();
    Some(Message { first_line, headers, body: Vec::new() })
}

/// Reads the body that follows a head.
pub fn read_body(stream: &mut TcpStream, buffer: &mut Vec<u8>, message: &mut Message) -> Option<()> {
    let length = message.header("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
    while buffer.len() < length {
        fill(stream, buffer)?;
    }
    message.body = buffer.drain(..length).collect();
    Some(())
}

fn fill(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<()> {
    let mut bytes = [0; 16_384];
    match stream.read(&mut bytes) {
        Ok(0) | Err(_) => None,
        Ok(count) => {
            buffer.extend_from_slice(&bytes[..count]);
            Some(())
        }
    }
}

/// Writes a message with its length.
pub fn write_message(
    stream: &mut TcpStream,
    first_line: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> std::io::Result<()> {
    let mut out = format!("{first_line}\r\n");
    for (name, value) in headers {
        out.push_str(&format!("{name}: {value}\r\n"));
    }
    out.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = out.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// Sends a request on a new connection and reads its response.
pub fn call(
    address: SocketAddr,
    first_line: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> Result<Message, String> {
    let started = Instant::now();
    let mut stream =
        TcpStream::connect_timeout(&address, Duration::from_secs(1)).map_err(|e| e.to_string())?;
    stream.set_nodelay(true).map_err(|e| e.to_string())?;
    stream.set_read_timeout(Some(limit)).map_err(|e| e.to_string())?;
    write_message(&mut stream, first_line, headers, body).map_err(|e| e.to_string())?;
    read_message(&mut stream, &mut Vec::new())
        .ok_or_else(|| format!("no complete answer after {} ms", started.elapsed().as_millis()))
}

/// Returns an address on the given loopback IP whose port is free.
pub fn free_address(ip: &str) -> std::io::Result<SocketAddr> {
    TcpListener::bind(format!("{ip}:0"))?.local_addr()
}
