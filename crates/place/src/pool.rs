//! All upstreams of all services, and the choice among them.

use std::cmp::Ordering;
use std::collections::{BTreeSet, HashMap};

use smallvec::SmallVec;

use crate::upstream::{Held, Key, Load, Outcome, Part, Spec, Ticket, Upstream};

/// First guess of how long an engine reads a token, in milliseconds; learnt from what is seen.
const READ_MS_FIRST: f64 = 0.016;
/// A token is read against all tokens before it: with so many of them before it, it takes twice as long.
const CONTEXT_DOUBLES: f64 = 24_000.0;
/// Time of an engine's first token besides its reading, in milliseconds.
const FIRST_MS: f64 = 10.0;
/// First guess of how long a plain call takes, in milliseconds; learnt from what is seen.
const CALL_MS_FIRST: f64 = 50.0;
/// Weight of one request in a service's averages.
const SERVICE_WEIGHT: f64 = 0.02;
/// What a request to another availability zone is taken to cost besides, in milliseconds: the way
/// there and back, and the bytes that are paid for.
const ZONE_MS: f64 = 4.0;
/// What reading the shared beginning of a prompt once more costs besides its time, as a part of that
/// time: the engine's other requests wait for it, and it pushes other beginnings out.
const AGAIN_PART: f64 = 0.75;
/// Part of that at the engine that is next in turn for the beginning: when the first one is busy, all
/// instances read it anew there, rather than each at another one.
const NEXT_PART: f64 = 0.5;
/// What a request is taken to cost at an upstream at which all requests fail, in milliseconds.
const FAILING_MS: f64 = 2_000.0;
/// Percentage of the slots above which an upstream counts as full: reports are late, and other
/// instances fill the rest meanwhile.
const FULL_PCT: u32 = 90;
/// Plain services queue a few requests: percentage of the slots that may wait there.
const QUEUE_PCT: u32 = 150;
/// At least so many percent of a service's upstreams stay in use, whatever their health: when most
/// of them seem bad, the fault is elsewhere.
const KEPT_PCT: usize = 50;
/// Shortest time after which a refused request may come back, in milliseconds.
const RETRY_LEAST_MS: u64 = 300;

/// What a request wants.
#[derive(Clone, Copy, Debug)]
pub struct Want<'a> {
    /// The service.
    pub service: &'a str,
    /// The own availability zone.
    pub zone: &'a str,
    /// The parts of its prompt, in order; the last one is its own.
    pub parts: &'a [Part],
    /// Tokens of its prompt; 0 for a plain call.
    pub prompt: u32,
    /// Upstreams that were tried.
    pub tried: &'a [Key],
    /// When its answer is no longer wanted, in milliseconds.
    pub deadline: u64,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// Uniform over all values.
    pub random: u64,
}

/// A chosen upstream.
#[derive(Clone, Debug)]
pub struct Choice {
    /// The upstream.
    pub key: Key,
    /// As its list shows it.
    pub spec: Spec,
    /// The request there.
    pub ticket: Ticket,
    /// Tokens that it will have to read, as far as known.
    pub unread: u32,
    /// The same, weighed by how many tokens stand before them.
    pub work: f64,
    /// When the first token, or the answer, is expected, in milliseconds from now.
    pub expect_ms: f64,
}

/// Why no upstream was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denied {
    /// None is known.
    Unknown,
    /// All that are known were tried, leave, or are out.
    NoneLeft,
    /// They are so busy that the answer would come too late.
    Busy {
        /// Milliseconds after which coming back makes sense.
        retry_ms: u64,
    },
}

/// What is learnt of a service.
#[derive(Clone, Copy, Debug)]
struct Usual {
    read_ms: f64,
    call_ms: f64,
}

impl Default for Usual {
    fn default() -> Self {
        Usual {
            read_ms: READ_MS_FIRST,
            call_ms: CALL_MS_FIRST,
        }
    }
}

struct Rated {
    key: Key,
    unread: u32,
    work: f64,
    expect_ms: f64,
    cost_ms: f64,
}

/// All upstreams.
#[derive(Debug, Default)]
pub struct Pool {
    upstreams: Vec<Option<Upstream>>,
    by_id: HashMap<String, Key>,
    usual: HashMap<String, Usual>,
    tickets: u64,
}

