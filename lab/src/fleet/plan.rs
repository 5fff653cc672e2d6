//! Schedules of faults between agents: written as files, or drawn from a seed.

use dilljunction_cluster::pace;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::path::Path;

/// The schedules that come with the lab.
pub const SHIPPED: [(&str, &str); 14] = [
    ("each-once", include_str!("../../worlds/fleet/each-once.toml")),
    ("suspected", include_str!("../../worlds/fleet/suspected.toml")),
    ("kill-one", include_str!("../../worlds/fleet/kill-one.toml")),
    ("clock-back", include_str!("../../worlds/fleet/clock-back.toml")),
    ("old-packets", include_str!("../../worlds/fleet/old-packets.toml")),
    ("stop-one", include_str!("../../worlds/fleet/stop-one.toml")),
    ("cut-one", include_str!("../../worlds/fleet/cut-one.toml")),
    ("three-parts", include_str!("../../worlds/fleet/three-parts.toml")),
    ("all-but-one", include_str!("../../worlds/fleet/all-but-one.toml")),
    ("bad-weather", include_str!("../../worlds/fleet/bad-weather.toml")),
    ("starved", include_str!("../../worlds/fleet/starved.toml")),
    ("upgrades", include_str!("../../worlds/fleet/upgrades.toml")),
    ("one-pair", include_str!("../../worlds/fleet/one-pair.toml")),
    ("only-one-known", include_str!("../../worlds/fleet/only-one-known.toml")),
];

/// Agents that a schedule may have, and how long it may last.
const AGENTS_MOST: usize = 2_000;
const SECONDS_MOST: f64 = 3_600.0;
const FAULTS_MOST: usize = 200;
/// The largest file, in bytes.
const FILE_MOST: u64 = 1024 * 1024;

/// What can go wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// Packets get lost, with the probability `amount`.
    Loss,
    /// Packets take up to `amount` milliseconds more, half of it at least.
    Delay,
    /// Packets come twice, with the probability `amount`.
    Doubling,
    /// Packets are overtaken by later ones, with the probability `amount`.
    Reordering,
    /// What was sent long ago comes once more.
    Replay,
    /// The first of `members` does not reach the second.
    OneWay,
    /// The two `members` do not reach each other.
    Pair,
    /// `members` and all others do not reach each other.
    Partition,
    /// Three parts, by number, do not reach each other.
    PartitionInThree,
    /// `members` are cut off and reached in turn, every `amount` milliseconds.
    Flapping,
    /// Nothing reaches `members`.
    Deaf,
    /// Garbage comes to `members`, `amount` packets a second.
    Garbage,
    /// `members` are killed and stay dead.
    Kill,
    /// `members` are told to end, and stay away.
    Terminate,
    /// The processes of `members` are stopped (SIGSTOP), and go on at the end.
    Stop,
    /// `members` are killed and start again from nothing at the end.
    Restart,
    /// All are killed and start again within a second.
    Storm,
    /// New processes of `members` start beside the old ones, which end when the new ones are ready.
    Upgrade,
    /// `members` start again with a clock that runs 5% fast.
    FastClock,
    /// `members` start again with a clock that runs 5% slow.
    SlowClock,
    /// `members` start again with a wall clock that has stepped back by an hour.
    WallStep,
}

/// How the figure of a fault is read.
enum Amount {
    None,
    Probability,
    Within(f64, f64),
}

impl Kind {
    /// All, in the order of the list.
    pub const ALL: [Kind; 21] = [
        Kind::Loss,
        Kind::Delay,
        Kind::Doubling,
        Kind::Reordering,
        Kind::Replay,
        Kind::OneWay,
        Kind::Pair,
        Kind::Partition,
        Kind::PartitionInThree,
        Kind::Flapping,
        Kind::Deaf,
        Kind::Garbage,
        Kind::Kill,
        Kind::Terminate,
        Kind::Stop,
        Kind::Restart,
        Kind::Storm,
        Kind::Upgrade,
        Kind::FastClock,
        Kind::SlowClock,
        Kind::WallStep,
    ];

    /// Its word in files and reports.
    pub fn word(self) -> String {
        serde_json::to_value(self).ok().and_then(|v| v.as_str().map(str::to_string)).unwrap_or_default()
    }

    /// Whether it lies between agents, and not in one.
    pub fn is_network(self) -> bool {
        use Kind::*;
        matches!(
            self,
            Loss | Delay
                | Doubling
                | Reordering
                | Replay
                | OneWay
                | Pair
                | Partition
                | PartitionInThree
                | Flapping
                | Deaf
                | Garbage
        )
    }

