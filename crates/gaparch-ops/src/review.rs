//! Decides which orders may be carried out, and describes their effects.
//!
//! Effects and denials are parts of answers that operators' scripts read. Their texts must not change, even
//! where the code uses other terms.

use crate::change_text::change_text;
use crate::limits;
use crate::registry::{ChangeSubject, OrderRegistry};
use gaparch_protocol::ops::intent::{AcceptedChange, Change, ChangeNote, DrainMode, LimitView};
use gaparch_protocol::ops::view::EngineRole;
use gaparch_protocol::ops::{DenyCode, Order};
use thiserror::Error;

/// Maximum length of an operator's name or of a reason, in bytes.
const MAX_TEXT_BYTES: usize = 500;

/// An order that is not carried out, and why.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{message}")]
pub struct OrderDenied {
    /// The reason, as a code for scripts.
    pub code: DenyCode,
    /// The reason and a remedy, as text for operators.
    pub message: String,
}

impl OrderDenied {
    /// Creates a denial for this reason.
    pub fn new(code: DenyCode, message: impl Into<String>) -> OrderDenied {
        OrderDenied { code, message: message.into() }
    }
}

/// The status of an engine at the time of an order.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineStatus {
    /// The engine's name.
    pub name: String,
    /// The engine's role.
    pub role: EngineRole,
    /// Whether the engine is ready by the endpoint list and operators' orders, and reachable by the router.
    pub accepts_requests: bool,
    /// This router's attempts on the engine that are awaiting their first token.
    pub awaiting_first_token: u32,
    /// This router's attempts on the engine that are streaming.
    pub streaming: u32,
}

/// The status of the site at the time of an order.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SiteStatus {
    /// All engines.
    pub engines: Vec<EngineStatus>,
    /// Requests in the admission queue.
    pub queued: u32,
    /// Requests in prefill.
    pub prefilling: u32,
    /// Whether decode workers do the prefill if there is no prefill worker.
    pub decode_workers_can_prefill: bool,
    /// The limits that operators can change.
    pub limits: Vec<LimitView>,
}

/// A change that is permitted.
#[derive(Clone, Debug, PartialEq)]
pub struct ProposedChange {
    /// The change, to be stored and [applied](OrderRegistry::apply).
    pub change: AcceptedChange,
    /// The effect on the requests in flight, as text for operators.
    pub effect: String,
}

impl OrderRegistry {
    /// Checks an operator's order. Returns its change and the effect on the requests in flight.
    ///
    /// # Errors
    /// When the order may not be carried out; the message has the reason and a remedy.
    pub fn propose(
        &self,
        order: &Order,
        operator: &str,
        at: u64,
        site: &SiteStatus,
    ) -> Result<ProposedChange, OrderDenied> {
        check_texts(order, operator)?;
        self.check_revision(order)?;
        let effect = self.effect(order, site)?;
        let note = ChangeNote { operator: operator.to_owned(), reason: order.reason.trim().to_owned(), at };
        let change = AcceptedChange { revision: self.revision() + 1, change: order.change.clone(), note };
        Ok(ProposedChange { change, effect })
    }

    /// Returns the change to apply for an order that was replicated from another router; `None` if it is in
    /// force already. Whether an engine of each role remains was checked by the router that accepted the
    /// order.
    ///
    /// # Errors
    /// When the order sets a limit that this router does not have, or a value out of the limit's bounds.
    pub fn adopt(
        &self,
        change: &Change,
        note: &ChangeNote,
        limits: &[LimitView],
    ) -> Result<Option<AcceptedChange>, OrderDenied> {
        if let Change::SetLimit { name, value } = change {
            limits::check(name, *value, limits)?;
        }
        let last = ChangeSubject::of(change).and_then(|subject| self.last_change(&subject));
        if last.is_some_and(|accepted| accepted.change == *change) {
            return Ok(None);
        }
        let revision = self.revision() + 1;
        Ok(Some(AcceptedChange { revision, change: change.clone(), note: note.clone() }))
    }

    /// Denies an order if its subject has changed since the revision that the operator has seen. Otherwise an
    /// operator could unknowingly overrule another one.
    fn check_revision(&self, order: &Order) -> Result<(), OrderDenied> {
        let Some(seen_revision) = order.revision else { return Ok(()) };
        let Some(subject) = ChangeSubject::of(&order.change) else { return Ok(()) };
        let conflicting = self.last_change(&subject).filter(|accepted| accepted.revision > seen_revision);
        let Some(AcceptedChange { change, note, .. }) = conflicting else { return Ok(()) };
        let change = change_text(change);
        let message = format!("{} was first: {change} ({})", note.operator, note.reason);
        Err(OrderDenied::new(DenyCode::Conflict, message))
    }

