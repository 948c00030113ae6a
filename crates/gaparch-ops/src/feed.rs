//! What a subscriber is sent that may be too slow for it.

/// What to do with the next update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Offer {
    /// Send it.
    Send,
    /// Leave it out: the subscriber has no room.
    Skip,
    /// The subscriber has caught up: tell it that so many were left out, this one among them, and how all stands
    /// now.
    Resync { missed: u64 },
}

/// One subscriber. Its queue has a fixed room; past it updates are left out, and the subscriber is told so and
/// shown all anew once its queue is empty: to see half of the changes would be worse than to see none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Feed {
    missed: u64,
}

impl Feed {
    /// `waiting` of at most `room` updates wait in its queue.
    pub fn offer(&mut self, waiting: usize, room: usize) -> Offer {
        let behind = self.missed > 0;
        if behind && waiting == 0 {
            return Offer::Resync { missed: std::mem::take(&mut self.missed) + 1 };
        }
        if behind || waiting >= room {
            self.missed += 1;
            return Offer::Skip;
        }
        Offer::Send
    }
}
