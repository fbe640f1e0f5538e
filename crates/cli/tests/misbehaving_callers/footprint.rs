//! The largest footprint of a process: resident memory, bytes that have arrived at its callers' port and are not read,
//! bytes that it has sent there and its callers have not received, and descriptors.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread::JoinHandle,
    time::Duration,
};

const SAMPLING_INTERVAL: Duration = Duration::from_millis(5);
/// The fields of a line of the kernel's list of sockets.
const LOCAL_ADDRESS_FIELD: usize = 1;
const STATE_FIELD: usize = 3;
const QUEUES_FIELD: usize = 4;
const ESTABLISHED: &str = "01";
const LISTENING: &str = "0A";

/// Samples a process until it is finished.
pub struct FootprintSampler {
    process_id: u32,
    peaks: Arc<Peaks>,
    sampling: Option<JoinHandle<()>>,
}

#[derive(Debug, Default)]
struct Peaks {
    unread_bytes: AtomicU64,
    untaken_bytes: AtomicU64,
    descriptors: AtomicU64,
    is_finished: AtomicBool,
}

/// The largest values of a process.
#[derive(Clone, Copy, Debug)]
pub struct Footprint {
    pub resident_bytes: u64,
    pub unread_bytes: u64,
    pub untaken_bytes: u64,
    pub descriptors: u64,
}

impl Footprint {
    /// The memory that the machine has to have for the process.
    pub const fn memory_bytes(&self) -> u64 {
        self.resident_bytes + self.unread_bytes + self.untaken_bytes
    }
}

impl FootprintSampler {
    /// Starts to sample a process that listens on `callers`.
    pub fn start(process_id: u32, callers: SocketAddr) -> Self {
        let peaks = Arc::new(Peaks::default());
        let sampled = Arc::clone(&peaks);
        let sampling = std::thread::spawn(move || {
            while !sampled.is_finished.load(Ordering::Relaxed) {
                let sockets = sockets_at(callers);
                let unread = sockets.iter().map(|socket| socket.unread_bytes).sum();
                sampled.unread_bytes.fetch_max(unread, Ordering::Relaxed);
                let untaken = sockets.iter().map(|socket| socket.untaken_bytes).sum();
                sampled.untaken_bytes.fetch_max(untaken, Ordering::Relaxed);
                sampled.descriptors.fetch_max(open_descriptors(process_id), Ordering::Relaxed);
                std::thread::sleep(SAMPLING_INTERVAL);
            }
        });
        Self { process_id, peaks, sampling: Some(sampling) }
    }

    /// Ends the sampling. The process must still run.
    pub fn finish(mut self) -> Footprint {
        self.stop();
        Footprint {
            resident_bytes: peak_resident_bytes(self.process_id),
            unread_bytes: self.peaks.unread_bytes.load(Ordering::Relaxed),
            untaken_bytes: self.peaks.untaken_bytes.load(Ordering::Relaxed),
            descriptors: self.peaks.descriptors.load(Ordering::Relaxed),
        }
    }

    fn stop(&mut self) {
        self.peaks.is_finished.store(true, Ordering::Relaxed);
        if let Some(sampling) = self.sampling.take() {
            sampling.join().expect("the sampling does not panic");
        }
    }
}

impl Drop for FootprintSampler {
    fn drop(&mut self) {
        self.stop();
    }
}

/// The number of connections that are established at a listening address.
pub fn connections_at(address: SocketAddr) -> usize {
    sockets_at(address).iter().filter(|socket| socket.is_established).count()
}

struct Socket {
    is_established: bool,
    unread_bytes: u64,
    untaken_bytes: u64,
}

/// The connections at a local address, as the kernel lists them.
fn sockets_at(address: SocketAddr) -> Vec<Socket> {
    let list = std::fs::read_to_string("/proc/net/tcp").expect("the kernel lists sockets");
    let port = format!(":{:04X}", address.port());
    let parse = |line: &str| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        if !fields.get(LOCAL_ADDRESS_FIELD)?.ends_with(&port) || fields[STATE_FIELD] == LISTENING {
            return None;
        }
        let (untaken, unread) = fields.get(QUEUES_FIELD)?.split_once(':')?;
        Some(Socket {
            is_established: fields[STATE_FIELD] == ESTABLISHED,
            unread_bytes: u64::from_str_radix(unread, 16).ok()?,
            untaken_bytes: u64::from_str_radix(untaken, 16).ok()?,
        })
    };
    list.lines().skip(1).filter_map(parse).collect()
}

fn open_descriptors(process_id: u32) -> u64 {
    std::fs::read_dir(format!("/proc/{process_id}/fd")).map_or(0, |entries| entries.count() as u64)
}

fn peak_resident_bytes(process_id: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process_id}/status")).expect("the process runs");
    let line = status.lines().find(|line| line.starts_with("VmHWM:")).expect("peak memory is listed");
    let kilobytes = line.split_whitespace().nth(1).and_then(|text| text.parse::<u64>().ok());
    kilobytes.expect("a number of kilobytes") << 10
}
