//! Switches the answers of a running stand-in endpoint.

use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpStream};

use rattanstall_standins::endpoint::{ANSWER_PATH, Answer, HISTORY_PATH};

/// Sets the answer, if one is given as JSON, and prints what the endpoint received.
pub fn run(endpoint: SocketAddr, answer: &str) -> Result<(), Box<dyn std::error::Error>> {
    if !answer.is_empty() {
        let answer: Answer = serde_json::from_str(answer)?;
        let body = serde_json::to_string(&answer)?;
        println!("{}", call(endpoint, "PUT", ANSWER_PATH, &body)?);
    }
    println!("{}", call(endpoint, "GET", HISTORY_PATH, "")?);
    Ok(())
}

fn call(endpoint: SocketAddr, method: &str, path: &str, body: &str) -> std::io::Result<String> {
    let mut stream = TcpStream::connect(endpoint)?;
    let length = body.len();
    write!(
        stream,
        "{method} {path} HTTP/1.1\r\nHost: e\r\nContent-Length: {length}\r\n\r\n{body}"
    )?;
    stream.shutdown(std::net::Shutdown::Write)?;
    let mut text = String::new();
    stream.read_to_string(&mut text)?;
    Ok(text
        .split_once("\r\n\r\n")
        .map_or(text.clone(), |(_, body)| body.to_owned()))
}
