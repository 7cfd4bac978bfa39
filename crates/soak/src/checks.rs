//! The guarantees, checked by what callers, upstreams and the store saw. No I/O and no clock: times
//! are in milliseconds since the start of the run.

use std::collections::HashMap;
use std::ops::Range;

use crate::coverage::Coverage;

/// The customer of [`Key::Tight`].
pub const TIGHT: &str = "tight";
/// Tokens of the prompt of each stream.
pub const PROMPT_TOKENS: u64 = 3_000;
/// Tokens of each event of a stream.
pub const EVENT_TOKENS: u64 = 4;
/// Number of events of each stream.
pub const EVENTS: u32 = 10;
/// Retries that the settings allow, as a percentage of requests.
pub const RETRY_PERCENT: u64 = 20;
/// Retries of the requests of a service within each window in addition to the percentage: fewer than the retries
/// that are wanted while the service fails.
pub const RETRY_SLACK: u64 = 20;
/// Window of the retry budget, in seconds.
pub const RETRY_WINDOW_SECS: u64 = 10;
/// Time from the removal of a key until undisturbed instances refuse it, in milliseconds.
const KEY_REMOVAL_MS: u64 = 2_500;
/// Span after the return of all instances in which at least a quarter of the requests is served, in
/// milliseconds.
const RETURN_SPAN_MS: Range<u64> = 12_000..15_000;
const RETURN_SHARE_DIVISOR: usize = 4;

/// Time that the caller of a request has, as it says, in milliseconds.
pub const TIMEOUT_MS: u64 = 4_000;
/// Time that an instance has to read a request and to answer at once, in milliseconds. One that goes on for
/// longer was accepted.
const ACCEPTED_AFTER_MS: u64 = 300;
/// Time within which an instance logs that it has closed connections unread, in milliseconds: it does so once a
/// second, and later if it is overloaded.
const CLOSED_LOGGED_MS: u64 = 2_500;
/// Time within which the request of a caller that has left is no longer sent to an upstream, in milliseconds.
const DEPARTURE_MS: u64 = 500;
/// Time after a fault from which on service is as usual again, in milliseconds: upstreams that were ejected
/// are used again.
const RECOVERY_MS: u64 = 3_000;
/// Span without faults within which some requests of each kind are served, in milliseconds: longer than a
/// request may take.
const SERVICE_SPAN_MS: u64 = 5_000;
/// Share of such a span in which the soak itself may be late.
const MAX_LATE_PERCENT: u64 = 10;
/// Minimum number of requests of a kind within such a span for it to count.
const MIN_KIND_REQUESTS: usize = 4;

/// A service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Service {
    /// Sends buffered responses.
    Desk,
    /// Consists of engines, which send streams.
    Pool,
}

impl Service {
    /// All services.
    pub const ALL: [Service; 2] = [Service::Desk, Service::Pool];

    /// Returns its name in the configuration.
    pub fn name(self) -> &'static str {
        match self {
            Service::Desk => "desk",
            Service::Pool => "pool",
        }
    }
}

/// A route, by the way in which its requests may be run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Route {
    /// A buffered response; may be repeated.
    Safe,
    /// A buffered response; must not run twice.
    Once,
    /// A stream that may be resumed.
    Read,
    /// A stream that must not run twice.
    Talk,
}

impl Route {
    /// All routes.
    pub const ALL: [Route; 4] = [Route::Safe, Route::Once, Route::Read, Route::Talk];

    /// Returns its name in the configuration.
    pub fn name(self) -> &'static str {
        match self {
            Route::Safe => "safe",
            Route::Once => "once",
            Route::Read => "read",
            Route::Talk => "talk",
        }
    }

    /// Returns the service that runs its requests.
    pub fn service(self) -> Service {
        match self {
            Route::Safe | Route::Once => Service::Desk,
            Route::Read | Route::Talk => Service::Pool,
        }
    }

    /// Returns whether its responses are streams.
    pub fn is_streamed(self) -> bool {
        matches!(self, Route::Read | Route::Talk)
    }

    fn is_repeatable(self) -> bool {
        matches!(self, Route::Safe | Route::Read)
    }
}

/// Whose key a request has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Key {
    /// A customer with more prepaid tokens than are asked for.
    Large,
    /// A customer whose prepaid tokens run out early.
    Small,
    /// A customer whose prepaid tokens run out late, if at all.
    Tight,
    /// A customer whose priority is above that of all routes.
    Urgent,
    /// A customer whose priority is below that of all routes.
    Patient,
    /// A key that is removed during the run.
    Removable(usize),
}

