//! Tests which datagrams are accepted and which are sent.

use super::*;

async fn socket() -> UdpSocket {
    UdpSocket::bind("127.0.0.1:0").await.expect("a free port")
}

#[tokio::test]
async fn oversized_datagrams_those_from_unknown_senders_and_those_beyond_the_queue_are_dropped() {
    let (router, stranger) = (socket().await, socket().await);
    let routers = vec![([127, 0, 0, 9], 1).into(), router.local_addr().expect("local address")];
    let addresses = GossipAddresses { listen: ([127, 0, 0, 1], 0).into(), routers, broadcast: None };
    let gossip = GossipSocket::bind(addresses).await.expect("bound");
    let gossip_address = gossip.socket.local_addr().expect("local address");
    let (queue, mut received) = mpsc::channel(2);
    let receiving = tokio::spawn(Arc::clone(&gossip).receive(queue));
    stranger.send_to(b"x", gossip_address).await.expect("sent");
    router.send_to(&[0; MAX_DATAGRAM_BYTES + 1], gossip_address).await.expect("sent");
    for n in 0..5 {
        router.send_to(&[n], gossip_address).await.expect("sent");
    }
    // One from an unknown sender, one that is too long, and three that exceed the queue.
    while gossip.dropped() < 5 {
        tokio::task::yield_now().await;
    }
    assert_eq!(received.recv().await, Some(GossipMessage { from: 1, data: vec![0] }));
    assert_eq!(received.recv().await, Some(GossipMessage { from: 1, data: vec![1] }));
    receiving.abort();
    // Neither an oversized message nor one to an unknown router is sent.
    gossip.send(Some(1), &[0; MAX_DATAGRAM_BYTES + 1]);
    gossip.send(Some(7), b"y");
    gossip.send(Some(1), b"z");
    let mut data = [0; 300];
    let (length, _) = router.recv_from(&mut data).await.expect("received");
    assert_eq!(&data[..length], b"z");
}
