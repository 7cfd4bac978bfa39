//! The queue of one service.

use std::cmp::{Ordering, Reverse};
use std::collections::BTreeMap;

use crate::pace::{Ahead, Outlook, Pace};
use crate::share::{Shares, Tag};
use crate::{Cause, Class, Customer, Kind, Reason, Refused, Request, WaitId};

/// One of this many places goes to the priority that has waited longest for one; the others go to the most
/// urgent one.
///
/// If urgency grew without this bound, less urgent requests with long limits would gather until they are as
/// urgent as new ones, and then take most places from those.
pub(crate) const TURNS: u64 = 16;

/// A request that waits is refused when a place is expected for it after this multiple of the time that it has
/// left: estimates are rough, and it may have waited for most of its time.
const HOPELESS_FACTOR: f64 = 3.0;
/// Number of instances from which on requests are held back: with a few, it costs the less urgent ones more places
/// than it gives to the urgent ones.
const MIN_INSTANCES: u32 = 30;
/// Number of instances with waiting requests from which on the less urgent ones are held back. With fewer, places
/// would stay free until one of them tries.
const MIN_COMPETITORS: f64 = 5.0;
/// Requests are held back for this long after one was accepted by no upstream, in milliseconds.
const HELD_BACK_MS: u64 = 500;
/// Requests that are held back try at one of this many checks.
const CHECKS_HELD_BACK: u64 = 4;

/// A request that waits, or that is being sent after it has waited.
#[derive(Clone, Copy, Debug)]
struct Waiter {
    id: WaitId,
    request: Request,
    tag: Tag,
    arrived_at: u64,
    /// Latest time at which it is useful to send it, in milliseconds.
    latest_start: u64,
    /// Whether it was told to try; it does not count as waiting meanwhile.
    trying: bool,
    /// Why it was told to try, if it was.
    cause: Option<Cause>,
    /// Whether it was told so because its priority had waited longest for a place.
    in_turn: bool,
    /// Whether no upstream has accepted it.
    was_denied: bool,
}

impl Waiter {
    /// Returns whether it goes before another one.
    fn precedes(&self, other: &Waiter) -> bool {
        self.order(other).is_lt()
    }

    fn order(&self, other: &Waiter) -> Ordering {
        let (own, others) = (&self.request, &other.request);
        let by_priority = own.priority.cmp(&others.priority);
        let by_share = self.tag.start.total_cmp(&other.tag.start);
        let by_deadline = own.deadline.cmp(&others.deadline);
        by_priority
            .then(by_share)
            .then(by_deadline)
            .then(self.id.cmp(&other.id))
    }

    fn is_same_customer(&self, other: &Waiter) -> bool {
        let (own, others) = (&self.request, &other.request);
        own.priority == others.priority && own.customer == others.customer
    }
}

/// The requests of one service.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    waiters: Vec<Waiter>,
    bytes: usize,
    /// When upstreams were last expected to accept a request, of any class.
    outlook: Option<Outlook>,
    /// The same for each class of which requests wait.
    outlooks: BTreeMap<Class, Outlook>,
    /// When a request was last accepted by no upstream, in milliseconds.
    denied_at: Option<u64>,
    /// Until when the requests of a class try at no check, in milliseconds.
    pauses: BTreeMap<Class, u64>,
    /// Number of regular checks so far.
    checks: u64,
    /// Number of places given since one was given in turn.
    places_since_turn: u64,
    /// When the last place was given to each priority, in milliseconds.
    last_places: BTreeMap<u8, u64>,
    pub(crate) pace: Pace,
    /// By priority.
    shares: BTreeMap<u8, Shares>,
}

impl Queue {
    /// Returns the number of requests, and of their bytes.
    pub(crate) fn size(&self) -> (usize, usize) {
        (self.waiters.len(), self.bytes)
    }

    /// Records a customer's request, whether it waits or not.
    pub(crate) fn record_request(&mut self, now: u64, priority: u8, customer: &str) -> Customer {
        let shares = self.shares.entry(priority).or_default();
        shares.record_request(now, customer)
    }

    /// Records that a request was sent without waiting.
    pub(crate) fn record_start(&mut self, now: u64, priority: u8, customer: Customer) {
        let shares = self.shares.entry(priority).or_default();
        let tag = shares.next_tag(now, customer);
        shares.take(customer, tag);
        shares.record_start(tag);
        self.pace.record_start(now, priority);
    }

