//! Judges what the agents knew of one another, from the evidence alone.

mod agreement;
mod member;
mod rule;

pub use self::rule::{Breach, Rule, Verdict};

use self::agreement::{is_right, standings_agree, Scope};
use self::member::{Member, Opinion, Run};
use crate::fleet::evidence::{Belief, Entry, Evidence};
use crate::fleet::net::{passes_among, SENT_MOST};
use crate::fleet::plan::{Fault, Kind, Plan};
use dilljunction_cluster::pace;
use std::rc::Rc;

/// How long somebody reachable and awake may be called gone by all who reach it, in seconds: it hears so from the first of
/// them that it talks to, and the others have to hear of that.
pub const BACK_WITHIN: f64 = 10.0;
/// For how long it may then be so: the news of its death and its own contradiction cross.
const LOST_FOR: f64 = 1.0;
/// How long after it goes on a member that was stopped is looked at, in seconds.
const WAKING: f64 = 3.0;
/// How often what lasts is looked at, in seconds.
const LOOK_EVERY: f64 = 0.25;
/// Breaches that are kept.
const BREACHES_MOST: usize = 100;

/// A fault that is on.
struct Active {
    fault: Fault,
    began: f64,
    /// By number, whether the fault names the member.
    among: Vec<bool>,
}

impl Active {
    fn passes(&self, at: f64, from: usize, to: usize) -> bool {
        passes_among(&self.fault, at - self.began, from, to, self.among.len(), |m| self.among[m])
    }

    /// Whether it lets the one pass to the other exactly if it lets the other pass to the one.
    fn is_symmetric(&self) -> bool {
        !matches!(self.fault.kind, Kind::OneWay | Kind::Deaf)
    }
}

/// The state of the world as the evidence goes on.
struct World<'a> {
    plan: &'a Plan,
    members: Vec<Member>,
    /// Those that run awake, by number.
    running: Vec<usize>,
    /// What running members say of others and is not true.
    wrong_opinions: usize,
    active: Vec<Active>,
    /// When a fault of the network last began or ended.
    network_changed: Option<f64>,
    verdict: Verdict,
    /// Since when all views are one and true.
    true_since: Option<f64>,
}

/// Judges a run of a plan.
pub fn judge(plan: &Plan, evidence: &Evidence) -> Verdict {
    let mut world = World::new(plan);
    let mut next_look = 0.0;
    let mut last_fault = 0.0;
    for (at, entry) in &evidence.entries {
        while next_look < *at {
            world.look(next_look);
            next_look += LOOK_EVERY;
        }
        let says = matches!(
            entry,
            Entry::Says { .. } | Entry::Stands { .. } | Entry::Odd { .. } | Entry::Flooded(_)
        );
        world.take(*at, entry);
        if !says {
            last_fault = *at;
            world.count_running();
        }
        world.true_since = if world.is_settled() { world.true_since.or(Some(*at)) } else { None };
    }
    let end = evidence.entries.last().map_or(0.0, |(at, _)| *at);
    world.look(end.max(next_look));
    let within = plan.settles_within();
    world.verdict.settles_within = within;
    world.verdict.settled_after = world.true_since.map(|at| (at - last_fault).max(0.0));
    match world.verdict.settled_after {
        Some(after) if after <= within => {}
        _ => {
            let what = world.unsettled().unwrap_or_else(|| "true too late".into());
            world.breach(Rule::Settles, end, what);
        }
    }
    world.verdict
}

impl<'a> World<'a> {
    fn new(plan: &'a Plan) -> Self {
        let verdict = Verdict::default();
        World {
            plan,
            members: vec![Member::new(plan.agents); plan.agents],
            running: Vec::new(),
            wrong_opinions: 0,
            active: Vec::new(),
            network_changed: None,
            verdict,
            true_since: None,
        }
    }

    fn breach(&mut self, rule: Rule, at: f64, what: String) {
        if self.verdict.breaches.len() < BREACHES_MOST {
            self.verdict.breaches.push(Breach { rule, at, what });
        }
    }

    fn take(&mut self, at: f64, entry: &Entry) {
        let scope = Scope::of(entry, &self.members);
        let wrong_before = scope.count_wrong(&self.members);
        self.apply(at, entry);
        self.wrong_opinions = self.wrong_opinions + scope.count_wrong(&self.members) - wrong_before;
    }

