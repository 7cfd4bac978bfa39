//! Requests that wait for an upstream: `waiting` decides on their order; this module wakes them up.
//!
//! Only one request is told to try at a time for a place that may be free: when a request of this instance
//! ends at an upstream, and every [`CHECK_INTERVAL`] because other instances' requests end as well. One that was
//! sent passes the turn on to the next one, and so does one that no upstream accepts if requests of another
//! kind wait.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use clock::Clock;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout_at};
use waiting::{
    Cause, Class, Customer, Kinds, Limits, Outlook, QueueReport, Queues, Refused, Request, WaitId,
};

use crate::event::Event;
use crate::log::Log;

/// Bounds of the queue of one service: what a small instance has memory for besides the requests in progress.
const LIMITS: Limits = Limits {
    max_requests: 256,
    max_bytes: 8 << 20,
};
/// Interval at which the first request of each queue tries again, at a cost of one choice of an upstream.
const CHECK_INTERVAL: Duration = Duration::from_millis(25);
/// Time for which a queue has to exist to be logged, in milliseconds: shorter ones are usual under load.
const LOGGED_QUEUE_MS: u64 = 1_000;

/// Handle to the queues of all services; clones share it.
#[derive(Clone)]
pub(crate) struct WaitQueues(Arc<Inner>);

struct Inner {
    clock: Clock,
    log: Arc<Log>,
    state: Mutex<State>,
    /// Notified when a request begins to wait.
    joined: Notify,
}

struct State {
    queues: Queues,
    tickets: HashMap<WaitId, Arc<Notify>>,
    /// Requests that were told to try.
    turns: HashMap<WaitId, Turn>,
    /// Requests that wait no longer, until they take notice.
    refused: HashMap<WaitId, Refused>,
    /// Queues that exist now.
    episodes: BTreeMap<String, Episode>,
}

/// What a request was told to try for.
#[derive(Debug)]
struct Turn {
    cause: Cause,
    /// The kinds that were denied before, for the same cause.
    denied: Kinds,
}

/// A time during which requests wait for a service.
#[derive(Debug, Default)]
struct Episode {
    began_at: u64,
    waited: u64,
    refused: u64,
    /// Requests that were refused because the queue was full, since that was last logged.
    displaced: u64,
    left: u64,
    logged: bool,
}

impl State {
    /// Tells the next request of a service to try; none of a kind that was denied a moment ago.
    fn wake_next(&mut self, now: u64, service: &str, cause: Cause, denied: Kinds) {
        let Some(id) = self.queues.next(now, service, cause, &denied) else {
            return;
        };
        let cause = self.queues.cause(service, id).unwrap_or(cause);
        self.turns.insert(id, Turn { cause, denied });
        self.notify(id);
    }

    fn notify(&self, id: WaitId) {
        if let Some(ticket) = self.tickets.get(&id) {
            ticket.notify_one();
        }
    }

    fn refuse(&mut self, service: &str, id: WaitId, refused: Refused) {
        if let Some(episode) = self.episodes.get_mut(service) {
            episode.refused += 1;
        }
        self.refused.insert(id, refused);
        self.notify(id);
    }
}

impl WaitQueues {
    pub(crate) fn new(clock: Clock, log: Arc<Log>) -> WaitQueues {
        WaitQueues(Arc::new(Inner {
            clock,
            log,
            state: Mutex::new(State {
                queues: Queues::new(LIMITS),
                tickets: HashMap::new(),
                turns: HashMap::new(),
                refused: HashMap::new(),
                episodes: BTreeMap::new(),
            }),
            joined: Notify::new(),
        }))
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.state.lock().expect("lock not poisoned")
    }

    /// Records a customer's request for a service.
    pub(crate) fn record_request(&self, service: &str, priority: u8, customer: &str) -> Customer {
        let now = self.0.clock.now();
        let queues = &mut self.state().queues;
        queues.record_request(now, service, priority, customer)
    }

