//! The interface of [`crate::Balancer`]: time, identities, settings, events and actions.

use std::fmt;
use std::ops::{Add, Mul, Sub};

/// A moment on the caller's clock, in microseconds since any epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Time(pub u64);

/// A length of time in microseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Span(pub u64);

impl Time {
    /// The moment `ms` milliseconds after the epoch; below zero or not a number counts as the epoch.
    pub fn from_ms(ms: f64) -> Self {
        Time(Span::from_ms(ms).0)
    }
    /// Milliseconds since the epoch.
    pub fn ms(self) -> f64 {
        self.0 as f64 / 1e3
    }
    /// The time that has passed since `earlier`, zero if it lies ahead.
    pub fn since(self, earlier: Time) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }
}

impl Span {
    /// No time at all.
    pub const ZERO: Span = Span(0);
    /// `ms` milliseconds; below zero or not a number counts as none.
    pub fn from_ms(ms: f64) -> Self {
        Span((ms * 1e3).round() as u64)
    }
    /// The length in milliseconds.
    pub fn ms(self) -> f64 {
        self.0 as f64 / 1e3
    }
    /// This length less `other`, never below zero.
    pub fn less(self, other: Span) -> Span {
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
    /// A request, named by the caller; never used twice in a balancer's life.
    RequestId(u64),
    /// A server, named by the caller; the same for as long as the machine is the same.
    ServerId(u32),
    /// A request class: its place in [`Settings::classes`].
    ClassId(usize),
    /// A tenant: its place in [`Settings::tenants`].
    TenantId(usize),
    /// A zone, as the server list numbers them.
    ZoneId(u32),
    /// A kind of machine, as the server list numbers them.
    KindId(u32),
    /// A cell (a group of servers that remember each other's requests), as the server list numbers them.
    CellId(u32),
    /// The thing that a request concerns; requests for the same thing carry the same key.
    KeyId(u64),
    /// An attempt of a request: 0 for its first send, 1 for its second and so on.
    AttemptNo(u32),
    /// Names a timer; chosen by the balancer.
    TimerId(u64),
    /// Another balancer of the same service.
    PeerId(u32),
}

/// What repeating a request would do.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub enum Effect {
    /// Safe to repeat.
    #[default]
    Idempotent,
    /// Carries a key by which the servers of `group` drop a repeat for `window` from the first send on.
    Deduplicated {
        /// Which servers drop repeats.
        group: Group,
        /// For how long they do.
        window: Span,
    },
    /// Must not run twice.
    AtMostOnce,
}

/// The servers that share a memory of what has already run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Group {
    /// All of them.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

/// A class of requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Class {
    /// What a repeat would do.
    pub effect: Effect,
    /// An answer within this is worth all of `worth`.
    pub aim: Span,
    /// The aim grows by this multiple of the request's own work, up to the deadline.
    pub aim_stretch: f64,
    /// How long a client waits in all, over all its tries.
    pub deadline: Span,
    /// What a request answered within its aim is worth.
    pub worth: f64,
    /// The share of the worth that an answer between aim and deadline keeps.
    pub late_worth: f64,
    /// The answer is a stream, announced by [`Event::FirstByte`].
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

/// A tenant with a share of the service.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Tenant {
    /// Its fraction of the service.
    pub fraction: f64,
    /// Requests a second, over all balancers, that lie within its share.
    pub allowance_per_s: f64,
}

/// What a server's report can say, in the order that [`Settings::report_fields`] gives.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ReportField {
    /// Requests it holds.
    InFlight,
    /// Requests that wait in it.
    Queue,
    /// The busy share of its cores.
    Utilisation,
    /// Its recent service time in milliseconds, waiting left out.
    ServiceTime,
    /// Requests it answers a second.
    Rate,
    /// Errors a second.
    Errors,
    /// Something that the balancer has no use for.
    Other,
}

/// How the balancer hears of changes to the server list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub enum Discovery {
    /// They come by themselves.
    #[default]
    Pushed,
    /// Only after [`Action::Follow`] or [`Action::FetchList`].
    OnRequest,
}