    fn amount(self) -> Amount {
        match self {
            Kind::Loss | Kind::Doubling | Kind::Reordering => Amount::Probability,
            Kind::Delay => Amount::Within(1.0, 10_000.0),
            Kind::Flapping => Amount::Within(50.0, 60_000.0),
            Kind::Garbage => Amount::Within(1.0, 200_000.0),
            _ => Amount::None,
        }
    }

    /// How many members it names: at least, at most.
    fn members(self, agents: usize) -> (usize, usize) {
        use Kind::*;
        match self {
            Loss | Delay | Doubling | Reordering | Replay | PartitionInThree | Storm => (0, 0),
            OneWay | Pair => (2, 2),
            Partition => (1, agents - 1),
            Flapping | Deaf | Garbage | Kill | Terminate | Stop | Restart | Upgrade | FastClock
            | SlowClock | WallStep => (1, agents),
        }
    }
}

/// One thing that goes wrong.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// What.
    pub kind: Kind,
    /// When it begins, in seconds from when the fleet had settled first.
    pub at: f64,
    /// How long it lasts, in seconds; 0 for what is over at once.
    #[serde(default)]
    pub lasts: f64,
    /// To whom it happens, by number; see [`Kind`].
    #[serde(default)]
    pub members: Vec<usize>,
    /// Its figure; see [`Kind`].
    #[serde(default)]
    pub amount: f64,
}

impl Fault {
    /// A few words for people.
    pub fn label(&self) -> String {
        let members: Vec<String> = self.members.iter().map(usize::to_string).collect();
        let amount = if self.amount > 0.0 { format!(" {}", self.amount) } else { String::new() };
        format!("{}{amount} {}", self.kind.word(), members.join(",")).trim().to_string()
    }
}

/// Whose addresses an agent's configuration names, its own besides.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Knows {
    /// Those of all.
    #[default]
    All,
    /// Those of lower numbers, as in a fleet that has grown while nobody was told.
    Earlier,
}

impl Knows {
    /// What the configuration of this member names, of the addresses of all.
    pub fn of(self, member: usize, all: &[SocketAddr]) -> &[SocketAddr] {
        match self {
            Knows::All => all,
            Knows::Earlier => &all[..=member],
        }
    }
}

/// A schedule.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Its name.
    #[serde(default)]
    pub name: String,
    /// What it shows, in a line.
    pub about: String,
    /// How many agents there are.
    pub agents: usize,
    /// For all random numbers.
    #[serde(default)]
    pub seed: u64,
    /// Whom each knows at its start.
    #[serde(default)]
    pub knows: Knows,
    /// What goes wrong.
    #[serde(default)]
    pub fault: Vec<Fault>,
}

/// A step of a schedule. Numbers of faults are places in [`Plan::fault`], of members their numbers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Act {
    /// A fault of the network begins.
    Begin(usize),
    /// It ends.
    End(usize),
    /// SIGKILL.
    Kill(usize),
    /// SIGTERM.
    Terminate(usize),
    /// SIGSTOP.
    Stop(usize),
    /// SIGCONT.
    Continue(usize),
    /// A process starts from nothing.
    Start(usize, Clocks),
    /// A new process starts beside the old one.
    Upgrade(usize),
}

/// What a process is told of its clocks.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Clocks {
    /// How fast the monotonic one runs.
    pub rate: f64,
    /// By how much the wall clock is wrong, in milliseconds.
    pub wall_step_ms: i64,
}

impl Default for Clocks {
    fn default() -> Self {
        Clocks { rate: 1.0, wall_step_ms: 0 }
    }
}

impl Plan {
    /// A shipped schedule by its name, or one from a file.
    pub fn find(name: &str) -> Result<Plan, String> {
        if let Some((_, text)) = SHIPPED.iter().find(|(shipped, _)| *shipped == name) {
            return Plan::parse(text, name);
        }
        let path = Path::new(name);
        let length = std::fs::metadata(path).map_err(|_| {
            let names: Vec<&str> = SHIPPED.iter().map(|s| s.0).collect();
            format!("{name}: no such file, and no schedule of the lab ({})", names.join(", "))
        })?;
        if length.len() > FILE_MOST {
            return Err(format!("{name}: is larger than {FILE_MOST} bytes"));
        }
        let text = std::fs::read_to_string(path).map_err(|e| format!("{name}: cannot be read: {e}"))?;
        Plan::parse(&text, name)
    }