    fn next_tag(&self, now: u64, request: &Request) -> Tag {
        let shares = self.shares.get(&request.priority);
        shares.map_or(Tag::default(), |s| s.next_tag(now, request.customer))
    }

    fn waiter(&self, id: WaitId) -> Option<&Waiter> {
        self.waiters.iter().find(|w| w.id == id)
    }

    fn new_waiter(&self, now: u64, id: WaitId, request: Request) -> Waiter {
        let took_ms = self.pace.took_ms(request.priority, request.default_took_ms);
        Waiter {
            id,
            request,
            tag: self.next_tag(now, &request),
            arrived_at: now,
            latest_start: request.deadline.saturating_sub(took_ms),
            trying: false,
            cause: None,
            in_turn: false,
            was_denied: false,
        }
    }

    /// Returns whether a request of the same class goes before a new one.
    pub(crate) fn is_blocked(&self, now: u64, id: WaitId, request: &Request) -> bool {
        let new = self.new_waiter(now, id, *request);
        if self.is_held_back(now, request.priority) {
            return true;
        }
        let mut waiters = self.waiters.iter();
        waiters.any(|w| w.request.class == request.class && w.precedes(&new))
    }

    /// Adds a request, unless no place is expected for it in time.
    ///
    /// # Errors
    ///
    /// Returns why the request does not wait.
    pub(crate) fn join(
        &mut self,
        now: u64,
        id: WaitId,
        request: Request,
        outlook: Option<Outlook>,
    ) -> Result<(), Refused> {
        self.end_pauses(now);
        self.record_outlook(request.class, outlook);
        let waiter = Waiter {
            was_denied: outlook.is_some(),
            ..self.new_waiter(now, id, request)
        };
        let refused = self.refused(now, &waiter, Reason::TooLate);
        if now + refused.expected_ms > waiter.latest_start {
            self.forget_outlook(request.class);
            return Err(refused);
        }
        let shares = self.shares.entry(request.priority).or_default();
        shares.take(request.customer, waiter.tag);
        self.bytes += request.bytes;
        self.waiters.push(waiter);
        if waiter.was_denied {
            self.denied_at = Some(now);
        }
        self.update_nonempty(now);
        self.sort_by_deadline(&waiter);
        Ok(())
    }

    fn record_outlook(&mut self, class: Class, outlook: Option<Outlook>) {
        if let Some(outlook) = outlook {
            self.outlook = Some(outlook);
            self.outlooks.insert(class, outlook);
        }
    }

    /// Returns when upstreams are expected to accept a request of a class: by what its own requests have met, since
    /// others may be sent to other upstreams.
    fn outlook_of(&self, class: Class) -> Option<Outlook> {
        self.outlooks.get(&class).copied().or(self.outlook)
    }

    /// Forgets the outlook of a class unless its requests wait.
    fn forget_outlook(&mut self, class: Class) {
        if !self.waiters.iter().any(|w| w.request.class == class) {
            self.outlooks.remove(&class);
        }
    }

    /// Distributes the tags of a customer's requests among these by their deadlines.
    fn sort_by_deadline(&mut self, new: &Waiter) {
        let same = |w: &&mut Waiter| !w.trying && w.is_same_customer(new);
        let mut waiters: Vec<&mut Waiter> = self.waiters.iter_mut().filter(same).collect();
        let mut tags: Vec<Tag> = waiters.iter().map(|w| w.tag).collect();
        tags.sort_unstable_by(|a, b| a.start.total_cmp(&b.start));
        waiters.sort_by_key(|w| (w.request.deadline, w.id));
        for (waiter, tag) in waiters.iter_mut().zip(tags) {
            waiter.tag = tag;
        }
    }

    /// Returns the time until a place is expected for a request, in milliseconds.
    fn expected_ms(&mut self, now: u64, waiter: &Waiter) -> u64 {
        let Some(outlook) = self.outlook_of(waiter.request.class) else {
            return 0;
        };
        let mut ahead = self.ahead_of_all(now, waiter.request.priority);
        let before = |w: &&Waiter| w.precedes(waiter) && !w.trying;
        for other in self.waiters.iter().filter(before) {
            if other.request.priority < waiter.request.priority {
                ahead.more_urgent += 1;
            } else {
                ahead.same_priority += 1;
            }
        }
        self.expected_behind_ms(now, &waiter.request, outlook, ahead)
    }

