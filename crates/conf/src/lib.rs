//! Settings of a process and the operators' configuration, with their validation.

pub mod bundle;
pub mod check;
pub mod customer;
pub mod routing;
pub mod schema;
pub mod settings;

pub use bundle::{Bundle, Chunk, Head};
pub use check::ValidationError;
pub use customer::{Config, Customer, Policy, Template};
pub use routing::{
    Account, Engine, RequestLimits, RetryMode, Route, RoutingConfig, Service, TrafficShare,
    MAX_PRIORITY,
};
pub use settings::{Fleet, Settings};
