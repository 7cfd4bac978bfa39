//! Gossip with random peers, and the reactions when instances join, leave or become unresponsive.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use peer::{Member, MembershipUpdate, Status};
use rand::rngs::StdRng;
use rand::SeedableRng;

use crate::config_sync;
use crate::event::Event;
use crate::messages::{method, GossipMsg};
use crate::peer_clients::PeerRef;
use crate::shared_state::SharedState;

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_000);

/// Spawns the task.
pub fn spawn(shared: Arc<SharedState>) {
    tokio::spawn(run(shared));
}

async fn run(shared: Arc<SharedState>) {
    let mut rng = StdRng::from_os_rng();
    let mut interval = tokio::time::interval(HEARTBEAT_INTERVAL);
    let mut known_unresponsive = BTreeSet::new();
    loop {
        interval.tick().await;
        let now = shared.clock.now();
        let next = {
            let mut members = shared.members.lock().expect("lock not poisoned");
            members.start_round(now, &mut rng)
        };
        update_members(&shared, &mut known_unresponsive);
        let Some((peer, update)) = next else {
            continue;
        };
        tokio::spawn(exchange(Arc::clone(&shared), peer, update));
    }
}

/// Passes the live instances to the budgets and the pool, and reports those that have become
/// unresponsive or have left since the last call.
fn update_members(shared: &Arc<SharedState>, known_unresponsive: &mut BTreeSet<String>) {
    shared.update_budget_members();
    let live = shared.live_instances().len();
    shared
        .pool
        .lock()
        .expect("lock not poisoned")
        .set_instance_count(live);
    let now = shared.clock.now();
    let unresponsive = shared
        .members
        .lock()
        .expect("lock not poisoned")
        .silent_or_left(now);
    let unresponsive: BTreeSet<String> = unresponsive.into_iter().collect();
    let newly_unresponsive: Vec<String> = unresponsive
        .difference(known_unresponsive)
        .cloned()
        .collect();
    for id in &newly_unresponsive {
        shared.log(Event::InstanceUnresponsive, id);
    }
    if !newly_unresponsive.is_empty() {
        shared.budgets.report_unresponsive(newly_unresponsive);
    }
    *known_unresponsive = unresponsive;
}

/// Sends an update to a peer and applies its reply.
async fn exchange(shared: Arc<SharedState>, peer: Member, update: MembershipUpdate) {
    let msg = build_message(&shared, update);
    let peer = PeerRef::from(&peer);
    let reply = shared
        .peers
        .call::<_, GossipMsg>(&shared.metrics, &peer, method::GOSSIP, &msg)
        .await;
    if let Ok(reply) = reply {
        apply_message(&shared, reply);
    }
}

fn build_message(shared: &SharedState, update: MembershipUpdate) -> GossipMsg {
    GossipMsg {
        membership: update,
        revision: shared.config_revision(),
        leaving_upstreams: shared.pool.lock().expect("lock not poisoned").leaving_ids(),
    }
}

/// Applies the message of a peer and returns the reply.
pub fn handle_message(shared: &Arc<SharedState>, msg: GossipMsg) -> GossipMsg {
    apply_message(shared, msg);
    let now = shared.clock.now();
    let mut rng = StdRng::from_os_rng();
    let update = {
        let members = shared.members.lock().expect("lock not poisoned");
        members.compose_update(now, &mut rng)
    };
    build_message(shared, update)
}

fn apply_message(shared: &Arc<SharedState>, msg: GossipMsg) {
    let Some(sender) = msg.membership.members.first().cloned() else {
        return;
    };
    let now = shared.clock.now();
    let changed = {
        let mut members = shared.members.lock().expect("lock not poisoned");
        members.merge(now, msg.membership)
    };
    for member in &changed {
        let detail = format!(
            "{} {:?}, reported by {} at {}",
            member.id, member.status, sender.id, sender.peer_addr
        );
        shared.log(Event::MembershipChanged, detail);
    }
    if !changed.is_empty() {
        shared.update_budget_members();
    }
    for id in &msg.leaving_upstreams {
        let is_new = shared
            .pool
            .lock()
            .expect("lock not poisoned")
            .mark_leaving(id);
        if is_new {
            shared.log(Event::UpstreamLeaving, format!("{id}, reported by a peer"));
        }
    }
    if msg.revision > shared.config_revision() {
        config_sync::spawn_pull(Arc::clone(shared), PeerRef::from(&sender));
    }
}

/// Sends this instance's state, with a new status if one is given, to up to 16 live instances at
/// once; others learn of it by gossip.
pub async fn broadcast(shared: &Arc<SharedState>, status: Option<Status>) {
    let (me, live) = {
        let mut members = shared.members.lock().expect("lock not poisoned");
        if let Some(status) = status {
            members.set_status(status);
        }
        (members.local().clone(), members.live(shared.clock.now()))
    };
    let mut exchanges = Vec::new();
    for member in live.into_iter().filter(|m| m.id != shared.own_id).take(16) {
        let exchange = exchange(
            Arc::clone(shared),
            member,
            MembershipUpdate {
                members: vec![me.clone()],
                heartbeats: Vec::new(),
            },
        );
        exchanges.push(tokio::spawn(exchange));
    }
    for exchange in exchanges {
        // A peer that did not respond learns of the change by gossip.
        let _ = exchange.await;
    }
}
