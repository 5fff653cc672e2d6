//! What people see while a schedule is played by real processes: who says what of whom, now.

use crate::fleet::evidence::{Belief, Seen};
use std::collections::BTreeMap;
use std::fmt::Write;

/// Agents that are shown one by one; of more only how many say the same is.
const SHOWN_MOST: usize = 50;

/// How a process is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Runs {
    /// It does not run.
    Not,
    /// It runs.
    Yes,
    /// It is stopped.
    Stopped,
}

/// A fleet at a moment, from outside.
#[derive(Debug, Clone)]
pub struct Look {
    /// Seconds since the fleet had settled first.
    pub at: f64,
    /// How each process is.
    pub runs: Vec<Runs>,
    /// What each said last.
    pub views: Vec<Option<Seen>>,
    /// The faults that hold.
    pub faults: Vec<String>,
}

impl Look {
    /// A line for each agent: how it is, and a sign for what it says of each member.
    pub fn picture(&self) -> String {
        let mut text = format!("{}\n", self.line());
        if self.runs.len() <= SHOWN_MOST {
            text.push_str("  . alive  ? suspect  x gone  - never heard of  # itself\n");
            for (m, (runs, view)) in self.runs.iter().zip(&self.views).enumerate() {
                let word = match runs {
                    Runs::Not => "away",
                    Runs::Yes => "runs",
                    Runs::Stopped => "stopped",
                };
                let said = view.as_ref().filter(|_| *runs != Runs::Not);
                let signs: String = (0..self.runs.len()).map(|other| sign(said, m, other)).collect();
                let rest = said.map_or(String::new(), |seen| {
                    format!("  {:016x}{}", seen.digest, if seen.sure { "" } else { "  not sure" })
                });
                let _ = writeln!(text, "  {m:>4} {word:7} {signs}{rest}");
            }
        }
        text
    }

    /// The same in one line: how many run, how many different views there are and how many hold each, how many are sure.
    pub fn line(&self) -> String {
        let running: Vec<&Option<Seen>> =
            self.runs.iter().zip(&self.views).filter(|(r, _)| **r != Runs::Not).map(|(_, v)| v).collect();
        let mut views: BTreeMap<u64, usize> = BTreeMap::new();
        running.iter().filter_map(|v| v.as_ref()).for_each(|v| *views.entry(v.digest).or_default() += 1);
        let mut sizes: Vec<usize> = views.into_values().collect();
        sizes.sort_unstable_by(|a, b| b.cmp(a));
        let sizes: Vec<String> = sizes.iter().map(usize::to_string).collect();
        let sure = running.iter().filter(|v| v.as_ref().is_some_and(|v| v.sure)).count();
        let faults = if self.faults.is_empty() { "-".to_string() } else { self.faults.join("; ") };
        format!(
            "{:6.1} s: {} of {} run, views {}, {sure} sure; faults: {faults}",
            self.at,
            running.len(),
            self.runs.len(),
            if sizes.is_empty() { "-".to_string() } else { sizes.join("+") }
        )
    }
}

fn sign(said: Option<&Seen>, observer: usize, member: usize) -> char {
    let Some(seen) = said else { return ' ' };
    if observer == member {
        return '#';
    }
    match seen.lines.iter().find(|line| line.0 == member).map(|line| line.2) {
        Some(Belief::Alive) => '.',
        Some(Belief::Suspect) => '?',
        Some(Belief::Gone) => 'x',
        None => '-',
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_picture_tells_who_says_what_and_a_line_how_many_views_there_are() {
        let seen = |digest, sure, lines: &[(usize, Belief)]| {
            let lines = lines.iter().map(|(m, belief)| (*m, 1, *belief)).collect();
            Some(Seen { life: 1, digest, sure, lines })
        };
        use Belief::*;
        let look = Look {
            at: 2.5,
            runs: vec![Runs::Yes, Runs::Stopped, Runs::Not, Runs::Yes],
            views: vec![
                seen(7, true, &[(0, Alive), (1, Suspect), (2, Gone)]),
                seen(8, false, &[(1, Alive), (0, Alive), (3, Alive)]),
                seen(9, true, &[(2, Alive)]),
                None,
            ],
            faults: vec!["stop 1".into()],
        };
        assert_eq!(look.line(), "   2.5 s: 3 of 4 run, views 1+1, 1 sure; faults: stop 1");
        let picture = look.picture();
        let lines: Vec<&str> = picture.lines().collect();
        assert_eq!(lines.len(), 6);
        assert_eq!(lines[2], "     0 runs    #?x-  0000000000000007");
        assert_eq!(lines[3], "     1 stopped .#-.  0000000000000008  not sure");
        assert_eq!((lines[4].trim(), lines[5].trim()), ("2 away", "3 runs"));
    }
}