    /// Returns what holds for a request of a priority if no other one is before it.
    fn ahead_of_all(&self, now: u64, priority: u8) -> Ahead {
        let mut priorities: Vec<u8> = self.waiters.iter().map(|w| w.request.priority).collect();
        priorities.push(priority);
        priorities.sort_unstable();
        priorities.dedup();
        Ahead {
            priorities: priorities.len(),
            stalled_ms: self.stalled_ms(now),
            ..Ahead::default()
        }
    }

    fn expected_behind_ms(
        &mut self,
        now: u64,
        request: &Request,
        outlook: Outlook,
        ahead: Ahead,
    ) -> u64 {
        let (priority, default_took_ms) = (request.priority, request.default_took_ms);
        self.pace
            .expected_ms(now, priority, default_took_ms, outlook, ahead)
    }

    /// Removes the requests for which no place is expected in time any more: their callers may have time left
    /// to try elsewhere.
    pub(crate) fn review(&mut self, now: u64) -> Vec<(WaitId, Refused)> {
        let waiting = self.waiters.iter().filter(|w| !w.trying);
        let mut waiting: Vec<Waiter> = waiting.copied().collect();
        waiting.sort_unstable_by(Waiter::order);
        let Some(first) = waiting.first() else {
            return Vec::new();
        };
        let mut ahead = self.ahead_of_all(now, first.request.priority);
        let mut priority = first.request.priority;
        let mut removed = Vec::new();
        for (i, waiter) in waiting.iter().enumerate() {
            if waiter.request.priority > priority {
                priority = waiter.request.priority;
                ahead.more_urgent += ahead.same_priority;
                ahead.same_priority = 0;
            }
            let expected_ms = match self.outlook_of(waiter.request.class) {
                Some(outlook) => self.expected_behind_ms(now, &waiter.request, outlook, ahead),
                None => 0,
            };
            let left_ms = waiter.latest_start.saturating_sub(now);
            if expected_ms as f64 > left_ms as f64 * HOPELESS_FACTOR {
                let refused = Refused {
                    reason: Reason::TooLate,
                    length: self.waiters.len(),
                    position: i + 1,
                    expected_ms,
                };
                removed.push((waiter.id, refused));
            } else {
                ahead.same_priority += 1;
            }
        }
        for (id, _) in &removed {
            self.remove(now, *id);
        }
        removed
    }

    /// Returns for how long no request has started although some wait, in milliseconds.
    fn stalled_ms(&self, now: u64) -> u64 {
        let waiting = self.waiters.iter().filter(|w| !w.trying);
        let Some(oldest) = waiting.map(|w| w.arrived_at).min() else {
            return 0;
        };
        let since = self.pace.last_start().map_or(oldest, |at| at.max(oldest));
        now.saturating_sub(since)
    }

    fn refused(&mut self, now: u64, waiter: &Waiter, reason: Reason) -> Refused {
        let expected_ms = self.expected_ms(now, waiter);
        let others = self.waiters.iter().filter(|w| w.id != waiter.id);
        let before = others.filter(|w| w.precedes(waiter));
        Refused {
            reason,
            length: self.waiters.len(),
            position: before.count() + 1,
            expected_ms,
        }
    }

    /// Removes the request that is refused when the queue is full: the least urgent one with the largest
    /// excess over its customer's share. One request of each priority stays, so that no priority is kept
    /// out for long.
    pub(crate) fn displace(&mut self, now: u64) -> Option<(WaitId, Refused)> {
        let has_others = |w: &&Waiter| {
            let same = |o: &&Waiter| o.request.priority == w.request.priority;
            self.waiters.iter().filter(same).nth(1).is_some()
        };
        let waiting = self.waiters.iter().filter(|w| !w.trying);
        let victim = *waiting.filter(has_others).max_by(|a, b| a.order(b))?;
        let refused = self.refused(now, &victim, Reason::Full);
        self.remove(now, victim.id);
        Some((victim.id, refused))
    }

