//! Random fleets over a store that loses answers and lands writes late: never more than prepaid.

use std::collections::BTreeMap;

use escrow::{Book, Holding, Known, Line, Record};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const CUSTOMER: &str = "c";
const ALONE: u64 = 1;

/// A write of the record and of one book, with the revisions that it expects.
#[derive(Clone)]
struct Write {
    name: String,
    record: (i64, Record),
    book: (i64, Book),
}

/// The record and the books with their revisions; late writes land when their conditions still hold.
#[derive(Default)]
struct Store {
    record: (i64, Record),
    books: BTreeMap<String, (i64, Book)>,
    revision: i64,
    late: Vec<Write>,
}

impl Store {
    fn book(&self, name: &str) -> (i64, Book) {
        self.books.get(name).cloned().unwrap_or_default()
    }

    fn commit(&mut self, write: &Write) -> bool {
        let holds = self.record.0 == write.record.0 && self.book(&write.name).0 == write.book.0;
        if !holds {
            return false;
        }
        self.revision += 1;
        // What goes through the store is text.
        let record = Record::parse(&write.record.1.to_bytes()).expect("sound");
        let book = Book::parse(&write.book.1.to_bytes()).expect("sound");
        self.record = (self.revision, record);
        self.books.insert(write.name.clone(), (self.revision, book));
        true
    }
}

/// One incarnation.
struct Node {
    name: String,
    id: String,
    holding: Holding,
    book: Option<i64>,
    open: Vec<u64>,
}

impl Node {
    fn new(name: &str, id: &str, prepaid: u64) -> Node {
        let mut holding = Holding::default();
        holding.set_prepaid(prepaid);
        Node {
            name: name.to_string(),
            id: id.to_string(),
            holding,
            book: None,
            open: Vec::new(),
        }
    }

    fn read(&mut self, store: &Store, at: u64) {
        let (revision, record) = store.record;
        self.holding.learn(Known {
            record,
            revision,
            at,
        });
        let (revision, book) = store.book(&self.name);
        if self.book == Some(revision) {
            return;
        }
        self.book = Some(revision);
        let line = book.line(CUSTOMER);
        if revision == 0 || book.owner == self.id {
            self.holding.confirm(line, revision);
        } else {
            self.holding.replaced(line);
        }
    }

    fn write(&self, line: Line) -> Write {
        let known = self.holding.known().expect("planned from it");
        let record = known.record.with(self.holding.line(), line);
        let book = Book {
            owner: self.id.clone(),
            lines: BTreeMap::from([(CUSTOMER.to_string(), line)]),
        };
        Write {
            name: self.name.clone(),
            record: (known.revision, record),
            book: (self.book.expect("read before"), book),
        }
    }

    /// Writes a line and reads what came of it.
    fn commit(&mut self, store: &mut Store, line: Line, at: u64) {
        assert!(store.commit(&self.write(line)));
        self.read(store, at);
    }
}

struct Fleet {
    rng: StdRng,
    now: u64,
    store: Store,
    nodes: Vec<Node>,
    spent: u64,
    prepaid: u64,
    born: u64,
}

impl Fleet {
    fn open(seed: u64) -> Fleet {
        let mut fleet = Fleet {
            rng: StdRng::seed_from_u64(seed),
            now: 0,
            store: Store::default(),
            nodes: Vec::new(),
            spent: 0,
            prepaid: 500_000,
            born: 0,
        };
        for _ in 0..5 {
            fleet.birth();
        }
        fleet
    }

    fn birth(&mut self) {
        let name = format!("n{}", self.born);
        self.start(&name);
    }

    fn start(&mut self, name: &str) {
        self.born += 1;
        let id = format!("{name}.{}", self.born);
        self.nodes.push(Node::new(name, &id, self.prepaid));
    }

