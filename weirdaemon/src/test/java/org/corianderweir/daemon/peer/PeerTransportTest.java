package org.corianderweir.daemon.peer;

import static org.testng.Assert.assertEquals;

import com.codahale.metrics.MetricRegistry;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.corianderweir.daemon.SystemTimeSource;
import org.corianderweir.daemon.control.EventLog;
import org.corianderweir.kernel.Kernel;
import org.corianderweir.kernel.TimeSource;
import org.corianderweir.logic.handshake.InitiatorHandshake;
import org.corianderweir.logic.handshake.PeerIdentity;
import org.corianderweir.logic.handshake.SharedSecret;
import org.corianderweir.model.timeline.EventCode;
import org.corianderweir.model.topology.EntryInstance;
import org.corianderweir.protocol.ConfigurationMessage;
import org.corianderweir.protocol.HandshakeMessageCodec;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests {@link PeerTransport} over loopback addresses. */
public class PeerTransportTest {
  private static final String SECRET = "the secret";
  private static final int FIRST_PORT = 21_500;
  private static final long TIMEOUT_SECONDS = 20;

  private final TimeSource time = new SystemTimeSource();
  private final MetricRegistry metrics = new MetricRegistry();
  private EventLog events = new EventLog("entry-2", time);
  private final BlockingQueue<ReceivedMessage<ConfigurationMessage>> received =
      new LinkedBlockingQueue<>();
  private int port = FIRST_PORT;
  private EntryInstance first = instance("entry-1", "127.21.1.1");
  private EntryInstance second = instance("entry-2", "127.21.1.2");
  private PeerTransport receiver;
  private PeerTransport sender;

  private EntryInstance instance(String name, String host) {
    return new EntryInstance(name, "lagos", "lagos-1", host, port + 1, port + 2, port);
  }

  /** Each test uses a new port, because the system releases the port of the last test late. */
  @BeforeMethod
  public void start() {
    port += 1;
    first = instance("entry-1", "127.21.1.1");
    second = instance("entry-2", "127.21.1.2");
    received.clear();
    events = new EventLog("entry-2", time);
    receiver = transport(second, SECRET);
    receiver.onMessage(ConfigurationMessage.class, received::add);
    sender = transport(first, SECRET);
    receiver.start(new Kernel());
    sender.start(new Kernel());
  }

  @AfterMethod
  public void stop() {
    sender.stop();
    receiver.stop();
  }

  private PeerTransport transport(EntryInstance self, String secret) {
    return new PeerTransport(self, 7, secret, events, metrics, time);
  }

  @Test
  public void deliversWithTheAuthenticatedSenderOverOneConnection() throws InterruptedException {
    for (int number = 0; number < 100; number++) {
      sender.send(second, new ConfigurationMessage.IndexRequest(number));
    }
    for (int number = 0; number < 100; number++) {
      assertEquals(
          received.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS),
          new ReceivedMessage<>(
              new PeerIdentity("entry-1", 7), new ConfigurationMessage.IndexRequest(number)));
    }
  }

  @Test
  public void handshakeWithWrongSecretIsRefused() throws InterruptedException {
    PeerTransport impostor = transport(instance("entry-3", "127.21.1.3"), "a guess");
    impostor.start(new Kernel());
    impostor.send(second, new ConfigurationMessage.IndexRequest(1));
    awaitEvent(EventCode.PEER_HANDSHAKE_REFUSED);
    impostor.stop();
    assertEquals(received.size(), 0);
  }

  /** First bytes that a process other than an entry instance may send. */
  @DataProvider
  public Object[][] hostileStarts() {
    byte[] truncated = {0, 0, 0, 40, 1, 2};
    byte[] oversized = {0, 0, 2, 1};
    byte[] negative = {-1, -1, -1, -1};
    byte[] unknown = {0, 0, 0, 1, 99};
    byte[] message = {0, 0, 0, 2, 20, 1};
    byte[] random = new byte[64];
    new Random(7).nextBytes(random);
    return new Object[][] {{truncated}, {oversized}, {negative}, {unknown}, {message}, {random}};
  }

  @Test(dataProvider = "hostileStarts")
  public void closesHostileConnectionAndServesTheOthers(byte[] start)
      throws IOException, InterruptedException {
    try (Socket socket = new Socket(second.host(), port)) {
      socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(TIMEOUT_SECONDS));
      socket.getOutputStream().write(start);
      assertEquals(socket.getInputStream().read(), -1);
    }
    awaitEvent(EventCode.PEER_HANDSHAKE_REFUSED);
    sender.send(second, new ConfigurationMessage.IndexRequest(5));
    assertEquals(
        received.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS).message(),
        new ConfigurationMessage.IndexRequest(5));
  }

  @Test
  public void unknownFrameOfProvedPeerClosesOnlyItsConnection()
      throws IOException, InterruptedException {
    try (Socket socket = new Socket(second.host(), port)) {
      socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(TIMEOUT_SECONDS));
      authenticate(socket);
      writeFrame(socket, new byte[] {99});
      assertEquals(socket.getInputStream().read(), -1);
    }
    awaitEvent(EventCode.PEER_FRAME_REFUSED);
  }

  @Test
  public void aPeerThatDoesNotReadCostsBoundedMemoryAndNoWait() throws InterruptedException {
    CountDownLatch release = new CountDownLatch(1);
    receiver.onMessage(ConfigurationMessage.class, message -> awaitQuietly(release));
    String document = "x".repeat(1_000_000);
    for (int number = 0; number < 100; number++) {
      sender.send(second, new ConfigurationMessage.DocumentResponse(document));
    }
    release.countDown();
    assertEquals(metrics.meter("peers.dropped").getCount() > 50, true);
  }

  private static void awaitQuietly(CountDownLatch latch) {
    try {
      latch.await();
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  private static void authenticate(Socket socket) throws IOException {
    InitiatorHandshake handshake =
        new InitiatorHandshake(
            new PeerIdentity("entry-9", 1), "entry-2", new SharedSecret(SECRET), new Random(1));
    writeFrame(socket, HandshakeMessageCodec.encode(handshake.hello()));
    byte[] length = socket.getInputStream().readNBytes(4);
    byte[] challenge =
        socket.getInputStream().readNBytes(java.nio.ByteBuffer.wrap(length).getInt());
    var step =
        (org.corianderweir.logic.handshake.HandshakeStep.Authenticated)
            handshake.receive(HandshakeMessageCodec.decode(challenge));
    writeFrame(socket, HandshakeMessageCodec.encode(step.reply().orElseThrow()));
  }

  private static void writeFrame(Socket socket, byte[] payload) throws IOException {
    DataOutputStream output = new DataOutputStream(socket.getOutputStream());
    output.writeInt(payload.length);
    output.write(payload);
    output.flush();
  }

  private void awaitEvent(EventCode code) throws InterruptedException {
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
    List<EventCode> seen = codes();
    while (!seen.contains(code) && System.nanoTime() < end) {
      Thread.sleep(10);
      seen = codes();
    }
    assertEquals(seen.contains(code), true, Arrays.toString(seen.toArray()));
  }

  private List<EventCode> codes() {
    return events.events().stream().map(event -> event.code()).toList();
  }
}
