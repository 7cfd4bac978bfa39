//! Handle to the budget task.

use budget::msg::ReserveRequest;
use budget::placement::Candidate;
use budget::{Durability, Event, OperatorCommand, OperatorReply, ReserveReply};
use serde_json::Value;
use tokio::sync::{mpsc, oneshot};

use crate::messages::{
    DetachMsg, ExtendMsg, OpenStepMsg, RecallMsg, SettleMsg, StoreCopyMsg, VoidMsg,
};

/// A command to the budget task, with the sender of its reply if it has one.
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
    SetMembers {
        live: Vec<Candidate>,
        absent: Vec<Candidate>,
    },
    ReportUnresponsive(Vec<String>),
    SetPresence(Vec<String>, Vec<String>),
    ReturnAll,
    IsDrained(oneshot::Sender<bool>),
    DescribeUndrained(oneshot::Sender<String>),
    Dump(oneshot::Sender<Value>),
}

/// A handle to the budget task; clones refer to the same task.
#[derive(Clone)]
pub struct BudgetHandle(mpsc::UnboundedSender<Command>);

/// The receiver of the commands, to be passed to the budget task.
pub struct CommandReceiver(pub(crate) mpsc::UnboundedReceiver<Command>);

/// Creates a handle. Its commands are queued until the task is spawned.
pub fn channel() -> (BudgetHandle, CommandReceiver) {
    let (tx, rx) = mpsc::unbounded_channel();
    (BudgetHandle(tx), CommandReceiver(rx))
}

impl BudgetHandle {
    pub(crate) fn send(&self, cmd: Command) {
        // If the task has ended, the command is dropped with its reply sender, and the caller gets
        // `None`.
        let _ = self.0.send(cmd);
    }

    /// Reserves tokens for a request; waits for at most `wait_ms` milliseconds.
    pub async fn reserve(&self, req: ReserveRequest, wait_ms: u64) -> Option<ReserveReply> {
        let (tx, rx) = oneshot::channel();
        self.send(Command::Reserve(req, wait_ms, tx));
        rx.await.ok()
    }

    /// Adds tokens to a hold.
    pub async fn extend(&self, msg: ExtendMsg) -> Option<ReserveReply> {
        let (tx, rx) = oneshot::channel();
        self.send(Command::Extend(msg, tx));
        rx.await.ok()
    }

    /// Voids the reservation of an entry instance that has stopped waiting for the reply.
    pub fn void(&self, msg: VoidMsg) {
        self.send(Command::Void(msg));
    }

    /// Removes an entry instance from a hold; returns whether others still serve the request.
    pub async fn detach(&self, msg: DetachMsg) -> Option<bool> {
        let (tx, rx) = oneshot::channel();
        self.send(Command::Detach(msg, tx));
        rx.await.ok()
    }

    /// Settles a hold; returns once the bill is durable.
    pub async fn settle(&self, msg: SettleMsg) -> Option<Durability> {
        let (tx, rx) = oneshot::channel();
        self.send(Command::Settle(msg, tx));
        rx.await.ok()
    }

    /// Stores a copy of another holder's settlement.
    pub fn store_copy(&self, msg: StoreCopyMsg) {
        self.send(Command::StoreCopy(msg));
    }

    /// Transfers unspent tokens to another holder; returns the total ever transferred to it.
    pub async fn recall(&self, msg: RecallMsg) -> Option<u64> {
        let (tx, rx) = oneshot::channel();
        self.send(Command::Recall(msg, tx));
        rx.await.ok()
    }

    /// Approves a step of a joint grant as its witness; returns the total of opened tokens.
    pub async fn open_step(&self, msg: OpenStepMsg) -> Option<u64> {
        let (tx, rx) = oneshot::channel();
        self.send(Command::OpenStep(msg, tx));
        rx.await.ok()
    }

    /// Runs an operator's command on a customer's budget.
    pub async fn run_operator_command(
        &self,
        account: &str,
        command: OperatorCommand,
    ) -> Option<OperatorReply> {
        let (tx, rx) = oneshot::channel();
        self.send(Command::Operator(account.to_string(), command, tx));
        rx.await.ok()
    }

    /// Sets the live instances of the region, which may be homes, and those that were live lately.
    pub fn set_members(&self, live: Vec<Candidate>, absent: Vec<Candidate>) {
        self.send(Command::SetMembers { live, absent });
    }

    /// Reports instances as unresponsive.
    pub fn report_unresponsive(&self, instances: Vec<String>) {
        self.send(Command::ReportUnresponsive(instances));
    }

    /// Sets which holders are present, and which have left in a planned stop.
    pub fn set_presence(&self, present: Vec<String>, left: Vec<String>) {
        self.send(Command::SetPresence(present, left));
    }

    /// Returns all unspent tokens to the stored records, for a planned stop.
    pub fn return_all(&self) {
        self.send(Command::ReturnAll);
    }

    /// Returns whether nothing is left to be settled or returned.
    pub async fn is_drained(&self) -> bool {
        let (tx, rx) = oneshot::channel();
        self.send(Command::IsDrained(tx));
        rx.await.unwrap_or(true)
    }

    /// Describes what is left to be settled or returned, for the log.
    pub async fn describe_undrained(&self) -> String {
        let (tx, rx) = oneshot::channel();
        self.send(Command::DescribeUndrained(tx));
        rx.await.unwrap_or_default()
    }

    /// Returns the state of the budgets as JSON.
    pub async fn dump(&self) -> Value {
        let (tx, rx) = oneshot::channel();
        self.send(Command::Dump(tx));
        rx.await.unwrap_or(Value::Null)
    }
}