    /// Records that a request was sent to an upstream without waiting.
    pub(crate) fn record_start(&self, service: &str, priority: u8, customer: Customer) {
        let now = self.0.clock.now();
        let queues = &mut self.state().queues;
        queues.record_start(now, service, priority, customer);
    }

    /// Records how long a request took from its start to the end of its response.
    pub(crate) fn record_end(&self, service: &str, priority: u8, took_ms: u64) {
        self.state().queues.record_end(service, priority, took_ms);
    }

    /// Returns whether a new request has to let requests that wait go first.
    pub(crate) fn is_blocked(&self, service: &str, request: &Request) -> bool {
        let now = self.0.clock.now();
        self.state().queues.is_blocked(now, service, request)
    }

    /// Tells the next request of a service to try, because another one ended at an upstream.
    pub(crate) fn place_freed(&self, service: &str) {
        let now = self.0.clock.now();
        self.state()
            .wake_next(now, service, Cause::Freed, Kinds::new());
    }

    /// Makes a request wait.
    ///
    /// # Errors
    ///
    /// Returns why it does not wait.
    pub(crate) fn join(
        &self,
        service: &str,
        request: Request,
        outlook: Option<Outlook>,
    ) -> Result<Ticket, Refused> {
        let now = self.0.clock.now();
        let mut state = self.state();
        let joined = state.queues.join(now, service, request, outlook);
        if joined.result.is_ok() || !joined.displaced.is_empty() {
            let episode = state.episodes.entry(service.to_string());
            let episode = episode.or_insert_with(|| Episode {
                began_at: now,
                ..Episode::default()
            });
            episode.waited += u64::from(joined.result.is_ok());
            episode.displaced += joined.displaced.len() as u64;
        }
        for (id, refused) in joined.displaced {
            state.refuse(service, id, refused);
        }
        let id = joined.result?;
        let notify = Arc::new(Notify::new());
        state.tickets.insert(id, Arc::clone(&notify));
        drop(state);
        self.0.joined.notify_one();
        Ok(Ticket {
            queues: self.clone(),
            service: service.to_string(),
            id,
            request,
            notify,
            turn: None,
        })
    }

    /// Lets requests of a class try at no check for a while, because trying is costly.
    pub(crate) fn pause(&self, service: &str, class: Class, pause_ms: u64) {
        let until = self.0.clock.now() + pause_ms;
        self.state().queues.pause(service, class, until);
    }

    /// Begins a planned stop that cuts off requests at `until`: those that would not end before that are
    /// refused.
    pub(crate) fn stop(&self, until: u64) {
        let now = self.0.clock.now();
        let mut state = self.state();
        state.queues.set_stop(until);
        for service in state.queues.waiting_services() {
            for (id, refused) in state.queues.stop(now, &service, until) {
                state.refuse(&service, id, refused);
            }
        }
        // The others have less time left.
        state
            .tickets
            .values()
            .for_each(|ticket| ticket.notify_one());
    }

    /// Returns the state of the queues in which requests wait.
    pub(crate) fn reports(&self) -> Vec<QueueReport> {
        self.state().queues.reports(self.0.clock.now())
    }

    /// Spawns the task that lets the first request of each queue try regularly.
    pub(crate) fn spawn_checks(&self) {
        let queues = self.clone();
        tokio::spawn(async move {
            loop {
                queues.0.joined.notified().await;
                while queues.check() {
                    sleep(CHECK_INTERVAL).await;
                }
            }
        });
    }

    /// Lets the first request of each queue try; returns whether any request waits.
    fn check(&self) -> bool {
        let now = self.0.clock.now();
        let mut state = self.state();
        let services = state.queues.waiting_services();
        for service in &services {
            for (id, refused) in state.queues.review(now, service) {
                state.refuse(service, id, refused);
            }
            state.wake_next(now, service, Cause::Check, Kinds::new());
        }
        self.log_episodes(&mut state, now, &services);
        !services.is_empty()
    }