/// A request as its caller saw it.
#[derive(Clone, Debug)]
pub struct Record {
    /// Its id.
    pub id: String,
    /// Its route.
    pub route: Route,
    /// Its key.
    pub key: Key,
    /// The instance that it was sent to.
    pub instance: usize,
    /// When it was sent.
    pub sent_at: u64,
    /// When its response or connection ended.
    pub ended_at: u64,
    /// Whether its caller left before the end, by its own choice.
    pub left: bool,
    /// Whether its connection was refused or reset.
    pub reset: bool,
    /// Status of the response; 0 without one.
    pub status: u16,
    /// Whether the response was received to its end.
    pub complete: bool,
    /// The ids of the events that were received.
    pub events: Vec<u32>,
    /// The upstream that ran it, as its response says.
    pub answered_by: Option<String>,
    /// What is wrong with the response as an answer to this request.
    pub mismatch: Option<String>,
}

impl Record {
    /// Returns whether the time of its caller had passed when it ended.
    fn is_overdue(&self) -> bool {
        self.took_ms() >= TIMEOUT_MS
    }

    fn took_ms(&self) -> u64 {
        self.ended_at.saturating_sub(self.sent_at)
    }

    fn is_served(&self) -> bool {
        self.status == 200 && self.complete
    }
}

/// What a fault affects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// One instance.
    Instance(usize),
    /// Paths between instances. Each of them still reaches the store and upstreams, and serves its callers.
    Peers,
    /// An upstream.
    Upstream,
    /// The address of an upstream, at which requests are answered 421.
    Address,
    /// All of them.
    All,
}

/// A fault that was injected.
#[derive(Clone, Debug)]
pub struct Injected {
    /// What it affects.
    pub scope: Scope,
    /// When it began and ended.
    pub span: Range<u64>,
    /// Whether it is a planned stop, which must not cut off answers.
    pub is_stop: bool,
}

/// A version of the configuration that an incarnation showed.
#[derive(Clone, Debug)]
pub struct VersionSeen {
    /// The incarnation.
    pub incarnation: String,
    /// The version.
    pub version: u64,
}

/// The sums in a customer's record, and what it has prepaid.
#[derive(Clone, Debug)]
pub struct Budget {
    /// The customer.
    pub customer: String,
    /// The prepaid tokens.
    pub prepaid: u64,
    /// Tokens taken and not returned.
    pub charged: u64,
    /// Tokens reported as spent.
    pub spent: u64,
}

/// What was seen from outside.
#[derive(Debug, Default)]
pub struct Evidence {
    /// Duration of the run, in seconds.
    pub seconds: u64,
    /// The requests.
    pub records: Vec<Record>,
    /// How often upstreams ran each request.
    pub runs: HashMap<String, usize>,
    /// How often upstreams answered 421 to each request.
    pub misdirects: HashMap<String, usize>,
    /// When the last attempt of each request arrived at an upstream.
    pub last_arrivals: HashMap<String, u64>,
    /// When the attempts of each request arrived at upstreams, also at those that rejected it.
    pub arrivals: HashMap<String, Vec<u64>>,
    /// The faults.
    pub injected: Vec<Injected>,
    /// When each removable key was removed.
    pub removed_at: HashMap<usize, u64>,
    /// The versions that were seen, in the order of time.
    pub versions: Vec<VersionSeen>,
    /// The budgets at the end.
    pub budgets: Vec<Budget>,
    /// When all instances were started again after all were killed.
    pub returned_at: Option<u64>,
    /// Spans in which the soak itself was late, since the machine was busy: its callers, paths and upstreams were
    /// slow.
    pub late: Vec<Range<u64>>,
    /// New connections that overloaded instances have closed unread within a second: the instance, when it
    /// logged that, and their number.
    pub closed_unread: Vec<(usize, u64, usize)>,
    /// What the run has come to.
    pub coverage: Coverage,
    /// Instances that have panicked, or have not exited after a planned stop.
    pub failures: Vec<String>,
}

impl Evidence {
    fn runs(&self, record: &Record) -> usize {
        self.runs.get(&record.id).copied().unwrap_or_default()
    }

