//! Memory and processor time of a process, from `/proc`.

use std::{fs, io, time::Duration};

use super::LoadError;

/// Clock ticks in which Linux reports processor time.
const TICKS_PER_SECOND: u64 = 100;

/// Fields of `/proc/PID/stat` after the command's closing parenthesis, up to the user time.
const FIELDS_BEFORE_USER_TIME: usize = 11;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ProcessId(pub(super) u32);

impl ProcessId {
    fn read(self, file: &str) -> Result<String, LoadError> {
        fs::read_to_string(format!("/proc/{}/{file}", self.0)).map_err(|source| self.error(source))
    }

    fn error(self, source: io::Error) -> LoadError {
        LoadError::Process { process: self.0, source }
    }

    fn unreadable(self) -> LoadError {
        self.error(io::Error::from(io::ErrorKind::InvalidData))
    }

    /// Resident memory of the process.
    pub(super) fn resident_bytes(self) -> Result<u64, LoadError> {
        let status = self.read("status")?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kilobytes = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
        kilobytes.map(|kilobytes| kilobytes * 1024).ok_or_else(|| self.unreadable())
    }

    /// Processor time of the process in user and system mode.
    fn processor_time(self) -> Result<Duration, LoadError> {
        let stat = self.read("stat")?;
        // The command name may contain spaces and parentheses.
        let after_command = stat.rsplit_once(')').map(|(_, fields)| fields).unwrap_or_default();
        let fields = after_command.split_whitespace().skip(FIELDS_BEFORE_USER_TIME);
        let ticks: Vec<u64> = fields.take(2).filter_map(|field| field.parse().ok()).collect();
        match ticks[..] {
            [user, system] => Ok(Duration::from_millis((user + system) * 1_000 / TICKS_PER_SECOND)),
            _ => Err(self.unreadable()),
        }
    }
}

/// Total processor time of the processes.
pub(super) fn processor_time(processes: &[ProcessId]) -> Result<Duration, LoadError> {
    processes.iter().map(|process| process.processor_time()).sum()
}
