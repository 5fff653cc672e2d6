//! What goes wrong in a large fleet, by name, for any number of members.

use crate::fleet::plan::{Fault, Kind, Knows, Plan};
use crate::fleet::topology::{Topology, MACHINE, RACK};

/// Agents that are restarted together.
const RESTARTED: usize = 16;
/// The zone and the region that are cut off.
const ZONE: usize = 3;
const REGION: usize = 2;
/// How long they are, in seconds: longer than any suspicion lasts.
const ZONE_CUT: f64 = 20.0;
const REGION_CUT: f64 = 30.0;
/// How long a restart takes, in seconds.
const RESTART: f64 = 2.0;

/// The schedules.
pub const NAMES: [&str; 8] = ["start", "machine", "rack", "zone", "region", "restarts", "all", "short"];

/// The schedule with this name for so many members.
pub fn schedule(name: &str, members: usize, seed: u64) -> Result<Plan, String> {
    let topology = Topology::new(members);
    let zone = |lasts: f64| (Kind::Partition, topology.in_zone(ZONE), lasts);
    let region = (Kind::Partition, topology.in_region(REGION), REGION_CUT);
    // Numbers of another zone than the one that is cut off, so that one fault does not hide another.
    let machine = (Kind::Kill, topology.in_zone(0).into_iter().take(MACHINE).collect(), 0.0);
    let rack = (Kind::Kill, topology.in_zone(8).into_iter().take(RACK).collect(), 0.0);
    let restarts = (Kind::Restart, spread(topology.in_region(5), RESTARTED), RESTART);
    let faults: Vec<(f64, (Kind, Vec<usize>, f64))> = match name {
        "start" => vec![],
        "machine" => vec![(0.0, machine)],
        "rack" => vec![(0.0, rack)],
        "zone" => vec![(0.0, zone(ZONE_CUT))],
        "region" => vec![(0.0, region)],
        "restarts" => vec![(0.0, restarts)],
        "all" => vec![(0.0, machine), (15.0, restarts), (30.0, rack), (50.0, zone(ZONE_CUT)), (90.0, region)],
        "short" => vec![
            (0.0, zone(6.0)),
            (1.0, machine),
            (12.0, (Kind::Restart, spread(topology.in_region(5), 2), 0.5)),
        ],
        _ => return Err(format!("{name}: no such schedule ({})", NAMES.join(", "))),
    };
    let fault = |(at, (kind, members, lasts))| Fault { kind, at, lasts, members, amount: 0.0 };
    let fault = faults.into_iter().map(fault).collect();
    let about = format!("{name}, {members} members in 7 regions and 16 zones");
    Ok(Plan { name: name.into(), about, agents: members, seed, knows: Knows::All, fault })
}

/// So many of them at most, evenly.
fn spread(members: Vec<usize>, most: usize) -> Vec<usize> {
    let step = members.len().div_ceil(most).max(1);
    members.into_iter().step_by(step).collect()
}

/// Whether hollow agents can take part: what stops or ends a process gently, or changes its clock, is for `fleet`.
pub fn check(plan: &Plan) -> Result<(), String> {
    plan.check().map_err(|(key, reason)| format!("{}: {key}: {reason}", plan.name))?;
    let fits = |kind: Kind| kind.is_network() || matches!(kind, Kind::Kill | Kind::Restart);
    match plan.fault.iter().find(|fault| !fits(fault.kind)) {
        Some(fault) => {
            let (name, word) = (&plan.name, fault.kind.word());
            Err(format!(
                "{name}: {word} happens to processes, and hollow agents share theirs; `fleet` plays it"
            ))
        }
        None => Ok(()),
    }
}

#[cfg(test)]
mod tests;
