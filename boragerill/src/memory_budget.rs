//! Decides how many bytes a process holds for its clients, and which one is shed when the budget is short.

use std::time::{
    Duration,
    Instant, //
};

/// Identifies a reservation.
pub type ReservationId = u64;

/// Reservations up to this size are shed only when no larger one can be: shedding them frees little.
pub const SMALL_BYTES: usize = 16 * 1024;

/// Least time that counts as being without progress, so that the bytes decide among reservations that all progress.
const MIN_STALL: Duration = Duration::from_millis(10);

/// Bytes that are held for one client; `T` tells its task that it is shed.
#[derive(Clone, Debug)]
struct MemoryReservation<T> {
    id: ReservationId,
    bytes: usize,
    progress: Instant, // When bytes last arrived.
    is_pinned: bool,   // Whether the request is complete, so that it isn't shed any more.
    task: T,
}

/// Reservations of bytes within a capacity.
#[derive(Clone, Debug)]
pub struct MemoryBudget<T> {
    capacity: usize,
    held: usize,
    next_id: ReservationId,
    reservations: Vec<MemoryReservation<T>>, // Sorted by id.
}

/// Result of a change of a reservation.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReserveDecision<T> {
    /// Whether the bytes are reserved. If not, the reservation that asked was removed, now or before.
    pub is_granted: bool,
    /// Tasks of other reservations that were removed.
    pub shed: Vec<T>,
}

impl<T> MemoryBudget<T> {
    /// Creates a budget of a number of bytes.
    pub fn new(capacity: usize) -> MemoryBudget<T> {
        MemoryBudget {
            capacity,
            held: 0,
            next_id: 0,
            reservations: Vec::new(),
        }
    }

    /// Returns the number of reserved bytes, at most the capacity.
    pub fn held(&self) -> usize {
        self.held
    }

    /// Returns the bytes of a reservation, or `None` once it was removed.
    pub fn bytes(&self, id: ReservationId) -> Option<usize> {
        Some(self.reservations[self.search(id)?].bytes)
    }

    /// Adds a reservation of no bytes.
    pub fn open(&mut self, task: T, now: Instant) -> ReservationId {
        let id = self.next_id;
        self.next_id += 1;
        self.reservations.push(MemoryReservation {
            id,
            bytes: 0,
            progress: now,
            is_pinned: false,
            task,
        });
        id
    }

    /// Sets the bytes of a reservation, whose client has made progress. If the budget is short, the reservations that
    /// hold most for the least progress are removed until it suffices, or until the one that asks is among them.
    pub fn resize(&mut self, id: ReservationId, bytes: usize, now: Instant) -> ReserveDecision<T> {
        let Some(index) = self.search(id) else {
            return ReserveDecision {
                is_granted: false,
                shed: Vec::new(),
            };
        };
        let reservation = &mut self.reservations[index];
        self.held = self.held - reservation.bytes + bytes;
        reservation.bytes = bytes;
        reservation.progress = now;
        let mut shed = Vec::new();
        while self.held > self.capacity {
            // No victim: all others are pinned, and so may be the one that asks.
            let victim = self.choose_victim(now).unwrap_or(id);
            let removed = self.remove(victim);
            if victim == id {
                break;
            }
            shed.extend(removed);
        }
        ReserveDecision {
            is_granted: self.search(id).is_some(),
            shed,
        }
    }

    /// Keeps a reservation from being shed: its request is complete and may be sent.
    ///
    /// Returns `false` if it was shed before.
    pub fn pin(&mut self, id: ReservationId) -> bool {
        let found = self.search(id);
        if let Some(index) = found {
            self.reservations[index].is_pinned = true;
        }
        found.is_some()
    }

    /// Removes a reservation and returns its task; `None` if it was shed before.
    pub fn remove(&mut self, id: ReservationId) -> Option<T> {
        let index = self.search(id)?;
        let removed = self.reservations.remove(index);
        self.held -= removed.bytes;
        Some(removed.task)
    }

    /// Returns the reservation that holds most bytes for the least progress. One that holds at least as much as another
    /// and is without progress for at least as long is never behind it.
    fn choose_victim(&self, now: Instant) -> Option<ReservationId> {
        let open = self.reservations.iter();
        let victim = open
            .filter(|reservation| !reservation.is_pinned && reservation.bytes > 0)
            .max_by_key(|reservation| {
                let stall = now.saturating_duration_since(reservation.progress);
                let waste = stall.max(MIN_STALL).as_millis() * reservation.bytes as u128;
                (reservation.bytes > SMALL_BYTES, waste, reservation.bytes)
            })?;
        Some(victim.id)
    }

    fn search(&self, id: ReservationId) -> Option<usize> {
        let found = self
            .reservations
            .binary_search_by_key(&id, |reservation| reservation.id);
        found.ok()
    }
}
