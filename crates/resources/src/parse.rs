//! Parsing of resource files. One run reports every problem of every file with its line.

use std::collections::BTreeMap;

use serde_json::Value;

use crate::kinds::{Resource, ResourceId, ResourceKind};
use crate::nearest::suggestion;
use crate::problem::{Finding, Problem, ProblemCode, Severity};
use crate::snapshot::Snapshot;
use crate::spec::{is_name, read_spec};
use crate::toml_tables::{LocatedTable, read_tables};
use crate::validate::{KnownResources, find_errors, find_transition_errors, find_warnings};

/// A resource file: its name, used in messages, and its text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SourceFile {
    /// Name of the file, as specified by the user.
    pub name: String,
    /// Content.
    pub text: String,
}

/// The result of parsing files.
#[derive(Clone, Debug, Default)]
pub struct Parsed {
    /// Every resource that is valid by itself, in the order of the files.
    pub resources: Vec<Resource>,
    /// Every problem, in order of file and line.
    pub problems: Vec<Problem>,
}

impl Parsed {
    /// Returns true if any problem is an error.
    #[must_use]
    pub fn has_errors(&self) -> bool {
        self.problems
            .iter()
            .any(|problem| problem.finding.severity() == Severity::Error)
    }

    /// Returns the resources as a snapshot at [`Revision::ZERO`](crate::snapshot::Revision::ZERO).
    #[must_use]
    pub fn snapshot(&self) -> Snapshot {
        let mut snapshot = Snapshot::default();
        for resource in &self.resources {
            snapshot.insert(resource.clone());
        }
        snapshot
    }
}

/// Parses and checks files as one complete set: references may name only resources of these files.
#[must_use]
pub fn parse(files: &[SourceFile]) -> Parsed {
    parse_with_base(files, &Snapshot::default())
}

/// Parses and checks files as a change to `base`: references may name resources of `base`, and
/// resources of the files replace those of `base` with the same identity.
#[must_use]
pub fn parse_with_base(files: &[SourceFile], base: &Snapshot) -> Parsed {
    let mut parser = Parser::new(files);
    for index in 0..files.len() {
        parser.read_file(index);
    }
    parser.check_combined(base);
    parser.finish()
}

/// The position of a resource in the files.
#[derive(Clone, Debug)]
struct Definition {
    file: usize,
    line: usize,
    key_lines: BTreeMap<String, usize>,
}

impl Definition {
    /// Returns the line of a field. When the file does not contain the field, returns the line of its
    /// top-level field or else of the resource.
    fn line_of(&self, field: &str) -> usize {
        let parent = field.split('.').next().unwrap_or_default();
        let line = self.key_lines.get(field);
        let line = line.or_else(|| self.key_lines.get(parent));
        line.copied().unwrap_or(self.line)
    }
}

/// A finding with the file index and the line to report it at.
struct LocatedFinding {
    file: usize,
    line: usize,
    finding: Finding,
}

struct Parser<'a> {
    files: &'a [SourceFile],
    resources: Vec<Resource>,
    definitions: BTreeMap<ResourceId, Definition>,
    located: Vec<LocatedFinding>,
    /// True if some file is not valid TOML, in which case resources may be missing.
    is_incomplete: bool,
}

impl<'a> Parser<'a> {
    const fn new(files: &'a [SourceFile]) -> Self {
        Self {
            files,
            resources: Vec::new(),
            definitions: BTreeMap::new(),
            located: Vec::new(),
            is_incomplete: false,
        }
    }

    fn read_file(&mut self, file: usize) {
        let found = match read_tables(&self.files[file].text) {
            Ok(found) => found,
            Err((line, finding)) => {
                self.is_incomplete = true;
                self.report(file, line, finding);
                return;
            }
        };
        for (line, key) in found.others {
            let finding = unknown_list(&key, true);
            self.report(file, line, finding);
        }
        for table in found.tables {
            self.read_resource(file, table);
        }
    }

