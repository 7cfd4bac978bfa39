//! Budgets of a fleet, without a network.

mod cases;
mod loss;
mod random;
mod ration;
mod store;