impl Pool {
    /// Takes an entry of the list; returns whether it is new, or newly leaving.
    pub fn list(&mut self, spec: Spec) -> bool {
        if let Some(key) = self.by_id.get(&spec.id).copied() {
            let up = self.get_mut(key);
            let news = spec.leaving && !up.leaving;
            up.leaving |= spec.leaving;
            up.gone = false;
            up.spec = spec;
            return news;
        }
        let id = spec.id.clone();
        let free = self.upstreams.iter().position(Option::is_none);
        let at = free.unwrap_or(self.upstreams.len());
        let up = Some(Upstream::new(spec));
        if at == self.upstreams.len() {
            self.upstreams.push(up);
        } else {
            self.upstreams[at] = up;
        }
        self.by_id.insert(id, Key(at as u32));
        true
    }

    /// Takes the end of an entry of the list; returns whether it was there.
    pub fn delist(&mut self, id: &str) -> bool {
        let Some(key) = self.by_id.get(id).copied() else {
            return false;
        };
        let up = self.get_mut(key);
        let was = !up.gone;
        up.gone = true;
        self.drop_idle(key);
        was
    }

    /// Notes that an upstream is leaving, by whatever source; returns whether that is new.
    pub fn leaving(&mut self, id: &str) -> bool {
        let Some(key) = self.by_id.get(id).copied() else {
            return false;
        };
        let up = self.get_mut(key);
        let news = !up.leaving;
        up.leaving = true;
        news
    }

    /// Returns the listed upstreams.
    pub fn listed(&self) -> impl Iterator<Item = &Upstream> {
        self.upstreams.iter().flatten().filter(|u| !u.gone)
    }

    /// Returns the upstreams that all sources together say are leaving.
    pub fn all_leaving(&self) -> BTreeSet<String> {
        let leaving = self.upstreams.iter().flatten().filter(|u| u.leaving);
        leaving.map(|u| u.spec.id.clone()).collect()
    }

    fn get(&self, key: Key) -> &Upstream {
        let up = self.upstreams[key.0 as usize].as_ref();
        up.expect("kept while requests run there")
    }

    fn get_mut(&mut self, key: Key) -> &mut Upstream {
        let up = self.upstreams[key.0 as usize].as_mut();
        up.expect("kept while requests run there")
    }

    fn drop_idle(&mut self, key: Key) {
        let up = self.get(key);
        if up.gone && up.inflight == 0 {
            let id = up.spec.id.clone();
            self.by_id.remove(&id);
            self.upstreams[key.0 as usize] = None;
        }
    }

    /// Chooses an upstream, which then counts one request more.
    ///
    /// # Errors
    ///
    /// Returns why there is none.
    pub fn choose(&mut self, now: u64, want: &Want<'_>) -> Result<Choice, Denied> {
        let rated = self.rate(now, want)?;
        let by_cost = |a: &&Rated, b: &&Rated| {
            let order = a.cost_ms.partial_cmp(&b.cost_ms);
            order.unwrap_or(Ordering::Equal)
        };
        let best = rated.iter().min_by(by_cost).ok_or(Denied::NoneLeft)?;
        let left = want.deadline.saturating_sub(now);
        if best.expect_ms > left as f64 {
            let retry_ms = (best.expect_ms as u64).saturating_sub(left);
            return Err(Denied::Busy {
                retry_ms: retry_ms.max(RETRY_LEAST_MS),
            });
        }
        let (key, unread, expect_ms) = (best.key, best.unread, best.expect_ms);
        let work = best.work;
        self.tickets += 1;
        let ticket = Ticket(self.tickets);
        let read_ms = work * self.usual(want.service).read_ms;
        let up = self.get_mut(key);
        up.begin(now, ticket, read_ms);
        for part in want.parts {
            up.known.used(now, part.id);
        }
        Ok(Choice {
            key,
            spec: up.spec.clone(),
            ticket,
            unread,
            work,
            expect_ms,
        })
    }

    fn usual(&self, service: &str) -> Usual {
        self.usual.get(service).copied().unwrap_or_default()
    }

