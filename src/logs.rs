//! Start of the log.

use flexi_logger::{Logger, LoggerHandle, detailed_format, json_format};

use crate::error::{Error, Result};
use crate::settings::LogSettings;

/// Starts logging to standard error. The handle must live as long as the process.
pub fn start(settings: &LogSettings) -> Result<LoggerHandle> {
    let format = match settings.json {
        true => json_format,
        false => detailed_format,
    };
    let spec = format!("warn, rattanstall={}", settings.level);
    Logger::try_with_str(spec)
        .map_err(log_error)?
        .format(format)
        .log_to_stderr()
        .start()
        .map_err(log_error)
}

fn log_error(error: impl std::fmt::Display) -> Error {
    Error::Config {
        key: "log".to_owned(),
        message: error.to_string(),
    }
}
