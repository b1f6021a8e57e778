//! One timer service per process that parts subscribe to.

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

/// Hands out subscriptions to periodic ticks.
#[derive(Debug, Default)]
pub struct TimerService {
    tasks: Vec<JoinHandle<()>>,
}

/// Receives the ticks of one period; ticks that nobody waited for are merged.
#[derive(Debug)]
pub struct TimerTicks {
    receiver: watch::Receiver<Instant>,
}

impl TimerService {
    /// Subscribes to a tick every `period`; the first tick comes at once.
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
    /// Waits for the next tick, or returns `None` once the service has ended.
    pub async fn next(&mut self) -> Option<Instant> {
        self.receiver.changed().await.ok()?;
        Some(*self.receiver.borrow_and_update())
    }
}

/// Returns a time in whole milliseconds.
pub fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
