//! JSON-RPC server for the other instances.

use std::sync::Arc;

use budget::{Durability, ReserveReply};
use claim::AttemptStatus;
use jsonrpsee_core::RpcResult;
use jsonrpsee_server::RpcModule;
use serde::de::DeserializeOwned;
use serde::Serialize;

use crate::event::Event;
use crate::messages::{
    method, DetachMsg, ExtendMsg, GossipMsg, OpenStepMsg, PullConfigMsg, RecallMsg, ReserveMsg,
    SettleMsg, StoreCopyMsg, VoidMsg,
};
use crate::shared_state::SharedState;

/// Starts to serve the other instances.
///
/// # Panics
///
/// Panics if two methods have the same name.
pub fn serve(listener: rpc::Listener, shared: Arc<SharedState>) -> web::ServerHandle {
    let mut module = RpcModule::from_arc(shared);
    register(
        &mut module,
        method::RESERVE,
        |shared, m: ReserveMsg| async move {
            let reply = shared.budgets.reserve(m.request, m.wait_ms).await;
            reply.unwrap_or(ReserveReply::OutOfReach { retry_ms: 1_000 })
        },
    );
    register(
        &mut module,
        method::EXTEND,
        |shared, m: ExtendMsg| async move {
            let reply = shared.budgets.extend(m).await;
            reply.unwrap_or(ReserveReply::OutOfReach { retry_ms: 1_000 })
        },
    );
    register(&mut module, method::VOID, |shared, m: VoidMsg| async move {
        shared.budgets.void(m);
        true
    });
    register(
        &mut module,
        method::DETACH,
        |shared, m: DetachMsg| async move {
            // If the outcome is unknown, the entry instance must not cancel the attempt: the holder
            // does so once no entry instance is left.
            shared.budgets.detach(m).await.unwrap_or(true)
        },
    );
    register(
        &mut module,
        method::SETTLE,
        |shared, m: SettleMsg| async move {
            let durability: Option<Durability> = shared.budgets.settle(m).await;
            durability
        },
    );
    register(
        &mut module,
        method::STORE_COPY,
        |shared, m: StoreCopyMsg| async move {
            shared.budgets.store_copy(m);
            true
        },
    );
    register(
        &mut module,
        method::RECALL,
        |shared, m: RecallMsg| async move {
            let sent: Option<u64> = shared.budgets.recall(m).await;
            sent
        },
    );
    register(
        &mut module,
        method::OPEN_STEP,
        |shared, m: OpenStepMsg| async move {
            let opened: Option<u64> = shared.budgets.open_step(m).await;
            opened
        },
    );
    register(
        &mut module,
        method::GOSSIP,
        |shared, m: GossipMsg| async move { crate::gossip::handle_message(&shared, m) },
    );
    register(
        &mut module,
        method::PULL_CONFIG,
        |shared, m: PullConfigMsg| async move { crate::config_sync::handle_pull(&shared, &m) },
    );
    register(
        &mut module,
        method::ATTEMPT_STATUS,
        |shared, m: String| async move {
            let attempts = shared.claim_attempts.lock().expect("lock not poisoned");
            attempts.get(&m).copied().unwrap_or(AttemptStatus::Unknown)
        },
    );
    listener.serve(module)
}

/// Registers a method that takes a typed message and returns a typed reply.
fn register<M, R, F, Fut>(module: &mut RpcModule<SharedState>, name: &'static str, handler: F)
where
    M: DeserializeOwned + Send + 'static,
    R: Serialize + Clone + Send + 'static,
    F: Fn(Arc<SharedState>, M) -> Fut + Clone + Send + Sync + 'static,
    Fut: std::future::Future<Output = R> + Send,
{
    let registered = module.register_async_method(name, move |params, shared, extensions| {
        let handler = handler.clone();
        async move {
            if let Err(e) = rpc::check_addressee(&extensions, &shared.own_id) {
                shared.log(Event::CallMisdirected, format!("{name}: {}", e.message()));
                return Err(e);
            }
            let msg: M = params.one()?;
            RpcResult::Ok(handler(shared, msg).await)
        }
    });
    registered.expect("method names are unique");
}