    fn step(&mut self) {
        self.now += self.rng.random_range(1..200);
        let at = self.rng.random_range(0..self.nodes.len());
        match self.rng.random_range(0..100) {
            0..40 => self.request(at),
            40..70 => self.end(at),
            70..88 => self.talk(at),
            88..91 => self.transfer(at),
            91..93 => self.draw(at),
            93..96 => self.late(),
            96..98 => self.crash(at),
            _ => self.top_up(),
        }
        self.check();
    }

    fn request(&mut self, at: usize) {
        let tokens = self.rng.random_range(1_000..40_000);
        let now = self.now;
        self.nodes[at].holding.ask(now, tokens);
        if !self.nodes[at].holding.reserve(tokens) {
            // It waits while the store is asked.
            self.nodes[at].holding.lack(tokens);
            self.talk(at);
            self.nodes[at].holding.lack_no_more(tokens);
            if !self.nodes[at].holding.reserve(tokens) {
                return;
            }
        }
        self.nodes[at].open.push(tokens);
    }

    fn end(&mut self, at: usize) {
        let node = &mut self.nodes[at];
        let Some(tokens) = node.open.pop() else {
            return;
        };
        let spent = self.rng.random_range(0..=tokens);
        node.holding.settle(tokens, spent);
        self.spent += spent;
    }

    fn talk(&mut self, at: usize) {
        let sharers = self.nodes.len() as u64;
        let lost = self.rng.random_range(0..4) == 0;
        let late = self.rng.random_range(0..4) == 0;
        let node = &mut self.nodes[at];
        if self.rng.random_range(0..3) > 0 {
            node.read(&self.store, self.now);
        }
        let Some(line) = node.holding.plan(self.now, sharers) else {
            return;
        };
        let write = node.write(line);
        if late {
            self.store.late.push(write);
            return;
        }
        if self.store.commit(&write) && !lost {
            node.read(&self.store, self.now);
        }
    }

    fn late(&mut self) {
        if self.store.late.is_empty() {
            return;
        }
        let at = self.rng.random_range(0..self.store.late.len());
        let write = self.store.late.swap_remove(at);
        self.store.commit(&write);
    }

    fn transfer(&mut self, from: usize) {
        let to = self.rng.random_range(0..self.nodes.len());
        if to == from {
            return;
        }
        let wanted = self.rng.random_range(0..60_000);
        let asker = &self.nodes[to].holding;
        let (balance, rate) = (asker.balance(), asker.rate(self.now));
        let giver = &mut self.nodes[from].holding;
        let tokens = giver.give(self.now, wanted, balance, rate);
        if self.rng.random_range(0..4) > 0 {
            self.nodes[to].holding.receive(tokens);
        }
    }

    /// A request's tokens from another one; the call, or its answer, may be lost.
    fn draw(&mut self, at: usize) {
        let home = self.rng.random_range(0..self.nodes.len());
        if home == at {
            return;
        }
        let tokens = self.rng.random_range(1_000..40_000);
        let part = self.nodes[at].holding.reserve_part(tokens);
        let spent = self.nodes[at].holding.pass_on();
        let called = self.rng.random_range(0..8) > 0;
        let answered = called && self.rng.random_range(0..8) > 0;
        let lacking = tokens - part;
        let holding = &mut self.nodes[home].holding;
        if called {
            holding.hear(spent);
        }
        let drawn = called && holding.reserve(lacking);
        if drawn {
            holding.hand_over(lacking);
        }
        let node = &mut self.nodes[at];
        if drawn && answered {
            node.holding.receive(lacking);
            assert!(node.holding.reserve(lacking));
            node.open.push(tokens);
        } else {
            node.holding.settle(part, 0);
        }
    }

    /// What it had under way may have been spent to the last token. It starts again under its name, or
    /// another one takes its place; or its name is taken while it still runs.
    fn crash(&mut self, at: usize) {
        let fate = self.rng.random_range(0..8);
        let name = self.nodes[at].name.clone();
        if fate == 0 && self.nodes.len() < 8 {
            self.start(&name);
            return;
        }
        let node = self.nodes.swap_remove(at);
        self.spent += node.open.iter().sum::<u64>();
        if fate < 4 {
            self.start(&name);
        } else {
            self.birth();
        }
    }

