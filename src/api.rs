//! The interface of [`crate::Balancer`]: time, identifiers, settings, events and actions.

use crate::answers::AnswerLength;
use std::fmt;
use std::ops::{Add, Mul, Sub};

/// A point in time on the caller's clock, in microseconds since an epoch of the caller's choice.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Time(pub u64);

/// A duration in microseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Span(pub u64);

impl Time {
    /// The time `ms` milliseconds after the epoch. A negative value or NaN gives the epoch.
    pub fn from_ms(ms: f64) -> Self {
        Time(Span::from_ms(ms).0)
    }
    /// Milliseconds since the epoch.
    pub fn ms(self) -> f64 {
        self.0 as f64 / 1e3
    }
    /// The time that has passed since `earlier`; zero if `earlier` is in the future.
    pub fn since(self, earlier: Time) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }
}

impl Span {
    /// The empty span.
    pub const ZERO: Span = Span(0);
    /// A span of `ms` milliseconds. A negative value or NaN gives zero.
    pub fn from_ms(ms: f64) -> Self {
        Span((ms * 1e3).round() as u64)
    }
    /// The span in milliseconds.
    pub fn ms(self) -> f64 {
        self.0 as f64 / 1e3
    }
    /// This span minus `other`, or zero if `other` is longer.
    pub fn saturating_sub(self, other: Span) -> Span {
        Span(self.0.saturating_sub(other.0))
    }
}

impl Add<Span> for Time {
    type Output = Time;
    fn add(self, span: Span) -> Time {
        Time(self.0.saturating_add(span.0))
    }
}

impl Sub<Span> for Time {
    type Output = Time;
    fn sub(self, span: Span) -> Time {
        Time(self.0.saturating_sub(span.0))
    }
}

impl Mul<f64> for Span {
    type Output = Span;
    fn mul(self, factor: f64) -> Span {
        Span((self.0 as f64 * factor).round() as u64)
    }
}

macro_rules! id {
    ($(#[$doc:meta] $name:ident($inner:ty)),* $(,)?) => {$(
        #[$doc]
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
        pub struct $name(pub $inner);
    )*};
}

id! {
    /// A request. The caller assigns the id and never uses it twice with the same balancer.
    RequestId(u64),
    /// A server. The caller assigns the id, which stays the same as long as the machine does.
    ServerId(u32),
    /// A request class: its index in [`Settings::classes`].
    ClassId(usize),
    /// A tenant: its index in [`Settings::tenants`].
    TenantId(usize),
    /// A zone, numbered as in the server list.
    ZoneId(u32),
    /// A kind of machine, numbered as in the server list.
    KindId(u32),
    /// A cell, a group of servers that remember each other's requests; numbered as in the server list.
    CellId(u32),
    /// The object that a request reads or changes; requests for the same object have the same key.
    KeyId(u64),
    /// An attempt of a request: 0 for the first send, 1 for the second and so on.
    AttemptNo(u32),
    /// A timer; the balancer assigns the id.
    TimerId(u64),
    /// Another balancer instance of the same service.
    PeerId(u32),
}

/// Whether a request may be executed more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub enum Effect {
    /// Safe to repeat.
    #[default]
    Idempotent,
    /// The request has an idempotency key: the servers of `group` drop a duplicate within `window` of the
    /// first send.
    Deduplicated {
        /// The servers that recognise the duplicate.
        group: Group,
        /// How long they do, counted from the first send.
        window: Span,
    },
    /// Must not be executed twice.
    AtMostOnce,
}

/// The servers that share a record of executed requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Group {
    /// All servers.
    All,
    /// The servers of one zone.
    Zone,
    /// The servers of one cell.
    Cell,
}

