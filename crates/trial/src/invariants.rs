//! What must hold at the end of every run, whatever happened in it.

use std::collections::BTreeSet;

use crate::request::RequestState;
use crate::simulation::Simulation;

/// Checks a world whose run has ended.
///
/// # Errors
///
/// Returns what does not hold.
pub fn check(world: &Simulation) -> Result<(), String> {
    if world.stats.overspend > 0 {
        return Err(format!("{} tokens overspent", world.stats.overspend));
    }
    for account in 0..world.trace.budgets.len() {
        check_account(world, account)?;
    }
    Ok(())
}

fn check_account(world: &Simulation, account: usize) -> Result<(), String> {
    let name = format!("c{account}");
    let bills = world.platform.bills(&name);
    let mut seen = BTreeSet::new();
    for bill in &bills {
        if !seen.insert(bill.request_id.clone()) {
            return Err(format!("{name}: {} has two bills", bill.request_id));
        }
    }
    for (i, request) in world.requests.iter().enumerate() {
        let served = request.account == account && request.state == RequestState::Served;
        if !served {
            continue;
        }
        let bill = bills.iter().find(|b| b.request_id == request.id);
        let Some(bill) = bill else {
            return Err(format!("{name}: {} was served and has no bill", request.id));
        };
        let runs = world.attempts.iter().filter(|r| r.request == i);
        let most = runs.map(|r| r.tokens_served(world.now)).max().unwrap_or(0);
        if bill.tokens > most {
            let billed = bill.tokens;
            return Err(format!(
                "{name}: {} billed {billed}, ran {most}",
                request.id
            ));
        }
    }
    check_sums(world, account, bills.iter().map(|b| b.tokens).sum())
}

/// Every token served is settled, or still charged to a holder that can't tell.
fn check_sums(world: &Simulation, account: usize, billed: u64) -> Result<(), String> {
    let name = format!("c{account}");
    let records = world.platform.records();
    let Some(stored) = records.filter_map(|r| r.accounts.get(&name)).next() else {
        return Ok(());
    };
    let settled = stored.settled();
    let served = world.tokens_served(account);
    if settled > served {
        return Err(format!("{name}: settled {settled}, served {served}"));
    }
    let lines = stored.ledger.keys().cloned();
    let joints = stored
        .joint_grants
        .keys()
        .filter_map(|k| budget::record::parse_joint_key(k));
    let holders: BTreeSet<String> = lines.chain(joints.map(|(h, _)| h.to_string())).collect();
    let holders: BTreeSet<&String> = holders.iter().collect();
    let unopened = |h: &&String| stored.unopened(h);
    let charged: u64 = holders.iter().map(|h| stored.unspent(h)).sum();
    let charged = charged + holders.iter().map(unopened).sum::<u64>();
    if served > settled + charged {
        return Err(format!(
            "{name}: served {served}, settled {settled}, still charged {charged}"
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
