//! Takes faults out of a schedule that fails for as long as it goes on failing, so that what is left is what matters.

use crate::fleet::plan::{Fault, Plan};
use crate::shrink::fewest;

/// The fewest faults of `plan` with which `fails` still says yes. It is asked at most `tries` times, and the plan itself must fail.
pub fn shrink(plan: &Plan, tries: usize, mut fails: impl FnMut(&Plan) -> bool) -> Plan {
    let of = |fault: &[Fault]| Plan { fault: fault.to_vec(), ..plan.clone() };
    let fault = fewest(&plan.fault, tries, |fault| fails(&of(fault)));
    let name = format!("{}-shrunk", plan.name);
    let about = format!("{}, the fewest faults that still fail", plan.about);
    Plan { name, about, ..of(&fault) }
}

#[cfg(test)]
mod tests;