/// A class of requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Class {
    /// Whether its requests may be executed more than once.
    pub effect: Effect,
    /// An answer within this time has the full `worth`.
    pub aim: Span,
    /// The aim is extended by this multiple of the request's own work, up to the deadline.
    pub aim_stretch: f64,
    /// How long a client waits in total, over all its tries.
    pub deadline: Span,
    /// The value of a request that is answered within its aim.
    pub worth: f64,
    /// The fraction of `worth` that an answer between aim and deadline has.
    pub late_worth: f64,
    /// The answer is streamed; its start is reported by [`Event::FirstByte`].
    pub stream: bool,
}

impl Default for Class {
    fn default() -> Self {
        Class {
            effect: Effect::Idempotent,
            aim: Span::from_ms(500.0),
            aim_stretch: 0.0,
            deadline: Span::from_ms(1000.0),
            worth: 1.0,
            late_worth: 0.0,
            stream: false,
        }
    }
}

/// A tenant and its share of the service.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Tenant {
    /// Its fraction of the service's capacity.
    pub fraction: f64,
    /// Requests per second, over all balancers, that are within its share.
    pub allowance_per_s: f64,
}

/// A value in a server's load report; [`Settings::report_fields`] lists them in the order of the report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ReportField {
    /// Requests at the server, queued ones included.
    InFlight,
    /// Requests queued at the server.
    Queue,
    /// The busy fraction of its cores.
    Utilisation,
    /// Its recent service time in milliseconds, without queueing.
    ServiceTime,
    /// Requests that it answers per second.
    Rate,
    /// Errors per second.
    Errors,
    /// A value that the balancer does not use.
    Other,
}

/// How the balancer learns of changes to the server list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub enum Discovery {
    /// Changes are pushed without a request.
    #[default]
    Pushed,
    /// Changes are sent only after [`Action::SubscribeList`] or [`Action::FetchList`].
    OnRequest,
}

/// How load reports reach the balancer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub enum ReportSource {
    /// There are no load reports.
    #[default]
    None,
    /// With the outcomes of attempts and with probe results.
    Answers,
    /// With probe results only.
    Probes,
}

/// The meaning of [`ServerEntry::weight`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub enum WeightMeaning {
    /// The weights have no meaning.
    #[default]
    None,
    /// The capacity of the machine, exact or approximate.
    Size,
    /// The capacity divided by a recent load; the value lags behind the actual load.
    Live,
}

/// The weights of the parts of the service's objective. They need not sum to one.
#[derive(Debug, Clone, PartialEq)]
pub struct Goal {
    /// The result over all requests.
    pub whole: f64,
    /// The result in the worst time window.
    pub worst_window: f64,
    /// The result of the class that is served worst.
    pub worst_class: f64,
    /// The result of the tenant that is served worst within its share.
    pub worst_tenant: f64,
}

impl Default for Goal {
    fn default() -> Self {
        Goal { whole: 1.0, worst_window: 0.0, worst_class: 0.0, worst_tenant: 0.0 }
    }
}

/// Costs, each as the fraction of the result that one per request would take.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Prices {
    /// An attempt sent to a server in another zone.
    pub cross_zone: f64,
    /// A health probe.
    pub probe: f64,
    /// A new connection.
    pub handshake: f64,
    /// Open connections; the unit is one connection to each of a hundred servers.
    pub connection: f64,
    /// Server work that led to no answer.
    pub waste: f64,
    /// A request that is refused or fails after its aim has passed.
    pub late_fail: f64,
}