    /// Reads the text of a schedule; `name` is what faults are said of, and its name if it states none.
    pub fn parse(text: &str, name: &str) -> Result<Plan, String> {
        let document =
            toml::Deserializer::parse(text).map_err(|e| format!("{name}: is not TOML: {}", e.message()))?;
        let mut plan: Plan = serde_path_to_error::deserialize(document)
            .map_err(|e| format!("{name}: {}: {}", e.path(), e.inner().message().replace('\n', " ")))?;
        if plan.name.is_empty() {
            plan.name =
                Path::new(name).file_stem().map_or_else(String::new, |s| s.to_string_lossy().into_owned());
        }
        plan.check().map_err(|(key, reason)| format!("{name}: {key}: {reason}"))?;
        Ok(plan)
    }

    /// Whether it can be played; the key and the reason if not.
    pub fn check(&self) -> Result<(), (String, String)> {
        let fault = |key: &str, reason: String| Err((key.to_string(), reason));
        if !(2..=AGENTS_MOST).contains(&self.agents) {
            return fault("agents", format!("must lie between 2 and {AGENTS_MOST}"));
        }
        if self.fault.len() > FAULTS_MOST {
            return fault("fault", format!("at most {FAULTS_MOST} of them"));
        }
        for (i, f) in self.fault.iter().enumerate() {
            let key = |name: &str| format!("fault[{i}].{name}");
            if !(0.0..=SECONDS_MOST).contains(&f.at) || !(0.0..=SECONDS_MOST).contains(&f.lasts) {
                return fault(&key("at"), format!("it and lasts must lie between 0 and {SECONDS_MOST} s"));
            }
            let (least, most) = f.kind.members(self.agents);
            let mut distinct = f.members.clone();
            distinct.sort_unstable();
            distinct.dedup();
            if distinct.len() != f.members.len() || !(least..=most).contains(&f.members.len()) {
                return fault(
                    &key("members"),
                    format!("{} names {least} to {most}, none twice", f.kind.word()),
                );
            }
            if f.members.iter().any(|m| *m >= self.agents) {
                return fault(&key("members"), format!("there are {} agents, from 0", self.agents));
            }
            let right = match f.kind.amount() {
                Amount::None => f.amount == 0.0,
                Amount::Probability => f.amount > 0.0 && f.amount <= 1.0,
                Amount::Within(least, most) => (least..=most).contains(&f.amount),
            };
            if !right {
                return fault(&key("amount"), format!("{} does not fit {}", f.amount, f.kind.word()));
            }
        }
        Ok(())
    }

    /// When the last fault is over, in seconds.
    pub fn over(&self) -> f64 {
        self.fault.iter().map(|f| f.at + f.lasts).fold(0.0, f64::max)
    }

    /// How long after that all views have to be one and true, in seconds: what each of the causes takes at most.
    pub fn settles_within(&self) -> f64 {
        let (n, absent) = (self.agents, self.agents - 1);
        let gone = self.fault.iter().filter(|f| matches!(f.kind, Kind::Kill | Kind::Terminate));
        let dead = gone.map(|f| f.members.len()).sum::<usize>().min(absent);
        let crash = pace::crash_detection_bound(n, dead.max(1));
        let join = pace::join_bound(n, dead);
        (crash + join + pace::partition_heal_bound(n)).as_secs_f64()
    }

    /// All that happens, in the order of its time.
    pub fn steps(&self) -> Vec<(f64, Act)> {
        let mut steps = Vec::new();
        for (i, f) in self.fault.iter().enumerate() {
            let end = f.at + f.lasts;
            let again = |clocks: Clocks| {
                let each =
                    f.members.iter().flat_map(move |&m| [(f.at, Act::Kill(m)), (end, Act::Start(m, clocks))]);
                each.collect::<Vec<_>>()
            };
            let each = |act: fn(usize) -> Act| f.members.iter().map(|&m| (f.at, act(m))).collect::<Vec<_>>();
            steps.extend(match f.kind {
                Kind::Kill => each(Act::Kill),
                Kind::Terminate => each(Act::Terminate),
                Kind::Upgrade => each(Act::Upgrade),
                Kind::Stop => {
                    f.members.iter().flat_map(|&m| [(f.at, Act::Stop(m)), (end, Act::Continue(m))]).collect()
                }
                Kind::Restart => again(Clocks::default()),
                Kind::FastClock => again(Clocks { rate: 1.05, wall_step_ms: 0 }),
                Kind::SlowClock => again(Clocks { rate: 0.95, wall_step_ms: 0 }),
                Kind::WallStep => again(Clocks { rate: 1.0, wall_step_ms: -3_600_000 }),
                Kind::Storm => {
                    let spread = 1.0 / self.agents as f64;
                    let start = |m: usize| (f.at + 0.1 + spread * m as f64, Act::Start(m, Clocks::default()));
                    (0..self.agents).flat_map(|m| [(f.at, Act::Kill(m)), start(m)]).collect()
                }
                _ => vec![(f.at, Act::Begin(i)), (end, Act::End(i))],
            });
        }
        steps.sort_by(|a, b| a.0.total_cmp(&b.0));
        steps
    }

