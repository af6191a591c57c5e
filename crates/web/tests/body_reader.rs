//! What a body that is read whole holds of memory, and its limit.

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::Bytes;
use futures::stream;
use http_body_util::StreamBody;
use hyper::body::Frame;
use rstest::rstest;
use web::body_reader::{self, BodyError};

/// The size of the read buffers that pieces of a body are parts of.
const BUFFER_BYTES: usize = 8 << 10;

/// Counts the read buffers that exist.
#[derive(Debug, Default)]
struct BufferCount {
    now: AtomicUsize,
    most: AtomicUsize,
}

struct ReadBuffer {
    bytes: Box<[u8]>,
    count: Arc<BufferCount>,
}

impl ReadBuffer {
    fn new(count: &Arc<BufferCount>) -> ReadBuffer {
        let now = count.now.fetch_add(1, Ordering::Relaxed) + 1;
        count.most.fetch_max(now, Ordering::Relaxed);
        ReadBuffer { bytes: [b'a'; BUFFER_BYTES].into(), count: count.clone() }
    }
}

impl AsRef<[u8]> for ReadBuffer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for ReadBuffer {
    fn drop(&mut self) {
        self.count.now.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Reads a body of `pieces` pieces of `piece_bytes` each, all in read buffers of their own.
async fn read(
    pieces: usize,
    piece_bytes: usize,
    max_bytes: usize,
) -> (Result<Bytes, BodyError>, usize) {
    let count = Arc::default();
    let counted = Arc::clone(&count);
    let frames = (0..pieces).map(move |_| {
        let piece = Bytes::from_owner(ReadBuffer::new(&counted)).slice(..piece_bytes);
        Ok::<_, Infallible>(Frame::data(piece))
    });
    let res = body_reader::read_body(StreamBody::new(stream::iter(frames)), max_bytes).await;
    (res, count.most.load(Ordering::Relaxed))
}

/// Guards against small pieces that each keep a whole read buffer: a body within its limit took
/// thousands of times its length.
#[rstest]
#[case::one_byte(1)]
#[case::packets(1_460)]
#[case::whole_buffers(BUFFER_BYTES)]
#[tokio::test]
async fn pieces_do_not_keep_their_read_buffers(#[case] piece_bytes: usize) {
    const PIECES: usize = 500;
    let (res, most) = read(PIECES, piece_bytes, PIECES * piece_bytes).await;
    assert_eq!(res.expect("a whole body").len(), PIECES * piece_bytes);
    assert!(most <= 2, "{most} read buffers at once");
}

#[rstest]
#[case::as_long_as_the_limit(8, true)]
#[case::one_byte_longer(9, false)]
#[tokio::test]
async fn a_body_longer_than_its_limit_is_refused(#[case] pieces: usize, #[case] is_whole: bool) {
    let (res, _) = read(pieces, 1, 8).await;
    let expected =
        if is_whole { Ok(Bytes::from_static(b"aaaaaaaa")) } else { Err(BodyError::TooLong(8)) };
    assert_eq!(res, expected);
}