    fn log_episodes(&self, state: &mut State, now: u64, services: &[String]) {
        let log = &self.0.log;
        let State {
            queues, episodes, ..
        } = state;
        episodes.retain(|service, episode| {
            let ms = now.saturating_sub(episode.began_at);
            let waits = services.contains(service);
            if waits && !episode.logged && ms >= LOGGED_QUEUE_MS {
                episode.logged = true;
                let report = queues.reports(now).into_iter();
                let length = report.filter(|r| r.service == *service).map(|r| r.length);
                let length: usize = length.sum();
                let detail = format_args!("service={service} length={length} ms={ms}");
                log.event(Event::QueueFormed, detail);
            }
            if episode.displaced > 0 {
                let detail = format_args!("service={service} displaced={}", episode.displaced);
                log.event(Event::QueueFull, detail);
                episode.displaced = 0;
            }
            if !waits && episode.logged {
                let detail = format_args!(
                    "service={service} ms={ms} waited={} refused={} left={}",
                    episode.waited, episode.refused, episode.left
                );
                log.event(Event::QueueEmptied, detail);
            }
            waits
        });
    }
}

/// A request that waits, or that tries after it has waited; dropping it removes it from the queue.
pub(crate) struct Ticket {
    queues: WaitQueues,
    service: String,
    id: WaitId,
    request: Request,
    notify: Arc<Notify>,
    /// While the request tries: what for.
    turn: Option<Turn>,
}

impl Ticket {
    /// Waits until the request is told to try.
    ///
    /// # Errors
    ///
    /// Returns why it waits no longer.
    pub(crate) async fn wait_for_turn(&mut self) -> Result<(), Refused> {
        let clock = self.queues.0.clock;
        loop {
            let latest_start = {
                let mut state = self.queues.state();
                if let Some(refused) = state.refused.remove(&self.id) {
                    return Err(refused);
                }
                self.turn = state.turns.remove(&self.id);
                if self.turn.is_some() {
                    return Ok(());
                }
                let latest_start = state.queues.latest_start(&self.service, self.id);
                latest_start.expect("a request that waits is in the queue")
            };
            let until = clock.at(latest_start);
            if timeout_at(until, self.notify.notified()).await.is_ok() {
                continue;
            }
            let mut state = self.queues.state();
            // It may have been told to try, or refused, in the meantime.
            let is_waiting =
                !state.turns.contains_key(&self.id) && !state.refused.contains_key(&self.id);
            if is_waiting {
                let refused = state.queues.expire(clock.now(), &self.service, self.id);
                let refused = refused.expect("a request that waits is in the queue");
                state.refuse(&self.service, self.id, refused);
            }
        }
    }

    /// Records that no upstream has accepted the request: it waits on, and one of another kind may try.
    pub(crate) fn resume(&mut self, outlook: Option<Outlook>) {
        let Some(Turn { cause, mut denied }) = self.turn.take() else {
            return;
        };
        denied.push(self.request.kind);
        let now = self.queues.0.clock.now();
        let mut state = self.queues.state();
        state.queues.resume(now, &self.service, self.id, outlook);
        state.wake_next(now, &self.service, cause, denied);
    }

    /// Records that the request is sent: there may be a place for another one.
    pub(crate) fn sent(mut self) {
        let denied = self.turn.take().map(|t| t.denied).unwrap_or_default();
        let now = self.queues.0.clock.now();
        let mut state = self.queues.state();
        state.queues.take_turn(now, &self.service, self.id);
        state.wake_next(now, &self.service, Cause::Freed, denied);
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        let now = self.queues.0.clock.now();
        let mut state = self.queues.state();
        state.tickets.remove(&self.id);
        state.refused.remove(&self.id);
        let turn = state.turns.remove(&self.id).or(self.turn.take());
        let left = state.queues.leave(now, &self.service, self.id);
        if let Some(episode) = state.episodes.get_mut(&self.service) {
            episode.left += u64::from(left);
        }
        // Otherwise a place would stay free until the next check.
        if let Some(Turn { denied, .. }) = turn {
            state.wake_next(now, &self.service, Cause::Freed, denied);
        }
    }
}

#[cfg(test)]
#[path = "../tests/unit/wait_queues.rs"]
mod tests;