/// The settings of a balancer.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// The number of balancers of this service, this one included.
    pub balancers: u32,
    /// The zone that this balancer is in.
    pub zone: ZoneId,
    /// The request classes.
    pub classes: Vec<Class>,
    /// The tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// The fraction of its worth that a request over its tenant's share keeps.
    pub over_share_worth: f64,
    /// The worth of a request is proportional to its work, instead of the same for each.
    pub worth_by_work: bool,
    /// The service's objective.
    pub goal: Goal,
    /// The costs that count against the objective.
    pub prices: Prices,
    /// How changes to the server list arrive.
    pub discovery: Discovery,
    /// The longest permitted time between two requests for the server list when there is no subscription.
    pub list_refresh_interval: Span,
    /// How load reports reach the balancer.
    pub report_source: ReportSource,
    /// The values of a load report, in order.
    pub report_fields: Vec<ReportField>,
    /// The meaning of the weights in the server list.
    pub weights: WeightMeaning,
    /// A server that has recently served a key serves it again with less work (its cache is warm).
    pub warm_keys: bool,
    /// The maximum number of attempts per request.
    pub max_attempts: u32,
    /// Hedged requests are allowed: a request may have two attempts in flight at once.
    pub hedging: bool,
    /// [`Action::Cancel`] is allowed.
    pub cancel: bool,
    /// [`Action::Probe`] is allowed.
    pub probes: bool,
    /// [`Action::SendPeerMessage`] is allowed.
    pub peers: bool,
    /// Clients are sent the `retry_after` of [`Action::Refuse`].
    pub retry_after: bool,
    /// The longest `retry_after` that a client respects.
    pub max_retry_after: Span,
    /// The grace period after the balancer learns that a server drains or has left; after it nothing new may
    /// be sent there.
    pub drain_grace: Span,
    /// Slow start: a server that has just started has at least this fraction of its capacity.
    pub slow_start_initial_share: f64,
    /// Slow start: the time from a server's start until it has its full capacity.
    pub slow_start_window: Span,
    /// A server in slow start crashes if it is sent more than this multiple of its present capacity for
    /// `overload_crash_after`.
    pub overload_factor: f64,
    /// How long a server in slow start withstands more than `overload_factor`.
    pub overload_crash_after: Span,
    /// The shortest interval at which events are delivered; an event can be delivered this much late.
    pub event_interval: Span,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            balancers: 1,
            zone: ZoneId(0),
            classes: vec![Class::default()],
            tenants: Vec::new(),
            over_share_worth: 1.0,
            worth_by_work: false,
            goal: Goal::default(),
            prices: Prices::default(),
            discovery: Discovery::Pushed,
            list_refresh_interval: Span::from_ms(10_000.0),
            report_source: ReportSource::None,
            report_fields: Vec::new(),
            weights: WeightMeaning::None,
            warm_keys: false,
            max_attempts: 3,
            hedging: false,
            cancel: true,
            probes: false,
            peers: false,
            retry_after: false,
            max_retry_after: Span::from_ms(1000.0),
            drain_grace: Span::from_ms(1000.0),
            slow_start_initial_share: 0.1,
            slow_start_window: Span::from_ms(20_000.0),
            overload_factor: 2.0,
            overload_crash_after: Span::from_ms(1000.0),
            event_interval: Span::from_ms(1.0),
        }
    }
}

impl Settings {
    /// Checks that the settings are usable.
    pub fn validate(&self) -> Result<(), SettingsError> {
        if self.classes.is_empty() {
            return Err(SettingsError::NoClasses);
        }
        if self.max_attempts == 0 {
            return Err(SettingsError::NoAttempts);
        }
        for class in &self.classes {
            if class.aim == Span::ZERO {
                return Err(SettingsError::ZeroSpan { setting: "aim" });
            }
            if class.deadline == Span::ZERO {
                return Err(SettingsError::ZeroSpan { setting: "deadline" });
            }
        }
        let numbers = [
            ("cold_share", self.slow_start_initial_share),
            ("overload_factor", self.overload_factor),
            ("over_share_worth", self.over_share_worth),
        ];
        let worths = self.classes.iter().flat_map(|c| [("worth", c.worth), ("late_worth", c.late_worth)]);
        let fractions = self.tenants.iter().map(|t| ("fraction", t.fraction));
        for (setting, value) in numbers.into_iter().chain(worths).chain(fractions) {
            if !value.is_finite() || value < 0.0 {
                return Err(SettingsError::BadNumber { setting, value });
            }
        }
        Ok(())
    }
}

