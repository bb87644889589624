//! Bounded log buffer, written by a dedicated thread.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use crate::rate_limit;

/// Maximum size of buffered lines; further lines are dropped and counted.
const MAX_BUFFERED_BYTES: usize = 256 << 10;

/// Interval between writes: bounds both the delay of a line and the thread's wakeups.
const WRITE_INTERVAL: Duration = Duration::from_millis(100);

/// Non-blocking writer of log lines.
#[derive(Debug, Default)]
pub(crate) struct Sink {
    shared: Arc<Shared>,
    /// Incomplete line.
    line: Vec<u8>,
}

#[derive(Debug, Default)]
struct Shared {
    lines: Mutex<Vec<u8>>,
    dropped: AtomicU64,
}

impl Sink {
    /// Spawns the thread that writes to standard output.
    pub(crate) fn spawn() -> Self {
        let sink = Self::default();
        let shared = Arc::clone(&sink.shared);
        let spawned = thread::Builder::new()
            .name("log".to_owned())
            .stack_size(64 << 10)
            .spawn(move || write(&shared));
        if let Err(error) = spawned {
            eprintln!("could not spawn log writer thread: {error}");
        }
        sink
    }
}

impl Shared {
    fn lines(&self) -> MutexGuard<'_, Vec<u8>> {
        self.lines.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Write for Sink {
    fn write(&mut self, text: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(text);
        if !text.ends_with(b"\n") {
            return Ok(text.len());
        }
        let mut lines = self.shared.lines();
        if lines.len() + self.line.len() > MAX_BUFFERED_BYTES {
            self.shared.dropped.fetch_add(1, Ordering::Relaxed);
        } else {
            lines.extend_from_slice(&self.line);
        }
        self.line.clear();
        Ok(text.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write(shared: &Shared) {
    let mut output = io::stdout();
    let mut lines = Vec::new();
    loop {
        thread::sleep(WRITE_INTERVAL);
        std::mem::swap(&mut *shared.lines(), &mut lines);
        let dropped = shared.dropped.swap(0, Ordering::Relaxed);
        // There is nowhere to report a failure to write the log.
        let _ = output.write_all(&lines);
        if dropped > 0 {
            let _ = writeln!(
                output,
                "{{\"msg\":\"log lines dropped\",\"count\":{dropped}}}"
            );
        }
        write_suppressed(&mut output);
        let _ = output.flush();
        lines.clear();
    }
}

/// Writes the numbers of suppressed lines by event number.
fn write_suppressed(output: &mut impl Write) {
    let suppressed = rate_limit::take_suppressed();
    if suppressed.is_empty() {
        return;
    }
    let counts = suppressed
        .iter()
        .map(|(event, count)| format!("\"{}\":{count}", event.number()));
    let counts = counts.collect::<Vec<_>>().join(",");
    // There is nowhere to report a failure to write the log.
    let _ = writeln!(
        output,
        "{{\"msg\":\"log lines left out\",\"events\":{{{counts}}}}}"
    );
}