    fn apply(&mut self, at: f64, entry: &Entry) {
        match entry {
            Entry::Started(m) => {
                let agents = self.plan.agents;
                let member = &mut self.members[*m];
                (member.run, member.since, member.died) = (Run::Awake, at, None);
                (member.own_life, member.sure, member.reachable_since, member.cut_since) =
                    (None, false, None, None);
                member.opinions = vec![None; agents];
                member.wrongly_gone_at = vec![None; agents];
                self.disturbed();
            }
            // The others must see one change of life; the new process knows nothing yet.
            Entry::Upgraded(m) => {
                let agents = self.plan.agents;
                let member = &mut self.members[*m];
                (member.own_life, member.sure) = (None, false);
                member.opinions = vec![None; agents];
                member.since = at;
                self.disturbed();
                let quiet = self.network_changed.is_none_or(|changed| at - changed > BACK_WITHIN);
                self.members[*m].upgraded = (self.is_calm() && quiet).then_some(at);
            }
            Entry::Ending(m) => self.members[*m].run = Run::Ending,
            Entry::Ended(m) | Entry::Crashed(m) => {
                self.disturbed();
                let calm = self.is_calm();
                let member = &mut self.members[*m];
                (member.run, member.since, member.reachable_since, member.cut_since) =
                    (Run::Away, at, None, None);
                (member.died, member.told, member.sure) = (calm.then_some(at), false, false);
                if matches!(entry, Entry::Crashed(_)) {
                    self.breach(Rule::NoCrash, at, format!("agent {m} has ended by itself"));
                }
            }
            Entry::Stopped(m) => {
                (self.members[*m].run, self.members[*m].reachable_since) = (Run::Stopped, None);
                self.members[*m].cut_since = None;
                self.disturbed();
            }
            Entry::Continued(m) => {
                let member = &mut self.members[*m];
                (member.run, member.since, member.woke) = (Run::Awake, at, Some(at));
                self.disturbed();
            }
            Entry::Began(i, _) => {
                let fault = self.plan.fault[*i].clone();
                let among = (0..self.plan.agents).map(|m| fault.members.contains(&m)).collect();
                self.active.push(Active { fault, began: at, among });
                self.network_changed = Some(at);
                self.disturbed();
            }
            Entry::Over(i, _) => {
                let over = &self.plan.fault[*i];
                self.network_changed = Some(at);
                if let Some(place) = self.active.iter().position(|active| active.fault == *over) {
                    self.active.remove(place);
                }
            }
            Entry::Says { observer, member, life, belief } => {
                self.says(at, *observer, *member, *life, *belief)
            }
            Entry::Stands { observer, life, digest, sure } => {
                let own = &mut self.members[*observer];
                if own.own_life.is_some_and(|before| before > *life) {
                    self.breach(
                        Rule::LivesRise,
                        at,
                        format!("agent {observer} has gone back to its life {life}"),
                    );
                }
                let own = &mut self.members[*observer];
                (own.own_life, own.digest, own.sure) = (Some(*life), *digest, *sure);
            }
            Entry::Flooded(m) => {
                let what = format!("agent {m} sent more than {SENT_MOST} packets in a second");
                self.breach(Rule::Frugal, at, what);
            }
            Entry::Odd { observer, what } => {
                self.breach(Rule::WellFormed, at, format!("agent {observer}: {what}"))
            }
        }
    }

    /// Something else is wrong now: how long a death takes to be known is no longer stated.
    fn disturbed(&mut self) {
        self.members.iter_mut().for_each(|m| (m.died, m.upgraded) = (None, None));
    }

    /// Nothing is wrong with the network, nobody is stopped.
    fn is_calm(&self) -> bool {
        let awake = |m: &Member| m.run == Run::Awake || m.run == Run::Away;
        self.active.is_empty() && self.members.iter().all(awake)
    }

    fn says(&mut self, at: f64, observer: usize, member: usize, life: u64, belief: Belief) {
        if member >= self.plan.agents {
            return;
        }
        if let Some(before) = self.members[observer].opinions[member].filter(|before| before.life > life) {
            let what =
                format!("agent {observer} has gone back from life {} of {member} to {life}", before.life);
            self.breach(Rule::LivesRise, at, what);
        }
        let upgraded = self.members[member].upgraded;
        if belief == Belief::Gone && upgraded.is_some_and(|upgraded| at - upgraded < BACK_WITHIN) {
            let what = format!("agent {observer} took the upgrade of {member} for a death");
            self.breach(Rule::UpgradesGently, at, what);
        }
        self.members[observer].opinions[member] = Some(Opinion { life, belief });
        let wrong = belief == Belief::Gone
            && self.members[member].run == Run::Awake
            && self.members[member].own_life.is_none_or(|own| own == life)
            && self.linked(observer, member, at)
            && at - self.members[member].since > 1.0;
        let open = &mut self.members[observer].wrongly_gone_at[member];
        match (wrong, *open) {
            (true, None) => {
                *open = Some(at);
                self.verdict.wrong_deaths += 1;
            }
            (false, Some(since)) => {
                *open = None;
                self.verdict.wrong_death_seconds += at - since;
            }
            _ => {}
        }
    }

