//! Plain text tables: each column is as wide as its widest cell; the last one is not padded.

use std::fmt;

#[derive(Clone, Debug, Default)]
pub struct Table {
    header: Vec<&'static str>,
    rows: Vec<Vec<String>>,
}

impl Table {
    pub fn new(header: &[&'static str]) -> Table {
        Table { header: header.to_vec(), rows: Vec::new() }
    }

    pub fn row(&mut self, cells: Vec<String>) {
        self.rows.push(cells);
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let cells = |column: usize| self.rows.iter().filter_map(move |r| r.get(column));
        let width = |(n, header): (usize, &&str)| {
            cells(n).map(|c| c.chars().count()).max().unwrap_or(0).max(header.chars().count())
        };
        let widths: Vec<usize> = self.header.iter().enumerate().map(width).collect();
        let mut line = |cells: &[&str]| {
            let last = cells.len().saturating_sub(1);
            for (n, (cell, width)) in cells.iter().zip(&widths).enumerate() {
                match n {
                    n if n == last => write!(f, "{cell}")?,
                    _ => write!(f, "{cell:<width$}  ")?,
                }
            }
            writeln!(f)
        };
        line(&self.header)?;
        for row in &self.rows {
            line(&row.iter().map(String::as_str).collect::<Vec<_>>())?;
        }
        Ok(())
    }
}