/// Where load reports come from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub enum ReportSource {
    /// There are none.
    #[default]
    None,
    /// In outcomes and in probe results.
    Answers,
    /// In probe results only.
    Probes,
}

/// The meaning of [`Listed::weight`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub enum Weights {
    /// They say nothing.
    #[default]
    None,
    /// The size of the machine, exactly or roughly.
    Size,
    /// The size divided by the load of a while ago.
    Live,
}

/// How the service weighs its results; the parts need not sum to one.
#[derive(Debug, Clone, PartialEq)]
pub struct Goal {
    /// All requests together.
    pub whole: f64,
    /// The worst stretch of time.
    pub worst_window: f64,
    /// The class that is served worst.
    pub worst_class: f64,
    /// The tenant that is served worst within its share.
    pub worst_tenant: f64,
}

impl Default for Goal {
    fn default() -> Self {
        Goal { whole: 1.0, worst_window: 0.0, worst_class: 0.0, worst_tenant: 0.0 }
    }
}

/// What things cost, as a share of the result for one of each per request.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Prices {
    /// An attempt that leaves the balancer's zone.
    pub cross_zone: f64,
    /// A probe.
    pub probe: f64,
    /// A fresh connection.
    pub handshake: f64,
    /// An open connection, per hundred servers' worth.
    pub connection: f64,
    /// Work that served no answer.
    pub waste: f64,
    /// A request that ends unserved after its aim.
    pub late_fail: f64,
}

/// All that a balancer is told at its start.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Number of balancers of this service, this one included.
    pub balancers: u32,
    /// The zone that this balancer is in.
    pub zone: ZoneId,
    /// The request classes.
    pub classes: Vec<Class>,
    /// The tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// What a request over its tenant's share is still worth, as a fraction.
    pub over_share_worth: f64,
    /// Worth counts by work and not by request.
    pub worth_by_work: bool,
    /// How the results are weighed.
    pub goal: Goal,
    /// What things cost.
    pub prices: Prices,
    /// How the server list is heard.
    pub discovery: Discovery,
    /// Without a subscription the list must be asked for at least this often.
    pub ask_within: Span,
    /// Where load reports come from.
    pub report_source: ReportSource,
    /// What a load report holds, in order.
    pub report_fields: Vec<ReportField>,
    /// What the list's weights mean.
    pub weights: Weights,
    /// A server that met a key lately serves it for less work.
    pub warm_keys: bool,
    /// Most attempts for one request.
    pub max_attempts: u32,
    /// A request may have two attempts out at once.
    pub second_copies: bool,
    /// [`Action::Cancel`] is allowed.
    pub cancel: bool,
    /// [`Action::Probe`] is allowed.
    pub probes: bool,
    /// [`Action::Tell`] is allowed.
    pub peers: bool,
    /// Clients are passed the advice in [`Action::Refuse`].
    pub retry_after: bool,
    /// The longest advice that a client heeds.
    pub max_retry_after: Span,
    /// Nothing new may go to a draining or gone server this long after the balancer was told.
    pub drain_grace: Span,
    /// A server starts at this share of its capacity or more.
    pub cold_share: f64,
    /// And is warm after this.
    pub warm_after: Span,
    /// Sent more than this multiple of what it can do ...
    pub overload_factor: f64,
    /// ... for this long, a cold server falls over.
    pub fall_after: Span,
    /// How often at most events come.
    pub period: Span,
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
            ask_within: Span::from_ms(10_000.0),
            report_source: ReportSource::None,
            report_fields: Vec::new(),
            weights: Weights::None,
            warm_keys: false,
            max_attempts: 3,
            second_copies: false,
            cancel: true,
            probes: false,
            peers: false,
            retry_after: false,
            max_retry_after: Span::from_ms(1000.0),
            drain_grace: Span::from_ms(1000.0),
            cold_share: 0.1,
            warm_after: Span::from_ms(20_000.0),
            overload_factor: 2.0,
            fall_after: Span::from_ms(1000.0),
            period: Span::from_ms(1.0),
        }
    }
}

