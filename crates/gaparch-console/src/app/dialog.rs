//! Questions that the console puts to its operator.

use gaparch_protocol::ops::intent::Change;
use gaparch_protocol::ops::Order;

/// Characters of an answer at most.
const MOST: usize = 200;

#[derive(Clone, Debug, PartialEq)]
pub enum Question {
    /// What the list is to be narrowed to; takes effect with each key.
    Filter,
    /// Why something is to be done; it harms if it is wrong.
    Reason { change: Change, title: String, consequence: String, revision: u64 },
    /// The router has refused it; the word `yes` does it all the same.
    Force { order: Order, message: String },
    /// A new value of a limit.
    Value { name: String, hint: String, revision: u64 },
    /// An id to look up.
    Find,
}

/// A question, and what has been typed so far.
#[derive(Clone, Debug, PartialEq)]
pub struct Dialog {
    pub question: Question,
    pub text: String,
}

impl From<Question> for Dialog {
    fn from(question: Question) -> Dialog {
        Dialog { question, text: String::new() }
    }
}

impl Dialog {
    pub fn put(&mut self, c: char) {
        if self.text.chars().count() < MOST && !c.is_control() {
            self.text.push(c);
        }
    }

    pub fn is_filter(&self) -> bool {
        self.question == Question::Filter
    }
}
