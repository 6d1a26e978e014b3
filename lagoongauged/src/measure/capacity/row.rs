//! Rows of the capacity page: a fitted line, extrapolated to the target size.

use serde::Serialize;

use super::fit::Fit;
use super::size::BUDGET;

/// Roles of programs, each with a budget of its own on its node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Every entry host.
    Entry,
    /// The additional use of an entry host that relays settings within its data centre.
    Relay,
    /// The additional use of the entry host that plans its group's bucket moves.
    Planner,
    /// The leading control host.
    Leader,
    /// A following control host.
    Follower,
    /// The operator's tool.
    Tool,
}

/// The resource that a role uses.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Resource {
    /// Cores of CPU time.
    Processor,
    /// Bytes of memory.
    Memory,
    /// Bytes per second on the network.
    #[serde(rename = "bytes")]
    Network,
}

/// Resource use measured at several sizes, and how it scales to the target size.
#[derive(Debug, Clone)]
pub struct Measurement {
    /// The role that uses the resource.
    pub role: Role,
    /// The resource.
    pub resource: Resource,
    /// Description of the measured work, as printed in the tables.
    pub description: &'static str,
    /// Singular name of the unit that the size counts.
    pub unit: &'static str,
    /// Pairs of size and measured value.
    pub points: Vec<(f64, f64)>,
    /// How the fitted line is extrapolated to the target size.
    pub scaling: Scaling,
    /// The mechanism that keeps the use low at the target size.
    pub mechanism: &'static str,
}

/// How a fitted line is extrapolated to the target size.
#[derive(Debug, Clone, Copy)]
pub enum Scaling {
    /// The value of the line at this size.
    Size(f64),
    /// The slope times this many events per second; the intercept occurs only once and is left out.
    EventRate(f64),
    /// The slope times this many items, plus the intercept.
    Items(f64),
    /// The slope times this many items; the intercept is part of another row.
    ExtraItems(f64),
}

/// One row of the capacity tables.
#[derive(Debug, Clone, Serialize)]
pub struct Row {
    /// The role that uses the resource.
    pub role: Role,
    /// The resource.
    pub resource: Resource,
    /// Description of the measured work.
    #[serde(rename = "what")]
    pub description: String,
    /// Name of the unit that the size counts.
    pub unit: String,
    /// The fitted line.
    #[serde(flatten)]
    pub fit: Fit,
    /// Pairs of size and measured value.
    pub points: Vec<(f64, f64)>,
    /// Size or event rate at the target size.
    pub size: f64,
    /// Use at the target size.
    pub value: f64,
    /// The budget.
    pub budget: f64,
    /// Use divided by the budget.
    pub ratio: f64,
    /// Whether the use stays within the budget.
    #[serde(rename = "held")]
    pub within_budget: bool,
    /// Whether the size exceeds the largest measured size.
    pub extrapolated: bool,
    /// The mechanism that keeps the use low.
    pub mechanism: String,
}

/// Total use of one resource by one role.
#[derive(Debug, Clone, Serialize)]
pub struct Total {
    /// The role that uses the resource.
    pub role: Role,
    /// The resource.
    pub resource: Resource,
    /// Sum of the role's rows at the target size.
    pub total: f64,
    /// The budget.
    pub budget: f64,
    /// Sum divided by the budget.
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
    /// Returns the budget of a node for this resource.
    pub const fn budget(self) -> f64 {
        match self {
            Self::Processor => BUDGET.cores,
            Self::Memory => BUDGET.memory,
            Self::Network => BUDGET.byte_rate,
        }
    }

    /// Returns the unit of the resource.
    pub const fn unit(self) -> &'static str {
        match self {
            Self::Processor => "cores",
            Self::Memory => "B",
            Self::Network => "B/s",
        }
    }
}

impl Role {
    /// Returns the role's name as printed in the tables.
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

/// Sums the rows of each role and resource. The totals of relay and planner include those of the
/// entry host, since both are entry hosts as well.
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
