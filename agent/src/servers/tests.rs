use super::*;
use crate::list::ListReply;

const WAIT: Duration = Duration::from_secs(1);

fn servers() -> (Servers, std::rc::Rc<Pool>) {
    (Servers::new(&[], &[], WAIT), Pool::new(4, WAIT, WAIT))
}

fn lines(text: &str) -> Lines {
    let reply: ListReply = serde_json::from_str(&format!(r#"{{"rev":1,"targets":[{text}]}}"#)).unwrap();
    reply.targets
}

fn entry(uid: &str, state: &str) -> String {
    format!(r#"{{"uid":"{uid}","endpoint":"127.0.0.1:9","state":"{state}"}}"#)
}

fn unreadable(uid: &str) -> String {
    format!(r#"{{"uid":"{uid}","endpoint":"nowhere","state":"SERVING"}}"#)
}

/// What the module is told of a server by these lines.
fn told(servers: &mut Servers, pool: &Pool, whole: bool, text: &[String], uid: &str) -> Option<Status> {
    let told = servers.take_list(whole, &lines(&text.join(",")), pool);
    let id = servers.ids[uid];
    told.into_iter().find(|line| line.server == id).map(|line| line.status)
}

/// The module would choose it again, and each attempt would be lost, since nothing is sent to a server that has left.
#[tokio::test]
async fn an_unreadable_line_does_not_bring_back_a_server_that_a_whole_list_left_out() {
    let (mut servers, pool) = servers();
    let both = [entry("s0", "SERVING"), entry("s1", "SERVING")];
    servers.take_list(true, &lines(&both.join(",")), &pool);
    servers.take_list(true, &lines(&entry("s1", "SERVING")), &pool);
    for whole in [false, true] {
        let text = [unreadable("s0"), entry("s1", "SERVING")];
        assert_eq!(told(&mut servers, &pool, whole, &text, "s0"), Some(Status::Gone), "whole: {whole}");
        assert!(!servers.is_current(servers.ids["s0"], 0));
    }
}

/// What is known of a server stands, whatever it is.
#[tokio::test]
async fn an_unreadable_line_changes_nothing_of_a_server_that_is_there() {
    let (mut servers, pool) = servers();
    for (state, status) in [("SERVING", Status::Serving), ("DRAINING", Status::Draining)] {
        servers.take_list(true, &lines(&entry("s0", state)), &pool);
        for whole in [false, true] {
            assert_eq!(told(&mut servers, &pool, whole, &[unreadable("s0")], "s0"), Some(status));
        }
    }
}

/// A line that can be read brings it back.
#[tokio::test]
async fn a_readable_line_brings_back_a_server_that_a_whole_list_left_out() {
    let (mut servers, pool) = servers();
    servers.take_list(true, &lines(&entry("s0", "SERVING")), &pool);
    servers.take_list(true, &lines(""), &pool);
    let text = [entry("s0", "SERVING")];
    assert_eq!(told(&mut servers, &pool, false, &text, "s0"), Some(Status::Serving));
    assert!(servers.is_current(servers.ids["s0"], 0));
}
