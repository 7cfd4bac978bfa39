//! The queues of all services at one instance.

use std::collections::BTreeMap;

use smallvec::SmallVec;

use crate::pace::Outlook;
use crate::queue::Queue;
use crate::{Cause, Class, Customer, Kind, Reason, Refused, Request, WaitId};

/// Bounds of the queue of one service.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum number of requests.
    pub max_requests: usize,
    /// Maximum size of their bodies, in bytes.
    pub max_bytes: usize,
}

/// Whether a request waits from now on.
#[derive(Clone, Debug)]
pub struct Joined {
    /// The request, or why it does not wait.
    pub result: Result<WaitId, Refused>,
    /// Requests that wait no longer, because the queue was full.
    pub displaced: SmallVec<[(WaitId, Refused); 1]>,
}

/// The state of a queue, for operators.
#[derive(Clone, Debug)]
pub struct QueueReport {
    /// The service.
    pub service: String,
    /// Number of requests.
    pub length: usize,
    /// Size of their bodies, in bytes.
    pub bytes: usize,
    /// Number of requests by priority.
    pub by_priority: [usize; 10],
    /// Longest time that one of them has waited, in milliseconds.
    pub longest_wait_ms: u64,
}

/// The queues of all services at one instance.
#[derive(Debug)]
pub struct Queues {
    limits: Limits,
    by_service: BTreeMap<String, Queue>,
    last_id: u64,
    /// When a planned stop cuts off requests, in milliseconds.
    stops_at: Option<u64>,
}

impl Queues {
    /// Creates empty queues.
    pub fn new(limits: Limits) -> Queues {
        Queues {
            limits,
            by_service: BTreeMap::new(),
            last_id: 0,
            stops_at: None,
        }
    }

    fn queue_mut(&mut self, service: &str) -> &mut Queue {
        if !self.by_service.contains_key(service) {
            self.by_service
                .insert(service.to_string(), Queue::default());
        }
        let queue = self.by_service.get_mut(service);
        queue.expect("inserted above if there was none")
    }

    /// Records a customer's request for a service, whether it waits or not.
    pub fn record_request(
        &mut self,
        now: u64,
        service: &str,
        priority: u8,
        customer: &str,
    ) -> Customer {
        let queue = self.queue_mut(service);
        queue.record_request(now, priority, customer)
    }

    /// Records that a request was sent to an upstream without waiting.
    pub fn record_start(&mut self, now: u64, service: &str, priority: u8, customer: Customer) {
        let queue = self.queue_mut(service);
        queue.record_start(now, priority, customer);
    }

    /// Records how long a request took from its start to the end of its response.
    pub fn record_end(&mut self, service: &str, priority: u8, took_ms: u64) {
        self.queue_mut(service).pace.record_end(priority, took_ms);
    }

    /// Returns whether a new request has to let requests of its class that wait go first.
    pub fn is_blocked(&self, now: u64, service: &str, request: &Request) -> bool {
        let next = WaitId(self.last_id + 1);
        let queue = self.by_service.get(service);
        queue.is_some_and(|q| q.is_blocked(now, next, request))
    }

    /// Makes a request wait, unless no place is expected in time, or the queue is full of requests that go
    /// before it. Without an outlook, that of its class holds, or else that of the last request that was
    /// accepted by no upstream.
    pub fn join(
        &mut self,
        now: u64,
        service: &str,
        request: Request,
        outlook: Option<Outlook>,
    ) -> Joined {
        self.last_id += 1;
        let id = WaitId(self.last_id);
        let (limits, stops_at) = (self.limits, self.stops_at);
        let deadline = request.deadline.min(stops_at.unwrap_or(u64::MAX));
        let request = Request {
            deadline,
            ..request
        };
        let queue = self.queue_mut(service);
        let mut joined = Joined {
            result: queue.join(now, id, request, outlook).map(|()| id),
            displaced: SmallVec::new(),
        };
        if request.bytes > limits.max_bytes {
            if let Some(refused) = queue.refuse(now, id, Reason::Full) {
                joined.result = Err(refused);
            }
        }
        while is_over(queue.size(), limits) {
            match queue.displace(now) {
                Some((victim, refused)) if victim == id => joined.result = Err(refused),
                Some(victim) => joined.displaced.push(victim),
                // All others are being sent.
                None => {
                    let refused = queue.refuse(now, id, Reason::Full);
                    joined.result = Err(refused.expect("it has joined above"));
                }
            }
        }
        if let Err(refused) = &mut joined.result {
            if stops_at.is_some() {
                refused.reason = Reason::Stopping;
            }
        }
        joined
    }