    /// Returns whether no fault other than a planned stop went on within a span.
    fn is_faultless(&self, span: &Range<u64>) -> bool {
        let overlaps = |f: &Injected| f.span.start <= span.end && f.span.end >= span.start;
        !self.injected.iter().any(|f| !f.is_stop && overlaps(f))
    }

    /// Returns for how long the soak itself was late within a span, in milliseconds.
    fn late_ms(&self, span: &Range<u64>) -> u64 {
        let within = |late: &Range<u64>| {
            let (start, end) = (late.start.max(span.start), late.end.min(span.end));
            end.saturating_sub(start)
        };
        self.late.iter().map(within).sum()
    }

    /// Returns the spans in which some requests of each kind must be served. Without faults and while the
    /// machine isn't too busy, upstreams have room for them.
    pub fn service_spans(&self) -> Vec<Range<u64>> {
        let windows = self.quiet_spans().into_iter().flat_map(|span| {
            let starts = (span.start..span.end).step_by(SERVICE_SPAN_MS as usize);
            let windows = starts.map(|start| start..start + SERVICE_SPAN_MS);
            windows.filter(move |w| w.end <= span.end)
        });
        let in_time = |w: &Range<u64>| self.late_ms(w) * 100 <= MAX_LATE_PERCENT * SERVICE_SPAN_MS;
        windows.filter(in_time).collect()
    }

    /// Returns whether all faults within a span are those of upstreams' addresses, or planned stops.
    fn has_only_address_faults(&self, span: &Range<u64>) -> bool {
        let overlaps = |f: &Injected| f.span.start <= span.end && f.span.end >= span.start;
        let others = self.injected.iter().filter(|f| f.scope != Scope::Address);
        !others.filter(|f| !f.is_stop).any(overlaps)
    }

    /// Returns the spans without faults other than planned stops, from the time on when service is as usual
    /// again.
    fn quiet_spans(&self) -> Vec<Range<u64>> {
        let faults = self.injected.iter().filter(|f| !f.is_stop);
        let mut faults: Vec<Range<u64>> = faults.map(|f| f.span.clone()).collect();
        faults.sort_by_key(|span| span.start);
        let end = self.seconds * 1_000;
        faults.push(end..end);
        let mut quiet_from = 0;
        let mut spans = Vec::new();
        for fault in faults {
            if fault.start > quiet_from {
                spans.push(quiet_from..fault.start);
            }
            quiet_from = quiet_from.max(fault.end + RECOVERY_MS);
        }
        spans
    }

    /// Returns whether a fault other than a planned stop affected an instance within a span.
    fn is_disturbed(&self, instance: usize, span: &Range<u64>) -> bool {
        self.injected.iter().any(|f| {
            let affects = f.scope == Scope::All || f.scope == Scope::Instance(instance);
            affects && f.span.start <= span.end && f.span.end >= span.start
        })
    }
}

/// A guarantee that does not hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The guarantee.
    pub guarantee: &'static str,
    /// The request; none if it concerns no single one.
    pub request: Option<String>,
    /// What was seen.
    pub detail: String,
}

/// Checks all guarantees.
pub fn check(evidence: &Evidence) -> Vec<Violation> {
    let checks = [
        check_runs,
        check_answers,
        check_stops,
        check_budgets,
        check_versions,
        check_removed_keys,
        check_retries,
        check_return,
        check_ends,
        check_departures,
        check_starvation,
        check_misdirects,
        check_processes,
    ];
    checks.iter().flat_map(|check| check(evidence)).collect()
}

fn violation(guarantee: &'static str, record: &Record, detail: String) -> Violation {
    Violation {
        guarantee,
        request: Some(record.id.clone()),
        detail,
    }
}

fn check_runs(evidence: &Evidence) -> Vec<Violation> {
    let mut violations = Vec::new();
    for record in evidence.records.iter().filter(|r| !r.route.is_repeatable()) {
        let runs = evidence.runs(record);
        if runs > 1 {
            let guarantee = "no request that may not be repeated runs twice";
            violations.push(violation(guarantee, record, format!("{runs} runs")));
        }
        if matches!(record.status, 408 | 421 | 429 | 503) && runs > 0 {
            let detail = format!("status {} after {runs} runs", record.status);
            violations.push(violation("\"not run\" is true", record, detail));
        }
    }
    violations
}

