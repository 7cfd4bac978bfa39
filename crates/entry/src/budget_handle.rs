//! A handle on the task that owns the decisions on budgets.

use budget::msg::ReserveRequest;
use budget::placement::Candidate;
use budget::{Durability, Event, OperatorCommand, OperatorReply, ReserveReply};
use serde_json::Value;
use tokio::sync::{mpsc, oneshot};

use crate::messages::{
    DetachMsg, ExtendMsg, OpenStepMsg, RecallMsg, SettleMsg, StoreCopyMsg, VoidMsg,
};

/// What the task that owns the decisions is asked for.
pub(crate) enum Command {
    Reserve(ReserveRequest, u64, oneshot::Sender<ReserveReply>),
    Extend(ExtendMsg, oneshot::Sender<ReserveReply>),
    Void(VoidMsg),
    Detach(DetachMsg, oneshot::Sender<bool>),
    Settle(SettleMsg, oneshot::Sender<Durability>),
    StoreCopy(StoreCopyMsg),
    Recall(RecallMsg, oneshot::Sender<u64>),
    OpenStep(OpenStepMsg, oneshot::Sender<u64>),
    Operator(String, OperatorCommand, oneshot::Sender<OperatorReply>),
    Event(u32, Event),
    SetMembers(Vec<Candidate>),
    ReportUnresponsive(Vec<String>),
    SetPresence(Vec<String>, Vec<String>),
    ReleaseAll,
    IsDrained(oneshot::Sender<bool>),
    Dump(oneshot::Sender<Value>),
}

/// A handle on the running decisions; clones share them.
#[derive(Clone)]
pub struct BudgetHandle(mpsc::UnboundedSender<Command>);

/// The receiving end, until the task is spawned.
pub struct CommandReceiver(pub(crate) mpsc::UnboundedReceiver<Command>);

/// Opens a handle whose commands wait until the task is spawned.
pub fn channel() -> (BudgetHandle, CommandReceiver) {
    let (tx, rx) = mpsc::unbounded_channel();
    (BudgetHandle(tx), CommandReceiver(rx))
}

impl BudgetHandle {
    pub(crate) fn send(&self, cmd: Command) {
        // After the task's end there is nobody left to serve; replies are dropped with it.
        let _ = self.0.send(cmd);
    }

    /// Holds tokens back.
    pub async fn reserve(&self, req: ReserveRequest, wait_ms: u64) -> Option<ReserveReply> {
        let (tx, rx) = oneshot::channel();
        self.send(Command::Reserve(req, wait_ms, tx));
        rx.await.ok()
    }

    /// Widens a hold.
    pub async fn extend(&self, msg: ExtendMsg) -> Option<ReserveReply> {
        let (tx, rx) = oneshot::channel();
        self.send(Command::Extend(msg, tx));
        rx.await.ok()
    }

    /// Gives up a reservation whose answer came too late.
    pub fn void(&self, msg: VoidMsg) {
        self.send(Command::Void(msg));
    }

    /// Takes an entry off a request; returns whether others still serve it.
    pub async fn detach(&self, msg: DetachMsg) -> Option<bool> {
        let (tx, rx) = oneshot::channel();
        self.send(Command::Detach(msg, tx));
        rx.await.ok()
    }

    /// Settles a hold; returns when the bill is durable.
    pub async fn settle(&self, msg: SettleMsg) -> Option<Durability> {
        let (tx, rx) = oneshot::channel();
        self.send(Command::Settle(msg, tx));
        rx.await.ok()
    }

    /// Keeps a copy of another holder's settlement.
    pub fn store_copy(&self, msg: StoreCopyMsg) {
        self.send(Command::StoreCopy(msg));
    }

    /// Hands over unspent tokens; returns all that were ever handed to the asker.
    pub async fn recall(&self, msg: RecallMsg) -> Option<u64> {
        let (tx, rx) = oneshot::channel();
        self.send(Command::Recall(msg, tx));
        rx.await.ok()
    }

    /// Gives this witness' word for a step of a joint grant.
    pub async fn open_step(&self, msg: OpenStepMsg) -> Option<u64> {
        let (tx, rx) = oneshot::channel();
        self.send(Command::OpenStep(msg, tx));
        rx.await.ok()
    }

    /// Carries out an operator's act.
    pub async fn run_operator_command(
        &self,
        account: &str,
        act: OperatorCommand,
    ) -> Option<OperatorReply> {
        let (tx, rx) = oneshot::channel();
        self.send(Command::Operator(account.to_string(), act, tx));
        rx.await.ok()
    }

    /// Sets the living instances of the region.
    pub fn set_members(&self, members: Vec<Candidate>) {
        self.send(Command::SetMembers(members));
    }

    /// Tells that entries are gone.
    pub fn report_unresponsive(&self, entries: Vec<String>) {
        self.send(Command::ReportUnresponsive(entries));
    }

    /// Tells which holders are present, and which have left as planned.
    pub fn set_presence(&self, present: Vec<String>, left: Vec<String>) {
        self.send(Command::SetPresence(present, left));
    }

    /// Hands everything back, for a planned stop.
    pub fn release_all(&self) {
        self.send(Command::ReleaseAll);
    }

    /// Returns whether nothing is left to settle or hand back.
    pub async fn is_drained(&self) -> bool {
        let (tx, rx) = oneshot::channel();
        self.send(Command::IsDrained(tx));
        rx.await.unwrap_or(true)
    }

    /// Returns the state as JSON.
    pub async fn dump(&self) -> Value {
        let (tx, rx) = oneshot::channel();
        self.send(Command::Dump(tx));
        rx.await.unwrap_or(Value::Null)
    }
}
