//! The record, the instances as processes, and the platform's files for them.

use std::fs::File;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// What was sent, answered and run, with the milliseconds since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Record {
        let file = File::create(path).expect("record.txt can be written");
        Record {
            file: Arc::new(Mutex::new(file)),
            start: Instant::now(),
        }
    }

    pub fn line(&self, text: &str) {
        let ms = self.start.elapsed().as_millis();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{ms:>6} ms  {text}");
        println!("{ms:>6} ms  {text}");
    }
}

/// A process of the project's program, which is killed on drop.
pub struct Instance {
    child: Child,
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
}

impl Instance {
    /// Sends a signal, as the platform does.
    pub fn signal(&self, signal: i32) {
        extern "C" {
            fn kill(pid: i32, signal: i32) -> i32;
        }
        unsafe { kill(self.child.id() as i32, signal) };
    }

    /// Returns the exit status once the process has ended.
    pub fn exited(&mut self) -> Option<std::process::ExitStatus> {
        self.child.try_wait().expect("a child")
    }

    pub fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(self.ready) else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
        let req = "GET /oriolehitch/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        let _ = stream.write_all(req.as_bytes());
        let mut buf = [0; 12];
        stream.read_exact(&mut buf).is_ok() && buf.ends_with(b"200")
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The folder for the settings and logs of the instances, which is removed on drop.
pub struct Files {
    pub dir: PathBuf,
}

impl Files {
    pub fn create() -> Files {
        let dir = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&dir).expect("a temporary folder");
        Files { dir }
    }

    /// Starts an instance with the command and the fields of the deploy file and of its template. The
    /// system picks the ports; the instance's first log line names them.
    pub fn start(&self, name: &str, zone: &str, store: SocketAddr, memory_mb: u64) -> Instance {
        let settings = format!(
            r#"{{"name":"{name}","region":"reykjanes","zone":"{zone}","platform":"http://{store}",
            "listen":"127.0.0.1:0","peer_listen":"127.0.0.1:0","peers":[],"log":"json","writes_per_sec":400,
            "dialect":"platform","fleet":{{"ready_listen":"127.0.0.1:0","metrics_listen":"127.0.0.1:0",
            "transit_listen":"127.0.0.1:0","stop_secs":8,"retry_ratio":0.2,"retry_window_secs":10,
            "retry_slack":58,"link_mbps":1000.0,"memory_mb":{memory_mb},
            "zones":{{"hall-keflavik":"reykjanes","hall-grindavik":"reykjanes","hall-sandgerdi":"reykjanes"}},
            "lease_least_ms":1000}}}}"#
        );
        let file = self.dir.join(format!("{name}.json"));
        std::fs::write(&file, settings).expect("settings can be written");
        let log = self.dir.join(format!("{name}.log"));
        let child = Command::new("target/release/oriolehitch")
            .args(["serve", "--settings"])
            .arg(&file)
            .stdout(File::create(&log).expect("a log file"))
            .stderr(File::create(log.with_extension("err")).expect("a log file"))
            .spawn()
            .expect("the program of the deploy file is built");
        let until = Instant::now() + Duration::from_secs(20);
        loop {
            assert!(Instant::now() < until, "{name} has not started");
            thread::sleep(Duration::from_millis(20));
            let text = std::fs::read_to_string(&log).unwrap_or_default();
            let Some(line) = text.lines().find(|l| l.contains("\"event\":2001")) else {
                continue;
            };
            let addr = |key: &str| -> SocketAddr {
                let at = line.find(key).expect("a listener") + key.len();
                let end = line[at..].find([' ', '"']).expect("an end") + at;
                line[at..end].parse().expect("an address")
            };
            return Instance {
                child,
                name: name.to_string(),
                front: addr("callers="),
                ready: addr("ready="),
            };
        }
    }
}

impl Drop for Files {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.dir);
        }
    }
}

/// Waits for a condition; returns whether it came in time.
pub fn wait_for(secs: u64, mut condition: impl FnMut() -> bool) -> bool {
    let until = Instant::now() + Duration::from_secs(secs);
    while Instant::now() < until {
        if condition() {
            return true;
        }
        thread::sleep(Duration::from_millis(50));
    }
    false
}
