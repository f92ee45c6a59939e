//! Starts logging.

mod buffered;

use flexi_logger::writers::LogWriter;
use flexi_logger::{
    DeferredNow, FormatFunction, Logger, LoggerHandle, Record, detailed_format, json_format,
};

use crate::error::{Error, Result};
use crate::journal;
use crate::settings::LogSettings;
use crate::signals::Action;

use buffered::BufferedStderr;

/// Starts logging to standard error. A reader that stops reading blocks no request. The
/// handle must live as long as the process.
pub fn start(settings: &LogSettings) -> Result<LoggerHandle> {
    let format: FormatFunction = match settings.json {
        true => json_format,
        false => detailed_format,
    };
    let spec = format!("warn, rattanstall={}", settings.level);
    let writer = BufferedStderr::start(format).map_err(log_error)?;
    Logger::try_with_str(spec)
        .map_err(log_error)?
        .log_to_writer(Box::new(writer))
        .start()
        .map_err(log_error)
}

/// Logs a signal that arrived.
pub fn log_signal(signal: &str, action: Action) {
    log::info!("{signal} arrived: {}", action.as_str());
}

/// Writes the records of the `log` macros as structured log lines.
struct JournalWriter;

impl LogWriter for JournalWriter {
    fn write(&self, _now: &mut DeferredNow, record: &Record<'_>) -> std::io::Result<()> {
        journal::write(
            "log",
            &[
                ("level", record.level().as_str().into()),
                ("module", record.target().into()),
                ("message", (&record.args().to_string()).into()),
            ],
        );
        Ok(())
    }

    fn flush(&self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Starts logging as structured lines on standard output.
pub fn start_in_journal() -> Result<LoggerHandle> {
    journal::start();
    Logger::try_with_str("warn, rattanstall=info")
        .map_err(log_error)?
        .log_to_writer(Box::new(JournalWriter))
        .start()
        .map_err(log_error)
}

fn log_error(error: impl std::fmt::Display) -> Error {
    Error::Config {
        key: "log".to_owned(),
        message: error.to_string(),
    }
}
