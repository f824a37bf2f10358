package org.corianderweir.logic.handshake;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Random;
import java.util.function.Consumer;
import org.corianderweir.model.WeirException;
import org.corianderweir.protocol.HandshakeMessageCodec;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link InitiatorHandshake} and {@link ResponderHandshake}. */
public class HandshakeTest {
  private static final long SEED = 20_260_101L;
  private static final PeerIdentity FIRST = new PeerIdentity("entry-1", 11);
  private static final PeerIdentity SECOND = new PeerIdentity("entry-2", 22);
  private static final SharedSecret SECRET = new SharedSecret("the secret");

  private final Random random = new Random(SEED);

  private InitiatorHandshake initiator(SharedSecret secret) {
    return new InitiatorHandshake(FIRST, "entry-2", secret, random);
  }

  private ResponderHandshake responder(SharedSecret secret) {
    return new ResponderHandshake(SECOND, secret, random);
  }

  private static HandshakeMessage reply(HandshakeStep step) {
    return switch (step) {
      case HandshakeStep.Continue next -> next.reply();
      case HandshakeStep.Authenticated authenticated -> authenticated.reply().orElseThrow();
      case HandshakeStep.Refused refused -> throw new AssertionError(refused.reason());
    };
  }

  @Test
  public void authenticatesBothSides() {
    InitiatorHandshake initiator = initiator(SECRET);
    ResponderHandshake responder = responder(SECRET);
    HandshakeStep atInitiator = initiator.receive(reply(responder.receive(initiator.hello())));
    HandshakeStep atResponder = responder.receive(reply(atInitiator));
    assertEquals(
        new Object[] {((HandshakeStep.Authenticated) atInitiator).peer(), atResponder},
        new Object[] {SECOND, new HandshakeStep.Authenticated(FIRST, java.util.Optional.empty())});
  }

  @Test
  public void initiatorRefusesResponderWithAnotherSecret() {
    InitiatorHandshake initiator = initiator(SECRET);
    HandshakeStep step =
        initiator.receive(reply(responder(new SharedSecret("a guess")).receive(initiator.hello())));
    assertEquals(step, new HandshakeStep.Refused("the responder does not know the secret"));
  }

  @Test
  public void responderRefusesForgedProof() {
    ResponderHandshake responder = responder(SECRET);
    responder.receive(initiator(SECRET).hello());
    HandshakeStep step = responder.receive(new HandshakeMessage.Response(new byte[32]));
    assertEquals(step, new HandshakeStep.Refused("the initiator does not know the secret"));
  }

  @Test
  public void responderRefusesReplayedHandshake() {
    InitiatorHandshake initiator = initiator(SECRET);
    ResponderHandshake recorded = responder(SECRET);
    HandshakeMessage response =
        reply(initiator.receive(reply(recorded.receive(initiator.hello()))));
    ResponderHandshake later = responder(SECRET);
    later.receive(initiator.hello());
    assertEquals(
        later.receive(response),
        new HandshakeStep.Refused("the initiator does not know the secret"));
  }

  @Test
  public void initiatorRefusesReplayedChallenge() {
    InitiatorHandshake recorded = initiator(SECRET);
    HandshakeMessage challenge = reply(responder(SECRET).receive(recorded.hello()));
    assertEquals(
        initiator(SECRET).receive(challenge),
        new HandshakeStep.Refused("the responder does not know the secret"));
  }

  /** An attacker without the secret sends the responder's own proof back to the responder. */
  @Test
  public void responderRefusesReflectedProof() {
    ResponderHandshake responder = responder(SECRET);
    HandshakeMessage.Challenge challenge =
        (HandshakeMessage.Challenge) reply(responder.receive(initiator(SECRET).hello()));
    assertEquals(
        responder.receive(new HandshakeMessage.Response(challenge.proof())),
        new HandshakeStep.Refused("the initiator does not know the secret"));
  }

  /**
   * An attacker forwards the victim's hello to the victim over a second connection, so that the
   * victim itself computes the proof that the attacker needs.
   */
  @Test
  public void initiatorRefusesReflectedChallenge() {
    InitiatorHandshake victim = initiator(SECRET);
    ResponderHandshake victimAsResponder = new ResponderHandshake(FIRST, SECRET, random);
    HandshakeMessage.Hello hello = (HandshakeMessage.Hello) victim.hello();
    HandshakeMessage.Hello reflected =
        new HandshakeMessage.Hello(hello.version(), SECOND, "entry-1", hello.nonce());
    HandshakeMessage challenge = reply(victimAsResponder.receive(reflected));
    assertEquals(victim.receive(challenge), new HandshakeStep.Refused("another instance answered"));
  }

  /** Invalid first messages; the responder must refuse each of them. */
  @DataProvider
  public Object[][] forgedHellos() {
    byte[] nonce = new byte[InitiatorHandshake.NONCE_BYTES];
    int version = InitiatorHandshake.PROTOCOL_VERSION;
    return new Object[][] {
      {new HandshakeMessage.Hello(version + 1, FIRST, "entry-2", nonce)},
      {new HandshakeMessage.Hello(version, FIRST, "entry-3", nonce)},
      {new HandshakeMessage.Hello(version, SECOND, "entry-2", nonce)}
    };
  }

  @Test(dataProvider = "forgedHellos")
  public void responderRefusesInvalidHello(HandshakeMessage.Hello hello) {
    assertTrue(responder(SECRET).receive(hello) instanceof HandshakeStep.Refused);
  }

  @Test
  public void incarnationIsBoundIntoTheProof() {
    InitiatorHandshake initiator = initiator(SECRET);
    HandshakeMessage.Challenge honest =
        (HandshakeMessage.Challenge) reply(responder(SECRET).receive(initiator.hello()));
    HandshakeMessage forged =
        new HandshakeMessage.Challenge(
            new PeerIdentity("entry-2", 23), honest.nonce(), honest.proof());
    assertTrue(initiator.receive(forged) instanceof HandshakeStep.Refused);
  }

  /** Bytes that begin like each message type, so that the decoder reads beyond the type. */
  @DataProvider
  public Object[][] garbage() {
    HandshakeMessage hello = initiator(SECRET).hello();
    return new Object[][] {
      {new byte[0]},
      {HandshakeMessageCodec.encode(hello)},
      {HandshakeMessageCodec.encode(reply(responder(SECRET).receive(hello)))},
      {HandshakeMessageCodec.encode(new HandshakeMessage.Response(new byte[32]))}
    };
  }

  @Test(dataProvider = "garbage")
  public void codecRefusesOrReadsGeneratedBytes(byte[] start) {
    for (int round = 0; round < 5_000; round++) {
      byte[] bytes =
          java.util.Arrays.copyOf(start, random.nextInt(HandshakeMessageCodec.MESSAGE_LIMIT_BYTES));
      for (int change = 0; change < 3 && bytes.length > 0; change++) {
        bytes[random.nextInt(bytes.length)] = (byte) random.nextInt();
      }
      decodeOrRefuse(bytes, decoded -> {});
    }
  }

  private static void decodeOrRefuse(byte[] bytes, Consumer<HandshakeMessage> consumer) {
    try {
      consumer.accept(HandshakeMessageCodec.decode(bytes));
    } catch (WeirException refused) {
      assertEquals(refused.code(), org.corianderweir.model.ErrorCode.FRAME_INVALID);
    }
  }
}