    fn top_up(&mut self) {
        self.prepaid += 20_000;
        for node in &mut self.nodes {
            node.holding.set_prepaid(self.prepaid);
        }
    }

    fn check(&self) {
        let open: u64 = self.nodes.iter().flat_map(|n| &n.open).sum();
        assert!(self.spent + open <= self.prepaid, "budget exceeded");
        assert!(self.store.record.1.charged <= self.prepaid);
        assert!(
            self.store.record.1.spent <= self.spent + open,
            "spent twice"
        );
    }
}

#[test]
fn budgets_hold_over_lost_answers_late_writes_transfers_and_crashes() {
    let mut used = 0;
    for seed in 0..200 {
        let mut fleet = Fleet::open(seed);
        for _ in 0..2_000 {
            fleet.step();
        }
        used += fleet.spent * 100 / fleet.prepaid;
    }
    // A fleet that spends nothing would pass as well.
    assert!(used / 200 > 50, "only {used} in 200 budgets");
}

fn alone(prepaid: u64) -> (Store, Node) {
    (Store::default(), Node::new("one", "one.1", prepaid))
}

/// Symptom: tokens granted twice. Sequence: a take is sent, its answer is lost, a read shows the
/// record before it, then it lands. Cause: the read was taken for proof that it never would.
#[test]
fn a_take_that_lands_late_counts_once() {
    let (mut store, mut node) = alone(100_000);
    node.holding.ask(0, 10_000);
    node.read(&store, 0);
    let line = node.holding.plan(0, ALONE).expect("wants tokens");
    let late = node.write(line);
    node.read(&store, 10);
    assert_eq!(node.holding.balance(), 0, "nothing is covered yet");
    assert!(store.commit(&late));
    node.read(&store, 20);
    assert_eq!(node.holding.balance(), line.granted);
    assert_eq!(store.record.1.charged, line.granted);
}

/// Symptom: an instance ends itself, "a line is part of its sum". Sequence: a take for one customer lands
/// without an answer; a write for another customer loses, and brings the book, but not the first one's
/// record. Cause: the new line was taken together with the old record.
#[test]
fn a_line_that_is_newer_than_its_record_waits_for_it() {
    let (mut store, mut node) = alone(1_000_000);
    node.holding.ask(0, 50_000);
    node.read(&store, 0);
    let line = node.holding.plan(0, ALONE).expect("wants tokens");
    assert!(store.commit(&node.write(line)), "without an answer");
    let (revision, book) = store.book("one");
    node.book = Some(revision);
    node.holding.confirm(book.line(CUSTOMER), revision);
    assert_eq!(node.holding.balance(), line.granted, "they count at once");
    node.holding.lack(200_000);
    assert_eq!(node.holding.plan(5_000, ALONE), None);
    assert!(node.holding.known().is_none(), "to be read again");
    let (revision, record) = store.record;
    node.holding.learn(Known {
        record,
        revision,
        at: 5_000,
    });
    let line = node.holding.plan(5_000, ALONE).expect("wants more");
    node.commit(&mut store, line, 5_010);
}

/// Symptom: tokens handed back and spent. Sequence: the write that hands them back is lost, they are
/// spent here, the write lands, another instance takes them. Cause: the debit came with the answer.
#[test]
fn tokens_on_their_way_back_are_not_spent() {
    let (mut store, mut node) = alone(1_000_000);
    for t in 0..20 {
        node.holding.ask(t * 100, 20_000);
    }
    node.read(&store, 2_000);
    let line = node.holding.plan(2_000, ALONE).expect("wants tokens");
    node.commit(&mut store, line, 2_010);
    let before = node.holding.balance();
    let back = node.holding.plan(60_000, ALONE).expect("too much by now");
    assert!(back.returned > 0);
    assert_eq!(node.holding.balance(), before - back.returned);
    assert!(!node.holding.reserve(before), "they are on their way");
}