    /// Returns the request of a service that is told to try for a place that may be free; none of the classes
    /// for which there is none.
    pub fn next(
        &mut self,
        now: u64,
        service: &str,
        cause: Cause,
        denied: &[Kind],
    ) -> Option<WaitId> {
        self.by_service.get_mut(service)?.next(now, cause, denied)
    }

    /// Records that a request that was told to try was accepted by no upstream: it waits on, at its place.
    pub fn resume(&mut self, now: u64, service: &str, id: WaitId, outlook: Option<Outlook>) {
        self.queue_mut(service).resume(now, id, outlook);
    }

    /// Lets requests of a class try at no regular check before `until`, because trying is costly.
    pub fn pause(&mut self, service: &str, class: Class, until: u64) {
        self.queue_mut(service).pause(class, until);
    }

    /// Records that a request that was told to try was sent.
    pub fn take_turn(&mut self, now: u64, service: &str, id: WaitId) {
        self.queue_mut(service).take_turn(now, id);
    }

    /// Removes a request whose caller has left; returns whether it still waited.
    pub fn leave(&mut self, now: u64, service: &str, id: WaitId) -> bool {
        self.queue_mut(service).remove(now, id)
    }

    /// Returns the latest useful start of a request, in milliseconds; none if it waits no longer.
    pub fn latest_start(&self, service: &str, id: WaitId) -> Option<u64> {
        self.by_service.get(service)?.latest_start(id)
    }

    /// Returns whether a request was told to try.
    pub fn is_trying(&self, service: &str, id: WaitId) -> bool {
        let queue = self.by_service.get(service);
        queue.is_some_and(|q| q.is_trying(id))
    }

    /// Returns why a request was told to try last; none if it was not, or waits no longer. If no upstream accepts it,
    /// the next one is told to try for the same cause.
    pub fn cause(&self, service: &str, id: WaitId) -> Option<Cause> {
        self.by_service.get(service)?.cause(id)
    }

    /// Removes a request whose latest useful start has come; returns its refusal if it still waited.
    pub fn expire(&mut self, now: u64, service: &str, id: WaitId) -> Option<Refused> {
        let reason = self.stops_at.map_or(Reason::Expired, |_| Reason::Stopping);
        self.by_service.get_mut(service)?.refuse(now, id, reason)
    }

    /// Removes the requests for a service for which no place is expected in time any more, and returns them.
    pub fn review(&mut self, now: u64, service: &str) -> Vec<(WaitId, Refused)> {
        let queue = self.by_service.get_mut(service);
        queue.map(|q| q.review(now)).unwrap_or_default()
    }

    /// Begins a planned stop, which cuts off requests at `until`.
    pub fn set_stop(&mut self, until: u64) {
        self.stops_at = Some(until);
    }

    /// Limits the time for which requests for a service wait, because the instance stops at `until`; returns
    /// those that would not end before that.
    pub fn stop(&mut self, now: u64, service: &str, until: u64) -> Vec<(WaitId, Refused)> {
        let queue = self.by_service.get_mut(service);
        queue.map(|q| q.stop(now, until)).unwrap_or_default()
    }

    /// Returns the services for which requests wait.
    pub fn waiting_services(&self) -> SmallVec<[String; 4]> {
        let waiting = self.by_service.iter().filter(|(_, q)| q.size().0 > 0);
        waiting.map(|(service, _)| service.clone()).collect()
    }

    /// Returns the state of the queues in which requests wait.
    pub fn reports(&self, now: u64) -> Vec<QueueReport> {
        let waiting = self.by_service.iter().filter(|(_, q)| q.size().0 > 0);
        let report = |(service, queue): (&String, &Queue)| {
            let (length, bytes) = queue.size();
            QueueReport {
                service: service.clone(),
                length,
                bytes,
                by_priority: queue.by_priority(),
                longest_wait_ms: queue.longest_wait_ms(now),
            }
        };
        waiting.map(report).collect()
    }
}

fn is_over((requests, bytes): (usize, usize), limits: Limits) -> bool {
    requests > limits.max_requests || bytes > limits.max_bytes
}
