//! Heartbeats to random partners, and what follows when instances come, go or fall silent.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use peer::{Member, MembershipUpdate, Status};
use rand::rngs::StdRng;
use rand::SeedableRng;

use crate::configd;
use crate::event::Event;
use crate::msg::{method, GossipMsg};
use crate::shared::Shared;

const EVERY: Duration = Duration::from_millis(1_000);

/// Spawns the task.
pub fn spawn(shared: Arc<Shared>) {
    tokio::spawn(run(shared));
}

async fn run(shared: Arc<Shared>) {
    let mut rng = StdRng::from_os_rng();
    let mut every = tokio::time::interval(EVERY);
    let mut silent = BTreeSet::new();
    loop {
        every.tick().await;
        let now = shared.clock.now();
        let partner = {
            let mut members = shared.members.lock().expect("no panic inside");
            members.start_round(now, &mut rng)
        };
        settle_members(&shared, &mut silent);
        let Some((partner, told)) = partner else {
            continue;
        };
        tokio::spawn(talk(Arc::clone(&shared), partner, told));
    }
}

/// Takes over who lives, who fell silent and who came back.
fn settle_members(shared: &Arc<Shared>, silent: &mut BTreeSet<String>) {
    shared.bank.set_members(shared.candidates());
    let live = shared.live().len();
    shared
        .pool
        .lock()
        .expect("no panic inside")
        .set_instance_count(live);
    let now = shared.clock.now();
    let quiet = shared
        .members
        .lock()
        .expect("no panic inside")
        .silent_or_left(now);
    let quiet: BTreeSet<String> = quiet.into_iter().collect();
    let news: Vec<String> = quiet.difference(silent).cloned().collect();
    for id in &news {
        shared.log(Event::MemberSilent, id);
    }
    if !news.is_empty() {
        shared.bank.set_silent(news);
    }
    *silent = quiet;
}

async fn talk(shared: Arc<Shared>, partner: Member, told: MembershipUpdate) {
    let msg = message(&shared, told);
    let addr = &partner.peer_addr;
    let reply = shared
        .peers
        .call::<_, GossipMsg>(&shared.metrics, addr, method::GOSSIP, &msg)
        .await;
    if let Ok(reply) = reply {
        take(&shared, reply, addr);
    }
}

fn message(shared: &Shared, told: MembershipUpdate) -> GossipMsg {
    GossipMsg {
        told,
        revision: shared.revision(),
        leaving: shared.pool.lock().expect("no panic inside").leaving_ids(),
    }
}

/// Answers a partner.
pub fn answer(shared: &Arc<Shared>, msg: GossipMsg) -> GossipMsg {
    let addr = msg.told.members.first().map(|m| m.peer_addr.clone());
    take(shared, msg, &addr.unwrap_or_default());
    let now = shared.clock.now();
    let mut rng = StdRng::from_os_rng();
    let told = {
        let members = shared.members.lock().expect("no panic inside");
        members.compose_update(now, &mut rng)
    };
    message(shared, told)
}

fn take(shared: &Arc<Shared>, msg: GossipMsg, addr: &str) {
    let now = shared.clock.now();
    let news = {
        let mut members = shared.members.lock().expect("no panic inside");
        members.merge(now, msg.told)
    };
    for member in &news {
        let detail = format!("{} {:?}", member.id, member.status);
        shared.log(Event::Member, detail);
    }
    if !news.is_empty() {
        shared.bank.set_members(shared.candidates());
    }
    for id in &msg.leaving {
        let known = shared
            .pool
            .lock()
            .expect("no panic inside")
            .mark_leaving(id);
        if known {
            shared.log(Event::UpstreamLeaving, format!("{id}, by a peer"));
        }
    }
    if msg.revision > shared.revision() {
        configd::pull_from(Arc::clone(shared), addr.to_string());
    }
}

/// Tells every living instance at once, for news that must not wait.
pub async fn tell_all(shared: &Arc<Shared>, standing: Option<Status>) {
    let (me, live) = {
        let mut members = shared.members.lock().expect("no panic inside");
        if let Some(standing) = standing {
            members.set_status(standing);
        }
        (members.local().clone(), members.live(shared.clock.now()))
    };
    let mut talks = Vec::new();
    for member in live.into_iter().filter(|m| m.id != shared.me).take(16) {
        let talk = talk(
            Arc::clone(shared),
            member,
            MembershipUpdate {
                members: vec![me.clone()],
                heartbeats: Vec::new(),
            },
        );
        talks.push(tokio::spawn(talk));
    }
    for talk in talks {
        // A partner that does not answer hears it from another.
        let _ = talk.await;
    }
}