    /// Returns whether requests of a priority let a moment pass before they try for a place, so that more urgent
    /// ones of other instances can take it.
    fn is_held_back(&self, now: u64, priority: u8) -> bool {
        let Some(Outlook::Busy { instances, .. }) = self.outlook else {
            return false;
        };
        if !self.was_denied_recently(now) {
            return false;
        }
        if instances < MIN_INSTANCES {
            return false;
        }
        let competitors = f64::from(instances) * self.pace.nonempty_part(now);
        competitors >= MIN_COMPETITORS && self.pace.has_more_urgent(priority)
    }

    /// Returns the cause for which a request is told to try: every few checks are full ones. A check that goes on after
    /// a denial is no new one.
    fn cause_of_next(&mut self, cause: Cause, denied: &[Kind]) -> Cause {
        if cause != Cause::Check || !denied.is_empty() {
            return cause;
        }
        self.checks += 1;
        if self.checks % CHECKS_HELD_BACK == 0 {
            Cause::FullCheck
        } else {
            Cause::Check
        }
    }

    /// Returns the request that is told to try for a place that may be free; none of a kind that was denied a
    /// moment ago.
    pub(crate) fn next(&mut self, now: u64, cause: Cause, denied: &[Kind]) -> Option<WaitId> {
        let cause = self.cause_of_next(cause, denied);
        self.end_pauses(now);
        let includes_held_back = cause == Cause::FullCheck;
        let waiting = self
            .waiters
            .iter()
            .filter(|w| !w.trying && !denied.contains(&w.request.kind))
            .filter(|w| cause == Cause::Freed || !self.is_paused(now, w.request.class));
        let waiting: Vec<&Waiter> = waiting.collect();
        let may_try =
            |w: &&&Waiter| includes_held_back || !self.is_held_back(now, w.request.priority);
        // A denial uses up no turn: most of them are for lack of a place. Others go on in the usual order. The turn
        // of a priority that is held back is kept for it.
        let is_due = self.places_since_turn + 1 >= TURNS && denied.is_empty();
        let in_turn = self
            .longest_waiting(&waiting)
            .filter(|w| is_due && may_try(w));
        let is_in_turn = in_turn.is_some();
        let most_urgent = waiting.iter().filter(may_try);
        let first = in_turn.or_else(|| most_urgent.min_by_key(|w| w.request.priority));
        let priority = first?.request.priority;
        let of_priority = waiting.iter().filter(|w| w.request.priority == priority);
        let id = of_priority.min_by(|a, b| a.order(b))?.id;
        let next = self.waiters.iter_mut().find(|w| w.id == id)?;
        next.trying = true;
        next.cause = Some(cause);
        next.in_turn = is_in_turn;
        Some(id)
    }

