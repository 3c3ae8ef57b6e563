use proptest::prelude::*;

use super::{Channel, Frame};
use crate::{decode, encode};

proptest! {
    #[test]
    fn frame_round_trips(id: u64, body: Vec<u8>, is_reply: bool) {
        let frame = match is_reply {
            true => Frame::Reply { id, body },
            false => Frame::Call { id, channel: Channel::Follow, body },
        };
        prop_assert_eq!(decode::<Frame>(&encode(&frame)).unwrap(), frame);
    }

    #[test]
    fn decoding_arbitrary_bytes_does_not_panic(bytes: Vec<u8>) {
        let _ = decode::<Frame>(&bytes);
    }
}
