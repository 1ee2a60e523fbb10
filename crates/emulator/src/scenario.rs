//! Scenario files: a deployment's zones, back ends, call chains and load.
//!
//! The same file drives the simulator, the in-process demonstration and the separate processes.

use std::path::Path;

use displaydoc::Display;
use serde::{Deserialize, Serialize};

/// Why a scenario can't be used.
#[derive(Debug, Display)]
pub enum ScenarioError {
    /// {path}: can't be read: {source}
    Read {
        /// The file.
        path: String,
        /// What the operating system reported.
        source: std::io::Error,
    },
    /// {path}: {message}
    Parse {
        /// The file.
        path: String,
        /// What the parser reported, with line and column.
        message: String,
    },
    /// {field}: {problem} (allowed: {allowed})
    Invalid {
        /// The field, as a path from the root of the file.
        field: String,
        /// What is wrong, with the given value.
        problem: String,
        /// What is allowed there.
        allowed: String,
    },
}

impl std::error::Error for ScenarioError {}

/// A deployment and its load.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Name used on the command line.
    pub name: String,
    /// The zones, in order.
    pub zones: Vec<String>,
    /// One-way latencies.
    pub latency: Latency,
    /// The services.
    #[serde(rename = "service")]
    pub services: Vec<ServiceModel>,
    /// The request kinds that callers send.
    #[serde(rename = "request")]
    pub requests: Vec<RequestModel>,
    /// How callers behave.
    pub callers: CallerModel,
}

/// One-way network latencies, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Latency {
    /// Between two machines of a zone.
    pub same_zone_us: u64,
    /// Between two zones.
    pub between_zones_us: u64,
    /// Between a caller and the edge.
    pub client_us: u64,
}

/// A service and the behaviour of its back ends.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceModel {
    /// Name, as in the resources.
    pub name: String,
    /// Number of back ends; the zones receive them in turn.
    pub backends: u32,
    /// Requests that a back end executes at a time.
    pub slots: u32,
    /// Connections that a back end accepts.
    pub connections: u32,
    /// Time to open a connection, in microseconds.
    pub connect_us: u64,
    /// Time that a cold back end takes to reach full speed, in milliseconds.
    #[serde(default)]
    pub cold_start_ms: u64,
}

/// One kind of originating request: rate and call chain.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestModel {
    /// Name of the request kind, as in the resources.
    pub kind: String,
    /// HTTP method.
    pub method: String,
    /// HTTP path.
    pub path: String,
    /// Service that the request is addressed to.
    pub entry: String,
    /// Importance, 0 to 7, as in the resources.
    pub priority: u8,
    /// Deadline, in milliseconds, as in the resources.
    pub deadline_ms: u64,
    /// Whether the request may be executed again.
    pub repeatable: bool,
    /// Arrivals per second of the whole deployment before the surge.
    pub rate: f64,
    /// What each service of the chain does for this kind.
    #[serde(rename = "step")]
    pub steps: Vec<StepModel>,
}

/// What one service does for one request kind.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StepModel {
    /// The service.
    pub service: String,
    /// Mean time in a slot, in microseconds, without the calls below; exponentially distributed
    /// above half of it.
    pub work_us: u64,
    /// Services that are called after the work, each once.
    #[serde(default)]
    pub calls: Vec<String>,
    /// Whether the calls run at the same time instead of one after the other.
    #[serde(default)]
    pub concurrent: bool,
}

/// How callers behave.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallerModel {
    /// Attempts that an impatient caller makes in total, its first included.
    pub attempts: u32,
    /// Wait before an impatient caller's next attempt, in milliseconds.
    pub retry_wait_ms: u64,
    /// Share of callers that ignore Retry-After and repeat at once, 0 to 1.
    pub impatient_share: f64,
}

