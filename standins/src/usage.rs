//! What the operating system says of a process.

use std::fs;

/// Clock ticks of the operating system's accounts a second.
const CLOCK_TICKS_PER_S: u64 = 100;

/// Processor time of a process so far, in milliseconds.
pub fn cpu_ms(pid: u32) -> u64 {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    // The name may hold blanks; the fields after it do not.
    let Some((_, fields)) = stat.rsplit_once(") ") else {
        return 0;
    };
    let field = |n: usize| -> u64 {
        let text = fields.split(' ').nth(n);
        text.and_then(|t| t.parse().ok()).unwrap_or_default()
    };
    (field(11) + field(12)) * 1_000 / CLOCK_TICKS_PER_S
}

/// Memory of a process that is in use now, in kilobytes.
pub fn resident_memory_kb(pid: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().nth(1));
    number.and_then(|n| n.parse().ok()).unwrap_or_default()
}
