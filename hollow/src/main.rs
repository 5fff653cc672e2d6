//! `dilljunction-hollow`: many hollow agents on one thread. Orders come as lines of JSON on standard input and are answered on
//! standard output, see [`dilljunction_lab::scale::protocol`]. It ends when its input ends, or on SIGTERM.

mod host;

use host::{Host, HostError};
use std::process::ExitCode;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader, Stdin};
use tokio::signal::unix::{signal, SignalKind};
use tokio::task::LocalSet;

fn main() -> ExitCode {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let end = match runtime {
        Ok(runtime) => {
            let end = LocalSet::new().block_on(&runtime, run());
            // A read of standard input that is still out must not keep the program from its end.
            runtime.shutdown_background();
            end
        }
        Err(e) => Err(HostError::Runtime(e)),
    };
    match end {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("dilljunction-hollow: {fault}");
            ExitCode::FAILURE
        }
    }
}

async fn run() -> Result<(), HostError> {
    let mut term = signal(SignalKind::terminate()).map_err(HostError::Runtime)?;
    raise_descriptors();
    tokio::select! {
        end = serve() => end,
        _ = term.recv() => Ok(()),
    }
}

/// Hundreds of agents hold more descriptors than a shell allows by default.
fn raise_descriptors() {
    if let Ok((_, hard)) = rlimit::Resource::NOFILE.get() {
        let _ = rlimit::Resource::NOFILE.set(hard, hard);
    }
}

async fn serve() -> Result<(), HostError> {
    let mut host = Host::new();
    let mut orders = BufReader::new(tokio::io::stdin());
    let mut answers = tokio::io::stdout();
    while let Some(line) = next_line(&mut orders).await? {
        let mut answer = serde_json::to_vec(&host.carry_out(&line).await).map_err(HostError::Answer)?;
        answer.push(b'\n');
        answers.write_all(&answer).await.map_err(HostError::Output)?;
        answers.flush().await.map_err(HostError::Output)?;
    }
    Ok(())
}

/// The next order; nothing at the end of the input.
async fn next_line(orders: &mut BufReader<Stdin>) -> Result<Option<Vec<u8>>, HostError> {
    let most = dilljunction_lab::scale::protocol::LINE_MOST;
    let mut line = Vec::new();
    let length = orders.take(most as u64).read_until(b'\n', &mut line).await.map_err(HostError::Input)?;
    match length {
        0 => Ok(None),
        _ if line.ends_with(b"\n") => Ok(Some(line)),
        _ => Err(HostError::LongLine(most)),
    }
}