    /// Returns the upstreams that may take a request, with what it would cost there.
    fn rate(&self, now: u64, want: &Want<'_>) -> Result<Vec<Rated>, Denied> {
        let of_service = |u: &&Upstream| u.spec.service == want.service;
        if !self.listed().any(|u| of_service(&u)) {
            return Err(Denied::Unknown);
        }
        let all = self.upstreams.iter().enumerate();
        let all = all.filter_map(|(i, u)| Some((Key(i as u32), u.as_ref()?)));
        let staying = all.filter(|(_, u)| of_service(u) && !u.gone && !u.leaving);
        let staying: SmallVec<[(Key, &Upstream); 32]> = staying.collect();
        let fit: SmallVec<[(Key, &Upstream); 32]> = {
            let fit = staying.iter().filter(|(_, u)| may_use(u, now, want));
            fit.copied().collect()
        };
        let kept = fit.len() * 100 >= staying.len() * KEPT_PCT;
        let from = if kept { &fit } else { &staying };
        let homes = homes(want, from);
        let usual = self.usual(want.service);
        let untried = from.iter().filter(|(k, _)| !want.tried.contains(k));
        let (mut rated, mut full) = (Vec::with_capacity(from.len()), 0);
        for (key, up) in untried {
            if is_full(up, now, want) {
                full += 1;
                continue;
            }
            rated.push(rate_one(*key, up, now, want, homes.turn(*key), usual));
        }
        if rated.is_empty() && full > 0 {
            let retry_ms = RETRY_LEAST_MS + want.random % RETRY_LEAST_MS;
            return Err(Denied::Busy { retry_ms });
        }
        Ok(rated)
    }

    /// Returns what this instance has at its upstreams, for the others.
    pub fn held(&self, now: u64) -> Vec<(u64, Held)> {
        let busy = self.upstreams.iter().flatten().filter(|u| u.inflight > 0);
        busy.map(|u| (u.hash(), u.held(now))).collect()
    }

    /// Takes the word of another instance on what it has at its upstreams.
    pub fn hear(&mut self, now: u64, from: u64, held: &HashMap<u64, Held>) {
        let nothing = Held {
            reading_ms: 0.0,
            inflight: 0,
        };
        for up in self.upstreams.iter_mut().flatten() {
            let held = held.get(&up.hash()).copied().unwrap_or(nothing);
            up.hear(now, from, held);
        }
    }

    /// Takes an upstream's word on its load.
    pub fn report(&mut self, now: u64, key: Key, load: Load) {
        self.get_mut(key).report(now, load);
    }

    /// Takes the first token, or the answer, of a request.
    pub fn first(&mut self, now: u64, choice: &Choice, sent_at: u64) {
        let took = now.saturating_sub(sent_at) as f64;
        let service = choice.spec.service.clone();
        let usual = self.usual.entry(service).or_default();
        let alone_ms = if choice.unread > 0 {
            learn_reading(usual, choice.work, took);
            FIRST_MS + choice.work * usual.read_ms
        } else {
            usual.call_ms += (took - usual.call_ms) * SERVICE_WEIGHT;
            usual.call_ms
        };
        self.get_mut(choice.key).first(now, choice.ticket, alone_ms);
    }

    /// Counts the end of a request.
    pub fn end(&mut self, now: u64, key: Key, ticket: Ticket, outcome: Outcome) {
        self.get_mut(key).end(now, ticket, outcome);
        self.drop_idle(key);
    }
}

/// Prompts below this many unread tokens say little of the reading.
const LEARN_TOKENS: f64 = 1_000.0;
/// A request that waited for others takes longer than its own reading, so that what is slower counts
/// for less than what is faster.
const SLOWER_PART: f64 = 0.1;

fn learn_reading(usual: &mut Usual, work: f64, took: f64) {
    if work < LEARN_TOKENS {
        return;
    }
    let sample = (took - FIRST_MS).max(0.0) / work;
    let part = if sample > usual.read_ms {
        SLOWER_PART
    } else {
        1.0
    };
    usual.read_ms += (sample - usual.read_ms) * SERVICE_WEIGHT * part;
}

