//! The instance list: this instance's entry in it, and what it says of instances and upstreams.

use std::sync::Arc;
use std::time::Duration;

use kv::{Client, KeyValue, SwapResult};
use peer::{Member, Status};
use route::Spec;
use tokio::time::timeout;

use crate::event::Event;
use crate::shared::Shared;

const PREFIX: &str = "/instances/";
const TTL_SECS: u64 = 12;
const RENEW_EVERY: Duration = Duration::from_secs(4);
/// The list is read at least this often: a watch can stall without a sign.
const POLL_EVERY: Duration = Duration::from_secs(5);
const WATCH_RETRY: Duration = Duration::from_secs(1);
/// Changes that come close together are read at once.
const SETTLE: Duration = Duration::from_millis(50);

/// Spawns the tasks.
pub fn spawn(shared: &Arc<Shared>) {
    tokio::spawn(enlist(Arc::clone(shared)));
    tokio::spawn(follow(Arc::clone(shared)));
}

fn key(me: &str) -> String {
    format!("{PREFIX}router/{me}")
}

/// Keeps this instance's own entry.
async fn enlist(shared: Arc<Shared>) {
    let mut lease = None;
    let mut written = None;
    loop {
        let me = shared
            .members
            .lock()
            .expect("no panic inside")
            .local()
            .clone();
        if me.status == Status::Left {
            return;
        }
        let alive = match lease {
            Some(id) => shared.kv.keep_alive(id).await.unwrap_or(true),
            None => false,
        };
        if !alive {
            lease = shared.kv.create_lease(TTL_SECS).await.ok();
            written = None;
        }
        if let (Some(id), true) = (lease, written != Some(me.status)) {
            if put(&shared.kv, &me, id).await {
                written = Some(me.status);
            }
        }
        tokio::time::sleep(RENEW_EVERY).await;
    }
}

async fn put(kv: &Client, me: &Member, lease: i64) -> bool {
    let key = key(&me.id);
    let Ok(found) = kv.get(&key).await else {
        return false;
    };
    let revision = found.map_or(0, |f| f.revision);
    let text = serde_json::to_vec(me).expect("a member is JSON");
    let swapped = kv.compare_and_swap(&key, revision, &text, lease).await;
    matches!(swapped, Ok(SwapResult::Done(_)))
}

/// Follows the list by a watch, and reads it now and then besides.
async fn follow(shared: Arc<Shared>) {
    let mut lost = false;
    loop {
        let mut watch = shared.kv.watch(PREFIX).await.ok();
        loop {
            let listed = shared.kv.list(PREFIX).await;
            note_platform(&shared, &mut lost, listed.is_ok());
            if let Ok((found, _)) = listed {
                take(&shared, &found);
            }
            let Some(rx) = watch.as_mut() else {
                break;
            };
            match timeout(POLL_EVERY, rx.recv()).await {
                Ok(Some(())) => tokio::time::sleep(SETTLE).await,
                Ok(None) => watch = None,
                Err(_) => {}
            }
        }
        tokio::time::sleep(WATCH_RETRY).await;
    }
}

fn note_platform(shared: &Shared, lost: &mut bool, answered: bool) {
    if answered == *lost {
        let event = if answered {
            Event::PlatformBack
        } else {
            Event::PlatformLost
        };
        shared.log(event, &shared.settings.platform);
    }
    *lost = !answered;
}

fn take(shared: &Arc<Shared>, found: &[KeyValue]) {
    let router = format!("{PREFIX}router/");
    let (routers, others): (Vec<_>, Vec<_>) =
        found.iter().partition(|f| f.key.starts_with(&router));
    let members: Vec<Member> = routers.into_iter().filter_map(parse).collect();
    let specs: Vec<Spec> = others.into_iter().filter_map(parse).collect();
    let now = shared.clock.now();
    let (present, left) = {
        let mut table = shared.members.lock().expect("no panic inside");
        table.add_listed(now, members.clone());
        presence(&table.all(now), &members)
    };
    shared.bank.set_presence(present, left);
    shared
        .pool
        .lock()
        .expect("no panic inside")
        .apply_list(specs);
    shared.bank.set_members(shared.candidates());
}

/// Returns the holders that are present by anyone's word, and those that have left by their own.
fn presence(known: &[(Member, u64)], listed: &[Member]) -> (Vec<String>, Vec<String>) {
    let has_left = |m: &&Member| m.status == Status::Left;
    let all = known.iter().map(|(m, _)| m).chain(listed);
    let (left, present): (Vec<&Member>, Vec<&Member>) = all.partition(has_left);
    let ids = |list: Vec<&Member>| list.into_iter().map(|m| m.id.clone()).collect();
    (ids(present), ids(left))
}

fn parse<T: serde::de::DeserializeOwned>(found: &KeyValue) -> Option<T> {
    serde_json::from_slice(&found.value).ok()
}

/// Returns whether the list shows a holder, or can't be read.
pub async fn may_live(shared: &Shared, holder: &str) -> bool {
    let listed = shared.kv.get(&key(holder)).await;
    !matches!(listed, Ok(None))
}

/// Takes this instance's entry out of the list, by ending its word.
pub async fn delist(shared: &Shared) {
    let me = shared
        .members
        .lock()
        .expect("no panic inside")
        .local()
        .clone();
    if let Ok(lease) = shared.kv.create_lease(1).await {
        // The entry then ends with the short lease; if this fails, with the old one.
        put(&shared.kv, &me, lease).await;
    }
}
