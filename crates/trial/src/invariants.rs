//! Invariants that must hold at the end of every run, whatever faults it had.

use std::collections::BTreeSet;

use crate::request::RequestState;
use crate::simulation::Simulation;

/// Checks the invariants of a simulation whose run has ended.
///
/// # Errors
///
/// Returns a description of the first invariant that is violated.
pub fn check(sim: &Simulation) -> Result<(), String> {
    if sim.stats.overspend > 0 {
        return Err(format!(
            "an account was served {} tokens more than its top-ups",
            sim.stats.overspend
        ));
    }
    for account in 0..sim.trace.budgets.len() {
        check_account(sim, account)?;
    }
    Ok(())
}

fn check_account(sim: &Simulation, account: usize) -> Result<(), String> {
    let name = format!("c{account}");
    let bills = sim.platform.bills(&name);
    let mut seen = BTreeSet::new();
    for bill in &bills {
        if !seen.insert(bill.request_id.clone()) {
            return Err(format!("{name}: request {} has two bills", bill.request_id));
        }
    }
    for (i, request) in sim.requests.iter().enumerate() {
        let served = request.account == account && request.state == RequestState::Served;
        if !served {
            continue;
        }
        let bill = bills.iter().find(|b| b.request_id == request.id);
        let Some(bill) = bill else {
            return Err(format!(
                "{name}: request {} was served but has no bill",
                request.id
            ));
        };
        let attempts = sim.attempts.iter().filter(|a| a.request == i);
        let max_served = attempts
            .map(|a| a.tokens_served(sim.now))
            .max()
            .unwrap_or(0);
        if bill.tokens > max_served {
            let billed = bill.tokens;
            return Err(format!(
                "{name}: request {} was billed {billed} tokens, served {max_served} at most",
                request.id
            ));
        }
    }
    check_token_sums(sim, account, bills.iter().map(|b| b.tokens).sum())
}

/// Checks that every token served to an account is settled, or that the record still shows it as
/// unspent at a holder, which may have been killed before it could report what it had spent.
fn check_token_sums(sim: &Simulation, account: usize, billed: u64) -> Result<(), String> {
    let name = format!("c{account}");
    let records = sim.platform.records();
    let Some(stored) = records.filter_map(|r| r.accounts.get(&name)).next() else {
        return Ok(());
    };
    let settled = stored.settled();
    let served = sim.tokens_served(account);
    if settled > served {
        return Err(format!(
            "{name}: {settled} tokens are settled, only {served} were served"
        ));
    }
    let ledger_holders = stored.ledger.keys().cloned();
    let joint_keys = stored
        .joint_grants
        .keys()
        .filter_map(|k| budget::record::parse_joint_key(k));
    let holders: BTreeSet<String> = ledger_holders
        .chain(joint_keys.map(|(h, _)| h.to_string()))
        .collect();
    let holders: BTreeSet<&String> = holders.iter().collect();
    let unopened = |h: &&String| stored.unopened(h);
    let unspent: u64 = holders.iter().map(|h| stored.unspent(h)).sum();
    let unspent = unspent + holders.iter().map(unopened).sum::<u64>();
    if served > settled + unspent {
        return Err(format!(
            "{name}: {served} tokens were served, only {settled} are settled and {unspent} unspent"
        ));
    }
    if billed > settled {
        return Err(format!(
            "{name}: {billed} tokens are billed, only {settled} are settled"
        ));
    }
    if stored.committed() > stored.total() {
        return Err(format!("{name}: the grants exceed the top-ups"));
    }
    Ok(())
}
