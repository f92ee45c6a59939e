//! Log lines that a thread of their own writes to standard error.

use std::io::Write as _;
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::Duration;

use flexi_logger::writers::LogWriter;
use flexi_logger::{DeferredNow, FormatFunction, Record};

/// Lines that may wait to be written; those that do not fit are dropped.
const MAX_LINES: usize = 4_096;
/// How long a process that ends waits for its last lines to be written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

enum Message {
    Line(Vec<u8>),
    /// All lines before this one are written.
    Flush(SyncSender<()>),
}

/// Writes lines without waiting for their reader.
pub(super) struct BufferedStderr {
    format: FormatFunction,
    messages: SyncSender<Message>,
}

impl BufferedStderr {
    /// Starts the thread that writes.
    pub(super) fn start(format: FormatFunction) -> std::io::Result<Self> {
        let (messages, received) = sync_channel(MAX_LINES);
        std::thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_all(&received))?;
        Ok(Self { format, messages })
    }
}

fn write_all(received: &Receiver<Message>) {
    for message in received {
        match message {
            // An error is ignored: once standard error is closed, nothing can report it.
            Message::Line(line) => drop(std::io::stderr().write_all(&line)),
            // Fails if the sender has given up.
            Message::Flush(done) => drop(done.send(())),
        }
    }
}

impl LogWriter for BufferedStderr {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> std::io::Result<()> {
        let mut line = Vec::with_capacity(128);
        (self.format)(&mut line, now, record)?;
        line.push(b'\n');
        // Fails if the buffer is full.
        let _ = self.messages.try_send(Message::Line(line));
        Ok(())
    }

    fn flush(&self) -> std::io::Result<()> {
        let (done, is_done) = sync_channel(1);
        if self.messages.try_send(Message::Flush(done)).is_ok() {
            let _ = is_done.recv_timeout(FLUSH_TIMEOUT);
        }
        Ok(())
    }
}
