//! Rows of the capacity page: a measured slope, multiplied out to the target size.

use serde::Serialize;

use super::fit::Fit;
use super::size::BUDGET;

/// Programs' parts, each with a budget of its own on its node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Every entry host.
    Entry,
    /// An entry host that hands settings on within its data centre, in addition.
    Relay,
    /// The entry host that plans its group's moves, in addition.
    Planner,
    /// The control host that leads.
    Leader,
    /// A control host that follows.
    Follower,
    /// The operator's tool.
    Tool,
}

/// What is used up.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Resource {
    /// Cores of processor time.
    Processor,
    /// Bytes of memory.
    Memory,
    /// Bytes a second on the network.
    #[serde(rename = "bytes")]
    Network,
}

/// A measured relation and the size that it is carried to.
#[derive(Debug, Clone)]
pub struct Measurement {
    /// Whose node pays.
    pub role: Role,
    /// What is paid with.
    pub resource: Resource,
    /// What was measured, for a person.
    pub description: &'static str,
    /// What the size counts, in the singular.
    pub unit: &'static str,
    /// Sizes with the measured values.
    pub points: Vec<(f64, f64)>,
    /// How the fit is carried to the target.
    pub scaling: Scaling,
    /// What carries the load at the target size.
    pub mechanism: &'static str,
}

/// How a fit is carried to the target size.
#[derive(Debug, Clone, Copy)]
pub enum Scaling {
    /// The line's value at this size.
    Size(f64),
    /// The slope times this many events a second; the fixed part is paid once.
    EventRate(f64),
    /// The slope times this many items; the fixed part counts as well.
    Items(f64),
    /// The slope times this many items; the fixed part stands in another row.
    ExtraItems(f64),
}

/// One row of the page.
#[derive(Debug, Clone, Serialize)]
pub struct Row {
    /// Whose node pays.
    pub role: Role,
    /// What is paid with.
    pub resource: Resource,
    /// What was measured.
    #[serde(rename = "what")]
    pub description: String,
    /// What the size counts.
    pub unit: String,
    /// The fitted line.
    #[serde(flatten)]
    pub fit: Fit,
    /// Measured points.
    pub points: Vec<(f64, f64)>,
    /// The size or rate at the target.
    pub size: f64,
    /// Use at the target.
    pub value: f64,
    /// The budget.
    pub budget: f64,
    /// Use over budget.
    pub ratio: f64,
    /// Whether the use stays within the budget.
    #[serde(rename = "held")]
    pub within_budget: bool,
    /// Whether the size lies beyond the largest that was measured.
    pub extrapolated: bool,
    /// What carries the load.
    pub mechanism: String,
}

/// All that one role pays with one resource.
#[derive(Debug, Clone, Serialize)]
pub struct Total {
    /// Whose node pays.
    pub role: Role,
    /// What is paid with.
    pub resource: Resource,
    /// Sum of the role's rows at the target.
    pub total: f64,
    /// The budget.
    pub budget: f64,
    /// Sum over budget.
    pub ratio: f64,
    /// Whether the sum stays within the budget.
    #[serde(rename = "held")]
    pub within_budget: bool,
}

impl From<Measurement> for Row {
    fn from(measurement: Measurement) -> Self {
        let fit = Fit::new(&measurement.points);
        let (size, value) = match measurement.scaling {
            Scaling::Size(size) | Scaling::Items(size) => (size, fit.value_at(size)),
            Scaling::EventRate(size) | Scaling::ExtraItems(size) => (size, fit.slope * size),
        };
        let largest_size = measurement.points.iter().map(|point| point.0).fold(0.0, f64::max);
        let extrapolated =
            !matches!(measurement.scaling, Scaling::EventRate(_)) && size > largest_size;
        let budget = measurement.resource.budget();
        Self {
            role: measurement.role,
            resource: measurement.resource,
            description: measurement.description.to_string(),
            unit: measurement.unit.to_string(),
            fit,
            points: measurement.points,
            size,
            value,
            budget,
            ratio: value / budget,
            within_budget: value <= budget,
            extrapolated,
            mechanism: measurement.mechanism.to_string(),
        }
    }
}

impl Resource {
    /// Returns the budget of a node.
    pub const fn budget(self) -> f64 {
        match self {
            Self::Processor => BUDGET.cores,
            Self::Memory => BUDGET.memory,
            Self::Network => BUDGET.byte_rate,
        }
    }

    /// Returns the resource's unit.
    pub const fn unit(self) -> &'static str {
        match self {
            Self::Processor => "cores",
            Self::Memory => "B",
            Self::Network => "B/s",
        }
    }
}

impl Role {
    /// Returns the role's name.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Entry => "entry host",
            Self::Relay => "relay",
            Self::Planner => "planner",
            Self::Leader => "control leader",
            Self::Follower => "control follower",
            Self::Tool => "operator's tool",
        }
    }
}

/// Sums the rows of each role and resource; a relay and a planner are entry hosts as well.
pub fn sum_totals(rows: &[Row]) -> Vec<Total> {
    let mut totals = Vec::new();
    let roles = [Role::Entry, Role::Relay, Role::Planner, Role::Leader, Role::Follower, Role::Tool];
    for role in roles {
        for resource in [Resource::Processor, Resource::Memory, Resource::Network] {
            let base_role = matches!(role, Role::Relay | Role::Planner).then_some(Role::Entry);
            let is_counted = |row: &&Row| {
                row.resource == resource && (row.role == role || Some(row.role) == base_role)
            };
            let values: Vec<f64> = rows.iter().filter(is_counted).map(|row| row.value).collect();
            if values.is_empty() {
                continue;
            }
            let total: f64 = values.iter().sum();
            let budget = resource.budget();
            let ratio = total / budget;
            totals.push(Total {
                role,
                resource,
                total,
                budget,
                ratio,
                within_budget: total <= budget,
            });
        }
    }
    totals
}
