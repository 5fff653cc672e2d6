//! Measures the cost of long bodies: `cargo run --release -p dilljunction --example long_transfers [PROGRAM]
//! [TRANSFERS]`.
//!
//! Requests short answers from one agent, alone and together with many 32 MB answers, first to clients that
//! read 64 kB a second and then to clients that read nothing. Prints the times of the short answers, the
//! agent's CPU time for each, and its memory. A program that does not support long bodies can be compared
//! with 0 transfers. Needs some 8,000 descriptors.

use dilljunction_lab::standins::hand::{config, config_file, request, serving, SETTINGS};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Builder;
use tokio::time::sleep;

const LONG: usize = 32 * 1024 * 1024;
const PIECE: usize = 16 * 1024;
const SHORT_ROUNDS: usize = 40_000;
const CLIENTS: usize = 8;
/// Allows 2,000 connections on either side.
const SOCKETS: usize = 4096;

/// A server with long answers to `/once`, and short ones to everything else.
async fn serve(listener: TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
        let _ = stream.set_nodelay(true);
        tokio::spawn(async move {
            let _ = answer(stream).await;
        });
    }
}

async fn answer(mut stream: TcpStream) -> std::io::Result<()> {
    let (mut head, piece) = (Vec::new(), [b'x'; PIECE]);
    loop {
        while !head.ends_with(b"\r\n\r\n") && !head.ends_with(b"\r\n\r\nbody") {
            if stream.read_buf(&mut head).await? == 0 {
                return Ok(());
            }
        }
        let length = if head.starts_with(b"POST /once") { LONG } else { 100 };
        head.clear();
        stream.write_all(format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n").as_bytes()).await?;
        for at in (0..length).step_by(PIECE) {
            stream.write_all(&piece[..PIECE.min(length - at)]).await?;
        }
    }
}

/// A memory value of the agent's process, in kB.
fn memory(agent: &Child, name: &str) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", agent.id())).expect("a process");
    let line = status.lines().find_map(|l| l.strip_prefix(name)).expect("a figure");
    line.trim_start_matches(':').trim().trim_end_matches(" kB").parse().expect("a number")
}

/// CPU time of the agent's process, in hundredths of a second.
fn cpu(agent: &Child) -> u64 {
    let stat = std::fs::read_to_string(format!("/proc/{}/stat", agent.id())).expect("a process");
    let fields: Vec<&str> = stat.rsplit_once(')').expect("a name").1.split_whitespace().collect();
    fields[11].parse::<u64>().expect("ticks") + fields[12].parse::<u64>().expect("ticks")
}

/// Requests short answers one after the other on each of a few connections, and prints their times and costs.
async fn short(what: &str, agent: &Child, address: SocketAddr) {
    let before = cpu(agent);
    let clients = (0..CLIENTS).map(|_| {
        tokio::spawn(async move {
            let mut stream = TcpStream::connect(address).await.expect("an agent");
            let _ = stream.set_nodelay(true);
            let (mut times, mut answer) = (Vec::new(), Vec::new());
            for _ in 0..SHORT_ROUNDS / CLIENTS {
                let text = request("read", 9000);
                let asked = Instant::now();
                stream.write_all(text.as_bytes()).await.expect("written");
                answer.clear();
                while !answer.ends_with(&[b'x'; 100]) {
                    assert!(stream.read_buf(&mut answer).await.expect("read") > 0, "closed");
                }
                times.push(asked.elapsed().as_micros() as u64);
            }
            times
        })
    });
    let mut times = Vec::new();
    for client in clients.collect::<Vec<_>>() {
        times.extend(client.await.expect("a client"));
    }
    times.sort_unstable();
    let at = |share: f64| times[(share * (times.len() - 1) as f64) as usize];
    let spent = (cpu(agent) - before) as f64 * 1e4 / times.len() as f64;
    println!(
        "{what}: short answers p50 {} us, p99 {} us, {spent:.0} us of CPU each; resident {} kB, highest {} kB",
        at(0.5),
        at(0.99),
        memory(agent, "VmRSS"),
        memory(agent, "VmHWM")
    );
}

/// A client that reads its long answer at `pace` bytes a second.
async fn read_slowly(address: SocketAddr, pace: usize) {
    let mut stream = TcpStream::connect(address).await.expect("an agent");
    stream.write_all(request("once", 9000).as_bytes()).await.expect("written");
    let mut piece = vec![0; (pace / 10).max(1)];
    loop {
        sleep(Duration::from_millis(100)).await;
        if pace > 0 && stream.read_exact(&mut piece).await.is_err() {
            return;
        }
    }
}

async fn measure(agent: &Child, address: SocketAddr, transfers: usize) {
    sleep(Duration::from_secs(1)).await;
    println!("idle: resident {} kB", memory(agent, "VmRSS"));
    short("alone", agent, address).await;
    for (what, pace) in [("read at 64 kB a second", 64_000), ("not read at all", 0)] {
        if transfers == 0 {
            return;
        }
        let mut slow = Vec::new();
        for _ in 0..transfers {
            slow.push(tokio::spawn(read_slowly(address, pace)));
            sleep(Duration::from_millis(2)).await;
        }
        short(&format!("beside {transfers} answers of 32 MB {what}"), agent, address).await;
        slow.iter().for_each(|task| task.abort());
        sleep(Duration::from_secs(2)).await;
    }
}

fn main() {
    let mut arguments = std::env::args().skip(1);
    let here = std::env::current_exe().expect("a program");
    let beside = here.parent().and_then(|folder| folder.parent()).expect("a folder").join("dilljunction");
    let program = arguments.next().unwrap_or_else(|| beside.display().to_string());
    let transfers = arguments.next().map_or(1000, |text| text.parse().expect("a number of transfers"));
    let servers: Vec<String> = (0..6)
        .map(|n| {
            let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
            listener.set_nonblocking(true).expect("a socket");
            let address = listener.local_addr().expect("a port");
            std::thread::spawn(move || {
                let runtime = Builder::new_current_thread().enable_all().build().expect("a runtime");
                runtime.block_on(async { serve(TcpListener::from_std(listener).expect("a socket")).await });
            });
            serving(&format!("s{n}"), address)
        })
        .collect();
    let nobody = "127.0.0.1:1".parse().expect("an address");
    let text = config(nobody, &servers.join(","), SETTINGS, SOCKETS);
    let text = text.replace(r#""limits":{"sockets""#, r#""limits":{"memory_mb":256,"sockets""#);
    let mut agent = Command::new(&program)
        .env("LB_CONFIG", config_file(&text))
        .stderr(Stdio::piped())
        .spawn()
        .unwrap_or_else(|e| panic!("{program}: {e}"));
    let mut log = BufReader::new(agent.stderr.take().expect("its log")).lines();
    let address = log
        .find_map(|line| line.ok()?.split_once("listening on ")?.1.trim().parse().ok())
        .expect("an agent that listens");
    std::thread::spawn(move || log.for_each(drop));
    let runtime = Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(measure(&agent, address, transfers));
    let _ = agent.kill();
    let _ = agent.wait();
}
