//! Budgets of a fleet, without a network.

mod cases;
mod day;
mod loss;
mod random;
mod ration;
mod store;
