//! A handle on the task that owns the decisions on budgets.

use budget::msg::ReserveRequest;
use budget::placement::Candidate;
use budget::{Durability, Event, OperatorCommand, OperatorReply, ReserveReply};
use serde_json::Value;
use tokio::sync::{mpsc, oneshot};

use crate::msg::{DropOutMsg, ExtendMsg, KeepMsg, OpenMsg, RecallMsg, SettleMsg, VoidMsg};

/// What the task that owns the decisions is asked for.
pub(crate) enum Cmd {
    Reserve(ReserveRequest, u64, oneshot::Sender<ReserveReply>),
    Extend(ExtendMsg, oneshot::Sender<ReserveReply>),
    Void(VoidMsg),
    DropOut(DropOutMsg, oneshot::Sender<bool>),
    Settle(SettleMsg, oneshot::Sender<Durability>),
    Keep(KeepMsg),
    Recall(RecallMsg, oneshot::Sender<u64>),
    Open(OpenMsg, oneshot::Sender<u64>),
    Act(String, OperatorCommand, oneshot::Sender<OperatorReply>),
    Event(u32, Event),
    Members(Vec<Candidate>),
    Silent(Vec<String>),
    Presence(Vec<String>, Vec<String>),
    Leave,
    IsClear(oneshot::Sender<bool>),
    Dump(oneshot::Sender<Value>),
}

/// A handle on the running decisions; clones share them.
#[derive(Clone)]
pub struct Handle(mpsc::UnboundedSender<Cmd>);

/// The receiving end, until the task is spawned.
pub struct Inbox(pub(crate) mpsc::UnboundedReceiver<Cmd>);

/// Opens a handle whose commands wait until the task is spawned.
pub fn open() -> (Handle, Inbox) {
    let (tx, rx) = mpsc::unbounded_channel();
    (Handle(tx), Inbox(rx))
}

impl Handle {
    pub(crate) fn send(&self, cmd: Cmd) {
        // After the task's end there is nobody left to serve; replies are dropped with it.
        let _ = self.0.send(cmd);
    }

    /// Holds tokens back.
    pub async fn reserve(&self, req: ReserveRequest, wait_ms: u64) -> Option<ReserveReply> {
        let (tx, rx) = oneshot::channel();
        self.send(Cmd::Reserve(req, wait_ms, tx));
        rx.await.ok()
    }

    /// Widens a hold.
    pub async fn extend(&self, msg: ExtendMsg) -> Option<ReserveReply> {
        let (tx, rx) = oneshot::channel();
        self.send(Cmd::Extend(msg, tx));
        rx.await.ok()
    }

    /// Gives up a reservation whose answer came too late.
    pub fn void(&self, msg: VoidMsg) {
        self.send(Cmd::Void(msg));
    }

    /// Takes an entry off a request; returns whether others still serve it.
    pub async fn drop_out(&self, msg: DropOutMsg) -> Option<bool> {
        let (tx, rx) = oneshot::channel();
        self.send(Cmd::DropOut(msg, tx));
        rx.await.ok()
    }

    /// Settles a hold; returns when the bill is durable.
    pub async fn settle(&self, msg: SettleMsg) -> Option<Durability> {
        let (tx, rx) = oneshot::channel();
        self.send(Cmd::Settle(msg, tx));
        rx.await.ok()
    }

    /// Keeps a copy of another holder's settlement.
    pub fn keep(&self, msg: KeepMsg) {
        self.send(Cmd::Keep(msg));
    }

    /// Hands over unspent tokens; returns all that were ever handed to the asker.
    pub async fn recall(&self, msg: RecallMsg) -> Option<u64> {
        let (tx, rx) = oneshot::channel();
        self.send(Cmd::Recall(msg, tx));
        rx.await.ok()
    }

    /// Gives this witness' word for a step of a joint grant.
    pub async fn open(&self, msg: OpenMsg) -> Option<u64> {
        let (tx, rx) = oneshot::channel();
        self.send(Cmd::Open(msg, tx));
        rx.await.ok()
    }

    /// Carries out an operator's act.
    pub async fn act(&self, account: &str, act: OperatorCommand) -> Option<OperatorReply> {
        let (tx, rx) = oneshot::channel();
        self.send(Cmd::Act(account.to_string(), act, tx));
        rx.await.ok()
    }

    /// Sets the living instances of the region.
    pub fn set_members(&self, members: Vec<Candidate>) {
        self.send(Cmd::Members(members));
    }

    /// Tells that entries are gone.
    pub fn set_silent(&self, entries: Vec<String>) {
        self.send(Cmd::Silent(entries));
    }

    /// Tells which holders are present, and which have left as planned.
    pub fn set_presence(&self, present: Vec<String>, left: Vec<String>) {
        self.send(Cmd::Presence(present, left));
    }

    /// Hands everything back, for a planned stop.
    pub fn leave(&self) {
        self.send(Cmd::Leave);
    }

    /// Returns whether nothing is left to settle or hand back.
    pub async fn is_clear(&self) -> bool {
        let (tx, rx) = oneshot::channel();
        self.send(Cmd::IsClear(tx));
        rx.await.unwrap_or(true)
    }

    /// Returns the state as JSON.
    pub async fn dump(&self) -> Value {
        let (tx, rx) = oneshot::channel();
        self.send(Cmd::Dump(tx));
        rx.await.unwrap_or(Value::Null)
    }
}
