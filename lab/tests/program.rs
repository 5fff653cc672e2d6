//! The lab's own program: its commands, its exit status, and its errors.

use std::io::{BufRead, BufReader};
use std::process::{Child, Command, Output, Stdio};

fn lab(arguments: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_dilljunction-lab"));
    command.args(arguments).current_dir(std::env::temp_dir());
    command
}

fn output(arguments: &[&str]) -> (Output, String, String) {
    let output = lab(arguments).output().unwrap();
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    let (out, err) = (text(&output.stdout), text(&output.stderr));
    (output, out, err)
}

struct Running(Child);

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

#[test]
fn worlds_are_listed_and_a_wrong_one_is_named() {
    let (_, out, _) = output(&["worlds"]);
    for name in ["calm", "hearing-lists", "building-cut", "restart-storm", "rolling-drain", "everything"] {
        assert!(out.contains(name), "{out}");
    }
    let (end, _, err) = output(&["run", "nowhere"]);
    assert!(end.status.code() == Some(2) && err.contains("nowhere") && err.lines().count() == 1, "{err}");
    let (end, _, err) = output(&["run", "calm", "--agents", "0"]);
    assert!(end.status.code() == Some(2) && err.contains("calm: agents: is 0"), "{err}");
    assert!(output(&["--help"]).1.contains("standin"));
}

#[test]
fn an_agent_that_cannot_be_started_is_an_error_and_not_a_verdict() {
    let (end, _, err) = output(&["run", "calm", "--agent", "/no/such/program"]);
    assert!(end.status.code() == Some(2) && err.contains("/no/such/program"), "{err}");
    let (end, _, err) = output(&["run", "calm", "--agent", "/bin/true"]);
    assert!(end.status.code() == Some(2) && err.contains("has ended at its start"), "{err}");
}

#[test]
fn stand_ins_run_alone_and_say_where_they_listen() {
    let booking = lab(&["standin", "booking"]).stdout(Stdio::piped()).spawn();
    let mut booking = Running(booking.unwrap());
    let first_line = |running: &mut Running| {
        let mut line = String::new();
        BufReader::new(running.0.stdout.take().unwrap()).read_line(&mut line).unwrap();
        let said: serde_json::Value = serde_json::from_str(&line).unwrap();
        said["address"].as_str().unwrap().to_string()
    };
    let server = first_line(&mut booking);
    let link = lab(&["standin", "link", "--to", &server]).stdout(Stdio::piped()).spawn();
    let mut link = Running(link.unwrap());
    let link = (first_line(&mut link), link);
    let discovery = lab(&["standin", "discovery", "--to", &server]).stdout(Stdio::piped()).spawn();
    let mut discovery = Running(discovery.unwrap());
    let list = first_line(&mut discovery);
    let ask = |address: &str, path: &str| {
        use std::io::{Read, Write};
        let mut stream = std::net::TcpStream::connect(address).unwrap();
        write!(stream, "GET {path} HTTP/1.1\r\nX-Call-Id: a\r\n\r\n").unwrap();
        let mut start = [0; 15];
        stream.read_exact(&mut start).unwrap();
        String::from_utf8_lossy(&start).into_owned()
    };
    assert!(ask(&link.0, "/read-schedule").contains("200"));
    assert!(ask(&list, "/registry/instances").contains("200"));
    // Offices take a server for an agent as long as it answers.
    let offices =
        lab(&["standin", "offices", "--to", &server, "--rate", "50"]).stdout(Stdio::piped()).spawn();
    let mut offices = Running(offices.unwrap());
    let mut lines = BufReader::new(offices.0.stdout.take().unwrap()).lines();
    assert!(lines.any(|line| line.unwrap().contains("\"served\":")));
    let (end, _, err) = output(&["standin", "offices"]);
    assert!(end.status.code() == Some(2) && err.contains("--to"), "{err}");
    let (end, _, err) = output(&["standin", "link"]);
    assert!(end.status.code() == Some(2) && err.contains("--to"), "{err}");
}
