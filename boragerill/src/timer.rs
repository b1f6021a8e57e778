//! Periodic timers of a process.

use std::time::{
    Duration,
    Instant, //
};

use tokio::{
    sync::watch,
    task::JoinHandle,
    time::{
        interval,
        MissedTickBehavior, //
    },
};

/// Creates periodic timers and stops all of them when dropped.
#[derive(Debug, Default)]
pub struct TimerService {
    tasks: Vec<JoinHandle<()>>,
}

/// Receiver of one timer's ticks; missed ticks are merged into one.
#[derive(Debug)]
pub struct TimerTicks {
    receiver: watch::Receiver<Instant>,
}

impl TimerService {
    /// Starts a timer that ticks every `period`; the first tick occurs immediately.
    pub fn subscribe(&mut self, period: Duration) -> TimerTicks {
        let (sender, receiver) = watch::channel(Instant::now());
        self.tasks.push(tokio::spawn(async move {
            let mut ticks = interval(period);
            ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
            loop {
                let tick = ticks.tick().await;
                if sender.send(tick.into_std()).is_err() {
                    return;
                }
            }
        }));
        TimerTicks { receiver }
    }
}

impl Drop for TimerService {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

impl TimerTicks {
    /// Waits for the next tick and returns its time, or `None` once the service is dropped.
    pub async fn next(&mut self) -> Option<Instant> {
        self.receiver.changed().await.ok()?;
        Some(*self.receiver.borrow_and_update())
    }
}

/// Returns a duration in whole milliseconds, saturating at `u64::MAX`.
pub fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
