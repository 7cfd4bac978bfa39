//! A stand-in for a worker of a plain service: it runs each request once, at once, and answers with a whole
//! body of a given size.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;

use crate::fleet::Record;
use crate::http;

pub struct Worker {
    pub id: String,
    pub addr: SocketAddr,
    /// The ids of the requests that it has run.
    pub ran: Arc<Mutex<Vec<String>>>,
}

/// Returns the body of the answer to a request.
pub fn body_for(id: &str, bytes: usize) -> Vec<u8> {
    let line = format!("answer to {id};");
    line.bytes().cycle().take(bytes).collect()
}

impl Worker {
    /// Starts a worker whose answers have `bytes` bytes.
    pub fn start(id: &str, bytes: usize, record: &Record) -> Worker {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = listener.local_addr().expect("bound");
        let ran = Arc::new(Mutex::new(Vec::new()));
        let (name, runs, record) = (id.to_string(), Arc::clone(&ran), record.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (name, runs, record) = (name.clone(), Arc::clone(&runs), record.clone());
                thread::spawn(move || {
                    let _ = serve(stream, &name, bytes, &runs, &record);
                });
            }
        });
        Worker {
            id: id.to_string(),
            addr,
            ran,
        }
    }

    /// Returns its entry in the store.
    pub fn entry(&self, service: &str, zone: &str) -> String {
        format!(
            r#"{{"Service":"{service}","Address":"{}","Zone":"{zone}","Version":"v1","Slots":6,"State":"ready","ColdRemainingMs":0,"Sequence":1}}"#,
            self.addr
        )
    }
}

fn serve(
    stream: TcpStream,
    name: &str,
    bytes: usize,
    runs: &Mutex<Vec<String>>,
    record: &Record,
) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some(req) = http::read_request(&mut reader)? {
        if req.first.starts_with("GET /health ") {
            let head = format!(
                "HTTP/1.1 200 OK\r\nOriolehitch-Instance-Id: {name}\r\nContent-Length: 0\r\n\r\n"
            );
            writer.write_all(head.as_bytes())?;
            continue;
        }
        let id = req
            .header("oriolehitch-request-id")
            .unwrap_or_default()
            .to_string();
        if req
            .header("oriolehitch-expect-instance")
            .is_some_and(|i| i != name)
        {
            writer.write_all(b"HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n")?;
            continue;
        }
        runs.lock().unwrap().push(id.clone());
        let deadline = req.header("oriolehitch-deadline-ms").unwrap_or("-");
        record.line(&format!(
            "worker {name} runs {id}: {} (Deadline-Ms {deadline})",
            req.first
        ));
        let head = format!(
            "HTTP/1.1 200 OK\r\nOriolehitch-Request-Id: {id}\r\nOriolehitch-Response-Seal: seal-of-{id}\r\n\
             Oriolehitch-Server-Load: 1,0,6\r\nContent-Length: {bytes}\r\n\r\n"
        );
        writer.write_all(head.as_bytes())?;
        match writer.write_all(&body_for(&id, bytes)) {
            Ok(()) => record.line(&format!(
                "worker {name} has sent its whole answer to {id}: {bytes} bytes"
            )),
            Err(e) => {
                record.line(&format!(
                    "worker {name}: its answer to {id} was cut by the other side: {e}"
                ));
                return Err(e);
            }
        }
    }
    Ok(())
}
