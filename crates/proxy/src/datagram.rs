//! Datagrams between instances: what each has at the upstreams, and what requests have spent.
//!
//! An upstream's own report is late, and each instance sees a part of its requests only: without the former
//! several instances send long prompts to one engine at the same time. A lost datagram costs one
//! round; nothing depends on it.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use clock::Clock;
use place::{Held, Pool};
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;
use tokio::time::sleep;

use crate::bank::{Bank, Settled};
use crate::fleet::Fleet;

/// Pause between two rounds of a small fleet: a long prompt is read in some hundred milliseconds.
const ROUND: Duration = Duration::from_millis(80);
/// A fleet of more instances than this has longer rounds, so that each sends as many datagrams a
/// second.
const SMALL_FLEET: usize = 9;
/// Largest datagram that is read, in bytes.
const DATAGRAM_MOST: usize = 16 << 10;

/// What one instance sends to another.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum Datagram {
    /// What it has at the upstreams.
    Loads(Word),
    /// What requests have spent and left of budgets.
    Settled(Vec<Settled>),
}

impl Datagram {
    pub(crate) fn to_bytes(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("numbers and texts that JSON can hold")
    }
}

/// One instance's word on the upstreams.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct Word {
    from: u64,
    /// Upstreams by the hash of their names, with milliseconds of reading and requests there.
    held: Vec<(u64, u32, u32)>,
}

/// Binds the socket.
///
/// # Errors
///
/// Returns why the address can't be bound.
pub(crate) async fn bind(addr: SocketAddr) -> std::io::Result<UdpSocket> {
    UdpSocket::bind(addr).await
}

/// Tells the others, and listens to them.
pub(crate) fn spawn(
    socket: Arc<UdpSocket>,
    pool: Arc<Mutex<Pool>>,
    bank: Bank,
    fleet: Fleet,
    clock: Clock,
) {
    tokio::spawn(listen(Arc::clone(&socket), Arc::clone(&pool), bank, clock));
    tokio::spawn(tell(socket, pool, fleet, clock));
}

async fn tell(socket: Arc<UdpSocket>, pool: Arc<Mutex<Pool>>, fleet: Fleet, clock: Clock) {
    let from = rand::random();
    let mut silent = false;
    loop {
        let others = fleet.others();
        let rounds = (others.len() / SMALL_FLEET + 1) as u32;
        sleep(ROUND * rounds).await;
        let held = pool.lock().expect("no panic inside").held(clock.now());
        // An instance that has nothing says so once.
        if held.is_empty() && silent {
            continue;
        }
        silent = held.is_empty();
        let row = |(hash, h): (u64, Held)| (hash, h.reading_ms as u32, h.inflight);
        let word = Word {
            from,
            held: held.into_iter().map(row).collect(),
        };
        let bytes = Datagram::Loads(word).to_bytes();
        for other in others {
            // A datagram that can't be sent is as good as a lost one.
            let _ = socket.try_send_to(&bytes, other.addr);
        }
    }
}

async fn listen(socket: Arc<UdpSocket>, pool: Arc<Mutex<Pool>>, bank: Bank, clock: Clock) {
    let mut buf = vec![0; DATAGRAM_MOST];
    loop {
        // An error here is another instance's closed port, told by its host.
        let Ok((n, _)) = socket.recv_from(&mut buf).await else {
            sleep(ROUND).await;
            continue;
        };
        match serde_json::from_slice(&buf[..n]) {
            Ok(Datagram::Loads(word)) => hear(&pool, &word, clock.now()),
            Ok(Datagram::Settled(told)) => bank.take_settled(&told),
            // Not one of ours, or of another version.
            Err(_) => {}
        }
    }
}

fn hear(pool: &Mutex<Pool>, word: &Word, now: u64) {
    let row = |(hash, reading, inflight): &(u64, u32, u32)| {
        let held = Held {
            reading_ms: f64::from(*reading),
            inflight: *inflight,
        };
        (*hash, held)
    };
    let held: HashMap<u64, Held> = word.held.iter().map(row).collect();
    let mut pool = pool.lock().expect("no panic inside");
    pool.hear(now, word.from, &held);
}
