//! The cases 6 to 10 of the review: `review-standins-2 CASE FOLDER` plays one, writes `record.txt` into FOLDER and
//! exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. `TROUBLE=0` leaves the
//! disruption out.

mod cells;
mod cut_zone;
mod door;
mod left_client;
mod slow_discovery;
mod upgrade;
mod world;

use std::path::PathBuf;

fn main() {
    let mut arguments = std::env::args().skip(1);
    let case = arguments.next().unwrap_or_default();
    let folder = arguments.next().map(PathBuf::from);
    let Some(folder) = folder.filter(|folder| folder.is_dir()) else {
        world::cannot_run("usage: review-standins-2 CASE FOLDER")
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    // No case takes longer than 90 s; one that hangs could not run.
    std::thread::spawn(|| {
        std::thread::sleep(std::time::Duration::from_secs(112));
        world::cannot_run("it has not ended after 112 s");
    });
    let broken = match case.as_str() {
        "slow-discovery" => slow_discovery::play(&folder, trouble),
        "cut-zone" => cut_zone::play(&folder, trouble),
        "door" => door::play(&folder, trouble),
        "upgrade" => upgrade::play(&folder, trouble),
        "left-client" => left_client::play(&folder, trouble),
        _ => world::cannot_run("no such case"),
    };
    println!("{}", if broken { "the rule was BROKEN" } else { "the rule held" });
    world::end(i32::from(broken));
}
