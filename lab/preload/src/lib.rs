//! System calls that fail, and a wall clock that steps, in a process under test: loaded with `LD_PRELOAD` and told by the variable
//! `DILLJUNCTION_FAULTS`, a list of `key=value` with blanks between them.
//!
//! | key | value | what it does |
//! | --- | --- | --- |
//! | `seed` | number | draws which calls fail |
//! | `from_ms`, `for_ms` | milliseconds | calls fail from then on, counted from the first intercepted one, and for so long |
//! | `interrupt` | N | one in N reads and writes of a socket fails with EINTR |
//! | `short` | N | one in N reads and writes of a socket takes at most three bytes |
//! | `accept`, `socket`, `connect`, `sendto` | ERRNO/N | one in N of these calls fails with this error number |
//! | `wall_ms` | milliseconds, may be negative | the wall clock is so far off |
//! | `wall_after_ms` | milliseconds | ... from then on |
//!
//! A key that is not known, or a value that can't be read, ends the process: a test that injects nothing would pass for nothing.

use libc::{c_int, c_void, iovec, msghdr, size_t, sockaddr, socklen_t, ssize_t, timespec};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::OnceLock;
use std::time::{Duration, Instant};

/// Where the faults are told.
const VARIABLE: &str = "DILLJUNCTION_FAULTS";
/// A short read or write takes so many bytes.
const SHORT_BYTES: usize = 3;

/// A call that fails with an error, one in so many.
#[derive(Clone, Copy, Default)]
struct Failing {
    errno: c_int,
    one_in: u64,
}

/// What is to go wrong.
#[derive(Default)]
struct Faults {
    seed: u64,
    from_ms: u64,
    for_ms: Option<u64>,
    interrupt: u64,
    short: u64,
    accept: Failing,
    socket: Failing,
    connect: Failing,
    sendto: Failing,
    wall_ms: i64,
    wall_after_ms: u64,
}

fn read<T: std::str::FromStr>(value: &str) -> T {
    value.parse().unwrap_or_else(|_| refuse(value))
}

fn refuse(what: &str) -> ! {
    eprintln!("{VARIABLE}: {what:?} can't be read");
    std::process::exit(78)
}

impl Faults {
    fn parse(text: &str) -> Faults {
        let mut faults = Faults::default();
        for pair in text.split_whitespace() {
            let Some((key, value)) = pair.split_once('=') else { refuse(pair) };
            let failing = || {
                let Some((errno, one_in)) = value.split_once('/') else { refuse(pair) };
                Failing { errno: read(errno), one_in: read(one_in) }
            };
            match key {
                "seed" => faults.seed = read(value),
                "from_ms" => faults.from_ms = read(value),
                "for_ms" => faults.for_ms = Some(read(value)),
                "interrupt" => faults.interrupt = read(value),
                "short" => faults.short = read(value),
                "accept" => faults.accept = failing(),
                "socket" => faults.socket = failing(),
                "connect" => faults.connect = failing(),
                "sendto" => faults.sendto = failing(),
                "wall_ms" => faults.wall_ms = read(value),
                "wall_after_ms" => faults.wall_after_ms = read(value),
                _ => refuse(pair),
            }
        }
        faults
    }

    /// Those of this process, and when they began to count.
    fn get() -> &'static (Faults, Instant) {
        static FAULTS: OnceLock<(Faults, Instant)> = OnceLock::new();
        FAULTS
            .get_or_init(|| (Faults::parse(&std::env::var(VARIABLE).unwrap_or_default()), monotonic_start()))
    }

    fn elapsed_ms() -> u64 {
        Faults::get().1.elapsed().as_millis() as u64
    }

    /// Whether one call in `one_in` is drawn, while calls fail.
    fn strikes(one_in: u64) -> bool {
        if one_in == 0 {
            return false;
        }
        let (faults, _) = Faults::get();
        let since = Faults::elapsed_ms();
        let is_on = since >= faults.from_ms
            && faults.for_ms.is_none_or(|lasts| since < faults.from_ms.saturating_add(lasts));
        is_on && draw(faults.seed).is_multiple_of(one_in)
    }
}

