//! Settings of a process and the operators' configuration, checked whole.

pub mod bundle;
pub mod check;
pub mod customer;
pub mod routing;
pub mod settings;
pub mod shape;

pub use bundle::{Bundle, Chunk, Head};
pub use check::Fault;
pub use customer::{Config, Customer, Policy, Template};
pub use routing::{Account, Limits, Repeat, Route, Routing, Service, Share};
pub use settings::{Fleet, Settings};
