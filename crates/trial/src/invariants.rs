//! What must hold at the end of every run, whatever happened in it.

use std::collections::BTreeSet;

use crate::request::RequestState;
use crate::simulation::Simulation;

/// Checks a world whose run has ended.
///
/// # Errors
///
/// Returns what does not hold.
pub fn check(sim: &Simulation) -> Result<(), String> {
    if sim.stats.overspend > 0 {
        return Err(format!("{} tokens overspent", sim.stats.overspend));
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
            return Err(format!("{name}: {} has two bills", bill.request_id));
        }
    }
    for (i, request) in sim.requests.iter().enumerate() {
        let served = request.account == account && request.state == RequestState::Served;
        if !served {
            continue;
        }
        let bill = bills.iter().find(|b| b.request_id == request.id);
        let Some(bill) = bill else {
            return Err(format!("{name}: {} was served and has no bill", request.id));
        };
        let attempts = sim.attempts.iter().filter(|a| a.request == i);
        let max_served = attempts
            .map(|a| a.tokens_served(sim.now))
            .max()
            .unwrap_or(0);
        if bill.tokens > max_served {
            let billed = bill.tokens;
            return Err(format!(
                "{name}: {} billed {billed}, ran {max_served}",
                request.id
            ));
        }
    }
    check_token_sums(sim, account, bills.iter().map(|b| b.tokens).sum())
}

/// Every token served is settled, or still charged to a holder that can't tell.
fn check_token_sums(sim: &Simulation, account: usize, billed: u64) -> Result<(), String> {
    let name = format!("c{account}");
    let records = sim.platform.records();
    let Some(stored) = records.filter_map(|r| r.accounts.get(&name)).next() else {
        return Ok(());
    };
    let settled = stored.settled();
    let served = sim.tokens_served(account);
    if settled > served {
        return Err(format!("{name}: settled {settled}, served {served}"));
    }
    let ledger = stored.ledger.keys().cloned();
    let joint_grants = stored
        .joint_grants
        .keys()
        .filter_map(|k| budget::record::parse_joint_key(k));
    let holders: BTreeSet<String> = ledger
        .chain(joint_grants.map(|(h, _)| h.to_string()))
        .collect();
    let holders: BTreeSet<&String> = holders.iter().collect();
    let unopened = |h: &&String| stored.unopened(h);
    let unspent: u64 = holders.iter().map(|h| stored.unspent(h)).sum();
    let unspent = unspent + holders.iter().map(unopened).sum::<u64>();
    if served > settled + unspent {
        return Err(format!(
            "{name}: served {served}, settled {settled}, still charged {unspent}"
        ));
    }
    if billed > settled {
        return Err(format!("{name}: billed {billed}, settled {settled}"));
    }
    if stored.committed() > stored.total() {
        return Err(format!("{name}: granted more than was paid for"));
    }
    Ok(())
}
