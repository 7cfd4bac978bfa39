//! Answers other instances, over jsonrpsee.

use std::net::SocketAddr;
use std::sync::Arc;

use budget::{Durability, ReserveReply};
use claim::AttemptStatus;
use jsonrpsee_core::RpcResult;
use jsonrpsee_server::{RpcModule, ServerBuilder, ServerConfig, ServerHandle};
use serde::de::DeserializeOwned;
use serde::Serialize;

use crate::messages::{
    method, DetachMsg, ExtendMsg, GossipMsg, OpenStepMsg, PullConfigMsg, RecallMsg, ReserveMsg,
    SettleMsg, StoreCopyMsg, VoidMsg,
};
use crate::peer_clients::MAX_MESSAGE_BYTES;
use crate::shared_state::SharedState;

const CONNECTIONS: u32 = 4096;

/// Binds the listener for other instances.
///
/// # Errors
///
/// Returns why the address can't be bound.
pub async fn bind(addr: SocketAddr) -> Result<(jsonrpsee_server::Server, SocketAddr), String> {
    let config = ServerConfig::builder()
        .http_only()
        .max_connections(CONNECTIONS)
        .max_request_body_size(MAX_MESSAGE_BYTES)
        .max_response_body_size(MAX_MESSAGE_BYTES)
        .build();
    let built = ServerBuilder::new().set_config(config).build(addr).await;
    let server = built.map_err(|e| format!("{addr}: {e}"))?;
    let addr = server.local_addr().map_err(|e| e.to_string())?;
    Ok((server, addr))
}

/// Starts to answer other instances.
///
/// # Panics
///
/// Panics when two methods have one name.
pub fn serve(server: jsonrpsee_server::Server, shared: Arc<SharedState>) -> ServerHandle {
    let mut module = RpcModule::from_arc(shared);
    add(
        &mut module,
        method::RESERVE,
        |cx, m: ReserveMsg| async move {
            let reply = cx.budgets.reserve(m.request, m.wait_ms).await;
            reply.unwrap_or(ReserveReply::OutOfReach { retry_ms: 1_000 })
        },
    );
    add(&mut module, method::EXTEND, |cx, m: ExtendMsg| async move {
        let reply = cx.budgets.extend(m).await;
        reply.unwrap_or(ReserveReply::OutOfReach { retry_ms: 1_000 })
    });
    add(&mut module, method::VOID, |cx, m: VoidMsg| async move {
        cx.budgets.void(m);
        true
    });
    add(&mut module, method::DETACH, |cx, m: DetachMsg| async move {
        // Without an answer nobody may cancel: the home will, when no entry is left.
        cx.budgets.detach(m).await.unwrap_or(true)
    });
    add(&mut module, method::SETTLE, |cx, m: SettleMsg| async move {
        let how: Option<Durability> = cx.budgets.settle(m).await;
        how
    });
    add(
        &mut module,
        method::STORE_COPY,
        |cx, m: StoreCopyMsg| async move {
            cx.budgets.store_copy(m);
            true
        },
    );
    add(&mut module, method::RECALL, |cx, m: RecallMsg| async move {
        let sent: Option<u64> = cx.budgets.recall(m).await;
        sent
    });
    add(
        &mut module,
        method::OPEN_STEP,
        |cx, m: OpenStepMsg| async move {
            let opened: Option<u64> = cx.budgets.open_step(m).await;
            opened
        },
    );
    add(&mut module, method::GOSSIP, |cx, m: GossipMsg| async move {
        crate::gossip::handle_message(&cx, m)
    });
    add(
        &mut module,
        method::PULL_CONFIG,
        |cx, m: PullConfigMsg| async move { crate::config_sync::handle_pull(&cx, &m) },
    );
    add(
        &mut module,
        method::ATTEMPT_STATUS,
        |cx, m: String| async move {
            let attempts = cx.claim_attempts.lock().expect("no panic inside");
            attempts.get(&m).copied().unwrap_or(AttemptStatus::Unknown)
        },
    );
    server.start(module)
}

/// Adds a method that takes one typed message and returns one.
fn add<M, R, F, Fut>(module: &mut RpcModule<SharedState>, name: &'static str, answer: F)
where
    M: DeserializeOwned + Send + 'static,
    R: Serialize + Clone + Send + 'static,
    F: Fn(Arc<SharedState>, M) -> Fut + Clone + Send + Sync + 'static,
    Fut: std::future::Future<Output = R> + Send,
{
    let added = module.register_async_method(name, move |params, cx, _| {
        let answer = answer.clone();
        async move {
            let msg: M = params.one()?;
            RpcResult::Ok(answer(cx, msg).await)
        }
    });
    added.expect("each method has its own name");
}
