//! Tables of text with aligned columns.

/// A table of text with aligned columns; the first row has the titles.
#[derive(Clone, Debug, Default)]
pub(crate) struct TextTable {
    rows: Vec<Vec<String>>,
}

impl TextTable {
    /// Creates a table with these column titles.
    pub(crate) fn new(titles: &[&str]) -> Self {
        Self {
            rows: vec![titles.iter().map(|title| (*title).to_owned()).collect()],
        }
    }

    /// Adds a row below the others.
    pub(crate) fn add_row(&mut self, cells: impl IntoIterator<Item = String>) {
        self.rows.push(cells.into_iter().collect());
    }

    /// Renders the table, with two spaces between columns.
    pub(crate) fn render(&self) -> String {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or_default();
        let widths: Vec<usize> = (0..columns).map(|column| self.width_of(column)).collect();
        let mut text = String::new();
        for row in &self.rows {
            let cells = row.iter().zip(&widths);
            let padded: Vec<String> = cells
                .map(|(cell, width)| format!("{cell:<width$}"))
                .collect();
            text.push_str(padded.join("  ").trim_end());
            text.push('\n');
        }
        text
    }

    fn width_of(&self, column: usize) -> usize {
        let cells = self.rows.iter().filter_map(|row| row.get(column));
        let widths = cells.map(|cell| cell.chars().count());
        widths.max().unwrap_or_default()
    }
}