impl Scenario {
    /// Reads and checks a scenario file.
    ///
    /// # Errors
    /// [`ScenarioError`] when the file can't be read or parsed or contradicts itself.
    pub fn load(path: &Path) -> Result<Self, ScenarioError> {
        let shown = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|source| ScenarioError::Read {
            path: shown.clone(),
            source,
        })?;
        Self::parse(&shown, &text)
    }

    /// Parses and checks the text of a scenario file; `path` is used in errors.
    ///
    /// # Errors
    /// [`ScenarioError`] when the text can't be parsed or contradicts itself.
    pub fn parse(path: &str, text: &str) -> Result<Self, ScenarioError> {
        let scenario: Self = toml::from_str(text).map_err(|error| ScenarioError::Parse {
            path: path.to_owned(),
            message: error.to_string(),
        })?;
        scenario.validate()?;
        Ok(scenario)
    }

    /// A scenario that ships with the program: `lagos` or `gujarat`.
    ///
    /// # Errors
    /// [`ScenarioError::Invalid`] when there is no such scenario.
    pub fn builtin(name: &str) -> Result<Self, ScenarioError> {
        match name {
            "lagos" => Self::parse("lagos.toml", include_str!("../../../scenarios/lagos.toml")),
            "gujarat" => Self::parse(
                "gujarat.toml",
                include_str!("../../../scenarios/gujarat.toml"),
            ),
            other => Err(ScenarioError::Invalid {
                field: "scenario".to_owned(),
                problem: format!("unknown scenario \"{other}\""),
                allowed: "lagos, gujarat".to_owned(),
            }),
        }
    }

    /// The service with this name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&ServiceModel> {
        self.services.iter().find(|service| service.name == name)
    }

    /// Checks what the types alone can't.
    fn validate(&self) -> Result<(), ScenarioError> {
        if self.zones.is_empty() {
            return Err(invalid("zones", "no zone", "at least one zone"));
        }
        for service in &self.services {
            validate_service(service)?;
        }
        for request in &self.requests {
            self.validate_request(request)?;
        }
        Ok(())
    }

    fn validate_request(&self, request: &RequestModel) -> Result<(), ScenarioError> {
        let field = format!("request.{}", request.kind);
        if request.rate < 0.0 || !request.rate.is_finite() {
            return Err(invalid(&format!("{field}.rate"), "not a rate", "0 or more"));
        }
        if request.step(&request.entry).is_none() {
            let problem = format!("no step for service \"{}\"", request.entry);
            return Err(invalid(
                &format!("{field}.entry"),
                &problem,
                "a service of its steps",
            ));
        }
        for step in &request.steps {
            self.validate_step(&field, request, step)?;
        }
        request.validate_acyclic(&field)
    }

    fn validate_step(
        &self,
        field: &str,
        request: &RequestModel,
        step: &StepModel,
    ) -> Result<(), ScenarioError> {
        if self.service(&step.service).is_none() {
            let problem = format!("unknown service \"{}\"", step.service);
            return Err(invalid(
                &format!("{field}.step.service"),
                &problem,
                "a listed service",
            ));
        }
        for called in &step.calls {
            if request.step(called).is_none() {
                let problem = format!("no step for service \"{called}\"");
                return Err(invalid(
                    &format!("{field}.step.calls"),
                    &problem,
                    "a service of its steps",
                ));
            }
        }
        Ok(())
    }
}

impl RequestModel {
    /// What `service` does for this kind.
    #[must_use]
    pub fn step(&self, service: &str) -> Option<&StepModel> {
        self.steps.iter().find(|step| step.service == service)
    }

    fn validate_acyclic(&self, field: &str) -> Result<(), ScenarioError> {
        let mut level = vec![self.entry.as_str()];
        for _ in 0..=self.steps.len() {
            level = level
                .iter()
                .filter_map(|service| self.step(service))
                .flat_map(|step| step.calls.iter().map(String::as_str))
                .collect();
            level.dedup();
            if level.is_empty() {
                return Ok(());
            }
        }
        Err(invalid(
            &format!("{field}.step.calls"),
            "the calls form a cycle",
            "a tree",
        ))
    }
}

fn validate_service(service: &ServiceModel) -> Result<(), ScenarioError> {
    let field = format!("service.{}", service.name);
    if service.backends == 0 {
        return Err(invalid(&format!("{field}.backends"), "0", "1 or more"));
    }
    if service.slots == 0 {
        return Err(invalid(&format!("{field}.slots"), "0", "1 or more"));
    }
    Ok(())
}

fn invalid(field: &str, problem: &str, allowed: &str) -> ScenarioError {
    ScenarioError::Invalid {
        field: field.to_owned(),
        problem: problem.to_owned(),
        allowed: allowed.to_owned(),
    }
}
