//! Between instances, over jsonrpsee: tokens that one lacks, and news that one can't read itself.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use escrow::CumulativeTotal;
use jsonrpsee_core::client::ClientT;
use jsonrpsee_core::params::ArrayParams;
use jsonrpsee_core::RpcResult;
use jsonrpsee_http_client::{HttpClient, HttpClientBuilder};
use jsonrpsee_server::{RpcModule, Server, ServerBuilder, ServerHandle};
use notice::Notice;
use rand::seq::IndexedRandom;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use suspect::SuspectRecord;
use tokio::time::{sleep, timeout, Instant};

use crate::bank::{Bank, Draw, Drawn};
use crate::event::Event;
use crate::fleet::Fleet;
use crate::log::Log;
use crate::notices::Effects;
use crate::passed::{Ask, Passed, Topic};
use crate::reach::Reach;
use crate::relay::Relay;
use crate::suspects::{AskTrial, Suspects, Trial};
use crate::traffic::Traffic;

/// An instance answers within a few milliseconds, or is not there: a request waits for it.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_millis(250);
/// An answer that comes later than that is still taken up to this time: it may bring tokens that were
/// debited, and would be lost to the budget.
const ANSWER_MOST: Duration = Duration::from_secs(3);
/// What a reader passes on may be a whole configuration, over a link that is full, to a dozen instances at once.
/// The store is asked after this time, which leaves the most of the two seconds in which a change is in force.
const PASS_MOST: Duration = Duration::from_millis(400);
/// An instance that did not answer is not called for this time.
const REST: Duration = Duration::from_millis(1_500);
/// How often an instance that can't read the store asks another one for news: well within the two
/// seconds in which a change is in force.
const NEWS_EVERY: Duration = Duration::from_millis(400);

/// A call for tokens.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Want {
    /// The asker's incarnation.
    pub(crate) from: String,
    pub(crate) customer: String,
    /// Tokens that requests wait for.
    pub(crate) tokens: u64,
    /// Tokens that the asker has left.
    pub(crate) balance: u64,
    /// The asker's demand, in tokens a second.
    pub(crate) rate: u64,
}

/// Tokens of an instance that leaves and can't hand them back to the store.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Gift {
    pub(crate) customer: String,
    /// All that the giver has ever given to the one that gets this.
    pub(crate) given: CumulativeTotal,
    /// What the giver has spent and passed on to it: nobody else would write it into the record.
    pub(crate) spent: CumulativeTotal,
}

/// What an instance that asks for news has.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Have {
    version: u64,
    leaving: Vec<String>,
}

/// What the asker lacks.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct News {
    config: Option<String>,
    /// The revision up to which the list of upstreams is known there; 0 where it may be old.
    upstreams: i64,
    leaving: Vec<String>,
    evacuations: Vec<Notice>,
    limits: Vec<Notice>,
}

/// What the instance answers from.
#[derive(Clone)]
pub(crate) struct Desk {
    pub(crate) bank: Bank,
    pub(crate) suspects: Suspects,
    pub(crate) effects: Effects,
    pub(crate) traffic: Traffic,
}

impl Desk {
    fn news(&self, have: &Have) -> News {
        for id in &have.leaving {
            self.effects.listing.leaving(id, "peer");
        }
        let active = self.effects.config.get();
        let newer = active.filter(|a| a.routing.version > have.version);
        News {
            config: newer.map(|a| String::from_utf8_lossy(&a.raw).into_owned()),
            upstreams: self.effects.relay.current_revision(Topic::Upstreams),
            leaving: self.effects.listing.all_leaving(),
            evacuations: self.effects.notices.evacuations(),
            limits: self.effects.listing.all_limits(),
        }
    }
}

/// Binds the listener for other instances.
///
/// # Errors
///
/// Returns why the address can't be bound.
pub(crate) async fn bind(addr: SocketAddr) -> std::io::Result<(Server, SocketAddr)> {
    let server = ServerBuilder::default().build(addr).await?;
    let addr = server.local_addr()?;
    Ok((server, addr))
}