/// Why settings are unusable.
#[derive(Debug, Clone, PartialEq)]
#[non_exhaustive]
pub enum SettingsError {
    /// There is no request class.
    NoClasses,
    /// A number is negative, infinite or NaN.
    BadNumber {
        /// The name of the setting.
        setting: &'static str,
        /// Its value.
        value: f64,
    },
    /// A duration that must be positive is zero.
    ZeroSpan {
        /// The name of the setting.
        setting: &'static str,
    },
    /// No attempt is allowed for a request.
    NoAttempts,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SettingsError::NoClasses => write!(f, "settings name no request class; at least one is needed"),
            SettingsError::BadNumber { setting, value } => {
                write!(f, "setting {setting} is {value}; a finite number of zero or more is needed")
            }
            SettingsError::ZeroSpan { setting } => write!(f, "setting {setting} is zero; it must be longer"),
            SettingsError::NoAttempts => {
                write!(f, "settings allow no attempt for a request; at least one is needed")
            }
        }
    }
}

impl std::error::Error for SettingsError {}

/// The status of a server in the server list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub enum Status {
    /// It accepts requests.
    #[default]
    Serving,
    /// It finishes the requests that it has and must be sent no new ones.
    Draining,
    /// It has left the service.
    Gone,
}

/// An entry of the server list.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct ServerEntry {
    /// The server.
    pub server: ServerId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its kind.
    pub kind: KindId,
    /// Its cell.
    pub cell: CellId,
    /// Its status.
    pub status: Status,
    /// Its weight relative to the other servers; [`Settings::weights`] says what it means.
    pub weight: f64,
    /// When it last started, if that was recently.
    pub started: Option<Time>,
}

impl ServerEntry {
    /// The entry of a serving server that has finished its slow start, in zone, kind and cell 0.
    pub fn serving(server: ServerId) -> Self {
        ServerEntry {
            server,
            zone: ZoneId(0),
            kind: KindId(0),
            cell: CellId(0),
            status: Status::Serving,
            weight: 1.0,
            started: None,
        }
    }
}

/// An update of the server list.
#[derive(Debug, Clone, PartialEq)]
pub enum ListUpdate {
    /// Only the entries that changed.
    Changes(Vec<ServerEntry>),
    /// The complete list; a server that is not in it has left the service.
    Complete(Vec<ServerEntry>),
    /// The complete list as it was saved before a restart; it may be stale.
    Saved(Vec<ServerEntry>),
    /// Fetching the list or the subscription failed; the last known list stays in force.
    Failed,
}

/// A request from a client.
#[derive(Debug, Clone, PartialEq)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Its class.
    pub class: ClassId,
    /// The tenant that sends it.
    pub tenant: Option<TenantId>,
    /// The key of the object that it reads or changes.
    pub key: Option<KeyId>,
    /// An estimate of its work, in CPU time of one core.
    pub cost_hint: Option<Span>,
    /// The client marks it as a retry of an earlier request.
    pub client_retry: bool,
    /// How long the client will still wait for this try.
    pub time_left: Span,
    /// Its body is still being uploaded; `time_left` starts at [`Event::BodyComplete`]. It may be sent to a
    /// server before.
    pub body_incomplete: bool,
}

impl Request {
    /// A first try without tenant, key or cost hint, with a complete body.
    pub fn new(id: RequestId, class: ClassId, time_left: Span) -> Self {
        Request {
            id,
            class,
            tenant: None,
            key: None,
            cost_hint: None,
            client_retry: false,
            time_left,
            body_incomplete: false,
        }
    }
}

/// How an attempt or a probe ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// The server answered the request.
    Success,
    /// The server answered with an error; the request may have been executed.
    ServerError,
    /// The server rejected the request without executing it.
    Rejected,
    /// No answer arrived in time; the request may have been executed, or may still be.
    TimedOut,
    /// No connection was established in time; the request was not executed.
    ConnectFailed,
    /// The connection broke; the request may have been executed.
    ConnectionReset,
    /// The attempt was cancelled; the request may have been executed.
    Cancelled,
    /// The attempt was never sent: the request had ended, or its attempts or its time were used up.
    NotSent,
}