    fn read_resource(&mut self, file: usize, table: LocatedTable) {
        let kind = ResourceKind::ALL
            .into_iter()
            .find(|kind| kind.as_str() == table.list);
        let Some(kind) = kind else {
            let finding = unknown_list(&table.list, false);
            self.report(file, table.line, finding);
            return;
        };
        let definition = Definition {
            file,
            line: table.line,
            key_lines: table.key_lines,
        };
        let spec = Value::Object(table.content);
        match read_spec(kind, &spec) {
            Ok(resource) => {
                if self.define(resource.id(), definition) {
                    self.resources.push(resource);
                }
            }
            Err(findings) => self.report_rejected(kind, &spec, definition, findings),
        }
    }

    /// Records the findings of an invalid resource, and its name: references to it are not reported
    /// as unknown.
    fn report_rejected(
        &mut self,
        kind: ResourceKind,
        spec: &Value,
        definition: Definition,
        findings: Vec<Finding>,
    ) {
        for finding in findings {
            let kind_prefix = format!("{kind}.");
            let field = finding.field.strip_prefix(&kind_prefix);
            let line = definition.line_of(field.unwrap_or(&finding.field));
            self.report(definition.file, line, finding);
        }
        let name = spec.get("name").and_then(Value::as_str);
        if let Some(name) = name.filter(|name| is_name(name)) {
            let name = name.to_owned();
            self.define(ResourceId { kind, name }, definition);
        }
    }

    /// Records the position of a resource. Returns false and reports a duplicate when its name is
    /// already used.
    fn define(&mut self, id: ResourceId, definition: Definition) -> bool {
        if let Some(first) = self.definitions.get(&id) {
            let finding = duplicate(&id, &self.files[first.file].name, first.line);
            let line = definition.line_of("name");
            self.report(definition.file, line, finding);
            return false;
        }
        self.definitions.insert(id, definition);
        true
    }

    /// Checks the resources against each other and against `base`.
    fn check_combined(&mut self, base: &Snapshot) {
        let mut snapshot = base.clone();
        let mut findings = Vec::new();
        for resource in &self.resources {
            findings.extend(find_transition_errors(base, resource));
            snapshot.insert(resource.clone());
        }
        let mut known = KnownResources::of(&snapshot);
        known.extend(self.definitions.keys().cloned());
        findings.extend(find_errors(&snapshot, &known));
        if self.is_incomplete {
            findings.retain(|finding| finding.code != ProblemCode::UnknownReference);
        }
        findings.extend(find_warnings(&snapshot));
        for finding in findings {
            self.report_by_resource(finding);
        }
    }

    /// Reports a finding at the position of its resource; ignores findings about resources that only
    /// the base defines.
    fn report_by_resource(&mut self, finding: Finding) {
        let Some(id) = &finding.resource else {
            return;
        };
        if let Some(definition) = self.definitions.get(id) {
            let (file, line) = (definition.file, definition.line_of(&finding.field));
            self.report(file, line, finding);
        }
    }

    fn report(&mut self, file: usize, line: usize, finding: Finding) {
        self.located.push(LocatedFinding {
            file,
            line,
            finding,
        });
    }

    fn finish(mut self) -> Parsed {
        self.located
            .sort_by_key(|located| (located.file, located.line, located.finding.code));
        let problems = self
            .located
            .into_iter()
            .map(|located| Problem {
                file: self.files[located.file].name.clone(),
                line: located.line,
                finding: located.finding,
            })
            .collect();
        Parsed {
            resources: self.resources,
            problems,
        }
    }
}

fn duplicate(id: &ResourceId, file: &str, line: usize) -> Finding {
    let message = format!("the name is already used at {file}:{line}");
    let allowed = "a name used once in its kind";
    Finding::new(ProblemCode::DuplicateResource, "name", message, allowed).about(id)
}

fn unknown_list(key: &str, is_other_form: bool) -> Finding {
    let known: Vec<&str> = ResourceKind::ALL.iter().map(|kind| kind.as_str()).collect();
    let allowed = known
        .iter()
        .map(|kind| format!("[[{kind}]]"))
        .collect::<Vec<_>>()
        .join(", ");
    let message = if is_other_form && known.contains(&key) {
        format!("is not a list of tables; write [[{key}]]")
    } else {
        format!("unknown resource kind{}", suggestion(key, known))
    };
    Finding::new(ProblemCode::UnknownKind, key, message, allowed)
}
