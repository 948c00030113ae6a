//! Bookkeeping for the decision module: the tables of servers and requests. Decides nothing.

mod averages;
mod choice;
mod limits;
mod means;
mod pace;
mod reads;
mod ring;
mod seen;
mod server;
mod servers;
mod told;
mod work;
mod works;

pub use averages::{warm_by_kind, Averages, WarmKind};
pub use choice::{first_by_lot, least_by, least_by_lot, power_of_four};
pub use limits::{Bucket, Throttle};
pub use means::{average, mean, median, Lagged, Mean, Recent};
pub use pace::{compare_all_paces, learn_pace};
pub use reads::Reads;
pub use ring::{Fade, Near, Nearness, Places, Position};
pub use seen::Seen;
pub use server::{new_server, Part, Rest, Server};
pub use servers::Servers;
pub use told::{held_from_bytes, held_to_bytes, Told};
pub use work::{Home, MayHaveRun, Sent, Stage, Work};
pub use works::{Held, Open, Turn, Wants, Works};