/// Symptom: a budget lowered by its operator is spent as if it had not been. Sequence: instances
/// hold grants, the operator lowers what is prepaid below them. Cause: grants were taken before.
#[test]
fn a_lowered_budget_binds_what_was_granted_before() {
    let (mut store, mut node) = alone(100_000_000);
    for t in 0..20 {
        node.holding.ask(t * 100, 20_000);
    }
    node.read(&store, 2_000);
    let line = node.holding.plan(2_000, ALONE).expect("wants tokens");
    node.commit(&mut store, line, 2_010);
    assert!(line.granted > 100_000);
    node.holding.set_prepaid(50_000);
    assert!(!node.holding.reserve(60_000));
    assert!(node.holding.reserve(40_000));
}

/// Symptom: tokens that an instance holds are lost, or counted twice, when another process takes its
/// name. Sequence: an instance is cut off, a second one starts under its name and writes its own
/// lines, the first one comes back. Cause: it took the missing line for a budget that forgot it.
#[test]
fn a_line_that_was_replaced_stays_charged_and_usable() {
    let (mut store, mut node) = alone(1_000_000);
    node.read(&store, 0);
    node.holding.ask(0, 50_000);
    let line = node.holding.plan(0, ALONE).expect("wants tokens");
    node.commit(&mut store, line, 1);
    assert!(node.holding.reserve(20_000));
    node.holding.settle(20_000, 20_000);
    let told = node.holding.plan(60_000, ALONE).expect("news for others");
    node.commit(&mut store, told, 60_001);

    let mut second = Node::new("one", "one.2", 1_000_000);
    second.read(&store, 60_010);
    assert_eq!(second.holding.balance(), 0, "the first one's are not its");
    second.holding.lack(30_000);
    let own = second.holding.plan(60_010, ALONE).expect("wants tokens");
    let charged = store.record.1.charged;
    second.commit(&mut store, own, 60_011);
    assert_eq!(store.record.1.charged, charged + own.granted);

    let before = node.holding.balance();
    node.read(&store, 60_020);
    assert_eq!(node.holding.balance(), before, "still usable");
    node.holding.lack(before + 100_000);
    let line = node.holding.plan(60_030, ALONE).expect("wants more");
    node.commit(&mut store, line, 60_031);
    assert_eq!(node.holding.balance(), before + line.granted);
    assert_eq!(store.record.1.spent, 20_000, "told once");
}

/// Symptom: grants shrink with every restart, for the demand of the dead counts beside that of the
/// living. Sequence: an instance is killed under load and starts again. Cause: its demand stays in
/// the sum.
#[test]
fn a_restart_replaces_the_demand_of_its_predecessor() {
    let (mut store, mut node) = alone(1_000_000_000);
    for t in 0..20 {
        node.holding.ask(t * 100, 20_000);
    }
    node.read(&store, 2_000);
    let line = node.holding.plan(2_000, ALONE).expect("wants tokens");
    node.commit(&mut store, line, 2_010);
    assert_eq!(store.record.1.rate, line.rate);
    let mut next = Node::new("one", "one.2", 1_000_000_000);
    next.read(&store, 3_000);
    next.holding.ask(3_000, 10_000);
    let line = next.holding.plan(3_000, ALONE).expect("wants tokens");
    next.commit(&mut store, line, 3_010);
    assert_eq!(store.record.1.rate, line.rate);
}

/// Symptom: a fleet of a hundred instances holds all that may be granted before the first request
/// came. Cause: each took a fixed share at its start.
#[test]
fn many_instances_take_nothing_without_demand() {
    let mut store = Store::default();
    for i in 0..100 {
        let mut node = Node::new(&format!("n{i}"), &format!("n{i}.1"), 1_000_000_000);
        node.read(&store, 0);
        if let Some(line) = node.holding.plan(0, 100) {
            node.commit(&mut store, line, 0);
        }
    }
    assert_eq!(store.record.1.charged, 0);
}

