//! Answers the queries of one session, by asking the owner, the event broadcaster or the fleet's task.

use super::operators::Identity;
use super::session::{SessionContext, SessionError};
use super::BroadcasterMessage;
use crate::shell::owner::{Control, OpenRequests};
use gaparch_protocol::ops::outcome::GlobalRequestId;
use gaparch_protocol::ops::{Answer, DenyCode, Order, Query, SessionRole, Update};
use gaparch_protocol::versions::AuditFilter;
use gaparch_scheduler::api::RequestId;
use tokio::sync::{mpsc, oneshot};

/// The most requests in one answer.
const MAX_REQUESTS: u32 = 2000;

/// Answers one query.
///
/// # Errors
/// If the task that would answer has ended; the session ends then.
pub(super) async fn answer(
    query: Query,
    identity: &Identity,
    session: u64,
    updates: &mpsc::Sender<Update>,
    context: &SessionContext,
) -> Result<Answer, SessionError> {
    match query {
        Query::Subscribe {} => {
            let subscribe = BroadcasterMessage::Subscribe { session, updates: updates.clone() };
            send_to_broadcaster(subscribe, context).await?;
            Ok(Answer::Subscribed {})
        }
        Query::Unsubscribe {} => {
            send_to_broadcaster(BroadcasterMessage::Unsubscribe { session }, context).await?;
            Ok(Answer::Unsubscribed {})
        }
        Query::Order { order } => carry_out(order, false, identity, context).await,
        Query::LocalOrder { order } => carry_out(order, true, identity, context).await,
        Query::OrderReplication {} => order_replication(context).await,
        Query::Members {} => members(context).await,
        Query::Audit { filter } => audit(filter, context).await,
        Query::ListVersions {} => list_versions(context).await,
        Query::OpenRequests { max } => recent_requests(max, context).await,
        Query::RequestDetails { request } => request_details(request, context).await,
        other => ask_broadcaster(other, context).await,
    }
}

async fn order_replication(context: &SessionContext) -> Result<Answer, SessionError> {
    let view = match &context.fleet {
        Some(fleet) => fleet.order_replication().await.ok_or(SessionError::RouterEnded)?,
        None => None,
    };
    Ok(view.map_or_else(no_list_replication, |replication| Answer::OrderReplication {
        replication: Box::new(replication),
    }))
}

async fn members(context: &SessionContext) -> Result<Answer, SessionError> {
    let Some(fleet) = &context.fleet else {
        let message = "this router knows of no other: its settings have no <fleet>, or the key file can't \
                       be read (see the events)"
            .to_owned();
        return Ok(Answer::Denied { code: DenyCode::Unknown, message });
    };
    let view = fleet.members().await.ok_or(SessionError::RouterEnded)?;
    Ok(Answer::Members { fleet: Box::new(view) })
}

async fn audit(filter: AuditFilter, context: &SessionContext) -> Result<Answer, SessionError> {
    let view = match &context.fleet {
        Some(fleet) => fleet.audit(filter).await.ok_or(SessionError::RouterEnded)?,
        None => None,
    };
    Ok(view.map_or_else(no_list_replication, |audit| Answer::Audit { audit: Box::new(audit) }))
}

async fn list_versions(context: &SessionContext) -> Result<Answer, SessionError> {
    let view = match &context.fleet {
        Some(fleet) => fleet.list_versions().await.ok_or(SessionError::RouterEnded)?,
        None => None,
    };
    Ok(view
        .map_or_else(no_list_replication, |versions| Answer::ListVersions { versions: Box::new(versions) }))
}

/// The answer of a router that does not replicate lists and orders.
fn no_list_replication() -> Answer {
    let message = "this router follows no other: its settings have no <fleet confirm=\"...\">";
    Answer::Denied { code: DenyCode::Unknown, message: message.to_owned() }
}

/// Open requests, the oldest first, followed by ended ones up to the maximum.
async fn recent_requests(max: u32, context: &SessionContext) -> Result<Answer, SessionError> {
    let max = max.clamp(1, MAX_REQUESTS);
    let (reply, wait) = oneshot::channel();
    send_to_owner(Control::OpenRequests { max: max as usize, reply }, context).await?;
    let OpenRequests { mut views, mut total } = wait.await.map_err(|_| SessionError::RouterEnded)?;
    let remaining = max.saturating_sub(views.len() as u32);
    let ended = ask_broadcaster(Query::OpenRequests { max: remaining }, context).await?;
    if let Answer::OpenRequests { requests: ended_views, total: ended_total } = ended {
        views.extend(ended_views);
        total += ended_total;
    }
    Ok(Answer::OpenRequests { requests: views, total })
}

async fn request_details(request: GlobalRequestId, context: &SessionContext) -> Result<Answer, SessionError> {
    let (reply, wait) = oneshot::channel();
    let id = RequestId(request.number);
    send_to_owner(Control::OpenRequest { id, reply }, context).await?;
    let open = wait.await.map_err(|_| SessionError::RouterEnded)?;
    // The number may belong to another run of the router.
    let open = open.filter(|view| view.request == request).map(Box::new);
    match ask_broadcaster(Query::RequestDetails { request }, context).await? {
        Answer::RequestDetails { outcome, .. } => Ok(Answer::RequestDetails { outcome, open }),
        other => Ok(other),
    }
}

async fn carry_out(
    order: Order,
    local_only: bool,
    identity: &Identity,
    context: &SessionContext,
) -> Result<Answer, SessionError> {
    if identity.role != SessionRole::ReadWrite {
        let message = format!("{} may look, and change nothing", identity.name);
        return Ok(Answer::Denied { code: DenyCode::ReadOnly, message });
    }
    let (reply, wait) = oneshot::channel();
    let operator = identity.name.clone();
    send_to_owner(Control::Order { order, operator, local_only, reply }, context).await?;
    Ok(match wait.await.map_err(|_| SessionError::RouterEnded)? {
        Ok(done) => Answer::Done { revision: done.revision, effect: done.effect },
        Err(denied) => Answer::Denied { code: denied.code, message: denied.message },
    })
}

async fn ask_broadcaster(query: Query, context: &SessionContext) -> Result<Answer, SessionError> {
    let (reply, wait) = oneshot::channel();
    send_to_broadcaster(BroadcasterMessage::Query { query, reply }, context).await?;
    wait.await.map_err(|_| SessionError::RouterEnded)
}

async fn send_to_broadcaster(
    message: BroadcasterMessage,
    context: &SessionContext,
) -> Result<(), SessionError> {
    context.messages.send(message).await.map_err(|_| SessionError::RouterEnded)
}

async fn send_to_owner(message: Control, context: &SessionContext) -> Result<(), SessionError> {
    context.control.send(message).await.map_err(|_| SessionError::RouterEnded)
}
