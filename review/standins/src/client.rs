//! A stand-in for a requester, which reads its answer at a given speed.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::fd::AsRawFd;
use std::thread;
use std::time::{Duration, Instant};

use crate::http;

/// Receive buffer of a requester that reads slowly, in bytes.
const SMALL_RECEIVE_BUFFER: i32 = 32 << 10;
/// Interval of its reads.
const READ_INTERVAL: Duration = Duration::from_millis(20);

/// A channel from which at most `per_sec` bytes are read a second; 0 for no limit.
struct SlowReader {
    stream: TcpStream,
    per_sec: usize,
    began: Instant,
    read: usize,
}

impl Read for SlowReader {
    fn read(&mut self, buf: &mut [u8]) -> io::Result<usize> {
        if self.per_sec == 0 {
            return self.stream.read(buf);
        }
        loop {
            let allowed = (self.began.elapsed().as_millis() as usize) * self.per_sec / 1000;
            if allowed > self.read {
                let n = (allowed - self.read).min(buf.len());
                let n = self.stream.read(&mut buf[..n])?;
                self.read += n;
                return Ok(n);
            }
            thread::sleep(READ_INTERVAL);
        }
    }
}

/// What a requester has seen of an answer.
pub struct Answer {
    pub status: u16,
    pub seal: bool,
    /// `Content-Length`, `chunks` or `end of channel`: what ends the body.
    pub framing: String,
    pub body: Vec<u8>,
    /// Whether the answer has come to its end by the rules of HTTP.
    pub complete: bool,
    /// How the reading ended.
    pub end: String,
    pub ms: u128,
}

impl Answer {
    pub fn describe(&self) -> String {
        format!(
            "status {}, seal {}, body framed by {}, {} bytes read, {} ({}) after {} ms",
            self.status,
            if self.seal { "yes" } else { "no" },
            self.framing,
            self.body.len(),
            if self.complete {
                "complete"
            } else {
                "incomplete"
            },
            self.end,
            self.ms
        )
    }
}

/// Sends a request and reads the answer.
pub fn request(
    addr: SocketAddr,
    method: &str,
    path: &str,
    id: &str,
    deadline_ms: u64,
    body: &[u8],
    per_sec: usize,
) -> io::Result<Answer> {
    let mut stream = TcpStream::connect(addr)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_secs(30)))?;
    if per_sec > 0 {
        set_receive_buffer(&stream, SMALL_RECEIVE_BUFFER);
    }
    let began = Instant::now();
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: desk.example\r\nOriolehitch-Request-Id: {id}\r\n\
         Oriolehitch-Deadline-Ms: {deadline_ms}\r\nAuthorization: Bearer key-of-grower\r\n\
         Content-Length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes())?;
    stream.write_all(body)?;
    let slow = SlowReader {
        stream,
        per_sec,
        began,
        read: 0,
    };
    let mut reader = BufReader::with_capacity(8 << 10, slow);
    let mut answer = Answer {
        status: 0,
        seal: false,
        framing: "nothing".to_string(),
        body: Vec::new(),
        complete: false,
        end: "channel closed before the head".to_string(),
        ms: 0,
    };
    if let Some(head) = http::read_head(&mut reader)? {
        answer.status = head
            .first
            .split(' ')
            .nth(1)
            .and_then(|s| s.parse().ok())
            .unwrap_or(0);
        answer.seal = head.header("oriolehitch-response-seal").is_some();
        let length = head
            .header("content-length")
            .and_then(|v| v.parse::<usize>().ok());
        if head
            .header("transfer-encoding")
            .is_some_and(|v| v.contains("chunked"))
        {
            answer.framing = "chunks".to_string();
            (answer.complete, answer.end) = read_chunks(&mut reader, &mut answer.body);
        } else if let Some(length) = length {
            answer.framing = format!("Content-Length {length}");
            (answer.complete, answer.end) = read_length(&mut reader, &mut answer.body, length);
        } else {
            answer.framing = "end of channel".to_string();
            let end = reader.read_to_end(&mut answer.body);
            answer.complete = end.is_ok();
            answer.end = format!("{end:?}");
        }
    }
    answer.ms = began.elapsed().as_millis();
    Ok(answer)
}

fn read_chunks(reader: &mut impl BufRead, body: &mut Vec<u8>) -> (bool, String) {
    loop {
        let mut line = String::new();
        match reader.read_line(&mut line) {
            Ok(0) => return (false, "channel closed between two chunks".to_string()),
            Err(e) => return (false, e.to_string()),
            Ok(_) => {}
        }
        let Ok(size) = usize::from_str_radix(line.trim(), 16) else {
            return (false, format!("not a chunk: {line:?}"));
        };
        let at = body.len();
        if size == 0 {
            let _ = reader.read_line(&mut line);
            return (true, "last chunk of length 0".to_string());
        }
        body.resize(at + size, 0);
        if let Err(e) = reader.read_exact(&mut body[at..]) {
            body.truncate(at);
            return (false, format!("within a chunk: {e}"));
        }
        let mut crlf = [0; 2];
        if let Err(e) = reader.read_exact(&mut crlf) {
            return (false, format!("after a chunk: {e}"));
        }
    }
}

fn read_length(reader: &mut impl BufRead, body: &mut Vec<u8>, length: usize) -> (bool, String) {
    let mut buf = vec![0; 8 << 10];
    while body.len() < length {
        let n = buf.len().min(length - body.len());
        match reader.read(&mut buf[..n]) {
            Ok(0) => return (false, "channel closed within the body".to_string()),
            Ok(n) => body.extend_from_slice(&buf[..n]),
            Err(e) => return (false, e.to_string()),
        }
    }
    (true, "all bytes of the length".to_string())
}

fn set_receive_buffer(stream: &TcpStream, bytes: i32) {
    extern "C" {
        fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, len: u32) -> i32;
    }
    const SOL_SOCKET: i32 = 1;
    const SO_RCVBUF: i32 = 8;
    unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_RCVBUF, &bytes, 4) };
}
