//! `dilljunction-lab capacity`: writes the capacity page, or checks that it is up to date.

use clap::Args;
use dilljunction_lab::capacity::documents::{Documents, FOLDER, PAGE};
use std::path::{Path, PathBuf};

#[derive(Args)]
pub struct CapacityArguments {
    /// Write nothing; exit status 1 if the page differs from what template, measurements and target give
    #[arg(long)]
    check: bool,
    /// The repository's root, which holds docs/capacity/; by default the one that this program was built from
    #[arg(long, value_name = "FOLDER")]
    root: Option<PathBuf>,
}

pub fn run(arguments: &CapacityArguments) -> Result<bool, String> {
    let built_from = || Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let documents = Documents::of(&arguments.root.clone().unwrap_or_else(built_from));
    let done = if arguments.check { documents.check() } else { documents.write() };
    let unread = match done {
        Ok(unread) => unread,
        Err(fault) if arguments.check => {
            eprintln!("dilljunction-lab: {fault}");
            return Ok(false);
        }
        Err(fault) => return Err(fault.to_string()),
    };
    for name in unread {
        eprintln!("dilljunction-lab: {FOLDER}/{name}.json: nothing on the page reads it");
    }
    println!("{PAGE}: {}", if arguments.check { "up to date" } else { "written" });
    Ok(true)
}
