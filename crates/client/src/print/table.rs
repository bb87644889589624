//! Tables with aligned columns.

use std::fmt;

/// Table of text; the first row is the header.
#[derive(Debug)]
pub(crate) struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table with a header and no other rows.
    pub(crate) fn new(header: &[&str]) -> Self {
        let header = header.iter().map(|&cell| cell.to_owned()).collect();
        Self { rows: vec![header] }
    }

    pub(crate) fn add_row<const N: usize>(&mut self, cells: [&dyn fmt::Display; N]) {
        self.rows
            .push(cells.iter().map(ToString::to_string).collect());
    }

    fn width(&self, column: usize) -> usize {
        let cells = self.rows.iter().filter_map(|row| row.get(column));
        cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for row in &self.rows {
            let cells = row.iter().enumerate().map(|(column, cell)| {
                let width = self.width(column);
                format!("{cell:width$}")
            });
            let line = cells.collect::<Vec<_>>().join("  ");
            writeln!(f, "{}", line.trim_end())?;
        }
        Ok(())
    }
}