impl Outcome {
    /// Whether this outcome proves that the request was not executed.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent)
    }
}

/// A server's load report: its values, in the order of [`Settings::report_fields`].
pub type Report = [f64];

/// An input of the balancer.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A request has arrived.
    Request(Request),
    /// The request is committed to this attempt: a part of the body that is not kept has been sent with it,
    /// so that no other attempt could replay the whole body.
    Committed {
        /// The request.
        request: RequestId,
        /// The attempt that it is committed to.
        attempt: AttemptNo,
    },
    /// The body of a request with [`Request::body_incomplete`] is complete; its `time_left` starts now.
    BodyComplete {
        /// The request.
        request: RequestId,
    },
    /// The time of a request with [`Request::body_incomplete`] may be over: its client may have sent the last
    /// byte long ago, and the body could not be read because no server takes it.
    BodyOverdue {
        /// The request.
        request: RequestId,
    },
    /// Part of the answer has arrived, the rest has not, and none of it has been forwarded.
    AnswerBegun {
        /// The request.
        request: RequestId,
        /// The attempt that is being answered.
        attempt: AttemptNo,
    },
    /// Nothing more of an answer that has begun has arrived for some time. The attempt goes on, and the
    /// answer may still arrive.
    AnswerStalled {
        /// The request.
        request: RequestId,
        /// The attempt that is being answered.
        attempt: AttemptNo,
    },
    /// More of an answer has arrived. Reported at least once in half of the time after which an answer has
    /// stalled, if more of it arrives.
    AnswerProgressed {
        /// The request.
        request: RequestId,
        /// The attempt that is being answered.
        attempt: AttemptNo,
    },
    /// The length of a sound answer that is still arriving has become known, as far as it will be.
    AnswerLength {
        /// The request.
        request: RequestId,
        /// The attempt that is being answered.
        attempt: AttemptNo,
        /// The length.
        length: AnswerLength,
    },
    /// The time of the request is over, or its client will give up in a moment. An answer that is still
    /// arriving is forwarded now or not at all.
    AnswerDue {
        /// The request.
        request: RequestId,
    },
    /// A streamed answer, or one that is forwarded while it arrives, has begun. The request is committed to
    /// this attempt; its outcome follows at the end of the answer.
    FirstByte {
        /// The request.
        request: RequestId,
        /// The attempt that it is committed to.
        attempt: AttemptNo,
    },
    /// An attempt has ended.
    Outcome {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNo,
        /// How it ended.
        outcome: Outcome,
        /// The time since it was sent.
        elapsed: Span,
        /// The server's load report, if there was one.
        report: Option<Vec<f64>>,
        /// The client has its final answer; if false, the balancer still owes one.
        closed: bool,
    },
    /// The client has disconnected and is owed no answer.
    ClientGone {
        /// The request.
        request: RequestId,
    },
    /// A timer has expired.
    Timer(TimerId),
    /// The result of a probe.
    ProbeResult {
        /// The server.
        server: ServerId,
        /// How the probe ended.
        outcome: Outcome,
        /// The time since it was sent.
        elapsed: Span,
        /// The server's load report, if there was one.
        report: Option<Vec<f64>>,
    },
    /// An update of the server list.
    List(ListUpdate),
    /// The process is shutting down. Every open request must have its answer by `answers_by`, however long
    /// its client would wait; requests that arrive later have a `time_left` that ends no later.
    Shutdown {
        /// The latest time for an answer.
        answers_by: Time,
    },
    /// The number of balancers that share the servers has changed, this one included; it replaces
    /// [`Settings::balancers`].
    Balancers(u32),
    /// A message from another balancer.
    PeerMessage {
        /// The sender.
        from: PeerId,
        /// The content of the message.
        payload: Vec<u8>,
    },
}