/// Answers other instances.
pub(crate) fn serve(server: Server, desk: Desk) -> ServerHandle {
    let mut module = RpcModule::new(desk);
    let take = module.register_method("take", |params, desk, _| -> RpcResult<CumulativeTotal> {
        let want: Want = params.one()?;
        Ok(desk.bank.give(&want))
    });
    take.expect("a new name");
    let gift = module.register_method("gift", |params, desk, _| -> RpcResult<bool> {
        let gift: Gift = params.one()?;
        Ok(desk.bank.accept(&gift))
    });
    gift.expect("a new name");
    let draw = module.register_async_method("draw", |params, desk, _| async move {
        let draw: Draw = params.one()?;
        RpcResult::Ok(desk.bank.drawn(&draw).await)
    });
    draw.expect("a new name");
    let ping = module.register_method("ping", |_, desk, _| -> RpcResult<Option<String>> {
        Ok((!desk.bank.is_leaving()).then(|| desk.bank.me()))
    });
    ping.expect("a new name");
    let news = module.register_method("news", |params, desk, _| -> RpcResult<News> {
        let have: Have = params.one()?;
        Ok(desk.news(&have))
    });
    news.expect("a new name");
    let lacking = module.register_method("lacking", |params, desk, _| -> RpcResult<Passed> {
        let ask: Ask = params.one()?;
        let passed = desk.effects.relay.answer(&ask);
        desk.traffic.record("lists", true, passed.bytes());
        Ok(passed)
    });
    lacking.expect("a new name");
    let suspects = module
        .register_method("suspects", |_, desk, _| -> RpcResult<Vec<SuspectRecord>> {
            Ok(desk.suspects.list())
        });
    suspects.expect("a new name");
    let limits = module.register_method("limits", |_, desk, _| -> RpcResult<Vec<Notice>> {
        Ok(desk.effects.listing.all_limits())
    });
    limits.expect("a new name");
    let trial = module.register_method("trial", |params, desk, _| -> RpcResult<Trial> {
        let ask: AskTrial = params.one()?;
        Ok(desk.suspects.try_for(&ask))
    });
    trial.expect("a new name");
    server.start(module)
}

/// One instance that is called.
struct Line {
    client: HttpClient,
    /// Not called again before this: a call that hangs keeps requests waiting.
    rest_until: Option<Instant>,
    /// Its last call had no answer: it may be gone though it is listed.
    silent: bool,
}

/// Calls other instances.
#[derive(Clone, Default)]
pub(crate) struct Peers(Arc<Mutex<HashMap<SocketAddr, Line>>>);

impl Peers {
    fn client(&self, addr: SocketAddr) -> Result<HttpClient, String> {
        let mut clients = self.0.lock().expect("no panic inside");
        let mut silent = false;
        if let Some(line) = clients.get(&addr) {
            silent = line.silent;
            let rests = line.rest_until.is_some_and(|t| Instant::now() < t);
            if rests {
                return Err("did not answer a moment ago".to_string());
            }
            if line.rest_until.is_none() {
                return Ok(line.client.clone());
            }
        }
        let client = HttpClientBuilder::default()
            .request_timeout(ANSWER_MOST)
            .build(format!("http://{addr}"))
            .map_err(|e| e.to_string())?;
        let line = Line {
            client: client.clone(),
            rest_until: None,
            silent,
        };
        clients.insert(addr, line);
        Ok(client)
    }

    /// Returns whether an instance did not answer when it was called last.
    pub(crate) fn is_silent(&self, addr: SocketAddr) -> bool {
        let lines = self.0.lock().expect("no panic inside");
        lines.get(&addr).is_some_and(|l| l.silent)
    }

    /// Leaves an instance alone for a while; its next call gets a new connection, since the old one
    /// may hang for good.
    pub(crate) fn rest(&self, addr: SocketAddr) {
        let mut lines = self.0.lock().expect("no panic inside");
        if let Some(line) = lines.get_mut(&addr) {
            line.rest_until = Some(Instant::now() + REST);
            line.silent = true;
        }
    }

    async fn call<T: DeserializeOwned>(
        &self,
        addr: SocketAddr,
        method: &str,
        param: &impl Serialize,
    ) -> Result<T, String> {
        let client = self.client(addr)?;
        let answer = request(&client, method, param).await;
        match answer {
            Ok(_) => self.answered(addr),
            Err(_) => self.rest(addr),
        }
        answer
    }

    fn answered(&self, addr: SocketAddr) {
        let mut lines = self.0.lock().expect("no panic inside");
        if let Some(line) = lines.get_mut(&addr) {
            line.silent = false;
        }
    }

    /// Calls where an answer that comes late brings nothing.
    async fn call_briefly<T: DeserializeOwned>(
        &self,
        addr: SocketAddr,
        method: &str,
        param: &impl Serialize,
    ) -> Result<T, String> {
        let answer = timeout(CALL_TIMEOUT, self.call(addr, method, param)).await;
        answer.unwrap_or_else(|_| {
            self.rest(addr);
            Err("no answer in time".to_string())
        })
    }

    /// Asks an instance for tokens; it has debited them when it answers.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer: tokens that it debited come with its next one.
    pub(crate) async fn take(
        &self,
        addr: SocketAddr,
        want: &Want,
    ) -> Result<CumulativeTotal, String> {
        self.call(addr, "take", want).await
    }

    /// Draws the tokens of one request from its customer's home, which has debited them when it
    /// answers.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer: tokens that it debited come with its next one.
    pub(crate) async fn draw(&self, addr: SocketAddr, draw: &Draw) -> Result<Drawn, String> {
        self.call(addr, "draw", draw).await
    }

