//! The network paths between instances, one for each direction. Each carries the calls, the forwarded
//! requests and the datagrams of one instance to another one.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use anyhow::Result;
use platform::stub::{Cut, Link, StoreView};
use tokio::net::{TcpListener, UdpSocket};
use tokio::task::JoinSet;
use tokio::time::sleep;

/// Maximum size of a datagram, in bytes: more than instances send.
const MAX_DATAGRAM_BYTES: usize = 64 << 10;
/// Time after a failed receipt before the next one: the failure belongs to a datagram that was sent before.
const RETRY_DELAY: Duration = Duration::from_millis(10);

/// The addresses at which an instance listens for others, in all its incarnations.
#[derive(Clone, Copy, Debug)]
pub struct PeerAddrs {
    /// For calls and datagrams.
    pub calls: SocketAddr,
    /// For requests that it forwards.
    pub transit: SocketAddr,
}

impl PeerAddrs {
    /// Chooses addresses on an IP address of its own, so that nothing else takes their ports while the
    /// instance is down.
    ///
    /// # Errors
    ///
    /// Returns why no port could be bound.
    pub async fn choose() -> Result<PeerAddrs> {
        let [a, b, c, _] = rand::random::<[u8; 4]>();
        let ip = Ipv4Addr::new(127, a.max(1), b, c.clamp(1, 254));
        let calls = TcpListener::bind((ip, 0)).await?;
        let transit = TcpListener::bind((ip, 0)).await?;
        Ok(PeerAddrs {
            calls: calls.local_addr()?,
            transit: transit.local_addr()?,
        })
    }
}

/// The path from one instance to another one. The sender sees the addresses of this path in place of the
/// receiver's.
struct Path {
    calls: Link,
    transit: Link,
    datagrams: UdpSocket,
    cut: Mutex<Option<Cut>>,
}

impl Path {
    /// Binds the path to the addresses of the receiver, which the sender learns from its view of the store.
    async fn bind(receiver: PeerAddrs, view: &StoreView) -> Result<Path> {
        let calls = Link::bind(receiver.calls).await?;
        let transit = Link::bind(receiver.transit).await?;
        view.set_address(receiver.calls, calls.addr());
        view.set_address(receiver.transit, transit.addr());
        Ok(Path {
            datagrams: UdpSocket::bind(calls.addr()).await?,
            calls,
            transit,
            cut: Mutex::default(),
        })
    }

    fn cut(&self) -> Option<Cut> {
        *self.cut.lock().expect("lock not poisoned")
    }
}

struct Network {
    addrs: Vec<PeerAddrs>,
    /// By the number of the sender, then of the receiver; none from an instance to itself.
    paths: Vec<Vec<Option<Path>>>,
    /// Numbers of datagrams that were passed on, and that were dropped.
    passed: AtomicUsize,
    dropped: AtomicUsize,
}

/// The running paths between all instances.
pub struct PeerPaths {
    network: Arc<Network>,
    /// Pass the datagrams on; they end when the paths are dropped.
    _tasks: JoinSet<()>,
}

impl PeerPaths {
    /// Binds the paths between instances with these addresses and views of the store.
    ///
    /// # Errors
    ///
    /// Returns why no port could be bound.
    pub async fn bind(addrs: Vec<PeerAddrs>, views: &[&StoreView]) -> Result<PeerPaths> {
        let mut paths = Vec::new();
        for (sender, view) in views.iter().enumerate() {
            let mut row = Vec::new();
            for (receiver, addrs) in addrs.iter().enumerate() {
                row.push(match receiver == sender {
                    true => None,
                    false => Some(Path::bind(*addrs, view).await?),
                });
            }
            paths.push(row);
        }
        let network = Arc::new(Network {
            addrs,
            paths,
            passed: AtomicUsize::new(0),
            dropped: AtomicUsize::new(0),
        });
        let mut tasks = JoinSet::new();
        for sender in 0..views.len() {
            for receiver in 0..views.len() {
                tasks.spawn(Arc::clone(&network).pass_on(sender, receiver));
            }
        }
        Ok(PeerPaths {
            network,
            _tasks: tasks,
        })
    }