fn check_answers(evidence: &Evidence) -> Vec<Violation> {
    let mut violations = Vec::new();
    for record in evidence.records.iter().filter(|r| r.is_served()) {
        let guarantee = "each complete answer reaches its own caller";
        if let Some(mismatch) = &record.mismatch {
            violations.push(violation(guarantee, record, mismatch.clone()));
        }
        if evidence.runs(record) == 0 {
            let detail = "answered although no upstream ran it".to_string();
            violations.push(violation(guarantee, record, detail));
        }
        if record.route.is_streamed() && !record.events.iter().copied().eq(1..=EVENTS) {
            let detail = format!("complete stream with events {:?}", record.events);
            violations.push(violation(guarantee, record, detail));
        }
    }
    violations
}

fn check_stops(evidence: &Evidence) -> Vec<Violation> {
    let stops = evidence.injected.iter().filter(|f| f.is_stop);
    let cut_off = |stop: &Injected| {
        let span = stop.span.clone();
        let others = Evidence {
            injected: evidence
                .injected
                .iter()
                .filter(|f| f.span != span || !f.is_stop)
                .cloned()
                .collect(),
            ..Evidence::default()
        };
        let instance = match stop.scope {
            Scope::Instance(instance) => instance,
            Scope::Peers | Scope::Upstream | Scope::Address | Scope::All => return Vec::new(),
        };
        let cut = evidence.records.iter().filter(|r| {
            let during = r.sent_at <= span.end && r.ended_at >= span.start;
            let any_fault = others
                .injected
                .iter()
                .any(|f| f.span.start <= r.ended_at && f.span.end >= r.sent_at.min(span.start));
            r.instance == instance
                && during
                && r.status == 200
                && !r.complete
                && !r.left
                && !r.is_overdue()
                && !any_fault
        });
        let guarantee = "no answer is cut off by a planned stop";
        let detail = |r: &Record| format!("cut off after {} events", r.events.len());
        cut.map(|r| violation(guarantee, r, detail(r))).collect()
    };
    stops.flat_map(cut_off).collect()
}

fn check_budgets(evidence: &Evidence) -> Vec<Violation> {
    let guarantee = "nothing is spent beyond prepaid";
    let mut violations = Vec::new();
    let mut add = |detail: String| {
        violations.push(Violation {
            guarantee,
            request: None,
            detail,
        });
    };
    for budget in &evidence.budgets {
        if budget.charged > budget.prepaid || budget.spent > budget.charged {
            add(format!("{budget:?}"));
        }
        let key = match budget.customer.as_str() {
            "small" => Key::Small,
            TIGHT => Key::Tight,
            _ => continue,
        };
        let own = evidence.records.iter().filter(|r| r.key == key);
        let received = own.filter(|r| !r.events.is_empty());
        let tokens: u64 = received
            .map(|r| PROMPT_TOKENS + EVENT_TOKENS * r.events.len() as u64)
            .sum();
        if tokens > budget.prepaid {
            add(format!("callers received {tokens} tokens: {budget:?}"));
        }
    }
    violations
}

fn check_versions(evidence: &Evidence) -> Vec<Violation> {
    let mut latest: HashMap<&str, u64> = HashMap::new();
    let mut violations = Vec::new();
    for seen in &evidence.versions {
        let last = latest.entry(&seen.incarnation).or_default();
        if seen.version < *last {
            violations.push(Violation {
                guarantee: "the configuration never becomes older",
                request: None,
                detail: format!("{}: {} after {last}", seen.incarnation, seen.version),
            });
        }
        *last = (*last).max(seen.version);
    }
    violations
}

fn check_removed_keys(evidence: &Evidence) -> Vec<Violation> {
    let too_late = evidence.records.iter().filter(|r| {
        let Key::Removable(key) = r.key else {
            return false;
        };
        let Some(removed_at) = evidence.removed_at.get(&key) else {
            return false;
        };
        let late = r.sent_at >= removed_at + KEY_REMOVAL_MS;
        let disturbed = evidence.is_disturbed(r.instance, &(*removed_at..r.sent_at));
        late && r.is_served() && !disturbed
    });
    let guarantee = "removed keys are refused in time";
    let detail = |r: &Record| format!("served at {} ms", r.sent_at);
    too_late
        .map(|r| violation(guarantee, r, detail(r)))
        .collect()
}

/// The requests for a service and their retries.
#[derive(Debug)]
struct RetryTimes {
    /// When the requests were sent, in milliseconds.
    requests: Vec<u64>,
    /// When attempts beyond the first of each request arrived at upstreams, in milliseconds.
    retries: Vec<u64>,
}