/// Why a request was refused or failed. The index in [`Reason::ALL`] is the index in tables of counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Reason {
    /// The class of the request is not in the settings.
    NoSuchClass,
    /// It arrived with less time left than its class usually takes.
    TooLate,
    /// No server is available: the list is empty, or all servers are suspect.
    NoServerAvailable,
    /// It was queued until it could no longer be answered in time: all servers were full, perhaps only for
    /// requests of its worth, as room is kept for requests that are worth more.
    QueueTimeout,
    /// The local queue was full.
    QueueFull,
    /// An attempt failed, and there was no time for another.
    NoTimeToRetry,
    /// An attempt failed, and a retry is not allowed: the request may have been executed, or it has no
    /// attempt left.
    RetryNotAllowed,
    /// An attempt failed, and the retry budget is exhausted.
    RetryBudgetExhausted,
    /// Its time may be over, and its body could not be read because no server takes it.
    BodyOverdue,
}

impl Reason {
    /// All reasons, in order.
    pub const ALL: [Reason; 9] = [
        Reason::NoSuchClass,
        Reason::TooLate,
        Reason::NoServerAvailable,
        Reason::QueueTimeout,
        Reason::QueueFull,
        Reason::NoTimeToRetry,
        Reason::RetryNotAllowed,
        Reason::RetryBudgetExhausted,
        Reason::BodyOverdue,
    ];

    /// The name in logs and tables.
    pub fn name(self) -> &'static str {
        match self {
            Reason::NoSuchClass => "no-such-class",
            Reason::TooLate => "too-late",
            Reason::NoServerAvailable => "nobody-open",
            Reason::QueueTimeout => "waited-out",
            Reason::QueueFull => "queue-full",
            Reason::NoTimeToRetry => "failed-late",
            Reason::RetryNotAllowed => "no-more-allowed",
            Reason::RetryBudgetExhausted => "retries-spent",
            Reason::BodyOverdue => "body-overdue",
        }
    }
}

/// An output of the balancer, which the caller carries out.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send an attempt. The attempts of a request are numbered in the order in which they are sent.
    Send {
        /// The request.
        request: RequestId,
        /// The server to send it to.
        server: ServerId,
        /// The attempt must not begin from this time on, however long its connection takes to establish: the
        /// servers would no longer recognise a duplicate and would execute it again.
        begin_by: Time,
        /// When the attempt times out.
        timeout_at: Time,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNo,
    },
    /// Forward the answer of an attempt while it arrives; [`Event::FirstByte`] follows.
    Forward {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNo,
    },
    /// Final answer: refused. It is safe to try the request again.
    Refuse {
        /// The request.
        request: RequestId,
        /// How long the client should wait before it tries again, if that is known.
        retry_after: Option<Span>,
        /// The reason.
        reason: Reason,
    },
    /// Final answer: failed. The request may or may not have been executed.
    Fail {
        /// The request.
        request: RequestId,
        /// The reason.
        reason: Reason,
    },
    /// Deliver [`Event::Timer`] at this time. Timers cannot be cancelled.
    SetTimer {
        /// When the timer expires.
        at: Time,
        /// The id that [`Event::Timer`] returns.
        timer: TimerId,
    },
    /// Send a health probe.
    Probe {
        /// The server to probe.
        server: ServerId,
    },
    /// Close this balancer's idle connections to a server.
    CloseIdle {
        /// The server.
        server: ServerId,
    },
    /// Send a message to one other balancer, or to all.
    SendPeerMessage {
        /// The recipient; `None` for all balancers.
        to: Option<PeerId>,
        /// The content of the message.
        payload: Vec<u8>,
    },
    /// Open or close the subscription to the server list.
    SubscribeList {
        /// True to open, false to close.
        active: bool,
    },
    /// Fetch the complete server list once.
    FetchList,
    /// Write a log line for operators.
    Log {
        /// The text of the line.
        text: String,
    },
}
