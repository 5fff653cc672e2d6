//! Members that are broken on purpose: what they send, hear or say is not what it should be. The flaw lies round the sound
//! member, in virtual time round its state machine, in the rig round its process (its packets pass the switch, its view the
//! reader). Each is found by the judge in a named world, in which the sound program keeps every rule.

use crate::fleet::checker::Rule;
use crate::fleet::evidence::{Belief, Seen};
use dilljunction_cluster::envelope::{open, seal, Channel};
use dilljunction_cluster::member::{Generation, Identity};
use foca::Header;
use std::collections::BTreeMap;

/// The member that is broken, by number.
pub const BROKEN: usize = 1;
/// How often one that wakes rashly is read before it knows better.
const RASH_READS: u32 = 10;
/// Packets that are sent as they should be before one falls mute.
const SENT_BEFORE_MUTE: u32 = 150;

/// What is wrong with a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Flaw {
    /// Whoever suspects it is never contradicted.
    NeverRefutes,
    /// Whoever is gone stays alive in its view.
    KeepsTheDead,
    /// After a start with a clock that has stepped back it stays in its low life.
    StaysInAnOldLife,
    /// It takes every packet's life for the present one of its sender.
    BelievesReplays,
    /// It stands in its own view twice.
    AddsItselfTwice,
    /// After a stop it takes the time for time that the others were silent.
    AllGoneOnWaking,
    /// It is sure of whatever it believes.
    AlwaysSure,
    /// It runs and hears, and after a while nobody can read what it says.
    FallsMute,
}

/// Each flaw, the world that shows it, and the rule that it breaks there.
pub const PROOFS: [(Flaw, &str, Rule); 8] = [
    (Flaw::NeverRefutes, "suspected", Rule::Settles),
    (Flaw::KeepsTheDead, "kill-one", Rule::Settles),
    (Flaw::StaysInAnOldLife, "clock-back", Rule::Settles),
    (Flaw::BelievesReplays, "old-packets", Rule::LivesRise),
    (Flaw::AddsItselfTwice, "kill-one", Rule::WellFormed),
    (Flaw::AllGoneOnWaking, "stop-one", Rule::WakesGently),
    (Flaw::AlwaysSure, "cut-one", Rule::KnowsItsLimits),
    (Flaw::FallsMute, "one-pair", Rule::NobodyLost),
];

impl Flaw {
    /// Its word on the command line.
    pub fn word(self) -> &'static str {
        match self {
            Flaw::NeverRefutes => "never-refutes",
            Flaw::KeepsTheDead => "keeps-the-dead",
            Flaw::StaysInAnOldLife => "stays-in-an-old-life",
            Flaw::BelievesReplays => "believes-replays",
            Flaw::AddsItselfTwice => "adds-itself-twice",
            Flaw::AllGoneOnWaking => "all-gone-on-waking",
            Flaw::AlwaysSure => "always-sure",
            Flaw::FallsMute => "falls-mute",
        }
    }

    /// The one with this word.
    pub fn find(word: &str) -> Result<Flaw, String> {
        let found = PROOFS.iter().map(|(flaw, _, _)| *flaw).find(|flaw| flaw.word() == word);
        found.ok_or_else(|| {
            let words: Vec<&str> = PROOFS.iter().map(|(flaw, _, _)| flaw.word()).collect();
            format!("{word}: no such flaw ({})", words.join(", "))
        })
    }
}

/// A broken member's own memory.
pub struct Broken {
    flaw: Flaw,
    /// The life of its present start, once it has sent something.
    first_life: Option<Generation>,
    /// The life in the last packet of each other.
    heard: BTreeMap<usize, u64>,
    /// How often it will still say that all are gone, after a stop.
    rash: u32,
    /// Packets that it has sent since its start.
    sent: u32,
}

impl Broken {
    /// One that has not started yet.
    pub fn new(flaw: Flaw) -> Broken {
        Broken { flaw, first_life: None, heard: BTreeMap::new(), rash: 0, sent: 0 }
    }

    /// It starts, from nothing.
    pub fn starts(&mut self) {
        *self = Broken::new(self.flaw);
    }

    /// What it sends in place of this packet.
    pub fn sends(&mut self, packet: Vec<u8>) -> Vec<u8> {
        self.sent += 1;
        if self.flaw == Flaw::FallsMute && self.sent > SENT_BEFORE_MUTE {
            return vec![0; packet.len()];
        }
        let Ok((Channel::Swim, body)) = open(&packet) else { return packet };
        let Ok((mut header, rest)) = postcard::take_from_bytes::<Header<Identity>>(body) else {
            return packet;
        };
        match self.flaw {
            Flaw::NeverRefutes => (header.src_incarnation, header.src.incarnation) = (0, 0),
            Flaw::StaysInAnOldLife => {
                header.src.generation = *self.first_life.get_or_insert(header.src.generation)
            }
            _ => return packet,
        }
        let Ok(mut changed) = postcard::to_allocvec(&header) else { return packet };
        changed.extend_from_slice(rest);
        seal(Channel::Swim, &changed)
    }

    /// It hears this packet besides whatever its view makes of it.
    pub fn hears(&mut self, packet: &[u8]) {
        let Ok((Channel::Swim, body)) = open(packet) else { return };
        if let Ok((header, _)) = postcard::take_from_bytes::<Header<Identity>>(body) {
            self.heard.insert(usize::from(header.src.number.0), header.src.generation.into());
        }
    }

    /// It goes on after a stop.
    pub fn wakes(&mut self) {
        if self.flaw == Flaw::AllGoneOnWaking {
            self.rash = RASH_READS;
        }
    }

    /// What it says in place of this.
    pub fn says(&mut self, mut seen: Seen) -> Seen {
        match self.flaw {
            Flaw::KeepsTheDead => seen.lines.iter_mut().for_each(|line| line.2 = Belief::Alive),
            Flaw::BelievesReplays => {
                for (member, life, _) in &mut seen.lines {
                    *life = self.heard.get(member).copied().unwrap_or(*life);
                }
            }
            Flaw::AddsItselfTwice => seen.lines.push((BROKEN, seen.life, Belief::Alive)),
            Flaw::AlwaysSure => seen.sure = true,
            Flaw::AllGoneOnWaking if self.rash > 0 => {
                self.rash -= 1;
                let others = seen.lines.iter_mut().filter(|line| line.0 != BROKEN);
                others.for_each(|line| line.2 = Belief::Gone);
            }
            _ => {}
        }
        seen
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::fleet::checker::judge;
    use crate::fleet::plan::Plan;
    use crate::fleet::simulate::simulate;

    #[test]
    fn every_flaw_is_found_in_its_world_and_the_sound_program_is_not_accused_there() {
        for (flaw, world, rule) in PROOFS {
            let plan = Plan::find(world).unwrap();
            let sound = judge(&plan, &simulate(&plan, None).evidence);
            assert!(sound.kept(), "{world}: {:#?}", sound.breaches);
            let broken = judge(&plan, &simulate(&plan, Some(flaw)).evidence);
            assert!(broken.count(rule) > 0, "{} in {world}: {:#?}", flaw.word(), broken.breaches);
            assert_eq!(Flaw::find(flaw.word()), Ok(flaw));
        }
    }
}
