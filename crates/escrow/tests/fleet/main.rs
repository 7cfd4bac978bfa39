//! Budgets of a fleet, without a network.

mod cases;
mod random;
mod store;