    /// Returns the addresses of an instance.
    pub fn addrs(&self, instance: usize) -> PeerAddrs {
        self.network.addrs[instance]
    }

    /// Returns the address for calls and datagrams at which one instance sees another one.
    pub fn seen_addr(&self, sender: usize, receiver: usize) -> Option<SocketAddr> {
        let path = self.network.path(sender, receiver)?;
        Some(path.calls.addr())
    }

    /// Returns how many datagrams were passed on, and how many were dropped.
    pub fn datagram_counts(&self) -> (usize, usize) {
        let count = |counter: &AtomicUsize| counter.load(Ordering::Relaxed);
        (count(&self.network.passed), count(&self.network.dropped))
    }

    /// Cuts the path from one instance to another one, or ends the cut.
    pub fn set_cut(&self, sender: usize, receiver: usize, cut: Option<Cut>) {
        let Some(path) = self.network.path(sender, receiver) else {
            return;
        };
        path.calls.set_cut(cut);
        path.transit.set_cut(cut);
        *path.cut.lock().expect("lock not poisoned") = cut;
    }
}

impl Network {
    fn path(&self, sender: usize, receiver: usize) -> Option<&Path> {
        self.paths[sender][receiver].as_ref()
    }

    /// Passes on the datagrams that arrive at the addresses of a path.
    ///
    /// The instance that receives one sees the address by which it knows the sender. An instance that has
    /// got another one's list of instances sends to the addresses of that one's paths; its datagrams are
    /// passed on as its own.
    async fn pass_on(self: Arc<Self>, sender: usize, receiver: usize) {
        let Some(path) = self.path(sender, receiver) else {
            return;
        };
        let mut buf = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            let Ok((n, from)) = path.datagrams.recv_from(&mut buf).await else {
                sleep(RETRY_DELAY).await;
                continue;
            };
            let Some(sender) = self.addrs.iter().position(|a| a.calls == from) else {
                continue;
            };
            match self.datagram_fate(sender, receiver) {
                Fate::PassOn => self.send(sender, receiver, &buf[..n]).await,
                Fate::Delay(ms) => {
                    let (network, bytes) = (Arc::clone(&self), buf[..n].to_vec());
                    tokio::spawn(async move {
                        sleep(Duration::from_millis(ms)).await;
                        network.send(sender, receiver, &bytes).await;
                    });
                }
                Fate::Drop => {
                    self.dropped.fetch_add(1, Ordering::Relaxed);
                }
            }
        }
    }

    /// Returns what becomes of a datagram. Where the replies to calls are lost, all packets in their direction
    /// are.
    fn datagram_fate(&self, sender: usize, receiver: usize) -> Fate {
        let cut = |from, to| self.path(from, to).and_then(Path::cut);
        if cut(receiver, sender) == Some(Cut::HangReplies) {
            return Fate::Drop;
        }
        match cut(sender, receiver) {
            None | Some(Cut::HangReplies) => Fate::PassOn,
            Some(Cut::Delay(ms)) => Fate::Delay(ms),
            Some(Cut::Hang | Cut::Reset | Cut::Refuse | Cut::RefuseNew) => Fate::Drop,
        }
    }

    async fn send(&self, sender: usize, receiver: usize, bytes: &[u8]) {
        if let Some(back) = self.path(receiver, sender) {
            self.passed.fetch_add(1, Ordering::Relaxed);
            // A datagram that can't be sent is lost, as on a network.
            let _ = back
                .datagrams
                .send_to(bytes, self.addrs[receiver].calls)
                .await;
        }
    }
}

/// What becomes of a datagram.
enum Fate {
    PassOn,
    /// It is late by this time, in milliseconds.
    Delay(u64),
    Drop,
}
