//! Questions that the console puts to its operator before it orders something.

use gaparch_protocol::ops::intent::Change;
use gaparch_protocol::ops::Order;

/// Characters of a reason or a value at most.
const MOST: usize = 200;

#[derive(Clone, Debug, PartialEq)]
pub enum Dialog {
    /// What the list is to be narrowed to; takes effect with each key.
    Filter,
    /// Why something is to be done; it harms if it is wrong.
    Reason { change: Change, title: String, consequence: String, text: String, revision: u64 },
    /// The router has refused it; the word `yes` does it all the same.
    Force { order: Order, message: String, text: String },
    /// A new value of a limit.
    Value { name: String, text: String, hint: String, revision: u64 },
    /// An id to look up.
    Find { text: String },
}

impl Dialog {
    /// What is being typed.
    pub fn text(&self) -> Option<&str> {
        match self {
            Dialog::Filter => None,
            Dialog::Reason { text, .. }
            | Dialog::Force { text, .. }
            | Dialog::Value { text, .. }
            | Dialog::Find { text } => Some(text),
        }
    }

    fn text_mut(&mut self) -> Option<&mut String> {
        match self {
            Dialog::Filter => None,
            Dialog::Reason { text, .. }
            | Dialog::Force { text, .. }
            | Dialog::Value { text, .. }
            | Dialog::Find { text } => Some(text),
        }
    }

    pub fn put(&mut self, c: char) {
        if let Some(text) = self.text_mut().filter(|t| t.chars().count() < MOST && !c.is_control()) {
            text.push(c);
        }
    }

    pub fn take_back(&mut self) {
        if let Some(text) = self.text_mut() {
            text.pop();
        }
    }
}
