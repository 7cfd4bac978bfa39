//! A worker: runs streams of events and plain requests, and writes what it ran to a file.

use std::fs::File;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::http::{Conn, Message};

/// Tokens of an event.
pub const STRIDE: u64 = 4;

pub struct Worker {
    pub id: String,
    pub slots: u32,
    /// Time between events, and to the first one.
    pub interval: Duration,
    pub file: Mutex<File>,
    pub running: AtomicU32,
    /// It drains while the file PATH.draining exists, and exits once PATH.leave does and nothing runs.
    pub path: String,
}

pub fn wall_ms() -> u128 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_millis())
}

impl Worker {
    fn write(&self, line: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{} {} {line}", wall_ms(), self.id);
    }

    fn is_draining(&self) -> bool {
        std::path::Path::new(&format!("{}.draining", self.path)).exists()
    }

    fn is_leaving(&self) -> bool {
        std::path::Path::new(&format!("{}.leave", self.path)).exists()
    }

    fn headers(&self, id: &str) -> String {
        let close = if self.is_draining() {
            "connection: close\r\n"
        } else {
            ""
        };
        format!(
            "oriolehitch-request-id: {id}\r\noriolehitch-response-seal: {}.{id}\r\n\
             oriolehitch-instance-id: {}\r\noriolehitch-server-load: {},0,{}\r\n{close}",
            self.id,
            self.id,
            self.running.load(Ordering::Relaxed),
            self.slots
        )
    }
}

/// Serves a worker until the process ends.
pub fn run(addr: SocketAddr, worker: Worker) {
    let listener = TcpListener::bind(addr).expect("a free port");
    let worker = Arc::new(worker);
    let leaving = Arc::clone(&worker);
    thread::spawn(move || loop {
        thread::sleep(Duration::from_millis(10));
        if leaving.is_leaving() && leaving.running.load(Ordering::Relaxed) == 0 {
            std::process::exit(0);
        }
    });
    for stream in listener.incoming().flatten() {
        if worker.is_leaving() {
            continue;
        }
        let worker = Arc::clone(&worker);
        thread::spawn(move || serve(stream, &worker));
    }
}

fn serve(stream: TcpStream, worker: &Worker) {
    let mut conn = Conn::new(stream);
    while let Ok(req) = conn.message() {
        worker.running.fetch_add(1, Ordering::Relaxed);
        let kept = respond(&mut conn, worker, &req);
        worker.running.fetch_sub(1, Ordering::Relaxed);
        if kept.is_err() || worker.is_draining() {
            return;
        }
    }
}

fn respond(conn: &mut Conn, worker: &Worker, req: &Message) -> std::io::Result<()> {
    let id = req
        .header("oriolehitch-request-id")
        .unwrap_or_default()
        .to_string();
    if req
        .header("oriolehitch-expect-instance")
        .is_some_and(|e| e != worker.id)
    {
        let headers = format!("oriolehitch-request-id: {id}\r\noriolehitch-not-executed: 1\r\n");
        return conn.respond("421 Misdirected Request", &headers, "");
    }
    let headers = worker.headers(&id);
    if id.is_empty() {
        let status = if worker.is_draining() {
            "503 Service Unavailable"
        } else {
            "200 OK"
        };
        return conn.respond(status, &headers, "");
    }
    let Some(usage) = req.header("oriolehitch-token-usage") else {
        worker.write(&format!("ran {id}"));
        thread::sleep(worker.interval);
        return conn.respond("200 OK", &headers, &format!("{id} by {}", worker.id));
    };
    let (prompt, most) = usage.split_once(',').unwrap_or((usage, "0"));
    worker.write(&format!("ran {id} prompt={prompt}"));
    let events = most.parse::<u64>().unwrap_or(0) / STRIDE;
    let after = req
        .header("last-event-id")
        .and_then(|v| v.parse().ok())
        .unwrap_or(0);
    let head = format!(
        "HTTP/1.1 200 OK\r\n{headers}content-type: text/event-stream\r\n\
         transfer-encoding: chunked\r\n\r\n"
    );
    thread::sleep(worker.interval);
    conn.write(head.as_bytes())?;
    for n in after + 1..=events {
        let event = format!("id: {n}\ndata: piece {n} of {id}\n\n");
        conn.write(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        thread::sleep(worker.interval);
    }
    conn.write(b"0\r\n\r\n")
}
