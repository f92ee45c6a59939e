//! CPU time and memory of a process, as Linux reports them.

use std::fs;

/// Clock ticks per second in `/proc/PID/stat`: `USER_HZ`, 100 on the usual architectures.
const CLOCK_TICKS_PER_S: u64 = 100;

/// Returns the CPU time that a process has used so far, in milliseconds.
pub fn cpu_ms(pid: u32) -> u64 {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    // The process name may contain spaces; the fields after it do not.
    let Some((_, fields)) = stat.rsplit_once(") ") else {
        return 0;
    };
    let field = |n: usize| -> u64 {
        let text = fields.split(' ').nth(n);
        text.and_then(|t| t.parse().ok()).unwrap_or_default()
    };
    // `utime` and `stime`, fields 14 and 15 of proc(5); `field(0)` is its field 3.
    (field(11) + field(12)) * 1_000 / CLOCK_TICKS_PER_S
}

/// Returns the resident memory of a process, in kilobytes.
pub fn resident_memory_kb(pid: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().nth(1));
    number.and_then(|n| n.parse().ok()).unwrap_or_default()
}
