//! An endpoint that ends under a part of a prompt, as the tests of gateways rely on it.

use std::io::{ErrorKind, Read as _, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use rattanstall::clock::Millis;
use rattanstall_standins::endpoint::{
    Answer, EndCause, EndpointSetup, EndpointStandIn, Lifecycle, Outcome,
};

const PART: u64 = 0xbad;
const DOWNTIME: Millis = Millis(500);

fn start() -> EndpointStandIn {
    let setup = EndpointSetup {
        version: "v1".to_owned(),
        lifecycle: Lifecycle {
            name: "e".to_owned(),
            instance_header: "x-instance".to_owned(),
            id_header: "x-id".to_owned(),
            parts_header: "x-parts".to_owned(),
            downtime: DOWNTIME,
            ..Lifecycle::default()
        },
        ..EndpointSetup::default()
    };
    let listen = SocketAddr::from(([127, 0, 0, 1], 0));
    let endpoint = EndpointStandIn::start(listen, setup).expect("a free port");
    endpoint.set_crashing_parts(&[PART]);
    endpoint.set_answer(Answer {
        events: 1_000,
        pause_ms: 10,
        ..Answer::default()
    });
    endpoint
}

fn send(endpoint: &EndpointStandIn, instance: &str, parts: &str) -> TcpStream {
    let mut stream = TcpStream::connect(endpoint.address()).expect("accepted");
    let timeout = Some(Duration::from_secs(10));
    stream.set_read_timeout(timeout).expect("a timeout");
    let req =
        format!("POST / HTTP/1.1\r\nx-id: r\r\nx-instance: {instance}\r\nx-parts: {parts}\r\n\r\n");
    stream.write_all(req.as_bytes()).expect("sent");
    stream
}

/// Reads until the other side closes the connection.
fn read_rest(stream: &mut TcpStream) -> String {
    let mut text = Vec::new();
    match stream.read_to_end(&mut text) {
        Ok(_) => {}
        Err(error) => assert_eq!(error.kind(), ErrorKind::ConnectionReset),
    }
    String::from_utf8_lossy(&text).into_owned()
}

// Guards against a stand-in that ends unlike a process: one run only, or still listening.
#[test]
fn an_endpoint_ends_with_all_its_runs_and_comes_back_under_a_new_identifier() {
    let endpoint = start();
    let mut sound = send(&endpoint, "e", "1:10,bad:10");
    let mut first = [0; 16];
    sound.read_exact(&mut first).expect("an answer has begun");
    let mut crashing = send(&endpoint, "e", "1:10,bad:10,2:10");
    let text = read_rest(&mut crashing);
    assert!(text.starts_with("HTTP/1.1 200"), "{text}");
    assert!(!text.contains("data:"), "{text}");
    assert!(!read_rest(&mut sound).ends_with("0\r\n\r\n"));
    let refused = TcpStream::connect(endpoint.address()).expect_err("refused");
    assert_eq!(refused.kind(), ErrorKind::ConnectionRefused);

    while endpoint.lives().len() < 2 {
        std::thread::sleep(Duration::from_millis(10));
    }
    let lives = endpoint.lives();
    let (ended_at, cause) = lives[0].ended.expect("an end");
    assert_eq!(cause, EndCause::Part(PART));
    assert!(lives[1].started_at >= ended_at + DOWNTIME, "{lives:?}");
    let mut old = send(&endpoint, &lives[0].instance, "1:10,2:10");
    let mut head = [0; 12];
    old.read_exact(&mut head).expect("a head");
    assert_eq!(&head, b"HTTP/1.1 421");
    let requests = endpoint.history().requests;
    let outcomes: Vec<Outcome> = requests.iter().map(|req| req.outcome).collect();
    let expected = [Outcome::Broken, Outcome::Crashed, Outcome::Misdirected];
    assert_eq!(outcomes, expected);
    assert_eq!(requests[1].parts, [1, PART, 2]);
}

// Guards against a reset that ends the process, or that looks like an orderly close.
#[test]
fn an_endpoint_goes_on_when_its_connections_are_reset() {
    let endpoint = start();
    let mut stream = send(&endpoint, "e", "");
    stream
        .read_exact(&mut [0; 16])
        .expect("an answer has begun");
    endpoint.reset_connections();
    let rest = stream.read_to_end(&mut Vec::new());
    let error = rest.expect_err("a reset");
    assert_eq!(error.kind(), ErrorKind::ConnectionReset);
    let mut stream = send(&endpoint, "e", "");
    stream.read_exact(&mut [0; 16]).expect("another answer");
    assert_eq!(endpoint.lives().len(), 1);
}