fn monotonic_start() -> Instant {
    Instant::now()
}

/// SplitMix64 over a counter: threads share it, and its order is that of the calls.
fn draw(seed: u64) -> u64 {
    static COUNT: AtomicU64 = AtomicU64::new(0);
    let count = COUNT.fetch_add(1, Ordering::Relaxed).wrapping_add(seed.wrapping_mul(0x1_0000_0001));
    let mut mixed = count.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

fn fail(errno: c_int) -> c_int {
    // SAFETY: the C library's own place for the error of this thread.
    unsafe { *libc::__errno_location() = errno };
    -1
}

/// The C library's own function of a name.
fn real(name: &'static std::ffi::CStr) -> *mut c_void {
    // SAFETY: a name that ends with a zero byte; the next library in order is the C library.
    let found = unsafe { libc::dlsym(libc::RTLD_NEXT, name.as_ptr()) };
    assert!(!found.is_null(), "the C library has no such function");
    found
}

macro_rules! real {
    ($name:literal as $type:ty) => {{
        static ADDRESS: OnceLock<usize> = OnceLock::new();
        let address = *ADDRESS.get_or_init(|| real($name) as usize);
        // SAFETY: the function of this name in the C library has this type.
        unsafe { std::mem::transmute::<usize, $type>(address) }
    }};
}

/// What becomes of a read or a write of so many bytes: an error, or fewer bytes.
fn transfer(bytes: size_t) -> Result<size_t, c_int> {
    let (faults, _) = Faults::get();
    if Faults::strikes(faults.interrupt) {
        return Err(libc::EINTR);
    }
    let is_short = Faults::strikes(faults.short);
    Ok(if is_short { bytes.min(SHORT_BYTES) } else { bytes })
}

/// # Safety
/// As for the C library's function of this name.
#[no_mangle]
pub unsafe extern "C" fn recv(socket: c_int, buffer: *mut c_void, length: size_t, flags: c_int) -> ssize_t {
    let real = real!(c"recv" as unsafe extern "C" fn(c_int, *mut c_void, size_t, c_int) -> ssize_t);
    match transfer(length) {
        Ok(length) => real(socket, buffer, length, flags),
        Err(errno) => fail(errno) as ssize_t,
    }
}

/// # Safety
/// As for the C library's function of this name.
#[no_mangle]
pub unsafe extern "C" fn send(socket: c_int, buffer: *const c_void, length: size_t, flags: c_int) -> ssize_t {
    let real = real!(c"send" as unsafe extern "C" fn(c_int, *const c_void, size_t, c_int) -> ssize_t);
    match transfer(length) {
        Ok(length) => real(socket, buffer, length, flags),
        Err(errno) => fail(errno) as ssize_t,
    }
}

/// # Safety
/// As for the C library's function of this name.
#[no_mangle]
pub unsafe extern "C" fn writev(file: c_int, pieces: *const iovec, count: c_int) -> ssize_t {
    let real = real!(c"writev" as unsafe extern "C" fn(c_int, *const iovec, c_int) -> ssize_t);
    if count < 1 || !is_socket(file) {
        return real(file, pieces, count);
    }
    let first = *pieces;
    match transfer(first.iov_len) {
        Ok(length) if length < first.iov_len => {
            let short = iovec { iov_base: first.iov_base, iov_len: length };
            real(file, &short, 1)
        }
        Ok(_) => real(file, pieces, count),
        Err(errno) => fail(errno) as ssize_t,
    }
}

fn is_socket(file: c_int) -> bool {
    let (mut kind, mut length): (c_int, socklen_t) = (0, size_of::<c_int>() as socklen_t);
    let place = std::ptr::addr_of_mut!(kind).cast();
    // SAFETY: both places live as long as the call, and the length is that of the first.
    unsafe { libc::getsockopt(file, libc::SOL_SOCKET, libc::SO_TYPE, place, &mut length) == 0 }
}

/// # Safety
/// As for the C library's function of this name.
#[no_mangle]
pub unsafe extern "C" fn accept4(
    socket: c_int,
    address: *mut sockaddr,
    length: *mut socklen_t,
    flags: c_int,
) -> c_int {
    let real =
        real!(c"accept4" as unsafe extern "C" fn(c_int, *mut sockaddr, *mut socklen_t, c_int) -> c_int);
    let failing = Faults::get().0.accept;
    if Faults::strikes(failing.one_in) {
        return fail(failing.errno);
    }
    real(socket, address, length, flags)
}

/// # Safety
/// As for the C library's function of this name.
#[no_mangle]
pub unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    let real = real!(c"socket" as unsafe extern "C" fn(c_int, c_int, c_int) -> c_int);
    let failing = Faults::get().0.socket;
    if Faults::strikes(failing.one_in) {
        return fail(failing.errno);
    }
    real(domain, kind, protocol)
}

