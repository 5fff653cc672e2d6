use super::*;

const STATUS: &str = "Name:\tdill junction\nVmRSS:\t    4812 kB\nvoluntary_ctxt_switches:\t310\nnonvoluntary_ctxt_switches:\t7\n";

#[test]
fn files_of_proc_are_read_and_damaged_ones_are_none() {
    assert_eq!(cpu_of_schedstat("123456789 42 17\n"), Some(123_456_789));
    assert_eq!(cpu_of_schedstat(""), None);
    assert_eq!(cpu_of_schedstat("x 1 2"), None);
    assert_eq!(field(STATUS, "VmRSS:"), Some(4812));
    assert_eq!(field(STATUS, "voluntary_ctxt_switches:"), Some(310), "not the line that ends alike");
    assert_eq!(field(STATUS, "nonvoluntary_ctxt_switches:"), Some(7));
    assert_eq!(field(STATUS, "VmSwap:"), None);
}

#[test]
fn rates_are_differences_over_time_with_their_units() {
    let before = Reading { cpu_ns: 1_000_000, waits: 10, resident_kib: 1 };
    let after = Reading { cpu_ns: 9_000_000, waits: 90, resident_kib: 5_000 };
    let rate = after.since(&before, 4.0);
    assert_eq!((rate.cpu_ms_per_s, rate.wakeups_per_s, rate.resident_mb), (2.0, 20.0, 5.12));
}

#[test]
fn this_process_can_be_read_and_one_that_is_not_there_cannot() {
    let before = Reading::of(std::process::id()).expect("this process runs");
    assert!(before.resident_kib > 0);
    let mut sum = 0u64;
    while Reading::of(std::process::id()).expect("still").cpu_ns == before.cpu_ns {
        sum = sum.wrapping_mul(31).wrapping_add(1);
    }
    assert_eq!(Reading::of(u32::MAX), None);
}