impl Settings {
    /// Refuses settings that no decision can be made with.
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
            ("cold_share", self.cold_share),
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

/// Settings that no balancer can work with.
#[derive(Debug, Clone, PartialEq)]
#[non_exhaustive]
pub enum SettingsError {
    /// There must be at least one class.
    NoClasses,
    /// A number that must be finite and not negative is not.
    BadNumber {
        /// Which setting.
        setting: &'static str,
        /// What it was.
        value: f64,
    },
    /// A span that must be above zero is zero.
    ZeroSpan {
        /// Which setting.
        setting: &'static str,
    },
    /// A request needs at least one attempt.
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

/// What the list says of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub enum Status {
    /// It takes requests.
    #[default]
    Serving,
    /// It finishes what it has; send it nothing new.
    Draining,
    /// It has left.
    Gone,
}

/// A line of the server list.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Listed {
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
    /// Its size among the others; see [`Settings::weights`].
    pub weight: f64,
    /// When it last started, if that was lately.
    pub started: Option<Time>,
}

impl Listed {
    /// A serving server that started long ago, in zone, kind and cell 0.
    pub fn serving(server: ServerId) -> Self {
        Listed {
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

/// News of the server list.
#[derive(Debug, Clone, PartialEq)]
pub enum ListUpdate {
    /// The changed lines only.
    Changes(Vec<Listed>),
    /// The whole list: what it leaves out has left.
    Complete(Vec<Listed>),
    /// The whole list as it was saved before a restart; may be stale.
    Saved(Vec<Listed>),
    /// A call or the subscription failed; what was known still stands.
    Failed,
}

/// A request that a client has handed over.
#[derive(Debug, Clone, PartialEq)]
pub struct Request {
    /// Its name.
    pub id: RequestId,
    /// Its class.
    pub class: ClassId,
    /// Whose it is.
    pub tenant: Option<TenantId>,
    /// What it concerns.
    pub key: Option<KeyId>,
    /// A guess at its work, in core time.
    pub cost_hint: Option<Span>,
    /// The client says that this is a repeat.
    pub repeat: bool,
    /// How long the client still waits for this try.
    pub time_left: Span,
    /// Its body is still coming, and `time_left` runs from [`Event::Whole`] on. It may be sent before that.
    pub coming: bool,
}

impl Request {
    /// A first try without tenant, key or hint.
    pub fn new(id: RequestId, class: ClassId, time_left: Span) -> Self {
        Request {
            id,
            class,
            tenant: None,
            key: None,
            cost_hint: None,
            repeat: false,
            time_left,
            coming: false,
        }
    }
}

/// How an attempt or a probe ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// Served.
    Success,
    /// The server answered with an error; the request may have run.
    ServerError,
    /// The server turned it away unseen.
    Rejected,
    /// No answer in time; it may have run or still run.
    TimedOut,
    /// No connection could be had in time; it never ran.
    ConnectFailed,
    /// The connection broke; it may have run.
    ConnectionReset,
    /// Called off; it may have run.
    Cancelled,
    /// Never sent: the request was over, or its attempts or time were used up.
    NotSent,
}

impl Outcome {
    /// True if this outcome proves that the request did not run.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent)
    }
}

/// A server's load report: values as [`Settings::report_fields`] orders them.
pub type Report = [f64];

/// What the balancer is told.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A request has come in.
    Request(Request),
    /// What is not kept of a request has been sent with this attempt; the request is bound to it, since no other attempt
    /// can have it whole.
    Bound {
        /// The request.
        request: RequestId,
        /// The attempt that it is bound to.
        attempt: AttemptNo,
    },
    /// All of a request has come that was [`Request::coming`]: its time runs from now.
    Whole {
        /// The request.
        request: RequestId,
    },
    /// A stream, or an answer that is passed on as it comes, has begun; the request is bound to this attempt, whose outcome
    /// tells how it went on.
    FirstByte {
        /// The request.
        request: RequestId,
        /// The attempt that it is bound to.
        attempt: AttemptNo,
    },
    /// An attempt is over.
    Outcome {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNo,
        /// How it ended.
        outcome: Outcome,
        /// The time since it was sent.
        elapsed: Span,
        /// The server's report, if one came.
        report: Option<Vec<f64>>,
        /// The request has its final answer; without this one is still owed.
        closed: bool,
    },
    /// The client has gone; nothing is owed any more.
    ClientGone {
        /// The request.
        request: RequestId,
    },
    /// A timer is due.
    Timer(TimerId),
    /// The answer to a probe.
    Probed {
        /// The server.
        server: ServerId,
        /// How the probe ended.
        outcome: Outcome,
        /// The time since it was sent.
        elapsed: Span,
        /// The server's report, if one came.
        report: Option<Vec<f64>>,
    },
    /// News of the server list.
    List(ListUpdate),
    /// The process ends: all that is open must have its answer by then, however long its client would wait. What comes later is
    /// told with no more time than that.
    Shutdown {
        /// By when.
        answers_by: Time,
    },
    /// So many balancers share the servers from now on, this one included, in place of [`Settings::balancers`].
    Balancers(u32),
    /// Another balancer's message.
    PeerMessage {
        /// Who sent it.
        from: PeerId,
        /// What it holds.
        payload: Vec<u8>,
    },
}