    fn linked(&self, a: usize, b: usize, at: f64) -> bool {
        self.active.iter().all(|active| active.passes(at, a, b) && active.passes(at, b, a))
    }

    fn hears(&self, a: usize, b: usize, at: f64) -> bool {
        self.active.iter().all(|active| active.passes(at, b, a))
    }

    /// The network is such that nobody can know who is there.
    fn is_harsh(&self) -> bool {
        let harsh = |f: &Fault| match f.kind {
            Kind::Loss => f.amount > 0.1,
            Kind::Delay => f.amount > 100.0,
            Kind::Reordering => f.amount > 0.3,
            Kind::Flapping | Kind::Garbage => true,
            _ => false,
        };
        self.active.iter().any(|active| harsh(&active.fault))
    }

    fn look(&mut self, at: f64) {
        let agents = self.plan.agents;
        let awake: Vec<usize> = (0..agents).filter(|m| self.members[*m].run == Run::Awake).collect();
        // Who reaches whom, both ways.
        let links: Vec<Vec<usize>> = (0..agents)
            .map(|m| {
                let is_awake = self.members[m].run == Run::Awake;
                awake.iter().copied().filter(|o| is_awake && *o != m && self.linked(*o, m, at)).collect()
            })
            .collect();
        let harsh = self.is_harsh();
        for &m in &awake {
            let reachable = !links[m].is_empty() && !harsh;
            let since = &mut self.members[m].reachable_since;
            *since = if reachable { since.or(Some(at)) } else { None };
            let long = since.is_some_and(|since| at - since > BACK_WITHIN);
            let mut is_linked = vec![false; agents];
            links[m].iter().for_each(|o| is_linked[*o] = !harsh);
            for (since, is_linked) in self.members[m].linked_since.iter_mut().zip(is_linked) {
                // Whoever has just begun to run, or to reach it, has no opinion of its own yet.
                *since = if is_linked { since.or(Some(at)) } else { None };
            }
            let gone = |o: &usize| {
                let opinion = self.members[*o].opinions[m];
                opinion.is_some_and(|opinion| opinion.belief == Belief::Gone)
            };
            let settled = |o: &&usize| {
                let linked = self.members[m].linked_since[**o].is_some_and(|since| at - since > BACK_WITHIN);
                linked && at - self.members[**o].since > BACK_WITHIN
            };
            let judges: Vec<usize> = links[m].iter().filter(settled).copied().collect();
            let lost = long && !judges.is_empty() && judges.iter().all(gone);
            let since = &mut self.members[m].lost_since;
            *since = if lost { since.or(Some(at)) } else { None };
            let lost = since_over(*since, at, LOST_FOR);
            if lost && !self.members[m].lost {
                let what = format!("agent {m} has been awake and reachable, and {judges:?} call it gone");
                self.breach(Rule::NobodyLost, at, what);
            }
            self.members[m].lost = lost;
        }
        self.look_at_limits(at, &awake);
        self.look_at_waking(at, &awake, &links);
        self.look_at_deaths(at);
    }

    fn look_at_limits(&mut self, at: f64, awake: &[usize]) {
        for (m, group) in self.groups(at, awake) {
            let cut = group.len() * 2 <= self.plan.agents;
            let own = &mut self.members[m];
            // Whoever joins the group brings what it knew, and that may be newer.
            let same = own.group == group;
            own.cut_since = if cut { own.cut_since.filter(|_| same).or(Some(at)) } else { None };
            own.group = Rc::clone(&group);
            let limit = pace::minority_detection_bound(self.plan.agents).as_secs_f64();
            if self.members[m].sure && since_over(self.members[m].cut_since, at, limit) {
                let what = format!("agent {m} hears {} of {} and is sure", group.len(), self.plan.agents);
                self.breach(Rule::KnowsItsLimits, at, what);
                self.members[m].cut_since = None;
            }
        }
    }

    /// Whom each hears, itself or through others: whether they hear it in turn is not for it to know.
    fn groups(&self, at: f64, awake: &[usize]) -> Vec<(usize, Rc<[usize]>)> {
        let symmetric = self.active.iter().all(Active::is_symmetric);
        let mut groups: Vec<(usize, Rc<[usize]>)> = Vec::new();
        let mut has_one = vec![false; self.plan.agents];
        for &m in awake {
            if has_one[m] {
                continue;
            }
            let group: Rc<[usize]> = self.group(at, m, awake).into();
            // Where hearing goes both ways, all of a group have the same one.
            let all = if symmetric { group.to_vec() } else { vec![m] };
            for other in all {
                has_one[other] = true;
                groups.push((other, Rc::clone(&group)));
            }
        }
        groups.sort_unstable_by_key(|(m, _)| *m);
        groups
    }

