//! A router instance: its listeners, the processing of requests, and the background tasks.

pub mod admin;
pub mod admission;
pub mod budget_handle;
pub mod budget_io;
pub mod budget_task;
pub mod callers;
mod client_limits;
pub mod config_change;
pub mod config_sync;
pub mod event;
pub mod gossip;
pub mod instance;
pub mod journal;
pub mod load_reports;
pub mod messages;
pub mod metrics;
pub mod model_versions;
pub mod panic_log;
pub mod peer_clients;
pub mod peer_server;
pub mod pipeline;
pub mod registry;
pub mod shared_state;
mod upstream_body;
pub mod wait_queues;

pub use ::clock;
pub use instance::Instance;
