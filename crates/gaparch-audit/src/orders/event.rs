//! Events of fleet orders that are reported to operators.

use gaparch_protocol::ops::intent::Change;
use gaparch_protocol::versions::FleetOrder;
use std::fmt;

/// An order that was superseded or could not be accepted.
#[derive(Clone, Debug, PartialEq)]
pub enum OrderEvent {
    /// Of two orders that were given without knowledge of each other, one has replaced the other.
    Superseded {
        /// The order that was replaced.
        order: Box<FleetOrder>,
        /// The order that is in force.
        by: Box<FleetOrder>,
    },
    /// A router has sent an order with an implausible number.
    Implausible {
        /// The router that sent it.
        router: String,
        /// The number of the order.
        number: u64,
    },
    /// An order was rejected because there are too many subjects.
    TableFull,
}

/// An order in the form shown to operators: the command, the operator, the router and the reason.
struct Described<'a>(&'a FleetOrder);

impl fmt::Display for Described<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let FleetOrder { id, change, note, .. } = self.0;
        write!(f, "'{}' of {} at {} ({})", command(change), note.operator, id.router, note.reason)
    }
}

fn command(change: &Change) -> String {
    match change {
        Change::Drain { engine, mode } => format!("{mode} {engine}"),
        Change::Undrain { engine } => format!("undrain {engine}"),
        Change::Pause {} => "pause".to_owned(),
        Change::Resume {} => "resume".to_owned(),
        Change::SetLimit { name, value: Some(value) } => format!("limit {name} {value}"),
        Change::SetLimit { name, value: None } => format!("limit {name} default"),
        Change::Stop {} => "stop".to_owned(),
    }
}

impl fmt::Display for OrderEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            OrderEvent::Superseded { order, by } => write!(
                f,
                "{} is superseded by {}: neither knew of the other",
                Described(order),
                Described(by)
            ),
            OrderEvent::Implausible { router, number } => write!(
                f,
                "router {router} states an order numbered {number}: it is rejected, and not passed on"
            ),
            OrderEvent::TableFull => f.write_str("the table of fleet orders is full"),
        }
    }
}