    fn effect(&self, order: &Order, site: &SiteStatus) -> Result<String, OrderDenied> {
        let in_progress = format!("{} held and {} being read", site.queued, site.prefilling);
        match &order.change {
            Change::Drain { engine, mode } => drain_effect(engine, *mode, order.force, site),
            Change::Undrain { engine } => self.undrain_effect(engine),
            Change::Pause {} => Ok(format!("new requests are refused; {in_progress} go on")),
            Change::Resume {} if !self.is_paused() => {
                Err(OrderDenied::new(DenyCode::Invalid, "the intake is not paused"))
            }
            Change::Resume {} => Ok("new requests are taken again".to_owned()),
            Change::SetLimit { name, value } => limits::check(name, *value, &site.limits),
            Change::Stop {} => Ok(format!("{in_progress} have the stated time")),
        }
    }

    fn undrain_effect(&self, engine: &str) -> Result<String, OrderDenied> {
        match self.drain(engine) {
            Some(_) => Ok(format!("{engine} is what the list says again")),
            None => {
                let message = format!("no operator holds '{engine}'");
                Err(OrderDenied::new(DenyCode::Invalid, message))
            }
        }
    }
}

fn check_texts(order: &Order, operator: &str) -> Result<(), OrderDenied> {
    if order.reason.trim().is_empty() && !matches!(order.change, Change::Stop {}) {
        let message = "a reason is required, for colleagues who read it later";
        return Err(OrderDenied::new(DenyCode::Invalid, message));
    }
    for (field, text) in [("the reason", order.reason.as_str()), ("the operator's name", operator)] {
        if text.len() > MAX_TEXT_BYTES {
            let message = format!("{field} has {} bytes, at most {MAX_TEXT_BYTES} are stored", text.len());
            return Err(OrderDenied::new(DenyCode::Invalid, message));
        }
    }
    Ok(())
}

fn drain_effect(
    engine: &str,
    mode: DrainMode,
    force: bool,
    site: &SiteStatus,
) -> Result<String, OrderDenied> {
    let Some(status) = site.engines.iter().find(|status| status.name == engine) else {
        return Err(OrderDenied::new(DenyCode::Unknown, format!("there is no engine '{engine}'")));
    };
    let pending = format!("{} held and {} being read", site.queued, site.prefilling);
    let consequence = "would wait for another until their time is up, and then be refused";
    let mut effect = drain_text(status, mode);
    if let Some(role) = role_left_without_engine(status, site) {
        if !force {
            let message = format!(
                "{engine} is the last {role} that takes anything: {pending} requests {consequence}, as would \
                 all that come; force it if that is wanted"
            );
            return Err(OrderDenied::new(DenyCode::LastOfRole, message));
        }
        effect += &format!("; {pending} {consequence}");
    }
    Ok(effect)
}

fn drain_text(status: &EngineStatus, mode: DrainMode) -> String {
    let EngineStatus { name, awaiting_first_token, streaming, .. } = status;
    let restriction = match mode {
        DrainMode::Drain => "gets nothing new",
        DrainMode::Detach => "gets nothing new, and no connection once nothing runs there",
    };
    format!(
        "{name} {restriction}; {awaiting_first_token} sent there and {streaming} streaming end in \
         their own time"
    )
}

/// Returns the role, as text for operators, that would have no available engine without this one.
fn role_left_without_engine(status: &EngineStatus, site: &SiteStatus) -> Option<&'static str> {
    if !status.accepts_requests {
        return None;
    }
    let remaining = |can_serve: fn(EngineRole) -> bool| {
        let others = site.engines.iter().filter(|other| other.name != status.name);
        others.filter(|other| other.accepts_requests && can_serve(other.role)).count()
    };
    let remaining_decode_workers = remaining(can_decode);
    if can_decode(status.role) && remaining_decode_workers == 0 {
        return Some("writer");
    }
    let decode_workers_prefill = site.decode_workers_can_prefill && remaining_decode_workers > 0;
    if can_prefill(status.role) && remaining(can_prefill) == 0 && !decode_workers_prefill {
        return Some("reader");
    }
    None
}

fn can_decode(role: EngineRole) -> bool {
    role != EngineRole::Prefill
}

fn can_prefill(role: EngineRole) -> bool {
    role != EngineRole::Decode
}
