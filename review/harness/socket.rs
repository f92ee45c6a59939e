//! A channel with a small receive window, which the standard library can't open.

use std::ffi::c_void;
use std::net::{SocketAddr, TcpStream};
use std::os::fd::FromRawFd;

#[repr(C)]
struct SocketAddress {
    family: u16,
    port: [u8; 2],
    ip: [u8; 4],
    zero: [u8; 8],
}

unsafe extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const c_void, length: u32) -> i32;
    fn connect(socket: i32, address: *const SocketAddress, length: u32) -> i32;
}

const AF_INET: u16 = 2;
const SOCK_STREAM: i32 = 1;
const SOL_SOCKET: i32 = 1;
const SO_RCVBUF: i32 = 8;

/// Connects with a receive buffer of this many bytes.
pub fn connect_with_window(to: SocketAddr, bytes: i32) -> Option<TcpStream> {
    let SocketAddr::V4(to) = to else {
        return None;
    };
    let address = SocketAddress {
        family: AF_INET,
        port: to.port().to_be_bytes(),
        ip: to.ip().octets(),
        zero: [0; 8],
    };
    // The socket is owned by the stream from its creation on.
    unsafe {
        let fd = socket(i32::from(AF_INET), SOCK_STREAM, 0);
        if fd < 0 {
            return None;
        }
        let stream = TcpStream::from_raw_fd(fd);
        let value: *const i32 = &bytes;
        let is_set = setsockopt(fd, SOL_SOCKET, SO_RCVBUF, value.cast(), 4) == 0;
        (is_set && connect(fd, &address, 16) == 0).then_some(stream)
    }
}
