//! A list of rows that can be walked, sorted and filtered.

use std::cmp::Ordering;

/// How a row is to be noticed. The words in it say the same: no tone stands alone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Tone {
    #[default]
    Plain,
    /// Out of use, or past.
    Faint,
    Warn,
    Bad,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Cell {
    pub text: String,
    /// What it is sorted by; its text if there is none.
    rank: Option<f64>,
}

impl From<String> for Cell {
    fn from(text: String) -> Cell {
        Cell { text, rank: None }
    }
}

impl From<&str> for Cell {
    fn from(text: &str) -> Cell {
        Cell { text: text.to_owned(), rank: None }
    }
}

impl Cell {
    pub fn ranked(text: impl Into<String>, rank: f64) -> Cell {
        Cell { text: text.into(), rank: Some(rank) }
    }

    pub fn number(n: impl Into<f64> + ToString + Copy) -> Cell {
        Cell::ranked(n.to_string(), n.into())
    }

    fn order(&self, other: &Cell) -> Ordering {
        match (self.rank, other.rank) {
            (Some(a), Some(b)) => a.total_cmp(&b),
            _ => self.text.cmp(&other.text),
        }
    }
}

#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    /// What stays selected when rows move.
    pub key: String,
    pub cells: Vec<Cell>,
    pub tone: Tone,
}

/// Where an operator is in a list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Listing {
    pub selected: usize,
    /// Key of the selected row, so that it stays selected.
    key: Option<String>,
    /// Column and whether the largest come first; as given if there is none.
    pub sort: Option<(usize, bool)>,
    pub filter: String,
}

impl Listing {
    /// The rows to show, in their order.
    pub fn arrange(&self, rows: Vec<Row>) -> Vec<Row> {
        let wanted = self.filter.to_lowercase();
        let fits = |row: &Row| row.cells.iter().any(|c| c.text.to_lowercase().contains(&wanted));
        let mut rows: Vec<Row> = rows.into_iter().filter(|r| wanted.is_empty() || fits(r)).collect();
        if let Some((column, descending)) = self.sort {
            rows.sort_by(|a, b| {
                let order = match (a.cells.get(column), b.cells.get(column)) {
                    (Some(a), Some(b)) => a.order(b),
                    _ => Ordering::Equal,
                };
                if descending {
                    order.reverse()
                } else {
                    order
                }
            });
        }
        rows
    }

    /// Where the selected row is now among those shown.
    pub fn place(&self, rows: &[Row]) -> usize {
        let same = self.key.as_ref().and_then(|key| rows.iter().position(|r| r.key == *key));
        same.unwrap_or(self.selected).min(rows.len().saturating_sub(1))
    }

    pub fn move_by(&mut self, rows: &[Row], by: isize) {
        let at = self.place(rows).saturating_add_signed(by).min(rows.len().saturating_sub(1));
        self.selected = at;
        self.key = rows.get(at).map(|r| r.key.clone());
    }

    /// Sorts by the next column, the largest first; after the last one as given.
    pub fn sort_next(&mut self, columns: usize) {
        self.sort = match self.sort {
            None => Some((0, false)),
            Some((column, _)) if column + 1 < columns => Some((column + 1, true)),
            Some(_) => None,
        };
    }

    pub fn reverse(&mut self) {
        self.sort = self.sort.map(|(column, descending)| (column, !descending));
    }
}
