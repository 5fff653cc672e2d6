//! What goes wrong in a large fleet, by name, for any number of members.

use crate::fleet::plan::{Fault, Kind, Knows, Plan};
use crate::fleet::topology::{Topology, MACHINE, RACK};

/// Agents that are restarted together.
const RESTARTED: usize = 16;
/// The zone and the region that are cut off.
const ZONE: usize = 3;
const REGION: usize = 2;
/// Where the machine and the rack stand, and the agents that are restarted.
const MACHINE_ZONE: usize = 10;
const RACK_ZONE: usize = 8;
const RESTARTS_REGION: usize = 5;
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
    let fault = |at, kind, members, lasts| Fault { kind, at, lasts, members, amount: 0.0 };
    let zone = |at, lasts| fault(at, Kind::Partition, topology.in_zone(ZONE), lasts);
    let region = |at| fault(at, Kind::Partition, topology.in_region(REGION), REGION_CUT);
    // Other zones than the one that is cut off, so that one fault does not hide another.
    let few = |zone, most| topology.in_zone(zone).into_iter().take(most).collect();
    let machine = |at| fault(at, Kind::Kill, few(MACHINE_ZONE, MACHINE), 0.0);
    let rack = |at| fault(at, Kind::Kill, few(RACK_ZONE, RACK), 0.0);
    let restarts =
        |at, most, lasts| fault(at, Kind::Restart, spread(topology.in_region(RESTARTS_REGION), most), lasts);
    let fault = match name {
        "start" => vec![],
        "machine" => vec![machine(0.0)],
        "rack" => vec![rack(0.0)],
        "zone" => vec![zone(0.0, ZONE_CUT)],
        "region" => vec![region(0.0)],
        "restarts" => vec![restarts(0.0, RESTARTED, RESTART)],
        "all" => {
            vec![
                machine(0.0),
                restarts(15.0, RESTARTED, RESTART),
                rack(30.0),
                zone(50.0, ZONE_CUT),
                region(90.0),
            ]
        }
        "short" => vec![zone(0.0, 6.0), machine(1.0), restarts(12.0, 2, 0.5)],
        _ => return Err(format!("{name}: no such schedule ({})", NAMES.join(", "))),
    };
    let about = format!("{name}, {members} members in 7 regions and 16 zones");
    Ok(Plan { name: name.into(), about, agents: members, seed, knows: Knows::All, fault })
}

/// So many of them at most, evenly.
pub(super) fn spread(members: Vec<usize>, most: usize) -> Vec<usize> {
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
