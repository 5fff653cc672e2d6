//! Where members stand: regions, zones in them, racks in those, and what a packet meets on its way from one to another.

use std::time::Duration;

/// The region of each zone: 16 zones in 7 regions, of which two have three zones.
pub const REGION_OF_ZONE: [usize; 16] = [0, 0, 0, 1, 1, 1, 2, 2, 3, 3, 4, 4, 5, 5, 6, 6];
/// Regions, as [`REGION_OF_ZONE`] numbers them.
pub const REGIONS: usize = 7;
/// Members behind one switch at most.
pub const RACK: usize = 20;
/// Agents of one machine at most.
pub const MACHINE: usize = 4;

/// One way within a zone, and between two zones of a region.
const WITHIN_ZONE: Duration = Duration::from_micros(300);
const WITHIN_REGION: Duration = Duration::from_millis(1);
/// One way between regions: from the nearest to the farthest.
const NEAREST_REGION: Duration = Duration::from_millis(10);
const FARTHEST_REGION: Duration = Duration::from_millis(40);
/// Packets between regions that get lost.
const LOSS_BETWEEN_REGIONS: f64 = 0.001;

/// What lies between two members.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Link {
    /// How long a packet takes, one way.
    pub latency: Duration,
    /// With which probability it is lost.
    pub loss: f64,
}

/// A fleet spread over [`REGION_OF_ZONE`]; members of a zone have numbers in a row.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Topology {
    members: usize,
}

impl Topology {
    /// For so many members, at least one.
    pub fn new(members: usize) -> Topology {
        Topology { members: members.max(1) }
    }

    /// The zone of a member.
    pub fn zone(self, member: usize) -> usize {
        (member * REGION_OF_ZONE.len() / self.members).min(REGION_OF_ZONE.len() - 1)
    }

    /// The region of a member.
    pub fn region(self, member: usize) -> usize {
        REGION_OF_ZONE[self.zone(member)]
    }

    /// The members of a zone.
    pub fn in_zone(self, zone: usize) -> Vec<usize> {
        (0..self.members).filter(|m| self.zone(*m) == zone).collect()
    }

    /// The members of a region.
    pub fn in_region(self, region: usize) -> Vec<usize> {
        (0..self.members).filter(|m| self.region(*m) == region).collect()
    }

    /// What lies between two members.
    pub fn link(self, from: usize, to: usize) -> Link {
        let (here, there) = (self.region(from), self.region(to));
        if here != there {
            return Link { latency: between_regions(here, there), loss: LOSS_BETWEEN_REGIONS };
        }
        let same_zone = self.zone(from) == self.zone(to);
        Link { latency: if same_zone { WITHIN_ZONE } else { WITHIN_REGION }, loss: 0.0 }
    }
}

/// Regions stand in a ring: the farther round, the longer the way.
fn between_regions(here: usize, there: usize) -> Duration {
    let apart = here.abs_diff(there);
    let steps = apart.min(REGIONS - apart) as u32;
    let most = REGIONS as u32 / 2;
    NEAREST_REGION + (FARTHEST_REGION - NEAREST_REGION) * steps.saturating_sub(1) / (most - 1)
}

#[cfg(test)]
mod tests;
