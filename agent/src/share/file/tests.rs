use super::*;
use std::cell::Cell;
use std::rc::Rc;

#[derive(Clone, Default)]
struct Process(Rc<Cell<(usize, usize)>>, Rc<Cell<(usize, usize)>>, Rc<Cell<bool>>);

impl Holds for Process {
    fn held(&self) -> (usize, usize) {
        self.0.get()
    }
    fn allow(&self, clients: usize, servers: usize) {
        self.1.set((clients, servers));
    }
    fn is_leaving(&self) -> bool {
        self.2.get()
    }
}

fn folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("dilljunction-share-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

#[test]
fn what_is_said_is_read_and_what_is_torn_is_not() {
    let side = |held, claim| Side { held, claim };
    let said = Said { clients: side(3, 168), servers: side(70_000, 1 << 20) };
    let bytes = encode(&said);
    assert_eq!(decode(&bytes), Some(said));
    for place in 0..LENGTH {
        let mut torn = bytes;
        torn[place] ^= 4;
        assert_eq!(decode(&torn), None, "byte {place}");
    }
}

#[test]
fn files_of_the_dead_and_of_others_count_for_nothing() {
    let folder = folder("dead");
    let listen: SocketAddr = "127.0.0.1:80".parse().unwrap();
    let ours = folder.join("dilljunction-127.0.0.1-80");
    let (dead, other) = (ours.join("1-1"), folder.join("dilljunction-127.0.0.1-8080-1"));
    std::fs::create_dir(&ours).unwrap();
    std::fs::write(&dead, encode(&Said { clients: Side { held: 9, claim: 100 }, ..Said::default() }))
        .unwrap();
    std::fs::write(&other, "not ours").unwrap();
    let process = Process::default();
    let mut share = Share::new(&folder, listen, (100, 50));
    assert!(share.step(&process));
    assert_eq!(process.1.get(), (100, 50));
    assert!(!dead.exists() && other.exists());
    // One that lives and says nothing that can be read is no reason to give anything up.
    let alive = File::create(ours.join("2-2")).unwrap();
    alive.lock().unwrap();
    assert!(share.step(&process));
    drop((share, alive));
    assert_eq!(std::fs::read_dir(&ours).unwrap().count(), 1, "its own file is gone");
    std::fs::remove_dir_all(folder).unwrap();
}

/// Out of descriptors a process can open nothing: the other one still lives, and still claims what it claimed.
#[test]
fn a_file_that_cannot_be_opened_is_no_dead_one() {
    let folder = folder("closed");
    let listen: SocketAddr = "127.0.0.1:80".parse().unwrap();
    let (one, two) = (Process::default(), Process::default());
    let mut first = Share::new(&folder, listen, (100, 50));
    let mut second = Share::new(&folder, listen, (100, 50));
    let steps = |first: &mut Share, second: &mut Share| {
        for _ in 0..4 {
            first.step(&one);
            second.step(&two);
        }
    };
    steps(&mut first, &mut second);
    assert_eq!((one.1.get().0, two.1.get().0), (50, 50));
    // The name leads nowhere that can be opened, as if there were no descriptor left.
    let path = second.own.as_ref().unwrap().0.clone();
    std::fs::remove_file(&path).unwrap();
    std::os::unix::fs::symlink(&path, &path).unwrap();
    assert!(File::open(&path).is_err_and(|e| e.kind() != ErrorKind::NotFound));
    steps(&mut first, &mut second);
    assert_eq!(one.1.get().0, 50);
    assert!(path.symlink_metadata().is_ok(), "a file that could not be opened was removed");
    drop((first, second));
    std::fs::remove_dir_all(folder).unwrap();
}

/// A smaller whole holds from the next step on, even where more is held than it allows.
#[test]
fn another_whole_is_shared_from_the_next_step_on() {
    let folder = folder("whole");
    let listen: SocketAddr = "127.0.0.1:80".parse().unwrap();
    let (one, two) = (Process::default(), Process::default());
    let mut first = Share::new(&folder, listen, (100, 50));
    one.0.set((90, 10));
    first.step(&one);
    first.set_whole((40, 50));
    first.step(&one);
    assert_eq!(one.1.get(), (40, 50));
    let mut second = Share::new(&folder, listen, (40, 50));
    for _ in 0..4 {
        first.step(&one);
        second.step(&two);
        // They let go what is beyond their limits.
        one.0.set((one.0.get().0.min(one.1.get().0), 10));
    }
    assert!(one.1.get().0 + two.1.get().0 <= 40, "{:?} {:?}", one.1.get(), two.1.get());
    first.set_whole((100, 50));
    second.set_whole((100, 50));
    for _ in 0..4 {
        first.step(&one);
        second.step(&two);
    }
    let all = one.1.get().0 + two.1.get().0;
    assert!((60..=100).contains(&all), "{all}");
    drop((first, second));
    std::fs::remove_dir_all(folder).unwrap();
}

#[test]
fn a_folder_that_is_of_no_use_leaves_the_whole_share() {
    let process = Process::default();
    let mut share = Share::new(Path::new("/nowhere/at/all"), "127.0.0.1:80".parse().unwrap(), (100, 50));
    assert!(share.step(&process));
    assert_eq!(process.1.get(), (100, 50));
}
