//! Starts the processes of a small deployment, and ends them.

use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::Conn;
use crate::json::{base64, quote};

/// A process, which is killed on drop.
pub struct Process(pub Child);

impl Process {
    /// Sends a signal by its name.
    pub fn signal(&self, name: &str) {
        let command = format!("kill -s {name} {}", self.0.id());
        let _ = Command::new("sh").args(["-c", &command]).status();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

pub fn free_addr() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("an address")
}

pub struct Instance {
    _process: Process,
    pub front: SocketAddr,
    pub ready: SocketAddr,
}

/// What a deployment's processes need.
pub struct Fleet {
    pub dir: PathBuf,
    pub store: SocketAddr,
    _store: Process,
}

/// Starts this program itself with a role.
pub fn stand_in(args: &[String]) -> Process {
    let own = std::env::current_exe().expect("the path of this program");
    let child = Command::new(own).args(args).spawn();
    Process(child.expect("the stand-in starts"))
}

pub fn wait_for(what: &str, timeout: Duration, mut done: impl FnMut() -> bool) {
    let until = Instant::now() + timeout;
    while !done() {
        if Instant::now() > until {
            panic!("no {what} in time");
        }
        thread::sleep(Duration::from_millis(20));
    }
}

pub fn listens(addr: SocketAddr) -> bool {
    Conn::connect(addr, Duration::from_millis(200)).is_ok()
}

impl Fleet {
    pub fn start(dir: PathBuf) -> Fleet {
        fs::create_dir_all(&dir).expect("a folder for settings");
        let store = free_addr();
        let process = stand_in(&["store".to_string(), store.to_string()]);
        wait_for("store", Duration::from_secs(5), || listens(store));
        Fleet {
            dir,
            store,
            _store: process,
        }
    }

    /// Writes or removes a key as the operator or a worker does.
    pub fn put(&self, key: &str, value: Option<&str>) {
        let body = match value {
            Some(value) => format!(
                "{{\"SetKeys\":[{{\"Key\":{},\"Value\":{},\"Lease\":0}}]}}",
                quote(key),
                quote(&base64(value.as_bytes()))
            ),
            None => format!("{{\"Remove\":[{}]}}", quote(key)),
        };
        let mut conn = Conn::connect(self.store, Duration::from_secs(1)).expect("the store");
        let head = format!(
            "POST /oriolehitch/kv-txn HTTP/1.1\r\nhost: store\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        conn.write((head + &body).as_bytes())
            .expect("the store reads");
        assert_eq!(conn.message().expect("an answer").status(), 200);
    }

    /// Starts an instance with the command of the deploy file, and settings like its template makes.
    pub fn instance(&self, name: &str, seeds: &[SocketAddr], control: SocketAddr) -> Instance {
        let (front, ready, metrics, transit) = (free_addr(), free_addr(), free_addr(), free_addr());
        let seeds: Vec<String> = seeds.iter().map(|s| format!("\"{s}\"")).collect();
        let settings = format!(
            r#"{{"name":"{name}","region":"r","zone":"z","platform":"http://{}","listen":"{front}",
"peer_listen":"{control}","peers":[{}],"log":"json","writes_per_sec":400,"dialect":"platform",
"fleet":{{"ready_listen":"{ready}","metrics_listen":"{metrics}","transit_listen":"{transit}",
"stop_secs":8,"retry_ratio":0.2,"retry_window_secs":10,"retry_slack":58,"link_mbps":1000.0,
"memory_mb":110,"max_fds":4100,"zones":{{"z":"r"}},"lease_least_ms":1000}}}}"#,
            self.store,
            seeds.join(",")
        );
        let file = self.dir.join(format!("{name}.json"));
        fs::write(&file, settings).expect("the settings are written");
        let log = File::create(self.dir.join(format!("{name}.log"))).expect("a log");
        let child = Command::new("target/release/oriolehitch")
            .arg("serve")
            .arg("--settings")
            .arg(&file)
            .stdout(Stdio::from(log))
            .spawn();
        let process = match child {
            Ok(child) => Process(child),
            Err(why) => panic!("the program does not start: {why}"),
        };
        Instance {
            _process: process,
            front,
            ready,
        }
    }

    pub fn wait_ready(&self, instance: &Instance) {
        wait_for("ready instance", Duration::from_secs(15), || {
            is_ready(instance.ready)
        });
    }
}

fn is_ready(addr: SocketAddr) -> bool {
    let Ok(mut conn) = Conn::connect(addr, Duration::from_millis(200)) else {
        return false;
    };
    let _ = conn.stream.set_read_timeout(Some(Duration::from_secs(1)));
    let sent = conn.write(b"GET /oriolehitch/readiness HTTP/1.1\r\nhost: x\r\n\r\n");
    sent.is_ok() && conn.message().is_ok_and(|m| m.status() == 200)
}