impl RetryTimes {
    fn new(evidence: &Evidence, service: Service) -> RetryTimes {
        let is_for = |record: &Record| record.route.service() == service;
        let records = evidence.records.iter();
        let mut requests: Vec<u64> = records.filter(|r| is_for(r)).map(|r| r.sent_at).collect();
        requests.sort_unstable();
        let by_id: HashMap<&str, &Record> = evidence
            .records
            .iter()
            .map(|r| (r.id.as_str(), r))
            .collect();
        let mut retries = Vec::new();
        for (id, arrivals) in &evidence.arrivals {
            // Those of unknown requests may be for each service.
            if by_id.get(id.as_str()).is_none_or(|r| is_for(r)) {
                let mut arrivals = arrivals.clone();
                arrivals.sort_unstable();
                retries.extend(arrivals.into_iter().skip(1));
            }
        }
        retries.sort_unstable();
        RetryTimes { requests, retries }
    }

    /// Returns, of the window with the largest share of its allowed retries: its beginning, the retries, and how many
    /// are allowed. Windows that begin or end with a retry are compared.
    fn fullest_window(&self) -> Option<(u64, usize, f64)> {
        let window_ms = RETRY_WINDOW_SECS * 1_000;
        let within = |times: &[u64], start: u64| {
            times.partition_point(|t| *t < start + window_ms)
                - times.partition_point(|t| *t < start)
        };
        let window = |start: u64| {
            let earlier = [0, window_ms / 2, window_ms].map(|ms| start.checked_sub(ms));
            let requests = earlier
                .into_iter()
                .flatten()
                .map(|s| within(&self.requests, s));
            let requests = requests.max().unwrap_or_default();
            let allowed = (requests as u64 * RETRY_PERCENT) as f64 / 100.0 + RETRY_SLACK as f64;
            (start, within(&self.retries, start), allowed)
        };
        let starts = self
            .retries
            .iter()
            .flat_map(|at| [*at, (at + 1).saturating_sub(window_ms)]);
        let windows = starts.map(window);
        let share = |w: &(u64, usize, f64)| w.1 as f64 / w.2;
        windows.max_by(|a, b| share(a).total_cmp(&share(b)))
    }
}

/// Describes the window in which a service got the largest share of its allowed retries.
pub fn describe_retries(evidence: &Evidence, service: Service) -> String {
    match RetryTimes::new(evidence, service).fullest_window() {
        Some((start, retries, allowed)) => format!(
            "{retries} retries for {} within {RETRY_WINDOW_SECS} s from {start} ms, {allowed:.1} allowed",
            service.name()
        ),
        None => format!("no retries for {}", service.name()),
    }
}

fn check_retries(evidence: &Evidence) -> Vec<Violation> {
    let exceeds = |service: &Service| {
        let window = RetryTimes::new(evidence, *service).fullest_window();
        window.is_some_and(|(_, retries, allowed)| retries as f64 > allowed)
    };
    let violation = |service| Violation {
        guarantee: "retries stay within the budget",
        request: None,
        detail: describe_retries(evidence, service),
    };
    Service::ALL
        .into_iter()
        .filter(exceeds)
        .map(violation)
        .collect()
}

fn check_return(evidence: &Evidence) -> Vec<Violation> {
    let Some(returned_at) = evidence.returned_at else {
        return Vec::new();
    };
    let span = returned_at + RETURN_SPAN_MS.start..returned_at + RETURN_SPAN_MS.end;
    let after = evidence.records.iter();
    let after: Vec<&Record> = after
        .filter(|r| r.key == Key::Large && !r.left && span.contains(&r.sent_at))
        .collect();
    let served = after.iter().filter(|r| r.is_served()).count();
    let enough = !after.is_empty() && served * RETURN_SHARE_DIVISOR >= after.len();
    let violation = Violation {
        guarantee: "service is back in time after all instances were killed",
        request: None,
        detail: format!("{served} of {} requests served", after.len()),
    };
    (!enough).then_some(violation).into_iter().collect()
}