    /// Returns a request of the priority that has waited longest for a place.
    fn longest_waiting<'a, 'b>(&self, waiting: &'b [&'a Waiter]) -> Option<&'b &'a Waiter> {
        // Of the requests of a priority, the one that has waited longest decides.
        let waits_since = |w: &Waiter| {
            let last_place = self.last_places.get(&w.request.priority);
            w.arrived_at.max(last_place.copied().unwrap_or_default())
        };
        let order = |w: &&&Waiter| (waits_since(w), Reverse(w.request.priority));
        waiting.iter().min_by_key(order)
    }

    /// Records that a request that was told to try was accepted by no upstream: it waits on, at its place.
    pub(crate) fn resume(&mut self, now: u64, id: WaitId, outlook: Option<Outlook>) {
        if let Some(waiter) = self.waiters.iter_mut().find(|w| w.id == id) {
            waiter.trying = false;
            waiter.was_denied = true;
            let class = waiter.request.class;
            self.record_outlook(class, outlook);
            self.denied_at = Some(now);
            self.update_nonempty(now);
        }
    }

    /// Lets requests of a class try at no check before `until`.
    pub(crate) fn pause(&mut self, class: Class, until: u64) {
        self.pauses.insert(class, until);
    }

    fn was_denied_recently(&self, now: u64) -> bool {
        self.denied_at.is_some_and(|at| now <= at + HELD_BACK_MS)
    }

    /// Forgets the pauses that are over.
    fn end_pauses(&mut self, now: u64) {
        self.pauses.retain(|_, until| now < *until);
    }

    fn is_paused(&self, now: u64, class: Class) -> bool {
        self.pauses.get(&class).is_some_and(|until| now < *until)
    }

    /// Updates whether requests wait because there are too few places: those that are only held back don't show
    /// that.
    fn update_nonempty(&mut self, now: u64) {
        let is_nonempty = if self.was_denied_recently(now) {
            !self.waiters.is_empty()
        } else {
            self.waiters.iter().any(|w| w.was_denied)
        };
        self.pace.set_nonempty(now, is_nonempty);
    }

    /// Records that a request that was told to try was sent.
    pub(crate) fn take_turn(&mut self, now: u64, id: WaitId) {
        let Some(waiter) = self.take_out(now, id) else {
            return;
        };
        let priority = waiter.request.priority;
        if waiter.in_turn {
            self.places_since_turn = 0;
        } else {
            self.places_since_turn += 1;
        }
        self.last_places.insert(priority, now);
        self.pace.record_start(now, priority);
        let shares = self.shares.entry(priority).or_default();
        shares.record_start(waiter.tag);
    }

    /// Removes a request that is not sent; returns whether it was there.
    pub(crate) fn remove(&mut self, now: u64, id: WaitId) -> bool {
        let Some(waiter) = self.take_out(now, id) else {
            return false;
        };
        // The customer's other requests move up.
        for other in &mut self.waiters {
            if other.is_same_customer(&waiter) && other.tag.start > waiter.tag.start {
                other.tag.start -= waiter.tag.interval_ms;
            }
        }
        let shares = self.shares.entry(waiter.request.priority).or_default();
        shares.give_back(waiter.request.customer, waiter.tag);
        true
    }

    fn take_out(&mut self, now: u64, id: WaitId) -> Option<Waiter> {
        let i = self.waiters.iter().position(|w| w.id == id)?;
        let waiter = self.waiters.swap_remove(i);
        self.bytes -= waiter.request.bytes;
        self.update_nonempty(now);
        self.forget_outlook(waiter.request.class);
        if self.waiters.is_empty() {
            self.pauses.clear();
        }
        Some(waiter)
    }

    /// Returns the latest useful start of a request, in milliseconds.
    pub(crate) fn latest_start(&self, id: WaitId) -> Option<u64> {
        self.waiter(id).map(|w| w.latest_start)
    }

    /// Returns whether a request was told to try.
    pub(crate) fn is_trying(&self, id: WaitId) -> bool {
        self.waiter(id).is_some_and(|w| w.trying)
    }

    /// Returns why a request was told to try last; none if it was not, or waits no longer.
    pub(crate) fn cause(&self, id: WaitId) -> Option<Cause> {
        self.waiter(id)?.cause
    }

    /// Removes a request that is refused; returns its refusal if it was there.
    pub(crate) fn refuse(&mut self, now: u64, id: WaitId, reason: Reason) -> Option<Refused> {
        let waiter = *self.waiter(id)?;
        let refused = self.refused(now, &waiter, reason);
        self.remove(now, id);
        Some(refused)
    }

    /// Limits the time for which requests wait, because the instance stops; removes those that would not end
    /// before `until`.
    pub(crate) fn stop(&mut self, now: u64, until: u64) -> Vec<(WaitId, Refused)> {
        let mut removed = Vec::new();
        for i in 0..self.waiters.len() {
            let mut waiter = self.waiters[i];
            let request = waiter.request;
            let took_ms = self.pace.took_ms(request.priority, request.default_took_ms);
            let latest_start = until.saturating_sub(took_ms);
            waiter.latest_start = waiter.latest_start.min(latest_start);
            self.waiters[i] = waiter;
            if waiter.latest_start <= now && !waiter.trying {
                let refused = self.refused(now, &waiter, Reason::Stopping);
                removed.push((waiter.id, refused));
            }
        }
        for (id, _) in &removed {
            self.remove(now, *id);
        }
        removed
    }

    /// Returns the number of requests that wait, by priority.
    pub(crate) fn by_priority(&self) -> [usize; 10] {
        let mut counts = [0; 10];
        for waiter in &self.waiters {
            counts[usize::from(waiter.request.priority).min(9)] += 1;
        }
        counts
    }

    /// Returns for how long the longest-waiting request has waited, in milliseconds.
    pub(crate) fn longest_wait_ms(&self, now: u64) -> u64 {
        let oldest = self.waiters.iter().map(|w| w.arrived_at).min();
        oldest.map_or(0, |at| now.saturating_sub(at))
    }
}
