//! Conversion of TOML files to JSON values, with the line of each key.

use std::collections::BTreeMap;
use std::ops::Range;

use serde_json::{Map, Number, Value};
use toml_edit::{Document, Item, TableLike, Value as TomlValue};

use crate::problem::{Finding, ProblemCode};

/// A table of a file with the lines of its keys.
#[derive(Clone, Debug, Default)]
pub(crate) struct LocatedTable {
    /// Key of the list that holds the table.
    pub(crate) list: String,
    /// The table's content.
    pub(crate) content: Map<String, Value>,
    /// Line on which the table starts, from 1.
    pub(crate) line: usize,
    /// Line of each key, from 1; keys of nested tables are dotted paths.
    pub(crate) key_lines: BTreeMap<String, usize>,
}

/// The tables of a file and its invalid top-level entries.
#[derive(Clone, Debug, Default)]
pub(crate) struct FileTables {
    /// Tables in top-level lists, in the order of the file.
    pub(crate) tables: Vec<LocatedTable>,
    /// Line and key of each top-level entry that is not a list of tables.
    pub(crate) others: Vec<(usize, String)>,
}

/// Reads the top-level lists of tables of a file.
///
/// # Errors
/// Returns the line and the finding when the text is not valid TOML.
pub(crate) fn read_tables(text: &str) -> Result<FileTables, (usize, Finding)> {
    let lines = LineIndex::new(text);
    let document = Document::parse(text).map_err(|error| {
        let line = lines.line_of(error.span());
        let message = error.message().trim().replace('\n', ", ");
        (
            line,
            Finding::new(ProblemCode::Syntax, "file", message, "TOML"),
        )
    })?;
    let mut found = FileTables::default();
    for (key, item) in document.as_table() {
        let key_span = document.key(key).and_then(toml_edit::Key::span);
        let Some(tables) = tables_in(item) else {
            let line = lines.line_of(key_span.or_else(|| item.span()));
            found.others.push((line, key.to_owned()));
            continue;
        };
        for (table, span) in tables {
            found.tables.push(read_table(key, table, span, &lines));
        }
    }
    found.tables.sort_by_key(|table| table.line);
    Ok(found)
}

type SpannedTable<'a> = (&'a dyn TableLike, Option<Range<usize>>);

/// Returns the tables of a list, written as `[[list]]` or as an array of inline tables; `None` when
/// the item is not a list of tables.
fn tables_in(item: &Item) -> Option<Vec<SpannedTable<'_>>> {
    match item {
        Item::ArrayOfTables(tables) => Some(
            tables
                .iter()
                .map(|table| (table as &dyn TableLike, table.span()))
                .collect(),
        ),
        Item::Value(TomlValue::Array(entries)) => entries
            .iter()
            .map(|entry| {
                let table = entry.as_inline_table()?;
                Some((table as &dyn TableLike, table.span()))
            })
            .collect(),
        _ => None,
    }
}

fn read_table(
    list: &str,
    table: &dyn TableLike,
    span: Option<Range<usize>>,
    lines: &LineIndex,
) -> LocatedTable {
    let mut located = LocatedTable {
        list: list.to_owned(),
        line: lines.line_of(span),
        ..LocatedTable::default()
    };
    located.content = read_keys(table, "", lines, &mut located.key_lines);
    located
}

fn read_keys(
    table: &dyn TableLike,
    prefix: &str,
    lines: &LineIndex,
    key_lines: &mut BTreeMap<String, usize>,
) -> Map<String, Value> {
    let mut content = Map::new();
    for (key, item) in table.iter() {
        let path = format!("{prefix}{key}");
        let span = table.key(key).and_then(toml_edit::Key::span);
        key_lines.insert(path.clone(), lines.line_of(span.or_else(|| item.span())));
        let value = match item.as_table_like() {
            Some(inner) => Value::Object(read_keys(inner, &format!("{path}."), lines, key_lines)),
            None => read_item(item),
        };
        content.insert(key.to_owned(), value);
    }
    content
}

/// Returns the JSON value of an item. Values that JSON can't represent (dates, infinities) become
/// null, which no field accepts.
fn read_item(item: &Item) -> Value {
    match item {
        Item::Value(value) => read_value(value),
        Item::Table(table) => read_inner_table(table),
        Item::ArrayOfTables(tables) => {
            Value::Array(tables.iter().map(|table| read_inner_table(table)).collect())
        }
        Item::None => Value::Null,
    }
}

fn read_inner_table(table: &dyn TableLike) -> Value {
    let entries = table.iter();
    Value::Object(
        entries
            .map(|(key, item)| (key.to_owned(), read_item(item)))
            .collect(),
    )
}

fn read_value(value: &TomlValue) -> Value {
    match value {
        TomlValue::String(text) => Value::String(text.value().clone()),
        TomlValue::Integer(number) => Value::from(*number.value()),
        TomlValue::Float(number) => {
            Number::from_f64(*number.value()).map_or(Value::Null, Value::Number)
        }
        TomlValue::Boolean(flag) => Value::Bool(*flag.value()),
        TomlValue::Datetime(_) => Value::Null,
        TomlValue::Array(entries) => Value::Array(entries.iter().map(read_value).collect()),
        TomlValue::InlineTable(table) => read_inner_table(table),
    }
}

/// Converts byte offsets into line numbers.
struct LineIndex {
    starts: Vec<usize>,
}

impl LineIndex {
    fn new(text: &str) -> Self {
        let breaks = text.match_indices('\n').map(|(offset, _)| offset + 1);
        Self {
            starts: std::iter::once(0).chain(breaks).collect(),
        }
    }

    /// Returns the line on which the span starts, from 1; the first line when there is no span.
    fn line_of(&self, span: Option<Range<usize>>) -> usize {
        let offset = span.map_or(0, |span| span.start);
        self.starts.partition_point(|start| *start <= offset)
    }
}
