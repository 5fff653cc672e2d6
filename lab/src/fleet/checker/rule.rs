//! The rules for what agents know of one another, and what a judgement by them holds.

use serde::Serialize;

/// A rule for what agents know of one another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// After the last fault every view equals the truth within the stated time.
    Settles,
    /// No view goes back to an earlier life of a member.
    LivesRise,
    /// Nobody who is reachable and awake is gone for all who reach it.
    NobodyLost,
    /// Where nothing else is wrong, a death is known to all within the stated time.
    DeathsKnown,
    /// A member that reaches no majority is not sure of its view.
    KnowsItsLimits,
    /// Whoever was stopped does not call half of those whom it reaches gone because of that.
    WakesGently,
    /// An upgrade is a change of life, and nobody takes it for a death.
    UpgradesGently,
    /// A view holds each member once, itself among them, and nobody who never was.
    WellFormed,
    /// No agent sends more packets in a second than it may, whatever happens.
    Frugal,
    /// No agent ends by itself.
    NoCrash,
}

impl Rule {
    /// All.
    pub const ALL: [Rule; 10] = [
        Rule::Settles,
        Rule::LivesRise,
        Rule::NobodyLost,
        Rule::DeathsKnown,
        Rule::KnowsItsLimits,
        Rule::WakesGently,
        Rule::UpgradesGently,
        Rule::WellFormed,
        Rule::Frugal,
        Rule::NoCrash,
    ];

    /// Its name in reports.
    pub fn name(self) -> &'static str {
        match self {
            Rule::Settles => "settles",
            Rule::LivesRise => "lives rise",
            Rule::NobodyLost => "nobody lost",
            Rule::DeathsKnown => "deaths known",
            Rule::KnowsItsLimits => "knows its limits",
            Rule::WakesGently => "wakes gently",
            Rule::UpgradesGently => "upgrades gently",
            Rule::WellFormed => "well formed",
            Rule::Frugal => "frugal",
            Rule::NoCrash => "no crash",
        }
    }
}

/// A rule that was broken.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Breach {
    /// Which.
    pub rule: Rule,
    /// When, in seconds.
    pub at: f64,
    /// By whom and how.
    pub what: String,
}

/// What came out.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Verdict {
    /// What broke rules; the first hundred.
    pub breaches: Vec<Breach>,
    /// How long after the last fault all views were one and true for good, in seconds; nothing if they never were.
    pub settled_after: Option<f64>,
    /// How long that may take, in seconds.
    pub settles_within: f64,
    /// How often somebody who ran, awake and reachable, was called gone by somebody who reached it.
    pub wrong_deaths: usize,
    /// For how long together, in seconds.
    pub wrong_death_seconds: f64,
    /// How long each death took to be known to all, in seconds, where nothing else was wrong.
    pub deaths_known_after: Vec<f64>,
}

impl Verdict {
    /// True if every rule held.
    pub fn kept(&self) -> bool {
        self.breaches.is_empty()
    }

    /// How often a rule was broken.
    pub fn count(&self, rule: Rule) -> usize {
        self.breaches.iter().filter(|b| b.rule == rule).count()
    }
}
