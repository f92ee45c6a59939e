//! Ports and settings files of the fleet's processes.

use std::fs;
use std::io;
use std::net::{IpAddr, SocketAddr, TcpListener, UdpSocket};
use std::path::Path;
use std::sync::atomic::{AtomicU32, Ordering};

use rattanstall::instances::{Instance, Role};
use rattanstall::weights::Model;

use super::FleetBuilder;
use super::process::{Process, hold_starts};

static NEXT_PORT_OFFSET: AtomicU32 = AtomicU32::new(0);

/// Allocates ports that are free for both TCP and UDP. They lie below the ephemeral
/// range, so that no outgoing connection can take a port before its process listens on
/// it, and on an address that no other test process uses.
pub(super) struct PortAllocator;

impl PortAllocator {
    const FIRST_PORT: u32 = 10_000;
    const PORT_COUNT: u32 = 20_000;

    pub(super) fn next_free(&mut self) -> io::Result<SocketAddr> {
        let ip = loopback_address(std::process::id());
        for _ in 0..Self::PORT_COUNT {
            let number = NEXT_PORT_OFFSET.fetch_add(1, Ordering::Relaxed);
            let port = (Self::FIRST_PORT + number % Self::PORT_COUNT) as u16;
            let addr = SocketAddr::new(ip, port);
            let _held = hold_starts();
            if TcpListener::bind(addr).is_ok() && UdpSocket::bind(addr).is_ok() {
                return Ok(addr);
            }
        }
        Err(io::Error::other("no free port"))
    }
}

/// An address of this process's fleets that is free for both TCP and UDP.
pub fn free_address() -> io::Result<SocketAddr> {
    PortAllocator.next_free()
}

/// The loopback address of a process's fleets. Processes with the same address have
/// identifiers that differ by a multiple of 2^22, the largest that Linux gives out.
pub fn loopback_address(process: u32) -> IpAddr {
    let [_, high, middle, low] = (process % (1 << 22)).to_be_bytes();
    IpAddr::from([127, 64 + high, middle, low])
}

pub(super) fn models(builder: &FleetBuilder) -> Vec<Model> {
    let model = |n| Model {
        name: format!("m{n}").into(),
        bytes: builder.model_bytes,
    };
    (0..builder.models).map(model).collect()
}

pub(super) fn zone_name(n: usize) -> String {
    format!("zone-{}", n % 3)
}

pub(super) fn instance(
    name: &str,
    role: Role,
    n: usize,
    peer: SocketAddr,
    admin: SocketAddr,
) -> Instance {
    Instance {
        name: name.into(),
        role,
        zone: zone_name(n).into(),
        ip: peer.ip(),
        peer_port: peer.port(),
        admin_port: admin.port(),
        leaving: false,
    }
}

/// Writes a settings file and returns the arguments that pass it to the program.
pub(super) fn write_settings(dir: &Path, name: &str, text: &str) -> io::Result<Vec<String>> {
    let file = dir.join(format!("{name}.toml"));
    fs::write(&file, text)?;
    Ok(vec!["--settings".to_owned(), file.display().to_string()])
}

pub(super) fn tls_section(dir: &Path) -> String {
    let dir = dir.display();
    format!("[tls]\nca = \"{dir}/ca.pem\"\ncert = \"{dir}/cert.pem\"\nkey = \"{dir}/cert.key\"\n")
}

pub(super) fn gateway_settings(
    builder: &FleetBuilder,
    dir: &Path,
    n: usize,
    addrs: [SocketAddr; 4],
) -> String {
    let [listen, peer, admin, platform] = addrs;
    format!(
        "name = \"gw-{n}\"\nzone = \"{}\"\nlisten = \"{listen}\"\npeer = \"{peer}\"\n\
         admin = \"{admin}\"\nplatform = \"{platform}\"\ninstances = \"{platform}\"\n\
         weights = \"{platform}\"\n\n[log]\nlevel = \"{}\"\n\n{}",
        zone_name(n),
        builder.log_level,
        tls_section(dir)
    )
}

pub(super) fn agent_settings(
    builder: &FleetBuilder,
    dir: &Path,
    n: usize,
    addrs: [SocketAddr; 4],
    service: Option<&str>,
) -> String {
    let [peer, admin, platform, endpoint] = addrs;
    let kind = match service {
        Some(name) => format!("kind = \"service\"\nservice = \"{name}\""),
        None => "kind = \"engine\"".to_owned(),
    };
    format!(
        "name = \"agent-{n}\"\nzone = \"{}\"\npeer = \"{peer}\"\nadmin = \"{admin}\"\n\
         platform = \"{platform}\"\nmax_running = {}\nlast_order_ms = {}\n\n[endpoint]\n{kind}\n\
         address = \"{endpoint}\"\n\n[log]\nlevel = \"{}\"\n\n{}",
        zone_name(n),
        builder.max_running,
        builder.last_order_ms,
        builder.log_level,
        tls_section(dir)
    )
}

pub(super) fn endpoint_process(
    builder: &FleetBuilder,
    n: usize,
    listen: SocketAddr,
    platform: SocketAddr,
    service: Option<&(String, u64)>,
) -> Process {
    let (program, options) = match service {
        Some((_, work_ms)) => (
            "standin-service",
            vec![
                ("listen", listen.to_string()),
                ("work-ms", work_ms.to_string()),
            ],
        ),
        None => (
            "standin-engine",
            vec![
                ("listen", listen.to_string()),
                ("weights", platform.to_string()),
                ("memory-bytes", builder.memory_bytes.to_string()),
                ("step-us", builder.step_us.to_string()),
                ("obeys-fence", builder.obeys_fence.to_string()),
            ],
        ),
    };
    let args = options
        .into_iter()
        .flat_map(|(name, value)| [format!("--{name}"), value])
        .collect();
    Process::new(&format!("endpoint-{n}"), listen, None, program, args)
}
