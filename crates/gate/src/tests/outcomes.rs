//! Outcomes are decided from bytes that were handed over, and from nothing else.

use std::{
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    task::{Context, Poll, Waker},
    time::Duration,
};

use host::problem::Outcome;
use outbound::{Handover, Recorded, Slot};
use proptest::{collection::vec, prelude::*};
use tokio::{
    io::{AsyncWrite, AsyncWriteExt},
    time::Instant,
};

use crate::call_record::{CallRecord, OnceState};

/// A socket that takes at most `room` bytes in all, and counts what it took.
#[derive(Debug)]
struct Socket {
    room: usize,
    taken: Arc<AtomicUsize>,
}

impl AsyncWrite for Socket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        if self.room == 0 {
            return Poll::Ready(Err(std::io::ErrorKind::ConnectionReset.into()));
        }
        let n = self.room.min(buf.len());
        self.room -= n;
        self.taken.fetch_add(n, Ordering::SeqCst);
        Poll::Ready(Ok(n))
    }

    fn poll_flush(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

/// What happens to one call.
#[derive(Clone, Copy, Debug)]
struct Fate {
    /// Bytes that its socket takes.
    room: usize,
    /// Whether it is sealed before it is written.
    is_sealed: bool,
    /// Whether its endpoint says explicitly that it did not run.
    is_refused: bool,
    /// Whether it may not be repeated.
    is_once: bool,
}

fn fate() -> impl Strategy<Value = Fate> {
    let room = prop_oneof![Just(0_usize), 1..20_usize];
    let flags = (any::<bool>(), any::<bool>(), any::<bool>());
    (room, flags).prop_map(|(room, (is_sealed, is_refused, is_once))| Fate {
        room,
        is_sealed,
        is_refused: is_refused && room > 0 && !is_sealed,
        is_once,
    })
}

/// Writes a call of ten bytes; the bytes that the socket took.
fn write(fate: Fate, handover: &Handover) -> usize {
    let taken = Arc::new(AtomicUsize::new(0));
    let socket = Socket {
        room: fate.room,
        taken: Arc::clone(&taken),
    };
    let slot = Slot::default();
    slot.carry(handover);
    let mut stream = Recorded::new(socket, slot);
    let mut writing = Box::pin(async move { stream.write_all(b"0123456789").await });
    let mut cx = Context::from_waker(Waker::noop());
    // An error is what a broken socket is expected to give.
    let _ = writing.as_mut().poll(&mut cx);
    taken.load(Ordering::SeqCst)
}

proptest! {
    #[test]
    fn not_run_is_said_only_where_no_byte_was_handed_over_or_all_were_refused(
        fates in vec(fate(), 0..6),
    ) {
        let record = CallRecord::default();
        let mut has_run = false;
        let mut has_run_once = false;
        for fate in fates {
            let handover = Handover::new();
            let call_index = record.add(&handover);
            if fate.is_once {
                record.set_once_state(OnceState::InDoubt(call_index));
            }
            if fate.is_sealed {
                handover.seal();
            }
            let taken = write(fate, &handover);
            prop_assert_eq!(handover.is_handed(), taken > 0);
            if fate.is_refused {
                record.mark_refused(call_index);
            }
            let is_run = taken > 0 && !fate.is_refused;
            has_run |= is_run;
            has_run_once |= is_run && fate.is_once;
            // A call that may have run once ends the request; one that did not frees the next.
            if has_run_once {
                break;
            }
        }
        let expected = match () {
            () if has_run_once => Outcome::Unknown,
            () if has_run => Outcome::Failed,
            () => Outcome::NotRun,
        };
        prop_assert_eq!(record.outcome(), expected);
    }

    #[test]
    fn after_the_outcome_was_told_no_call_can_leave(room in 1_usize..20) {
        let record = CallRecord::default();
        let handover = Handover::new();
        record.add(&handover);
        prop_assert_eq!(record.outcome(), Outcome::NotRun);
        let fate = Fate { room, is_sealed: false, is_refused: false, is_once: false };
        prop_assert_eq!(write(fate, &handover), 0);
        prop_assert!(!handover.is_handed());
    }
}

const FATE: Fate = Fate {
    room: 20,
    is_sealed: false,
    is_refused: false,
    is_once: true,
};

#[tokio::test(start_paused = true)]
async fn an_intent_that_has_expired_is_not_sent() {
    let granted = Duration::from_millis(100);
    let in_time = Handover::until(Instant::now() + granted);
    let late = Handover::until(Instant::now() + granted);
    assert_eq!(write(FATE, &in_time), 10);
    tokio::time::advance(granted).await;
    assert_eq!(write(FATE, &late), 0);
    assert!(late.seal());
    // What has begun in time is not torn apart.
    assert_eq!(write(FATE, &in_time), 10);
}

#[test]
fn a_connection_that_carries_no_call_writes_nothing() {
    let taken = Arc::new(AtomicUsize::new(0));
    let socket = Socket {
        room: 20,
        taken: Arc::clone(&taken),
    };
    let mut stream = Recorded::new(socket, Slot::default());
    let mut cx = Context::from_waker(Waker::noop());
    let written = Pin::new(&mut stream).poll_write(&mut cx, b"x");
    assert!(matches!(written, Poll::Ready(Err(_))));
    assert_eq!(taken.load(Ordering::SeqCst), 0);
}

#[test]
fn a_booking_that_ran_stays_so_whatever_fails_later() {
    let record = CallRecord::default();
    record.set_once_state(OnceState::Ran);
    record.set_once_state(OnceState::Refused);
    record.set_once_state(OnceState::Unsent);
    assert_eq!(record.outcome(), Outcome::Unknown);
}
