//! The preloaded library (`lab/preload`), which makes system calls fail and the wall clock step in one process: built when it is
//! first asked for, beside the program that asks.

use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::OnceLock;

/// Where the library reads what is to go wrong.
pub const FAULTS: &str = "DILLJUNCTION_FAULTS";
/// What the loader is told.
pub const PRELOAD: &str = "LD_PRELOAD";

/// The library, built if need be; the error says what cargo said.
pub fn library() -> Result<&'static Path, String> {
    static LIBRARY: OnceLock<Result<PathBuf, String>> = OnceLock::new();
    LIBRARY.get_or_init(build).as_deref().map_err(Clone::clone)
}

fn build() -> Result<PathBuf, String> {
    let here = std::env::current_exe().map_err(|e| e.to_string())?;
    // target/PROFILE/program, or target/PROFILE/deps/test.
    let is_profile = |folder: &&Path| folder.ends_with("release") || folder.ends_with("debug");
    let folder = here.ancestors().find(is_profile).ok_or("this program lies in no folder of cargo's")?;
    let mut cargo = Command::new(std::env::var("CARGO").unwrap_or_else(|_| "cargo".into()));
    let manifest = Path::new(env!("CARGO_MANIFEST_DIR")).join("preload/Cargo.toml");
    cargo.args(["build", "--quiet", "--locked", "--manifest-path"]).arg(manifest);
    if let Some(target) = folder.parent() {
        cargo.arg("--target-dir").arg(target);
    }
    if folder.ends_with("release") {
        cargo.arg("--release");
    }
    let built = cargo.output().map_err(|e| format!("cannot start cargo: {e}"))?;
    let library = folder.join("libdilljunction_preload.so");
    if !built.status.success() || !library.exists() {
        return Err(format!("no preloaded library: {}", String::from_utf8_lossy(&built.stderr).trim()));
    }
    Ok(library)
}