    fn group(&self, at: f64, m: usize, awake: &[usize]) -> Vec<usize> {
        let mut left: Vec<usize> = awake.iter().copied().filter(|o| *o != m).collect();
        let mut group = vec![m];
        let mut next = 0;
        while next < group.len() && !left.is_empty() {
            let hearer = group[next];
            let (heard, rest) = left.into_iter().partition(|o| self.hears(hearer, *o, at));
            left = rest;
            group.extend::<Vec<usize>>(heard);
            next += 1;
        }
        group.sort_unstable();
        group
    }

    fn look_at_waking(&mut self, at: f64, awake: &[usize], links: &[Vec<usize>]) {
        for &m in awake {
            let member = &self.members[m];
            if !member.woke.is_some_and(|woke| at - woke <= WAKING) {
                continue;
            }
            // Only those who have been there all along: of others it may rightly not know yet.
            let there: Vec<usize> =
                links[m].iter().copied().filter(|o| at - self.members[*o].since > BACK_WITHIN).collect();
            let gone =
                |o: &&usize| member.opinions[**o].is_some_and(|opinion| opinion.belief == Belief::Gone);
            let lost = there.iter().filter(gone).count();
            // What it hears after the end of a partition is what others believed, and no fault of its own.
            let calm = self.active.is_empty()
                && self.network_changed.is_none_or(|changed| at - changed > BACK_WITHIN);
            if there.len() > 2 && lost * 2 >= there.len() && calm {
                self.members[m].woke = None;
                self.breach(
                    Rule::WakesGently,
                    at,
                    format!("agent {m} called {lost} of {} gone on waking", there.len()),
                );
            }
        }
    }

    fn look_at_deaths(&mut self, at: f64) {
        let away = self.members.iter().filter(|m| m.run == Run::Away).count();
        let limit = pace::crash_detection_bound(self.plan.agents, away).as_secs_f64();
        for m in 0..self.plan.agents {
            let Some(died) = self.members[m].died.filter(|_| !self.members[m].told) else { continue };
            let missing = self.members.iter().enumerate().find(|(_, o)| {
                let knows = o.opinions[m].is_none_or(|opinion| opinion.belief == Belief::Gone);
                o.run == Run::Awake && o.since <= died && !knows
            });
            match missing.map(|(observer, _)| observer) {
                None => {
                    self.members[m].told = true;
                    self.verdict.deaths_known_after.push(at - died);
                }
                Some(observer) if at - died > limit => {
                    self.members[m].told = true;
                    let what = format!("agent {observer} did not know within {limit:.1} s that {m} had died");
                    self.breach(Rule::DeathsKnown, at, what);
                }
                Some(_) => {}
            }
        }
    }

    fn count_running(&mut self) {
        let members = self.members.iter().enumerate();
        self.running = members.filter(|(_, member)| member.run == Run::Awake).map(|(m, _)| m).collect();
    }

    /// Whether all views are one and true.
    fn is_settled(&self) -> bool {
        self.wrong_opinions == 0 && standings_agree(&self.members, &self.running)
    }

    /// What is not as it should be now, in one line.
    fn unsettled(&self) -> Option<String> {
        let runs = |m: usize| self.members[m].run == Run::Awake;
        let running: Vec<usize> = (0..self.plan.agents).filter(|m| runs(*m)).collect();
        let digest = running.first().map(|m| self.members[*m].digest);
        for &observer in &running {
            let own = &self.members[observer];
            if own.own_life.is_none() {
                return Some(format!("agent {observer} says nothing"));
            }
            for m in (0..self.plan.agents).filter(|m| *m != observer) {
                if !is_right(&self.members, observer, m) {
                    let belief = own.opinions[m].map(|o| o.belief);
                    let truth = if runs(m) { "runs" } else { "does not run" };
                    return Some(format!("agent {observer} says {belief:?} of {m}, which {truth}"));
                }
            }
            if Some(own.digest) != digest {
                return Some(format!("agents {observer} and {} differ in their digests", running[0]));
            }
            if own.sure != (running.len() * 2 > self.plan.agents) {
                return Some(format!(
                    "agent {observer} with {} of {} there: sure {}",
                    running.len(),
                    self.plan.agents,
                    own.sure
                ));
            }
        }
        None
    }
}

fn since_over(since: Option<f64>, at: f64, limit: f64) -> bool {
    since.is_some_and(|since| at - since > limit)
}

#[cfg(test)]
mod tests;
