//! HTTP/1.1 messages over blocking sockets.

use std::io::{Error, ErrorKind, Read, Result, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A request or response, with its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n == name);
        found.map(|(_, v)| v.as_str())
    }

    pub fn status(&self) -> u16 {
        let code = self.first.split(' ').nth(1).unwrap_or_default();
        code.parse().unwrap_or(0)
    }
}

/// A connection with what was read ahead.
pub struct Conn {
    pub stream: TcpStream,
    buf: Vec<u8>,
}

impl Conn {
    pub fn new(stream: TcpStream) -> Conn {
        let _ = stream.set_nodelay(true);
        Conn {
            stream,
            buf: Vec::new(),
        }
    }

    pub fn connect(addr: SocketAddr, timeout: Duration) -> Result<Conn> {
        TcpStream::connect_timeout(&addr, timeout).map(Conn::new)
    }

    fn fill(&mut self) -> Result<usize> {
        let mut chunk = [0; 16384];
        let n = self.stream.read(&mut chunk)?;
        self.buf.extend_from_slice(&chunk[..n]);
        Ok(n)
    }

    /// Reads a line, without its end.
    fn line(&mut self) -> Result<String> {
        loop {
            if let Some(i) = self.buf.iter().position(|b| *b == b'\n') {
                let line: Vec<u8> = self.buf.drain(..=i).collect();
                return Ok(String::from_utf8_lossy(&line).trim_end().to_string());
            }
            if self.fill()? == 0 {
                return Err(ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Reads this number of bytes.
    pub fn take(&mut self, n: usize) -> Result<Vec<u8>> {
        self.exact(n)
    }

    fn exact(&mut self, n: usize) -> Result<Vec<u8>> {
        while self.buf.len() < n {
            if self.fill()? == 0 {
                return Err(ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buf.drain(..n).collect())
    }

    /// Reads a head.
    pub fn head(&mut self) -> Result<Message> {
        let mut m = Message {
            first: self.line()?,
            ..Message::default()
        };
        loop {
            let line = self.line()?;
            if line.is_empty() {
                return Ok(m);
            }
            let (name, value) = line.split_once(':').unwrap_or((&line, ""));
            m.headers
                .push((name.to_ascii_lowercase(), value.trim().to_string()));
        }
    }

    /// Reads the next chunk of a body in chunks; empty at its end.
    pub fn chunk(&mut self) -> Result<Vec<u8>> {
        let size = self.line()?;
        let size = usize::from_str_radix(size.split(';').next().unwrap_or(""), 16);
        let size = size.map_err(|_| Error::from(ErrorKind::InvalidData))?;
        let chunk = self.exact(size)?;
        self.line()?;
        Ok(chunk)
    }

    /// Reads a message with its whole body.
    pub fn message(&mut self) -> Result<Message> {
        let mut m = self.head()?;
        if m.header("transfer-encoding").is_some() {
            loop {
                let chunk = self.chunk()?;
                if chunk.is_empty() {
                    break;
                }
                m.body.extend(chunk);
            }
        } else if let Some(n) = m.header("content-length").and_then(|n| n.parse().ok()) {
            m.body = self.exact(n)?;
        }
        Ok(m)
    }

    pub fn write(&mut self, bytes: &[u8]) -> Result<()> {
        self.stream.write_all(bytes)
    }

    pub fn respond(&mut self, status: &str, headers: &str, body: &str) -> Result<()> {
        let n = body.len();
        self.write(
            format!("HTTP/1.1 {status}\r\n{headers}content-length: {n}\r\n\r\n{body}").as_bytes(),
        )
    }
}
