//! Random fleets over a store that loses answers and lands writes late: never more than prepaid.

use std::collections::HashMap;

use escrow::CumulativeTotal;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::cases::tell;
use crate::store::{Node, Store};

struct Fleet {
    rng: StdRng,
    now: u64,
    store: Store,
    nodes: Vec<Node>,
    spent: u64,
    prepaid: u64,
    born: u64,
    /// The last words to each name.
    words: HashMap<String, (CumulativeTotal, Option<CumulativeTotal>)>,
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
            words: HashMap::new(),
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
            91..92 => self.draw(at),
            92..93 => self.settle(at),
            93..96 => self.late(),
            96..98 => self.crash(at),
            _ => self.top_up(),
        }
        self.check();
    }

    fn request(&mut self, at: usize) {
        let tokens = self.rng.random_range(1_000..40_000);
        let now = self.now;
        self.nodes[at].holding.add_demand(now, tokens);
        if !self.nodes[at].holding.reserve(tokens) {
            // It waits while the store is asked.
            self.nodes[at].holding.begin_wait(tokens);
            self.talk(at);
            self.nodes[at].holding.end_wait(tokens);
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
        let home = self.rng.random_range(0..4) > 0;
        let node = &mut self.nodes[at];
        if self.rng.random_range(0..3) > 0 {
            node.read(&self.store, self.now);
        }
        let Some(line) = node.holding.plan_update(self.now, sharers, home) else {
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
        let (giver_id, taker_id) = (self.nodes[from].id.clone(), self.nodes[to].id.clone());
        let giver = &mut self.nodes[from].holding;
        let total = giver.transfer_share(self.now, &taker_id, wanted, balance, rate);
        self.deliver(to, tell(&giver_id, &taker_id, total), None);
    }

    /// A request's tokens from another one; the call, or its answer, may be lost.
    fn draw(&mut self, at: usize) {
        let home = self.rng.random_range(0..self.nodes.len());
        if home == at {
            return;
        }
        let tokens = self.rng.random_range(1_000..40_000);
        let part = self.nodes[at].holding.reserve_up_to(tokens);
        let (id, home_id) = (self.nodes[at].id.clone(), self.nodes[home].id.clone());
        let spent = self.nodes[at].holding.forward_spending(&home_id);
        let called = self.rng.random_range(0..8) > 0;
        let answered = called && self.rng.random_range(0..8) > 0;
        let lacking = tokens - part;
        let holding = &mut self.nodes[home].holding;
        if called {
            holding.receive_spending(&home_id, &tell(&id, &home_id, spent));
        }
        let drawn = called && holding.reserve(lacking);
        let total = drawn.then(|| holding.transfer_reserved(&id, lacking));
        let node = &mut self.nodes[at];
        if let Some(total) = total.filter(|_| answered) {
            let told = tell(&home_id, &id, total);
            node.holding.receive_tokens(&id, &told);
            assert!(node.holding.reserve(lacking));
            node.open.push(tokens);
        } else {
            node.holding.settle(part, 0);
        }
    }

    /// What requests left goes to another one, with the word on what they spent.
    fn settle(&mut self, at: usize) {
        let home = self.rng.random_range(0..self.nodes.len());
        if home == at {
            return;
        }
        let (id, home_id) = (self.nodes[at].id.clone(), self.nodes[home].id.clone());
        let holding = &mut self.nodes[at].holding;
        let given = holding.transfer_idle(self.now, &home_id);
        let spent = holding.forward_spending(&home_id);
        let spent = tell(&id, &home_id, spent);
        self.deliver(home, tell(&id, &home_id, given), Some(spent));
    }

    /// A word may be lost, come twice, or be followed by an old one, also one to the incarnation before.
    fn deliver(&mut self, to: usize, given: CumulativeTotal, spent: Option<CumulativeTotal>) {
        let times = self.rng.random_range(0..3);
        let name = self.nodes[to].name.clone();
        let old = self.words.get(&name).cloned();
        let mut words = vec![(given.clone(), spent.clone()); times];
        words.extend(old);
        for (given, spent) in words {
            let Node { id, holding, .. } = &mut self.nodes[to];
            holding.receive_tokens(id, &given);
            if let Some(spent) = spent {
                holding.receive_spending(id, &spent);
            }
        }
        self.words.insert(name, (given, spent));
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
