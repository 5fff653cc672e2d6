//! The settings object in the form in which the platform sends it.

use serde::Deserialize;

/// The settings of an instance. Absent keys take their [`Default`]; unknown keys are ignored. Times are in
/// milliseconds.
#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct Params {
    pub balancers: Option<u32>,
    pub classes: Vec<ClassParams>,
    pub discovery: Option<Discovery>,
    pub family_info: FamilyInfo,
    pub feedback: Feedback,
    pub goal: Goal,
    pub limits: Limits,
    pub over_share_worth: Option<f64>,
    pub parties: Vec<Party>,
    pub penalties: Penalties,
    pub period_ms: Option<f64>,
    pub rules: Rules,
    pub slot_no: Option<u16>,
    pub weights: Option<Weights>,
    pub worth_by: Option<WorthBy>,
    pub zone: u32,
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
}

/// A request class.
#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct ClassParams {
    pub name: String,
    pub aim_stretch: Option<f64>,
    pub aim_ms: f64,
    pub deadline_ms: f64,
    pub effect: Effect,
    pub group: Option<Group>,
    pub late_worth: f64,
    pub stream: bool,
    pub dedup_window_ms: f64,
    pub points: f64,
}

/// Whether a request may be executed more than once.
#[derive(Debug, Default, Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Effect {
    Idempotent,
    Deduplicated,
    #[default]
    AtMostOnce,
}

/// The servers that recognise a duplicate.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Group {
    All,
    Zone,
    Cell,
}

/// Whether changes to the server list are pushed.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Discovery {
    Pushed,
    OnRequest,
}

/// The meaning of the weights in the server list: none, the capacity, a rough capacity, or the capacity over
/// a recent load.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Weights {
    Silent,
    Nominal,
    Rough,
    Live,
}

/// The unit that the worth of a class refers to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum WorthBy {
    Request,
    Work,
}

/// How load reports arrive: with answers, with probe results, or not at all.
#[derive(Debug, Default, Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Source {
    Piggyback,
    Pull,
    #[default]
    Silent,
}

/// Properties of the kind of deployment.
#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct FamilyInfo {
    pub warm_keys: bool,
}

/// Load reports: the names of their fields in order, and how they arrive.
#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct Feedback {
    pub fields: Vec<String>,
    pub source: Source,
}

/// The weights of the parts of the service's objective.
#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct Goal {
    pub whole: f64,
    pub worst_class: f64,
    pub worst_tenant: f64,
    pub worst_window: f64,
}

/// What an instance may do, and the limits on its connections and requests.
#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct Limits {
    pub cancel: bool,
    pub connect_timeout_ms: Option<f64>,
    pub keepalive_ms: Option<f64>,
    pub max_open: Option<f64>,
    pub max_attempts: Option<u32>,
    pub max_retry_after_ms: f64,
    pub peers: bool,
    pub probes: bool,
    pub retry_after: bool,
    pub second_copies: bool,
}

/// A tenant.
#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct Party {
    pub name: String,
    pub allowance_per_s: f64,
    pub fraction: f64,
}

/// The costs that count against the objective.
#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct Penalties {
    pub connection: f64,
    pub cross_zone: f64,
    pub handshake: f64,
    pub late_fail: f64,
    pub probe: f64,
    pub waste: f64,
}

/// The rules for list refreshes, drains and servers in slow start.
#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct Rules {
    pub ask_within_ms: Option<f64>,
    pub cold_share: Option<f64>,
    pub warm_after_ms: Option<f64>,
    pub stop_sending_within_ms: Option<f64>,
    pub overload_factor: Option<f64>,
    pub fall_ms: Option<f64>,
}