/// Symptom: 402 for a customer whose tokens lie stranded or elsewhere. Cause: what is charged was
/// taken for what is spent.
#[test]
fn only_spent_tokens_make_a_budget_exhausted() {
    let mut holding = Holding::default();
    holding.set_prepaid(100_000);
    let lost = Line {
        granted: 95_000,
        ..Line::default()
    };
    let record = Record::default().with(Line::default(), lost);
    let known = Known {
        record,
        revision: 1,
        at: 0,
    };
    holding.learn(known);
    let elsewhere = escrow::Short::OutOfReach { free: false };
    assert_eq!(holding.refusal(20_000), elsewhere);
    let spent = Line {
        granted: 95_000,
        spent: 90_000,
        ..Line::default()
    };
    let known = Known {
        record: record.with(lost, spent),
        revision: 2,
        at: 0,
    };
    holding.learn(known);
    assert_eq!(holding.refusal(20_000), escrow::Short::Exhausted);
}

/// Symptom: a stop writes the same lines twice. Cause: the last word did not look at what the store had.
#[test]
fn a_last_word_that_the_store_has_is_not_said_again() {
    let (mut store, mut node) = alone(1_000_000);
    assert_eq!(node.holding.leave(), None, "nothing is known");
    node.read(&store, 0);
    node.holding.lack(50_000);
    let line = node.holding.plan(0, ALONE).expect("wants tokens");
    node.commit(&mut store, line, 1);
    let last = node.holding.leave().expect("tokens to hand back");
    assert_eq!(last.returned, last.granted);
    node.commit(&mut store, last, 2);
    assert_eq!(node.holding.leave(), None);
    assert_eq!(store.record.1.charged, 0);
}

/// Symptom: each instance asks another one for the same tokens, or all of them one. Cause: the home of
/// a customer was chosen by what an instance sees, or did not depend on the customer.
#[test]
fn a_large_zone_has_one_home_for_a_customer_and_spreads_customers() {
    let names = |n: usize| (0..n).map(|i| format!("n{i}")).collect::<Vec<_>>();
    assert!(escrow::homes("c", &names(6), String::as_str).is_empty());
    let zone = names(30);
    let mut firsts = BTreeMap::new();
    for c in 0..300 {
        let customer = format!("c{c}");
        let homes = escrow::homes(&customer, &zone, String::as_str);
        assert_eq!(homes.len(), 2);
        *firsts.entry(homes[0].clone()).or_insert(0) += 1;
        // One that leaves moves its own customers only, to the instance that was asked second.
        let left: Vec<String> = zone.iter().filter(|n| *n != homes[0]).cloned().collect();
        assert_eq!(escrow::homes(&customer, &left, String::as_str)[0], homes[1]);
        let other: Vec<String> = zone.iter().filter(|n| *n != homes[1]).cloned().collect();
        assert_eq!(
            escrow::homes(&customer, &other, String::as_str)[0],
            homes[0]
        );
    }
    assert!(
        firsts.len() > 25 && firsts.values().all(|n| *n < 30),
        "{firsts:?}"
    );
}

/// Symptom: a dozen writes a second for one customer, most of them in vain. Sequence: a budget that lasts
/// for five seconds more is drawn on by several instances. Cause: the taper left each of them less than
/// one prompt, so that each request took its own tokens.
#[test]
fn a_budget_near_its_end_is_not_written_for_each_request() {
    let (mut store, mut node) = alone(1_000_000);
    node.read(&store, 0);
    let (mut writes, mut served) = (0, 0);
    // Prompts of 10,000 tokens, ten a second: 100,000 tokens a second.
    for i in 0..90 {
        let now = i * 100;
        node.holding.ask(now, 10_000);
        if !node.holding.reserve(10_000) {
            node.holding.lack(10_000);
            if let Some(line) = node.holding.plan(now, ALONE) {
                node.commit(&mut store, line, now);
                writes += 1;
            }
            node.holding.lack_no_more(10_000);
            if !node.holding.reserve(10_000) {
                continue;
            }
        }
        node.holding.settle(10_000, 10_000);
        served += 1;
    }
    assert!(served >= 88, "{served}");
    assert!(writes < 30, "{writes}");
}
