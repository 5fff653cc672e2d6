//! Adds up the `tally` lines of many agents' logs, second by second: what is harmless in one agent shows in the sum.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;

/// The sums of one second over all agents.
#[derive(Debug, Default)]
struct Second {
    agents: usize,
    counts: BTreeMap<String, u64>,
    levels: BTreeMap<String, u64>,
}

/// The fleet's sums, by second of the first line.
#[derive(Debug, Default)]
pub struct Fleet {
    seconds: BTreeMap<u64, Second>,
}

impl Fleet {
    /// Takes in one log. Lines that are no tally are skipped, whatever stands before the word on a line that is one.
    /// Returns how many lines counted.
    pub fn read(&mut self, log: &str) -> usize {
        log.lines().filter(|line| self.read_line(line).is_some()).count()
    }

    fn read_line(&mut self, line: &str) -> Option<()> {
        let (_, rest) = line.split_once("dilljunction: tally ")?;
        let (counts, levels) = rest.split_once('|')?;
        let (at, counts) = counts.split_once(' ')?;
        let (at, counts, levels): (u64, _, _) = (at.parse().ok()?, pairs(counts)?, pairs(levels)?);
        let second = self.seconds.entry(at / 1000).or_default();
        second.agents += 1;
        let add = |sums: &mut BTreeMap<String, u64>, new: Vec<(&str, u64)>| {
            for (word, n) in new {
                let sum = sums.entry(word.to_string()).or_default();
                *sum = sum.saturating_add(n);
            }
        };
        add(&mut second.counts, counts);
        add(&mut second.levels, levels);
        Some(())
    }

    /// A table, one line a second: how many agents told, their counts and, as means for an agent, their levels; last,
    /// the counts of the whole time for each request.
    pub fn table(&self) -> String {
        let words = |of: fn(&Second) -> &BTreeMap<String, u64>| -> BTreeSet<&str> {
            self.seconds.values().flat_map(|s| of(s).keys().map(String::as_str)).collect()
        };
        let (counts, levels) = (words(|s| &s.counts), words(|s| &s.levels));
        let mut out = String::from("second agents");
        counts.iter().chain(&levels).for_each(|word| _ = write!(out, " {word}"));
        let first = self.seconds.keys().next().copied().unwrap_or(0);
        let mut totals: BTreeMap<&str, u64> = BTreeMap::new();
        for (at, second) in &self.seconds {
            let _ = write!(out, "\n{:6} {:6}", at - first, second.agents);
            for word in &counts {
                let n = second.counts.get(*word).copied().unwrap_or(0);
                *totals.entry(word).or_default() += n;
                let _ = write!(out, " {n:w$}", w = word.len());
            }
            for word in &levels {
                let mean =
                    second.levels.get(*word).copied().unwrap_or(0) as f64 / second.agents.max(1) as f64;
                let _ = write!(out, " {mean:w$.1}", w = word.len());
            }
        }
        let requests = totals.get("requests").copied().unwrap_or(0).max(1) as f64;
        let _ = write!(out, "\na request     ");
        for word in &counts {
            let _ = write!(out, " {:w$.3}", totals[*word] as f64 / requests, w = word.len());
        }
        out.push('\n');
        out
    }
}

fn pairs(text: &str) -> Option<Vec<(&str, u64)>> {
    text.split_whitespace()
        .map(|pair| {
            let (word, n) = pair.split_once('=')?;
            Some((word, n.parse().ok()?))
        })
        .collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn counts_of_all_agents_are_added_up_by_second_and_other_lines_are_skipped() {
        let mut fleet = Fleet::default();
        let one = "0.1 dilljunction: tally 5100 requests=3 sends=4 | open=10\ndilljunction: server 4 silent: suspect\n";
        let other =
            "dilljunction: tally 5900 requests=1 | open=20\ndilljunction: tally 6900 sends=9 | open=2\n";
        assert_eq!(fleet.read(one) + fleet.read(other), 3);
        assert_eq!(
            fleet.read("dilljunction: tally 9 sends=x |\ndilljunction: tally |\ndilljunction: tally 5 a=1"),
            0
        );
        let table = fleet.table();
        let lines: Vec<Vec<&str>> = table.lines().map(|line| line.split_whitespace().collect()).collect();
        assert_eq!(lines[0], ["second", "agents", "requests", "sends", "open"]);
        assert_eq!(lines[1], ["0", "2", "4", "4", "15.0"]);
        assert_eq!(lines[2], ["1", "1", "0", "9", "2.0"]);
        assert_eq!(lines[3], ["a", "request", "1.000", "3.250"]);
    }
}