fn may_use(up: &Upstream, now: u64, want: &Want<'_>) -> bool {
    if up.health.is_out(now) {
        return false;
    }
    !up.health.is_on_trial() || (up.inflight == 0 && want.repeatable)
}

fn is_full(up: &Upstream, now: u64, want: &Want<'_>) -> bool {
    let pct = if want.prompt > 0 { FULL_PCT } else { QUEUE_PCT };
    up.occupancy(now) * 100 >= up.slots() * pct
}

/// Where all instances send prompts with the same beginning.
///
/// Each instance sees a part of the requests only. Were each to go by what it sent itself, the same
/// beginning would be read by as many engines as there are instances.
#[derive(Clone, Copy, Debug, Default)]
struct Homes {
    first: Option<Key>,
    next: Option<Key>,
}

/// Whose turn it is to read a beginning.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Turn {
    First,
    Next,
    Later,
}

impl Homes {
    fn turn(&self, key: Key) -> Turn {
        if self.first == Some(key) {
            Turn::First
        } else if self.next == Some(key) {
            Turn::Next
        } else {
            Turn::Later
        }
    }
}

fn homes(want: &Want<'_>, from: &[(Key, &Upstream)]) -> Homes {
    let Some(shared) = want.parts.len().checked_sub(2) else {
        return Homes::default();
    };
    let what = want.parts[shared].id;
    let rank = |(_, up): &&(Key, &Upstream)| up.rank(what);
    let first = from.iter().max_by_key(rank).map(|(key, _)| *key);
    let others = from.iter().filter(|(key, _)| Some(*key) != first);
    let next = others.max_by_key(rank).map(|(key, _)| *key);
    Homes { first, next }
}

fn rate_one(key: Key, up: &Upstream, now: u64, want: &Want<'_>, turn: Turn, usual: Usual) -> Rated {
    let slowness = up.slowness(now);
    let (unread, work) = if want.prompt > 0 {
        let unread = unread(up, now, want, turn == Turn::First);
        (unread, work(unread, want.prompt))
    } else {
        (0, 0.0)
    };
    let own = want.parts.last().map_or(want.prompt, |p| p.tokens);
    let again = f64::from(unread.saturating_sub(own)) * usual.read_ms;
    let again = match turn {
        Turn::First => 0.0,
        Turn::Next => again * AGAIN_PART * NEXT_PART,
        Turn::Later => again * AGAIN_PART,
    };
    let expect_ms = if want.prompt > 0 {
        let own = (FIRST_MS + work * usual.read_ms) * slowness;
        let waits = (up.reading_ms(now) * slowness).max(up.delay(now));
        own + waits
    } else {
        let ahead = up.occupancy(now).saturating_sub(up.slots() - 1);
        let rounds = 1.0 + f64::from(ahead) / f64::from(up.slots());
        usual.call_ms * slowness * rounds
    };
    let taken = f64::from(up.occupancy(now)) / f64::from(up.slots());
    let away = if up.spec.zone == want.zone {
        0.0
    } else {
        ZONE_MS
    };
    let failing = up.health.failing(now) * FAILING_MS;
    // Full upstreams answer more slowly; among equals this also spreads the requests.
    let crowd = taken * expect_ms.min(CALL_MS_FIRST);
    Rated {
        key,
        unread,
        work,
        expect_ms,
        cost_ms: expect_ms + again + away + failing + crowd,
    }
}

/// Returns the tokens of a prompt that an upstream will have to read, as far as known.
fn unread(up: &Upstream, now: u64, want: &Want<'_>, home: bool) -> u32 {
    let shared = want.parts.len().saturating_sub(1);
    let mut kept = 0;
    for (i, part) in want.parts.iter().enumerate() {
        let has = (home && i < shared) || up.known.has(now, part.id);
        if !has {
            break;
        }
        kept += part.tokens;
    }
    // The last token is read in any case.
    want.prompt.saturating_sub(kept).max(1)
}

/// Returns the work of reading the last tokens of a prompt, in tokens that stand at its beginning.
fn work(unread: u32, prompt: u32) -> f64 {
    let before = f64::from(prompt) - f64::from(unread) / 2.0;
    f64::from(unread) * (1.0 + before / CONTEXT_DOUBLES)
}
