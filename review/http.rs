//! HTTP/1.1 messages over blocking sockets.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

/// The head and body of a request or an answer.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// The first line.
    pub line: String,
    /// Names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body came to its end.
    pub is_whole: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|it| it.0 == name).map(|it| it.1.as_str())
    }

    /// The path and query of a request.
    pub fn path(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or_default()
    }

    /// The status of an answer.
    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|it| it.parse().ok()).unwrap_or(0)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads the head of a message; `None` at the end of the connection.
fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    if reader.read_line(&mut message.line)? == 0 {
        return Ok(None);
    }
    message.line = message.line.trim_end().to_string();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some(message));
        }
        if let Some((name, value)) = line.split_once(':') {
            message.headers.push((name.to_ascii_lowercase(), value.trim().to_string()));
        }
    }
}

fn read_body(reader: &mut impl BufRead, message: &mut Message, ends_open: bool) -> io::Result<()> {
    if message.header("transfer-encoding").is_some_and(|it| it.contains("chunked")) {
        loop {
            let mut size = String::new();
            reader.read_line(&mut size)?;
            let size = usize::from_str_radix(size.trim(), 16).map_err(io::Error::other)?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            message.body.extend_from_slice(&chunk[..size]);
            if size == 0 {
                break;
            }
        }
    } else if let Some(length) = message.header("content-length").and_then(|it| it.parse().ok()) {
        message.body = vec![0; length];
        reader.read_exact(&mut message.body)?;
    } else if ends_open {
        reader.read_to_end(&mut message.body)?;
    }
    message.is_whole = true;
    Ok(())
}

/// What a server does after an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Then {
    Keep,
    Close,
}

/// Serves connections on threads of their own until the process ends. The handler writes its answers.
pub fn serve(
    listener: TcpListener,
    handler: impl Fn(&Message, &mut TcpStream) -> io::Result<Then> + Clone + Send + 'static,
) {
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(stream) = stream else { continue };
            let handler = handler.clone();
            thread::spawn(move || drop(serve_connection(stream, handler)));
        }
    });
}

fn serve_connection(
    stream: TcpStream,
    handler: impl Fn(&Message, &mut TcpStream) -> io::Result<Then>,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some(mut request) = read_head(&mut reader)? {
        read_body(&mut reader, &mut request, false)?;
        if handler(&request, &mut writer)? == Then::Close {
            break;
        }
    }
    Ok(())
}

/// Writes an answer with a length.
pub fn write_answer(
    writer: &mut impl Write,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut head = format!("HTTP/1.1 {status} Status\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    writer.write_all(&[head.as_bytes(), body].concat())
}

/// Sends one request on a new connection and reads the answer. An error after the head of the answer
/// leaves a body that is not whole.
pub fn send(
    address: SocketAddr,
    line: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> io::Result<Message> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    let mut head = format!("{line} HTTP/1.1\r\nConnection: close\r\n");
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    if !body.is_empty() {
        head.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    head.push_str("\r\n");
    let mut writer = stream.try_clone()?;
    writer.write_all(&[head.as_bytes(), body].concat())?;
    let mut reader = BufReader::new(stream);
    let mut answer = read_head(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    // The caller looks at `is_whole`.
    let _ = read_body(&mut reader, &mut answer, true);
    Ok(answer)
}
