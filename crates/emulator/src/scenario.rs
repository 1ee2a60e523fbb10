//! Scenario files, which describe a deployment: its zones, backends, call chains and load.
//!
//! The simulator, the in-process demonstration and the separate processes use the same files.

use std::path::Path;

use displaydoc::Display;
use serde::{Deserialize, Serialize};

/// An error that makes a scenario unusable.
#[derive(Debug, Display)]
pub enum ScenarioError {
    /// {path}: can't be read: {source}
    Read {
        /// Path of the file.
        path: String,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// {path}: {message}
    Parse {
        /// Path of the file.
        path: String,
        /// Error of the parser, with line and column.
        message: String,
    },
    /// {field}: {problem} (allowed: {allowed})
    Invalid {
        /// The field, as a path from the root of the file.
        field: String,
        /// What is invalid, with the specified value.
        problem: String,
        /// Description of the allowed values.
        allowed: String,
    },
}

impl std::error::Error for ScenarioError {}

/// A deployment and its load.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Name of the scenario; for a built-in one also its name on the command line.
    pub name: String,
    /// Names of the zones; the backends of a service are assigned to them round robin in this order.
    pub zones: Vec<String>,
    /// Network latencies.
    pub latency: Latency,
    /// The services of the deployment.
    #[serde(rename = "service")]
    pub services: Vec<ServiceModel>,
    /// The kinds of originating requests.
    #[serde(rename = "request")]
    pub requests: Vec<RequestModel>,
    /// Behaviour of the callers.
    pub callers: CallerModel,
}

/// One-way network latencies, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Latency {
    /// Between two machines of the same zone.
    pub same_zone_us: u64,
    /// Between two machines of different zones.
    pub between_zones_us: u64,
    /// Between a caller and the edge.
    pub client_us: u64,
}

/// A service and the behaviour of its backends.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceModel {
    /// Name of the service, as in the resources.
    pub name: String,
    /// Number of backends, assigned to the zones round robin.
    pub backends: u32,
    /// Maximum number of requests that a backend executes concurrently.
    pub slots: u32,
    /// Maximum number of open connections of a backend.
    pub connections: u32,
    /// Time to open a connection, in microseconds.
    pub connect_us: u64,
    /// Time from the start of a backend until it has reached full speed, in milliseconds. Zero by
    /// default: full speed from the start.
    #[serde(default)]
    pub cold_start_ms: u64,
}

/// A kind of originating request, with its arrival rate and call chain.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestModel {
    /// Name of the request kind, as in the resources.
    pub kind: String,
    /// HTTP method.
    pub method: String,
    /// HTTP path; a request belongs to the kind with the longest matching prefix.
    pub path: String,
    /// Service that the request is addressed to.
    pub entry: String,
    /// Priority, 0 (most important) to 7, as in the resources.
    pub priority: u8,
    /// Deadline, in milliseconds, as in the resources.
    pub deadline_ms: u64,
    /// True if executing the request more than once is harmless.
    pub repeatable: bool,
    /// Arrivals per second in the whole deployment, outside a surge.
    pub rate: f64,
    /// Work of each service in the call chain of this kind.
    #[serde(rename = "step")]
    pub steps: Vec<StepModel>,
}

/// Work of one service for one request kind.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StepModel {
    /// Name of the service.
    pub service: String,
    /// Mean service time in microseconds, without the time of the calls. Half of it is fixed, the rest
    /// is exponentially distributed.
    pub work_us: u64,
    /// Services that are called after the service time has elapsed, each once.
    #[serde(default)]
    pub calls: Vec<String>,
    /// True if the calls are made concurrently instead of sequentially.
    #[serde(default)]
    pub concurrent: bool,
}

/// Behaviour of callers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallerModel {
    /// Maximum number of attempts of a caller for one request, including the first.
    pub attempts: u32,
    /// Wait before an impatient caller's next attempt, in milliseconds.
    pub retry_wait_ms: u64,
    /// Share of callers that ignore Retry-After and repeat after `retry_wait_ms`, 0 to 1.
    pub impatient_share: f64,
}

impl Scenario {
    /// Reads and validates a scenario file.
    ///
    /// # Errors
    /// [`ScenarioError`] if the file can't be read or parsed or is inconsistent.
    pub fn load(path: &Path) -> Result<Self, ScenarioError> {
        let path_text = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|source| ScenarioError::Read {
            path: path_text.clone(),
            source,
        })?;
        Self::parse(&path_text, &text)
    }

    /// Parses and validates the text of a scenario file; `path` is used in errors.
    ///
    /// # Errors
    /// [`ScenarioError`] if the text can't be parsed or is inconsistent.
    pub fn parse(path: &str, text: &str) -> Result<Self, ScenarioError> {
        let scenario: Self = toml::from_str(text).map_err(|error| ScenarioError::Parse {
            path: path.to_owned(),
            message: error.to_string(),
        })?;
        scenario.validate()?;
        Ok(scenario)
    }

    /// Returns a built-in scenario: `lagos` or `gujarat`.
    ///
    /// # Errors
    /// [`ScenarioError::Invalid`] if there is no such scenario.
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

    /// Returns the service with this name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&ServiceModel> {
        self.services.iter().find(|service| service.name == name)
    }

    /// Checks the constraints that the types don't express.
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
    /// Returns the step of `service` for this kind, if the service is part of its call chain.
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
