//! Logs once per second which connections and requests were turned away because of the limits of this instance, and
//! what it has used of its retry budgets.

use std::sync::Arc;
use std::time::Duration;

use place::Intake;
use prometheus_client::metrics::counter::Counter;
use tokio::time::sleep;

use crate::event::Event;
use crate::router::Router;

const INTERVAL: Duration = Duration::from_secs(1);

/// The part of a counter that was logged.
#[derive(Debug, Default)]
struct Logged(u64);

impl Logged {
    /// Returns by how much the counters have grown since the last call; none if they have not.
    fn take_growth(&mut self, counters: &[&Counter]) -> Option<u64> {
        let total = counters.iter().map(|c| c.get()).sum();
        let before = std::mem::replace(&mut self.0, total);
        Some(total - before).filter(|growth| *growth > 0)
    }
}

/// What was logged.
struct OverloadLog {
    router: Arc<Router>,
    closed: Logged,
    at_limit: Logged,
    abandoned: Logged,
    slow: Logged,
}

/// Starts the task.
pub(crate) fn spawn(router: Arc<Router>) {
    let mut log = OverloadLog {
        router,
        closed: Logged::default(),
        at_limit: Logged::default(),
        abandoned: Logged::default(),
        slow: Logged::default(),
    };
    tokio::spawn(async move {
        loop {
            sleep(INTERVAL).await;
            log.log_connections();
            log.log_customers();
            log.log_retries();
        }
    });
}

impl OverloadLog {
    fn log_connections(&mut self) {
        let (log, metrics) = (&self.router.log, &self.router.metrics);
        if let Some(closed) = self.closed.take_growth(&[&metrics.connections_closed]) {
            let per_sec = self.router.with_intake(Intake::per_sec);
            let detail = format_args!("closed={closed} new_per_sec={per_sec}");
            log.event(Event::ConnectionsClosed, detail);
        }
        let (idle_closed, denied) = (
            &metrics.idle_connections_closed,
            &metrics.connections_denied,
        );
        if let Some(count) = self.at_limit.take_growth(&[idle_closed, denied]) {
            let detail = format_args!(
                "count={count} open={} all_idle_closed={} all_denied={}",
                self.router.connections.count(),
                idle_closed.get(),
                denied.get()
            );
            log.event(Event::ConnectionLimitReached, detail);
        }
        if let Some(count) = self
            .abandoned
            .take_growth(&[&metrics.connections_abandoned])
        {
            log.event(Event::ConnectionsAbandoned, format_args!("count={count}"));
        }
        if let Some(count) = self.slow.take_growth(&[&metrics.slow_callers]) {
            log.event(Event::SlowCallers, format_args!("count={count}"));
        }
    }

    fn log_customers(&self) {
        let refused = {
            let mut shares = self.router.shares.lock().expect("lock not poisoned");
            shares.take_refused()
        };
        for (customer, count) in refused {
            let customer = if customer.is_empty() { "-" } else { &customer };
            let detail = format_args!("customer={customer} refused={count}");
            self.router.log.event(Event::CustomerOverShare, detail);
        }
    }

    fn log_retries(&self) {
        let age_ms = self.router.clock.now();
        let usage = {
            let mut retries = self.router.retry_budget.lock().expect("lock not poisoned");
            retries.take_usage(age_ms)
        };
        for u in usage {
            let sharers = u.sharers.map_or("-".to_string(), |n| n.to_string());
            self.router.metrics.count_retries(&u);
            let detail = format_args!(
                "service={} acquired={} denied={} requests={} retries={} saved={:.1} capacity={:.1} sharers={sharers} age_ms={age_ms}",
                u.service, u.acquired, u.denied, u.requests, u.retries, u.saved, u.capacity
            );
            self.router.log.event(Event::RetryBudgetUsed, detail);
        }
    }
}
