//! A bounded buffer of log lines that a thread of its own writes out.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use crate::rate_limit;

/// Most bytes that wait to be written; lines beyond are dropped and counted.
const BUFFER_BYTES: usize = 256 << 10;

/// Time between writes: a line is seen this much later at most, and the process
/// is woken this seldom for its log.
const PAUSE: Duration = Duration::from_millis(100);

/// Where lines are put without waiting for the output.
#[derive(Debug, Default)]
pub(crate) struct Sink {
    shared: Arc<Shared>,
    /// A line that has not come to its end.
    line: Vec<u8>,
}

#[derive(Debug, Default)]
struct Shared {
    lines: Mutex<Vec<u8>>,
    dropped: AtomicU64,
}

impl Sink {
    /// Begins to write lines to the standard output.
    pub(crate) fn spawn() -> Self {
        let sink = Self::default();
        let shared = Arc::clone(&sink.shared);
        let spawned = thread::Builder::new()
            .name("log".to_owned())
            .stack_size(64 << 10)
            .spawn(move || write(&shared));
        if let Err(error) = spawned {
            eprintln!("could not start the thread that writes the log: {error}");
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
        if lines.len() + self.line.len() > BUFFER_BYTES {
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
        thread::sleep(PAUSE);
        std::mem::swap(&mut *shared.lines(), &mut lines);
        let dropped = shared.dropped.swap(0, Ordering::Relaxed);
        // Nobody can be told that the log cannot be written.
        let _ = output.write_all(&lines);
        if dropped > 0 {
            let _ = writeln!(
                output,
                "{{\"msg\":\"log lines dropped\",\"count\":{dropped}}}"
            );
        }
        note_left_out(&mut output);
        let _ = output.flush();
        lines.clear();
    }
}

/// Writes how many lines were left out, by the event's number.
fn note_left_out(output: &mut impl Write) {
    let left_out = rate_limit::take_suppressed();
    if left_out.is_empty() {
        return;
    }
    let counts = left_out
        .iter()
        .map(|(event, count)| format!("\"{}\":{count}", event.number()));
    let counts = counts.collect::<Vec<_>>().join(",");
    // Nobody can be told that the log cannot be written.
    let _ = writeln!(
        output,
        "{{\"msg\":\"log lines left out\",\"events\":{{{counts}}}}}"
    );
}
