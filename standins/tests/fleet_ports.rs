//! Ports of the fleets of different test processes.

use std::net::{SocketAddr, TcpListener};
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};

use rattanstall_standins::fleet::{free_address, loopback_address, spawn};

/// Ports that are found free and bound.
const PORTS: usize = 2_000;

// Guards against a process of a fleet that cannot bind its port because another test
// process took it after it had been found free.
#[test]
fn fleets_of_other_processes_do_not_take_ports() {
    let own = std::process::id();
    let own_ip = loopback_address(own);
    let own_listener = TcpListener::bind(SocketAddr::new(own_ip, 0)).expect("a free port");
    let port = own_listener.local_addr().expect("an address").port();
    for other in [own + 1, own + 256, own + (1 << 16), 1] {
        let ip = loopback_address(other);
        assert_ne!(ip, own_ip, "{other}");
        assert!(ip.is_loopback() && own_ip.is_loopback());
        // The same port stays free for the other process.
        let listener = TcpListener::bind(SocketAddr::new(ip, port));
        assert!(listener.is_ok(), "{other}: {listener:?}");
    }
    assert!(TcpListener::bind(SocketAddr::new(own_ip, port)).is_err());
}

// Guards against a process that cannot bind its port, as another one that was being started held
// the socket by which the port had been found free.
#[test]
fn a_free_port_is_free_while_processes_are_started() {
    let is_over = AtomicBool::new(false);
    std::thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(|| {
                while !is_over.load(Ordering::Acquire) {
                    let child = spawn(&mut Command::new("true"));
                    child.expect("a process").wait().expect("a child process");
                }
            });
        }
        let taken: Vec<SocketAddr> = (0..PORTS)
            .map(|_| free_address().expect("a free port"))
            .filter(|address| TcpListener::bind(address).is_err())
            .collect();
        is_over.store(true, Ordering::Release);
        assert!(
            taken.is_empty(),
            "{} of {PORTS}: {:?}",
            taken.len(),
            taken[0]
        );
    });
}