/// # Safety
/// As for the C library's function of this name.
#[no_mangle]
pub unsafe extern "C" fn connect(socket: c_int, address: *const sockaddr, length: socklen_t) -> c_int {
    let real = real!(c"connect" as unsafe extern "C" fn(c_int, *const sockaddr, socklen_t) -> c_int);
    let failing = Faults::get().0.connect;
    if Faults::strikes(failing.one_in) {
        return fail(failing.errno);
    }
    real(socket, address, length)
}

/// # Safety
/// As for the C library's function of this name.
#[no_mangle]
pub unsafe extern "C" fn sendto(
    socket: c_int,
    buffer: *const c_void,
    length: size_t,
    flags: c_int,
    address: *const sockaddr,
    address_length: socklen_t,
) -> ssize_t {
    let real = real!(
        c"sendto"
            as unsafe extern "C" fn(
                c_int,
                *const c_void,
                size_t,
                c_int,
                *const sockaddr,
                socklen_t,
            ) -> ssize_t
    );
    let failing = Faults::get().0.sendto;
    if Faults::strikes(failing.one_in) {
        return fail(failing.errno) as ssize_t;
    }
    real(socket, buffer, length, flags, address, address_length)
}

/// # Safety
/// As for the C library's function of this name.
#[no_mangle]
pub unsafe extern "C" fn sendmsg(socket: c_int, message: *const msghdr, flags: c_int) -> ssize_t {
    let real = real!(c"sendmsg" as unsafe extern "C" fn(c_int, *const msghdr, c_int) -> ssize_t);
    if Faults::strikes(Faults::get().0.interrupt) {
        return fail(libc::EINTR) as ssize_t;
    }
    real(socket, message, flags)
}

/// # Safety
/// As for the C library's function of this name.
#[no_mangle]
pub unsafe extern "C" fn clock_gettime(clock: libc::clockid_t, time: *mut timespec) -> c_int {
    let real = real!(c"clock_gettime" as unsafe extern "C" fn(libc::clockid_t, *mut timespec) -> c_int);
    let told = real(clock, time);
    if clock != libc::CLOCK_REALTIME || told != 0 {
        return told;
    }
    let (faults, _) = Faults::get();
    if faults.wall_ms == 0 || Faults::elapsed_ms() < faults.wall_after_ms {
        return told;
    }
    let step = Duration::from_millis(faults.wall_ms.unsigned_abs());
    let right = Duration::new((*time).tv_sec.max(0) as u64, (*time).tv_nsec as u32);
    let wrong = if faults.wall_ms > 0 { right + step } else { right.saturating_sub(step) };
    (*time).tv_sec = wrong.as_secs() as libc::time_t;
    (*time).tv_nsec = libc::c_long::from(wrong.subsec_nanos());
    0
}
