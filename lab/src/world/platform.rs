//! How the platform starts the agent's program: nothing of our own surroundings reaches it, and where the platform holds the
//! clients' socket, that is its descriptor 7.

use std::net::{Ipv4Addr, TcpListener};
use std::os::fd::OwnedFd;
use std::path::Path;
use std::process::{Command, Stdio};
use std::time::Duration;

/// Protocol page, "Figures": SIGKILL comes no sooner than the longest deadline, of which 3 s count at the most, and 0.7 s more
/// after SIGTERM.
const DEADLINE_COUNTED_MOST: Duration = Duration::from_secs(3);
const KILL_SLACK: Duration = Duration::from_millis(700);

/// The loopback address at which this lab's agents listen. Another lab on this machine has another one: an agent that is down for a
/// moment must find its port free, and its clients must not reach somebody else's agent meanwhile.
pub fn own_loopback() -> Ipv4Addr {
    let [.., high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 1 + (high & 0x3f), low, 1)
}

/// How long after SIGTERM the platform kills a process, given the deadlines of its classes in milliseconds.
pub fn kill_after(deadlines_ms: impl Iterator<Item = f64>) -> Duration {
    let longest = deadlines_ms.fold(0.0, f64::max);
    Duration::from_secs_f64(longest / 1e3).min(DEADLINE_COUNTED_MOST) + KILL_SLACK
}

/// The words of the environment by which the platform tells an agent something.
const WORDS: [&str; 6] = ["LB_CONFIG", "LB_NAME", "LB_LISTEN", "LB_LISTEN_FD", "LB_DISCOVERY", "LB_ADMIN"];

/// What the deploy file's `run` tells the allocator.
pub const ALLOCATOR_VARIABLE: &str = "GLIBC_TUNABLES";
/// Freed buffers go back to the kernel.
pub const ALLOCATOR_SETTINGS: &str =
    "glibc.malloc.mmap_threshold=16384:glibc.malloc.mmap_max=100000:glibc.malloc.trim_threshold=131072:glibc.malloc.top_pad=0";

/// The program's command; with `held` it inherits that socket. Fails if the socket can't be copied.
pub fn command(program: &Path, held: Option<&TcpListener>) -> std::io::Result<Command> {
    let mut command = match held {
        None => Command::new(program),
        // The library hands on no descriptor but the first three; a shell moves one of those.
        Some(_) => {
            let mut shell = Command::new("sh");
            shell.args(["-c", "exec \"$0\" \"$@\" 7<&0 0</dev/null"]).arg(program);
            shell
        }
    };
    for word in WORDS {
        command.env_remove(word);
    }
    command.env(ALLOCATOR_VARIABLE, ALLOCATOR_SETTINGS);
    match held {
        None => command.stdin(Stdio::null()),
        Some(held) => command.stdin(Stdio::from(OwnedFd::from(held.try_clone()?))).env("LB_LISTEN_FD", "7"),
    };
    Ok(command)
}