    /// A schedule of three to eight faults that overlap, drawn from a seed.
    pub fn draw(seed: u64, agents: usize) -> Plan {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut fault = Vec::new();
        for _ in 0..random.usize(3..=8) {
            let kind = Kind::ALL[random.usize(0..Kind::ALL.len())];
            let (least, most) = kind.members(agents);
            // Few at a time, as it is in life; a partition may cut anywhere.
            let most = if kind == Kind::Partition { most } else { most.min(agents.div_ceil(4)).max(least) };
            let count = if most == 0 { 0 } else { random.usize(least..=most) };
            let members = random.choose_multiple(0..agents, count);
            let amount = match kind {
                Kind::Loss => 0.05 + 0.25 * random.f64(),
                Kind::Doubling | Kind::Reordering => 0.1 + 0.4 * random.f64(),
                Kind::Delay => 10.0 + 400.0 * random.f64(),
                Kind::Flapping => 200.0 + 3_000.0 * random.f64(),
                Kind::Garbage => 500.0 + 4_500.0 * random.f64(),
                _ => 0.0,
            };
            let lasts = match kind {
                Kind::Kill | Kind::Terminate | Kind::Upgrade | Kind::Replay | Kind::Storm => 0.0,
                Kind::Restart | Kind::FastClock | Kind::SlowClock | Kind::WallStep => {
                    0.1 + 4.0 * random.f64()
                }
                _ => 1.0 + 11.0 * random.f64(),
            };
            let round = |x: f64| (x * 100.0).round() / 100.0;
            let at = round(12.0 * random.f64());
            fault.push(Fault { kind, at, lasts: round(lasts), members, amount: round(amount).max(0.0) });
        }
        fault.sort_by(|a, b| a.at.total_cmp(&b.at));
        let about = format!("drawn from seed {seed}");
        Plan { name: format!("seed-{seed}"), about, agents, seed, knows: Knows::All, fault }
    }

    /// As a file.
    pub fn text(&self) -> Result<String, String> {
        toml::to_string(self).map_err(|e| e.to_string())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_is_drawn_can_be_played_and_written_and_read_again() {
        for seed in 0..500 {
            let plan = Plan::draw(seed, 3 + seed as usize % 40);
            plan.check().unwrap_or_else(|e| panic!("seed {seed}: {e:?}"));
            assert_eq!(Plan::parse(&plan.text().unwrap(), "x").unwrap(), plan, "seed {seed}");
            assert_eq!(plan, Plan::draw(seed, plan.agents));
        }
    }

    #[test]
    fn the_shipped_schedules_can_be_played_and_each_kind_is_in_the_first() {
        for (name, _) in SHIPPED {
            let plan = Plan::find(name).unwrap();
            assert_eq!(plan.name, name);
        }
        let each = Plan::find("each-once").unwrap();
        for kind in Kind::ALL {
            assert!(each.fault.iter().any(|f| f.kind == kind), "{}", kind.word());
        }
    }

    #[test]
    fn a_bad_schedule_names_its_key() {
        let head = "about = 'x'\nagents = 4\n";
        for (text, key) in [
            ("about = 'x'\nagents = 1".to_string(), "agents"),
            (format!("{head}[[fault]]\nkind = 'loss'\nat = 1\namount = 2"), "fault[0].amount"),
            (format!("{head}[[fault]]\nkind = 'pair'\nat = 1\nmembers = [1]"), "fault[0].members"),
            (format!("{head}[[fault]]\nkind = 'kill'\nat = 1\nmembers = [4]"), "fault[0].members"),
            (format!("{head}[[fault]]\nkind = 'kill'\nat = 1\nmembers = [2, 2]"), "fault[0].members"),
            (format!("{head}[[fault]]\nkind = 'kill'\nat = -1\nmembers = [2]"), "fault[0].at"),
            (format!("{head}[[fault]]\nkind = 'flood'\nat = 1"), "fault[0].kind"),
        ] {
            let said = Plan::parse(&text, "f.toml").unwrap_err();
            assert!(said.starts_with(&format!("f.toml: {key}: ")), "{said}");
        }
    }
}
