//! Outcomes depend only on the bytes that were handed to sockets.

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
use outbound::{CurrentCall, SendState, TrackedStream};
use proptest::{collection::vec, prelude::*};
use tokio::{
    io::{AsyncWrite, AsyncWriteExt},
    time::Instant,
};

use crate::call_record::{CallRecord, OnceState};

/// A socket that accepts `capacity` bytes in total and counts them.
#[derive(Debug)]
struct Socket {
    capacity: usize,
    accepted: Arc<AtomicUsize>,
}

impl AsyncWrite for Socket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        if self.capacity == 0 {
            return Poll::Ready(Err(std::io::ErrorKind::ConnectionReset.into()));
        }
        let n = self.capacity.min(buf.len());
        self.capacity -= n;
        self.accepted.fetch_add(n, Ordering::SeqCst);
        Poll::Ready(Ok(n))
    }

    fn poll_flush(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

/// How one call goes.
#[derive(Clone, Copy, Debug)]
struct CallPlan {
    /// Bytes that its socket accepts.
    capacity: usize,
    /// Sealed before it is written.
    is_sealed: bool,
    /// The endpoint states that it did not run the call.
    is_refused: bool,
    /// The call may not be repeated.
    is_once: bool,
}

fn plan() -> impl Strategy<Value = CallPlan> {
    let capacity = prop_oneof![Just(0_usize), 1..20_usize];
    let flags = (any::<bool>(), any::<bool>(), any::<bool>());
    (capacity, flags).prop_map(|(capacity, (is_sealed, is_refused, is_once))| CallPlan {
        capacity,
        is_sealed,
        is_refused: is_refused && capacity > 0 && !is_sealed,
        is_once,
    })
}

/// Writes a call of ten bytes. Returns the bytes that the socket accepted.
fn write(plan: CallPlan, send_state: &SendState) -> usize {
    let accepted = Arc::new(AtomicUsize::new(0));
    let socket = Socket {
        capacity: plan.capacity,
        accepted: Arc::clone(&accepted),
    };
    let current_call = CurrentCall::default();
    current_call.set(send_state);
    let mut stream = TrackedStream::new(socket, current_call);
    let mut writing = Box::pin(async move { stream.write_all(b"0123456789").await });
    let mut cx = Context::from_waker(Waker::noop());
    // A broken socket returns an error.
    let _ = writing.as_mut().poll(&mut cx);
    accepted.load(Ordering::SeqCst)
}

proptest! {
    #[test]
    fn outcome_is_not_run_only_if_no_byte_was_sent_or_all_calls_were_refused(
        plans in vec(plan(), 0..6),
    ) {
        let record = CallRecord::default();
        let mut has_run = false;
        let mut has_run_once = false;
        for plan in plans {
            let send_state = SendState::new();
            let call_index = record.add(&send_state);
            if plan.is_once {
                record.set_once_state(OnceState::InDoubt(call_index));
            }
            if plan.is_sealed {
                send_state.seal();
            }
            let accepted = write(plan, &send_state);
            prop_assert_eq!(send_state.has_sent(), accepted > 0);
            if plan.is_refused {
                record.mark_refused(call_index);
            }
            let is_run = accepted > 0 && !plan.is_refused;
            has_run |= is_run;
            has_run_once |= is_run && plan.is_once;
            // The request ends after a call that may have run; otherwise the next one may be sent.
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
    fn no_call_can_be_sent_after_the_outcome_was_reported(capacity in 1_usize..20) {
        let record = CallRecord::default();
        let send_state = SendState::new();
        record.add(&send_state);
        prop_assert_eq!(record.outcome(), Outcome::NotRun);
        let plan = CallPlan { capacity, is_sealed: false, is_refused: false, is_once: false };
        prop_assert_eq!(write(plan, &send_state), 0);
        prop_assert!(!send_state.has_sent());
    }
}

const PLAN: CallPlan = CallPlan {
    capacity: 20,
    is_sealed: false,
    is_refused: false,
    is_once: true,
};

#[tokio::test(start_paused = true)]
async fn an_intent_that_has_expired_is_not_sent() {
    let granted = Duration::from_millis(100);
    let in_time = SendState::with_deadline(Instant::now() + granted);
    let late = SendState::with_deadline(Instant::now() + granted);
    assert_eq!(write(PLAN, &in_time), 10);
    tokio::time::advance(granted).await;
    assert_eq!(write(PLAN, &late), 0);
    assert!(late.seal());
    // A call that was started in time may be written to its end.
    assert_eq!(write(PLAN, &in_time), 10);
}

#[test]
fn a_connection_that_carries_no_call_writes_nothing() {
    let accepted = Arc::new(AtomicUsize::new(0));
    let socket = Socket {
        capacity: 20,
        accepted: Arc::clone(&accepted),
    };
    let mut stream = TrackedStream::new(socket, CurrentCall::default());
    let mut cx = Context::from_waker(Waker::noop());
    let written = Pin::new(&mut stream).poll_write(&mut cx, b"x");
    assert!(matches!(written, Poll::Ready(Err(_))));
    assert_eq!(accepted.load(Ordering::SeqCst), 0);
}

#[test]
fn a_booking_that_ran_stays_unknown_after_later_failures() {
    let record = CallRecord::default();
    record.set_once_state(OnceState::Ran);
    record.set_once_state(OnceState::Refused);
    record.set_once_state(OnceState::Unsent);
    assert_eq!(record.outcome(), Outcome::Unknown);
}