    /// Returns the incarnation of an instance that answers, and stays.
    pub(crate) async fn ping(&self, addr: SocketAddr) -> Option<String> {
        // No answer says enough.
        self.call_briefly(addr, "ping", &()).await.unwrap_or(None)
    }

    /// Asks an instance under which requests upstreams have ended.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer.
    pub(crate) async fn suspects(&self, addr: SocketAddr) -> Result<Vec<SuspectRecord>, String> {
        self.call_briefly(addr, "suspects", &()).await
    }

    /// Asks an instance for the request rate limits of its listed upstreams.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer.
    pub(crate) async fn limits(&self, addr: SocketAddr) -> Result<Vec<Notice>, String> {
        self.call_briefly(addr, "limits", &()).await
    }

    /// Asks an instance that keeps a request whether it may be tried.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer.
    pub(crate) async fn trial(&self, addr: SocketAddr, ask: &AskTrial) -> Result<Trial, String> {
        self.call_briefly(addr, "trial", ask).await
    }

    /// Gives an instance tokens that were debited here.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer: the tokens are lost to the budget then, unless another gift follows.
    pub(crate) async fn give(&self, addr: SocketAddr, gift: &Gift) -> Result<bool, String> {
        self.call_briefly(addr, "gift", gift).await
    }

    /// Asks an instance that reads the store for what is newer than what is known here.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer.
    pub(crate) async fn lacking(&self, addr: SocketAddr, ask: &Ask) -> Result<Passed, String> {
        let client = self.client(addr)?;
        // One that is slow with this may be quick with tokens: nothing is held against it.
        let answer = timeout(PASS_MOST, request(&client, "lacking", ask)).await;
        answer.unwrap_or_else(|_| Err("no answer in time".to_string()))
    }

    /// Asks other instances for news whenever the store is out of reach.
    pub(crate) fn spawn_news(&self, fleet: Fleet, desk: Desk, reach: Arc<Reach>, log: Arc<Log>) {
        let peers = self.clone();
        tokio::spawn(async move {
            loop {
                sleep(NEWS_EVERY).await;
                let others = fleet.others();
                if !reach.is_out() || others.is_empty() {
                    continue;
                }
                // One that is known to have what is lacking here is asked first, else any: the whole zone may be cut off.
                let any = others.choose(&mut rand::rng()).map(|m| m.addr);
                if let Some(peer) = desk.effects.relay.holder().or(any) {
                    peers.fetch(peer, &desk, &log).await;
                }
            }
        });
    }

    async fn fetch(&self, addr: SocketAddr, desk: &Desk, log: &Log) {
        let have = Have {
            version: desk.effects.config.version(),
            leaving: desk.effects.listing.all_leaving(),
        };
        let news: News = match self.call_briefly(addr, "news", &have).await {
            Ok(news) => news,
            Err(why) => {
                desk.effects.relay.forget(addr);
                log.event(Event::PeerUpdate, format_args!("from={addr} failed={why}"));
                return;
            }
        };
        // Before the configuration, with which this instance may begin to serve.
        desk.effects.take(news.evacuations);
        desk.effects.take(news.limits);
        if let Some(config) = news.config {
            log.event(Event::PeerUpdate, format_args!("from={addr} what=config"));
            desk.effects.config.offer(config.as_bytes(), "peer");
        }
        for upstream in &news.leaving {
            desk.effects.listing.leaving(upstream, "peer");
        }
        let relay = &desk.effects.relay;
        if news.upstreams > relay.revision(Topic::Upstreams) {
            if let Some(passed) = self.fetch_upstreams(addr, relay).await {
                let update = relay.take(Topic::Upstreams, passed);
                desk.effects.listing.update(update);
            }
        }
    }

    /// Fetches what is newer of the list of upstreams, all pages of it; `None` when an answer is missing.
    async fn fetch_upstreams(&self, addr: SocketAddr, relay: &Relay) -> Option<Passed> {
        let revision = relay.revision(Topic::Upstreams);
        let mut ask = Ask::first_page(Topic::Upstreams, revision);
        let mut passed = self.lacking(addr, &ask).await.ok()?;
        while let Some(next) = passed.next.take() {
            ask.after = Some(next);
            let page = self.lacking(addr, &ask).await.ok()?;
            if !passed.since.append(page.since) {
                return None;
            }
            passed.next = page.next;
        }
        Some(passed)
    }
}

async fn request<T: DeserializeOwned>(
    client: &HttpClient,
    method: &str,
    param: &impl Serialize,
) -> Result<T, String> {
    let mut params = ArrayParams::new();
    params.insert(param).map_err(|e| e.to_string())?;
    let answer = client.request(method, params).await;
    answer.map_err(|e| e.to_string())
}

#[cfg(test)]
#[path = "../tests/encoding/news.rs"]
mod encoding;
