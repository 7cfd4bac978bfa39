//! The instance list in the platform's key-value store: it holds an entry of each instance and each
//! upstream.

use std::sync::Arc;
use std::time::Duration;

use kv::{Client, KeyValue, SwapResult};
use peer::{Member, Status};
use route::Spec;
use tokio::time::timeout;

use crate::event::Event;
use crate::shared_state::SharedState;

/// Prefix of the store keys of all entries.
const KEY_PREFIX: &str = "/instances/";
/// Lifetime of this instance's entry without a renewal, in seconds.
const LEASE_TTL_SECS: u64 = 12;
const RENEW_INTERVAL: Duration = Duration::from_secs(4);
/// Interval at which the list is read in any case, since a watch can stall without an error.
const POLL_INTERVAL: Duration = Duration::from_secs(5);
/// Delay before a failed watch is started again.
const WATCH_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Delay of a read after a change, so that changes in quick succession are read together.
const DEBOUNCE: Duration = Duration::from_millis(50);

/// Spawns the tasks.
pub fn spawn(shared: &Arc<SharedState>) {
    tokio::spawn(maintain_entry(Arc::clone(shared)));
    tokio::spawn(watch_list(Arc::clone(shared)));
}

/// Returns the store key of an instance's entry.
fn entry_key(id: &str) -> String {
    format!("{KEY_PREFIX}router/{id}")
}

/// Writes this instance's entry, renews its lease, and updates it when the status changes.
async fn maintain_entry(shared: Arc<SharedState>) {
    let mut lease = None;
    let mut written = None;
    loop {
        let me = shared
            .members
            .lock()
            .expect("lock not poisoned")
            .local()
            .clone();
        if me.status == Status::Left {
            return;
        }
        let is_valid = match lease {
            Some(id) => shared.kv.keep_alive(id).await.unwrap_or(true),
            None => false,
        };
        if !is_valid {
            lease = shared.kv.create_lease(LEASE_TTL_SECS).await.ok();
            written = None;
        }
        if let (Some(id), true) = (lease, written != Some(me.status)) {
            if put_entry(&shared.kv, &me, id).await {
                written = Some(me.status);
            }
        }
        tokio::time::sleep(RENEW_INTERVAL).await;
    }
}

/// Writes this instance's entry; returns whether that succeeded.
async fn put_entry(kv: &Client, me: &Member, lease: i64) -> bool {
    let key = entry_key(&me.id);
    let Ok(found) = kv.get(&key).await else {
        return false;
    };
    let revision = found.map_or(0, |f| f.revision);
    let value = serde_json::to_vec(me).expect("a member serializes");
    let swapped = kv.compare_and_swap(&key, revision, &value, lease).await;
    matches!(swapped, Ok(SwapResult::Done(_)))
}

/// Reads the list after each change that the watch shows, and at regular intervals.
async fn watch_list(shared: Arc<SharedState>) {
    let mut unavailable = false;
    loop {
        let mut watch = shared.kv.watch(KEY_PREFIX).await.ok();
        loop {
            let listed = shared.kv.list(KEY_PREFIX).await;
            log_platform_change(&shared, &mut unavailable, listed.is_ok());
            if let Ok((found, _)) = listed {
                apply_list(&shared, &found);
            }
            let Some(rx) = watch.as_mut() else {
                break;
            };
            match timeout(POLL_INTERVAL, rx.recv()).await {
                Ok(Some(())) => tokio::time::sleep(DEBOUNCE).await,
                Ok(None) => watch = None,
                Err(_) => {}
            }
        }
        tokio::time::sleep(WATCH_RETRY_DELAY).await;
    }
}

/// Logs when the platform becomes unavailable or available again.
fn log_platform_change(shared: &SharedState, unavailable: &mut bool, responded: bool) {
    if responded == *unavailable {
        let event = if responded {
            Event::PlatformRecovered
        } else {
            Event::PlatformUnavailable
        };
        shared.log(event, &shared.settings.platform);
    }
    *unavailable = !responded;
}

/// Passes the entries of the list to the membership table, the budgets and the pool.
fn apply_list(shared: &Arc<SharedState>, found: &[KeyValue]) {
    let router = format!("{KEY_PREFIX}router/");
    let (routers, others): (Vec<_>, Vec<_>) =
        found.iter().partition(|f| f.key.starts_with(&router));
    let members: Vec<Member> = routers.into_iter().filter_map(parse_entry).collect();
    let specs: Vec<Spec> = others.into_iter().filter_map(parse_entry).collect();
    let now = shared.clock.now();
    let (added, present, left) = {
        let mut table = shared.members.lock().expect("lock not poisoned");
        let added = table.add_listed(now, members.clone());
        let (present, left) = presence(&table.all(now), &members);
        (added, present, left)
    };
    for member in &added {
        let detail = format!(
            "{} {:?}, listed at {}",
            member.id, member.status, member.peer_addr
        );
        shared.log(Event::MembershipChanged, detail);
    }
    shared.budgets.set_presence(present, left);
    shared
        .pool
        .lock()
        .expect("lock not poisoned")
        .apply_list(specs);
    shared.update_budget_members();
}

/// Returns the ids of the instances that are present according to gossip or the list, and of those
/// that have announced that they left.
fn presence(known: &[(Member, u64)], listed: &[Member]) -> (Vec<String>, Vec<String>) {
    let has_left = |m: &&Member| m.status == Status::Left;
    let all = known.iter().map(|(m, _)| m).chain(listed);
    let (left, present): (Vec<&Member>, Vec<&Member>) = all.partition(has_left);
    let ids = |list: Vec<&Member>| list.into_iter().map(|m| m.id.clone()).collect();
    (ids(present), ids(left))
}

fn parse_entry<T: serde::de::DeserializeOwned>(found: &KeyValue) -> Option<T> {
    serde_json::from_slice(&found.value).ok()
}

/// Returns whether the list has an entry of a holder, or can't be read.
pub async fn may_be_alive(shared: &SharedState, holder: &str) -> bool {
    let listed = shared.kv.get(&entry_key(holder)).await;
    !matches!(listed, Ok(None))
}

/// Removes this instance's entry from the list, by moving it to a lease of one second.
pub async fn remove_entry(shared: &SharedState) {
    let me = shared
        .members
        .lock()
        .expect("lock not poisoned")
        .local()
        .clone();
    if let Ok(lease) = shared.kv.create_lease(1).await {
        // If the write fails, the entry expires with its previous lease.
        put_entry(&shared.kv, &me, lease).await;
    }
}