/// Checks that each request that an instance has accepted gets the end of its answer or of its refusal, also one
/// that waits during a planned stop. A stream that has begun may also end with the time of its caller. An overloaded
/// instance closes connections that it has not read: a reset or its log shows that.
fn check_ends(evidence: &Evidence) -> Vec<Violation> {
    let guarantee = "each accepted request is answered, or refused with its final status";
    let mut closed_unread = evidence.closed_unread.clone();
    let mut was_unread = |r: &Record| {
        let closed = closed_unread
            .iter_mut()
            .find(|(instance, logged_at, count)| {
                // Callers may see the end after the line was logged.
                let within = r.sent_at..r.ended_at + CLOSED_LOGGED_MS;
                *instance == r.instance && *count > 0 && within.contains(logged_at)
            });
        closed.is_some_and(|(_, _, count)| {
            *count -= 1;
            true
        })
    };
    let unended = evidence.records.iter().filter(|r| {
        let late = r.took_ms() > ACCEPTED_AFTER_MS;
        let accepted = r.status != 0 || late && !r.reset;
        let ended = r.status != 0 && r.complete || r.status == 200 && r.is_overdue();
        accepted && !ended && !r.left && evidence.is_faultless(&(r.sent_at..r.ended_at))
    });
    let detail = |r: &Record| {
        let (status, sent_at, ended_at) = (r.status, r.sent_at, r.ended_at);
        let instance = r.instance;
        format!("status {status}, sent to instance {instance} at {sent_at} ms, broken off at {ended_at} ms")
    };
    let unended = unended.filter(|r| r.status != 0 || !was_unread(r));
    unended
        .map(|r| violation(guarantee, r, detail(r)))
        .collect()
}

/// Checks that no request is sent to an upstream after its caller has left.
fn check_departures(evidence: &Evidence) -> Vec<Violation> {
    let guarantee = "no request is sent to an upstream after its caller has left";
    let mut violations = Vec::new();
    for record in evidence.records.iter().filter(|r| r.left) {
        let Some(&sent_at) = evidence.last_arrivals.get(&record.id) else {
            continue;
        };
        let late = sent_at > record.ended_at + DEPARTURE_MS;
        let span = record.sent_at..sent_at;
        if late && evidence.is_faultless(&span) && evidence.late_ms(&span) == 0 {
            let detail = format!("left at {} ms, sent at {sent_at} ms", record.ended_at);
            violations.push(violation(guarantee, record, detail));
        }
    }
    violations
}

/// Checks that, while there are no faults, some requests of each priority and route are served.
fn check_starvation(evidence: &Evidence) -> Vec<Violation> {
    let mut violations = Vec::new();
    for window in evidence.service_spans() {
        for key in [Key::Large, Key::Urgent, Key::Patient] {
            for route in Route::ALL {
                let requests = evidence.records.iter().filter(|r| {
                    let within = window.contains(&r.sent_at);
                    r.key == key && r.route == route && within && !r.left
                });
                let (count, served) = requests.fold((0, 0), |(count, served), r| {
                    (count + 1, served + usize::from(r.is_served()))
                });
                if count >= MIN_KIND_REQUESTS && served == 0 {
                    violations.push(Violation {
                        guarantee: "no request starves, whatever its priority",
                        request: None,
                        detail: format!("{key:?}, {route:?}: none of {count} in {window:?} ms"),
                    });
                }
            }
        }
    }
    violations
}

/// Checks that a request is not ended by one 421 as its only attempt: another upstream serves it, unless all others
/// are busy. While the soak itself is late, an instance may give up an attempt before it is answered.
fn check_misdirects(evidence: &Evidence) -> Vec<Violation> {
    let guarantee = "a 421 doesn't end a request that another upstream could serve";
    let has_tokens = |key| matches!(key, Key::Large | Key::Urgent | Key::Patient);
    let ended = evidence.records.iter().filter(|r| {
        let only_misdirected = evidence.misdirects.get(&r.id) == Some(&1) && evidence.runs(r) == 0;
        let in_time = evidence.late_ms(&(r.sent_at..r.ended_at)) == 0;
        let ended = !r.is_served() && r.status != 429;
        let span = r.sent_at.saturating_sub(RECOVERY_MS)..r.ended_at;
        only_misdirected
            && ended
            && in_time
            && !r.left
            && has_tokens(r.key)
            && evidence.has_only_address_faults(&span)
    });
    let detail = |r: &Record| format!("status {} after a 421", r.status);
    ended.map(|r| violation(guarantee, r, detail(r))).collect()
}

fn check_processes(evidence: &Evidence) -> Vec<Violation> {
    let failure = |detail: &String| Violation {
        guarantee: "instances neither panic nor outlive a planned stop",
        request: None,
        detail: detail.clone(),
    };
    evidence.failures.iter().map(failure).collect()
}
