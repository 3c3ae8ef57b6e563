use proptest::prelude::*;

use super::{Channel, Frame};
use crate::{decode, encode};

proptest! {
    #[test]
    fn a_frame_reads_back_as_written(id: u64, body: Vec<u8>, reply: bool) {
        let frame = match reply {
            true => Frame::Reply { id, body },
            false => Frame::Call { id, channel: Channel::Follow, body },
        };
        prop_assert_eq!(decode::<Frame>(&encode(&frame)).unwrap(), frame);
    }

    #[test]
    fn no_bytes_panic_the_reader(bytes: Vec<u8>) {
        let _ = decode::<Frame>(&bytes);
    }
}
