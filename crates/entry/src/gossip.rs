//! Heartbeats to random partners, and what follows when instances come, go or fall silent.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use peer::{Member, Standing, Told};
use rand::rngs::StdRng;
use rand::SeedableRng;

use crate::config_sync;
use crate::event::Event;
use crate::messages::{method, GossipMsg};
use crate::shared_state::SharedState;

const EVERY: Duration = Duration::from_millis(1_000);

/// Spawns the task.
pub fn spawn(shared: Arc<SharedState>) {
    tokio::spawn(run(shared));
}

async fn run(shared: Arc<SharedState>) {
    let mut rng = StdRng::from_os_rng();
    let mut every = tokio::time::interval(EVERY);
    let mut silent = BTreeSet::new();
    loop {
        every.tick().await;
        let now = shared.clock.now();
        let partner = {
            let mut members = shared.members.lock().expect("no panic inside");
            members.beat(now, &mut rng)
        };
        settle_members(&shared, &mut silent);
        let Some((partner, told)) = partner else {
            continue;
        };
        tokio::spawn(talk(Arc::clone(&shared), partner, told));
    }
}

/// Takes over who lives, who fell silent and who came back.
fn settle_members(shared: &Arc<SharedState>, silent: &mut BTreeSet<String>) {
    shared.budgets.set_members(shared.home_candidates());
    let live = shared.live_instances().len();
    shared
        .pool
        .lock()
        .expect("no panic inside")
        .set_sharers(live);
    let now = shared.clock.now();
    let quiet = shared.members.lock().expect("no panic inside").silent(now);
    let quiet: BTreeSet<String> = quiet.into_iter().collect();
    let news: Vec<String> = quiet.difference(silent).cloned().collect();
    for id in &news {
        shared.log(Event::InstanceUnresponsive, id);
    }
    if !news.is_empty() {
        shared.budgets.report_unresponsive(news);
    }
    *silent = quiet;
}

async fn talk(shared: Arc<SharedState>, partner: Member, told: Told) {
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

fn message(shared: &SharedState, told: Told) -> GossipMsg {
    GossipMsg {
        membership: told,
        revision: shared.config_revision(),
        leaving_upstreams: shared.pool.lock().expect("no panic inside").leaving(),
    }
}

/// Answers a partner.
pub fn handle_message(shared: &Arc<SharedState>, msg: GossipMsg) -> GossipMsg {
    let addr = msg.membership.members.first().map(|m| m.peer_addr.clone());
    take(shared, msg, &addr.unwrap_or_default());
    let now = shared.clock.now();
    let mut rng = StdRng::from_os_rng();
    let told = {
        let members = shared.members.lock().expect("no panic inside");
        members.tell(now, &mut rng)
    };
    message(shared, told)
}

fn take(shared: &Arc<SharedState>, msg: GossipMsg, addr: &str) {
    let now = shared.clock.now();
    let news = {
        let mut members = shared.members.lock().expect("no panic inside");
        members.hear(now, msg.membership)
    };
    for member in &news {
        let detail = format!("{} {:?}", member.id, member.standing);
        shared.log(Event::MembershipChanged, detail);
    }
    if !news.is_empty() {
        shared.budgets.set_members(shared.home_candidates());
    }
    for id in &msg.leaving_upstreams {
        let known = shared.pool.lock().expect("no panic inside").set_leaving(id);
        if known {
            shared.log(Event::UpstreamLeaving, format!("{id}, by a peer"));
        }
    }
    if msg.revision > shared.config_revision() {
        config_sync::spawn_pull(Arc::clone(shared), addr.to_string());
    }
}

/// Tells every living instance at once, for news that must not wait.
pub async fn broadcast(shared: &Arc<SharedState>, standing: Option<Standing>) {
    let (me, live) = {
        let mut members = shared.members.lock().expect("no panic inside");
        if let Some(standing) = standing {
            members.set_standing(standing);
        }
        (members.me().clone(), members.live(shared.clock.now()))
    };
    let mut talks = Vec::new();
    for member in live.into_iter().filter(|m| m.id != shared.own_id).take(16) {
        let talk = talk(
            Arc::clone(shared),
            member,
            Told {
                members: vec![me.clone()],
                beats: Vec::new(),
            },
        );
        talks.push(tokio::spawn(talk));
    }
    for talk in talks {
        // A partner that does not answer hears it from another.
        let _ = talk.await;
    }
}
