//! Whether all views are one and true, kept up to date entry by entry. An entry changes what one member says, or what the others
//! should say of it, so only that part is counted again: to look at every pair of members after each entry took minutes of
//! processor time with 1,600 members.

use super::member::Member;
use crate::fleet::evidence::{Belief, Entry};

/// The opinions that an entry may make right or wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Scope {
    /// None.
    Nothing,
    /// What the first member says of the second.
    Opinion(usize, usize),
    /// All that a member says, and all that is said of it.
    Member(usize),
}

impl Scope {
    /// That of an entry which is taken next.
    pub fn of(entry: &Entry, members: &[Member]) -> Scope {
        match entry {
            Entry::Says { observer, member, .. } => Scope::Opinion(*observer, *member),
            Entry::Stands { observer, life, .. } => match members[*observer].own_life {
                Some(own) if own == *life => Scope::Nothing,
                _ => Scope::Member(*observer),
            },
            Entry::Started(member)
            | Entry::Ended(member)
            | Entry::Ending(member)
            | Entry::Crashed(member)
            | Entry::Stopped(member)
            | Entry::Continued(member)
            | Entry::Upgraded(member) => Scope::Member(*member),
            Entry::Began(..) | Entry::Over(..) | Entry::Flooded(_) | Entry::Odd { .. } => Scope::Nothing,
        }
    }

    /// How many opinions of running members in it are wrong.
    pub fn count_wrong(self, members: &[Member]) -> usize {
        match self {
            Scope::Nothing => 0,
            Scope::Opinion(observer, member) => usize::from(is_wrong(members, observer, member)),
            Scope::Member(member) => (0..members.len())
                .map(|other| {
                    let said_by = usize::from(is_wrong(members, member, other));
                    said_by + usize::from(is_wrong(members, other, member))
                })
                .sum(),
        }
    }
}

/// Whether a running member says something of another that is not true.
fn is_wrong(members: &[Member], observer: usize, member: usize) -> bool {
    let counts = observer != member && member < members.len() && members[observer].is_awake();
    counts && !is_right(members, observer, member)
}

/// Whether what a member says of another is true.
pub(super) fn is_right(members: &[Member], observer: usize, member: usize) -> bool {
    let subject = &members[member];
    match members[observer].opinions[member] {
        None => !subject.is_awake(),
        Some(opinion) if subject.is_awake() => {
            opinion.belief == Belief::Alive && Some(opinion.life) == subject.own_life
        }
        Some(opinion) => opinion.belief == Belief::Gone,
    }
}

/// Whether all that run have one digest, and take their views for the fleet's exactly if most of the fleet runs.
pub(super) fn standings_agree(members: &[Member], running: &[usize]) -> bool {
    let most_run = running.len() * 2 > members.len();
    let digest = running.first().map(|first| members[*first].digest);
    running
        .iter()
        .map(|number| &members[*number])
        .all(|member| member.own_life.is_some() && Some(member.digest) == digest && member.sure == most_run)
}

#[cfg(test)]
mod tests;
