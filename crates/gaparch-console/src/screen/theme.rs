//! Colours that are told apart by the colour-blind too, and none at all where they are not wanted.

use crate::app::Tone;
use ratatui::style::{Color, Modifier, Style};

/// How things look. Every tone also has words: nothing is told by colour alone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Theme {
    colours: bool,
}

impl Theme {
    /// By `NO_COLOR` (<https://no-color.org>): any value but an empty one means none.
    pub fn by_environment() -> Theme {
        Theme { colours: std::env::var_os("NO_COLOR").is_none_or(|value| value.is_empty()) }
    }

    pub fn plain() -> Theme {
        Theme { colours: false }
    }

    pub fn coloured() -> Theme {
        Theme { colours: true }
    }

    /// Blue, orange and grey: told apart with any colour vision.
    pub fn tone(self, tone: Tone) -> Style {
        let (colour, modifier) = match tone {
            Tone::Plain => return Style::new(),
            Tone::Faint => (Color::DarkGray, Modifier::DIM),
            Tone::Warn => (Color::Indexed(39), Modifier::empty()),
            Tone::Bad => (Color::Indexed(208), Modifier::BOLD),
        };
        let style = Style::new().add_modifier(modifier);
        if self.colours {
            style.fg(colour)
        } else {
            style
        }
    }

    pub fn title(self) -> Style {
        Style::new().add_modifier(Modifier::BOLD)
    }

    pub fn selected(self) -> Style {
        Style::new().add_modifier(Modifier::REVERSED)
    }
}
