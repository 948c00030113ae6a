//! Events of fleet orders that an operator may want to know of.

use gaparch_protocol::ops::intent::Change;
use gaparch_protocol::versions::FleetOrder;
use std::fmt;

/// Something that went wrong with an order.
#[derive(Clone, Debug, PartialEq)]
pub enum OrderEvent {
    /// Of two orders that knew nothing of each other, one has given way.
    Superseded {
        /// The order that has given way.
        order: Box<FleetOrder>,
        /// The order that is in force.
        by: Box<FleetOrder>,
    },
    /// A router states an order whose number can't be right.
    Implausible {
        /// The router.
        router: String,
        /// The number.
        number: u64,
    },
    /// There are too many subjects of orders.
    TableFull,
}

/// An order as operators see it: the command, who gave it where, and why.
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