/// Why a request was given up; its number in [`Reason::ALL`] is its place in tables of counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Reason {
    /// The settings have no such class.
    NoSuchClass,
    /// It came with too little time left for its class's usual answer.
    TooLate,
    /// No server may be sent to: the list names none, or all are suspect.
    NobodyOpen,
    /// It waited for room, also for what is left to requests of more worth, until it could no longer be answered in time.
    WaitedOut,
    /// Too many were waiting already.
    QueueFull,
    /// An attempt failed, and no time was left for another.
    FailedLate,
    /// An attempt failed, and the rules allow no other: it may have run, or all its attempts are used up.
    NoMoreAllowed,
    /// An attempt failed, and what is earned for retries is used up.
    RetriesSpent,
}

impl Reason {
    /// All of them, in order.
    pub const ALL: [Reason; 8] = [
        Reason::NoSuchClass,
        Reason::TooLate,
        Reason::NobodyOpen,
        Reason::WaitedOut,
        Reason::QueueFull,
        Reason::FailedLate,
        Reason::NoMoreAllowed,
        Reason::RetriesSpent,
    ];

    /// Its name in logs and tables.
    pub fn name(self) -> &'static str {
        match self {
            Reason::NoSuchClass => "no-such-class",
            Reason::TooLate => "too-late",
            Reason::NobodyOpen => "nobody-open",
            Reason::WaitedOut => "waited-out",
            Reason::QueueFull => "queue-full",
            Reason::FailedLate => "failed-late",
            Reason::NoMoreAllowed => "no-more-allowed",
            Reason::RetriesSpent => "retries-spent",
        }
    }
}

/// What the balancer wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send an attempt; attempts of a request are numbered in the order of their sends.
    Send {
        /// The request.
        request: RequestId,
        /// Where to.
        server: ServerId,
        /// No byte of it may be written from then on, however long its connection takes: a repeat would run twice.
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
    /// Final answer: refused, and harmless to try again.
    Refuse {
        /// The request.
        request: RequestId,
        /// When a new try makes sense, if that is known.
        retry_after: Option<Span>,
        /// What for.
        reason: Reason,
    },
    /// Final answer: failed, with no promise about its effect.
    Fail {
        /// The request.
        request: RequestId,
        /// What for.
        reason: Reason,
    },
    /// Wake the balancer at this time; timers are not unset.
    SetTimer {
        /// When.
        at: Time,
        /// The name that [`Event::Timer`] brings back.
        timer: TimerId,
    },
    /// Send a health probe.
    Probe {
        /// Where to.
        server: ServerId,
    },
    /// Close this balancer's idle connections to a server.
    CloseIdle {
        /// The server.
        server: ServerId,
    },
    /// Send a message to one other balancer, or to all.
    Tell {
        /// Whom; `None` for all.
        to: Option<PeerId>,
        /// What.
        payload: Vec<u8>,
    },
    /// Open or close the subscription to the server list.
    Follow {
        /// Open it.
        active: bool,
    },
    /// Ask for the whole server list once.
    FetchList,
    /// Something that people on call may want to read.
    Log {
        /// The text.
        text: String,
    },
}
