//! Small worlds in which a broken agent shows its flaw: each flaw with the rule that it breaks. A sound agent keeps all
//! rules in the same worlds.

use crate::judge::checker::Rule;
use crate::world::broken::Flaw;
use crate::world::World;

/// A flaw, the rule that it breaks, and the world that shows it.
pub struct Proof {
    /// What is wrong.
    pub flaw: Flaw,
    /// What it breaks.
    pub rule: Rule,
    world: &'static str,
}

const PLAIN: &str = "seconds = 1.5\nrate = 80\nagents = 2\n";

const UNSAFE: &str = "seconds = 2\nrate = 60\nagents = 2
[[class]]
name = 'swear-in'
share = 1
work_ms = [5, 10]
wanted_ms = 400
deadline_ms = 900
worth = 1
effect = 'unsafe'
[[fault]]
kind = 'break'
at = 0.2
servers = ['*']
point = 'after-effect'
odds = 0.3
";

const KEYED: &str = "seconds = 2\nrate = 60\nagents = 2
[[class]]
name = 'assign-session'
share = 1
work_ms = [5, 10]
wanted_ms = 400
deadline_ms = 900
worth = 1
effect = 'keyed'
group = 'zone'
window_ms = 1000
[[fault]]
kind = 'break'
at = 0.2
servers = ['*']
point = 'after-effect'
odds = 0.3
";

const BRIEF_WINDOW: &str = "seconds = 2\nrate = 60\nagents = 2
[[class]]
name = 'log-session'
share = 1
work_ms = [5, 10]
wanted_ms = 900
deadline_ms = 2000
worth = 1
effect = 'keyed'
group = 'all'
window_ms = 100
[[fault]]
kind = 'break'
at = 0.2
servers = ['*']
point = 'after-effect'
odds = 0.3
";

const DRAIN: &str = "seconds = 3.4\nrate = 60\nagents = 2\nlist_late = 0.1
[[fault]]
kind = 'drain'
at = 0.2
for = 60
servers = ['san-fernando-1']
";

const COLD: &str = "seconds = 3\nrate = 60\nagents = 2\nlist_late = 0.1
[server]
cold_share = 0.1
warm_ms = 10000
[[fault]]
kind = 'crash'
at = 0.2
for = 0.4
servers = ['marabella-1']
";

const FULL: &str = "seconds = 2\nrate = 80\nagents = 2
[server]
cores = 0.2
slots = 1
room = 0
";

/// All proofs.
pub const PROOFS: [Proof; 9] = [
    Proof { flaw: Flaw::AnswersTwice, rule: Rule::OneAnswer, world: PLAIN },
    Proof { flaw: Flaw::DropsAnswers, rule: Rule::OneAnswer, world: PLAIN },
    Proof { flaw: Flaw::RepeatsUnsafe, rule: Rule::NoDoubleEffect, world: UNSAFE },
    Proof { flaw: Flaw::RepeatsOutside, rule: Rule::NoDoubleEffect, world: KEYED },
    Proof { flaw: Flaw::RepeatsLate, rule: Rule::NoDoubleEffect, world: BRIEF_WINDOW },
    Proof { flaw: Flaw::RefusesWhatRan, rule: Rule::NoDoubleEffect, world: KEYED },
    Proof { flaw: Flaw::IgnoresDrains, rule: Rule::DrainsKept, world: DRAIN },
    Proof { flaw: Flaw::PushesCold, rule: Rule::ColdSpared, world: COLD },
    Proof { flaw: Flaw::HoldsRefusals, rule: Rule::AnsweredAtOnce, world: FULL },
];

impl Proof {
    /// The world: two buildings of two servers, and what shows the flaw.
    pub fn world(&self) -> World {
        let name = format!("proof-{:?}", self.flaw);
        let buildings = "[[building]]\nname = 'san-fernando'\nservers = 2\n[[building]]\nname = 'marabella'\nservers = 2\n";
        let text = format!("about = '{name}'\n{}{buildings}", self.world);
        // The texts above are fixed, and the test of this file reads each.
        World::parse(&text, &name).unwrap_or_else(|fault| panic!("{fault}"))
    }
}

#[cfg(test)]
mod tests;
